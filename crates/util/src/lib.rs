//! Helpers shared by all binaries: clock, log events, settings, signals and exit codes.

pub mod clock;
pub mod events;
pub mod exit;
pub mod lifecycle;
pub mod memory;
pub mod settings;
pub mod sink;
pub mod start;
pub mod table;
pub mod utc;
