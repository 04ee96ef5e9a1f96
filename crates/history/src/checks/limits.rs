//! Checks that no team exceeds its rate and burst, summed over all instances.
//!
//! The check counts net use: tokens reserved minus tokens returned later, at the time of admission.
//! Net use stays within rate times window plus burst in every window if and only if a token bucket
//! that starts full is never overdrawn, which one pass can check. After a limit changes, the larger
//! rate and the larger burst apply until the change must be enforced.

use indexmap::IndexMap;

use crate::event::Event;
use crate::event::Record;
use crate::history::History;
use crate::report::Findings;
use crate::report::Property;

/// Tolerance for rounding errors in token sums.
const ROUNDING_TOKENS: f64 = 1e-3;
/// Microseconds per second.
const SECOND_US: f64 = 1e6;

/// Rate in tokens per second and burst in tokens.
#[derive(Clone, Copy)]
struct Limit {
    rate: f64,
    burst: f64,
}

impl Limit {
    fn upper_bound(self, other: Limit) -> Limit {
        Limit { rate: self.rate.max(other.rate), burst: self.burst.max(other.burst) }
    }
}

/// Token bucket of one team; times in microseconds.
struct Bucket<'a> {
    /// Limit until `effective_at`: the larger of the previous and the new one.
    transition_limit: Limit,
    /// Limit from `effective_at` on.
    limit: Limit,
    effective_at: u64,
    level: f64,
    updated_at: u64,
    source: &'a Record,
}

impl<'a> Bucket<'a> {
    fn new(limit: Limit, source: &'a Record) -> Self {
        let (level, updated_at) = (limit.burst, source.at);
        Bucket {
            transition_limit: limit,
            limit,
            effective_at: updated_at,
            level,
            updated_at,
            source,
        }
    }

    /// Refills the bucket up to `now`.
    fn refill(&mut self, now: u64) {
        if self.updated_at < self.effective_at {
            let end = now.min(self.effective_at);
            self.refill_at(self.transition_limit, end);
        }
        if now >= self.effective_at {
            self.refill_at(self.limit, now);
        }
    }

    fn refill_at(&mut self, limit: Limit, end: u64) {
        let span = end.saturating_sub(self.updated_at) as f64 / SECOND_US;
        self.level = (self.level + limit.rate * span).min(limit.burst);
        self.updated_at = end.max(self.updated_at);
    }

    /// Sets a new limit, which must be enforced from `effective_at` on.
    fn set(&mut self, limit: Limit, effective_at: u64, source: &'a Record) {
        // Until an earlier change must be enforced, its larger limit is still allowed.
        let before =
            if self.updated_at < self.effective_at { self.transition_limit } else { self.limit };
        // Increasing the burst adds the tokens of the difference.
        self.level += (limit.burst - before.burst).max(0.0);
        self.transition_limit = before.upper_bound(limit);
        self.limit = limit;
        self.effective_at = effective_at;
        self.source = source;
    }
}

/// Checks the property.
pub fn check(history: &History) -> Findings {
    let mut findings = Findings::new(Property::Limits);
    let returned = sum_returned(history);
    let mut credits = returned.clone();
    let mut buckets = IndexMap::<&str, Bucket<'_>>::new();
    for (record, event) in history.events() {
        match event {
            Event::TeamLimit { team, rate, burst } => {
                let limit = Limit { rate: *rate, burst: *burst };
                match buckets.get_mut(team.as_str()) {
                    Some(bucket) => {
                        bucket.refill(record.at);
                        bucket.set(limit, record.at + history.bounds.limit_us, record);
                    }
                    None => {
                        buckets.insert(team, Bucket::new(limit, record));
                    }
                }
            }
            Event::Admission { request, team, tokens } => {
                let Some(bucket) = buckets.get_mut(team.as_str()) else {
                    findings.verify(false, &[record], || format!("{team} has no limit"));
                    continue;
                };
                bucket.refill(record.at);
                let credit = credits.get_mut(&(request.as_str(), team.as_str()));
                bucket.level -= tokens - credit.map_or(0.0, |credit| deduct(credit, *tokens));
                let over = -bucket.level;
                findings.verify(over <= ROUNDING_TOKENS, &[bucket.source, record], || {
                    format!("{team} exceeds its rate and burst by {over:.3} tokens")
                });
            }
            _ => {}
        }
    }
    check_returns(history, &returned, &mut findings);
    findings
}

/// Deducts at most `tokens` from `credit` and returns the deducted amount.
fn deduct(credit: &mut f64, tokens: f64) -> f64 {
    let used = credit.min(tokens);
    *credit -= used;
    used
}

/// Sums the returned tokens by request and team.
fn sum_returned(history: &History) -> IndexMap<(&str, &str), f64> {
    let mut returned = IndexMap::new();
    for (_, event) in history.events() {
        if let Event::Returned { request, team, tokens } = event {
            *returned.entry((request.as_str(), team.as_str())).or_default() += *tokens;
        }
    }
    returned
}

/// Checks that no call returns more tokens than it reserved.
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
    for ((request, team), refunded) in returned {
        let reserved = admitted.get(&(*request, *team)).copied().unwrap_or_default();
        findings.verify(*refunded <= reserved + ROUNDING_TOKENS, &[], || {
            format!("{request} returned {refunded} tokens to {team}, but reserved {reserved}")
        });
    }
}
