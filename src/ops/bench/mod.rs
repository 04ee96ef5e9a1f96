//! Demo, failure runs, load, experiments and reports of the bench.

pub mod callers;
pub mod cell;
pub mod demo;
pub mod experiment;
pub mod faults;
pub mod journal;
pub mod load;
pub mod measure;
pub mod operators;
pub mod report;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod watcher;
pub mod world;
