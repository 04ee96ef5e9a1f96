//! Detects callers that disconnect before their answer begins.
//!
//! A request is handled in a task of its own, since its work goes on when the caller hangs up, so a
//! waiting handler isn't notified of that. In the kernel's table of TCP sockets, however, such a connection is no
//! longer established. One task reads this table for all waiting requests.

use std::fs::read_to_string;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::time::Tick;
use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::router::open::AbortHandle;
use crate::router::open::AbortReason;
use crate::util::clock;

/// Minimum wait before a request's connection is checked. The tables list every socket of the
/// machine, so reading them for requests that are answered quickly would cost more than it saves.
const MIN_WAIT: Duration = Duration::from_millis(500);
/// Interval between reads of the kernel's tables.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Files in which the kernel lists its TCP sockets.
const TABLES: [&str; 2] = ["/proc/net/tcp", "/proc/net/tcp6"];
/// State code of an established connection in these tables.
const ESTABLISHED: &str = "01";

/// Requests whose answer hasn't begun, by the caller's address.
#[derive(Default)]
pub struct HangupWatcher {
    waiting: Mutex<IndexMap<SocketAddr, WaitingRequest>>,
}

/// A request whose answer hasn't begun.
#[derive(Clone)]
struct WaitingRequest {
    abort_handle: AbortHandle,
    since: Tick,
}

impl HangupWatcher {
    /// Aborts the request if the connection from `caller` closes, until the guard is dropped.
    pub fn watch(self: &Arc<Self>, caller: SocketAddr, abort_handle: AbortHandle) -> WatchGuard {
        let caller = canonical(caller);
        self.waiting.lock().insert(caller, WaitingRequest { abort_handle, since: clock::now() });
        WatchGuard { caller, watcher: Arc::clone(self) }
    }

    /// Checks for disconnected callers periodically, until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            self.check();
        }
    }

    fn check(&self) {
        // Copied before the tables are read, so that a request whose connection was accepted
        // after the read isn't mistaken for a disconnected one.
        let overdue = self.overdue();
        if overdue.is_empty() {
            return;
        }
        let Some(established) = read_established() else {
            return;
        };
        for (caller, abort_handle) in overdue {
            if !established.contains(&caller) {
                abort_handle.abort(AbortReason::CallerGone);
            }
        }
    }

    fn overdue(&self) -> Vec<(SocketAddr, AbortHandle)> {
        let now = clock::now();
        let waiting = self.waiting.lock();
        let overdue = waiting.iter().filter(|(_, waiting)| now.since(waiting.since) >= MIN_WAIT);
        overdue.map(|(caller, waiting)| (*caller, waiting.abort_handle.clone())).collect()
    }
}

/// Guard that ends the watch of a caller's connection when it is dropped.
pub struct WatchGuard {
    caller: SocketAddr,
    watcher: Arc<HangupWatcher>,
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.watcher.waiting.lock().swap_remove(&self.caller);
    }
}

/// Remote addresses of all established connections; `None` if no table can be read.
fn read_established() -> Option<IndexSet<SocketAddr>> {
    let mut remotes = IndexSet::new();
    let mut tables_read = 0;
    for table in TABLES {
        let Ok(text) = read_to_string(table) else {
            continue;
        };
        tables_read += 1;
        remotes.extend(text.lines().filter_map(remote));
    }
    (tables_read > 0).then_some(remotes)
}

/// Remote address in one line of the kernel's table; `None` if the connection isn't established.
pub fn remote(line: &str) -> Option<SocketAddr> {
    let mut fields = line.split_ascii_whitespace();
    let remote = fields.nth(2)?;
    let state = fields.next()?;
    if state != ESTABLISHED {
        return None;
    }
    let (ip, port) = remote.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(canonical(SocketAddr::new(parse_address(ip)?, port)))
}

/// Parses an address as the kernel prints it: 32-bit words in the machine's byte order.
fn parse_address(hex: &str) -> Option<IpAddr> {
    let word = |at: usize| u32::from_str_radix(hex.get(at..at + 8)?, 16).ok().map(u32::to_ne_bytes);
    match hex.len() {
        8 => Some(IpAddr::V4(Ipv4Addr::from(word(0)?))),
        32 => {
            let mut octets = [0; 16];
            for (at, chunk) in octets.chunks_mut(4).enumerate() {
                chunk.copy_from_slice(&word(at * 8)?);
            }
            Some(IpAddr::V6(Ipv6Addr::from(octets)))
        }
        _ => None,
    }
}

/// Converts an IPv4-mapped IPv6 address to IPv4.
fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}
