//! Finds out which software release began a stream that a caller takes up, and keeps what that needs
//! in the store. The decisions are in [`corianderyoke_coord::serving::origins`].
//!
//! One table holds both: a row with the releases of all services, written before streams begin at a
//! release, and while a service has several, rows with its streams. The lease holder writes the
//! streams of all daemons, a few times a second, so the calls don't grow with the fleet or the traffic.
//! While there is no holder, the daemons that receive all reports do so.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_adapter::store::Outcome;
use corianderyoke_adapter::store::StoreRow;
use corianderyoke_coord::serving::origin_rows::OriginRows;
use corianderyoke_coord::serving::origins::Beginning;
use corianderyoke_coord::serving::origins::Release;
use corianderyoke_coord::serving::origins::Resolution;
use corianderyoke_coord::serving::origins::StreamKey;
use corianderyoke_coord::time::Tick;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error;
use corianderyoke_platform::Result;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::call::Call;
use crate::peers;
use crate::refusal::Refusal;
use crate::state::Shared;
use crate::state::State;

/// Table of releases and streams.
const TABLE: &str = "origins";
/// Beginning of the keys of rows with streams. The time of the write by the store's clock follows, so
/// that a later read begins where the latest one ended.
const STREAMS_PREFIX: &str = "streams-";
/// Row of the releases of all services. Its key is above those of the streams, so that each read
/// contains it.
const RELEASES_ROW: &str = "versions";
/// Streams of a row, which the store limits to 64 KiB.
const STREAMS_PER_ROW: usize = 1_500;
/// Rows that are written or removed by one transaction, which the store limits to 100.
const ROWS_PER_WRITE: usize = 12;
/// Interval between two writes of streams.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two cleanups.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a failed call is repeated.
const CALL_BACKOFF: Duration = Duration::from_millis(250);
/// Time between two reads by this daemon, per daemon of the fleet.
const READ_GAP_PER_DAEMON: Duration = Duration::from_millis(4);
/// Delay until a daemon that doesn't hold the lease lists a release, per daemon of the fleet.
const LISTING_SPAN_PER_DAEMON: Duration = Duration::from_millis(10);
/// Number of report intervals within which a stream is known to the others and written.
const LOOKUP_INTERVALS: u32 = 2;
/// Interval between two lookups of a stream that isn't known yet.
const LOOKUP_GAP: Duration = Duration::from_millis(50);
/// Longest time that a read may take for a caller who waits.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// `Retry-After` while the store can't be read.
const UNREAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Content of the row of releases: the versions of each service.
type Releases = IndexMap<String, Vec<String>>;

/// Content of a row with streams.
#[derive(Debug, Deserialize, Serialize)]
struct StreamsRow {
    /// Time of the write by the store's clock, in milliseconds.
    at: u64,
    /// Each stream, its release, and its age at the write in milliseconds.
    streams: Vec<(u64, u32, u64)>,
}

/// Latest read of the table.
#[derive(Debug, Default)]
pub struct OriginRead {
    began: Tick,
    is_done: bool,
    /// Version of the row of releases; 0 if there is none.
    version: u64,
    /// Rows with streams.
    rows: OriginRows,
}

/// Finds out which release began the stream that a call goes on with, if it does.
///
/// # Errors
///
/// Returns the refusal of a stream that may have begun at any of several releases.
pub async fn resolve(call: &mut Call) -> std::result::Result<(), Refusal> {
    if !call.is_resumption() {
        return Ok(());
    }
    let asked = clock::now();
    let stream = call.resumes.as_deref().map(StreamKey::new);
    let result = look_up(call, stream, asked).await;
    events::log(
        Event::OriginResolved,
        format_args!(
            "id={} resumes={} release={result:x?} ms={}",
            call.id,
            call.resumes.as_deref().unwrap_or("none"),
            clock::now().since(asked).as_millis()
        ),
    );
    call.release = Some(result?);
    Ok(())
}

