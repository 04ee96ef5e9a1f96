//! Applies the quarantine of requests and prompt parts that crash engines, and keeps it in the store
//! for daemons that start.

use std::io::ErrorKind;
use std::iter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_adapter::headers;
use corianderyoke_adapter::headers::RequestHeaders;
use corianderyoke_coord::serving::choice;
use corianderyoke_coord::serving::engines;
use corianderyoke_coord::serving::quarantine::Admission;
use corianderyoke_coord::serving::quarantine::Casualty;
use corianderyoke_coord::serving::quarantine::Crash;
use corianderyoke_coord::serving::quarantine::Subject;
use corianderyoke_coord::time::Tick;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use futures::future::join_all;
use http::HeaderMap;
use tokio::time::sleep;

use crate::call::Call;
use crate::connect;
use crate::forward::Target;
use crate::joining::FLEET_TABLE;
use crate::reach;
use crate::refusal::Refusal;
use crate::state::Shared;
use crate::state::State;

/// Row that lists what is quarantined: a list for each subject, of the subject and its rivals. A part
/// of a prompt is a hexadecimal number, a whole request one after [`REQUEST_PREFIX`].
pub const ROW: &str = "quarantine";
/// Prefix of whole requests in the row.
const REQUEST_PREFIX: &str = "request-";
/// Time limit for a connection that shows whether an engine is alive.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an engine that accepted a connection is checked again, since a crash may take
/// down its listener last.
const RECHECK_DELAY: Duration = Duration::from_millis(150);
/// Most times that an engine is checked again while no other one can be reached.
const MAX_RECHECKS: u32 = 10;
/// Most other engines that are tried to see whether this instance reaches any.
const MAX_COMPARED: usize = 3;
/// Interval between two cleanups and comparisons with the store.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a failed write of the row is repeated.
const WRITE_BACKOFF: Duration = Duration::from_secs(1);

/// Content of the row.
type StoredSubjects = Vec<Vec<String>>;

/// Refuses a request if it, or a part of its prompt, is quarantined. `identity` returns the number
/// that it shares with its repetitions.
///
/// # Errors
///
/// Returns [`Refusal::Quarantined`].
pub fn admit(
    shared: &Shared,
    facts: &RequestHeaders,
    identity: impl FnOnce() -> u64,
    now: Tick,
) -> Result<(), Refusal> {
    let concerns_requests = {
        let state = shared.state();
        if state.quarantine.held_subjects().next().is_none() {
            return Ok(());
        }
        state.quarantine.concerns_requests()
    };
    let request = concerns_requests.then(|| Subject::Request(identity()));
    let parts = facts.need.iter().flat_map(choice::shared_parts).map(Subject::Part);
    let subjects: Vec<Subject> = request.into_iter().chain(parts).collect();
    let mut guard = shared.state();
    let state = &mut *guard;
    let homes: Vec<Subject> =
        subjects.iter().copied().filter(|subject| is_home(shared, state, *subject)).collect();
    match state.quarantine.admit(&subjects, |subject| homes.contains(&subject), now) {
        Admission::Free | Admission::Trial => Ok(()),
        Admission::Held(left) => Err(Refusal::Quarantined(left)),
    }
}

/// Returns whether this daemon tries whether a quarantined subject still crashes engines.
fn is_home(shared: &Shared, state: &State, subject: Subject) -> bool {
    shared.rank(state, &name(subject)) == 0
}

/// Returns what a call has in common with other requests. Includes the whole request only where that
/// matters, since its number depends on the body.
pub fn subjects(call: &Call) -> Vec<Subject> {
    let concerns_requests = call.shared.state().quarantine.concerns_requests();
    let request = concerns_requests.then(|| Subject::Request(call.identity()));
    request.into_iter().chain(call.shared_parts().into_iter().map(Subject::Part)).collect()
}

/// Returns what a call whose engine may have crashed has in common with other requests.
pub fn casualty_subjects(call: &Call) -> Vec<Subject> {
    let request = Subject::Request(call.identity());
    iter::once(request).chain(call.shared_parts().into_iter().map(Subject::Part)).collect()
}

/// Returns the name of a subject in the store's row.
fn name(subject: Subject) -> String {
    match subject {
        Subject::Request(identity) => format!("{REQUEST_PREFIX}{identity:x}"),
        Subject::Part(part) => format!("{part:x}"),
    }
}

fn parse_name(name: &str) -> Option<Subject> {
    match name.strip_prefix(REQUEST_PREFIX) {
        Some(identity) => u64::from_str_radix(identity, 16).ok().map(Subject::Request),
        None => u64::from_str_radix(name, 16).ok().map(Subject::Part),
    }
}

/// Returns the process of an engine that receives a request now.
pub fn process(state: &State, target: &Target) -> Crash {
    let started_ms = state.engines.get(target.key).and_then(|engine| engine.started_ms);
    Crash { engine: engines::fingerprint(&target.id), started_ms: started_ms.unwrap_or(0) }
}

/// Records that the connection of a request ended. Returns whether the engine must be checked.
pub fn record_broken(shared: &Shared, casualty: Casualty) -> bool {
    let mut state = shared.state();
    let is_unchecked = state.quarantine.record_broken(casualty, clock::now());
    if !is_unchecked {
        shared.report_soon(&mut state);
        publish_changes(shared, &mut state);
    }
    is_unchecked
}

