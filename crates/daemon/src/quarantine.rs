//! Applies the quarantine of prompt parts that crash engines to requests, and keeps it in the store
//! for daemons that start.

use std::io::ErrorKind;
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
use corianderyoke_coord::time::Tick;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use http::HeaderMap;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::call::Call;
use crate::forward::Target;
use crate::joining::FLEET_TABLE;
use crate::refusal::Refusal;
use crate::state::Shared;
use crate::state::State;

/// Row that lists the quarantined parts: a list for each, of the part and its rivals as hexadecimal
/// numbers.
pub const ROW: &str = "quarantine";
/// Time limit for a connection that shows whether an engine is alive.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an engine that accepted a connection is checked again, since a crash may take
/// down its listener last.
const RECHECK_DELAY: Duration = Duration::from_millis(150);
/// Interval between two cleanups and comparisons with the store.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a failed write of the row is repeated.
const WRITE_BACKOFF: Duration = Duration::from_secs(1);

/// Content of the row.
type StoredParts = Vec<Vec<String>>;

/// Refuses a request if a part of its prompt is quarantined.
///
/// # Errors
///
/// Returns [`Refusal::Quarantined`].
pub fn admit(shared: &Shared, facts: &RequestHeaders, now: Tick) -> Result<(), Refusal> {
    let Some(need) = &facts.need else { return Ok(()) };
    let parts: Vec<u64> = choice::shared_parts(need).collect();
    let mut guard = shared.state();
    let state = &mut *guard;
    if state.quarantine.held_parts().next().is_none() {
        return Ok(());
    }
    let homes: Vec<u64> =
        parts.iter().copied().filter(|part| is_home(shared, state, *part)).collect();
    match state.quarantine.admit(&parts, |part| homes.contains(&part), now) {
        Admission::Free | Admission::Trial => Ok(()),
        Admission::Held(left) => Err(Refusal::Quarantined(left)),
    }
}

/// Returns whether this daemon tries whether a quarantined part still crashes engines.
fn is_home(shared: &Shared, state: &State, part: u64) -> bool {
    shared.rank(state, &format!("{part:x}")) == 0
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
    if is_refused(address).await {
        confirm(shared, address, crash);
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        sleep(RECHECK_DELAY).await;
        if is_refused(address).await {
            confirm(&shared, address, crash);
        } else {
            // The failed attempt was logged; the engine goes on.
            shared.state().quarantine.dismiss(crash);
        }
    });
}

/// Returns whether an instance refuses connections, because no process listens there. One that
/// can't be reached doesn't.
async fn is_refused(address: SocketAddr) -> bool {
    let connecting = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connecting, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
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

/// Records the complete response to a request, whose parts therefore don't crash engines.
pub fn record_served(call: &Call, head: &HeaderMap) {
    let parts = call.shared_parts();
    let mut state = call.shared.state();
    state.quarantine.record_served(&parts, headers::is_framed(head), clock::now());
    publish_changes(&call.shared, &mut state);
}

/// Logs which parts were quarantined or cleared, and gives up the requests concerned.
pub fn publish_changes(shared: &Shared, state: &mut State) {
    let changes = state.quarantine.take_changes();
    for (part, is_held) in &changes {
        let event = if *is_held { Event::Quarantined } else { Event::PartCleared };
        events::log(event, format_args!("part={part:x}"));
    }
    if !changes.is_empty() {
        shared.report_soon(state);
        shared.quarantined.notify_waiters();
        shared.changed.notify_waiters();
    }
}

/// Quarantines the parts that a row of the store lists.
pub fn restore(shared: &Shared, row: &[u8]) {
    let parts: StoredParts = match serde_json::from_slice(row) {
        Ok(parts) => parts,
        Err(error) => {
            events::log(Event::EntrySkipped, format_args!("name={ROW} {error}"));
            return;
        }
    };
    let mut state = shared.state();
    for listed in &parts {
        let numbers = listed.iter().filter_map(|part| u64::from_str_radix(part, 16).ok());
        let mut numbers: Vec<u64> = numbers.collect();
        if !numbers.is_empty() {
            let part = numbers.remove(0);
            state.quarantine.restore(part, numbers, clock::now());
        }
    }
    publish_changes(shared, &mut state);
}

/// Drops old evidence, and while this daemon holds the lease keeps the store's row up to date, until
/// the task is aborted.
pub async fn maintain(shared: Arc<Shared>) {
    let mut written: Option<(u64, StoredParts)> = None;
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        let parts = {
            let mut state = shared.state();
            let now = clock::now();
            state.quarantine.prune(now);
            publish_changes(&shared, &mut state);
            state.holds_lease(now).then(|| list(&state))
        };
        let Some(parts) = parts else {
            written = None;
            continue;
        };
        // What was written in an earlier era may be lost, or an older list may be there again.
        let era = shared.store.era();
        if written.as_ref().is_some_and(|(of, list)| *of == era && *list == parts) {
            continue;
        }
        match write(&shared, &parts).await {
            Ok(()) => written = Some((era, parts)),
            Err(error) => {
                events::log(Event::PlatformFailed, format_args!("row={ROW} {error}"));
                sleep(WRITE_BACKOFF).await;
            }
        }
    }
}

fn list(state: &State) -> StoredParts {
    let parts = state.quarantine.held_parts().map(|(part, rivals)| {
        [part].iter().chain(rivals).map(|part| format!("{part:x}")).collect()
    });
    parts.collect()
}

async fn write(shared: &Shared, parts: &[Vec<String>]) -> anyhow::Result<()> {
    let (table, key) = (FLEET_TABLE.to_owned(), ROW.to_owned());
    let writes = vec![Write::Put { table, key, value: serde_json::to_string(parts)? }];
    shared.store.transact(&Transaction { conditions: Vec::new(), writes }).await?;
    Ok(())
}
