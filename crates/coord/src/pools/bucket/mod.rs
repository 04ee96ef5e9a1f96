//! A team's token bucket at its home, the router that owns the limit.
//!
//! Invariant: `level + Σ holdings <= burst`, where a holding is what a live router was granted and
//! hasn't reported as spent or returned. It caps accrual, refunds and handed-over levels.
//!
//! A refund counts as if its tokens had never been reserved: it is credited as far as `level +
//! Σ holdings` would have stayed within the burst at all times since the reservation.
//!
//! A bucket that succeeds another home first takes an inventory, and grants nothing until each
//! member has sent its snapshot or has expired.

mod commands;
mod queries;
mod sum_history;

use std::collections::VecDeque;

use indexmap::IndexMap;
use indexmap::IndexSet;

use self::sum_history::SumHistory;
use super::Counters;
use super::Limits;
use crate::keys::MemberKey;
use crate::time::Tick;

/// The home's account of one router.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// Highest counters reported by the router; `granted` is the home's own count.
    pub counters: Counters,
    /// Highest number of the router's refunds that this home has processed.
    pub refund: u64,
}

/// State that a stopping home passes to its successor.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Handover {
    /// Available tokens, in microtokens.
    pub level: u64,
    /// The routers' accounts.
    pub accounts: IndexMap<MemberKey, Account>,
}

/// A router whose need couldn't be met yet.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    router: MemberKey,
    need: u64,
    /// When the router loses its place in the queue unless it requests again.
    expires: Tick,
}

/// A team's token bucket at its home.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// View epoch in which this home started.
    home_epoch: u64,
    limits: Limits,
    /// Microtokens that may be granted.
    level: u64,
    /// Time up to which tokens have accrued.
    accrued: Tick,
    accounts: IndexMap<MemberKey, Account>,
    /// Sum of the accounts' holdings in tokens.
    holdings: u128,
    /// Past maxima of `level + Σ holdings`, which cap later refunds.
    sum_history: SumHistory,
    /// Routers in the order in which they are served.
    waiters: VecDeque<Waiter>,
    /// Members whose snapshot the inventory still lacks.
    missing: IndexSet<MemberKey>,
    /// Routers whose membership has ended; their requests are rejected.
    expired: IndexSet<MemberKey>,
    /// Handover of the previous home, applied when the inventory completes.
    handover: Handover,
    /// Whether the bucket was handed over to the next home and grants nothing anymore.
    handed_over: bool,
}
