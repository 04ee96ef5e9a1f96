//! A stand-in for a plain service whose calls aren't idempotent.
//!
//! It accepts any method and path, counts one effect per call (by `idempotency-key` header, by
//! request id and by body) and returns the number of the effect. Injected faults can lose a
//! response before or after the effect.

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

/// Maximum size of a request body, in mebibytes.
const MAX_BODY_MEBIBYTES: u64 = 8;

/// Errors of starting a service.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The listening socket couldn't be bound.
    #[error("failed to listen; choose another address: {0}")]
    Listen(#[from] io::Error),
    /// The HTTP server failed to start.
    #[error(transparent)]
    Http(#[from] corianderyoke_http::Error),
}

/// Result of starting a service.
pub type Result<T> = std::result::Result<T, Error>;

/// Settings of one service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time that a call takes before its effect.
    pub work_time: Duration,
    /// Strings that must not appear in a header or body; the ledger counts calls that contain one.
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

/// A fault to inject into a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// The next calls take effect, but their connections stop passing data.
    SilentAfter {
        /// Number of calls affected.
        calls: u32,
    },
    /// The next calls take no effect, and their connections stop passing data.
    SilentBefore {
        /// Number of calls affected.
        calls: u32,
    },
    /// The next calls take effect, but return status 500.
    ErrorAfter {
        /// Number of calls affected.
        calls: u32,
    },
    /// The next calls take effect, but their connections are closed without a response.
    CutAfter {
        /// Number of calls affected.
        calls: u32,
    },
    /// The previous response of a connection is written once more before the responses to the next
    /// calls on it.
    Repeat {
        /// Number of calls affected.
        calls: u32,
    },
    /// The next calls take longer.
    Slow {
        /// Additional time in milliseconds.
        ms: u64,
        /// Number of calls affected.
        calls: u32,
    },
    /// Clears all pending faults.
    Clear,
}

/// Effects and observations of a service, which tests assert on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ledger {
    /// Number of effects by idempotency key; calls without a key aren't counted here.
    pub keys: IndexMap<String, u32>,
    /// Number of effects by request id, from the `x-request-id` header.
    pub requests: IndexMap<String, u32>,
    /// Number of effects by request body.
    pub bodies: IndexMap<String, u32>,
    /// Total number of effects.
    pub effects: u64,
    /// Names of the request headers seen, in lower case.
    pub headers: IndexSet<String>,
    /// Calls that contained one of the configured secrets.
    pub leaks: u64,
}

impl Ledger {
    /// Idempotency keys with more than one effect.
    pub fn repeated_keys(&self) -> Vec<&str> {
        let repeated = self.keys.iter().filter(|(_, count)| **count > 1);
        repeated.map(|(key, _)| key.as_str()).collect()
    }
}

/// A fault that applies to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallFault {
    SilentAfter,
    SilentBefore,
    ErrorAfter,
    CutAfter,
    Slow(Duration),
}

#[derive(Debug)]
struct Service {
    settings: Settings,
    /// Faults of the next calls, in order; each applies to one call.
    call_faults: Mutex<Vec<CallFault>>,
    ledger: Mutex<Ledger>,
    relay: OnceLock<tcp::Relay>,
}

/// Handle of a running service, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    service: Arc<Service>,
    server: corianderyoke_http::Running,
}

/// Starts a service and returns once it listens.
pub async fn serve(settings: Settings) -> Result<Running> {
    let listen = settings.listen;
    let service = Arc::new(Service {
        settings,
        call_faults: Mutex::default(),
        ledger: Mutex::default(),
        relay: OnceLock::new(),
    });
    let rocket = http::rocket()
        .manage(Arc::clone(&service))
        .attach(http::echo_request_id())
        .mount("/", rocket::routes![set_fault, report_ledger])
        .mount("/", EffectHandler::routes(&service));
    let server = corianderyoke_http::launch(rocket, http::loopback()).await?;
    let target = server.address;
    let relay = tcp::Relay::start(tcp::Settings { listen, target, ..Default::default() }).await?;
    let address = relay.address();
    let _ = service.relay.set(relay);
    Ok(Running { address, service, server })
}

impl Running {
    /// The address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault.
    pub fn fault(&self, fault: Fault) {
        self.service.inject_fault(fault);
    }

