//! Demo, load, experiments and checks of histories.

pub mod cell;
pub mod demo;
pub mod experiment;
pub mod load;
pub mod measure;
pub mod report;
