//! What the binaries of corianderyoke do: a serving system for rarely used language models and
//! the plain services beside them.

#![forbid(unsafe_code)]

pub mod ops;
pub mod util;
