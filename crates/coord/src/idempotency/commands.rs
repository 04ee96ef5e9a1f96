//! Commands of a [`Ledger`], and the state transitions of its calls.

use super::Answer;
use super::Call;
use super::CallId;
use super::Claim;
use super::ClaimKey;
use super::ClaimWatch;
use super::Effect;
use super::Error;
use super::Event;
use super::Ledger;
use super::LedgerSettings;
use super::NotRunReason;
use super::Outcome;
use super::Phase;
use super::Result;
use super::RowWrite;
use super::Step;
use super::StoredClaim;
use crate::time::Tick;

impl Ledger {
    /// Creates a ledger without calls.
    pub fn new(settings: LedgerSettings) -> Self {
        Ledger { settings, ..Ledger::default() }
    }

    /// Begins a call with the given request digest. `attempt` must be unique across all routers and
    /// restarts.
    pub fn begin(
        &mut self,
        key: ClaimKey,
        digest: &str,
        attempt: &str,
        now: Tick,
    ) -> (CallId, Vec<Effect>) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let state = Call {
            key,
            attempt: attempt.to_owned(),
            digest: digest.to_owned(),
            step: Step::Inserting,
            version: 0,
            other_claim: None,
            outcome: None,
            answered: false,
            since: now,
            retry_at: now,
        };
        let effects = vec![state.write_effect(call, RowWrite::Insert)];
        self.calls.insert(call, state);
        (call, effects)
    }

    /// Handles an event of a call.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownCall`] for a call that has ended, [`Error::UnexpectedEvent`] for an event
    /// that the call isn't waiting for. Neither has any effect.
    pub fn handle(&mut self, call: CallId, event: Event, now: Tick) -> Result<Vec<Effect>> {
        let Some(state) = self.calls.get(&call) else {
            return Err(Error::UnknownCall(call));
        };
        match (state.step.clone(), event) {
            (Step::Preparing, Event::Ready) => Ok(self.mark_sending(call, now)),
            (Step::Preparing, Event::Withdrawn) => Ok(self.withdraw(call, NotRunReason::Withdrawn)),
            (Step::Sending, Event::Answered(outcome)) => {
                Ok(self.record(call, Phase::Done { outcome }, now))
            }
            (Step::Sending, Event::Lost) => Ok(self.record(call, Phase::Unknown, now)),
            (Step::Sending, Event::NotSent) => Ok(self.withdraw(call, NotRunReason::Unreachable)),
            (Step::Reading(write), Event::Read { found }) => {
                Ok(self.on_row(call, write, found, now))
            }
            (Step::Reading(write), Event::Unavailable | Event::NoAnswer) => {
                Ok(self.schedule_retry(call, write, now))
            }
            (step, event) => match step.awaited_write() {
                Some(write) => self.on_write_result(call, write, event, now),
                None => Err(Error::UnexpectedEvent(call)),
            },
        }
    }

    /// Retries after store failures, refuses unsent calls that the store has delayed for too long,
    /// and answers calls whose outcome takes too long to record.
    pub fn tick(&mut self, now: Tick) -> Vec<Effect> {
        let calls: Vec<CallId> = self.calls.keys().copied().collect();
        calls.into_iter().flat_map(|call| self.tick_call(call, now)).collect()
    }

    fn tick_call(&mut self, call: CallId, now: Tick) -> Vec<Effect> {
        let settings = self.settings;
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        let waited = now.since(state.since);
        if !state.answered && state.step.is_unsent() && waited >= settings.store_timeout {
            effects.push(state.answer(call, Answer::NotRun(NotRunReason::Store)));
        }
        if !state.answered && state.step.is_recording() && waited >= settings.record_timeout {
            effects.extend(state.answer_with_outcome(call));
        }
        let Step::Waiting(write) = state.step else {
            return effects;
        };
        if now < state.retry_at {
            return effects;
        }
        let abandoned = write != RowWrite::Record && state.answered;
        if abandoned && waited >= settings.claim_timeout {
            self.calls.swap_remove(&call);
            return effects;
        }
        state.step = Step::Reading(if abandoned { RowWrite::Remove } else { write });
        effects.push(Effect::ReadBack { call, key: state.key.clone() });
        effects
    }

    /// Handles the result of a write.
    fn on_write_result(
        &mut self,
        call: CallId,
        write: RowWrite,
        event: Event,
        now: Tick,
    ) -> Result<Vec<Effect>> {
        match event {
            Event::Written { version } => Ok(self.on_written(call, write, version)),
            Event::Refused { found } => Ok(self.on_row(call, write, found, now)),
            Event::Unavailable => Ok(self.schedule_retry(call, write, now)),
            Event::NoAnswer => Ok(self.read_back(call, write)),
            _ => Err(Error::UnexpectedEvent(call)),
        }
    }

    fn on_written(&mut self, call: CallId, write: RowWrite, version: u64) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        state.version = version;
        match write {
            RowWrite::Insert | RowWrite::TakeOver => self.prepare(call),
            RowWrite::MarkSending => self.send(call),
            RowWrite::Record => self.finish(call, None),
            RowWrite::Remove => self.finish(call, None),
            RowWrite::CloseStale => self.finish(call, Some(Answer::Unknown)),
        }
    }

    /// Continues with a claimed key: prepares the call, or removes the row if the caller has
    /// already been answered.
    fn prepare(&mut self, call: CallId) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        if state.answered {
            return self.start_write(call, RowWrite::Remove);
        }
        state.step = Step::Preparing;
        vec![Effect::Prepare { call }]
    }

    fn mark_sending(&mut self, call: CallId, now: Tick) -> Vec<Effect> {
        if let Some(state) = self.calls.get_mut(&call) {
            state.since = now;
        }
        self.start_write(call, RowWrite::MarkSending)
    }

    /// Sends the call. This is the only place that does, reached only after the row was seen in
    /// phase `Sending` with this attempt.
    fn send(&mut self, call: CallId) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        if state.answered {
            return self.start_write(call, RowWrite::Remove);
        }
        state.step = Step::Sending;
        vec![Effect::Send { call }]
    }

    fn record(&mut self, call: CallId, phase: Phase, now: Tick) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        state.since = now;
        let unknown = phase == Phase::Unknown;
        state.outcome = Some(phase);
        let mut effects = Vec::new();
        if unknown {
            effects.extend(state.answer_with_outcome(call));
        }
        effects.extend(self.start_write(call, RowWrite::Record));
        effects
    }

    fn withdraw(&mut self, call: CallId, reason: NotRunReason) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        let mut effects = vec![state.answer(call, Answer::NotRun(reason))];
        effects.extend(self.start_write(call, RowWrite::Remove));
        effects
    }

    /// Starts a write.
    fn start_write(&mut self, call: CallId, write: RowWrite) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        state.step = Step::for_write(write);
        vec![state.write_effect(call, write)]
    }

    fn read_back(&mut self, call: CallId, write: RowWrite) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        state.step = Step::Reading(write);
        vec![Effect::ReadBack { call, key: state.key.clone() }]
    }

    /// Schedules a read of the row after a store failure, before anything else is written.
    fn schedule_retry(&mut self, call: CallId, write: RowWrite, now: Tick) -> Vec<Effect> {
        if let Some(state) = self.calls.get_mut(&call) {
            state.step = Step::Waiting(write);
            state.retry_at = now + self.settings.retry_interval;
        }
        Vec::new()
    }

    /// Continues according to the current row.
    fn on_row(
        &mut self,
        call: CallId,
        write: RowWrite,
        found: Option<StoredClaim>,
        now: Tick,
    ) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        // For a call that was answered before it was sent, only its row is removed.
        let abandoned = state.answered && write != RowWrite::Record;
        let Some(found) = found else {
            return match write {
                _ if abandoned => self.finish(call, None),
                RowWrite::Record | RowWrite::Remove => self.finish(call, None),
                _ => self.start_write(call, RowWrite::Insert),
            };
        };
        if found.claim.attempt != state.attempt {
            return match write {
                _ if abandoned => self.finish(call, None),
                RowWrite::Record | RowWrite::Remove => self.finish(call, None),
                _ => self.on_other_claim(call, found, now),
            };
        }
        state.version = found.version;
        if abandoned {
            return self.start_write(call, RowWrite::Remove);
        }
        self.on_own_claim(call, write, found.claim.phase)
    }

    /// Continues according to the phase of this attempt's own row.
    fn on_own_claim(&mut self, call: CallId, write: RowWrite, phase: Phase) -> Vec<Effect> {
        match (write, phase) {
            (RowWrite::Insert | RowWrite::TakeOver | RowWrite::CloseStale, Phase::Claimed) => {
                self.prepare(call)
            }
            (RowWrite::MarkSending, Phase::Claimed) => {
                self.start_write(call, RowWrite::MarkSending)
            }
            (RowWrite::MarkSending, Phase::Sending) => self.send(call),
            (RowWrite::Record, Phase::Done { .. }) => self.finish(call, None),
            // Another router set the row to `Unknown` after the claim timeout; overwrite that with
            // the outcome.
            (RowWrite::Record, _) => self.start_write(call, RowWrite::Record),
            (RowWrite::Remove, _) => self.start_write(call, RowWrite::Remove),
            // Another router set the row to `Unknown` before the call was sent, so it is removed.
            _ => self.withdraw(call, NotRunReason::Store),
        }
    }

    /// Continues according to the row of another attempt.
    fn on_other_claim(&mut self, call: CallId, found: StoredClaim, now: Tick) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        if found.claim.digest != state.digest {
            return self.finish(call, Some(Answer::Mismatch));
        }
        let write = match found.claim.phase {
            Phase::Done { outcome } => {
                return self.finish(call, Some(Answer::Ran { outcome, replayed: true }));
            }
            Phase::Unknown => return self.finish(call, Some(Answer::Unknown)),
            Phase::Claimed => RowWrite::TakeOver,
            Phase::Sending => RowWrite::CloseStale,
        };
        state.version = found.version;
        state.other_claim = Some(found.claim);
        let key = state.key.clone();
        if !self.is_stale(key, found.version, now) {
            return self.finish(call, Some(Answer::Open));
        }
        self.start_write(call, write)
    }

    /// Whether another attempt's row hasn't changed for the claim timeout.
    fn is_stale(&mut self, key: ClaimKey, version: u64, now: Tick) -> bool {
        if self.watches.len() >= self.settings.max_watches && !self.watches.contains_key(&key) {
            // Drops the watch that began first. Its claim is watched from the start again.
            self.watches.shift_remove_index(0);
        }
        let watch = self.watches.entry(key).or_insert(ClaimWatch { version, since: now });
        if watch.version != version {
            *watch = ClaimWatch { version, since: now };
        }
        now.since(watch.since) >= self.settings.claim_timeout
    }

    /// Ends a call and answers its caller if that hasn't happened yet: with `answer`, or else with
    /// the call's outcome.
    fn finish(&mut self, call: CallId, answer: Option<Answer>) -> Vec<Effect> {
        let Some(mut state) = self.calls.swap_remove(&call) else {
            return Vec::new();
        };
        if state.answered {
            return Vec::new();
        }
        match answer {
            Some(answer) => vec![state.answer(call, answer)],
            None => state.answer_with_outcome(call).into_iter().collect(),
        }
    }
}

