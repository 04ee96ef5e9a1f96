//! The weight store from which engines load checkpoints and adapters.
//!
//! Engines share a store through a handle within one process, or over HTTP: [`WeightStore::serve`]
//! serves a store, and [`WeightStore::at`] connects to it from another process. Loads above the
//! limits succeed but take longer, and the store counts each violation.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_http::Running;
use parking_lot::Mutex;
use rocket::serde::json::Json;
use rocket::tokio::time::sleep;
use rocket::tokio::time::Instant;
use rocket::State;
use serde::Deserialize;
use serde::Serialize;

/// Window over which the load rate is checked. It is a tenth shorter than the second that the rate
/// refers to, so that loads paced exactly at the rate don't count as violations when one of them
/// starts slightly late.
const RATE_WINDOW: Duration = Duration::from_millis(900);

/// Delay before a failed request to a remote store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Limits and load times of a store.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Model loads that may start per second.
    pub loads_rate: f64,
    /// Model loads that may be in flight at once.
    pub loads_limit: usize,
    /// Duration of a model load within the limits.
    pub load_time: Duration,
    /// Adapter loads that may be in flight at once.
    pub adapters_limit: usize,
    /// Duration of an adapter load within the limit.
    pub adapter_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            loads_rate: 2.0,
            loads_limit: 4,
            load_time: Duration::from_millis(1500),
            adapters_limit: 32,
            adapter_time: Duration::from_millis(5),
        }
    }
}

/// Counters of a store.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Model loads started.
    pub loads: u64,
    /// Model loads started while the limit on loads in flight was already reached.
    pub loads_over_limit: u64,
    /// Model loads started above the permitted rate.
    pub loads_over_rate: u64,
    /// Largest number of model loads in flight at once.
    pub loads_peak: usize,
    /// Adapter loads started.
    pub adapters: u64,
    /// Adapter loads started while the limit on adapter loads in flight was already reached.
    pub adapters_over_limit: u64,
    /// Largest number of adapter loads in flight at once.
    pub adapters_peak: usize,
}

/// A handle to a local or remote store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    backend: Backend,
}

/// Where the store's state lives.
#[derive(Clone, Debug)]
enum Backend {
    /// In this process.
    Local(Arc<Mutex<StoreState>>),
    /// In another process, reached over HTTP.
    Remote(SocketAddr, reqwest::Client),
}

#[derive(Debug)]
struct StoreState {
    settings: Settings,
    usage: Usage,
    recent_starts: VecDeque<Instant>,
    loads_in_flight: usize,
    adapters_in_flight: usize,
    /// Factor on the duration of every load.
    slowdown: u32,
}

#[derive(Clone, Copy)]
enum LoadKind {
    Model,
    Adapter,
}

/// Counts a load as in flight until dropped.
struct InFlightGuard {
    state: Arc<Mutex<StoreState>>,
    kind: LoadKind,
}

impl Default for WeightStore {
    fn default() -> Self {
        WeightStore::new(Settings::default())
    }
}

impl WeightStore {
    /// Creates a local store with the given limits.
    pub fn new(settings: Settings) -> Self {
        let state = StoreState {
            settings,
            usage: Usage::default(),
            recent_starts: VecDeque::new(),
            loads_in_flight: 0,
            adapters_in_flight: 0,
            slowdown: 1,
        };
        WeightStore { backend: Backend::Local(Arc::new(Mutex::new(state))) }
    }

    /// Returns a handle to the store that another process serves at `address`.
    pub fn at(address: SocketAddr) -> Self {
        WeightStore { backend: Backend::Remote(address, reqwest::Client::new()) }
    }

    /// Serves this store over HTTP to engines of other processes.
    pub async fn serve(&self, listen: SocketAddr) -> corianderyoke_http::Result<Running> {
        let rocket = rocket::custom(corianderyoke_http::config(listen))
            .manage(self.clone())
            .mount("/", rocket::routes![serve_load, serve_adapter, serve_fault, serve_usage]);
        corianderyoke_http::launch(rocket, listen).await
    }

    /// Multiplies the duration of every load that starts from now on by `factor`. Has no effect on
    /// a remote store.
    pub fn slow_down(&self, factor: u32) {
        if let Backend::Local(state) = &self.backend {
            state.lock().slowdown = factor.max(1);
        }
    }

