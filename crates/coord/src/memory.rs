//! Account of the memory and connections that a process holds for its callers.
//!
//! Each connection is a holder. It is charged for its buffers, for the head and body that it sends
//! and for the answer that it hasn't taken. When a limit is reached, the holders that wait for their
//! callers give way, the largest and slowest first. A request that may run at an upstream never does.

use std::time::Duration;

use indexmap::IndexMap;

use crate::register::Problem;
use crate::time::Tick;

/// Bytes that a connection costs without a request. Measured: 17.5 KB.
pub const CONNECTION_BYTES: u64 = 20 << 10;
/// Bytes that a request in progress costs besides its body and its answer: the connection's read
/// buffer and a piece of the body that was taken from it, of 32 KiB each.
pub const REQUEST_BYTES: u64 = 64 << 10;
/// Bytes in one megabyte of an instance's memory.
const MEGABYTE: u64 = 1_000_000;
/// Share of an instance's memory that callers may hold, in percent. The rest is for the process
/// itself and its allocator: the resident memory of bodies that grow beside each other was up to
/// twice what they are charged.
const MEMORY_PERCENT: u64 = 25;
/// Descriptors reserved for files and for connections to the platform and to other daemons.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Divisor of the other descriptors. A request of a caller may need a connection to an upstream.
const DESCRIPTORS_PER_CALLER: u64 = 2;
/// Divisor of the bytes that connections without requests may take.
const CONNECTIONS_DIVISOR: u64 = 2;
/// Connections over the limit while others are being closed for them.
const CLOSING_CONNECTIONS: usize = 16;
/// Bytes that a caller must send for its connection to have made progress. Less would let a caller
/// hold a body by sending single bytes.
const PROGRESS_BYTES: u64 = 4 << 10;
/// Weight of the time without progress against the time since the request began.
const STALL_WEIGHT: u64 = 4;
/// Time without an event taken after which a stream may give way.
const STREAM_STALL: Duration = Duration::from_secs(30);
/// Most bytes of refused bodies that are read and dropped in a second, over all connections.
const DISCARDED_PER_SECOND: u64 = 32 << 20;
/// Most refused bodies that are read and dropped at the same time.
const MAX_DISCARDS: usize = 32;
/// Shortest delay until a request that was refused for want of memory should be sent again.
const RETRY_BASE: Duration = Duration::from_millis(500);
/// Step and number of steps by which these delays differ, so that callers don't return at once.
const RETRY_STEP: Duration = Duration::from_millis(100);
/// Number of different delays.
const RETRY_STEPS: u32 = 16;

/// Least memory of an instance in megabytes: room for the process and one request of 4 MiB.
const MIN_MEMORY_MB: u64 = 32;
/// Least descriptors of a process.
const MIN_DESCRIPTORS: u64 = 256;

/// Returns the problems with the settings of an instance's limits.
pub fn problems(memory_mb: Option<u64>, max_fds: Option<u64>) -> Vec<Problem> {
    let settings = [("memory_mb", memory_mb, MIN_MEMORY_MB), ("max_fds", max_fds, MIN_DESCRIPTORS)];
    let small = settings.into_iter().filter_map(|(key, value, least)| {
        let value = value.filter(|value| *value < least)?;
        Some(Problem::new(key, value, format!("{least} or more")))
    });
    small.collect()
}

/// Key of a connection in an [`Account`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderKey(u64);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The head of a request.
    Idle,
    /// The body of a request.
    Reading,
    /// An upstream, which may run the request.
    Running,
    /// The caller, which takes events of a stream as an upstream sends them.
    Streaming,
    /// The caller, which takes a complete answer.
    Writing,
}

impl Phase {
    /// Returns the cause of a refusal of memory in this phase.
    fn refusal_cause(self) -> Cause {
        match self {
            Phase::Running | Phase::Streaming => Cause::Answer,
            Phase::Idle | Phase::Reading | Phase::Writing => Cause::Body,
        }
    }
}

/// Why a connection was refused or had to give way.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Cause {
    /// There were too many connections, and none could give way.
    Connections,
    /// The connection gave way to another one.
    ClosedFor,
    /// There was no memory for a body.
    Body,
    /// There was no memory for an answer.
    Answer,
    /// The rest of a refused body wasn't read.
    Discard,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 5] =
        [Cause::Connections, Cause::ClosedFor, Cause::Body, Cause::Answer, Cause::Discard];

    /// Returns the cause for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Cause::Connections => "connections",
            Cause::ClosedFor => "gave_way",
            Cause::Body => "body",
            Cause::Answer => "answer",
            Cause::Discard => "discard",
        }
    }
}

/// Limits of a process; `None` is unlimited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Bytes held for callers.
    pub bytes: Option<u64>,
    /// Connections of callers.
    pub connections: Option<usize>,
}

