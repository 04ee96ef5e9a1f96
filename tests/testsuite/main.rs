//! Integration tests: a module a command or feature.

mod bad_input;
mod callers;
mod configuration;
mod daemons;
mod events;
mod experiments;
mod failure_runs;
mod membership;
mod operators;
mod parsing;
mod placement;
mod samples;
mod whole_path;
