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
pub enum Cut {
    /// The request isn't aborted.
    No,
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
    cut: watch::Sender<Cut>,
}

/// All requests in progress at this router.
#[derive(Default)]
pub struct Open {
    next: AtomicU64,
    entries: Mutex<IndexMap<u64, Entry>>,
}

impl Open {
    /// Adds a request; `None` if `most` are open already. Dropping the ticket removes the request.
    pub fn enter(self: &Arc<Self>, grant: Grant, most: usize) -> Option<Ticket> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (cut, seen) = watch::channel(Cut::No);
        let mut entries = self.entries.lock();
        if entries.len() >= most {
            return None;
        }
        entries.insert(number, Entry { grant, cut });
        Some(Ticket { number, open: Arc::clone(self), cut: seen })
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Aborts each request for whose grant `lost` returns true. Returns the number of requests.
    pub fn cut_where(&self, why: Cut, lost: impl Fn(&Grant) -> bool) -> usize {
        let entries = self.entries.lock();
        let mut cut = 0;
        for entry in entries.values().filter(|entry| lost(&entry.grant)) {
            entry.cut.send_replace(why);
            cut += 1;
        }
        cut
    }

    fn cut_one(&self, number: u64, why: Cut) {
        if let Some(entry) = self.entries.lock().get(&number) {
            entry.cut.send_replace(why);
        }
    }

    fn leave(&self, number: u64) {
        self.entries.lock().swap_remove(&number);
    }
}

/// A request's entry in the table of open requests.
pub struct Ticket {
    number: u64,
    open: Arc<Open>,
    cut: watch::Receiver<Cut>,
}

impl Ticket {
    /// Waits until the request is aborted and returns the reason.
    pub async fn cut(&self) -> Cut {
        let mut seen = self.cut.clone();
        let cut = seen.wait_for(|cut| *cut != Cut::No).await.map(|cut| *cut);
        // The sender stays in the table as long as this ticket exists, so no error can occur. If
        // one did, the request couldn't be aborted any more and must not continue.
        cut.unwrap_or(Cut::Stale)
    }

    /// Whether the request was aborted, and why.
    pub fn is_cut(&self) -> Cut {
        *self.cut.borrow()
    }

    /// A handle that aborts this request.
    pub fn cutter(&self) -> Cutter {
        Cutter { number: self.number, open: Arc::clone(&self.open) }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.open.leave(self.number);
    }
}

/// Aborts one request. Has no effect once the request has ended.
#[derive(Clone)]
pub struct Cutter {
    number: u64,
    open: Arc<Open>,
}

impl Cutter {
    /// Aborts the request for the given reason.
    pub fn cut(&self, why: Cut) {
        self.open.cut_one(self.number, why);
    }
}
