//! Enforces a team's rate limit over the whole fleet.
//!
//! Every daemon keeps a token bucket for the whole team. It deducts the requests that it admits,
//! and those of the other daemons when they report their running totals. Each total is deducted
//! only once, and the next total makes up for a lost message. A daemon that is known but silent may
//! still serve behind a network partition, so the bucket refills only at the fraction of the rate
//! that belongs to live daemons.
//!
//! In a large fleet only relays receive the totals of all daemons. They report the sum of the
//! totals, and the level of their own bucket.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::serving::desired::Cap;
use crate::time;
use crate::time::Tick;

/// Fraction of the tolerance that a bucket uses, so that a request within the limit isn't refused
/// because an earlier one was counted slightly too early. The rest covers what the daemons admit
/// before they receive each other's totals, and requests that waited for an engine and so run closer
/// together than they were admitted.
const TOLERANCE_FRACTION: f64 = 0.35;
/// Fraction of the burst below which each admission is reported to the other daemons immediately. A
/// busy team can drain a full bucket between two regular reports.
const LOW_FRACTION: f64 = 0.8;
/// Fraction of the burst in a new bucket when earlier admissions are unknown. Together with what
/// the fleet may have admitted before, it stays within the tolerance.
const START_FRACTION: f64 = 0.25;
/// Time after which a relay's sum includes an admission of this daemon: two report intervals.
const RELAY_LAG: Duration = Duration::from_millis(500);
/// Time after which an own admission is discarded if no relay report has accounted for it.
const RECENT_TTL: Duration = Duration::from_secs(2);
/// Shortest retry delay returned to callers, in seconds. Earlier retries would only add load.
const MIN_RETRY_AFTER_S: f64 = 0.2;

/// Amount by which the fleet may exceed a limit, as configured by the operator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Additional fraction of the rate and the burst.
    pub overage: f64,
    /// Additional tokens over any time window.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the limit that a bucket enforces.
    fn effective_cap(self, cap: Cap) -> Cap {
        let factor = 1.0 + self.overage * TOLERANCE_FRACTION;
        let burst = cap.burst * factor + self.slack * TOLERANCE_FRACTION;
        Cap { rate: cap.rate * factor, burst }
    }
}

/// Running total of tokens that a daemon has admitted for a team since it started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PeerTotal {
    incarnation: u64,
    total: i64,
}

/// State of a team as reported by a relay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayReport {
    /// Name of the relay.
    pub relay: String,
    /// Incarnation of the relay.
    pub incarnation: u64,
    /// Tokens admitted by the relay and all daemons it receives reports from, minus refunds.
    pub sum: i64,
    /// Tokens left in the relay's bucket.
    pub level: i64,
}

/// Token bucket of one team.
#[derive(Clone, Debug)]
pub struct TeamBucket {
    /// Limit including the tolerance.
    cap: Cap,
    tolerance: Tolerance,
    /// Whether the first total of a daemon contains only admissions made since this bucket was
    /// created.
    since_start: bool,
    level: f64,
    refilled_at: Tick,
    total: i64,
    /// Tokens admitted by other daemons according to their reports.
    peers_total: i64,
    peer_totals: IndexMap<String, PeerTotal>,
    /// Own admissions that relay sums may not include yet; refunds are negative.
    recent: VecDeque<(Tick, i64)>,
    /// Latest report of a relay, if this daemon depends on relays.
    last_relay_report: Option<RelayReport>,
}

impl TeamBucket {
    /// Creates the bucket of a daemon that starts. `full` means that the whole fleet starts for the
    /// first time, so nothing was admitted before.
    pub fn new(cap: Cap, tolerance: Tolerance, full: bool, now: Tick) -> Self {
        let cap = tolerance.effective_cap(cap);
        let fill = if full { 1.0 } else { START_FRACTION };
        TeamBucket {
            cap,
            tolerance,
            since_start: full,
            level: cap.burst * fill,
            refilled_at: now,
            total: 0,
            peers_total: 0,
            peer_totals: IndexMap::new(),
            recent: VecDeque::new(),
            last_relay_report: None,
        }
    }

    /// Sets the limit from a new desired state.
    pub fn set_cap(&mut self, cap: Cap) {
        self.cap = self.tolerance.effective_cap(cap);
        self.level = self.level.min(self.cap.burst);
    }

