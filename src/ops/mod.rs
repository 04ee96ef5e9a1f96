//! What the binaries do, apart from their command lines.

pub mod config;
pub mod router;
pub mod standin;
