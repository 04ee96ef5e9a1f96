//! Weighted fair queue of one model.
//!
//! Each team has its own queue and a virtual time, which advances by tokens / weight when one of
//! its requests starts. The team with the lowest virtual time goes first. A team whose queue was
//! empty resumes at the virtual time of the last start, so an idle team doesn't accumulate
//! priority.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;

use super::RequestKey;
use crate::keys::TeamKey;
use crate::time::Tick;

/// Units of virtual time per token at weight 1.
const UNITS_PER_TOKEN: u64 = 1000;

/// Sort key of a request in its team's queue: its latest start, then its sequence number.
pub(super) type QueueKey = (Tick, u64);

#[derive(Clone, Debug, Default)]
struct TeamQueue {
    weight: u32,
    virtual_time: u64,
    /// Tokens charged but not used, which reduce later charges.
    credit: u64,
    /// When the team last enqueued; `None` once that is no longer recent.
    last_enqueued: Option<Tick>,
    waiting: BTreeMap<QueueKey, RequestKey>,
}

/// Weighted fair queue of one model.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    teams: IndexMap<TeamKey, TeamQueue>,
    /// Teams with waiting requests, by virtual time.
    by_virtual_time: BTreeSet<(u64, TeamKey)>,
    /// Recently active teams, least recent first.
    recent_teams: BTreeSet<(Tick, TeamKey)>,
    /// Sum of the weights of the recently active teams.
    active_weight: u64,
    /// Highest virtual time at which a request started.
    virtual_time: u64,
    len: usize,
}

impl FairQueue {
    /// Adds a request and sets the team's weight.
    pub(super) fn push(&mut self, team: TeamKey, weight: u32, key: QueueKey, request: RequestKey) {
        let queue = self.teams.entry(team).or_default();
        if queue.last_enqueued.is_some() {
            self.active_weight = self.active_weight - u64::from(queue.weight) + u64::from(weight);
        }
        queue.weight = weight;
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            self.by_virtual_time.insert((queue.virtual_time, team));
        }
        queue.waiting.insert(key, request);
        self.len += 1;
    }

    /// Marks a team as active at `now`.
    pub(super) fn record_activity(&mut self, team: TeamKey, now: Tick) {
        let Some(queue) = self.teams.get_mut(&team) else {
            return;
        };
        match queue.last_enqueued.replace(now) {
            Some(seen) => {
                self.recent_teams.remove(&(seen, team));
            }
            None => self.active_weight += u64::from(queue.weight),
        }
        self.recent_teams.insert((now, team));
    }

    /// Drops teams from the active set that didn't enqueue within `window`.
    pub(super) fn prune_activity(&mut self, window: Duration, now: Tick) {
        while let Some((seen, team)) = self.recent_teams.first().copied() {
            if now.since(seen) <= window {
                return;
            }
            self.recent_teams.pop_first();
            let Some(queue) = self.teams.get_mut(&team) else {
                continue;
            };
            queue.last_enqueued = None;
            self.active_weight -= u64::from(queue.weight);
        }
    }

    /// Removes a waiting request, if it is still queued.
    pub(super) fn remove(&mut self, team: TeamKey, key: QueueKey) {
        let Some(queue) = self.teams.get_mut(&team) else {
            return;
        };
        if queue.waiting.remove(&key).is_none() {
            return;
        }
        self.len -= 1;
        if queue.waiting.is_empty() {
            self.by_virtual_time.remove(&(queue.virtual_time, team));
        }
    }

    /// Advances a team's virtual time for a request that starts.
    pub(super) fn charge(&mut self, team: TeamKey, tokens: u64) {
        let Some(queue) = self.teams.get_mut(&team) else {
            return;
        };
        let credit = queue.credit.min(tokens);
        queue.credit -= credit;
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        let is_waiting = self.by_virtual_time.remove(&(queue.virtual_time, team));
        let units =
            (tokens - credit).saturating_mul(UNITS_PER_TOKEN) / u64::from(queue.weight.max(1));
        queue.virtual_time = queue.virtual_time.saturating_add(units);
        if is_waiting {
            self.by_virtual_time.insert((queue.virtual_time, team));
        }
    }

    /// Credits tokens that a request was charged but didn't use against the team's next charges.
    pub(super) fn refund(&mut self, team: TeamKey, tokens: u64) {
        if let Some(queue) = self.teams.get_mut(&team) {
            queue.credit = queue.credit.saturating_add(tokens);
        }
    }

    /// The first request of each team, lowest virtual time first.
    pub(super) fn heads(&self) -> impl Iterator<Item = RequestKey> + '_ {
        let queues = self.by_virtual_time.iter().filter_map(|(_, team)| self.teams.get(team));
        queues.filter_map(|queue| queue.waiting.values().next().copied())
    }

    /// Estimated number of the team's requests that must start by `latest_start`. It interpolates
    /// between the first and last request, so the cost doesn't grow with the queue's length.
    pub(super) fn estimate_ahead(&self, team: TeamKey, latest_start: Tick) -> usize {
        let Some(queue) = self.teams.get(&team) else {
            return 0;
        };
        let first = queue.waiting.first_key_value();
        let last = queue.waiting.last_key_value();
        let (Some(((first, _), _)), Some(((last, _), _))) = (first, last) else {
            return 0;
        };
        if latest_start >= *last {
            return queue.waiting.len();
        }
        let fraction = latest_start.since(*first).as_secs_f64() / last.since(*first).as_secs_f64();
        (queue.waiting.len() as f64 * fraction) as usize
    }

    /// Teams with waiting requests, at least 1.
    pub(super) fn waiting_teams(&self) -> usize {
        self.by_virtual_time.len().max(1)
    }

    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether a team other than `team` was active within `window`.
    pub(super) fn has_other_active_team(&self, team: TeamKey, window: Duration, now: Tick) -> bool {
        let last = self.recent_teams.iter().rev().take(2);
        last.into_iter().any(|(seen, other)| *other != team && now.since(*seen) <= window)
    }

    /// Sum of the weights of the recently active teams.
    pub(super) fn active_weight(&self) -> u64 {
        self.active_weight
    }
}
