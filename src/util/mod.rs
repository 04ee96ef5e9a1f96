//! Small helpers that every process shares.

pub mod clock;
pub mod events;
pub mod observe;
