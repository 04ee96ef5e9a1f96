//! Integration tests, one module per command or feature.

mod bad_input;
mod broken_streams;
mod callers;
mod configuration;
mod daemons;
mod end_to_end;
mod events;
mod experiments;
mod failure_runs;
mod membership;
mod operators;
mod parsing;
mod placement;
mod repeated_responses;
mod samples;
