//! Permits that limit the operations in flight and, optionally, their start rate.
//!
//! Loads from the weight store take permits of one kind (limited in flight and in rate), adapter
//! loads of another (limited in flight only). An expired holder may still run its operation, so its
//! permits count for a delay that covers the longest operation. A home that succeeds another adopts
//! the permits in use and starts without credit.

mod commands;
mod queries;

use std::time::Duration;

use indexmap::IndexMap;

use crate::keys::MemberKey;
use crate::time::Tick;

/// Settings of one kind of permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitSettings {
    /// Maximum number of operations in flight.
    pub max_in_flight: usize,
    /// Starts per 1000 seconds; `None` for no limit.
    pub start_rate: Option<u64>,
    /// Maximum number of starts at once after an idle period.
    pub start_burst: u64,
    /// Time for which the permits of an expired holder still count.
    pub reclaim_delay: Duration,
}

impl Default for PermitSettings {
    fn default() -> Self {
        PermitSettings {
            max_in_flight: 4,
            start_rate: None,
            start_burst: 1,
            reclaim_delay: Duration::from_secs(300),
        }
    }
}

/// Identifies one permit.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PermitKey {
    /// Member that holds the permit.
    pub holder: MemberKey,
    /// The holder's number for the operation, never reused.
    pub number: u64,
}

/// Result of [`Permits::acquire`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcquireOutcome {
    /// The operation may start. Release the permit when it ends.
    Granted,
    /// No permit is available; retry after this time.
    Wait(Duration),
}

/// Permits of one kind, at the home that grants them.
#[derive(Clone, Debug)]
pub struct Permits {
    settings: PermitSettings,
    /// Permits in use; those of expired holders with the time at which they are reclaimed.
    held: IndexMap<PermitKey, Option<Tick>>,
    /// Available starts, in billionths of a start.
    credit: u64,
    /// Time up to which credit has accrued.
    accrued: Tick,
}
