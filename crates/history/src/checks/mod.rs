//! One checker for each property that must always hold.
//!
//! Every checker reads the records once in the order of their times and returns how many facts it
//! checked together with the breaches. Times of all processes are on one machine's monotonic
//! clock.

pub mod answers;
pub mod configuration;
pub mod fresh;
pub mod identity;
mod index;
pub mod leaving;
pub mod limits;
pub mod memory;
pub mod once;
pub mod refusals;
pub mod replicas;
pub mod revocation;
pub mod secrecy;
pub mod shutdown;
pub mod waiting;
pub mod zones;
