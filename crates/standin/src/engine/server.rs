//! Starts and stops an engine, and controls a running one.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Instant;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rocket::tokio;
use rocket::tokio::sync::mpsc;
use rocket::tokio::sync::Notify;

use super::batch::Batch;
use super::faults::Fault;
use super::faults::Faults;
use super::ledger::Ledger;
use super::load::LoadHistory;
use super::models::Models;
use super::routes;
use super::settings::Settings;
use crate::http;
use crate::relay::tcp;
use crate::relay::Flow;

/// Errors of starting an engine.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The listening socket couldn't be bound.
    #[error("failed to listen; choose another address: {0}")]
    Listen(#[from] io::Error),
    /// The HTTP server failed to start.
    #[error(transparent)]
    Http(#[from] corianderyoke_http::Error),
}

/// Result of starting an engine.
pub type Result<T> = std::result::Result<T, Error>;

/// A queued or running request.
#[derive(Debug)]
pub(crate) struct Job {
    pub request_id: String,
    /// The relay's local address of the connection the request came on.
    pub remote: Option<SocketAddr>,
    pub cancel: Arc<Notify>,
}

/// Queued and running requests by job id.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    pub last_id: u64,
    pub by_id: IndexMap<u64, Job>,
}

/// Shared state of one engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub settings: Settings,
    pub started_at: Instant,
    pub faults: Mutex<Faults>,
    pub models: Mutex<Models>,
    pub batch: Mutex<Batch>,
    pub jobs: Mutex<Jobs>,
    pub ledger: Mutex<Ledger>,
    pub load: Mutex<LoadHistory>,
    /// Start of the latest warm-up period.
    pub warmup_start: Mutex<Instant>,
    pub relay: OnceLock<tcp::Relay>,
}

/// Handle of a running engine, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    engine: Arc<Engine>,
    server: corianderyoke_http::Running,
    sampler: tokio::task::JoinHandle<()>,
}

/// Starts an engine and returns once it listens.
pub async fn serve(settings: Settings) -> Result<Running> {
    let (closed_sender, closed_receiver) = mpsc::unbounded_channel();
    let listen = settings.listen;
    let engine = Arc::new(Engine::new(settings));
    let server =
        corianderyoke_http::launch(routes::rocket(Arc::clone(&engine)), http::loopback()).await?;
    let relay = tcp::Settings {
        listen,
        target: server.address,
        client_closed: Some(closed_sender),
        ..tcp::Settings::default()
    };
    let relay = tcp::Relay::start(relay).await?;
    let address = relay.address();
    let _ = engine.relay.set(relay);
    tokio::spawn(cancel_closed(Arc::downgrade(&engine), closed_receiver));
    let sampler = tokio::spawn(super::load::run_sampler(Arc::downgrade(&engine)));
    Ok(Running { address, engine, server, sampler })
}

/// Cancels the requests of connections that their client has closed.
async fn cancel_closed(
    engine: std::sync::Weak<Engine>,
    mut closed_receiver: mpsc::UnboundedReceiver<SocketAddr>,
) {
    while let Some(remote) = closed_receiver.recv().await {
        let Some(engine) = engine.upgrade() else {
            return;
        };
        engine.cancel_jobs(|job| job.remote == Some(remote));
    }
}

impl Running {
    /// The address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault.
    pub fn fault(&self, fault: &Fault) {
        self.engine.inject_fault(fault, None);
    }

    /// A snapshot of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.engine.ledger.lock().clone()
    }

    /// Names of the loaded models.
    pub fn loaded(&self) -> indexmap::IndexSet<String> {
        self.engine.models.lock().loaded()
    }

    /// Current numbers of running and queued requests.
    pub fn load(&self) -> (usize, usize) {
        let batch = self.engine.batch.lock();
        (batch.running(), batch.waiting())
    }

    /// Whether the engine has crashed or been stopped.
    pub fn is_dead(&self) -> bool {
        self.engine.ledger.lock().collapsed || self.engine.load.lock().dead
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.engine.crash();
        self.server.notify();
    }

    /// Waits until the listener and all connections are closed, after a stop or crash.
    pub async fn stopped(&self) {
        if let Some(relay) = self.engine.relay.get() {
            relay.stopped().await;
        }
    }
}

/// Applies a fault of the engine's connections.
fn relay_fault(relay: &tcp::Relay, fault: &Fault, exempt: Option<SocketAddr>) {
    match fault {
        Fault::Cut => relay.set_except(Flow::Cut, exempt),
        Fault::Silent => relay.set_except(Flow::Silent, exempt),
        Fault::Repeat { requests } => relay.repeat_before_next(*requests),
        Fault::RepeatIdle => relay.repeat_on_idle(exempt),
        Fault::Clear => relay.repeat_before_next(0),
        _ => {}
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.sampler.abort();
        self.stop();
    }
}

impl Engine {
    fn new(settings: Settings) -> Self {
        let models = Models::new(&settings);
        let ledger = Ledger { peak_bytes: models.used_bytes(), ..Ledger::default() };
        Engine {
            started_at: Instant::now(),
            faults: Mutex::default(),
            models: Mutex::new(models),
            batch: Mutex::default(),
            jobs: Mutex::default(),
            ledger: Mutex::new(ledger),
            load: Mutex::new(LoadHistory::default()),
            warmup_start: Mutex::new(Instant::now()),
            relay: OnceLock::new(),
            settings,
        }
    }

    /// Applies an immediate fault or records a later one. `exempt` is the connection of the request
    /// that injects it, which stays usable.
    pub fn inject_fault(&self, fault: &Fault, exempt: Option<SocketAddr>) {
        self.faults.lock().record(fault);
        match fault {
            Fault::Die => self.crash(),
            Fault::LoseModels => {
                self.models.lock().lose_all();
                self.batch.lock().clear_prefix_cache();
            }
            Fault::TurnCold => {
                self.batch.lock().clear_prefix_cache();
                *self.warmup_start.lock() = Instant::now();
            }
            _ => {}
        }
        if let Some(relay) = self.relay.get() {
            relay_fault(relay, fault, exempt);
        }
    }

    /// Simulates a crash: closes the listener and all connections, and cancels all requests.
    pub fn crash(&self) {
        self.load.lock().dead = true;
        if let Some(relay) = self.relay.get() {
            relay.stop();
        }
        self.cancel_jobs(|_| true);
    }

    /// Whether the engine is warming up.
    pub fn is_warming_up(&self) -> bool {
        let duration = self.settings.warmup.duration;
        !duration.is_zero() && self.warmup_start.lock().elapsed() < duration
    }

    /// Cancels the jobs for which `matches` returns true, and returns their number.
    pub fn cancel_jobs(&self, matches: impl Fn(&Job) -> bool) -> usize {
        let jobs = self.jobs.lock();
        let mut cancelled = 0;
        for job in jobs.by_id.values().filter(|job| matches(job)) {
            // `notify_one` stores a permit, so a job that isn't waiting now sees it at its next
            // await.
            job.cancel.notify_one();
            cancelled += 1;
        }
        cancelled
    }
}
