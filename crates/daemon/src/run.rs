//! Starts a daemon and shuts it down gracefully.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use corianderyoke_adapter::store;
use corianderyoke_adapter::store::Store;
use corianderyoke_coord::serving::duties::Duty;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use corianderyoke_util::lifecycle::shutdown_signal;
use corianderyoke_util::settings::load_checked;
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
use crate::duties;
use crate::front;
use crate::joining;
use crate::metrics::HeldMemory;
use crate::metrics::StoreCalls;
use crate::orders;
use crate::origins;
use crate::peers;
use crate::quarantine;
use crate::reach;
use crate::scaling;
use crate::settings::Settings;
use crate::state::Shared;
use crate::watch;
use crate::watch::Table;

/// Interval between two flushes of buffered log lines.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two cleanups of idle connections and of limits that engines named.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a stopping daemon still accepts requests of callers that cached its address.
const ACCEPT_TIME: Duration = Duration::from_millis(2_500);
/// Margin before the forced end of the process at which a stopping daemon exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time in which the last requests are answered before the process exits with them in progress.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Time in which the last counts of usage are sent; more than the least gap between two reports.
const LAST_COUNTS_TIME: Duration = Duration::from_millis(30);
/// Interval between two checks for requests in progress during shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a daemon until it receives the signal to stop. `file` is the settings file, if there is one.
///
/// # Errors
///
/// An address can't be bound, or the operating system lacks resources.
pub async fn run(settings: Settings, file: Option<PathBuf>) -> anyhow::Result<()> {
    let client =
        store::Settings { address: settings.platform.to_string(), ..store::Settings::default() };
    let store = Store::new(client).context("failed to create the client of the store")?;
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
    registry.register_collector(Box::new(HeldMemory(Arc::clone(&shared))));
    let registry = Arc::new(registry);
    tokio::spawn(flush_log());
    tokio::spawn(clean_up(Arc::clone(&shared)));
    for listener in [ready, directory, metrics] {
        tokio::spawn(directory::run(listener, Arc::clone(&shared), Arc::clone(&registry)));
    }
    let front = tokio::spawn(front::run(callers, Arc::clone(&shared)));
    for table in [Table::Operator, Table::Engines] {
        tokio::spawn(watch::run(table, Arc::clone(&shared)));
    }
    tokio::spawn(run_gossip(Arc::new(socket), Arc::clone(&shared)));
    let lease = tokio::spawn(orders::maintain_lease(Arc::clone(&shared)));
    tokio::spawn(orders::run(Arc::clone(&shared)));
    tokio::spawn(quarantine::maintain(Arc::clone(&shared)));
    tokio::spawn(origins::maintain(Arc::clone(&shared)));
    tokio::spawn(reach::watch(Arc::clone(&shared)));
    if settings.duties.has(Duty::Usage) {
        tokio::spawn(duties::report_usage(Arc::clone(&shared)));
    }
    if settings.duties.has(Duty::Scaling) {
        tokio::spawn(scaling::run(Arc::clone(&shared)));
    }
    events::log(
        Event::Started,
        format_args!("name={} callers={}", settings.name, settings.callers),
    );
    tokio::spawn(check_reloads(signal(SignalKind::hangup())?, file));
    shutdown_signal().await?;
    stop(&shared, front, lease).await;
    Ok(())
}

/// Makes this daemon report its last counts of usage. Returns whether it has any to report.
fn send_last_counts(shared: &Shared) -> bool {
    let mut state = shared.state();
    let Some(usage) = &mut state.usage else { return false };
    usage.report_soon();
    shared.report_soon(&mut state);
    true
}

async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| {
        format!("failed to listen on {address}; check that it is an address of this instance")
    })
}

/// Registers the daemon, then exchanges reports with the other daemons.
async fn run_gossip(socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    joining::begin(&shared).await;
    joining::agree_on_key(&shared).await;
    tokio::spawn(joining::run(Arc::clone(&shared)));
    tokio::spawn(joining::write_again(Arc::clone(&shared)));
    tokio::spawn(peers::receive_messages(Arc::clone(&socket), Arc::clone(&shared)));
    peers::send_reports(socket, shared).await;
}

/// Checks the settings file after each SIGHUP and logs the result. A process never reloads its
/// addresses and bounds; changed settings apply at its next start.
async fn check_reloads(mut hangups: Signal, file: Option<PathBuf>) {
    while hangups.recv().await.is_some() {
        let checked = file.as_deref().map(|file| load_checked(file, Settings::check));
        match checked {
            Some(Err(error)) => {
                events::log(Event::SettingsRefused, format_args!("{error}"));
            }
            _ => {
                events::log(Event::Reloaded, format_args!("settings take effect at the next start"))
            }
        }
    }
}

async fn flush_log() {
    loop {
        sleep(LOG_FLUSH_INTERVAL).await;
        sink::flush();
    }
}

async fn clean_up(shared: Arc<Shared>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        shared.pool.close_expired();
        shared.state().engine_limits.prune(clock::now());
    }
}

/// Shuts down: keeps accepting requests of callers that cached the address for [`ACCEPT_TIME`],
/// unless they may outlast the process, then returns once no request is in progress or the time runs
/// out.
async fn stop(shared: &Shared, front: JoinHandle<()>, lease: JoinHandle<()>) {
    let stop_requested = clock::now();
    let stop = shared.settings.stop();
    let exit_at = stop.map(|stop| stop_requested + stop.saturating_sub(EXIT_MARGIN));
    let open = {
        let mut state = shared.state();
        state.leaving = true;
        state.exit_at = exit_at;
        shared.report_soon(&mut state);
        state.open_requests
    };
    events::log(Event::Stopping, format_args!("open={open}"));
    lease.abort();
    orders::release(shared).await;
    let mut accepting = Some(front);
    loop {
        let now = clock::now();
        if now.since(stop_requested) >= ACCEPT_TIME {
            if let Some(front) = accepting.take() {
                shared.state().closed = true;
                shared.changed.notify_waiters();
                front.abort();
            }
        }
        let open = shared.state().open_requests;
        let is_over = exit_at.is_some_and(|exit_at| now >= exit_at);
        if is_over || (open == 0 && accepting.is_none()) {
            break;
        }
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    let open = shared.state().open_requests;
    if open > 0 {
        shared.state().exiting = true;
        shared.exit.notify_waiters();
        sleep(LAST_ANSWERS_TIME).await;
    }
    if send_last_counts(shared) {
        sleep(LAST_COUNTS_TIME).await;
    }
    events::log(Event::Stopped, format_args!("name={} open={open}", shared.settings.name));
    sink::flush();
}
