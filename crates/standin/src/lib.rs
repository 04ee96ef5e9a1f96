//! Stand-ins of the platform, a model engine and a plain service, with faults one can order.

#![forbid(unsafe_code)]

pub mod platform;
