//! The table of open requests, so that revocation, limits on their number and shutdown reach them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::watch;

/// Why an open request is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// It goes on.
    No,
    /// The key that it came with was revoked, or the team may no longer use the model.
    Revoked,
    /// The caller went away.
    CallerGone,
    /// The router can't know what is in force.
    Stale,
}

/// Who an open request runs for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Id of the key, empty on open routes.
    pub key: String,
    /// Team, empty on open routes.
    pub team: String,
    /// Model, adapter or service asked for.
    pub target: String,
}

struct Entry {
    grant: Grant,
    cut: watch::Sender<Cut>,
}

/// All requests that this router works on.
#[derive(Default)]
pub struct Open {
    next: AtomicU64,
    entries: Mutex<IndexMap<u64, Entry>>,
}

impl Open {
    /// Enters a request; `None` when `most` are open already. It leaves the table when the ticket
    /// is dropped.
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

    /// How many requests are open.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Cuts each request whose grant no longer holds; returns how many were cut.
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

/// A request's place in the table of open requests.
pub struct Ticket {
    number: u64,
    open: Arc<Open>,
    cut: watch::Receiver<Cut>,
}

impl Ticket {
    /// Waits until the request is cut and tells why.
    pub async fn cut(&self) -> Cut {
        let mut seen = self.cut.clone();
        let cut = seen.wait_for(|cut| *cut != Cut::No).await.map(|cut| *cut);
        // The sender lives in the table as long as this ticket does, so an error can't come here;
        // a request that can't be told of a cut must not go on.
        cut.unwrap_or(Cut::Stale)
    }

    /// Whether the request was cut, and why.
    pub fn is_cut(&self) -> Cut {
        *self.cut.borrow()
    }

    /// A handle that cuts this request.
    pub fn cutter(&self) -> Cutter {
        Cutter { number: self.number, open: Arc::clone(&self.open) }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.open.leave(self.number);
    }
}

/// Cuts one request; does nothing once the request has ended.
#[derive(Clone)]
pub struct Cutter {
    number: u64,
    open: Arc<Open>,
}

impl Cutter {
    /// Cuts the request.
    pub fn cut(&self, why: Cut) {
        self.open.cut_one(self.number, why);
    }
}
