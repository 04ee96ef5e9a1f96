//! Encodes the casualties of crashes and what is quarantined for reports and digests.

use corianderyoke_coord::serving::quarantine::Casualty;
use corianderyoke_coord::serving::quarantine::Crash;
use corianderyoke_coord::serving::quarantine::Hold;
use corianderyoke_coord::serving::quarantine::Subject;
use corianderyoke_coord::serving::quarantine::Verdict;
use corianderyoke_coord::time::Tick;
use corianderyoke_wire::word;

use crate::peers::age_ms;
use crate::peers::time_of;
use crate::quarantine;
use crate::state::Shared;
use crate::state::State;

/// Returns the recent casualties of this daemon, or of all daemons for the digest of a relay.
pub fn casualties(state: &State, is_relay: bool, now: Tick) -> Vec<word::Casualty> {
    let recent = state.quarantine.recent_casualties(is_relay);
    let encoded = recent.map(|casualty| {
        let mut encoded = word::Casualty {
            engine: casualty.crash.engine,
            born: casualty.crash.started_ms,
            request: casualty.attempt,
            sent: age_ms(casualty.sent, now),
            ended: age_ms(casualty.ended, now),
            ..word::Casualty::default()
        };
        for subject in &casualty.subjects {
            match *subject {
                Subject::Request(identity) => encoded.identity = identity,
                Subject::Part(part) => encoded.parts.push(part),
            }
        }
        encoded
    });
    encoded.collect()
}

fn decode_subjects(casualty: &word::Casualty) -> Vec<Subject> {
    let request = Some(casualty.identity).filter(|identity| *identity != 0).map(Subject::Request);
    request.into_iter().chain(casualty.parts.iter().copied().map(Subject::Part)).collect()
}

/// Returns the number of a subject, and whether it is a whole request.
fn encode_subject(subject: Subject) -> (u64, bool) {
    match subject {
        Subject::Request(identity) => (identity, true),
        Subject::Part(part) => (part, false),
    }
}

fn decode_subject(number: u64, is_request: bool) -> Subject {
    if is_request {
        Subject::Request(number)
    } else {
        Subject::Part(number)
    }
}

/// Returns what this daemon knows of quarantined and suspected subjects.
pub fn verdicts(state: &State, now: Tick) -> Vec<word::PartVerdict> {
    let verdicts = state.quarantine.verdicts().into_iter();
    let encoded = verdicts.map(|verdict| {
        let held = verdict.held.as_ref().map(|hold| age_ms(hold.since, now));
        let hold = verdict.held.unwrap_or_default();
        let (part, whole) = encode_subject(verdict.subject);
        word::PartVerdict {
            part,
            whole,
            held,
            failed: hold.failed_trials,
            served: verdict.served.map(|at| age_ms(at, now)),
            rivals: hold.rivals.into_iter().map(|rival| encode_subject(rival).0).collect(),
        }
    });
    encoded.collect()
}

/// Applies what another daemon or a relay reported. Returns whether it contained casualties that
/// this daemon didn't know.
pub fn handle(
    shared: &Shared,
    state: &mut State,
    casualties: &[word::Casualty],
    verdicts: &[word::PartVerdict],
    now: Tick,
) -> bool {
    for verdict in verdicts {
        let decode = |number: &u64| decode_subject(*number, verdict.whole);
        state.quarantine.apply(Verdict {
            subject: decode(&verdict.part),
            held: verdict.held.map(|age| Hold {
                since: time_of(age, now),
                failed_trials: verdict.failed,
                rivals: verdict.rivals.iter().map(decode).collect(),
            }),
            served: verdict.served.map(|age| time_of(age, now)),
        });
    }
    let mut has_new = false;
    for casualty in casualties {
        let casualty = Casualty {
            crash: Crash { engine: casualty.engine, started_ms: casualty.born },
            attempt: casualty.request,
            subjects: decode_subjects(casualty),
            sent: time_of(casualty.sent, now),
            ended: time_of(casualty.ended, now),
        };
        has_new |= state.quarantine.record_reported(casualty, now);
    }
    quarantine::publish_changes(shared, state);
    has_new
}