impl Call {
    fn answer(&mut self, call: CallId, answer: Answer) -> Effect {
        self.answered = true;
        Effect::Answer { call, answer }
    }

    /// Answers the caller with the outcome; `None` if already answered or without an outcome.
    fn answer_with_outcome(&mut self, call: CallId) -> Option<Effect> {
        if self.answered {
            return None;
        }
        let answer = match self.outcome.clone()? {
            Phase::Done { outcome } => Answer::Ran { outcome, replayed: false },
            _ => Answer::Unknown,
        };
        Some(self.answer(call, answer))
    }

    fn claim(&self, phase: Phase) -> Claim {
        Claim { attempt: self.attempt.clone(), digest: self.digest.clone(), phase }
    }

    fn write_effect(&self, call: CallId, write: RowWrite) -> Effect {
        let key = self.key.clone();
        let version = self.version;
        let claim = match write {
            RowWrite::Insert => {
                return Effect::Insert { call, key, claim: self.claim(Phase::Claimed) };
            }
            RowWrite::Remove => return Effect::Remove { call, key, version },
            RowWrite::TakeOver => self.claim(Phase::Claimed),
            RowWrite::MarkSending => self.claim(Phase::Sending),
            RowWrite::Record => self.claim(self.outcome.clone().unwrap_or(Phase::Unknown)),
            RowWrite::CloseStale => {
                let other_claim =
                    self.other_claim.clone().unwrap_or_else(|| self.claim(Phase::Unknown));
                Claim { phase: Phase::Unknown, ..other_claim }
            }
        };
        Effect::Replace { call, key, claim, version }
    }
}

