//! The router: the process that callers talk to.

pub mod hangup;
pub mod open;
pub mod refusal;
pub mod request;
