//! Keeps the order of the requests that wait for a place at an engine. The decisions are in
//! [`corianderyoke_coord::serving::admission`].

use std::cell::OnceCell;
use std::sync::Arc;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::admission::Ask;
use corianderyoke_coord::serving::admission::Crowd;
use corianderyoke_coord::serving::admission::Estimate;
use corianderyoke_coord::serving::admission::Fleet;
use corianderyoke_coord::serving::admission::Limits;
use corianderyoke_coord::serving::admission::Verdict;
use corianderyoke_coord::serving::admission::ESTIMATE_INTERVAL;
use corianderyoke_coord::serving::choice::Candidate;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;

use crate::call::Call;
use crate::refusal::Refusal;
use crate::state::Shared;
use crate::state::State;

/// Place of a request in the queue, given up when dropped.
#[derive(Debug)]
pub struct Turn {
    shared: Arc<Shared>,
    ask: Ask,
    crowd: Crowd,
    since: Tick,
    /// Time of the next estimate.
    estimate_at: Tick,
}

impl Turn {
    /// Starts the wait of a request that found no place.
    pub fn begin(call: &Call, crowd: Crowd, now: Tick) -> Self {
        let shared = Arc::clone(&call.shared);
        shared.metrics.queued_requests.inc();
        let turn = Turn { shared, ask: call.ask, crowd, since: now, estimate_at: now };
        turn.shared.state().queue.insert(turn.ask, &turn.crowd.engines);
        turn
    }

    /// Returns whether the request may look for a place now.
    pub fn is_due(&self, now: Tick) -> bool {
        now >= self.estimate_at || self.shared.state().queue.is_active(self.ask.rank.id)
    }

    /// Records that the request found no place again. Returns the refusal if its turn can't come in
    /// time and `may_refuse` is set.
    pub fn update(
        &mut self,
        call: &Call,
        crowd: Crowd,
        may_refuse: bool,
        now: Tick,
    ) -> Option<Refusal> {
        let mut state = self.shared.state();
        if now < self.estimate_at && self.crowd.engines == crowd.engines {
            return None;
        }
        self.crowd = crowd;
        // A displaced request isn't inserted again, so that the verdict refuses it.
        if state.queue.is_waiting(self.ask.rank.id) {
            self.ask.rank = state.queue.rank(&call.service, call.ask.rank);
            state.queue.insert(self.ask, &self.crowd.engines);
        }
        if !may_refuse {
            self.estimate_at = now + ESTIMATE_INTERVAL;
            return None;
        }
        match state.queue.verdict(&call.service, self.ask, &self.crowd, limits(call), now) {
            Verdict::WaitUntil(at) => {
                self.estimate_at = at;
                None
            }
            Verdict::Refuse(delay, estimate) => {
                let refusal = Refusal::Overloaded(delay);
                self.log_refusal(call, &state, refusal, estimate, now);
                Some(refusal)
            }
        }
    }

    /// Returns the refusal of the request, whose time is up.
    pub fn expire(&self, call: &Call, now: Tick) -> Refusal {
        let mut state = self.shared.state();
        let queue = &mut state.queue;
        let estimate = queue.estimate(self.ask.rank, &self.crowd.engines, now);
        let delay = queue.retry_after(&call.service, self.ask.rank, estimate, limits(call), now);
        let refusal = Refusal::Overloaded(delay);
        self.log_refusal(call, &state, refusal, estimate, now);
        refusal
    }

    fn log_refusal(
        &self,
        call: &Call,
        state: &State,
        refusal: Refusal,
        estimate: Estimate,
        now: Tick,
    ) {
        events::log(
            Event::TurnLate,
            format_args!(
                "id={} priority={} ahead={:.1} rate={:.2} wait_ms={} waited_ms={} left_ms={} \
                 retry_ms={} queued={} engines={} taken={} places={} digest_age_ms={}",
                call.id,
                call.priority,
                estimate.ahead,
                estimate.rate,
                estimate.wait.as_millis(),
                now.since(self.since).as_millis(),
                call.start_deadline.since(now).as_millis(),
                refusal.retry_after().unwrap_or_default().as_millis(),
                state.queue.len(),
                self.crowd.engines.len(),
                self.crowd.taken,
                self.crowd.places,
                state.digest_age(now).as_millis()
            ),
        );
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.shared.state().queue.remove(self.ask.rank.id);
        let metrics = &self.shared.metrics;
        metrics.queued_requests.dec();
        metrics.queue_time.observe(clock::now().since(self.since).as_secs_f64());
    }
}

fn limits(call: &Call) -> Limits {
    Limits { start: call.start_deadline, end: call.caller_deadline, seed: call.seed() }
}

/// Removes the candidates at which more urgent requests come first.
pub fn retain_permitted(call: &Call, state: &State, candidates: &mut Vec<Candidate>, now: Tick) {
    let rank = state.queue.rank(&call.service, call.ask.rank);
    let ask = Ask { rank, ..call.ask };
    let fleet = OnceCell::new();
    let fleet = || {
        *fleet.get_or_init(|| Fleet {
            daemons: state.roster.size(),
            engines: state.engines.usable(&call.service, now).len(),
        })
    };
    let fraction = call.shared.choice.memory_fraction;
    candidates.retain(|candidate| {
        let usable = (candidate.capacity as f64 * fraction) as u64;
        state.queue.permits(&call.service, ask, candidate, usable, fleet, now)
    });
}

/// Returns the occupancy of the engines that could serve a request.
pub fn crowd(state: &State, engines: Vec<UpstreamKey>, now: Tick) -> Crowd {
    let mut crowd = Crowd::default();
    for key in &engines {
        let Some(engine) = state.engines.get(*key) else { continue };
        crowd.taken += u64::from(state.load(*key, now).running.min(engine.slots));
        crowd.places += u64::from(engine.slots);
    }
    Crowd { engines, ..crowd }
}
