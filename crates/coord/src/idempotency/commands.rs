//! Commands of the ledger.

use super::Answer;
use super::Call;
use super::CallId;
use super::Claim;
use super::ClaimKey;
use super::Effect;
use super::Error;
use super::Event;
use super::Ledger;
use super::LedgerSettings;
use super::NotRunReason;
use super::Outcome;
use super::Phase;
use super::Result;
use super::Step;
use super::StoredClaim;
use super::Watch;
use super::Write;
use crate::time::Tick;

impl Ledger {
    /// A ledger without calls.
    pub fn new(settings: LedgerSettings) -> Self {
        Ledger { settings, ..Ledger::default() }
    }

    /// Begins a call. `attempt` must be unique over all routers and restarts.
    pub fn begin(
        &mut self,
        key: ClaimKey,
        digest: &str,
        attempt: &str,
        now: Tick,
    ) -> (CallId, Vec<Effect>) {
        let call = CallId(self.next);
        self.next += 1;
        let state = Call {
            key,
            attempt: attempt.to_owned(),
            digest: digest.to_owned(),
            step: Step::Inserting,
            version: 0,
            other: None,
            outcome: None,
            answered: false,
            since: now,
            retry: now,
        };
        let effects = vec![state.write(call, Write::Insert)];
        self.calls.insert(call, state);
        (call, effects)
    }

    /// Takes one event of a call.
    ///
    /// # Errors
    ///
    /// [`Error::NoCall`] for a call that is over, [`Error::OutOfTurn`] for an event that the call
    /// doesn't wait for; both are without effect.
    pub fn handle(&mut self, call: CallId, event: Event, now: Tick) -> Result<Vec<Effect>> {
        let Some(state) = self.calls.get(&call) else {
            return Err(Error::NoCall(call));
        };
        match (state.step.clone(), event) {
            (Step::Preparing, Event::Ready) => Ok(self.mark(call, now)),
            (Step::Preparing, Event::Withdrawn) => Ok(self.withdraw(call, NotRunReason::Withdrawn)),
            (Step::Sending, Event::Answered(outcome)) => {
                Ok(self.record(call, Phase::Done { outcome }, now))
            }
            (Step::Sending, Event::Lost) => Ok(self.record(call, Phase::Unknown, now)),
            (Step::Sending, Event::NotSent) => Ok(self.withdraw(call, NotRunReason::Unreachable)),
            (Step::Reading(write), Event::Read { found }) => {
                Ok(self.found(call, write, found, now))
            }
            (Step::Reading(write), Event::Unavailable | Event::NoAnswer) => {
                Ok(self.pause(call, write, now))
            }
            (step, event) => match step.write() {
                Some(write) => self.wrote(call, write, event, now),
                None => Err(Error::OutOfTurn(call)),
            },
        }
    }

