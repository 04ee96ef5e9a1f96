//! HTTP endpoints of an engine, and the actions that orders start.

use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;

use rocket::http::ContentType;
use rocket::http::Status;
use rocket::response::stream::ByteStream;
use rocket::response::Responder;
use rocket::response::Response;
use rocket::serde::json::Json;
use rocket::tokio;
use rocket::tokio::sync::mpsc;
use rocket::tokio::time::sleep;
use rocket::Build;
use rocket::Request;
use rocket::Rocket;
use rocket::State;
use serde::Deserialize;
use serde_json::json;
use serde_json::Value;

use super::faults::Fault;
use super::faults::Reply;
use super::generate;
use super::generate::AdmissionError;
use super::generate::Call;
use super::ledger;
use super::ledger::Ledger;
use super::ledger::OrderRecord;
use super::load::Load;
use super::models::Op;
use super::models::Order;
use super::models::OrderAction;
use super::models::OrderError;
use super::requests::Endpoint;
use super::requests::RequestBody;
use super::server::Engine;
use super::settings::Tier;
use crate::http;
use crate::http::RequestMeta;

/// Interval at which an unload checks whether requests still use the model.
const UNLOAD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Builds the HTTP server of an engine without launching it.
pub(crate) fn rocket(engine: Arc<Engine>) -> Rocket<Build> {
    let routes = rocket::routes![
        completions,
        chat,
        cancel,
        report_load,
        report_state,
        order,
        set_fault,
        report_ledger
    ];
    http::rocket().manage(engine).attach(http::echo_request_id()).mount("/", routes)
}

/// Status and JSON body of an error response.
type ErrorResponse = (Status, Json<Value>);

fn error_response(status: Status, code: &str) -> ErrorResponse {
    (status, Json(json!({"error": {"code": code}})))
}

/// The response to a generation request.
enum GenerationResponse {
    Stream(mpsc::UnboundedReceiver<String>),
    /// An injected response.
    Reply(Reply),
}

impl<'r> Responder<'r, 'r> for GenerationResponse {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'r> {
        let events = match self {
            GenerationResponse::Stream(events) => events,
            GenerationResponse::Reply(reply) => {
                return Response::build()
                    .status(Status::new(reply.status))
                    .raw_header("content-type", reply.media)
                    .sized_body(reply.body.len(), Cursor::new(reply.body))
                    .ok();
            }
        };
        let events = futures::stream::unfold(events, |mut events| async move {
            events.recv().await.map(|event| (event.into_bytes(), events))
        });
        Response::build_from(ByteStream(Box::pin(events)).respond_to(request)?)
            .header(ContentType::EventStream)
            .ok()
    }
}

#[rocket::post("/v1/completions", data = "<body>")]
fn completions(
    engine: &State<Arc<Engine>>,
    meta: RequestMeta,
    body: &str,
) -> Result<GenerationResponse, ErrorResponse> {
    handle_generation(engine, meta, body, Endpoint::Completion)
}

#[rocket::post("/v1/chat/completions", data = "<body>")]
fn chat(
    engine: &State<Arc<Engine>>,
    meta: RequestMeta,
    body: &str,
) -> Result<GenerationResponse, ErrorResponse> {
    handle_generation(engine, meta, body, Endpoint::Chat)
}

/// Records and parses a generation request, and starts it.
fn handle_generation(
    engine: &Arc<Engine>,
    meta: RequestMeta,
    body_text: &str,
    endpoint: Endpoint,
) -> Result<GenerationResponse, ErrorResponse> {
    engine.record_contents(&meta, body_text);
    let body = serde_json::from_str::<RequestBody>(body_text)
        .map_err(|_| error_response(Status::BadRequest, "invalid_body"))?;
    let Some(request_id) = meta.header("x-request-id").map(str::to_owned) else {
        return Err(error_response(Status::BadRequest, "no_request_id"));
    };
    if let Some(reply) = engine.faults.lock().next_reply() {
        let body = reply.body.replace("{id}", &request_id);
        return Ok(GenerationResponse::Reply(Reply { body, ..reply }));
    }
    let call = Call { request_id, remote: meta.remote, endpoint, body };
    match generate::start_request(engine, call) {
        Ok(events) => Ok(GenerationResponse::Stream(events)),
        Err(AdmissionError::NotLoaded) => Err(error_response(Status::NotFound, "not_loaded")),
        Err(AdmissionError::Unavailable) => {
            Err(error_response(Status::ServiceUnavailable, "unavailable"))
        }
        Err(AdmissionError::Busy) => Err(error_response(Status::ServiceUnavailable, "busy")),
    }
}

/// Body of `POST /cancel`.
#[derive(Deserialize)]
struct Cancel {
    request_id: String,
}

#[rocket::post("/cancel", data = "<body>")]
fn cancel(engine: &State<Arc<Engine>>, body: Json<Cancel>) -> Json<Value> {
    let cancelled = engine.cancel_jobs(|job| job.request_id == body.request_id);
    Json(json!({"cancelled": cancelled}))
}

#[rocket::get("/load")]
fn report_load(engine: &State<Arc<Engine>>) -> Json<Load> {
    Json(engine.load.lock().lagged_load(engine.settings.load_lag))
}

