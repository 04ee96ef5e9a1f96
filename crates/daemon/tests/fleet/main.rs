//! The real daemon against stand-ins of the platform's store and of engines.

mod calls;
mod engine;
mod faults;
mod orders;
mod soak;
mod stopping;
mod store;
mod world;