impl Step {
    fn for_write(write: RowWrite) -> Step {
        match write {
            RowWrite::Insert => Step::Inserting,
            RowWrite::TakeOver => Step::TakingOver,
            RowWrite::MarkSending => Step::MarkingSending,
            RowWrite::Record => Step::Recording,
            RowWrite::Remove => Step::Removing,
            RowWrite::CloseStale => Step::ClosingStale,
        }
    }

    /// The write that is in flight.
    fn awaited_write(&self) -> Option<RowWrite> {
        match self {
            Step::Inserting => Some(RowWrite::Insert),
            Step::TakingOver => Some(RowWrite::TakeOver),
            Step::MarkingSending => Some(RowWrite::MarkSending),
            Step::Recording => Some(RowWrite::Record),
            Step::Removing => Some(RowWrite::Remove),
            Step::ClosingStale => Some(RowWrite::CloseStale),
            Step::Reading(_) | Step::Preparing | Step::Sending | Step::Waiting(_) => None,
        }
    }

    /// The write that is in flight, being read back or waiting for a retry.
    fn pending_write(&self) -> Option<RowWrite> {
        match self {
            Step::Reading(write) | Step::Waiting(write) => Some(*write),
            step => step.awaited_write(),
        }
    }

    /// Whether the call hasn't been sent and is waiting for the store.
    fn is_unsent(&self) -> bool {
        self.pending_write().is_some_and(|write| write != RowWrite::Record)
    }

    /// Whether the outcome of the call is being recorded.
    fn is_recording(&self) -> bool {
        self.pending_write() == Some(RowWrite::Record)
    }
}

impl Outcome {
    /// Creates an outcome without headers.
    pub fn new(status: u16, body: &str) -> Self {
        Outcome { status, headers: Vec::new(), body: body.to_owned() }
    }
}
