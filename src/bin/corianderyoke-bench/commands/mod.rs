//! The subcommands, one per file, each with a `Cli` and an `exec` function.

pub mod check;
pub mod demo;
pub mod experiment;
pub mod run;