    /// Loads a model's checkpoint and returns when the load is complete.
    pub async fn load(&self) {
        self.load_kind(LoadKind::Model).await;
    }

    /// Loads an adapter and returns when the load is complete.
    pub async fn load_adapter(&self) {
        self.load_kind(LoadKind::Adapter).await;
    }

    /// The store's counters; all zero for a remote store.
    pub fn usage(&self) -> Usage {
        match &self.backend {
            Backend::Local(state) => state.lock().usage,
            Backend::Remote(..) => Usage::default(),
        }
    }

    async fn load_kind(&self, kind: LoadKind) {
        match &self.backend {
            Backend::Local(state) => {
                let (guard, duration) = start_load(state, kind);
                sleep(duration).await;
                drop(guard);
            }
            Backend::Remote(address, client) => load_remote(*address, client, kind).await,
        }
    }
}

/// Starts a load and returns its in-flight guard and its duration.
fn start_load(state: &Arc<Mutex<StoreState>>, kind: LoadKind) -> (InFlightGuard, Duration) {
    let mut locked_state = state.lock();
    let settings = locked_state.settings;
    let (load_ratio, duration) = match kind {
        LoadKind::Model => (locked_state.record_model_load(&settings), settings.load_time),
        LoadKind::Adapter => (locked_state.record_adapter_load(&settings), settings.adapter_time),
    };
    let guard = InFlightGuard { state: Arc::clone(state), kind };
    (guard, duration.mul_f64(load_ratio.max(1.0)) * locked_state.slowdown)
}

/// Loads from a remote store, retrying until a request succeeds.
async fn load_remote(address: SocketAddr, client: &reqwest::Client, kind: LoadKind) {
    let path = match kind {
        LoadKind::Model => "loads",
        LoadKind::Adapter => "adapters",
    };
    loop {
        let answer = client.post(format!("http://{address}/{path}")).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

#[rocket::post("/loads")]
async fn serve_load(store: &State<WeightStore>) {
    store.load().await;
}

#[rocket::post("/adapters")]
async fn serve_adapter(store: &State<WeightStore>) {
    store.load_adapter().await;
}

/// Body of `POST /faults`.
#[derive(Deserialize)]
struct Slowdown {
    factor: u32,
}

#[rocket::post("/faults", data = "<fault>")]
fn serve_fault(store: &State<WeightStore>, fault: Json<Slowdown>) {
    store.slow_down(fault.factor);
}

#[rocket::get("/ledger")]
fn serve_usage(store: &State<WeightStore>) -> Json<Usage> {
    Json(store.usage())
}

impl StoreState {
    /// Counts a model load and returns the ratio of loads in flight to the limit.
    fn record_model_load(&mut self, settings: &Settings) -> f64 {
        let now = Instant::now();
        while self.recent_starts.front().is_some_and(|start| now - *start >= RATE_WINDOW) {
            self.recent_starts.pop_front();
        }
        // The rate, rounded up, is the number of loads that may start within the window.
        let max_starts = settings.loads_rate.ceil().max(1.0) as usize;
        if self.recent_starts.len() >= max_starts {
            self.usage.loads_over_rate += 1;
        }
        self.recent_starts.push_back(now);
        if self.loads_in_flight >= settings.loads_limit {
            self.usage.loads_over_limit += 1;
        }
        self.loads_in_flight += 1;
        self.usage.loads += 1;
        self.usage.loads_peak = self.usage.loads_peak.max(self.loads_in_flight);
        self.loads_in_flight as f64 / settings.loads_limit.max(1) as f64
    }

    /// Counts an adapter load and returns the ratio of adapter loads in flight to the limit.
    fn record_adapter_load(&mut self, settings: &Settings) -> f64 {
        if self.adapters_in_flight >= settings.adapters_limit {
            self.usage.adapters_over_limit += 1;
        }
        self.adapters_in_flight += 1;
        self.usage.adapters += 1;
        self.usage.adapters_peak = self.usage.adapters_peak.max(self.adapters_in_flight);
        self.adapters_in_flight as f64 / settings.adapters_limit.max(1) as f64
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        match self.kind {
            LoadKind::Model => state.loads_in_flight -= 1,
            LoadKind::Adapter => state.adapters_in_flight -= 1,
        }
    }
}
