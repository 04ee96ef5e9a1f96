//! Polls two tables of the store: the operator's desired state and the engines' entries.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_adapter::desired;
use corianderyoke_adapter::entries;
use corianderyoke_adapter::store::Feed;
use corianderyoke_adapter::store::Rows;
use corianderyoke_adapter::store::StoreRow;
use corianderyoke_adapter::store::MAX_ROWS;
use corianderyoke_coord::serving::caps::TeamBucket;
use corianderyoke_coord::serving::engines::Change;
use corianderyoke_coord::serving::engines::Entry;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::serving::position::Timeline;
use corianderyoke_coord::time::Tick;
use corianderyoke_platform::Error;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::feed;
use crate::feed::Doubts;
use crate::peers;
use crate::restoration;
use crate::state::Shared;
use crate::state::State;

/// Time for which a feed of the engines waits for a change, as a fraction of the drain time. Entries
/// change so often that a longer wait would save no call, but it would delay the discovery that the
/// store doesn't answer.
const ENGINE_FEED_FRACTION: f64 = 0.25;
/// Age of the latest read from which on the whole table is read instead of its changes. Engines
/// rewrite their entries about once a second, so beyond this age the table is smaller than the
/// changes.
const FULL_READ_AGE: Duration = Duration::from_millis(2_500);
/// Backoff after the first failed call; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Delay between two feeds of the operator's table.
const OPERATOR_FEED_GAP: Duration = Duration::from_millis(40);

/// Table that a daemon polls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Table {
    /// Desired state and drained zones, written by the operator.
    Operator,
    /// Entries of the engines.
    Engines,
}

impl Table {
    /// Returns how long a feed waits for a change. The lease holder announces the age of its latest
    /// read of the engines and polls again before that age makes the other daemons poll.
    fn feed_wait(self, shared: &Shared) -> Duration {
        match self {
            Table::Operator => feed::operator_wait(shared.slot(desired::TABLE)),
            Table::Engines => shared.settings.bounds.drain().mul_f64(ENGINE_FEED_FRACTION),
        }
    }

    /// Waits until the next feed is due.
    async fn wait_for_next(self, shared: &Shared) {
        if self == Table::Operator {
            sleep(OPERATOR_FEED_GAP).await;
            return;
        }
        let polled = clock::now();
        loop {
            let recheck = shared.recheck_poll.notified();
            let (left, interval) = {
                let state = shared.state();
                let fleet = peers::fleet_timing(shared, &state);
                let now = clock::now();
                let interval =
                    state.holder_updates.poll_interval(state.holds_lease(now), fleet, now);
                (interval.saturating_sub(now.since(polled)), fleet.report_interval)
            };
            if left.is_zero() {
                return;
            }
            // Nothing notifies about missing announcements, so also wakes after a report interval.
            let _ = timeout(left.min(interval), recheck).await;
        }
    }

    fn name(self) -> &'static str {
        match self {
            Table::Operator => desired::TABLE,
            Table::Engines => entries::TABLE,
        }
    }
}

/// Task that polls one table.
struct Poller {
    table: Table,
    shared: Arc<Shared>,
    /// Position up to which the table was read; `None` if it must be read in full.
    after: Option<Position>,
    timeline: Timeline,
    /// Whether the latest poll failed.
    is_failing: bool,
    /// Reasons to doubt a feed of the operator's table.
    doubts: Doubts,
    /// Whether this daemon heard the lease holder at the latest poll.
    was_informed: bool,
}

