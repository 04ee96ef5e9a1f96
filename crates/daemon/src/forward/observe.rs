//! Records what responses show about the load and the speed of engines.

use std::time::Duration;

use corianderyoke_adapter::headers::ResponseHeaders;
use corianderyoke_coord::serving::telemetry;
use corianderyoke_coord::serving::telemetry::Work;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;

use crate::call::Call;
use crate::forward::attempt::Attempts;
use crate::forward::selection::Target;
use crate::state::Shared;

/// Least number of prefilled prompt tokens whose time shows the speed of an engine. The time of shorter
/// prompts is mostly that of the connection.
const MIN_PREFILL: u64 = 500;

/// Gaps between the events of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gaps {
    last: Option<Tick>,
    previous: Option<Duration>,
    sum: Duration,
    count: u32,
}

impl Gaps {
    /// Records that an event arrived. Returns whether there was an event before.
    pub fn record(&mut self, now: Tick) -> bool {
        let Some(last) = self.last.replace(now) else { return false };
        let gap = now.since(last);
        // A prompt that is prefilled in between extends single gaps; the shorter one of two shows the
        // speed of the engine.
        if let Some(previous) = self.previous.replace(gap) {
            self.sum += gap.min(previous);
            self.count += 1;
        }
        true
    }

    /// Returns the usual gap, unless there were too few.
    fn usual(&self) -> Option<Duration> {
        self.sum.checked_div(self.count)
    }
}

/// Records the load that an engine reports in the head of a response.
pub fn record_head(shared: &Shared, target: &Target, facts: &ResponseHeaders) {
    if facts.engine.as_deref().is_some_and(|id| id != target.id) {
        return;
    }
    let Some(load) = facts.load else { return };
    let mut state = shared.state();
    let own = state.own_running(target.key);
    state.telemetry.record_report(target.key, load, own, clock::now());
}

/// Records the time to the first event of a stream, if it shows the speed of the engine.
pub fn record_first_event(attempts: &Attempts, target: &Target, now: Tick) {
    let Some((generation, sent)) = attempts.call.generation.as_ref().zip(attempts.sent_at()) else {
        return;
    };
    let prefilled = generation.need.prompt.saturating_sub(target.cached_tokens);
    if target.backlog > 0 || target.cached_tokens > 0 || prefilled < MIN_PREFILL {
        return;
    }
    let work = Work::Prefill(generation.model, target.same_zone);
    let taken = now.since(sent);
    let mut state = attempts.call.shared.state();
    state.telemetry.record_time(target.key, work, taken, prefilled as f64, now);
}

/// Records the gaps between the events of a stream that ended.
pub fn record_gaps(call: &Call, target: &Target, gaps: &Gaps) {
    let Some((generation, gap)) = call.generation.as_ref().zip(gaps.usual()) else { return };
    let work = Work::Step(generation.model);
    call.shared.state().telemetry.record_time(target.key, work, gap, 1.0, clock::now());
}

/// Records the time of a complete response, if it shows the speed of an engine of a plain service.
pub fn record_complete(attempts: &Attempts, target: &Target) {
    let call = &attempts.call;
    let Some(sent) = attempts.sent_at().filter(|_| call.generation.is_none()) else { return };
    let now = clock::now();
    let mut state = call.shared.state();
    if state.telemetry.had_queue(target.key) {
        return;
    }
    let work = telemetry::plain_work(&call.service, &call.route.name, target.same_zone);
    state.telemetry.record_time(target.key, work, now.since(sent), 1.0, now);
}