async fn look_up(
    call: &Call,
    stream: Option<StreamKey>,
    asked: Tick,
) -> std::result::Result<Release, Refusal> {
    let shared = &call.shared;
    let resolve = || shared.state().origins.resolve(&call.service, stream);
    if let Resolution::Known(release) = resolve() {
        return Ok(release);
    }
    // Another daemon may know of a release that this one doesn't.
    let mut read_at = asked;
    let patience = peers::report_interval(&shared.state()) * LOOKUP_INTERVALS;
    loop {
        let reading = timeout(LOOKUP_TIMEOUT.min(call.time_to_start()), refresh(shared, read_at));
        let read = reading.await.unwrap_or_else(|late| Err(Error::Unavailable(late.to_string())));
        if let Err(error) = read {
            events::log(
                Event::PlatformFailed,
                format_args!("table={TABLE} id={} {error}", call.id),
            );
            return Err(Refusal::OriginUnread(UNREAD_RETRY_AFTER));
        }
        match resolve() {
            Resolution::Known(release) | Resolution::Only(release) => return Ok(release),
            Resolution::Unknown => {}
        }
        // The daemon at which the stream began may be about to report it.
        while clock::now().since(read_at) < WRITE_INTERVAL {
            if stream.is_none() || clock::now().since(asked) >= patience {
                return Err(Refusal::OriginUnknown);
            }
            sleep(LOOKUP_GAP).await;
            if let Resolution::Known(release) = resolve() {
                return Ok(release);
            }
        }
        read_at = clock::now();
    }
}

/// Records that an event of a stream arrived, which began at this release if it is the first.
pub fn record_event(call: &mut Call, release: Release, now: Tick) {
    if call.release.is_none() {
        call.release = Some(release);
        call.shared.state().origins.begin(StreamKey::new(&call.id), release, now);
    }
}

/// Reads the table, unless it was read after `asked`. Concurrent callers share a read.
async fn refresh(shared: &Shared, asked: Tick) -> Result<()> {
    let mut read = shared.origin_reads.lock().await;
    if read.began >= asked && asked > Tick(0) {
        let failed = || Error::Unavailable(format!("the read of {TABLE} failed"));
        return read.is_done.then_some(()).ok_or_else(failed);
    }
    let gap = READ_GAP_PER_DAEMON * shared.state().roster.size() as u32;
    sleep(gap.saturating_sub(clock::now().since(read.began))).await;
    read.began = clock::now();
    read.is_done = false;
    let from_ms = read.rows.read_from(shared.store.era());
    let rows = shared.store.rows_from(TABLE, &stream_key(from_ms)).await?;
    let era = rows.position.era;
    // A later call may have noticed that the store was restored again.
    let now_ms = store_time(shared, clock::now()).filter(|_| era == shared.store.era());
    read.rows.record_read(from_ms, era, now_ms);
    read.version = 0;
    for row in &rows.rows {
        apply_row(shared, &mut read, row);
    }
    let state = shared.state();
    if let Some(now_ms) = now_ms.filter(|_| !state.holds_lease(clock::now())) {
        read.rows.forget_outdated(state.origins.retention(), now_ms);
    }
    drop(state);
    read.is_done = true;
    Ok(())
}

/// Returns the beginning of the key of a row that is written at a time by the store's clock, in
/// milliseconds.
fn stream_key(written_ms: u64) -> String {
    format!("{STREAMS_PREFIX}{written_ms:016}")
}

/// Returns the time by the store's clock, in milliseconds; `None` before the store was read.
fn store_time(shared: &Shared, now: Tick) -> Option<u64> {
    let (_, read_ms, read_at) = shared.store.clock()?;
    Some(read_ms + now.since(read_at).as_millis() as u64)
}

fn apply_row(shared: &Shared, read: &mut OriginRead, row: &StoreRow) {
    let value = row.value.as_deref().unwrap_or_default();
    if row.key == RELEASES_ROW {
        read.version = row.version;
    } else {
        // One that can't be read counts as outdated, so that the holder removes it.
        read.rows.insert(row.key.clone(), 0);
    }
    let result = if row.key == RELEASES_ROW {
        serde_json::from_slice(value).map(|releases| apply_releases(shared, &releases))
    } else {
        serde_json::from_slice(value).map(|streams: StreamsRow| {
            read.rows.insert(row.key.clone(), streams.at);
            apply_streams(shared, &streams);
        })
    };
    if let Err(error) = result {
        events::log(Event::EntrySkipped, format_args!("table={TABLE} row={} {error}", row.key));
    }
}

fn apply_releases(shared: &Shared, releases: &Releases) {
    let now = clock::now();
    let mut state = shared.state();
    for (service, versions) in releases {
        for software in versions {
            state.origins.record_listed(service, software, now);
        }
    }
    drop(state);
    shared.changed.notify_waiters();
}

fn apply_streams(shared: &Shared, row: &StreamsRow) {
    let Some((_, store_ms, read_at)) = shared.store.clock() else { return };
    let written = read_at - Duration::from_millis(store_ms.saturating_sub(row.at));
    let mut state = shared.state();
    for &(stream, release, age) in &row.streams {
        let at = written - Duration::from_millis(age);
        let (stream, release) = (StreamKey(stream), Release(release));
        state.origins.record_written(Beginning { stream, release, at });
    }
}

