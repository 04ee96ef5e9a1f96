//! corianderyoke: a serving system for rarely used language models and plain services.
//!
//! [`router`] is the process that serves callers, [`controller`] the process that places models on
//! upstreams, and [`agent`] the cell membership that both embed. All build on the coordination
//! state machines of `corianderyoke-coord`. The binaries only parse their command line and call
//! into [`ops`], which implements their commands.

#![forbid(unsafe_code)]

pub mod agent;
pub mod controller;
pub mod ops;
pub mod router;
pub mod util;
