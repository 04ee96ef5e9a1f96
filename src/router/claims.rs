//! Records operations on idempotency claims in the history, whose checker verifies that they are
//! linearizable.

use corianderyoke_coord::idempotency::Claim;
use corianderyoke_coord::idempotency::Effect;
use corianderyoke_coord::idempotency::Event as Reported;
use corianderyoke_coord::idempotency::Phase;
use corianderyoke_coord::idempotency::StoredClaim;
use corianderyoke_history::linear::claims::ClaimOp;
use corianderyoke_history::linear::claims::ClaimResult;
use corianderyoke_history::linear::claims::WriteResult;
use corianderyoke_history::Event as Recorded;
use corianderyoke_history::Recorder;

use crate::agent::traced::digest;
use crate::router::service::row_key;
use crate::router::Router;

/// One operation on a claim's row, recorded from its start to its result.
pub struct Access {
    began_us: u64,
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

impl Access {
    /// Starts recording the operation of `effect`, which belongs to the call with this `attempt`
    /// and `body` digest. `None` if the operation isn't recorded. The start of a write is recorded
    /// right away.
    pub fn begin(router: &Router, effect: &Effect, attempt: &str, body: &str) -> Option<Access> {
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
        let access = Access { began_us: Recorder::now_us(), number, claim, kind };
        if let Some(op) = access.op(&Reported::NoAnswer) {
            let operation = Box::new(access.event(op));
            router.record(|| Recorded::Begun { scope: "claim".to_owned(), number, operation });
        }
        Some(access)
    }

    /// Records the operation's result and its end.
    pub fn end(self, router: &Router, reported: &Reported) {
        if let Some(op) = self.op(reported) {
            router.record(|| self.event(op));
        }
        router.record(|| Recorded::Ended { scope: "claim".to_owned(), number: self.number });
    }

    fn event(&self, op: ClaimOp) -> Recorded {
        Recorded::Claim { began_us: self.began_us, claim: self.claim.clone(), op }
    }

    fn op(&self, reported: &Reported) -> Option<ClaimOp> {
        match &self.kind {
            Kind::Claim { attempt, body } => {
                let result = match reported {
                    Reported::Written { .. } => ClaimResult::Won,
                    Reported::Refused { found } => found_by(found.as_ref()?, attempt, body),
                    Reported::NoAnswer => ClaimResult::Unknown,
                    _ => return None,
                };
                Some(ClaimOp::Claim { attempt: attempt.clone(), body: body.clone(), result })
            }
            Kind::Read { attempt, body } => {
                let Reported::Read { found: Some(found) } = reported else {
                    return None;
                };
                let result = found_by(found, attempt, body);
                Some(ClaimOp::Claim { attempt: attempt.clone(), body: body.clone(), result })
            }
            Kind::Settle { claim } => {
                let same = |found: &StoredClaim| found.claim == *claim;
                let result = written(reported, |found| found.is_some_and(same))?;
                let outcome = outcome(&claim.phase);
                Some(ClaimOp::Settle { attempt: claim.attempt.clone(), outcome, result })
            }
            Kind::Release { attempt } => {
                let gone = |found: Option<&StoredClaim>| {
                    found.is_none_or(|found| found.claim.attempt != *attempt)
                };
                // A refused removal of a row that is gone means that an earlier removal took
                // effect, which was recorded with its own result.
                let result = match reported {
                    Reported::Refused { found } if gone(found.as_ref()) => return None,
                    _ => written(reported, |_| false)?,
                };
                Some(ClaimOp::Release { attempt: attempt.clone(), result })
            }
        }
    }
}

fn written(
    reported: &Reported,
    done: impl Fn(Option<&StoredClaim>) -> bool,
) -> Option<WriteResult> {
    match reported {
        Reported::Written { .. } => Some(WriteResult::Done),
        Reported::Refused { found } if done(found.as_ref()) => Some(WriteResult::Done),
        // The row is at another version. A later read records what it contains.
        Reported::Refused { .. } => None,
        Reported::NoAnswer => Some(WriteResult::Unknown),
        _ => None,
    }
}

fn found_by(found: &StoredClaim, attempt: &str, body: &str) -> ClaimResult {
    let claim = &found.claim;
    match &claim.phase {
        _ if claim.digest != body => ClaimResult::Mismatch,
        Phase::Claimed | Phase::Sending if claim.attempt == attempt => ClaimResult::Won,
        Phase::Claimed | Phase::Sending => ClaimResult::Open,
        phase => ClaimResult::Kept(outcome(phase)),
    }
}

fn outcome(phase: &Phase) -> String {
    // Serialization can't fail: a phase consists of strings and numbers.
    digest(&serde_json::to_string(phase).unwrap_or_default())
}
