//! Fleet-wide limits: token buckets of teams, and permits for operations in flight.
//!
//! Each limit has one owning router, its home. The home of a team's limit runs a [`Bucket`]. Every
//! router holds a [`Slice`] of the bucket's tokens and spends them without a message. Both sides
//! exchange cumulative [`Counters`], so duplicate, late and reordered messages have no effect, and
//! the next message makes up for a lost one. [`Permits`] limits the operations in flight and the
//! rate at which they start.
//!
//! Each transfer debits the sender before it credits the receiver. Hence `level + Σ holdings <=
//! burst` holds at all times, and the use in any window is at most `rate × window + burst`, where a
//! request counts at the time it reserved its tokens. Rates are per second of the home's clock.

pub mod bucket;
pub mod permits;
pub mod share;
pub mod slice;

pub use bucket::Account;
pub use bucket::Bucket;
pub use bucket::Handover;
pub use permits::AcquireOutcome;
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

/// Microtokens per token. Levels are in microtokens, so that a rate times microseconds is exact.
pub(crate) const MICRO_PER_TOKEN: u64 = 1_000_000;

/// Longest wait that a refusal or grant reports, also where the rate is zero.
pub const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Rate and burst of a limit, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Tokens per second.
    pub rate: u64,
    /// Maximum number of tokens that may be spent at once.
    pub burst: u64,
}

impl Limits {
    /// Time in which `microtokens` accrue, at most [`MAX_WAIT`].
    pub(crate) fn refill_time(&self, microtokens: u64) -> Duration {
        if self.rate == 0 {
            return MAX_WAIT;
        }
        Duration::from_micros(microtokens.div_ceil(self.rate)).min(MAX_WAIT)
    }
}

/// Cumulative token counts of one router for one team, since the router started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Tokens granted by the home, as far as the reporting side knows.
    pub granted: u64,
    /// Tokens spent by reservations, counted when the reservation is made.
    pub spent: u64,
    /// Held tokens that were returned to the home unspent.
    pub returned: u64,
}

impl Counters {
    /// Tokens held: granted, and neither spent nor returned.
    pub fn held(&self) -> u64 {
        self.granted.saturating_sub(self.spent).saturating_sub(self.returned)
    }
}

/// Unused tokens of settled reservations, which go back to the home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refund {
    /// Sequence number, increasing per router.
    pub number: u64,
    /// A time on the home's clock, no later than the reservations.
    pub since: Tick,
    /// Tokens reserved and not used.
    pub tokens: u64,
}

/// A router's message to the home: reports its counters and requests tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantRequest {
    /// View epoch in which the addressed home started.
    pub home: u64,
    /// Sequence number of this request, which its grant repeats.
    pub number: u64,
    /// The router's counters.
    pub counters: Counters,
    /// Refunds that the home hasn't acknowledged, ordered by number.
    pub refunds: Vec<Refund>,
    /// Tokens wanted, including `need`.
    pub want: u64,
    /// Tokens missing for the first queued request; 0 when no request is queued.
    pub need: u64,
}

/// The home's response to a [`GrantRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// View epoch in which the responding home started.
    pub home: u64,
    /// Sequence number of the request.
    pub number: u64,
    /// Time on the home's clock, to which refunds refer.
    pub at: Tick,
    /// Cumulative tokens granted to this router, including this grant.
    pub granted: u64,
    /// Highest number of the router's refunds that the home has processed.
    pub refund: u64,
    /// Whether the need is met.
    pub verdict: Verdict,
}

/// Whether a request's `need` is met.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Met by this grant, or by an earlier one still in transit.
    Granted,
    /// Can't be met before this time has passed; request again then.
    Wait(Duration),
    /// The need exceeds the burst and can never be met.
    TooLarge,
}

/// Reason why a home rejects a [`GrantRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The request is addressed to a home of another epoch.
    #[error("the home is of epoch {current}, the request of epoch {requested}; refresh the view")]
    WrongEpoch {
        /// Epoch in the request.
        requested: u64,
        /// Epoch in which this home started.
        current: u64,
    },
    /// The home has handed its bucket over to its successor.
    #[error("the home has handed its bucket over; refresh the view and ask the new home")]
    HandedOver,
    /// The router's membership expired, or the inventory didn't include the router.
    #[error("the router has no account at this home; rejoin as a new incarnation")]
    NoAccount,
}

/// Result of handling a [`GrantRequest`].
pub type Result<T> = std::result::Result<T, Error>;
