//! HTTP endpoints of an engine.

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
use super::generate;
use super::generate::Call;
use super::generate::Refused;
use super::ledger;
use super::ledger::Change;
use super::ledger::Ledger;
use super::load::Load;
use super::models::Op;
use super::models::Order;
use super::models::Refusal;
use super::models::Work;
use super::requests::Body;
use super::requests::Style;
use super::server::Engine;
use super::settings::Tier;
use crate::http;
use crate::http::Meta;

/// How often a model that is being unloaded is looked at for users.
const UNLOAD_POLL: Duration = Duration::from_millis(5);

/// The HTTP server of an engine, not started.
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
    http::rocket().manage(engine).attach(http::echo()).mount("/", routes)
}

/// A refusal as a status and a code.
type Refuse = (Status, Json<Value>);

fn refuse(status: Status, code: &str) -> Refuse {
    (status, Json(json!({"error": {"code": code}})))
}

/// The streamed answer to a request.
struct Answer {
    events: mpsc::UnboundedReceiver<String>,
}

impl<'r> Responder<'r, 'r> for Answer {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'r> {
        let events = futures::stream::unfold(self.events, |mut events| async move {
            events.recv().await.map(|event| (event.into_bytes(), events))
        });
        Response::build_from(ByteStream(Box::pin(events)).respond_to(request)?)
            .header(ContentType::EventStream)
            .ok()
    }
}

#[rocket::post("/v1/completions", data = "<body>")]
fn completions(engine: &State<Arc<Engine>>, meta: Meta, body: &str) -> Result<Answer, Refuse> {
    generate_answer(engine, meta, body, Style::Completion)
}

#[rocket::post("/v1/chat/completions", data = "<body>")]
fn chat(engine: &State<Arc<Engine>>, meta: Meta, body: &str) -> Result<Answer, Refuse> {
    generate_answer(engine, meta, body, Style::Chat)
}

fn generate_answer(
    engine: &Arc<Engine>,
    meta: Meta,
    text: &str,
    style: Style,
) -> Result<Answer, Refuse> {
    engine.inspect(&meta, text);
    let body = serde_json::from_str::<Body>(text)
        .map_err(|_| refuse(Status::BadRequest, "invalid_body"))?;
    let Some(request_id) = meta.header("x-request-id").map(str::to_owned) else {
        return Err(refuse(Status::BadRequest, "no_request_id"));
    };
    let call = Call { request_id, remote: meta.remote, style, body };
    match generate::start(engine, call) {
        Ok(events) => Ok(Answer { events }),
        Err(Refused::NotLoaded) => Err(refuse(Status::NotFound, "not_loaded")),
        Err(Refused::Unavailable) => Err(refuse(Status::ServiceUnavailable, "unavailable")),
        Err(Refused::Busy) => Err(refuse(Status::ServiceUnavailable, "busy")),
    }
}

/// Body of `POST /cancel`.
#[derive(Deserialize)]
struct Cancel {
    request_id: String,
}

#[rocket::post("/cancel", data = "<body>")]
fn cancel(engine: &State<Arc<Engine>>, body: Json<Cancel>) -> Json<Value> {
    let count = engine.cancel_where(|job| job.request_id == body.request_id);
    Json(json!({"cancelled": count}))
}

#[rocket::get("/load")]
fn report_load(engine: &State<Arc<Engine>>) -> Json<Load> {
    Json(engine.load.lock().report(engine.settings.load_lag))
}

#[rocket::get("/state")]
fn report_state(engine: &State<Arc<Engine>>) -> Json<Value> {
    let models = engine.models.lock();
    let held = models.held.iter().map(|(model, held)| {
        let adapters = held.adapters.iter().filter(|(_, adapter)| adapter.loaded);
        let adapters = adapters.map(|(name, _)| name.clone()).collect::<Vec<_>>();
        json!({"model": model, "state": held.state, "bytes": held.bytes, "adapters": adapters})
    });
    Json(json!({
        "memory_bytes": engine.settings.memory_bytes,
        "used_bytes": models.used(),
        "fence": models.fence,
        "models": held.collect::<Vec<_>>(),
        "checkpoints": models.tiers,
    }))
}