/// Keeps the store's table up to date, until the task is aborted.
pub async fn maintain(shared: Arc<Shared>) {
    let mut writer = Writer::default();
    loop {
        match writer.step(&shared).await {
            Ok(pause) => {
                // Wakes on a notification, or when the next step is due.
                let _ = timeout(pause, shared.origins_due.notified()).await;
            }
            Err(error) => {
                events::log(Event::PlatformFailed, format_args!("table={TABLE} {error}"));
                sleep(shared.slot(TABLE).backoff(CALL_BACKOFF)).await;
            }
        }
    }
}

/// What a daemon writes to the table, beside releases that aren't listed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    /// Streams of all daemons, and removals.
    Holder,
    /// Streams of all daemons, as a relay without a holder.
    Relay,
    /// Its own streams, in a small fleet without a holder.
    Sole,
    /// Nothing.
    Reader,
}

impl Role {
    fn of(shared: &Shared, state: &State, now: Tick) -> Self {
        if state.holds_lease(now) {
            return Role::Holder;
        }
        let has_holder = state.holder_updates.is_informed(peers::fleet_timing(shared, state), now);
        match (has_holder, state.is_relay, peers::receives_all_reports(state)) {
            (false, true, _) => Role::Relay,
            (false, false, true) => Role::Sole,
            _ => Role::Reader,
        }
    }
}

/// Writes the table.
#[derive(Debug, Default)]
struct Writer {
    /// Whether the table was read since the process started.
    has_read: bool,
    /// Fencing token of the holder at the latest step, if there was one.
    token: Option<u64>,
    /// Role at the latest step.
    role: Option<Role>,
    /// Time of the latest read as the holder.
    read: Tick,
    /// Era of the store at the latest step.
    era: u64,
    /// Number of rows with streams that this process has written.
    count: u64,
    cleaned: Tick,
}

impl Writer {
    /// Does what is due. Returns the time until the next step.
    async fn step(&mut self, shared: &Shared) -> Result<Duration> {
        if !self.has_read {
            refresh(shared, clock::now()).await?;
            self.has_read = true;
        }
        let now = clock::now();
        self.clean_up(shared, now);
        let is_restored = self.follow(shared, now);
        let role = Role::of(shared, &shared.state(), now);
        let is_mixed = shared.state().origins.is_any_mixed();
        let is_due = is_mixed && now.since(self.read) >= shared.state().origins.retention() / 2;
        if role == Role::Holder && (self.role != Some(role) || is_due) {
            // The rows of all other writers are left to the holder.
            if self.role != Some(role) {
                shared.origin_reads.lock().await.rows.recall();
            }
            refresh(shared, clock::now()).await?;
            self.read = now;
        }
        self.role = Some(role);
        if is_restored || !shared.state().origins.unlisted().is_empty() {
            self.list_releases(shared, role, is_restored).await?;
        }
        self.era = shared.store.era();
        if role == Role::Holder {
            self.remove_expired(shared, now).await?;
        }
        let has_rows = !shared.origin_reads.lock().await.rows.is_empty();
        if role == Role::Reader || !(is_mixed || has_rows) {
            return Ok(CLEANUP_INTERVAL);
        }
        self.write_streams(shared, role).await?;
        Ok(WRITE_INTERVAL)
    }

    /// Follows changes of the holder and of the store, after which all streams are reported and written
    /// again. Returns whether the store was restored since the latest step.
    fn follow(&mut self, shared: &Shared, now: Tick) -> bool {
        let mut state = shared.state();
        let own = state.lease.token(now);
        let token = own.or_else(|| state.holder_report.as_ref().map(|(_, holder, _)| holder.token));
        let is_restored = self.era != 0 && shared.store.era() != self.era;
        if token != self.token || is_restored {
            let until = now + peers::report_interval(&state) * LOOKUP_INTERVALS;
            state.origins.repeat(until);
            self.token = token;
        }
        is_restored
    }

    fn clean_up(&mut self, shared: &Shared, now: Tick) {
        if now.since(self.cleaned) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned = now;
        let mut guard = shared.state();
        let state = &mut *guard;
        for (_, engine) in state.engines.iter() {
            state.origins.see(&engine.service, &engine.software, now);
        }
        let is_writer = state.holds_lease(now);
        state.origins.prune(is_writer, now);
    }

