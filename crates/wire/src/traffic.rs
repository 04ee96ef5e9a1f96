//! Bytes and datagrams of an endpoint, over all its connections.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Weak;

use parking_lot::Mutex;
use quinn::Connection;

/// Totals of an endpoint, handshakes and encryption included, IP and UDP headers not.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Calls made of peers.
    pub calls: u64,
}

/// Counts the connections of one endpoint. Lock: `live` only, held for look-ups.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    sent: AtomicU64,
    received: AtomicU64,
    calls: AtomicU64,
    live: Mutex<Vec<Weak<Counted>>>,
}

/// A connection whose bytes count.
#[derive(Debug)]
pub(crate) struct Counted {
    pub connection: Connection,
    counters: Arc<Counters>,
}

impl Counters {
    /// Counts a connection from now on.
    pub fn count(self: &Arc<Self>, connection: Connection) -> Arc<Counted> {
        let counted = Arc::new(Counted { connection, counters: Arc::clone(self) });
        let mut live = self.live.lock();
        live.retain(|old| old.strong_count() > 0);
        live.push(Arc::downgrade(&counted));
        counted
    }

    /// Counts a call.
    pub fn call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// The totals so far.
    pub fn total(&self) -> Traffic {
        // Held until the sum is made: a connection that ends meanwhile isn't counted twice.
        let live: Vec<Arc<Counted>> = self.live.lock().iter().filter_map(Weak::upgrade).collect();
        let mut total = Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            calls: self.calls.load(Ordering::Relaxed),
        };
        for counted in live {
            let stats = counted.connection.stats();
            total.sent += stats.udp_tx.bytes;
            total.received += stats.udp_rx.bytes;
        }
        total
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let stats = self.connection.stats();
        self.counters.sent.fetch_add(stats.udp_tx.bytes, Ordering::Relaxed);
        self.counters.received.fetch_add(stats.udp_rx.bytes, Ordering::Relaxed);
    }
}
