//! Fixtures for integration tests and failure runs: a fleet of the real binaries on loopback.
//!
//! A [`Fleet`] starts the stand-ins, writes register and rules, applies them with the operators'
//! command line and starts routers and controllers, each a process of its own. Processes can be
//! killed, paused, resumed and told to stop by name. Everything ends when the fleet is dropped.

#![forbid(unsafe_code)]

pub mod builder;
pub mod fleet;
pub mod process;

pub use builder::Builder;
pub use fleet::Fleet;
pub use process::Process;
