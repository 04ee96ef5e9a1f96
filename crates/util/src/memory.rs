//! Charges what a process holds for its callers to a [`memory::Account`], and tells connections
//! when they must give way.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_coord::memory::Account;
use corianderyoke_coord::memory::Cause;
use corianderyoke_coord::memory::HolderKey;
use corianderyoke_coord::memory::Limits;
use corianderyoke_coord::memory::Phase;
use corianderyoke_coord::memory::Verdict;
use corianderyoke_coord::memory::REQUEST_BYTES;
use corianderyoke_coord::time::Tick;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::clock;
use crate::events;
use crate::events::Event;

/// Longest wait for memory of others for a body. They give way at once.
const BODY_WAIT: Duration = Duration::from_millis(500);
/// Longest wait for memory for an answer, whose request may have run. Others may need it until
/// their answers are complete.
const ANSWER_WAIT: Duration = Duration::from_secs(2);
/// Time in which the refusal of a body is written before its connection is closed.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Smallest first buffer of a body whose length isn't known.
const MIN_BUFFER_BYTES: usize = 4 << 10;
/// Part of a buffer by which it grows. A larger part would waste memory, a smaller one time.
const GROWTH_DIVISOR: usize = 8;
/// Least time between two log lines with the same cause.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Errors of holding bytes for a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The body exceeds its limit.
    #[error("the body exceeds its limit")]
    TooLarge,
    /// The process has no memory for the bytes.
    #[error("the process has no memory for the bytes")]
    NoMemory,
}

/// Result of holding bytes for a caller.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Debug)]
struct State {
    account: Account,
    /// Senders that tell connections to give way.
    connections: IndexMap<HolderKey, watch::Sender<bool>>,
    /// Latest log line of each cause, and its count at that time.
    logged: IndexMap<&'static str, (Tick, u64)>,
}

impl State {
    /// Tells connections to give way.
    fn end(&mut self, ended: &[HolderKey]) {
        for key in ended {
            if let Some(sender) = self.connections.get(key) {
                sender.send_replace(true);
            }
        }
    }

    /// Logs the causes that were counted since their latest log line, each once an interval.
    fn log(&mut self, now: Tick) {
        for cause in Cause::ALL {
            let count = self.account.count(cause);
            let (latest, known) = self.logged.entry(cause.label()).or_default();
            if count == *known || (*known > 0 && now.since(*latest) < LOG_INTERVAL) {
                continue;
            }
            events::log(
                Event::MemoryShort,
                format_args!(
                    "cause={} count={} age_ms={} held={} connections={}",
                    cause.label(),
                    count - *known,
                    if *known == 0 { 0 } else { now.since(*latest).as_millis() },
                    self.account.held_bytes(),
                    self.account.connections()
                ),
            );
            (*latest, *known) = (now, count);
        }
    }
}

/// Memory and connections that a process holds for its callers.
#[derive(Debug)]
pub struct Memory {
    state: Mutex<State>,
    /// Notified when bytes were released.
    released: Notify,
}

/// Numbers of a [`Memory`] for metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Totals {
    /// Bytes that are charged.
    pub held: u64,
    /// Open connections.
    pub connections: usize,
    /// Refusals and closed connections by cause.
    pub causes: Vec<(&'static str, u64)>,
}

impl Memory {
    /// Creates the memory of a process with these limits.
    pub fn new(limits: Limits) -> Arc<Self> {
        let account = Account::new(limits);
        let (connections, logged) = (IndexMap::new(), IndexMap::new());
        let state = Mutex::new(State { account, connections, logged });
        Arc::new(Memory { state, released: Notify::new() })
    }

    /// Charges a new connection; `None` if it must be closed.
    pub fn connect(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let now = clock::now();
        let mut state = self.state.lock();
        let decision = state.account.connect(now);
        state.end(&decision.ended);
        state.log(now);
        let key = decision.verdict?;
        let (sender, ended) = watch::channel(false);
        state.connections.insert(key, sender);
        Some(Arc::new(Connection { memory: Arc::clone(self), key, ended }))
    }

