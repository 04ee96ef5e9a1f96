//! Implementation of the binaries, without their command lines.

pub mod bench;
pub mod config;
pub mod controller;
pub mod daemon;
pub mod router;
pub mod standin;
