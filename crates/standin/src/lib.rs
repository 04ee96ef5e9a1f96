//! Stand-ins of the platform, a model engine and a plain service, with faults that a test orders.
//!
//! Each stand-in is an HTTP server on loopback. [`engine`] and [`service`] sit behind a TCP
//! [`relay`], so that a fault of the network between two ends can be ordered too.

#![forbid(unsafe_code)]

pub mod engine;
mod http;
pub mod platform;
pub mod relay;
pub mod service;