    /// Lets time pass: retries, gives calls up that the store keeps waiting, answers calls whose
    /// outcome can't be recorded for long.
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
        if !state.answered && state.step.is_unsent() && waited >= settings.patience {
            effects.push(state.answer(call, Answer::NotRun(NotRunReason::Store)));
        }
        if !state.answered && state.step.is_recording() && waited >= settings.record {
            effects.extend(state.answer_outcome(call));
        }
        let Step::Waiting(write) = state.step else {
            return effects;
        };
        if now < state.retry {
            return effects;
        }
        let unsent = write != Write::Record && state.answered;
        if unsent && waited >= settings.open {
            self.calls.swap_remove(&call);
            return effects;
        }
        state.step = Step::Reading(if unsent { Write::Remove } else { write });
        effects.push(Effect::ReadBack { call, key: state.key.clone() });
        effects
    }

    /// Takes the result of a write.
    fn wrote(
        &mut self,
        call: CallId,
        write: Write,
        event: Event,
        now: Tick,
    ) -> Result<Vec<Effect>> {
        match event {
            Event::Written { version } => Ok(self.written(call, write, version)),
            Event::Refused { found } => Ok(self.found(call, write, found, now)),
            Event::Unavailable => Ok(self.pause(call, write, now)),
            Event::NoAnswer => Ok(self.read(call, write)),
            _ => Err(Error::OutOfTurn(call)),
        }
    }

    fn written(&mut self, call: CallId, write: Write, version: u64) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        state.version = version;
        match write {
            Write::Insert | Write::TakeOver => self.claimed(call),
            Write::Mark => self.send(call),
            Write::Record => self.finish(call, None),
            Write::Remove => self.finish(call, None),
            Write::Close => self.finish(call, Some(Answer::Unknown)),
        }
    }

    /// The claim is ours and nothing was sent.
    fn claimed(&mut self, call: CallId) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        if state.answered {
            return self.step(call, Write::Remove);
        }
        state.step = Step::Preparing;
        vec![Effect::Prepare { call }]
    }

    fn mark(&mut self, call: CallId, now: Tick) -> Vec<Effect> {
        if let Some(state) = self.calls.get_mut(&call) {
            state.since = now;
        }
        self.step(call, Write::Mark)
    }

    /// The row is in phase `Sending` with our attempt: this is the one place that sends.
    fn send(&mut self, call: CallId) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        if state.answered {
            return self.step(call, Write::Remove);
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
            effects.extend(state.answer_outcome(call));
        }
        effects.extend(self.step(call, Write::Record));
        effects
    }

    fn withdraw(&mut self, call: CallId, reason: NotRunReason) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        let mut effects = vec![state.answer(call, Answer::NotRun(reason))];
        effects.extend(self.step(call, Write::Remove));
        effects
    }

    /// Starts a write.
    fn step(&mut self, call: CallId, write: Write) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        state.step = Step::writing(write);
        vec![state.write(call, write)]
    }

    fn read(&mut self, call: CallId, write: Write) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        state.step = Step::Reading(write);
        vec![Effect::ReadBack { call, key: state.key.clone() }]
    }

    /// The store failed: the row is read after a pause, before anything else is written.
    fn pause(&mut self, call: CallId, write: Write, now: Tick) -> Vec<Effect> {
        if let Some(state) = self.calls.get_mut(&call) {
            state.step = Step::Waiting(write);
            state.retry = now + self.settings.retry;
        }
        Vec::new()
    }

    /// Goes on from the row as it is.
    fn found(
        &mut self,
        call: CallId,
        write: Write,
        found: Option<StoredClaim>,
        now: Tick,
    ) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        // A call that was answered before it was sent is only cleaned up.
        let cleaning = state.answered && write != Write::Record;
        let Some(found) = found else {
            return match write {
                _ if cleaning => self.finish(call, None),
                Write::Record | Write::Remove => self.finish(call, None),
                _ => self.step(call, Write::Insert),
            };
        };
        if found.claim.attempt != state.attempt {
            return match write {
                _ if cleaning => self.finish(call, None),
                Write::Record | Write::Remove => self.finish(call, None),
                _ => self.meet(call, found, now),
            };
        }
        state.version = found.version;
        if cleaning {
            return self.step(call, Write::Remove);
        }
        self.found_own(call, write, found.claim.phase)
    }

    /// Goes on from our own row.
    fn found_own(&mut self, call: CallId, write: Write, phase: Phase) -> Vec<Effect> {
        match (write, phase) {
            (Write::Insert | Write::TakeOver | Write::Close, Phase::Claimed) => self.claimed(call),
            (Write::Mark, Phase::Claimed) => self.step(call, Write::Mark),
            (Write::Mark, Phase::Sending) => self.send(call),
            (Write::Record, Phase::Done { .. }) => self.finish(call, None),
            // Another router closed our row while we were silent; the outcome replaces that.
            (Write::Record, _) => self.step(call, Write::Record),
            (Write::Remove, _) => self.step(call, Write::Remove),
            // Our row was closed before we sent: nothing left, and the row goes.
            _ => self.withdraw(call, NotRunReason::Store),
        }
    }

    /// Goes on from the row of another attempt.
    fn meet(&mut self, call: CallId, found: StoredClaim, now: Tick) -> Vec<Effect> {
        let Some(state) = self.calls.get_mut(&call) else {
            return Vec::new();
        };
        if found.claim.digest != state.digest {
            return self.finish(call, Some(Answer::Mismatch));
        }
        let close = match found.claim.phase {
            Phase::Done { outcome } => {
                return self.finish(call, Some(Answer::Ran { outcome, replayed: true }));
            }
            Phase::Unknown => return self.finish(call, Some(Answer::Unknown)),
            Phase::Claimed => Write::TakeOver,
            Phase::Sending => Write::Close,
        };
        state.version = found.version;
        state.other = Some(found.claim);
        let key = state.key.clone();
        if !self.is_stale(key, found.version, now) {
            return self.finish(call, Some(Answer::Open));
        }
        self.step(call, close)
    }

    /// Whether another attempt's row stood unchanged for the open span.
    fn is_stale(&mut self, key: ClaimKey, version: u64, now: Tick) -> bool {
        if self.watches.len() >= self.settings.watched {
            self.watches.swap_remove_index(0);
        }
        let watch = self.watches.entry(key).or_insert(Watch { version, since: now });
        if watch.version != version {
            *watch = Watch { version, since: now };
        }
        now.since(watch.since) >= self.settings.open
    }

    /// Ends a call, with an answer unless it has one.
    fn finish(&mut self, call: CallId, answer: Option<Answer>) -> Vec<Effect> {
        let Some(mut state) = self.calls.swap_remove(&call) else {
            return Vec::new();
        };
        if state.answered {
            return Vec::new();
        }
        match answer {
            Some(answer) => vec![state.answer(call, answer)],
            None => state.answer_outcome(call).into_iter().collect(),
        }
    }
}