    /// Admits a request of `tokens`, or returns the time until the team may retry. `live_fraction`
    /// is the fraction of the fleet that this daemon receives reports from, from 0 to 1.
    pub fn admit(&mut self, tokens: u64, live_fraction: f64, now: Tick) -> Result<(), Duration> {
        self.refill(live_fraction, now);
        let tokens = signed(tokens);
        // A request above the burst could never be covered, so it is admitted when the bucket is
        // full.
        let needed = (tokens as f64).min(self.cap.burst);
        if self.level >= needed {
            self.level -= tokens as f64;
            self.record_admission(tokens, now);
            return Ok(());
        }
        let rate = (self.cap.rate * live_fraction).max(1.0);
        let wait = ((needed - self.level) / rate).max(MIN_RETRY_AFTER_S);
        Err(time::saturating_seconds(wait))
    }

    /// Returns whether each admission should be reported to the other daemons immediately.
    pub fn is_low(&self) -> bool {
        self.level < self.cap.burst * LOW_FRACTION
    }

    /// Gives back the tokens of an admitted request that didn't run.
    pub fn refund(&mut self, tokens: u64, now: Tick) {
        self.level = (self.level + tokens as f64).min(self.cap.burst);
        self.record_admission(-signed(tokens), now);
    }

    fn record_admission(&mut self, tokens: i64, now: Tick) {
        self.total = self.total.saturating_add(tokens);
        self.recent.push_back((now, tokens));
        self.drain_recent(RECENT_TTL, now);
    }

    /// Removes own admissions that are at least `span` old, and returns their sum.
    fn drain_recent(&mut self, span: Duration, now: Tick) -> i64 {
        let mut sum: i64 = 0;
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= span) {
            let (_, tokens) = self.recent.pop_front().unwrap_or_default();
            sum = sum.saturating_add(tokens);
        }
        sum
    }

    /// Returns the tokens admitted by this daemon since it started, minus refunds.
    pub fn total(&self) -> i64 {
        self.total
    }

    /// Deducts what another daemon has admitted since its previous total. Returns whether the total
    /// is new.
    pub fn record_peer_total(&mut self, daemon: &str, incarnation: u64, total: i64) -> bool {
        let current = PeerTotal { incarnation, total };
        let before = self.peer_totals.insert(daemon.to_owned(), current);
        let admitted = match before {
            Some(before) if before.incarnation == incarnation => total.saturating_sub(before.total),
            Some(_) => total,
            None if self.since_start => total,
            // The tokens may have been admitted long before this daemon started, or a relay
            // reported them.
            None => 0,
        };
        self.last_relay_report = None;
        self.peers_total = self.peers_total.saturating_add(admitted);
        self.level = (self.level - admitted as f64).min(self.cap.burst);
        before != Some(current)
    }

    /// Returns the tokens admitted by this daemon and those it receives reports from, minus
    /// refunds.
    pub fn known_total(&self) -> i64 {
        self.total.saturating_add(self.peers_total)
    }

    /// Returns the current level in whole tokens; negative if the team is in debt.
    pub fn level(&mut self, live_fraction: f64, now: Tick) -> i64 {
        self.refill(live_fraction, now);
        self.level as i64
    }

    /// Applies a relay's report. Deducts what all daemons have admitted since its previous report,
    /// without counting own admissions twice. Lowers the level to the relay's if that is lower,
    /// since the relay may know admissions from before this daemon received its reports.
    pub fn apply_relay_report(&mut self, report: RelayReport, live_fraction: f64, now: Tick) {
        // Tokens gained before the report must not be added to the reported level later.
        self.refill(live_fraction, now);
        // The relay's sum includes these admissions by now.
        let own_admissions = self.drain_recent(RELAY_LAG, now);
        let is_same_relay = |last: &&RelayReport| {
            (&last.relay, last.incarnation) == (&report.relay, report.incarnation)
        };
        if let Some(last) = self.last_relay_report.as_ref().filter(is_same_relay) {
            let admissions = report.sum.saturating_sub(last.sum);
            self.level += own_admissions.saturating_sub(admissions) as f64;
        }
        self.level = self.level.min(report.level as f64).min(self.cap.burst);
        self.last_relay_report = Some(report);
        // From now on, the first total of a daemon is already included in the relay's sum.
        self.since_start = false;
        self.peer_totals.clear();
    }

    fn refill(&mut self, live_fraction: f64, now: Tick) {
        let gained = self.cap.rate * live_fraction * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + gained).min(self.cap.burst);
        self.refilled_at = now;
    }
}

/// Returns a number of tokens as a total, which refunds make smaller.
fn signed(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}
