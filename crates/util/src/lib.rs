//! Small helpers that every process shares.

pub mod clock;
pub mod events;
pub mod exit;
pub mod lifecycle;
pub mod settings;
pub mod sink;
pub mod start;
pub mod table;
pub mod utc;
