//! Shared limits: token buckets of teams, and counted permits.
//!
//! Each limit has one home. The home of a team's limit runs a [`Bucket`]; every router holds a
//! [`Slice`] of it and spends from that without a message. All accounts between the two are
//! cumulative [`Counters`], so a message that is doubled, late or reordered changes nothing, and a
//! lost one is made good by the next. [`Permits`] counts operations in flight, with a start rate.
//!
//! The invariant behind every limit: the giver gives a token up before the taker has it. Hence
//! `level + Σ holdings <= burst` at all times, and what is used in any window, each request counted
//! when it reserved its tokens, is at most `rate × window + burst`. Rates are per second of the
//! home's clock.

pub mod bucket;
pub mod permits;
pub mod share;
pub mod slice;

pub use bucket::Account;
pub use bucket::Bucket;
pub use bucket::Handover;
pub use permits::Permission;
pub use permits::PermitKey;
pub use permits::PermitSettings;
pub use permits::Permits;
pub use share::StaticShare;
pub use slice::Effect;
pub use slice::Reason;
pub use slice::Reservation;
pub use slice::Slice;
pub use slice::SliceSettings;

use std::time::Duration;

use crate::time::Tick;

/// Microtokens in a token: levels are kept in microtokens, so that a rate times microseconds is
/// exact.
pub(crate) const MICRO: u64 = 1_000_000;

/// Longest wait that is ever told, for limits whose rate is zero.
pub const LONGEST_WAIT: Duration = Duration::from_secs(3600);

/// A limit in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Tokens a second.
    pub rate: u64,
    /// Most tokens that may be spent at once.
    pub burst: u64,
}

impl Limits {
    /// How long `micros` microtokens take to accrue.
    pub(crate) fn span(&self, micros: u64) -> Duration {
        if self.rate == 0 {
            return LONGEST_WAIT;
        }
        Duration::from_micros(micros.div_ceil(self.rate)).min(LONGEST_WAIT)
    }
}

/// Cumulative account of one router at one team's home, in tokens since the router started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Granted by the home, as far as the side that reports has seen.
    pub granted: u64,
    /// Spent by reservations; counted when the reservation is made.
    pub spent: u64,
    /// Holding that was given back unspent.
    pub returned: u64,
}

impl Counters {
    /// Tokens held: granted, and neither spent nor given back.
    pub fn held(&self) -> u64 {
        self.granted.saturating_sub(self.spent).saturating_sub(self.returned)
    }
}

/// The unused part of settled reservations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refund {
    /// The router's number for it; numbers rise.
    pub number: u64,
    /// A moment on the home's clock, no later than the reservations.
    pub since: Tick,
    /// Tokens reserved and not used.
    pub tokens: u64,
}

/// A router's message to the home: its account, and what it would like.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantRequest {
    /// The home that is meant; homes are numbered by the view epoch in which they started.
    pub home: u64,
    /// The router's number for this ask; the answer carries it.
    pub number: u64,
    /// The router's account.
    pub counters: Counters,
    /// Refunds that the home hasn't acknowledged, by number.
    pub refunds: Vec<Refund>,
    /// Tokens wanted, `need` included.
    pub want: u64,
    /// Tokens without which the first waiting request can't go; 0 when none waits.
    pub need: u64,
}

/// The home's answer to an [`GrantRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The home that answers.
    pub home: u64,
    /// Number of the ask.
    pub number: u64,
    /// The home's clock, which refunds refer to.
    pub at: Tick,
    /// Total granted to this router, earlier grants included.
    pub granted: u64,
    /// Highest number of the router's refunds that was taken.
    pub refund: u64,
    /// What became of the need.
    pub verdict: Verdict,
}

/// What became of an ask's need.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Met, now or by a grant still on its way.
    Granted,
    /// Not before this span; ask again then.
    Wait(Duration),
    /// The need is above the burst and never can be met.
    TooLarge,
}

/// Errors of the pools.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The message is for another home's epoch.
    #[error("this is the home of epoch {current}, not of epoch {requested}: refresh the view and ask its home")]
    WrongEpoch {
        /// Epoch in the message.
        requested: u64,
        /// Epoch of this home.
        current: u64,
    },
    /// The home has handed its pool over.
    #[error("the home has handed its pool over: refresh the view and ask the next home")]
    HandedOver,
    /// The router lapsed, or wasn't part of the inventory.
    #[error("the router has no account here: rejoin as a new incarnation")]
    NoAccount,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;
