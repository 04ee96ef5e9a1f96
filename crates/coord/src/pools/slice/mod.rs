//! A router's local part of a team's bucket.
//!
//! Requests reserve tokens that the slice holds, and queue in order if it holds too few. The slice
//! requests more tokens from the home before it runs out. Tokens that stay unused for the idle time
//! go back to the home.
//!
//! The caller sends each [`Effect::GrantRequest`] to the team's home, passes the response to
//! [`Slice::handle_grant`], and calls [`Slice::tick`] every few tens of milliseconds while
//! [`Slice::is_busy`].

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
    /// Tokens to hold, as the time in which recent usage spends them. With zero, each request
    /// waits for the home.
    pub target_time: Duration,
    /// Tokens unused for this long go back to the home.
    pub idle_time: Duration,
    /// Time without a response after which the slice sends a new [`GrantRequest`].
    pub request_timeout: Duration,
    /// Maximum delay of reports of spent, returned and refunded tokens.
    pub report_delay: Duration,
    /// Maximum number of queued requests.
    pub max_queued: usize,
}

impl Default for SliceSettings {
    fn default() -> Self {
        SliceSettings {
            target_time: Duration::from_millis(200),
            idle_time: Duration::from_secs(1),
            request_timeout: Duration::from_millis(100),
            report_delay: Duration::from_millis(200),
            max_queued: 1024,
        }
    }
}

/// Tokens reserved for one request. [`Slice::settle`] consumes it, so it is settled only once.
#[derive(Debug, Eq, PartialEq)]
#[must_use]
pub struct Reservation {
    tokens: u64,
    /// Home at the time of the reservation.
    home_epoch: u64,
    /// Latest known time on that home's clock; `None` if the home hadn't responded yet.
    since: Option<Tick>,
}

/// Why a request was refused by its team's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The team's rate can't supply the tokens before the deadline.
    Rate,
    /// The request needs more tokens than the team's burst.
    TooLarge,
    /// Too many requests of the team are queued at this router.
    QueueFull,
    /// The home didn't respond before the deadline.
    HomeTimeout,
}

/// Action that the caller has to carry out.
#[derive(Debug, Eq, PartialEq)]
pub enum Effect {
    /// The request may run.
    Reserved {
        /// Ticket of the request.
        ticket: u64,
        /// Reservation to settle after the request.
        reservation: Reservation,
    },
    /// The request is refused and must not run.
    Refused {
        /// Ticket of the request.
        ticket: u64,
        /// Time after which a retry may succeed.
        wait: Duration,
        /// Reason of the refusal.
        reason: Reason,
    },
    /// Send this request to the team's home.
    GrantRequest(GrantRequest),
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: u64,
    tokens: u64,
    deadline: Tick,
}

/// A router's local part of a team's bucket.
#[derive(Clone, Debug)]
pub struct Slice {
    settings: SliceSettings,
    /// View epoch in which the current home started.
    home_epoch: u64,
    limits: Limits,
    counters: Counters,
    /// Counters when the slice last switched to another home.
    snapshot: Counters,
    /// When to send the next report; `None` if the home is up to date.
    report_due: Option<Tick>,
    waiters: VecDeque<Waiter>,
    /// Sum of the queued requests' tokens.
    queued_tokens: u64,
    /// Refunds that the home hasn't acknowledged, ordered by number.
    refunds: Vec<Refund>,
    /// Number of the last refund that was sent.
    sent_refund: u64,
    /// Number of the last refund.
    last_refund: u64,
    /// Latest known time on the home's clock.
    home_time: Option<Tick>,
    /// Number of the last [`GrantRequest`].
    last_request: u64,
    /// When it was sent; `None` once the home has responded.
    requested_at: Option<Tick>,
    /// Earliest time for the next [`GrantRequest`], from the home's last response.
    retry_at: Tick,
    /// Whether the home has responded to the need of the first queued request.
    home_answered: bool,
    /// Tokens spent, exponentially decayed, as of `usage_at`.
    usage: f64,
    usage_at: Tick,
    /// Fewest tokens held since `lowest_since`.
    lowest_held: u64,
    lowest_since: Tick,
}
