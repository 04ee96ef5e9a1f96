//! A team's token bucket at its home.
//!
//! Invariant: `level + Σ holdings <= burst`, where a holding is what a live router was granted and
//! hasn't reported as spent or returned. Accrual, refunds and handed-over levels are all capped by
//! it. A refund counts as if its tokens had never been taken: it is credited as far as `level +
//! Σ holdings` would have stayed within the burst ever since the reservation. A bucket that starts after another home takes inventory first and grants nothing until each
//! member has answered or lapsed.

mod commands;
mod peaks;
mod queries;

use std::collections::VecDeque;

use indexmap::IndexMap;
use indexmap::IndexSet;

use self::peaks::Peaks;
use super::Counters;
use super::Limits;
use crate::keys::MemberKey;
use crate::time::Tick;

/// What the home knows of one router.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// Highest counters seen; `granted` is the home's own.
    pub counters: Counters,
    /// Highest number of its refunds that this home took.
    pub refund: u64,
}

/// What a home that stops hands to the next.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Handover {
    /// Level in microtokens.
    pub level: u64,
    /// Accounts as last seen.
    pub accounts: IndexMap<MemberKey, Account>,
}

/// A router that waits for its need.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    router: MemberKey,
    need: u64,
    until: Tick,
}

/// A team's token bucket at its home.
#[derive(Clone, Debug)]
pub struct Bucket {
    home: u64,
    limits: Limits,
    /// Microtokens that may be granted.
    level: u64,
    /// Accrual is counted up to here.
    filled: Tick,
    accounts: IndexMap<MemberKey, Account>,
    /// Σ of the accounts' holdings in tokens.
    holdings: u64,
    /// Level and holdings over time, refunds included, which bound later refunds.
    peaks: Peaks,
    waiting: VecDeque<Waiter>,
    missing: IndexSet<MemberKey>,
    lapsed: IndexSet<MemberKey>,
    handed: Handover,
    stopped: bool,
}
