//! Registers a daemon in the store, discovers the other daemons and obtains the key that they
//! share.
//!
//! The incarnation of a process is the store's era and version at its start. Each process then writes
//! its row, which raises the version, so the next process of the same instance gets a higher
//! incarnation, independent of the instance's wall clock.
//!
//! A store that comes back from an older copy may lack the rows and the key, so each daemon looks
//! after its own row and the key when the era changes.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_adapter::store::SingleRow;
use corianderyoke_adapter::store::StoreRow;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use ring::rand::SecureRandom;
use ring::rand::SystemRandom;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::peers;
use crate::peers::PeerKey;
use crate::quarantine;
use crate::state::Shared;

/// Table of the daemons' rows.
const DAEMON_TABLE: &str = "daemons";
/// Table of values shared by all daemons.
pub const FLEET_TABLE: &str = "fleet";
/// Row of the key that authenticates datagrams between daemons.
const PEER_KEY_ROW: &str = "peer-key";
/// Length of that key.
const KEY_BYTES: usize = 32;
/// Backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Longest backoff after consecutive failed calls; each one doubles it.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Least interval between two reads of all rows. Reports between daemons are much faster.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Least interval between two reads of all rows because of an unknown daemon.
const MIN_REREAD_INTERVAL: Duration = Duration::from_secs(4);
/// Interval between two reads of all rows, per daemon of the fleet.
const READ_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(500);
/// Delay of a daemon's check of its rows in a restored store, per daemon that checks before it.
const CHECK_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);
/// Time without a report after which a daemon's row is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Adopts the key that the store holds for datagrams between daemons. If it holds none, writes the
/// key that this daemon uses, or a new one.
pub async fn agree_on_key(shared: &Shared) {
    loop {
        match read_or_write_key(shared).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                events::log(Event::PlatformFailed, format_args!("row={PEER_KEY_ROW} {error}"));
                sleep(INITIAL_BACKOFF).await;
            }
        }
    }
}

/// Returns whether the key was read.
async fn read_or_write_key(shared: &Shared) -> Result<bool, Error> {
    let rows = shared.store.rows(FLEET_TABLE).await?.rows;
    let value = |key| rows.iter().find(|row| row.key == key).and_then(|row| row.value.as_deref());
    let used = shared.peer_keys.lock().current().map(|key| key.row.clone());
    // A daemon that is running knows the quarantine better than a restored store.
    if let Some(parts) = value(quarantine::ROW).filter(|_| used.is_none()) {
        quarantine::restore(shared, parts);
    }
    if let Some(value) = value(PEER_KEY_ROW) {
        let is_other = shared.peer_keys.lock().replace(PeerKey::new(value));
        if is_other && used.is_some() {
            events::log(Event::PeerKeyChanged, format_args!("row={PEER_KEY_ROW}"));
        }
        return Ok(true);
    }
    let used = used.and_then(|row| String::from_utf8(row).ok());
    let value = used.map_or_else(random_key, Ok)?;
    let (table, key) = (FLEET_TABLE.to_owned(), PEER_KEY_ROW.to_owned());
    let transaction = Transaction {
        conditions: vec![Condition::Absent { table: table.clone(), key: key.clone() }],
        writes: vec![Write::Put { table, key, value }],
    };
    // Another daemon may have written first; the next read returns the key that is in the row.
    shared.store.transact(&transaction).await.map(|_| false)
}

fn random_key() -> Result<String, Error> {
    let mut bytes = [0; KEY_BYTES];
    if SystemRandom::new().fill(&mut bytes).is_err() {
        return Err(Error::Unavailable(
            "failed to read random bytes from the operating system".to_owned(),
        ));
    }
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}

/// Writes again what a restored store lacks of the key and of this daemon's row, until the task is
/// aborted.
pub async fn write_again(shared: Arc<Shared>) {
    loop {
        shared.restored.notified().await;
        let rank = shared.rank(&shared.state(), PEER_KEY_ROW);
        sleep(CHECK_INTERVAL_PER_DAEMON * rank as u32).await;
        agree_on_key(&shared).await;
        while let Err(error) = write_row_if_lost(&shared).await {
            let name = &shared.settings.name;
            events::log(Event::PlatformFailed, format_args!("row={name} {error}"));
            sleep(INITIAL_BACKOFF).await;
        }
    }
}

