//! Probes whether this daemon reaches the engines. The decisions are in
//! [`corianderyoke_coord::serving::reach`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use futures::future::join_all;
use tokio::time::timeout;

use crate::connect;
use crate::orders;
use crate::state::Shared;

/// Time limit for a connection that shows whether an engine can be reached.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two checks whether probes are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Probes engines whenever there is a reason to doubt that they can be reached, until the task is
/// aborted.
pub async fn watch(shared: Arc<Shared>) {
    loop {
        // Wakes on a notification, or when the next check is due.
        let _ = timeout(CHECK_INTERVAL, shared.reach_doubted.notified()).await;
        let now = clock::now();
        let is_due = {
            let state = shared.state();
            let is_busy = state.own_loads.values().any(|own| own.load.running > 0);
            state.reach.is_probe_due(is_busy, now)
        };
        if is_due {
            probe(&shared).await;
        }
        let is_settled = shared.state().reach.is_settled(clock::now());
        if is_settled && shared.state().holds_lease(clock::now()) {
            orders::release(&shared).await;
        }
    }
}

async fn probe(shared: &Shared) {
    let (first, others) = {
        let mut guard = shared.state();
        let state = &mut *guard;
        let addresses: Vec<SocketAddr> =
            state.engines.iter().map(|(_, engine)| engine.address).collect();
        let (first, others) = state.reach.next_round(addresses.len());
        let others: Vec<SocketAddr> = others.iter().map(|nth| addresses[*nth]).collect();
        (first.map(|nth| addresses[nth]), others)
    };
    let Some(first) = first else { return };
    let is_reached = is_reachable(first).await
        || join_all(others.iter().copied().map(is_reachable)).await.contains(&true);
    let mut state = shared.state();
    if !state.reach.record_round(is_reached, clock::now()) {
        return;
    }
    let event = if is_reached { Event::EnginesReached } else { Event::EnginesUnreachable };
    events::log(event, format_args!("probed={first} others={others:?}"));
    shared.report_soon(&mut state);
    drop(state);
    if !is_reached {
        // They lead nowhere, or are the last of their kind.
        shared.pool.close_idle();
    }
    shared.reach_changed.notify_waiters();
    shared.changed.notify_waiters();
}

/// Returns whether an instance accepts connections.
pub async fn is_reachable(address: SocketAddr) -> bool {
    connect::open(address, PROBE_TIMEOUT).await.is_ok()
}
