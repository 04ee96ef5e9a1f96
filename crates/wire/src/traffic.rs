//! Traffic counters of an endpoint, summed over all its connections.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Weak;

use parking_lot::Mutex;
use quinn::Connection;

/// Totals of an endpoint. Bytes include handshakes and encryption, but no IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Calls made to peers.
    pub calls: u64,
}

/// Traffic counters of one endpoint. The lock of `live` is held only while the list is read or
/// changed, never across an await.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    sent: AtomicU64,
    received: AtomicU64,
    calls: AtomicU64,
    live: Mutex<Vec<Weak<TrackedConnection>>>,
}

/// A connection whose bytes are added to the endpoint's counters when it is dropped.
#[derive(Debug)]
pub(crate) struct TrackedConnection {
    pub connection: Connection,
    counters: Arc<Counters>,
}

impl Counters {
    /// Starts to track the bytes of a connection.
    pub fn track(self: &Arc<Self>, connection: Connection) -> Arc<TrackedConnection> {
        let tracked = Arc::new(TrackedConnection { connection, counters: Arc::clone(self) });
        let mut live = self.live.lock();
        live.retain(|entry| entry.strong_count() > 0);
        live.push(Arc::downgrade(&tracked));
        tracked
    }

    /// Counts one call made to a peer.
    pub fn record_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// The totals so far.
    pub fn total(&self) -> Traffic {
        // Holding references until the sum is complete keeps connections that end meanwhile from
        // being counted twice.
        let live: Vec<Arc<TrackedConnection>> =
            self.live.lock().iter().filter_map(Weak::upgrade).collect();
        let mut total = Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            calls: self.calls.load(Ordering::Relaxed),
        };
        for tracked in live {
            let stats = tracked.connection.stats();
            total.sent += stats.udp_tx.bytes;
            total.received += stats.udp_rx.bytes;
        }
        total
    }
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        let stats = self.connection.stats();
        self.counters.sent.fetch_add(stats.udp_tx.bytes, Ordering::Relaxed);
        self.counters.received.fetch_add(stats.udp_rx.bytes, Ordering::Relaxed);
    }
}