    /// Has the store list all known releases. Daemons other than the holder leave it some time to do so.
    async fn list_releases(&self, shared: &Shared, role: Role, again: bool) -> Result<()> {
        if role != Role::Holder {
            let span = LISTING_SPAN_PER_DAEMON * shared.state().roster.size() as u32;
            sleep(shared.slot(TABLE).delay(span)).await;
            if !again && shared.state().origins.unlisted().is_empty() {
                return Ok(());
            }
        }
        loop {
            refresh(shared, clock::now()).await?;
            let added = shared.state().origins.unlisted();
            if added.is_empty() && !again {
                return Ok(());
            }
            if self.write_releases(shared, &[]).await? {
                for (service, software) in &added {
                    events::log(
                        Event::ReleaseListed,
                        format_args!("service={service} software={software}"),
                    );
                }
                return Ok(());
            }
        }
    }

    /// Writes all known releases but those of `removed`, unless the row has changed since the latest
    /// read. Returns whether it was written.
    async fn write_releases(&self, shared: &Shared, removed: &[(String, String)]) -> Result<bool> {
        let version = shared.origin_reads.lock().await.version;
        let known = shared.state().origins.known();
        let mut releases = Releases::new();
        for (service, software) in known.iter().filter(|known| !removed.contains(known)) {
            releases.entry(service.clone()).or_default().push(software.clone());
        }
        let (table, key) = (TABLE.to_owned(), RELEASES_ROW.to_owned());
        let condition = match version {
            0 => Condition::Absent { table: table.clone(), key: key.clone() },
            version => Condition::Version { table: table.clone(), key: key.clone(), version },
        };
        let value =
            serde_json::to_string(&releases).map_err(|error| Error::Invalid(error.to_string()))?;
        let transaction = Transaction {
            conditions: vec![condition],
            writes: vec![Write::Put { table, key, value }],
        };
        match shared.store.transact(&transaction).await? {
            Outcome::Refused(_) => Ok(false),
            Outcome::Done { .. } => {
                apply_releases(shared, &releases);
                Ok(true)
            }
        }
    }

    /// Removes releases from the store that no engine has had for long.
    async fn remove_expired(&self, shared: &Shared, now: Tick) -> Result<()> {
        let expired = shared.state().origins.expired(now);
        if expired.is_empty() {
            return Ok(());
        }
        refresh(shared, clock::now()).await?;
        if !self.write_releases(shared, &expired).await? {
            return Ok(());
        }
        let mut state = shared.state();
        for (service, software) in &expired {
            state.origins.forget(service, software);
            events::log(
                Event::ReleaseExpired,
                format_args!("service={service} software={software}"),
            );
        }
        Ok(())
    }

    /// Writes the streams that began since the latest write, and removes outdated rows.
    async fn write_streams(&mut self, shared: &Shared, role: Role) -> Result<()> {
        let now = clock::now();
        let Some(store_now) = store_time(shared, now) else { return Ok(()) };
        let (streams, retention) = {
            let state = shared.state();
            let limit = STREAMS_PER_ROW * ROWS_PER_WRITE;
            (state.origins.unwritten(role == Role::Sole, limit), state.origins.retention())
        };
        let mut writes = Vec::new();
        let mut written = Vec::new();
        for chunk in streams.chunks(STREAMS_PER_ROW) {
            self.count += 1;
            let encode = |beginning: &Beginning| {
                let age = now.since(beginning.at).as_millis() as u64;
                (beginning.stream.0, beginning.release.0, age)
            };
            let row = StreamsRow { at: store_now, streams: chunk.iter().map(encode).collect() };
            let value =
                serde_json::to_string(&row).map_err(|error| Error::Invalid(error.to_string()))?;
            let key = format!("{}-{}-{}", stream_key(store_now), shared.incarnation(), self.count);
            written.push(key.clone());
            writes.push(Write::Put { table: TABLE.to_owned(), key, value });
        }
        let mut read = shared.origin_reads.lock().await;
        let limit = if role == Role::Holder { ROWS_PER_WRITE } else { 0 };
        let outdated = read.rows.outdated(retention, store_now, limit);
        let delete = |key: &String| Write::Delete { table: TABLE.to_owned(), key: key.clone() };
        writes.extend(outdated.iter().map(delete));
        if writes.is_empty() {
            return Ok(());
        }
        shared.store.transact(&Transaction { conditions: Vec::new(), writes }).await?;
        read.rows.remove(&outdated);
        for key in written {
            read.rows.insert(key, store_now);
        }
        drop(read);
        let mut state = shared.state();
        for beginning in streams {
            state.origins.record_written(beginning);
        }
        Ok(())
    }
}
