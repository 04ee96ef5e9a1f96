//! Follows the store: the operator's desired state, and the engines' entries.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_adapter::desired;
use corianderyoke_adapter::entries;
use corianderyoke_adapter::store::Feed;
use corianderyoke_adapter::store::Rows;
use corianderyoke_adapter::store::StoreRow;
use corianderyoke_coord::serving::caps::TeamBucket;
use corianderyoke_coord::serving::caps::Tolerance;
use corianderyoke_coord::serving::engines::Change;
use corianderyoke_platform::Error;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use tokio::time::sleep;

use crate::settings::Bounds;
use crate::state::Shared;
use crate::state::State;

/// Time for which a feed waits for a change.
const FEED_WAIT: Duration = Duration::from_secs(10);
/// First pause after a failed call; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two tries to reach the store.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Least time between two feeds where changes must be known at once.
const SHORT_GAP: Duration = Duration::from_millis(40);
/// Part of the time within which a leaving engine must get nothing new that lies between two feeds
/// of the engines at a daemon that hears the holder of the lease: engines rewrite their entries all
/// the time, and the holder tells what matters of them.
const TOLD_SHARE: f64 = 0.5;

/// A table that a daemon follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Table {
    /// What the operator writes.
    Operator,
    /// The engines' entries.
    Engines,
}

impl Table {
    /// Least time between two feeds.
    fn gap(self, shared: &Shared) -> Duration {
        match self {
            Table::Engines if shared.state().is_told(clock::now()) => {
                shared.settings.bounds.drain().mul_f64(TOLD_SHARE)
            }
            _ => SHORT_GAP,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Table::Operator => desired::TABLE,
            Table::Engines => entries::TABLE,
        }
    }
}

