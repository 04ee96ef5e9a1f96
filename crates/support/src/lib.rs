//! Fixtures for integration tests and fault injection: a fleet of the real binaries on loopback.
//!
//! A [`Fleet`] starts the stand-ins, applies register and rules with the operators' command line,
//! and starts routers and controllers as separate processes. Tests kill, pause, resume and
//! terminate processes by name. Dropping the fleet kills all processes.

#![forbid(unsafe_code)]

pub mod builder;
pub mod crowd;
pub mod fleet;
pub mod process;

pub use builder::Builder;
pub use fleet::Fleet;
pub use process::Process;
