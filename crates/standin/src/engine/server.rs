//! Start and end of an engine, and the commands on a running one.

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
use super::load::LoadLog;
use super::models::Models;
use super::routes;
use super::settings::Settings;
use crate::http;
use crate::relay::tcp;
use crate::relay::Flow;

/// Errors of starting an engine.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The listening socket couldn't be made.
    #[error("can't listen, choose another address: {0}")]
    Listen(#[from] io::Error),
    /// The HTTP server didn't start.
    #[error(transparent)]
    Http(#[from] corianderyoke_http::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// A request that waits or runs.
#[derive(Debug)]
pub(crate) struct Job {
    pub request_id: String,
    /// The relay's address of the connection it came on.
    pub remote: Option<SocketAddr>,
    pub cancel: Arc<Notify>,
}

/// Jobs by number.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    pub next: u64,
    pub table: IndexMap<u64, Job>,
}

/// Shared state of one engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub settings: Settings,
    pub start: Instant,
    pub faults: Mutex<Faults>,
    pub models: Mutex<Models>,
    pub batch: Mutex<Batch>,
    pub jobs: Mutex<Jobs>,
    pub ledger: Mutex<Ledger>,
    pub load: Mutex<LoadLog>,
    /// When the engine was last fresh.
    pub fresh: Mutex<Instant>,
    pub relay: OnceLock<tcp::Relay>,
}

/// A running engine; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    engine: Arc<Engine>,
    server: corianderyoke_http::Running,
    sampler: tokio::task::JoinHandle<()>,
}

/// Starts an engine.
pub async fn serve(settings: Settings) -> Result<Running> {
    let (closed, ended) = mpsc::unbounded_channel();
    let listen = settings.listen;
    let engine = Arc::new(Engine::new(settings));
    let server =
        corianderyoke_http::launch(routes::rocket(Arc::clone(&engine)), http::local()).await?;
    let relay = tcp::Settings {
        listen,
        target: server.address,
        closed: Some(closed),
        ..tcp::Settings::default()
    };
    let relay = tcp::Relay::start(relay).await?;
    let address = relay.address();
    let _ = engine.relay.set(relay);
    tokio::spawn(cancel_closed(Arc::downgrade(&engine), ended));
    let sampler = tokio::spawn(super::load::sample(Arc::downgrade(&engine)));
    Ok(Running { address, engine, server, sampler })
}

/// Cancels the requests of connections whose client has closed.
async fn cancel_closed(
    engine: std::sync::Weak<Engine>,
    mut ended: mpsc::UnboundedReceiver<SocketAddr>,
) {
    while let Some(remote) = ended.recv().await {
        let Some(engine) = engine.upgrade() else {
            return;
        };
        engine.cancel_where(|job| job.remote == Some(remote));
    }
}

impl Running {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Orders a fault.
    pub fn fault(&self, fault: &Fault) {
        self.engine.fault(fault, None);
    }

    /// What happened so far.
    pub fn ledger(&self) -> Ledger {
        self.engine.ledger.lock().clone()
    }

    /// Names of the models that are loaded.
    pub fn loaded(&self) -> indexmap::IndexSet<String> {
        self.engine.models.lock().loaded()
    }

    /// Requests that run and that wait, as they are now.
    pub fn load(&self) -> (usize, usize) {
        let batch = self.engine.batch.lock();
        (batch.running(), batch.waiting())
    }

    /// Whether it died of a fault or of load.
    pub fn dead(&self) -> bool {
        self.engine.ledger.lock().collapsed || self.engine.load.lock().dead
    }

    /// Stops listening and closes every connection.
    pub fn stop(&self) {
        self.engine.die();
        self.server.notify();
    }

    /// Waits until it listens no more and every connection is closed, after its end.
    pub async fn stopped(&self) {
        if let Some(relay) = self.engine.relay.get() {
            relay.stopped().await;
        }
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
        let ledger = Ledger { peak_bytes: models.used(), ..Ledger::default() };
        Engine {
            start: Instant::now(),
            faults: Mutex::default(),
            models: Mutex::new(models),
            batch: Mutex::default(),
            jobs: Mutex::default(),
            ledger: Mutex::new(ledger),
            load: Mutex::new(LoadLog::default()),
            fresh: Mutex::new(Instant::now()),
            relay: OnceLock::new(),
            settings,
        }
    }

    /// Carries out or takes note of a fault; `spared` is the connection that ordered it.
    pub fn fault(&self, fault: &Fault, spared: Option<SocketAddr>) {
        self.faults.lock().set(fault);
        match fault {
            Fault::Die => self.die(),
            Fault::LoseModels => {
                self.models.lock().lose();
                self.batch.lock().forget();
            }
            Fault::TurnCold => {
                self.batch.lock().forget();
                *self.fresh.lock() = Instant::now();
            }
            Fault::Silent => {
                if let Some(relay) = self.relay.get() {
                    relay.set_except(Flow::Silent, spared);
                }
            }
            _ => {}
        }
    }

    /// Closes the listener and every connection, and ends all work.
    pub fn die(&self) {
        self.load.lock().dead = true;
        if let Some(relay) = self.relay.get() {
            relay.stop();
        }
        self.cancel_where(|_| true);
    }

    /// Whether the engine is within its warm-up span.
    pub fn is_fresh(&self) -> bool {
        let span = self.settings.warmup.span;
        !span.is_zero() && self.fresh.lock().elapsed() < span
    }

    /// Cancels the jobs that `matches`; returns how many.
    pub fn cancel_where(&self, matches: impl Fn(&Job) -> bool) -> usize {
        let jobs = self.jobs.lock();
        let mut count = 0;
        for job in jobs.table.values().filter(|job| matches(job)) {
            // A permit is kept, so a job that doesn't wait right now sees it at its next await.
            job.cancel.notify_one();
            count += 1;
        }
        count
    }
}
