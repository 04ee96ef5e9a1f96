//! The table of open requests. It limits their number, aborts them when their key is revoked and
//! lets shutdown wait for them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::watch;

/// Whether and why an open request is aborted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AbortReason {
    /// The request isn't aborted.
    NotAborted,
    /// The request's key was revoked, or its team may no longer use the target.
    Revoked,
    /// The caller disconnected.
    CallerGone,
    /// The router's copy of the register is stale, so the key may have been revoked.
    Stale,
}

/// The permission under which an open request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Name of the key, empty for calls to an open service without a key.
    pub key: String,
    /// Name of the team, empty for calls to an open service without a key.
    pub team: String,
    /// Requested model or adapter, or `service/` with the name of a service.
    pub target: String,
}

struct Entry {
    grant: Grant,
    reason: watch::Sender<AbortReason>,
}

/// All requests in progress at this router.
#[derive(Default)]
pub struct OpenRequests {
    next_number: AtomicU64,
    entries: Mutex<IndexMap<u64, Entry>>,
}

impl OpenRequests {
    /// Adds a request; `None` if `max_open` requests are open already. Dropping the ticket removes
    /// the request.
    pub fn insert(self: &Arc<Self>, grant: Grant, max_open: usize) -> Option<Ticket> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = watch::channel(AbortReason::NotAborted);
        let mut entries = self.entries.lock();
        if entries.len() >= max_open {
            return None;
        }
        entries.insert(number, Entry { grant, reason: sender });
        Some(Ticket { number, table: Arc::clone(self), reason: receiver })
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Aborts each request for whose grant `should_abort` returns true, and returns how many.
    pub fn abort_where(&self, reason: AbortReason, should_abort: impl Fn(&Grant) -> bool) -> usize {
        let entries = self.entries.lock();
        let mut aborted = 0;
        for entry in entries.values().filter(|entry| should_abort(&entry.grant)) {
            entry.reason.send_replace(reason);
            aborted += 1;
        }
        aborted
    }

    fn abort_one(&self, number: u64, reason: AbortReason) {
        if let Some(entry) = self.entries.lock().get(&number) {
            entry.reason.send_replace(reason);
        }
    }

    fn remove(&self, number: u64) {
        self.entries.lock().swap_remove(&number);
    }
}

/// A request's entry in the table of open requests.
pub struct Ticket {
    number: u64,
    table: Arc<OpenRequests>,
    reason: watch::Receiver<AbortReason>,
}

impl Ticket {
    /// Waits until the request is aborted and returns the reason.
    pub async fn aborted(&self) -> AbortReason {
        let mut receiver = self.reason.clone();
        let reason = receiver
            .wait_for(|reason| *reason != AbortReason::NotAborted)
            .await
            .map(|reason| *reason);
        // The sender stays in the table as long as this ticket exists, so no error can occur. If
        // one did, the request couldn't be aborted any more and must not continue.
        reason.unwrap_or(AbortReason::Stale)
    }

    /// Whether the request was aborted, and why.
    pub fn abort_reason(&self) -> AbortReason {
        *self.reason.borrow()
    }

    /// A handle that aborts this request.
    pub fn abort_handle(&self) -> AbortHandle {
        AbortHandle { number: self.number, table: Arc::clone(&self.table) }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.table.remove(self.number);
    }
}

/// Aborts one request. Has no effect once the request has ended.
#[derive(Clone)]
pub struct AbortHandle {
    number: u64,
    table: Arc<OpenRequests>,
}

impl AbortHandle {
    /// Aborts the request for the given reason.
    pub fn abort(&self, reason: AbortReason) {
        self.table.abort_one(self.number, reason);
    }
}
