//! A daemon's row in the store, and the key that the daemons of one fleet share.
//!
//! The incarnation of a process is the version that the store had reached when it started. Each
//! process writes its row after that, so the next one of the same instance has a higher one,
//! whatever happened to the instance's time of day.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_adapter::store::StoreRow;
use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_util::clock;
use ring::hmac;
use ring::rand::SecureRandom;
use ring::rand::SystemRandom;
use tokio::time::sleep;

use crate::peers;
use crate::state::Shared;

/// Table of the daemons' rows.
const DAEMONS: &str = "daemons";
/// Table of what all daemons share.
const FLEET: &str = "fleet";
/// Row of the key under which daemons seal their words.
const PEER_KEY: &str = "peer-key";
/// Bytes of that key.
const KEY_BYTES: usize = 32;
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls in a row; doubles up to it.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);
/// Least time between two reads of all rows; word between daemons is much faster.
const READ_EVERY: Duration = Duration::from_secs(10);
/// Time between two reads of all rows for each daemon of the fleet.
const READ_EACH: Duration = Duration::from_millis(500);
/// Time without word after which a daemon's row is removed.
const GONE: Duration = Duration::from_secs(30);

/// The key under which daemons seal their words; made by the first daemon that asks for it.
pub async fn peer_key(shared: &Shared) -> hmac::Key {
    loop {
        match find_key(shared).await {
            Ok(Some(key)) => return key,
            Ok(None) => {}
            Err(_) => sleep(PAUSE).await,
        }
    }
}

async fn find_key(shared: &Shared) -> Result<Option<hmac::Key>, Error> {
    let (row, _) = shared.store.row(FLEET, PEER_KEY).await?;
    if let Some(value) = row.and_then(|row| row.value) {
        return Ok(Some(hmac::Key::new(hmac::HMAC_SHA256, &value)));
    }
    let mut bytes = [0; KEY_BYTES];
    if SystemRandom::new().fill(&mut bytes).is_err() {
        return Err(Error::Unavailable("the system gives no random numbers".to_owned()));
    }
    let value = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let (table, key) = (FLEET.to_owned(), PEER_KEY.to_owned());
    let transaction = Transaction {
        conditions: vec![Condition::Absent { table: table.clone(), key: key.clone() }],
        writes: vec![Write::Put { table, key, value }],
    };
    // Whoever wrote first, the row now tells.
    shared.store.transact(&transaction).await.map(|_| None)
}

/// Takes this process's incarnation from the store.
pub async fn begin(shared: &Shared) {
    loop {
        match shared.store.rows(DAEMONS).await {
            Ok(rows) => {
                // Nobody else sets it.
                let _ = shared.incarnation.set(rows.version);
                return;
            }
            Err(_) => sleep(PAUSE).await,
        }
    }
}

/// Writes this daemon's row, then reads those of the others now and then until the task is ended.
pub async fn run(shared: Arc<Shared>) {
    while write(&shared).await.is_err() {
        sleep(PAUSE).await;
    }
    let mut pause = PAUSE;
    loop {
        match read(&shared).await {
            Ok(()) => {
                pause = PAUSE;
                let size = shared.state().roster.size();
                sleep(READ_EVERY.max(READ_EACH * size as u32)).await;
            }
            Err(_) => {
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn write(shared: &Shared) -> Result<(), Error> {
    let daemon = peers::myself(shared);
    let value = serde_json::to_string(&daemon).map_err(|e| Error::Invalid(e.to_string()))?;
    let (table, key) = (DAEMONS.to_owned(), daemon.name);
    let writes = vec![Write::Put { table, key, value }];
    shared.store.transact(&Transaction { conditions: Vec::new(), writes }).await.map(drop)
}

async fn read(shared: &Shared) -> Result<(), Error> {
    let rows = shared.store.rows(DAEMONS).await?;
    let now = clock::now();
    let decode = |row: &StoreRow| serde_json::from_slice(row.value.as_deref()?).ok();
    let daemons = rows.rows.iter().filter_map(decode);
    let (own, daemons): (Vec<Daemon>, Vec<Daemon>) =
        daemons.partition(|daemon: &Daemon| daemon.name == shared.settings.name);
    let gone: Vec<(String, u64)> = {
        let mut state = shared.state();
        state.roster.apply_rows(daemons, now);
        state.peers_read = true;
        let holds = state.lease.token(now).is_some();
        let silent = state.roster.silent_for(GONE, now).filter(|_| holds);
        let named = silent.map(|daemon| daemon.name.clone());
        named
            .filter_map(|name| {
                let row = rows.rows.iter().find(|row| row.key == name)?;
                Some((name, row.version))
            })
            .collect()
    };
    shared.report_now.notify_one();
    if own.is_empty() {
        // Somebody took this daemon for gone while it couldn't be heard.
        write(shared).await?;
    }
    for (key, version) in gone {
        let table = DAEMONS.to_owned();
        let condition = Condition::Version { table: table.clone(), key: key.clone(), version };
        let transaction =
            Transaction { conditions: vec![condition], writes: vec![Write::Delete { table, key }] };
        // Refused where the daemon wrote its row anew.
        shared.store.transact(&transaction).await?;
    }
    Ok(())
}
