//! Stand-ins for the platform, a model engine and a plain service, with fault injection for tests.
//!
//! Each stand-in is an HTTP server on loopback. [`engine`] and [`service`] run behind a TCP
//! [`relay`], so that network faults can be injected too.

#![forbid(unsafe_code)]

pub mod engine;
mod http;
pub mod platform;
pub mod relay;
pub mod service;
