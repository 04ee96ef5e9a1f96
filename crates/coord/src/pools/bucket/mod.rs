//! A team's token bucket at its home.
//!
//! Invariant: `level + Σ holdings <= burst`, where a holding is what a live router was granted and
//! hasn't reported as spent or returned. Accrual, refunds and handed-over levels are all capped by
//! it. A bucket that starts after another home takes inventory first and grants nothing until each
//! member has answered or lapsed.

mod commands;
mod queries;

use std::collections::VecDeque;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Counters;
use super::Limits;
use crate::keys::MemberKey;
use crate::time::Tick;

/// What the home knows of one router.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// Highest counters seen; `granted` is the home's own.
    pub counters: Counters,
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
    /// Microtokens of refunds that were credited.
    credited: u64,
    waiting: VecDeque<Waiter>,
    missing: IndexSet<MemberKey>,
    lapsed: IndexSet<MemberKey>,
    handed: Handover,
    stopped: bool,
}
