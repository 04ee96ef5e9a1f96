//! A team's cap over the whole fleet.
//!
//! Every daemon keeps the whole team's bucket: it takes its own requests out as it admits them and
//! those of the others as they tell their totals. What a total says is never taken twice, and a
//! lost message is made good by the next. Daemons that are known but silent may be serving behind
//! a cut, so a daemon gains only the part of the rate that belongs to those it hears.
//!
//! In a large fleet only relays hear all totals. They tell the sum, and what is left of their own
//! buckets.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::serving::desired::Cap;
use crate::time::Tick;

/// Part of the tolerance that a bucket uses, so that a request inside the cap isn't refused for a
/// request that was counted a little early; the rest covers what the daemons admit before they
/// hear of each other.
const TOLERANCE_FRACTION: f64 = 0.5;
/// Part of the burst below which the other daemons should hear of each admission at once: a hot
/// team empties a full bucket in the time between two words.
const LOW_FRACTION: f64 = 0.8;
/// Part of the burst that a bucket holds where nothing is known of what was admitted before: what
/// the fleet admitted before it was lost and this part stay inside the tolerance.
const START_FRACTION: f64 = 0.25;
/// Time after which a relay's sum contains what a daemon admitted: two pauses between words.
const RELAY_LAG: Duration = Duration::from_millis(500);
/// Time after which an admission that no relay asked for is forgotten.
const RECENT_TTL: Duration = Duration::from_secs(2);
/// Shortest advice on when to come back, in seconds: below it callers only add load.
const MIN_RETRY_AFTER_S: f64 = 0.2;

/// By how much the fleet may exceed a cap, by the operator's word.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Part of rate and burst on top.
    pub overage: f64,
    /// Tokens on top of that, over any window.
    pub slack: f64,
}

impl Tolerance {
    /// The cap that a bucket works with.
    fn effective_cap(self, cap: Cap) -> Cap {
        let factor = 1.0 + self.overage * TOLERANCE_FRACTION;
        let burst = cap.burst * factor + self.slack * TOLERANCE_FRACTION;
        Cap { rate: cap.rate * factor, burst }
    }
}

/// What a daemon told of a team: tokens admitted since its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PeerTotal {
    incarnation: u64,
    total: i64,
}

/// What a relay tells of a team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayReport {
    /// Name of the relay.
    pub relay: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Tokens that it and all daemons that it hears admitted, less those given back.
    pub sum: i64,
    /// Tokens left in its bucket.
    pub level: i64,
}

/// One team's bucket.
#[derive(Clone, Debug)]
pub struct TeamBucket {
    /// The cap with its tolerance.
    cap: Cap,
    tolerance: Tolerance,
    /// Whether everything that others tell was admitted since this bucket began.
    since_start: bool,
    level: f64,
    refilled_at: Tick,
    total: i64,
    /// What others admitted, as far as they told.
    peers_total: i64,
    peer_totals: IndexMap<String, PeerTotal>,
    /// Own admissions that a relay's sum may not contain yet; below zero where tokens came back.
    recent: VecDeque<(Tick, i64)>,
    /// What a relay told last, where this daemon hears the others through it.
    last_relay_report: Option<RelayReport>,
}

impl TeamBucket {
    /// A bucket at the start of a daemon. `full` says that the whole fleet starts for the first
    /// time, so nothing was admitted before.
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

    /// Sets the cap of a new desired state.
    pub fn set_cap(&mut self, cap: Cap) {
        self.cap = self.tolerance.effective_cap(cap);
        self.level = self.level.min(self.cap.burst);
    }

    /// Admits a request of `tokens`, or says how long the team has to wait for it. `share` is the
    /// part of the fleet that this daemon hears, from 0 to 1.
    pub fn admit(&mut self, tokens: u64, live_fraction: f64, now: Tick) -> Result<(), Duration> {
        self.refill(live_fraction, now);
        let tokens = tokens as f64;
        // A request above the burst can never find its tokens; it goes once the bucket is full.
        let needed = tokens.min(self.cap.burst);
        if self.level >= needed {
            self.level -= tokens;
            self.record_admission(tokens as i64, now);
            return Ok(());
        }
        let rate = (self.cap.rate * live_fraction).max(1.0);
        let wait = ((needed - self.level) / rate).max(MIN_RETRY_AFTER_S);
        Err(Duration::from_secs_f64(wait))
    }

    /// Whether so little is left that the other daemons should hear of each admission at once.
    pub fn is_low(&self) -> bool {
        self.level < self.cap.burst * LOW_FRACTION
    }

    /// Gives back the tokens of an admitted request that never ran.
    pub fn refund(&mut self, tokens: u64, now: Tick) {
        self.level = (self.level + tokens as f64).min(self.cap.burst);
        self.record_admission(-(tokens as i64), now);
    }

    fn record_admission(&mut self, tokens: i64, now: Tick) {
        self.total += tokens;
        self.recent.push_back((now, tokens));
        self.drain_recent(RECENT_TTL, now);
    }

    /// Takes own admissions off the list that are older than `span`; gives their sum.
    fn drain_recent(&mut self, span: Duration, now: Tick) -> i64 {
        let mut sum = 0;
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= span) {
            sum += self.recent.pop_front().map_or(0, |(_, tokens)| tokens);
        }
        sum
    }

    /// Tokens admitted here since the daemon's start, less those given back.
    pub fn total(&self) -> i64 {
        self.total
    }

    /// Takes out what another daemon admitted since it last told its total; whether it told a new
    /// one.
    pub fn record_peer_total(&mut self, daemon: &str, incarnation: u64, total: i64) -> bool {
        let current = PeerTotal { incarnation, total };
        let before = self.peer_totals.insert(daemon.to_owned(), current);
        let since = match before {
            Some(before) if before.incarnation == incarnation => total - before.total,
            Some(_) => total,
            None if self.since_start => total,
            // It may have been admitted long before this daemon started, or a relay told of it.
            None => 0,
        };
        self.last_relay_report = None;
        self.peers_total += since;
        self.level = (self.level - since as f64).min(self.cap.burst);
        before != Some(current)
    }

    /// Tokens admitted here and by those that were heard, less those given back.
    pub fn known_total(&self) -> i64 {
        self.total + self.peers_total
    }

    /// The level now, in whole tokens; below zero where the team is in debt.
    pub fn level(&mut self, live_fraction: f64, now: Tick) -> i64 {
        self.refill(live_fraction, now);
        self.level as i64
    }

    /// Takes in what a relay tells: what all daemons admitted since it told last, where own
    /// admissions count once; and its level where that is lower, since it may know of admissions
    /// from before this daemon heard it.
    pub fn apply_relay_report(&mut self, report: RelayReport, live_fraction: f64, now: Tick) {
        // What was gained before the relay told must not be added to its level later.
        self.refill(live_fraction, now);
        // The relay's sum contains these by now.
        let own = self.drain_recent(RELAY_LAG, now);
        let same = |last: &&RelayReport| {
            (&last.relay, last.incarnation) == (&report.relay, report.incarnation)
        };
        if let Some(last) = self.last_relay_report.as_ref().filter(same) {
            self.level += (own - (report.sum - last.sum)) as f64;
        }
        self.level = self.level.min(report.level as f64).min(self.cap.burst);
        self.last_relay_report = Some(report);
        // What others tell first from now on is in the relay's sum.
        self.since_start = false;
        self.peer_totals.clear();
    }

    fn refill(&mut self, live_fraction: f64, now: Tick) {
        let gained = self.cap.rate * live_fraction * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + gained).min(self.cap.burst);
        self.refilled_at = now;
    }
}
