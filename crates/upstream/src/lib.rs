//! Client of model engines and plain services.
//!
//! [`Client`] streams answers of engines ([`generate`]), carries orders and reads state
//! ([`control`]), and makes calls to plain services that are sent at most once ([`service`]). Every
//! error says by its [`Outcome`] whether the call may have run, so that a refusal can say so
//! truthfully. [`sse`] decodes event streams and [`headers`] keeps the list of headers that pass.

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
pub use error::Wait;
pub use settings::Settings;
