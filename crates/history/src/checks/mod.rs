//! One checker for each invariant.
//!
//! Each checker reads the records in time order and returns the number of checks made and the
//! violations found. All processes use the monotonic clock of one machine.

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