impl Limits {
    /// Derives the limits from the memory of the instance in megabytes and from its descriptors.
    pub fn of_instance(memory_mb: Option<u64>, max_fds: Option<u64>) -> Limits {
        let bytes = memory_mb.map(|mb| mb.saturating_mul(MEGABYTE) / 100 * MEMORY_PERCENT);
        let by_memory = bytes.map(|bytes| bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES);
        let by_descriptors =
            max_fds.map(|fds| fds.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CALLER);
        let connections = by_memory.into_iter().chain(by_descriptors).min();
        let connections = connections.map(|count| usize::try_from(count).unwrap_or(usize::MAX));
        Limits { bytes, connections }
    }
}

/// Answer to a holder that asks for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The bytes are charged.
    Granted,
    /// Others give way; ask again when bytes are released.
    Wait,
    /// There is no room, and the holder is the one to give way.
    Refused,
}

/// Decision on a request for memory or a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision<T> {
    /// The answer.
    pub verdict: T,
    /// Connections that must give way now.
    pub ended: Vec<HolderKey>,
}

#[derive(Clone, Debug)]
struct Holder {
    bytes: u64,
    phase: Phase,
    /// Start of the phase.
    since: Tick,
    /// Latest progress.
    progress: Tick,
    /// Bytes received since then.
    received: u64,
    is_open: bool,
    is_ending: bool,
}

impl Holder {
    fn may_give_way(&self, now: Tick) -> bool {
        let is_waiting = match self.phase {
            Phase::Idle | Phase::Reading | Phase::Writing => true,
            Phase::Running => false,
            Phase::Streaming => now.since(self.progress) >= STREAM_STALL,
        };
        is_waiting && self.is_open && !self.is_ending
    }

    /// Returns how slow the caller is, in microseconds.
    fn slowness(&self, now: Tick) -> u128 {
        let stall = now.since(self.progress).as_micros() * u128::from(STALL_WEIGHT);
        now.since(self.since).as_micros() + stall + 1
    }

    /// Returns how much is gained if the holder gives way: more for larger and slower ones.
    fn weight(&self, now: Tick, asked_bytes: u64) -> u128 {
        u128::from(self.bytes + asked_bytes) * self.slowness(now)
    }
}

/// Memory and connections that a process holds for its callers.
#[derive(Debug, Default)]
pub struct Account {
    limits: Limits,
    holders: IndexMap<HolderKey, Holder>,
    /// Bytes of all holders.
    held: u64,
    next: u64,
    open: usize,
    counts: IndexMap<&'static str, u64>,
    discards: usize,
    /// Bytes that may still be read and dropped in the current second.
    discard_left: u64,
    discard_second: u64,
    refusals: u32,
}

impl Account {
    /// Creates the account of a process with these limits.
    pub fn new(limits: Limits) -> Self {
        Account { limits, discard_left: DISCARDED_PER_SECOND, ..Account::default() }
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.held
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.open
    }

    /// Returns how often this was the cause of a refusal or closed connection.
    pub fn count(&self, cause: Cause) -> u64 {
        self.counts.get(cause.label()).copied().unwrap_or_default()
    }

    fn record(&mut self, cause: Cause) {
        *self.counts.entry(cause.label()).or_default() += 1;
    }

    /// Returns the delay after which a refused request should be sent again. Successive delays
    /// differ.
    pub fn retry_delay(&mut self) -> Duration {
        self.refusals = self.refusals.wrapping_add(1);
        RETRY_BASE + RETRY_STEP * (self.refusals % RETRY_STEPS)
    }

    /// Decides on a new connection. Without a key it must be closed.
    pub fn connect(&mut self, now: Tick) -> Decision<Option<HolderKey>> {
        let mut ended = Vec::new();
        if let Some(limit) = self.limits.connections.filter(|limit| self.open >= *limit) {
            ended.extend(self.end_slowest(now));
            if self.open >= limit.saturating_add(CLOSING_CONNECTIONS) || self.ending() == 0 {
                self.record(Cause::Connections);
                return Decision { verdict: None, ended };
            }
        }
        let key = HolderKey(self.next);
        self.next += 1;
        self.open += 1;
        self.held += CONNECTION_BYTES;
        let holder = Holder {
            bytes: CONNECTION_BYTES,
            phase: Phase::Idle,
            since: now,
            progress: now,
            received: 0,
            is_open: true,
            is_ending: false,
        };
        self.holders.insert(key, holder);
        ended.extend(self.make_room(key, 0, now).1);
        Decision { verdict: Some(key), ended }
    }

    fn ending(&self) -> usize {
        self.holders.values().filter(|holder| holder.is_open && holder.is_ending).count()
    }

    /// Ends the connection that has waited longest for its caller.
    fn end_slowest(&mut self, now: Tick) -> Option<HolderKey> {
        let waiting = self.holders.iter().filter(|(_, holder)| holder.may_give_way(now));
        let slowest = waiting.max_by_key(|(key, holder)| {
            // Without a request, nothing is lost for the caller.
            (holder.phase == Phase::Idle, holder.slowness(now), **key)
        });
        let key = slowest.map(|(key, _)| *key)?;
        self.end(key);
        Some(key)
    }