#[rocket::get("/state")]
fn report_state(engine: &State<Arc<Engine>>) -> Json<Value> {
    let models = engine.models.lock();
    let listed = models.resident.iter().map(|(model, resident)| {
        let adapters = resident.adapters.iter().filter(|(_, adapter)| adapter.loaded);
        let adapters = adapters.map(|(name, _)| name.clone()).collect::<Vec<_>>();
        json!({
            "model": model,
            "state": resident.state,
            "bytes": resident.bytes,
            "adapters": adapters,
        })
    });
    Json(json!({
        "memory_bytes": engine.settings.memory_bytes,
        "used_bytes": models.used_bytes(),
        "fence": models.fence,
        "models": listed.collect::<Vec<_>>(),
        "checkpoints": models.tiers,
    }))
}

#[rocket::post("/orders", data = "<order>")]
fn order(
    engine: &State<Arc<Engine>>,
    meta: RequestMeta,
    order: Json<Order>,
) -> Result<(Status, Json<Value>), ErrorResponse> {
    engine.record_contents(&meta, "{}");
    let order = order.into_inner();
    let (action, used_bytes) = {
        let mut models = engine.models.lock();
        let action = models.order(&engine.settings, &order);
        (action, models.used_bytes())
    };
    match action {
        Ok(action) => {
            engine.start_order(order, action, used_bytes);
            Ok((Status::Accepted, Json(json!({"accepted": true}))))
        }
        Err(OrderError::StaleFence) => {
            engine.ledger.lock().stale_orders += 1;
            Err(error_response(Status::Conflict, "stale_fence"))
        }
        Err(OrderError::Overcommit) => {
            engine.ledger.lock().overcommits += 1;
            Err(error_response(Status::InsufficientStorage, "overcommit"))
        }
        Err(OrderError::UnknownModel) => Err(error_response(Status::NotFound, "unknown_model")),
        Err(OrderError::Unloading) => Err(error_response(Status::Conflict, "unloading")),
    }
}

#[rocket::post("/faults", data = "<fault>")]
fn set_fault(engine: &State<Arc<Engine>>, meta: RequestMeta, fault: Json<Fault>) -> Json<Value> {
    engine.inject_fault(&fault, meta.remote);
    Json(json!({"ordered": true}))
}

#[rocket::get("/ledger")]
fn report_ledger(engine: &State<Arc<Engine>>) -> Json<Ledger> {
    Json(engine.ledger.lock().clone())
}

impl Engine {
    /// Records the names of headers and body fields, and counts requests that contain a secret.
    fn record_contents(&self, meta: &RequestMeta, body: &str) {
        let fields = serde_json::from_str::<serde_json::Map<String, Value>>(body);
        let mut ledger = self.ledger.lock();
        ledger.headers.extend(meta.headers.keys().cloned());
        ledger.fields.extend(fields.unwrap_or_default().keys().cloned());
        let contains_secret = |secret: &String| {
            body.contains(secret) || meta.headers.values().any(|value| value.contains(secret))
        };
        if self.settings.secrets.iter().any(contains_secret) {
            ledger.leaks += 1;
        }
    }

    /// Records an accepted order and starts its action. `used_bytes` is the memory in use in bytes.
    fn start_order(self: &Arc<Self>, order: Order, action: OrderAction, used_bytes: u64) {
        let mut ledger = self.ledger.lock();
        ledger.peak_bytes = ledger.peak_bytes.max(used_bytes);
        let unloads_adapter = matches!(order.op, Op::UnloadAdapter);
        if action == OrderAction::None && !unloads_adapter {
            return;
        }
        let now = ledger::micros_since(self.started_at);
        let op = serde_json::to_value(order.op).unwrap_or_default();
        ledger.changes.push(OrderRecord {
            start_us: now,
            done_us: (action == OrderAction::None).then_some(now),
            order: order.order.clone(),
            op: op.as_str().unwrap_or_default().to_owned(),
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            fence: order.fence,
        });
        let index = ledger.changes.len() - 1;
        drop(ledger);
        if action != OrderAction::None {
            tokio::spawn(run_order_action(Arc::clone(self), order, action, index));
        }
    }
}

/// Runs the action of an order and records its completion.
async fn run_order_action(engine: Arc<Engine>, order: Order, action: OrderAction, index: usize) {
    let times = engine.settings.times;
    match action {
        OrderAction::None => {}
        OrderAction::Load(tier, generation) => {
            let crashes = std::mem::take(&mut engine.faults.lock().die_in_load);
            if crashes {
                engine.crash();
                return;
            }
            match tier {
                Tier::Memory => sleep(times.memory).await,
                Tier::Disk => sleep(times.disk).await,
                Tier::Remote => engine.settings.weights.load().await,
            }
            engine.models.lock().finish_load(&order.model, generation);
        }
        OrderAction::Unload(generation) => {
            while engine.models.lock().has_active_requests(&order.model, generation) {
                sleep(UNLOAD_POLL_INTERVAL).await;
            }
            sleep(times.unload).await;
            engine.models.lock().finish_unload(&order.model, generation);
        }
        OrderAction::LoadAdapter(generation) => {
            engine.settings.weights.load_adapter().await;
            let adapter = order.adapter.as_deref().unwrap_or_default();
            engine.models.lock().finish_adapter_load(&order.model, adapter, generation);
        }
    }
    engine.ledger.lock().changes[index].done_us = Some(ledger::micros_since(engine.started_at));
}