impl Call {
    fn answer(&mut self, call: CallId, answer: Answer) -> Effect {
        self.answered = true;
        Effect::Answer { call, answer }
    }

    /// The answer for the outcome, unless it was given.
    fn answer_outcome(&mut self, call: CallId) -> Option<Effect> {
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

    fn write(&self, call: CallId, write: Write) -> Effect {
        let key = self.key.clone();
        let version = self.version;
        let claim = match write {
            Write::Insert => {
                return Effect::Insert { call, key, claim: self.claim(Phase::Claimed) };
            }
            Write::Remove => return Effect::Remove { call, key, version },
            Write::TakeOver => self.claim(Phase::Claimed),
            Write::Mark => self.claim(Phase::Sending),
            Write::Record => self.claim(self.outcome.clone().unwrap_or(Phase::Unknown)),
            Write::Close => {
                let other = self.other.clone().unwrap_or_else(|| self.claim(Phase::Unknown));
                Claim { phase: Phase::Unknown, ..other }
            }
        };
        Effect::Replace { call, key, claim, version }
    }
}

impl Step {
    fn writing(write: Write) -> Step {
        match write {
            Write::Insert => Step::Inserting,
            Write::TakeOver => Step::TakingOver,
            Write::Mark => Step::Marking,
            Write::Record => Step::Recording,
            Write::Remove => Step::Removing,
            Write::Close => Step::Closing,
        }
    }

    /// The write whose result is awaited.
    fn write(&self) -> Option<Write> {
        match self {
            Step::Inserting => Some(Write::Insert),
            Step::TakingOver => Some(Write::TakeOver),
            Step::Marking => Some(Write::Mark),
            Step::Recording => Some(Write::Record),
            Step::Removing => Some(Write::Remove),
            Step::Closing => Some(Write::Close),
            Step::Reading(_) | Step::Preparing | Step::Sending | Step::Waiting(_) => None,
        }
    }

    /// The write that is under way, whether awaited, read back or paused.
    fn aim(&self) -> Option<Write> {
        match self {
            Step::Reading(write) | Step::Waiting(write) => Some(*write),
            step => step.write(),
        }
    }

    /// Whether the store holds up a call of which no byte has left.
    fn is_unsent(&self) -> bool {
        self.aim().is_some_and(|write| write != Write::Record)
    }

    /// Whether the call ran and its outcome is being recorded.
    fn is_recording(&self) -> bool {
        self.aim() == Some(Write::Record)
    }
}

impl Outcome {
    /// An outcome without headers.
    pub fn new(status: u16, body: &str) -> Self {
        Outcome { status, headers: Vec::new(), body: body.to_owned() }
    }
}
