//! Fair queue of one model.
//!
//! Each team has a lane with a virtual clock that advances by tokens over weight when a request of
//! it starts; the lane with the lowest clock goes first. A lane that was empty starts from the
//! clock of the last start, so nobody saves up turns.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;

use super::RequestKey;
use crate::keys::TeamKey;
use crate::time::Tick;

/// Clock units of one token at weight one.
const TOKEN: u64 = 1000;

/// Place of a request in its lane: its latest start, then its number.
pub(super) type Place = (Tick, u64);

#[derive(Clone, Debug, Default)]
struct Lane {
    weight: u32,
    clock: u64,
    /// Tokens that were charged but not used.
    credit: u64,
    /// When the team last enqueued, while that is recent.
    seen: Option<Tick>,
    waiting: BTreeMap<Place, RequestKey>,
}

/// Fair queue of one model.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    lanes: IndexMap<TeamKey, Lane>,
    /// Lanes with waiting requests, by clock.
    order: BTreeSet<(u64, TeamKey)>,
    /// Teams seen recently, oldest first, and the sum of their weights.
    recent: BTreeSet<(Tick, TeamKey)>,
    weight: u64,
    clock: u64,
    len: usize,
}

impl FairQueue {
    /// Adds a request.
    pub(super) fn push(&mut self, team: TeamKey, weight: u32, place: Place, request: RequestKey) {
        let lane = self.lanes.entry(team).or_default();
        if lane.seen.is_some() {
            self.weight = self.weight - u64::from(lane.weight) + u64::from(weight);
        }
        lane.weight = weight;
        if lane.waiting.is_empty() {
            lane.clock = lane.clock.max(self.clock);
            self.order.insert((lane.clock, team));
        }
        lane.waiting.insert(place, request);
        self.len += 1;
    }

    /// Notes that a team is active.
    pub(super) fn touch(&mut self, team: TeamKey, now: Tick) {
        let Some(lane) = self.lanes.get_mut(&team) else {
            return;
        };
        match lane.seen.replace(now) {
            Some(seen) => {
                self.recent.remove(&(seen, team));
            }
            None => self.weight += u64::from(lane.weight),
        }
        self.recent.insert((now, team));
    }

    /// Forgets activity that is older than `span`.
    pub(super) fn prune(&mut self, span: Duration, now: Tick) {
        while let Some((seen, team)) = self.recent.first().copied() {
            if now.since(seen) <= span {
                return;
            }
            self.recent.pop_first();
            let Some(lane) = self.lanes.get_mut(&team) else {
                continue;
            };
            lane.seen = None;
            self.weight -= u64::from(lane.weight);
        }
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, team: TeamKey, place: Place) {
        let Some(lane) = self.lanes.get_mut(&team) else {
            return;
        };
        if lane.waiting.remove(&place).is_none() {
            return;
        }
        self.len -= 1;
        if lane.waiting.is_empty() {
            self.order.remove(&(lane.clock, team));
        }
    }

    /// Charges a team for a request that starts.
    pub(super) fn charge(&mut self, team: TeamKey, tokens: u64) {
        let Some(lane) = self.lanes.get_mut(&team) else {
            return;
        };
        let credit = lane.credit.min(tokens);
        lane.credit -= credit;
        self.clock = self.clock.max(lane.clock);
        let waits = self.order.remove(&(lane.clock, team));
        let units = (tokens - credit).saturating_mul(TOKEN) / u64::from(lane.weight.max(1));
        lane.clock = lane.clock.saturating_add(units);
        if waits {
            self.order.insert((lane.clock, team));
        }
    }

    /// Gives back what a request was charged but didn't use.
    pub(super) fn refund(&mut self, team: TeamKey, tokens: u64) {
        if let Some(lane) = self.lanes.get_mut(&team) {
            lane.credit = lane.credit.saturating_add(tokens);
        }
    }

    /// The first request of each lane, in the order of turns.
    pub(super) fn heads(&self) -> impl Iterator<Item = RequestKey> + '_ {
        let lanes = self.order.iter().filter_map(|(_, team)| self.lanes.get(team));
        lanes.filter_map(|lane| lane.waiting.values().next().copied())
    }

    /// Requests of a team that have to start by `latest` or earlier, estimated from the span of
    /// its lane so that a long lane costs no more than a short one.
    pub(super) fn ahead(&self, team: TeamKey, latest: Tick) -> usize {
        let Some(lane) = self.lanes.get(&team) else {
            return 0;
        };
        let first = lane.waiting.first_key_value();
        let last = lane.waiting.last_key_value();
        let (Some(((first, _), _)), Some(((last, _), _))) = (first, last) else {
            return 0;
        };
        if latest >= *last {
            return lane.waiting.len();
        }
        let part = latest.since(*first).as_secs_f64() / last.since(*first).as_secs_f64();
        (lane.waiting.len() as f64 * part) as usize
    }

    /// Lanes with waiting requests.
    pub(super) fn lanes(&self) -> usize {
        self.order.len().max(1)
    }

    /// How many requests wait.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether a team other than `team` was seen within `span`.
    pub(super) fn is_contested(&self, team: TeamKey, span: Duration, now: Tick) -> bool {
        let last = self.recent.iter().rev().take(2);
        last.into_iter().any(|(seen, other)| *other != team && now.since(*seen) <= span)
    }

    /// Sum of the weights of the teams seen recently.
    pub(super) fn weight(&self) -> u64 {
        self.weight
    }
}