    fn end(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.is_ending = true;
            self.record(Cause::ClosedFor);
        }
    }

    /// Records that a connection is closed. Bytes that are still charged remain so.
    pub fn close(&mut self, key: HolderKey) {
        let Some(holder) = self.holders.get_mut(&key) else { return };
        if std::mem::replace(&mut holder.is_open, false) {
            self.open -= 1;
        }
        self.release(key, CONNECTION_BYTES);
    }

    /// Asks for `bytes` more for a connection.
    pub fn reserve(&mut self, key: HolderKey, bytes: u64, now: Tick) -> Decision<Verdict> {
        let (verdict, ended) = self.make_room(key, bytes, now);
        match (verdict, self.holders.get_mut(&key)) {
            (Verdict::Granted, Some(holder)) => {
                holder.bytes += bytes;
                self.held += bytes;
            }
            (Verdict::Refused, Some(holder)) => {
                let cause = holder.phase.refusal_cause();
                self.record(cause);
            }
            (_, None) | (Verdict::Wait, Some(_)) => {}
        }
        Decision { verdict, ended }
    }

    /// Makes others give way until `bytes` more fit, unless `key` itself is to give way.
    fn make_room(&mut self, key: HolderKey, bytes: u64, now: Tick) -> (Verdict, Vec<HolderKey>) {
        let mut ended = Vec::new();
        let Some(asking) = self.holders.get(&key) else { return (Verdict::Refused, ended) };
        if asking.is_ending {
            return (Verdict::Refused, ended);
        }
        let Some(limit) = self.limits.bytes else { return (Verdict::Granted, ended) };
        let wanted = self.held.saturating_add(bytes);
        if wanted <= limit {
            return (Verdict::Granted, ended);
        }
        let own_weight = asking.may_give_way(now).then(|| asking.weight(now, bytes));
        let is_ending = |holder: &&Holder| holder.is_ending;
        let ending: u64 = self.holders.values().filter(is_ending).map(|holder| holder.bytes).sum();
        let mut missing = (wanted - limit).saturating_sub(ending);
        let mut others: Vec<(u128, HolderKey, u64)> = if missing == 0 {
            Vec::new()
        } else {
            let others = self
                .holders
                .iter()
                .filter(|(other, holder)| **other != key && holder.may_give_way(now));
            others.map(|(other, holder)| (holder.weight(now, 0), *other, holder.bytes)).collect()
        };
        others.sort_unstable();
        while missing > 0 {
            let Some((weight, other, gained)) = others.pop() else { break };
            if own_weight.is_some_and(|own| own >= weight) {
                break;
            }
            self.end(other);
            ended.push(other);
            missing = missing.saturating_sub(gained);
        }
        // A request at an upstream may get its answer once others have theirs.
        let verdict = match own_weight {
            Some(_) if missing > 0 => Verdict::Refused,
            _ => Verdict::Wait,
        };
        (verdict, ended)
    }

    /// Records that a connection waited for memory for too long.
    pub fn record_late(&mut self, key: HolderKey) {
        let Some(holder) = self.holders.get(&key) else { return };
        self.record(holder.phase.refusal_cause());
    }

    /// Returns `bytes` of a connection.
    pub fn release(&mut self, key: HolderKey, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&key) else { return };
        let bytes = bytes.min(holder.bytes);
        holder.bytes -= bytes;
        self.held -= bytes;
        if !holder.is_open && holder.bytes == 0 {
            self.holders.swap_remove(&key);
        }
    }

    /// Returns what a connection waits for; `None` if it is closed.
    pub fn phase(&self, key: HolderKey) -> Option<Phase> {
        self.holders.get(&key).map(|holder| holder.phase)
    }

    /// Records what a connection waits for from now on. One that was to give way and waits for an
    /// upstream instead stays open.
    pub fn enter(&mut self, key: HolderKey, phase: Phase, now: Tick) {
        if let Some(holder) = self.holders.get_mut(&key) {
            (holder.phase, holder.since, holder.progress) = (phase, now, now);
            holder.received = 0;
            holder.is_ending &= phase != Phase::Running;
        }
    }

    /// Records that a caller sent or took `bytes`.
    pub fn progress(&mut self, key: HolderKey, bytes: u64, now: Tick) {
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.received += bytes;
            if holder.received >= PROGRESS_BYTES || holder.phase == Phase::Streaming {
                (holder.progress, holder.received) = (now, 0);
            }
        }
    }

    /// Decides whether the rest of a refused body is read and dropped.
    pub fn begin_discard(&mut self) -> bool {
        let may_begin = self.discards < MAX_DISCARDS;
        if may_begin {
            self.discards += 1;
        } else {
            self.record(Cause::Discard);
        }
        may_begin
    }

    /// Counts bytes that were read and dropped. Returns whether more may be.
    pub fn discard(&mut self, bytes: u64, now: Tick) -> bool {
        let second = now.0 / 1_000_000;
        if second != self.discard_second {
            (self.discard_second, self.discard_left) = (second, DISCARDED_PER_SECOND);
        }
        self.discard_left = self.discard_left.saturating_sub(bytes);
        if self.discard_left == 0 {
            self.record(Cause::Discard);
        }
        self.discard_left > 0
    }

    /// Records that a refused body is no longer read.
    pub fn end_discard(&mut self) {
        self.discards = self.discards.saturating_sub(1);
    }
}
