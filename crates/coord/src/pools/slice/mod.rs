//! A router's slice of a team's bucket.
//!
//! Requests reserve from what the slice holds and wait in order where it holds too little; the
//! slice asks the home for more before it runs out. What a second passes over untouched goes back.
//! The driver sends each [`Effect::GrantRequest`] to the team's home, hands the answer in, and calls `tick`
//! every few tens of milliseconds while [`Slice::is_busy`].

mod commands;
mod queries;

use std::collections::VecDeque;
use std::time::Duration;

use super::Counters;
use super::GrantRequest;
use super::Limits;
use super::Refund;
use crate::time::Tick;

/// Settings of a slice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SliceSettings {
    /// Span of recent use that a slice aims to hold; zero asks the home for each request.
    pub target: Duration,
    /// What lay untouched this long goes back to the home.
    pub idle: Duration,
    /// An ask without answer is sent again after this span.
    pub timeout: Duration,
    /// Spending and refunds are reported at the latest after this span.
    pub report: Duration,
    /// Most requests that may wait.
    pub waiting: usize,
}

impl Default for SliceSettings {
    fn default() -> Self {
        SliceSettings {
            target: Duration::from_millis(200),
            idle: Duration::from_secs(1),
            timeout: Duration::from_millis(100),
            report: Duration::from_millis(200),
            waiting: 1024,
        }
    }
}

/// Tokens that were reserved for one request. It is settled once, by value.
#[derive(Debug, Eq, PartialEq)]
#[must_use]
pub struct Reservation {
    tokens: u64,
    /// The home at the time, and its clock as last told.
    home: u64,
    since: Option<Tick>,
}

/// Why a request was refused by its team's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The team's rate leaves no room before the deadline.
    Rate,
    /// The request is larger than the team's burst.
    TooLarge,
    /// Too many requests of the team wait at this router.
    QueueFull,
    /// The home didn't answer before the deadline.
    HomeTimeout,
}

/// What the driver has to do.
#[derive(Debug, Eq, PartialEq)]
pub enum Effect {
    /// The request may go.
    Reserved {
        /// The request.
        ticket: u64,
        /// To be settled after the request.
        reservation: Reservation,
    },
    /// The request didn't run and won't.
    Refused {
        /// The request.
        ticket: u64,
        /// A later try may pass after this span.
        wait: Duration,
        /// Why.
        reason: Reason,
    },
    /// Send to the team's home.
    GrantRequest(GrantRequest),
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: u64,
    tokens: u64,
    deadline: Tick,
}

/// A router's slice of a team's bucket.
#[derive(Clone, Debug)]
pub struct Slice {
    settings: SliceSettings,
    home: u64,
    limits: Limits,
    counters: Counters,
    /// Counters at the moment the slice last changed its home.
    snapshot: Counters,
    report_at: Option<Tick>,
    waiting: VecDeque<Waiter>,
    /// Σ of the waiting requests' tokens.
    queued: u64,
    /// Refunds that the home hasn't acknowledged, by number; those up to `sent` were sent.
    refunds: Vec<Refund>,
    sent: u64,
    refund: u64,
    /// The home's clock as last told.
    home_at: Option<Tick>,
    /// Number of the last ask, and when it was sent unless it was answered.
    number: u64,
    asked: Option<Tick>,
    /// The home said that the need isn't met before this.
    retry: Tick,
    /// Whether the home has answered the first waiting request's need.
    answered: bool,
    /// Decayed tokens spent, and when it was brought up to date.
    recent: f64,
    recent_at: Tick,
    /// Least held since `low_at`.
    low: u64,
    low_at: Tick,
}
