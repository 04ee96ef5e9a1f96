//! The subcommands, one a file, each with `Cli` and `exec`.

pub mod engine;
pub mod platform;
pub mod service;