async fn write_row_if_lost(shared: &Shared) -> Result<(), Error> {
    let SingleRow { row, era, .. } = shared.store.row(DAEMON_TABLE, &shared.settings.name).await?;
    let written = row.as_ref().and_then(|row| decode(row, era));
    if written.is_some_and(|written| written.incarnation >= shared.incarnation()) {
        return Ok(());
    }
    write_row(shared).await
}

/// Decodes the row of a daemon that was read in an era of the store. Returns `None` for one that no
/// daemon wrote.
fn decode(row: &StoreRow, era: u64) -> Option<Daemon> {
    let key = &row.key;
    let daemon: Daemon = serde_json::from_slice(row.value.as_deref()?)
        .inspect_err(|error| events::log(Event::EntrySkipped, format_args!("daemon={key} {error}")))
        .ok()?;
    let Daemon { name, incarnation, .. } = &daemon;
    // A daemon takes its incarnation from the store's version before it writes its row.
    let limit = Position { era, version: row.version }.to_number();
    if name == key && *incarnation <= limit {
        return Some(daemon);
    }
    events::log(
        Event::EntrySkipped,
        format_args!("daemon={key} name={name} incarnation={incarnation} limit={limit}"),
    );
    None
}

/// Sets the incarnation of this process from the store's era and version.
pub async fn begin(shared: &Shared) {
    loop {
        match shared.store.rows(DAEMON_TABLE).await {
            Ok(rows) => {
                // Can't fail, since this is the only place that sets it.
                let _ = shared.incarnation.set(rows.position.to_number());
                return;
            }
            Err(_) => sleep(INITIAL_BACKOFF).await,
        }
    }
}

/// Writes this daemon's row, then reads all rows periodically until the task is aborted.
pub async fn run(shared: Arc<Shared>) {
    while write_row(&shared).await.is_err() {
        sleep(INITIAL_BACKOFF).await;
    }
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match read_rows(&shared).await {
            Ok(()) => {
                backoff = INITIAL_BACKOFF;
                let size = shared.state().roster.size();
                sleep(MIN_REREAD_INTERVAL).await;
                let left = MIN_READ_INTERVAL.max(READ_INTERVAL_PER_DAEMON * size as u32);
                // Wakes on a notification, or when the next read is due.
                let _ = timeout(left, shared.unknown_peer.notified()).await;
            }
            Err(_) => {
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

async fn write_row(shared: &Shared) -> Result<(), Error> {
    let daemon = peers::own_daemon(shared);
    let value = serde_json::to_string(&daemon).map_err(|e| Error::Invalid(e.to_string()))?;
    let (table, key) = (DAEMON_TABLE.to_owned(), daemon.name);
    let writes = vec![Write::Put { table, key, value }];
    shared.store.transact(&Transaction { conditions: Vec::new(), writes }).await.map(drop)
}

async fn read_rows(shared: &Shared) -> Result<(), Error> {
    let rows = shared.store.rows(DAEMON_TABLE).await?;
    let now = clock::now();
    let daemons = rows.rows.iter().filter_map(|row| decode(row, rows.position.era));
    let (own, daemons): (Vec<Daemon>, Vec<Daemon>) =
        daemons.partition(|daemon: &Daemon| daemon.name == shared.settings.name);
    let removable: Vec<(String, u64)> = {
        let mut state = shared.state();
        state.roster.apply_rows(daemons, now);
        state.peers_read = true;
        let is_holder = state.lease.token(now).is_some();
        let silent = state.roster.silent_for(REMOVAL_TIMEOUT, now).filter(|_| is_holder);
        let names = silent.map(|daemon| daemon.name.clone());
        names
            .filter_map(|name| {
                let row = rows.rows.iter().find(|row| row.key == name)?;
                Some((name, row.version))
            })
            .collect()
    };
    shared.report_now.notify_one();
    if own.iter().all(|daemon| daemon.incarnation < shared.incarnation()) {
        // The lease holder removed this daemon's row while its reports didn't arrive.
        write_row(shared).await?;
    }
    if shared.store.era() != rows.position.era {
        // The versions of the rows that were read may have been given out again.
        return Ok(());
    }
    for (key, version) in removable {
        let table = DAEMON_TABLE.to_owned();
        let condition = Condition::Version { table: table.clone(), key: key.clone(), version };
        let transaction =
            Transaction { conditions: vec![condition], writes: vec![Write::Delete { table, key }] };
        // Rejected if the daemon has rewritten its row since.
        shared.store.transact(&transaction).await?;
    }
    Ok(())
}