/// Checks whether an engine crashed that ended the connection of a request.
pub async fn check(shared: &Arc<Shared>, address: SocketAddr, crash: Crash) {
    if has_crashed(shared, address).await == Some(true) {
        confirm(shared, address, crash);
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let mut has_path = false;
        for _ in 0..MAX_RECHECKS {
            sleep(RECHECK_DELAY).await;
            match has_crashed(&shared, address).await {
                Some(true) => return confirm(&shared, address, crash),
                Some(false) => {
                    has_path = true;
                    break;
                }
                None => {}
            }
        }
        shared.state().quarantine.dismiss(crash);
        events::log(
            Event::CrashDismissed,
            format_args!("address={address} started_ms={} has_path={has_path}", crash.started_ms),
        );
    });
}

/// Returns whether an engine has crashed: it refuses connections, and another one accepts them. `None`
/// if no other one can be reached, so that this instance may have lost its paths to all.
async fn has_crashed(shared: &Shared, address: SocketAddr) -> Option<bool> {
    if !is_refused(address).await {
        return Some(false);
    }
    let others: Vec<SocketAddr> = {
        let state = shared.state();
        let others = state.engines.iter().map(|(_, engine)| engine.address);
        others.filter(|other| *other != address).take(MAX_COMPARED).collect()
    };
    let is_reached = others.is_empty()
        || join_all(others.into_iter().map(reach::is_reachable)).await.contains(&true);
    // The paths may have come back since the first look.
    match is_reached {
        true => Some(is_refused(address).await),
        false => None,
    }
}

/// Returns whether an instance refuses connections, because no process listens there. One that
/// can't be reached doesn't.
async fn is_refused(address: SocketAddr) -> bool {
    matches!(connect::open(address, CHECK_TIMEOUT).await, Err(ErrorKind::ConnectionRefused))
}

fn confirm(shared: &Shared, address: SocketAddr, crash: Crash) {
    let mut state = shared.state();
    let casualties = state.quarantine.confirm(crash, clock::now());
    if casualties == 0 {
        return;
    }
    events::log(
        Event::UpstreamCrashed,
        format_args!("address={address} started_ms={} casualties={casualties}", crash.started_ms),
    );
    shared.report_soon(&mut state);
    publish_changes(shared, &mut state);
}

/// Records the complete response to a request, which therefore doesn't crash engines.
pub fn record_served(call: &Call, head: &HeaderMap) {
    let subjects = subjects(call);
    let mut state = call.shared.state();
    state.quarantine.record_served(&subjects, headers::is_framed(head), clock::now());
    publish_changes(&call.shared, &mut state);
}

/// Logs what was quarantined or cleared, and gives up the requests concerned.
pub fn publish_changes(shared: &Shared, state: &mut State) {
    let changes = state.quarantine.take_changes();
    for (subject, is_held) in &changes {
        match (*subject, is_held) {
            (Subject::Part(part), true) => {
                events::log(Event::Quarantined, format_args!("part={part:x}"));
            }
            (Subject::Part(part), false) => {
                events::log(Event::PartCleared, format_args!("part={part:x}"));
            }
            (Subject::Request(identity), true) => {
                events::log(Event::RequestQuarantined, format_args!("request={identity:x}"));
            }
            (Subject::Request(identity), false) => {
                events::log(Event::RequestCleared, format_args!("request={identity:x}"));
            }
        }
    }
    if !changes.is_empty() {
        shared.report_soon(state);
        shared.quarantined.notify_waiters();
        shared.changed.notify_waiters();
    }
}

/// Quarantines the subjects that a row of the store lists.
pub fn restore(shared: &Shared, row: &[u8]) {
    let stored: StoredSubjects = match serde_json::from_slice(row) {
        Ok(stored) => stored,
        Err(error) => {
            events::log(Event::EntrySkipped, format_args!("name={ROW} {error}"));
            return;
        }
    };
    let mut state = shared.state();
    for listed in &stored {
        let mut subjects = listed.iter().filter_map(|name| parse_name(name));
        if let Some(subject) = subjects.next() {
            state.quarantine.restore(subject, subjects.collect(), clock::now());
        }
    }
    publish_changes(shared, &mut state);
}

/// Drops old evidence, and while this daemon holds the lease keeps the store's row up to date, until
/// the task is aborted.
pub async fn maintain(shared: Arc<Shared>) {
    let mut written: Option<(u64, StoredSubjects)> = None;
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        let subjects = {
            let mut state = shared.state();
            let now = clock::now();
            state.quarantine.prune(now);
            publish_changes(&shared, &mut state);
            state.holds_lease(now).then(|| list(&state))
        };
        let Some(subjects) = subjects else {
            written = None;
            continue;
        };
        // What was written in an earlier era may be lost, or an older list may be there again.
        let era = shared.store.era();
        if written.as_ref().is_some_and(|(of, list)| *of == era && *list == subjects) {
            continue;
        }
        match write(&shared, &subjects).await {
            Ok(()) => written = Some((era, subjects)),
            Err(error) => {
                events::log(Event::PlatformFailed, format_args!("row={ROW} {error}"));
                sleep(WRITE_BACKOFF).await;
            }
        }
    }
}

fn list(state: &State) -> StoredSubjects {
    let subjects = state.quarantine.held_subjects().map(|(subject, rivals)| {
        [subject].iter().chain(rivals).map(|subject| name(*subject)).collect()
    });
    subjects.collect()
}

async fn write(shared: &Shared, subjects: &[Vec<String>]) -> anyhow::Result<()> {
    let (table, key) = (FLEET_TABLE.to_owned(), ROW.to_owned());
    let writes = vec![Write::Put { table, key, value: serde_json::to_string(subjects)? }];
    shared.store.transact(&Transaction { conditions: Vec::new(), writes }).await?;
    Ok(())
}
