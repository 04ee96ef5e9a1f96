//! Counted permits: at most so many operations in flight, and so many starts a second.
//!
//! Loads from the weight store take one permit each (rate and number in flight), adapter loads
//! another kind (number in flight only). A permit belongs to a holder; a holder that lapsed may
//! have started its operation, so its permits stay counted for a span that covers the longest
//! operation. A home that follows another adopts the permits in use and starts without credit.

mod commands;
mod queries;

use std::time::Duration;

use indexmap::IndexMap;

use crate::keys::MemberKey;
use crate::time::Tick;

/// Settings of one kind of permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitSettings {
    /// Most operations in flight.
    pub in_flight: usize,
    /// Starts in a thousand seconds; `None` for no limit.
    pub rate: Option<u64>,
    /// Most starts at once after a quiet time.
    pub burst: u64,
    /// How long permits of a lapsed holder stay counted.
    pub linger: Duration,
}

impl Default for PermitSettings {
    fn default() -> Self {
        PermitSettings { in_flight: 4, rate: None, burst: 1, linger: Duration::from_secs(300) }
    }
}

/// One permit: the holder and its own number for the operation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PermitKey {
    /// Who holds it.
    pub holder: MemberKey,
    /// The holder's number for the operation; never used twice.
    pub number: u64,
}

/// Answer to an acquisition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// Start the operation, and release the permit when it ended.
    Granted,
    /// Nothing is free; try again after the span.
    Wait(Duration),
}

/// The permits of one kind at their home.
#[derive(Clone, Debug)]
pub struct Permits {
    settings: PermitSettings,
    /// Permits in use; those of lapsed holders with the moment they are reclaimed.
    held: IndexMap<PermitKey, Option<Tick>>,
    /// Starts available, in billionths.
    credit: u64,
    filled: Tick,
}
