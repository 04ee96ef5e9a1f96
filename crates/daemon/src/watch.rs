//! Follows the store: the operator's desired state, and the engines' entries.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_adapter::desired;
use corianderyoke_adapter::entries;
use corianderyoke_adapter::store::Feed;
use corianderyoke_adapter::store::Rows;
use corianderyoke_adapter::store::StoreRow;
use corianderyoke_adapter::store::MAX_ROWS;
use corianderyoke_coord::serving::caps::TeamBucket;
use corianderyoke_coord::serving::caps::Tolerance;
use corianderyoke_coord::serving::engines::Change;
use corianderyoke_coord::serving::engines::Entry;
use corianderyoke_platform::Error;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::peers;
use crate::settings::Bounds;
use crate::state::Shared;
use crate::state::State;

/// Time for which a feed waits for a change.
const FEED_WAIT: Duration = Duration::from_secs(10);
/// Time for which the holder's feed of the engines waits, as a part of the time within which a
/// leaving engine must get nothing new.
const HOLDER_SHARE: f64 = 0.25;
/// Age of the last read from which the table is read whole: engines rewrite their entries about
/// once a second, so from there on it is shorter than its changes.
const WHOLE_AGE: Duration = Duration::from_millis(2_500);
/// First pause after a failed call; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two tries to reach the store.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time that a feed has to bring what another daemon read already; after it the connection counts
/// as silent.
const BEHIND_SPAN: Duration = Duration::from_millis(400);
/// Least time between two feeds of what the operator writes.
const OPERATOR_GAP: Duration = Duration::from_millis(40);

/// A table that a daemon follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Table {
    /// What the operator writes.
    Operator,
    /// The engines' entries.
    Engines,
}

impl Table {
    /// Time for which a feed waits for a change. The holder tells how old its read of the engines
    /// is, and asks again before that would make others look for themselves.
    fn wait(self, shared: &Shared) -> Duration {
        let holds = self == Table::Engines && shared.state().orders(clock::now());
        if holds {
            shared.settings.bounds.drain().mul_f64(HOLDER_SHARE)
        } else {
            FEED_WAIT
        }
    }

    /// Waits until the next feed.
    async fn pause(self, shared: &Shared) {
        if self == Table::Operator {
            sleep(OPERATOR_GAP).await;
            return;
        }
        let read = clock::now();
        loop {
            let look = shared.look.notified();
            let (left, pause) = {
                let state = shared.state();
                let fleet = peers::fleet(shared, &state);
                let now = clock::now();
                let gap = state.told.poll_interval(state.orders(now), fleet, now);
                (gap.saturating_sub(now.since(read)), fleet.report_interval)
            };
            if left.is_zero() {
                return;
            }
            // Silence is told by nobody.
            let _ = timeout(left.min(pause), look).await;
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
                    shared.state().engines.begin_recovery(clock::now());
                }
                pause = FIRST_PAUSE;
                after = next;
                table.pause(&shared).await;
            }
            Err(error) => {
                if !failing {
                    failing = true;
                    let name = table.name();
                    events::log(Event::PlatformFailed, format_args!("table={name} {error}"));
                }
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
                if table == Table::Engines {
                    // A daemon that is told of the engines need not press a store that refuses it.
                    table.pause(&shared).await;
                }
            }
        }
    }
}

/// One step: reads the table, or its changes after a version; gives the version reached.
async fn follow(table: Table, shared: &Shared, after: Option<u64>) -> Result<Option<u64>, Error> {
    match table {
        Table::Operator => {
            let version = tokio::select! {
                version = fetch(table, shared, after, FEED_WAIT) => version?,
                // Asked on another connection, and answered at once.
                () = behind(shared) => fetch(table, shared, after, Duration::ZERO).await?,
            };
            let mut state = shared.state();
            state.operator.read = version.unwrap_or(0);
            Ok(version)
        }
        Table::Engines => {
            let (look, age) = {
                let mut state = shared.state();
                (state.told.begin_poll(), clock::now().since(state.read))
            };
            let after = after.filter(|_| age < WHOLE_AGE);
            let read = fetch(table, shared, after, table.wait(shared)).await;
            let mut state = shared.state();
            match read {
                Ok(_) => state.read = clock::now(),
                Err(_) => state.told.poll_failed(look),
            }
            read
        }
    }
}

/// Returns once this daemon lacks for too long what another one read.
async fn behind(shared: &Shared) {
    loop {
        shared.behind.notified().await;
        sleep(BEHIND_SPAN).await;
        if shared.state().operator.is_behind() {
            return;
        }
    }
}

/// Reads the table, or its changes after a version; gives the version reached.
async fn fetch(
    table: Table,
    shared: &Shared,
    after: Option<u64>,
    wait: Duration,
) -> Result<Option<u64>, Error> {
    let Some(after) = after else {
        let rows = shared.store.rows(table.name()).await?;
        let version = rows.version;
        take_all(table, shared, rows);
        return Ok(Some(version));
    };
    let (mut after, mut wait) = (after, wait);
    loop {
        let Feed::Changes(changes) = shared.store.feed(table.name(), after, wait).await? else {
            return Ok(None);
        };
        after = changes.version.max(after);
        wait = Duration::ZERO;
        let count = changes.rows.len();
        for row in changes.rows {
            take(table, shared, row);
        }
        if count > 0 {
            settled(shared);
        }
        if count < MAX_ROWS {
            return Ok(Some(after));
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
                unlist(shared, &mut state, &id, rows.version);
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
    if table == Table::Operator {
        let operator = &mut shared.state().operator;
        operator.known = operator.known.max(row.version);
    }
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
        (Table::Engines, Some(value)) => list(shared, &row.key, &value, row.version),
        (Table::Engines, None) => unlist(shared, &mut shared.state(), &row.key, row.version),
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

fn list(shared: &Shared, id: &str, value: &[u8], version: u64) {
    let entry = match entries::decode(id, value) {
        Ok(entry) => Entry { version, ..entry },
        Err(error) => {
            events::log(Event::EntrySkipped, format_args!("engine={id}: {error}"));
            return;
        }
    };
    let detail = format!("service={} address={}", entry.service, entry.address);
    let now = clock::now();
    let mut state = shared.state();
    let change = state.engines.upsert(entry, now);
    changed(shared, &mut state, id, change, &detail);
}

fn unlist(shared: &Shared, state: &mut State, id: &str, version: u64) {
    let change = state.engines.remove(id, version, clock::now());
    if change == Change::Left {
        forget(shared, state, id);
    }
    changed(shared, state, id, change, "unlisted");
}

/// Logs a change of an engine and tells the other daemons where this one gives orders.
pub fn changed(shared: &Shared, state: &mut State, id: &str, change: Change, detail: &str) {
    let now = clock::now();
    if state.orders(now) && state.tell_change(id, change, now) {
        shared.urgent.notify_one();
    }
    match change {
        Change::Added | Change::Updated | Change::Cooled => {
            events::log(Event::UpstreamListed, format_args!("engine={id} {detail}"));
        }
        Change::Restarted => {
            forget(shared, state, id);
            events::log(Event::UpstreamListed, format_args!("engine={id} {detail} restarted"));
        }
        Change::Left => events::log(Event::UpstreamLeaving, format_args!("engine={id} {detail}")),
        Change::Same => {}
    }
}

/// Forgets what an engine had before it ended.
fn forget(shared: &Shared, state: &mut State, id: &str) {
    shared.pool.forget(id);
    if let Some(key) = state.engines.names.engines.key(id) {
        state.prefixes.forget_engine(key);
    }
}
