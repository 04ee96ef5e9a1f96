//! The subcommands, one per file, each with a `Cli` and an `exec` function.

pub mod engine;
pub mod platform;
pub mod service;
