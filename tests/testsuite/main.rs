//! Integration tests: a module a command or feature.

mod events;
mod experiments;
mod operators;
mod parsing;
mod whole_path;
