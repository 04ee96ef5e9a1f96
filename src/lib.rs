//! corianderyoke: a serving system for rarely used language models and plain services.
//!
//! [`router`] is the process callers talk to and [`ops`] holds what the binaries do; both build on
//! the coordination parts of `corianderyoke-coord`. Binaries only parse their command line and
//! call into `ops`.

#![forbid(unsafe_code)]

pub mod ops;
pub mod router;
pub mod util;
