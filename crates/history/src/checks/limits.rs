//! No team exceeds its rate and burst over all instances together.
//!
//! What counts is the net use: the tokens reserved less those returned later, at the time of the
//! admission. That in every window the net use stays within rate times window plus burst is the
//! same as that a token bucket that starts full is never overdrawn, which takes one pass. After a
//! change of the limit the larger of both rates and bursts counts until the change has to be in
//! force.

use indexmap::IndexMap;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Rounding that sums of tokens may gather.
const ROUNDING_TOKENS: f64 = 1e-3;
/// Microseconds of a second.
const SECOND_US: f64 = 1e6;

/// Rate and burst.
#[derive(Clone, Copy)]
struct Limit {
    rate: f64,
    burst: f64,
}

impl Limit {
    fn larger(self, other: Limit) -> Limit {
        Limit { rate: self.rate.max(other.rate), burst: self.burst.max(other.burst) }
    }
}

/// Bucket of one team.
struct Bucket<'a> {
    /// The limit, and before a change is in force the larger of both.
    loose: Limit,
    /// The limit from `change` on.
    limit: Limit,
    change: u64,
    level: f64,
    at: u64,
    source: &'a Record,
}

impl<'a> Bucket<'a> {
    fn new(limit: Limit, source: &'a Record) -> Self {
        let (level, at) = (limit.burst, source.at);
        Bucket { loose: limit, limit, change: at, level, at, source }
    }

    /// Fills up to `now`.
    fn fill(&mut self, now: u64) {
        if self.at < self.change {
            let end = now.min(self.change);
            self.fill_by(self.loose, end);
        }
        if now >= self.change {
            self.fill_by(self.limit, now);
        }
    }

    fn fill_by(&mut self, limit: Limit, end: u64) {
        let span = end.saturating_sub(self.at) as f64 / SECOND_US;
        self.level = (self.level + limit.rate * span).min(limit.burst);
        self.at = end.max(self.at);
    }

    /// Takes a new limit, which has to be in force at `change`.
    fn set(&mut self, limit: Limit, change: u64, source: &'a Record) {
        // While an earlier change isn't in force yet, its larger limit stays allowed too.
        let before = if self.at < self.change { self.loose } else { self.limit };
        // A larger burst comes with the tokens to fill it.
        self.level += (limit.burst - before.burst).max(0.0);
        self.loose = before.larger(limit);
        self.limit = limit;
        self.change = change;
        self.source = source;
    }
}

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Limits);
    let returned = returned(history);
    let mut credits = returned.clone();
    let mut buckets = IndexMap::<&str, Bucket<'_>>::new();
    for (record, event) in history.events() {
        match event {
            Event::TeamLimit { team, rate, burst } => {
                let limit = Limit { rate: *rate, burst: *burst };
                match buckets.get_mut(team.as_str()) {
                    Some(bucket) => {
                        bucket.fill(record.at);
                        bucket.set(limit, record.at + history.bounds.limit_us, record);
                    }
                    None => {
                        buckets.insert(team, Bucket::new(limit, record));
                    }
                }
            }
            Event::Admission { request, team, tokens } => {
                let Some(bucket) = buckets.get_mut(team.as_str()) else {
                    findings.fact(false, &[record], || format!("{team} has no limit"));
                    continue;
                };
                bucket.fill(record.at);
                let credit = credits.get_mut(&(request.as_str(), team.as_str()));
                bucket.level -= tokens - credit.map_or(0.0, |credit| use_up(credit, *tokens));
                let over = -bucket.level;
                findings.fact(over <= ROUNDING_TOKENS, &[bucket.source, record], || {
                    format!("{team} exceeds its rate and burst by {over:.3} tokens")
                });
            }
            _ => {}
        }
    }
    check_returns(history, &returned, &mut findings);
    findings
}

/// Takes at most `tokens` out of `credit` and returns how many.
fn use_up(credit: &mut f64, tokens: f64) -> f64 {
    let used = credit.min(tokens);
    *credit -= used;
    used
}

/// Tokens returned by request and team.
fn returned(history: &History) -> IndexMap<(&str, &str), f64> {
    let mut returned = IndexMap::new();
    for (_, event) in history.events() {
        if let Event::Returned { request, team, tokens } = event {
            *returned.entry((request.as_str(), team.as_str())).or_default() += *tokens;
        }
    }
    returned
}

/// No call returns more than it reserved.
fn check_returns(
    history: &History,
    returned: &IndexMap<(&str, &str), f64>,
    findings: &mut Findings,
) {
    let mut admitted = IndexMap::<(&str, &str), f64>::new();
    for (_, event) in history.events() {
        if let Event::Admission { request, team, tokens } = event {
            *admitted.entry((request, team)).or_default() += *tokens;
        }
    }
    for ((request, team), back) in returned {
        let taken = admitted.get(&(*request, *team)).copied().unwrap_or_default();
        findings.fact(*back <= taken + ROUNDING_TOKENS, &[], || {
            format!("{request} returned {back} tokens to {team} of {taken} reserved")
        });
    }
}