#[rocket::post("/orders", data = "<order>")]
fn order(
    engine: &State<Arc<Engine>>,
    meta: Meta,
    order: Json<Order>,
) -> Result<(Status, Json<Value>), Refuse> {
    engine.inspect(&meta, "{}");
    let order = order.into_inner();
    let (work, used) = {
        let mut models = engine.models.lock();
        let work = models.order(&engine.settings, &order);
        (work, models.used())
    };
    match work {
        Ok(work) => {
            engine.carry_out(order, work, used);
            Ok((Status::Accepted, Json(json!({"accepted": true}))))
        }
        Err(Refusal::StaleFence) => {
            engine.ledger.lock().stale_orders += 1;
            Err(refuse(Status::Conflict, "stale_fence"))
        }
        Err(Refusal::Overcommit) => {
            engine.ledger.lock().overcommits += 1;
            Err(refuse(Status::InsufficientStorage, "overcommit"))
        }
        Err(Refusal::UnknownModel) => Err(refuse(Status::NotFound, "unknown_model")),
        Err(Refusal::Unloading) => Err(refuse(Status::Conflict, "unloading")),
    }
}

#[rocket::post("/faults", data = "<fault>")]
fn set_fault(engine: &State<Arc<Engine>>, meta: Meta, fault: Json<Fault>) -> Json<Value> {
    engine.fault(&fault, meta.remote);
    Json(json!({"ordered": true}))
}

#[rocket::get("/ledger")]
fn report_ledger(engine: &State<Arc<Engine>>) -> Json<Ledger> {
    Json(engine.ledger.lock().clone())
}

impl Engine {
    /// Notes the names of headers and fields, and requests that carry a secret.
    fn inspect(&self, meta: &Meta, body: &str) {
        let fields = serde_json::from_str::<serde_json::Map<String, Value>>(body);
        let mut ledger = self.ledger.lock();
        ledger.headers.extend(meta.headers.keys().cloned());
        ledger.fields.extend(fields.unwrap_or_default().keys().cloned());
        let carries = |secret: &String| {
            body.contains(secret) || meta.headers.values().any(|value| value.contains(secret))
        };
        if self.settings.secrets.iter().any(carries) {
            ledger.leaks += 1;
        }
    }

    /// Notes an accepted order and starts the work that follows from it.
    fn carry_out(self: &Arc<Self>, order: Order, work: Work, used: u64) {
        let mut ledger = self.ledger.lock();
        ledger.peak_bytes = ledger.peak_bytes.max(used);
        let unloads = matches!(order.op, Op::UnloadAdapter);
        if work == Work::None && !unloads {
            return;
        }
        let now = ledger::micros(self.start);
        let op = serde_json::to_value(order.op).unwrap_or_default();
        ledger.changes.push(Change {
            start_us: now,
            done_us: (work == Work::None).then_some(now),
            order: order.order.clone(),
            op: op.as_str().unwrap_or_default().to_owned(),
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            fence: order.fence,
        });
        let change = ledger.changes.len() - 1;
        drop(ledger);
        if work != Work::None {
            tokio::spawn(work_off(Arc::clone(self), order, work, change));
        }
    }
}

/// Does the work of an order and notes its end.
async fn work_off(engine: Arc<Engine>, order: Order, work: Work, change: usize) {
    let times = engine.settings.times;
    match work {
        Work::None => {}
        Work::Load(tier, generation) => {
            let dies = std::mem::take(&mut engine.faults.lock().die_in_load);
            if dies {
                engine.die();
                return;
            }
            match tier {
                Tier::Memory => sleep(times.memory).await,
                Tier::Disk => sleep(times.disk).await,
                Tier::Remote => engine.settings.weights.load().await,
            }
            engine.models.lock().finish_load(&order.model, generation);
        }
        Work::Unload(generation) => {
            while engine.models.lock().has_users(&order.model, generation) {
                sleep(UNLOAD_POLL).await;
            }
            sleep(times.unload).await;
            engine.models.lock().finish_unload(&order.model, generation);
        }
        Work::LoadAdapter(generation) => {
            engine.settings.weights.load_adapter().await;
            let adapter = order.adapter.as_deref().unwrap_or_default();
            engine.models.lock().finish_adapter(&order.model, adapter, generation);
        }
    }
    engine.ledger.lock().changes[change].done_us = Some(ledger::micros(engine.start));
}