    /// A snapshot of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.service.ledger.lock().clone()
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        if let Some(relay) = self.service.relay.get() {
            relay.stop();
        }
        self.server.notify();
    }

    /// Waits until the listener and all connections are closed, after [`Running::stop`].
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
    fn inject_fault(&self, fault: Fault) {
        let (call_fault, calls) = match fault {
            Fault::SilentAfter { calls } => (CallFault::SilentAfter, calls),
            Fault::SilentBefore { calls } => (CallFault::SilentBefore, calls),
            Fault::ErrorAfter { calls } => (CallFault::ErrorAfter, calls),
            Fault::CutAfter { calls } => (CallFault::CutAfter, calls),
            Fault::Slow { ms, calls } => (CallFault::Slow(Duration::from_millis(ms)), calls),
            Fault::Repeat { calls } => return self.repeat_responses(calls),
            Fault::Clear => {
                self.call_faults.lock().clear();
                return self.repeat_responses(0);
            }
        };
        self.call_faults.lock().extend((0..calls).map(|_| call_fault));
    }

    fn repeat_responses(&self, calls: u32) {
        if let Some(relay) = self.relay.get() {
            relay.repeat_before_next(calls);
        }
    }

    fn next_call_fault(&self) -> Option<CallFault> {
        let mut call_faults = self.call_faults.lock();
        (!call_faults.is_empty()).then(|| call_faults.remove(0))
    }

    /// Records an effect of a call and returns its number.
    fn record_effect(&self, meta: &RequestMeta, body: &str) -> u64 {
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

    /// Records the names of headers, and counts calls that contain a secret.
    fn record_contents(&self, meta: &RequestMeta, body: &str) {
        let mut ledger = self.ledger.lock();
        ledger.headers.extend(meta.headers.keys().cloned());
        let contains_secret = |secret: &String| {
            body.contains(secret) || meta.headers.values().any(|value| value.contains(secret))
        };
        if self.settings.secrets.iter().any(contains_secret) {
            ledger.leaks += 1;
        }
    }

    /// Sets the flow of the connection that a call came on, and of no other.
    fn set_flow(&self, meta: &RequestMeta, flow: Flow) {
        if let (Some(relay), Some(remote)) = (self.relay.get(), meta.remote) {
            relay.set_one(remote, flow);
        }
    }

    async fn handle_call(&self, meta: &RequestMeta, body: &str) -> (Status, Json<Value>) {
        self.record_contents(meta, body);
        let call_fault = self.next_call_fault();
        if call_fault == Some(CallFault::SilentBefore) {
            self.set_flow(meta, Flow::Silent);
            return (Status::Ok, Json(Value::Null));
        }
        sleep(self.settings.work_time).await;
        if let Some(CallFault::Slow(delay)) = call_fault {
            sleep(delay).await;
        }
        let effect = self.record_effect(meta, body);
        let status = match call_fault {
            Some(CallFault::ErrorAfter) => Status::InternalServerError,
            _ => Status::Ok,
        };
        match call_fault {
            Some(CallFault::SilentAfter) => self.set_flow(meta, Flow::Silent),
            Some(CallFault::CutAfter) => self.set_flow(meta, Flow::Cut),
            _ => {}
        }
        (status, Json(json!({"effect": effect})))
    }
}

/// Handler of all paths other than the stand-in's own routes.
#[derive(Clone)]
struct EffectHandler(Arc<Service>);

impl EffectHandler {
    /// Rank below the stand-in's own two routes, so that those match first.
    const ROUTE_RANK: isize = 10;

    fn routes(service: &Arc<Service>) -> Vec<Route> {
        let methods = [Method::Get, Method::Post, Method::Put, Method::Patch, Method::Delete];
        let handler = EffectHandler(Arc::clone(service));
        let route = |method| Route::ranked(Self::ROUTE_RANK, method, "/<_..>", handler.clone());
        methods.into_iter().map(route).collect()
    }
}

#[rocket::async_trait]
impl Handler for EffectHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Ok(body) = data.open(MAX_BODY_MEBIBYTES.mebibytes()).into_string().await else {
            return Outcome::error(Status::BadRequest);
        };
        let meta = RequestMeta::new(request);
        Outcome::from(request, self.0.handle_call(&meta, &body).await)
    }
}

#[rocket::post("/faults", data = "<fault>")]
fn set_fault(service: &State<Arc<Service>>, fault: Json<Fault>) -> Json<Value> {
    service.inject_fault(*fault);
    Json(json!({"ordered": true}))
}

#[rocket::get("/ledger")]
fn report_ledger(service: &State<Arc<Service>>) -> Json<Ledger> {
    Json(service.ledger.lock().clone())
}