    /// Returns the delay after which a refused request should be sent again.
    pub fn retry_delay(&self) -> Duration {
        self.state.lock().account.retry_delay()
    }

    /// Returns the numbers for metrics.
    pub fn totals(&self) -> Totals {
        let account = &self.state.lock().account;
        Totals {
            held: account.held_bytes(),
            connections: account.connections(),
            causes: Cause::ALL.map(|cause| (cause.label(), account.count(cause))).to_vec(),
        }
    }

    /// Begins to read and drop the rest of a refused body, unless too many are being read.
    pub fn begin_discard(self: &Arc<Self>) -> Option<Discard> {
        let mut state = self.state.lock();
        let may_begin = state.account.begin_discard();
        state.log(clock::now());
        may_begin.then(|| Discard { memory: Arc::clone(self) })
    }

    fn release(&self, key: HolderKey, bytes: u64) {
        self.state.lock().account.release(key, bytes);
        self.released.notify_waiters();
    }
}

/// Refused body that is read and dropped.
#[derive(Debug)]
pub struct Discard {
    memory: Arc<Memory>,
}

impl Discard {
    /// Counts bytes that were read and dropped. Returns whether more may be.
    pub fn count(&self, bytes: usize) -> bool {
        let now = clock::now();
        let mut state = self.memory.state.lock();
        let may_go_on = state.account.discard(bytes as u64, now);
        state.log(now);
        may_go_on
    }
}

impl Drop for Discard {
    fn drop(&mut self) {
        self.memory.state.lock().account.end_discard();
    }
}

/// Connection of a caller, charged until it is dropped.
#[derive(Debug)]
pub struct Connection {
    memory: Arc<Memory>,
    key: HolderKey,
    ended: watch::Receiver<bool>,
}

impl Connection {
    /// Memory that the connection is charged to.
    pub fn memory(&self) -> &Arc<Memory> {
        &self.memory
    }

    /// Waits until the connection must give way.
    pub async fn ended(&self) {
        let mut ended = self.ended.clone();
        let waited = ended.wait_for(|is_ended| *is_ended).await.is_ok();
        if !waited {
            pending::<()>().await;
        }
    }

    /// Waits until the connection must be closed: after [`Connection::ended`], a caller that sends a
    /// body has some time to read its refusal.
    pub async fn closed(&self) {
        loop {
            self.ended().await;
            if self.phase() == Some(Phase::Reading) {
                sleep(REFUSAL_TIME).await;
            }
            // Its body may have been complete by then.
            if *self.ended.borrow() && self.phase() != Some(Phase::Running) {
                return;
            }
        }
    }

    fn phase(&self) -> Option<Phase> {
        self.memory.state.lock().account.phase(self.key)
    }

    /// Records what the connection waits for from now on. Once it waits for an upstream, it need no
    /// longer give way.
    pub fn enter(&self, phase: Phase) {
        let mut state = self.memory.state.lock();
        state.account.enter(self.key, phase, clock::now());
        if phase == Phase::Running {
            if let Some(sender) = state.connections.get(&self.key) {
                sender.send_replace(false);
            }
        }
    }

    /// Records that the caller sent or took bytes.
    pub fn record_progress(&self, bytes: usize) {
        self.memory.state.lock().account.progress(self.key, bytes as u64, clock::now());
    }

    /// Charges a request whose head was read, until the result is dropped.
    ///
    /// # Errors
    ///
    /// [`Error::NoMemory`] if the request must be refused.
    pub async fn begin_request(&self) -> Result<Charge> {
        self.enter(Phase::Reading);
        let mut charge = Charge { memory: Arc::clone(&self.memory), key: self.key, bytes: 0 };
        charge.grow(REQUEST_BYTES, BODY_WAIT).await?;
        Ok(charge)
    }

