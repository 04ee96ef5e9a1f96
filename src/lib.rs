//! corianderyoke: a serving system for rarely used language models and plain services.
//!
//! [`router`] is the process callers talk to, [`controller`] the one that has models loaded,
//! [`agent`] what both embed, and [`ops`] what the binaries do; all build on the coordination parts of `corianderyoke-coord`.
//! Binaries only parse their command line and call into [`ops`].

#![forbid(unsafe_code)]

pub mod agent;
pub mod controller;
pub mod ops;
pub mod router;
pub mod util;
