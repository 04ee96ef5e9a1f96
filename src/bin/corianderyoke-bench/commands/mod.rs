//! The subcommands, one a file, each with `Cli` and `exec`.

pub mod check;
pub mod demo;
pub mod experiment;
pub mod run;
