//! Starts a daemon, and stops it without cutting a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use corianderyoke_adapter::store;
use corianderyoke_adapter::store::Store;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_util::lifecycle::shutdown_signal;
use corianderyoke_util::sink;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::directory;
use crate::front;
use crate::joining;
use crate::metrics::StoreCalls;
use crate::orders;
use crate::peers;
use crate::settings::Settings;
use crate::state::Shared;
use crate::watch;
use crate::watch::Table;

/// Time between two writes of waiting log lines.
const FLUSH_EVERY: Duration = Duration::from_millis(100);
/// Time between two looks for idle connections to close.
const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// Time for which a stopping daemon still takes requests of callers that keep its address.
const TAKE_ON: Duration = Duration::from_millis(2_500);
/// Time before the end by force at which a stopping daemon ends by itself.
const END_EARLY: Duration = Duration::from_millis(400);
/// Time between two looks at what is still open.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// An address can't be had, or the system gives no resources.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let client =
        store::Settings { address: settings.platform.to_string(), ..store::Settings::default() };
    let store = Store::new(client).context("failed to set up the store's client")?;
    let shared = Shared::new(settings, store);
    let settings = &shared.settings;
    let callers = listen(settings.callers).await?;
    let ready = listen(settings.ready).await?;
    let directory = listen(settings.directory).await?;
    let metrics = listen(settings.metrics).await?;
    let socket = UdpSocket::bind(settings.peers).await;
    let socket = socket.with_context(|| format!("failed to bind {}", settings.peers))?;
    let mut registry = Registry::with_prefix("corianderyoke");
    shared.metrics.register(&mut registry);
    registry.register_collector(Box::new(StoreCalls(Arc::clone(&shared))));
    let registry = Arc::new(registry);
    tokio::spawn(write_log());
    tokio::spawn(sweep(Arc::clone(&shared)));
    for listener in [ready, directory, metrics] {
        tokio::spawn(directory::run(listener, Arc::clone(&shared), Arc::clone(&registry)));
    }
    let front = tokio::spawn(front::run(callers, Arc::clone(&shared)));
    for table in [Table::Operator, Table::Engines] {
        tokio::spawn(watch::run(table, Arc::clone(&shared)));
    }
    tokio::spawn(meet(Arc::new(socket), Arc::clone(&shared)));
    let lease = tokio::spawn(orders::keep_lease(Arc::clone(&shared)));
    tokio::spawn(orders::run(Arc::clone(&shared)));
    events::log(
        Event::Started,
        format_args!("name={} callers={}", settings.name, settings.callers),
    );
    tokio::spawn(reload(signal(SignalKind::hangup())?));
    shutdown_signal().await?;
    stop(&shared, front, lease).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("failed to listen on {address}; is it this instance's?"))
}

/// Finds the other daemons and exchanges words with them.
async fn meet(socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    joining::begin(&shared).await;
    let key = joining::peer_key(&shared).await;
    tokio::spawn(joining::run(Arc::clone(&shared)));
    tokio::spawn(peers::hear(Arc::clone(&socket), key.clone(), Arc::clone(&shared)));
    peers::tell(socket, key, shared).await;
}

/// Notes that the settings file changed; addresses and bounds of a process stay as they are until
/// its next start.
async fn reload(mut told: Signal) {
    while told.recv().await.is_some() {
        events::log(Event::Reloaded, format_args!("settings take effect at the next start"));
    }
}

async fn write_log() {
    loop {
        sleep(FLUSH_EVERY).await;
        sink::flush();
    }
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        sleep(SWEEP_EVERY).await;
        shared.pool.sweep();
    }
}

/// Serves on for callers that keep the address, then ends once nothing is open.
async fn stop(shared: &Shared, front: JoinHandle<()>, lease: JoinHandle<()>) {
    let told = clock::now();
    let open = {
        let mut state = shared.state();
        state.leaving = true;
        state.open
    };
    events::log(Event::Stopping, format_args!("open={open}"));
    shared.urgent.notify_one();
    lease.abort();
    orders::release(shared).await;
    let end = told + shared.settings.stop().saturating_sub(END_EARLY);
    let mut taking = Some(front);
    loop {
        let now = clock::now();
        if now.since(told) >= TAKE_ON {
            if let Some(front) = taking.take() {
                shared.state().closed = true;
                shared.changed.notify_waiters();
                front.abort();
            }
        }
        let open = shared.state().open;
        if now >= end || (open == 0 && taking.is_none()) {
            break;
        }
        sleep(DRAIN_LOOK).await;
    }
    let open = shared.state().open;
    events::log(Event::Stopped, format_args!("name={} open={open}", shared.settings.name));
    sink::flush();
}
