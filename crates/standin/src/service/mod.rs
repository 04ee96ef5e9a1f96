//! A stand-in of a plain service, whose calls may not be repeated.
//!
//! It takes any method under any path, counts an effect for each call, by the `idempotency-key`
//! header and by body, and answers with the number of the effect. An answer can be lost by a fault
//! before or after the effect.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use rocket::data::ToByteUnit;
use rocket::http::Method;
use rocket::http::Status;
use rocket::route::Handler;
use rocket::route::Outcome;
use rocket::route::Route;
use rocket::serde::json::Json;
use rocket::tokio::time::sleep;
use rocket::Data;
use rocket::Request;
use rocket::State;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;

use crate::http;
use crate::http::RequestMeta;
use crate::relay::tcp;
use crate::relay::Flow;

/// Longest body of a call, in mebibytes.
const BODY_MEBIBYTES: u64 = 8;

/// Errors of starting a service.
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

/// Settings of one service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Time of a call.
    pub work_time: Duration,
    /// Texts that no call may carry in a header or its body; the ledger counts those that do.
    pub secrets: Vec<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            work_time: Duration::from_millis(2),
            secrets: Vec::new(),
        }
    }
}

/// A fault.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// The next calls take effect and their connections go silent.
    SilentAfter {
        /// How many calls.
        calls: u32,
    },
    /// The next calls take no effect and their connections go silent.
    SilentBefore {
        /// How many calls.
        calls: u32,
    },
    /// The next calls take effect and are answered with 500.
    ErrorAfter {
        /// How many calls.
        calls: u32,
    },
    /// The next calls take effect and their connections are closed without an answer.
    CutAfter {
        /// How many calls.
        calls: u32,
    },
    /// The next calls take longer.
    Slow {
        /// By this many milliseconds.
        ms: u64,
        /// How many calls.
        calls: u32,
    },
    /// Ends all faults.
    Clear,
}

/// What happened at a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ledger {
    /// Effects by idempotency key; calls without one aren't in it.
    pub keys: IndexMap<String, u32>,
    /// Effects by the request id in `x-request-id`.
    pub requests: IndexMap<String, u32>,
    /// Effects by body.
    pub bodies: IndexMap<String, u32>,
    /// All effects.
    pub effects: u64,
    /// Names of the headers seen, in lower case.
    pub headers: IndexSet<String>,
    /// Calls that carried one of the secrets.
    pub leaks: u64,
}

impl Ledger {
    /// Idempotency keys that took effect more than once.
    pub fn doubles(&self) -> Vec<&str> {
        let doubled = self.keys.iter().filter(|(_, count)| **count > 1);
        doubled.map(|(key, _)| key.as_str()).collect()
    }
}

/// How one call goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Twist {
    SilentAfter,
    SilentBefore,
    ErrorAfter,
    CutAfter,
    Slow(Duration),
}

#[derive(Debug)]
struct Service {
    settings: Settings,
    twists: Mutex<Vec<Twist>>,
    ledger: Mutex<Ledger>,
    relay: OnceLock<tcp::Relay>,
}

/// A running service; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    service: Arc<Service>,
    server: corianderyoke_http::Running,
}

/// Starts a service.
pub async fn serve(settings: Settings) -> Result<Running> {
    let listen = settings.listen;
    let service = Arc::new(Service {
        settings,
        twists: Mutex::default(),
        ledger: Mutex::default(),
        relay: OnceLock::new(),
    });
    let rocket = http::rocket()
        .manage(Arc::clone(&service))
        .attach(http::echo_request_id())
        .mount("/", rocket::routes![set_fault, report_ledger])
        .mount("/", Effect::routes(&service));
    let server = corianderyoke_http::launch(rocket, http::loopback()).await?;
    let target = server.address;
    let relay = tcp::Relay::start(tcp::Settings { listen, target, ..Default::default() }).await?;
    let address = relay.address();
    let _ = service.relay.set(relay);
    Ok(Running { address, service, server })
}

impl Running {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Orders a fault.
    pub fn fault(&self, fault: Fault) {
        self.service.fault(fault);
    }

    /// What happened so far.
    pub fn ledger(&self) -> Ledger {
        self.service.ledger.lock().clone()
    }

    /// Stops listening and closes every connection.
    pub fn stop(&self) {
        if let Some(relay) = self.service.relay.get() {
            relay.stop();
        }
        self.server.notify();
    }