/// Polls a table until the task is aborted.
pub async fn run(table: Table, shared: Arc<Shared>) {
    let mut poller = Poller {
        table,
        shared: Arc::clone(&shared),
        after: None,
        timeline: Timeline::default(),
        is_failing: false,
        doubts: Doubts::new(&shared),
        was_informed: false,
    };
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match poller.poll().await {
            Ok(()) => {
                backoff = INITIAL_BACKOFF;
                table.wait_for_next(&shared).await;
            }
            Err(error) => {
                if !poller.is_failing {
                    poller.is_failing = true;
                    let name = table.name();
                    events::log(Event::PlatformFailed, format_args!("table={name} {error}"));
                }
                // Daemons that noticed an outage at the same moment must not call again together.
                let slot = shared.slot(table.name());
                sleep(slot.backoff(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                if table == Table::Engines {
                    // A daemon that receives announcements needn't add load to a failing store.
                    table.wait_for_next(&shared).await;
                }
            }
        }
    }
}

impl Poller {
    /// Polls the table once and records the outcome.
    async fn poll(&mut self) -> Result<(), Error> {
        match self.table {
            Table::Operator => {
                self.fetch(self.table.feed_wait(&self.shared)).await?;
                self.shared.state().operator.read = self.after.unwrap_or_default();
                Ok(())
            }
            Table::Engines => {
                self.check_informed();
                let (poll, age) = {
                    let mut state = self.shared.state();
                    (state.holder_updates.begin_poll(), clock::now().since(state.last_poll))
                };
                self.after = self.after.filter(|_| age < FULL_READ_AGE);
                let result = self.fetch(self.table.feed_wait(&self.shared)).await;
                let mut state = self.shared.state();
                match result {
                    Ok(()) => state.last_poll = clock::now(),
                    Err(_) => state.holder_updates.poll_failed(poll, clock::now()),
                }
                result
            }
        }
    }

    /// Makes this daemon doubt its feed of the operator's table when it no longer hears the lease
    /// holder. The holder calls the store more often than the others and notices an outage first.
    fn check_informed(&mut self) {
        let is_informed = {
            let state = self.shared.state();
            let fleet = peers::fleet_timing(&self.shared, &state);
            let now = clock::now();
            state.holds_lease(now) || state.holder_updates.is_informed(fleet, now)
        };
        if std::mem::replace(&mut self.was_informed, is_informed) && !is_informed {
            self.shared.holder_silent.notify_one();
        }
    }

    /// Reads the changes since the last read. Reads the whole table if there was none, or if the
    /// store doesn't have all changes because it dropped them or came back from an older copy.
    async fn fetch(&mut self, wait: Duration) -> Result<(), Error> {
        let mut wait = wait;
        while let Some(after) = self.after {
            let feed = match self.table {
                Table::Operator => feed::read(&self.shared, &mut self.doubts, after, wait).await?,
                Table::Engines => {
                    let feed = self.shared.store.begin_feed(entries::TABLE, after.version, wait);
                    feed.await?.read().await?
                }
            };
            let changes = match feed {
                Feed::Changes(changes) if changes.position.era == after.era => changes,
                Feed::Changes(changes) => {
                    self.forget_position(after, &format!("era={}", changes.position.era));
                    break;
                }
                Feed::Gone => {
                    self.forget_position(after, "gone");
                    break;
                }
            };
            self.record_success();
            self.after = Some(changes.position.max(after));
            wait = Duration::ZERO;
            let count = changes.rows.len();
            for row in changes.rows {
                apply_row(self.table, &self.shared, row, &self.timeline);
            }
            if count > 0 {
                notify_changed(&self.shared);
            }
            if count < MAX_ROWS {
                return Ok(());
            }
        }
        let rows = self.shared.store.rows(self.table.name()).await?;
        self.record_success();
        self.timeline.record_read(rows.position);
        self.after = Some(rows.position);
        restoration::record_era(&self.shared, rows.position.era);
        replace_table(self.table, &self.shared, rows, &self.timeline);
        Ok(())
    }

    /// Records that the store answered, before its rows are applied. After an outage, engines have
    /// time to renew their entries before these count as removed.
    fn record_success(&mut self) {
        if !std::mem::take(&mut self.is_failing) {
            return;
        }
        let now = clock::now();
        let mut state = self.shared.state();
        let ended = match self.table {
            Table::Operator => now,
            Table::Engines => state.holder_updates.poll_succeeded(now),
        };
        state.engines.begin_recovery(ended);
        drop(state);
        events::log(
            Event::PlatformBack,
            format_args!("table={} since_ms={}", self.table.name(), now.since(ended).as_millis()),
        );
    }

    fn forget_position(&mut self, after: Position, cause: &str) {
        self.after = None;
        let (name, Position { era, version }) = (self.table.name(), after);
        events::log(
            Event::TableReread,
            format_args!("table={name} after_era={era} after={version} cause={cause}"),
        );
    }
}

/// Applies a read of the whole table: what it doesn't contain no longer exists.
fn replace_table(table: Table, shared: &Shared, rows: Rows, timeline: &Timeline) {
    match table {
        Table::Operator => {
            let zones = rows.rows.iter().filter_map(|row| desired::drained_zone(&row.key));
            shared.state().engines.drain_zones(zones);
        }
        Table::Engines => {
            let mut state = shared.state();
            let is_listed = |id: &str| rows.rows.iter().any(|row| row.key == id);
            let removed: Vec<String> = state
                .engines
                .iter()
                .filter(|(_, engine)| !is_listed(&engine.id))
                .map(|(_, engine)| engine.id.clone())
                .collect();
            for id in removed {
                remove_engine(shared, &mut state, &id, rows.position);
            }
            state.engines_read = true;
        }
    }
    for row in rows.rows {
        apply_row(table, shared, row, timeline);
    }
    notify_changed(shared);
}

fn apply_row(table: Table, shared: &Shared, row: StoreRow, timeline: &Timeline) {
    let position = timeline.locate(row.version);
    if table == Table::Operator {
        let operator = &mut shared.state().operator;
        operator.known = operator.known.max(timeline.present(row.version));
    }
    match (table, row.value) {
        (Table::Operator, value) => match desired::drained_zone(&row.key) {
            Some(zone) => set_zone_drained(shared, zone, value.is_some()),
            None if row.key == desired::CONFIG => {
                if let Some(value) = value {
                    apply_desired(shared, &value, position);
                }
            }
            None => {}
        },
        (Table::Engines, Some(value)) => upsert_engine(shared, &row.key, &value, position),
        (Table::Engines, None) => remove_engine(shared, &mut shared.state(), &row.key, position),
    }
}

/// Wakes waiting requests and the planner after a change.
fn notify_changed(shared: &Shared) {
    shared.changed.notify_waiters();
    shared.replan.notify_one();
}

fn set_zone_drained(shared: &Shared, zone: &str, drained: bool) {
    shared.state().engines.drain_zone(zone, drained);
    let event = if drained { Event::ZoneDrained } else { Event::ZoneBack };
    events::log(event, format_args!("zone={zone}"));
}

/// Puts a desired state in force if its revision is higher than the current one. One of the same
/// revision replaces what the store lost before it was acknowledged.
fn apply_desired(shared: &Shared, value: &[u8], position: Position) {
    let desired = match desired::decode(value) {
        Ok(desired) => desired,
        Err(error) => {
            events::log(Event::EntrySkipped, format_args!("desired state: {error}"));
            return;
        }
    };
    let mut state = shared.state();
    let known = state.desired.as_deref();
    let previous = known.map_or(0, |known| known.revision);
    let is_newer = known.is_none_or(|known| {
        let is_rewritten = position > state.desired_position && desired != *known;
        desired.revision > previous || (desired.revision == previous && is_rewritten)
    });
    if !is_newer {
        return;
    }
    let settings = &shared.settings;
    let tolerance = settings.bounds.tolerance();
    for (name, team) in desired.teams.iter().flatten() {
        let Some(cap) = team.cap else { continue };
        // Creates the buckets of all teams now, so that totals reported by other daemons count even
        // before this daemon receives a request of the team.
        let bucket = state
            .team_buckets
            .entry(name.clone())
            .or_insert_with(|| TeamBucket::new(cap, tolerance, settings.first_start, clock::now()));
        bucket.set_cap(cap);
    }
    let time_limits = desired.routes.iter().map(|route| route.timeout);
    state.origins.set_time_limit(time_limits.max().unwrap_or_default());
    let revision = desired.revision;
    let routes = desired.routes.len();
    state.desired = Some(Arc::new(desired));
    state.desired_position = position;
    drop(state);
    events::log(
        Event::RevisionInForce,
        format_args!("revision={revision} before={previous} routes={routes}"),
    );
}

fn upsert_engine(shared: &Shared, id: &str, value: &[u8], position: Position) {
    let entry = match entries::decode(id, value) {
        Ok(entry) => Entry { position, ..entry },
        Err(error) => {
            events::log(Event::EntrySkipped, format_args!("engine={id}: {error}"));
            return;
        }
    };
    let detail = format!("service={} address={}", entry.service, entry.address);
    let now = clock::now();
    let mut state = shared.state();
    if state.engines.names.engines.key(id).is_some_and(|key| state.engines.position(key) > position)
    {
        shared.metrics.outdated_entries.inc();
    }
    record_release(shared, &mut state, &entry, now);
    let change = state.engines.upsert(entry, now);
    handle_change(shared, &mut state, id, change, &detail);
}

/// Records the release of an engine, which the store has to list before streams begin there.
pub fn record_release(shared: &Shared, state: &mut State, entry: &Entry, now: Tick) {
    if state.origins.see(&entry.service, &entry.software, now) {
        shared.origins_due.notify_one();
    }
}

fn remove_engine(shared: &Shared, state: &mut State, id: &str, position: Position) {
    let change = state.engines.remove(id, position, clock::now());
    if change == Change::Left {
        clear_engine(shared, state, id, None);
    }
    handle_change(shared, state, id, change, "unlisted");
}

/// Logs a change of an engine, and announces it to the other daemons if this one holds the lease.
pub fn handle_change(shared: &Shared, state: &mut State, id: &str, change: Change, detail: &str) {
    let now = clock::now();
    if state.holds_lease(now) && state.announce_change(id, change, now) {
        shared.report_now.notify_one();
    }
    match change {
        Change::Added | Change::Updated | Change::Cooled => {
            drop_unloaded(state, id);
            events::log(Event::UpstreamListed, format_args!("engine={id} {detail}"));
        }
        Change::Restarted => {
            clear_engine(shared, state, id, Some(now));
            events::log(Event::UpstreamListed, format_args!("engine={id} {detail} restarted"));
        }
        Change::Left => events::log(Event::UpstreamLeaving, format_args!("engine={id} {detail}")),
        Change::Same => {}
    }
}

/// Removes the cached prefixes of models and adapters that an engine no longer has loaded.
fn drop_unloaded(state: &mut State, id: &str) {
    let Some(key) = state.engines.names.engines.key(id) else { return };
    let Some(engine) = state.engines.get(key) else { return };
    state.cached.retain_held(key, |model, adapter| engine.holds(model, adapter));
}

/// Removes the connections, cached prefixes and limit of an engine that ended, or restarted at a time.
fn clear_engine(shared: &Shared, state: &mut State, id: &str, restarted: Option<Tick>) {
    shared.pool.remove_engine(id);
    if let Some(key) = state.engines.names.engines.key(id) {
        state.prefixes.forget_engine(key);
        state.cached.forget_engine(key);
        match restarted {
            Some(now) => state.telemetry.record_restart(key, now),
            None => state.telemetry.forget_engine(key),
        }
        state.engine_limits.forget_engine(key);
    }
}
