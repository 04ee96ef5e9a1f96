//! Records operations on idempotency claims in the history, whose checker verifies that they are
//! linearizable.

use corianderyoke_coord::idempotency::Claim;
use corianderyoke_coord::idempotency::Effect;
use corianderyoke_coord::idempotency::Event as LedgerEvent;
use corianderyoke_coord::idempotency::Phase;
use corianderyoke_coord::idempotency::StoredClaim;
use corianderyoke_history::linear::claims::ClaimOp;
use corianderyoke_history::linear::claims::ClaimResult;
use corianderyoke_history::linear::claims::WriteResult;
use corianderyoke_history::Event as HistoryEvent;
use corianderyoke_history::Recorder;

use crate::agent::traced::digest;
use crate::router::service::row_key;
use crate::router::Router;

/// One operation on a claim's row, recorded from its start to its result.
pub struct Operation {
    start_us: u64,
    number: u64,
    claim: String,
    kind: Kind,
}

/// Kind of the operation, with what its record needs.
enum Kind {
    Claim { attempt: String, body: String },
    Settle { claim: Claim },
    Release { attempt: String },
    Read { attempt: String, body: String },
}

impl Operation {
    /// Starts recording the operation of `effect`, which belongs to the call with this `attempt`
    /// and `body` digest. `None` if the operation isn't recorded. The start of a write is recorded
    /// immediately.
    pub fn start(router: &Router, effect: &Effect, attempt: &str, body: &str) -> Option<Operation> {
        if !router.agent.history().is_on() {
            return None;
        }
        let (attempt, body) = (attempt.to_owned(), body.to_owned());
        let (key, kind) = match effect {
            Effect::Insert { key, .. } => (key, Kind::Claim { attempt, body }),
            Effect::Replace { key, claim, .. } => match claim.phase {
                Phase::Claimed | Phase::Sending => return None,
                Phase::Done { .. } | Phase::Unknown => (key, Kind::Settle { claim: claim.clone() }),
            },
            Effect::Remove { key, .. } => (key, Kind::Release { attempt }),
            Effect::ReadBack { key, .. } => (key, Kind::Read { attempt, body }),
            Effect::Answer { .. } | Effect::Prepare { .. } | Effect::Send { .. } => return None,
        };
        let (claim, number) = (row_key(key), router.new_number());
        let operation = Operation { start_us: Recorder::now_us(), number, claim, kind };
        if let Some(op) = operation.op(&LedgerEvent::NoAnswer) {
            let history_event = Box::new(operation.history_event(op));
            router.record(|| HistoryEvent::Begun {
                scope: "claim".to_owned(),
                number,
                operation: history_event,
            });
        }
        Some(operation)
    }

    /// Records the operation's result and its end.
    pub fn end(self, router: &Router, event: &LedgerEvent) {
        if let Some(op) = self.op(event) {
            router.record(|| self.history_event(op));
        }
        router.record(|| HistoryEvent::Ended { scope: "claim".to_owned(), number: self.number });
    }

    fn history_event(&self, op: ClaimOp) -> HistoryEvent {
        HistoryEvent::Claim { began_us: self.start_us, claim: self.claim.clone(), op }
    }

    fn op(&self, event: &LedgerEvent) -> Option<ClaimOp> {
        match &self.kind {
            Kind::Claim { attempt, body } => {
                let result = match event {
                    LedgerEvent::Written { .. } => ClaimResult::Won,
                    LedgerEvent::Refused { found } => claim_result(found.as_ref()?, attempt, body),
                    LedgerEvent::NoAnswer => ClaimResult::Unknown,
                    _ => return None,
                };
                Some(ClaimOp::Claim { attempt: attempt.clone(), body: body.clone(), result })
            }
            Kind::Read { attempt, body } => {
                let LedgerEvent::Read { found: Some(found) } = event else {
                    return None;
                };
                let result = claim_result(found, attempt, body);
                Some(ClaimOp::Claim { attempt: attempt.clone(), body: body.clone(), result })
            }
            Kind::Settle { claim } => {
                let is_same = |found: &StoredClaim| found.claim == *claim;
                let result = write_result(event, |found| found.is_some_and(is_same))?;
                let outcome = outcome_digest(&claim.phase);
                Some(ClaimOp::Settle { attempt: claim.attempt.clone(), outcome, result })
            }
            Kind::Release { attempt } => {
                let is_gone = |found: Option<&StoredClaim>| {
                    found.is_none_or(|found| found.claim.attempt != *attempt)
                };
                // A refused removal of a row that is gone means that an earlier removal took
                // effect, which was recorded with its own result.
                let result = match event {
                    LedgerEvent::Refused { found } if is_gone(found.as_ref()) => return None,
                    _ => write_result(event, |_| false)?,
                };
                Some(ClaimOp::Release { attempt: attempt.clone(), result })
            }
        }
    }
}

fn write_result(
    event: &LedgerEvent,
    is_done: impl Fn(Option<&StoredClaim>) -> bool,
) -> Option<WriteResult> {
    match event {
        LedgerEvent::Written { .. } => Some(WriteResult::Done),
        LedgerEvent::Refused { found } if is_done(found.as_ref()) => Some(WriteResult::Done),
        // The row is at another version. A later read records what it contains.
        LedgerEvent::Refused { .. } => None,
        LedgerEvent::NoAnswer => Some(WriteResult::Unknown),
        _ => None,
    }
}

fn claim_result(found: &StoredClaim, attempt: &str, body: &str) -> ClaimResult {
    let claim = &found.claim;
    match &claim.phase {
        _ if claim.digest != body => ClaimResult::Mismatch,
        Phase::Claimed | Phase::Sending if claim.attempt == attempt => ClaimResult::Won,
        Phase::Claimed | Phase::Sending => ClaimResult::Open,
        phase => ClaimResult::Kept(outcome_digest(phase)),
    }
}

fn outcome_digest(phase: &Phase) -> String {
    // Serialization can't fail: a phase consists of strings and numbers.
    digest(&serde_json::to_string(phase).unwrap_or_default())
}
