//! Stand-ins of a platform's store, engines and callers for the cases of the review.

pub mod engine;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
pub mod world;
