//! The weight store, which engines share: within one process through a handle, or over HTTP.
//!
//! It carries out what it is asked to, but slower above its limits, and records each time that it
//! was asked for more than it allows. [`WeightStore::serve`] offers a store to engines of other
//! processes, which reach it with [`WeightStore::at`].

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

/// Span over which loads are counted: a tenth less than the second of the rate, so that loads
/// paced to the rate exactly aren't counted as too fast when one begins a little late.
const RATE_SPAN: Duration = Duration::from_millis(900);

/// Pause before a store that didn't answer is asked again.
const FETCH_PAUSE: Duration = Duration::from_millis(100);

/// Limits and times of the store.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Loads that may begin within one second.
    pub loads_rate: f64,
    /// Loads in flight at once.
    pub loads_limit: usize,
    /// Time of a load within the limits.
    pub load_time: Duration,
    /// Adapter loads in flight at once.
    pub adapters_limit: usize,
    /// Time of an adapter load within the limit.
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

/// What the store saw.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Loads begun.
    pub loads: u64,
    /// Loads begun while as many as allowed were in flight.
    pub loads_over_limit: u64,
    /// Loads begun faster than the rate allows.
    pub loads_over_rate: u64,
    /// Most loads in flight at once.
    pub loads_peak: usize,
    /// Adapter loads begun.
    pub adapters: u64,
    /// Adapter loads begun while as many as allowed were in flight.
    pub adapters_over_limit: u64,
    /// Most adapter loads in flight at once.
    pub adapters_peak: usize,
}

/// Handle of a store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    source: Source,
}

/// Where a store is.
#[derive(Clone, Debug)]
enum Source {
    /// In this process.
    Local(Arc<Mutex<Table>>),
    /// Behind an address.
    Remote(SocketAddr, reqwest::Client),
}

#[derive(Debug)]
struct Table {
    settings: Settings,
    usage: Usage,
    begun: VecDeque<Instant>,
    loads: usize,
    adapters: usize,
    slowdown: u32,
}

#[derive(Clone, Copy)]
enum Kind {
    Load,
    Adapter,
}

/// Counts a load as in flight until it is dropped.
struct Flight {
    table: Arc<Mutex<Table>>,
    kind: Kind,
}

impl Default for WeightStore {
    fn default() -> Self {
        WeightStore::new(Settings::default())
    }
}

impl WeightStore {
    /// A store with these limits.
    pub fn new(settings: Settings) -> Self {
        let table = Table {
            settings,
            usage: Usage::default(),
            begun: VecDeque::new(),
            loads: 0,
            adapters: 0,
            slowdown: 1,
        };
        WeightStore { source: Source::Local(Arc::new(Mutex::new(table))) }
    }

    /// The store that another process serves at `address`.
    pub fn at(address: SocketAddr) -> Self {
        WeightStore { source: Source::Remote(address, reqwest::Client::new()) }
    }

    /// Serves this store to engines of other processes.
    pub async fn serve(&self, listen: SocketAddr) -> corianderyoke_http::Result<Running> {
        let rocket = rocket::custom(corianderyoke_http::config(listen))
            .manage(self.clone())
            .mount("/", rocket::routes![serve_load, serve_adapter, serve_fault, serve_usage]);
        corianderyoke_http::launch(rocket, listen).await
    }

    /// Makes every load that begins from now on take `factor` times as long; only for a store of
    /// this process.
    pub fn slow_down(&self, factor: u32) {
        if let Source::Local(table) = &self.source {
            table.lock().slowdown = factor.max(1);
        }
    }

    /// Reads a model's checkpoint; returns when it is read.
    pub async fn load(&self) {
        self.read(Kind::Load).await;
    }

    /// Reads an adapter; returns when it is read.
    pub async fn load_adapter(&self) {
        self.read(Kind::Adapter).await;
    }

    /// What the store saw so far; nothing where it is of another process.
    pub fn usage(&self) -> Usage {
        match &self.source {
            Source::Local(table) => table.lock().usage,
            Source::Remote(..) => Usage::default(),
        }
    }

    async fn read(&self, kind: Kind) {
        match &self.source {
            Source::Local(table) => {
                let (flight, span) = begin(table, kind);
                sleep(span).await;
                drop(flight);
            }
            Source::Remote(address, client) => fetch(*address, client, kind).await,
        }
    }
}

/// Begins a load and returns how long it takes.
fn begin(table: &Arc<Mutex<Table>>, kind: Kind) -> (Flight, Duration) {
    let mut locked = table.lock();
    let settings = locked.settings;
    let (crowd, span) = match kind {
        Kind::Load => (locked.begin_load(&settings), settings.load_time),
        Kind::Adapter => (locked.begin_adapter(&settings), settings.adapter_time),
    };
    let flight = Flight { table: Arc::clone(table), kind };
    (flight, span.mul_f64(crowd.max(1.0)) * locked.slowdown)
}

/// Reads from a store behind an address, again and again until it answers.
async fn fetch(address: SocketAddr, client: &reqwest::Client, kind: Kind) {
    let path = match kind {
        Kind::Load => "loads",
        Kind::Adapter => "adapters",
    };
    loop {
        let answer = client.post(format!("http://{address}/{path}")).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
        sleep(FETCH_PAUSE).await;
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

impl Table {
    /// Counts a load and returns how many times over the limit the store now is.
    fn begin_load(&mut self, settings: &Settings) -> f64 {
        let now = Instant::now();
        while self.begun.front().is_some_and(|begun| now - *begun >= RATE_SPAN) {
            self.begun.pop_front();
        }
        // Over the span at most the rate, rounded up, may begin.
        let allowed = settings.loads_rate.ceil().max(1.0) as usize;
        if self.begun.len() >= allowed {
            self.usage.loads_over_rate += 1;
        }
        self.begun.push_back(now);
        if self.loads >= settings.loads_limit {
            self.usage.loads_over_limit += 1;
        }
        self.loads += 1;
        self.usage.loads += 1;
        self.usage.loads_peak = self.usage.loads_peak.max(self.loads);
        self.loads as f64 / settings.loads_limit.max(1) as f64
    }

    fn begin_adapter(&mut self, settings: &Settings) -> f64 {
        if self.adapters >= settings.adapters_limit {
            self.usage.adapters_over_limit += 1;
        }
        self.adapters += 1;
        self.usage.adapters += 1;
        self.usage.adapters_peak = self.usage.adapters_peak.max(self.adapters);
        self.adapters as f64 / settings.adapters_limit.max(1) as f64
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut table = self.table.lock();
        match self.kind {
            Kind::Load => table.loads -= 1,
            Kind::Adapter => table.adapters -= 1,
        }
    }
}
