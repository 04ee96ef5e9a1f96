//! The operators' address of a daemon: metrics, liveness, readiness and status.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderyoke_http::Running;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use rocket::get;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::routes;
use rocket::serde::json::Json;
use rocket::serde::json::Value;
use rocket::State;

/// What a daemon shows at its operators' address.
pub trait Observed: Send + Sync {
    /// Whether callers and peers may rely on it now.
    fn ready(&self) -> bool;
    /// Name, revision in force and other facts, as a JSON object.
    fn status(&self) -> Value;
    /// Where a request of `team` for `model` would go now and why.
    fn explain(&self, team: &str, model: &str) -> Value;
}

type Subject = Arc<dyn Observed>;

/// Serves `subject` and the metrics of `registry` on `address`.
pub async fn serve(
    address: SocketAddr,
    subject: Subject,
    registry: Arc<Registry>,
) -> corianderyoke_http::Result<Running> {
    let rocket = rocket::custom(corianderyoke_http::config(address))
        .manage(subject)
        .manage(registry)
        .mount("/", routes![livez, readyz, status, explain, metrics]);
    corianderyoke_http::launch(rocket, address).await
}

#[get("/livez")]
fn livez() -> &'static str {
    "live\n"
}

#[get("/readyz")]
fn readyz(subject: &State<Subject>) -> (Status, &'static str) {
    if subject.ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

#[get("/status")]
fn status(subject: &State<Subject>) -> Json<Value> {
    Json(subject.status())
}

#[get("/explain?<team>&<model>")]
fn explain(team: &str, model: &str, subject: &State<Subject>) -> Json<Value> {
    Json(subject.explain(team, model))
}

#[get("/metrics")]
fn metrics(registry: &State<Arc<Registry>>) -> (ContentType, String) {
    let mut text = String::new();
    // Writing to a string fails only when an encoder of ours does; an empty page shows that.
    if encode(&mut text, registry).is_err() {
        text.clear();
    }
    (ContentType::new("application", "openmetrics-text"), text)
}