    /// Waits until it listens no more and every connection is closed, after [`Running::stop`].
    pub async fn stopped(&self) {
        if let Some(relay) = self.service.relay.get() {
            relay.stopped().await;
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Service {
    fn fault(&self, fault: Fault) {
        let (twist, calls) = match fault {
            Fault::SilentAfter { calls } => (Twist::SilentAfter, calls),
            Fault::SilentBefore { calls } => (Twist::SilentBefore, calls),
            Fault::ErrorAfter { calls } => (Twist::ErrorAfter, calls),
            Fault::CutAfter { calls } => (Twist::CutAfter, calls),
            Fault::Slow { ms, calls } => (Twist::Slow(Duration::from_millis(ms)), calls),
            Fault::Clear => {
                self.twists.lock().clear();
                return;
            }
        };
        self.twists.lock().extend((0..calls).map(|_| twist));
    }

    fn next_twist(&self) -> Option<Twist> {
        let mut twists = self.twists.lock();
        (!twists.is_empty()).then(|| twists.remove(0))
    }

    /// Counts an effect and returns its number.
    fn take_effect(&self, meta: &RequestMeta, body: &str) -> u64 {
        let mut ledger = self.ledger.lock();
        ledger.effects += 1;
        if let Some(key) = meta.header("idempotency-key") {
            *ledger.keys.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(id) = meta.header("x-request-id") {
            *ledger.requests.entry(id.to_owned()).or_default() += 1;
        }
        *ledger.bodies.entry(body.to_owned()).or_default() += 1;
        ledger.effects
    }

    fn inspect(&self, meta: &RequestMeta, body: &str) {
        let mut ledger = self.ledger.lock();
        ledger.headers.extend(meta.headers.keys().cloned());
        let carries = |secret: &String| {
            body.contains(secret) || meta.headers.values().any(|value| value.contains(secret))
        };
        if self.settings.secrets.iter().any(carries) {
            ledger.leaks += 1;
        }
    }

    /// Sets the flow of the connection that a call came on, alone.
    fn set_flow(&self, meta: &RequestMeta, flow: Flow) {
        if let (Some(relay), Some(remote)) = (self.relay.get(), meta.remote) {
            relay.set_one(remote, flow);
        }
    }

    async fn call(&self, meta: &RequestMeta, body: &str) -> (Status, Json<Value>) {
        self.inspect(meta, body);
        let twist = self.next_twist();
        if twist == Some(Twist::SilentBefore) {
            self.set_flow(meta, Flow::Silent);
            return (Status::Ok, Json(Value::Null));
        }
        sleep(self.settings.work_time).await;
        if let Some(Twist::Slow(span)) = twist {
            sleep(span).await;
        }
        let number = self.take_effect(meta, body);
        let status = match twist {
            Some(Twist::ErrorAfter) => Status::InternalServerError,
            _ => Status::Ok,
        };
        match twist {
            Some(Twist::SilentAfter) => self.set_flow(meta, Flow::Silent),
            Some(Twist::CutAfter) => self.set_flow(meta, Flow::Cut),
            _ => {}
        }
        (status, Json(json!({"effect": number})))
    }
}

/// Handler of every path that isn't about the stand-in itself.
#[derive(Clone)]
struct Effect(Arc<Service>);

impl Effect {
    /// Ranks behind the two routes about the stand-in itself.
    const RANK: isize = 10;

    fn routes(service: &Arc<Service>) -> Vec<Route> {
        let methods = [Method::Get, Method::Post, Method::Put, Method::Patch, Method::Delete];
        let handler = Effect(Arc::clone(service));
        let route = |method| Route::ranked(Self::RANK, method, "/<_..>", handler.clone());
        methods.into_iter().map(route).collect()
    }
}

#[rocket::async_trait]
impl Handler for Effect {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Ok(body) = data.open(BODY_MEBIBYTES.mebibytes()).into_string().await else {
            return Outcome::error(Status::BadRequest);
        };
        let meta = RequestMeta::new(request);
        Outcome::from(request, self.0.call(&meta, &body).await)
    }
}

#[rocket::post("/faults", data = "<fault>")]
fn set_fault(service: &State<Arc<Service>>, fault: Json<Fault>) -> Json<Value> {
    service.fault(*fault);
    Json(json!({"ordered": true}))
}

#[rocket::get("/ledger")]
fn report_ledger(service: &State<Arc<Service>>) -> Json<Ledger> {
    Json(service.ledger.lock().clone())
}
