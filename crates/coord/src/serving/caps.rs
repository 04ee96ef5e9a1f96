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
const TOLERANCE_SHARE: f64 = 0.5;
/// Part of the burst below which the other daemons should hear of each admission at once: a hot
/// team empties a full bucket in the time between two words.
const LOW_SHARE: f64 = 0.8;
/// Part of the burst that a bucket holds where nothing is known of what was admitted before: what
/// the fleet admitted before it was lost and this part stay inside the tolerance.
const START_SHARE: f64 = 0.25;
/// Time after which a relay's sum contains what a daemon admitted: two pauses between words.
const SUM_LAG: Duration = Duration::from_millis(500);
/// Time after which an admission that no relay asked for is forgotten.
const RECENT_SPAN: Duration = Duration::from_secs(2);
/// Shortest advice on when to come back, in seconds: below it callers only add load.
const SHORTEST_WAIT: f64 = 0.2;

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
    fn stretch(self, cap: Cap) -> Cap {
        let factor = 1.0 + self.overage * TOLERANCE_SHARE;
        let burst = cap.burst * factor + self.slack * TOLERANCE_SHARE;
        Cap { rate: cap.rate * factor, burst }
    }
}

/// What a daemon told of a team: tokens admitted since its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Told {
    incarnation: u64,
    total: i64,
}

/// What a relay tells of a team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Relayed {
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
    complete: bool,
    level: f64,
    at: Tick,
    total: i64,
    /// What others admitted, as far as they told.
    heard: i64,
    told: IndexMap<String, Told>,
    /// Own admissions that a relay's sum may not contain yet; below zero where tokens came back.
    recent: VecDeque<(Tick, i64)>,
    /// What a relay told last, where this daemon hears the others through it.
    relayed: Option<Relayed>,
}

impl TeamBucket {
    /// A bucket at the start of a daemon. `full` says that the whole fleet starts for the first
    /// time, so nothing was admitted before.
    pub fn new(cap: Cap, tolerance: Tolerance, full: bool, now: Tick) -> Self {
        let cap = tolerance.stretch(cap);
        let share = if full { 1.0 } else { START_SHARE };
        TeamBucket {
            cap,
            tolerance,
            complete: full,
            level: cap.burst * share,
            at: now,
            total: 0,
            heard: 0,
            told: IndexMap::new(),
            recent: VecDeque::new(),
            relayed: None,
        }
    }

    /// Sets the cap of a new desired state.
    pub fn set_cap(&mut self, cap: Cap) {
        self.cap = self.tolerance.stretch(cap);
        self.level = self.level.min(self.cap.burst);
    }

    /// Admits a request of `tokens`, or says how long the team has to wait for it. `share` is the
    /// part of the fleet that this daemon hears, from 0 to 1.
    pub fn admit(&mut self, tokens: u64, share: f64, now: Tick) -> Result<(), Duration> {
        self.refill(share, now);
        let tokens = tokens as f64;
        // A request above the burst can never find its tokens; it goes once the bucket is full.
        let needed = tokens.min(self.cap.burst);
        if self.level >= needed {
            self.level -= tokens;
            self.count(tokens as i64, now);
            return Ok(());
        }
        let rate = (self.cap.rate * share).max(1.0);
        let wait = ((needed - self.level) / rate).max(SHORTEST_WAIT);
        Err(Duration::from_secs_f64(wait))
    }

    /// Whether so little is left that the other daemons should hear of each admission at once.
    pub fn is_low(&self) -> bool {
        self.level < self.cap.burst * LOW_SHARE
    }

    /// Gives back the tokens of an admitted request that never ran.
    pub fn refund(&mut self, tokens: u64, now: Tick) {
        self.level = (self.level + tokens as f64).min(self.cap.burst);
        self.count(-(tokens as i64), now);
    }

    fn count(&mut self, tokens: i64, now: Tick) {
        self.total += tokens;
        self.recent.push_back((now, tokens));
        self.settle(RECENT_SPAN, now);
    }

    /// Takes own admissions off the list that are older than `span`; gives their sum.
    fn settle(&mut self, span: Duration, now: Tick) -> i64 {
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
    pub fn hear(&mut self, daemon: &str, incarnation: u64, total: i64) -> bool {
        let told = Told { incarnation, total };
        let before = self.told.insert(daemon.to_owned(), told);
        let since = match before {
            Some(before) if before.incarnation == incarnation => total - before.total,
            Some(_) => total,
            None if self.complete => total,
            // It may have been admitted long before this daemon started, or a relay told of it.
            None => 0,
        };
        self.relayed = None;
        self.heard += since;
        self.level = (self.level - since as f64).min(self.cap.burst);
        before != Some(told)
    }

    /// Tokens admitted here and by those that were heard, less those given back.
    pub fn sum(&self) -> i64 {
        self.total + self.heard
    }

    /// The level now, in whole tokens; below zero where the team is in debt.
    pub fn level(&mut self, share: f64, now: Tick) -> i64 {
        self.refill(share, now);
        self.level as i64
    }

    /// Takes in what a relay tells: what all daemons admitted since it told last, where own
    /// admissions count once; and its level where that is lower, since it may know of admissions
    /// from before this daemon heard it.
    pub fn follow(&mut self, told: Relayed, share: f64, now: Tick) {
        // What was gained before the relay told must not be added to its level later.
        self.refill(share, now);
        // The relay's sum contains these by now.
        let own = self.settle(SUM_LAG, now);
        let same =
            |last: &&Relayed| (&last.relay, last.incarnation) == (&told.relay, told.incarnation);
        if let Some(last) = self.relayed.as_ref().filter(same) {
            self.level += (own - (told.sum - last.sum)) as f64;
        }
        self.level = self.level.min(told.level as f64).min(self.cap.burst);
        self.relayed = Some(told);
        // What others tell first from now on is in the relay's sum.
        self.complete = false;
        self.told.clear();
    }

    fn refill(&mut self, share: f64, now: Tick) {
        let gained = self.cap.rate * share * now.since(self.at).as_secs_f64();
        self.level = (self.level + gained).min(self.cap.burst);
        self.at = now;
    }
}
