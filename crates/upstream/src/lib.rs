//! Client of model engines and plain services.
//!
//! [`Client`] streams completions from engines ([`generate`]), sends them orders and reads their
//! state ([`control`]), and calls plain services at most once ([`service`]). The [`Outcome`] of an
//! error tells whether the call may have run. [`sse`] decodes event streams and [`headers`] lists
//! the forwarded headers.

#![forbid(unsafe_code)]

mod chunk;
mod client;
pub mod control;
mod error;
pub mod generate;
pub mod headers;
pub mod service;
pub mod settings;
pub mod sse;

pub use client::Client;
pub use error::Error;
pub use error::Kind;
pub use error::Outcome;
pub use error::Result;
pub use error::TimeoutPhase;
pub use settings::Settings;