/// Follows a table until the task is ended.
pub async fn run(table: Table, shared: Arc<Shared>) {
    let mut after: Option<u64> = None;
    let mut pause = FIRST_PAUSE;
    let mut failing = false;
    loop {
        match follow(table, &shared, after).await {
            Ok(next) => {
                if failing {
                    failing = false;
                    events::log(Event::PlatformBack, format_args!("table={}", table.name()));
                    shared.state().engines.recover(clock::now());
                }
                pause = FIRST_PAUSE;
                after = next;
                sleep(table.gap(&shared)).await;
            }
            Err(error) => {
                if !failing {
                    failing = true;
                    let name = table.name();
                    events::log(Event::PlatformFailed, format_args!("table={name} {error}"));
                }
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// One step: reads the table, or its changes after a version; gives the version reached.
async fn follow(table: Table, shared: &Shared, after: Option<u64>) -> Result<Option<u64>, Error> {
    let Some(after) = after else {
        let rows = shared.store.rows(table.name()).await?;
        let version = rows.version;
        take_all(table, shared, rows);
        return Ok(Some(version));
    };
    match shared.store.feed(table.name(), after, FEED_WAIT).await? {
        Feed::Gone => Ok(None),
        Feed::Changes(changes) => {
            let version = changes.version.max(after);
            if !changes.rows.is_empty() {
                for row in changes.rows {
                    take(table, shared, row);
                }
                settled(shared);
            }
            Ok(Some(version))
        }
    }
}

/// Takes a whole table over: what it doesn't name is gone.
fn take_all(table: Table, shared: &Shared, rows: Rows) {
    match table {
        Table::Operator => {
            let zones = rows.rows.iter().filter_map(|row| desired::drained_zone(&row.key));
            shared.state().engines.drain_zones(zones);
        }
        Table::Engines => {
            let mut state = shared.state();
            let named = |id: &str| rows.rows.iter().any(|row| row.key == id);
            let gone: Vec<String> = state
                .engines
                .iter()
                .filter(|(_, engine)| !named(&engine.id))
                .map(|(_, engine)| engine.id.clone())
                .collect();
            for id in gone {
                unlist(shared, &mut state, &id);
            }
            state.listed = true;
        }
    }
    for row in rows.rows {
        take(table, shared, row);
    }
    settled(shared);
}

fn take(table: Table, shared: &Shared, row: StoreRow) {
    match (table, row.value) {
        (Table::Operator, value) => match desired::drained_zone(&row.key) {
            Some(zone) => drain(shared, zone, value.is_some()),
            None if row.key == desired::CONFIG => {
                if let Some(value) = value {
                    put_in_force(shared, &value);
                }
            }
            None => {}
        },
        (Table::Engines, Some(value)) => list(shared, &row.key, &value),
        (Table::Engines, None) => unlist(shared, &mut shared.state(), &row.key),
    }
}

/// Lets everything look again at what changed.
fn settled(shared: &Shared) {
    shared.changed.notify_waiters();
    shared.plan.notify_one();
}

fn drain(shared: &Shared, zone: &str, drained: bool) {
    shared.state().engines.drain_zone(zone, drained);
    let event = if drained { Event::ZoneDrained } else { Event::ZoneBack };
    events::log(event, format_args!("zone={zone}"));
}

/// Puts a desired state in force, unless it is older than the one that is.
fn put_in_force(shared: &Shared, value: &[u8]) {
    let desired = match desired::decode(value) {
        Ok(desired) => desired,
        Err(error) => {
            events::log(Event::EntrySkipped, format_args!("desired state: {error}"));
            return;
        }
    };
    let mut state = shared.state();
    let old = state.desired.as_ref().map_or(0, |desired| desired.revision);
    if state.desired.is_some() && desired.revision <= old {
        return;
    }
    let settings = &shared.settings;
    let Bounds { cap_overage: overage, cap_slack: slack, .. } = settings.bounds;
    for (name, team) in desired.teams.iter().flatten() {
        let Some(cap) = team.cap else { continue };
        // Every daemon keeps every team's bucket from the start, so that it hears all totals.
        let bucket = state.caps.entry(name.clone()).or_insert_with(|| {
            TeamBucket::new(cap, Tolerance { overage, slack }, settings.first_start, clock::now())
        });
        bucket.set_cap(cap);
    }
    let revision = desired.revision;
    let routes = desired.routes.len();
    state.desired = Some(Arc::new(desired));
    drop(state);
    events::log(
        Event::RevisionInForce,
        format_args!("revision={revision} before={old} routes={routes}"),
    );
}

fn list(shared: &Shared, id: &str, value: &[u8]) {
    let entry = match entries::decode(id, value) {
        Ok(entry) => entry,
        Err(error) => {
            events::log(Event::EntrySkipped, format_args!("engine={id}: {error}"));
            return;
        }
    };
    let detail = format!("engine={id} service={} address={}", entry.service, entry.address);
    let now = clock::now();
    let mut state = shared.state();
    let before = state.held(id);
    let change = state.engines.list(entry, now);
    if state.orders(now) && state.tell_change(id, change, &before, now) {
        shared.urgent.notify_one();
    }
    match change {
        Change::Added | Change::Updated => {
            events::log(Event::UpstreamListed, format_args!("{detail}"))
        }
        Change::Restarted => {
            forget(shared, &mut state, id);
            events::log(Event::UpstreamListed, format_args!("{detail} restarted"));
        }
        Change::Left => events::log(Event::UpstreamLeaving, format_args!("{detail}")),
        Change::Same => {}
    }
}

fn unlist(shared: &Shared, state: &mut State, id: &str) {
    if state.engines.unlist(id, clock::now()) == Change::Left {
        forget(shared, state, id);
        events::log(Event::UpstreamLeaving, format_args!("engine={id} unlisted"));
    }
}

/// Forgets what an engine had before it ended.
fn forget(shared: &Shared, state: &mut State, id: &str) {
    shared.pool.forget(id);
    if let Some(key) = state.engines.names.engines.key(id) {
        state.prefixes.forget(key);
    }
}