    /// Creates the buffer of a request's body of at most `max_bytes`; of `length`, if it is known.
    pub fn body_buffer(&self, length: Option<u64>, max_bytes: usize) -> Buffer {
        self.buffer(length, max_bytes, BODY_WAIT)
    }

    /// Creates the buffer of an upstream's answer, charged as a whole if its length is known: answers
    /// that wait for each other's memory would all be late.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if `length` exceeds `max_bytes`, and [`Error::NoMemory`].
    pub async fn answer_buffer(&self, length: Option<u64>, max_bytes: usize) -> Result<Buffer> {
        let mut buffer = self.buffer(length, max_bytes, ANSWER_WAIT);
        if let Some(length) = length {
            let length = usize::try_from(length).map_err(|_| Error::TooLarge)?;
            buffer.make_room(length).await?;
        }
        Ok(buffer)
    }

    fn buffer(&self, length: Option<u64>, max_bytes: usize, wait: Duration) -> Buffer {
        let length = length.and_then(|length| usize::try_from(length).ok());
        let charge = Charge { memory: Arc::clone(&self.memory), key: self.key, bytes: 0 };
        Buffer { bytes: Vec::new(), charge, length, max_bytes, wait }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        {
            let mut state = self.memory.state.lock();
            state.account.close(self.key);
            state.connections.swap_remove(&self.key);
        }
        self.memory.released.notify_waiters();
    }
}

/// Bytes charged to a connection until this is dropped.
#[derive(Debug)]
pub struct Charge {
    memory: Arc<Memory>,
    key: HolderKey,
    bytes: u64,
}

impl Charge {
    async fn grow(&mut self, bytes: u64, wait: Duration) -> Result<()> {
        let deadline = Instant::now() + wait;
        loop {
            // Created first, so that bytes that are released meanwhile are noticed.
            let released = self.memory.released.notified();
            let verdict = {
                let now = clock::now();
                let mut state = self.memory.state.lock();
                let decision = state.account.reserve(self.key, bytes, now);
                state.end(&decision.ended);
                state.log(now);
                decision.verdict
            };
            match verdict {
                Verdict::Granted => {
                    self.bytes += bytes;
                    return Ok(());
                }
                Verdict::Refused => return Err(Error::NoMemory),
                Verdict::Wait => {}
            }
            if timeout_at(deadline, released).await.is_err() {
                let mut state = self.memory.state.lock();
                state.account.record_late(self.key);
                state.log(clock::now());
                return Err(Error::NoMemory);
            }
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.release(self.key, self.bytes);
        }
    }
}

/// Contiguous buffer of a body, charged as it grows. Many small pieces cost only their bytes.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    charge: Charge,
    length: Option<usize>,
    max_bytes: usize,
    wait: Duration,
}

impl Buffer {
    /// Appends a piece of the body.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if the body exceeds its limit, and [`Error::NoMemory`].
    pub async fn extend(&mut self, piece: &[u8]) -> Result<()> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            let grown = (needed + needed / GROWTH_DIVISOR).max(MIN_BUFFER_BYTES);
            let grown = grown.min(self.length.unwrap_or(self.max_bytes)).max(needed);
            self.make_room(grown).await?;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Makes room for a body of `length`.
    async fn make_room(&mut self, length: usize) -> Result<()> {
        if length > self.max_bytes {
            return Err(Error::TooLarge);
        }
        let missing = length.saturating_sub(self.bytes.capacity());
        if missing > 0 {
            self.charge.grow(missing as u64, self.wait).await?;
            self.bytes.reserve_exact(length - self.bytes.len());
        }
        Ok(())
    }

    /// Returns the complete body, charged until its last clone is dropped.
    pub fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ChargedBytes { bytes: self.bytes, _charge: self.charge })
    }
}

struct ChargedBytes {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
