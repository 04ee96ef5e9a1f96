//! The operators' address of a daemon: metrics, liveness, readiness and status.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderyoke_http::Running;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use rocket::get;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::post;
use rocket::routes;
use rocket::serde::json::Json;
use rocket::serde::json::Value;
use rocket::State;

/// The state that a daemon serves at its operators' address.
pub trait Observed: Send + Sync {
    /// Whether the daemon can serve callers and peers now.
    fn ready(&self) -> bool;
    /// Name, revision in force and other state, as a JSON object.
    fn status(&self) -> Value;
    /// Makes the daemon read the configuration now instead of at its next poll.
    fn refresh(&self);
    /// Where a request of `team` for `model` would be routed now, and why, as JSON.
    fn explain(&self, team: &str, model: &str) -> Value;
}

type Daemon = Arc<dyn Observed>;

/// Serves `daemon` and the metrics of `registry` on `address`.
pub async fn serve(
    address: SocketAddr,
    daemon: Daemon,
    registry: Arc<Registry>,
) -> corianderyoke_http::Result<Running> {
    let rocket = rocket::custom(corianderyoke_http::config(address))
        .manage(daemon)
        .manage(registry)
        .mount("/", routes![livez, readyz, status, refresh, explain, metrics]);
    corianderyoke_http::launch(rocket, address).await
}

#[get("/livez")]
fn livez() -> &'static str {
    "live\n"
}

#[get("/readyz")]
fn readyz(daemon: &State<Daemon>) -> (Status, &'static str) {
    if daemon.ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

#[get("/status")]
fn status(daemon: &State<Daemon>) -> Json<Value> {
    Json(daemon.status())
}

#[post("/refresh")]
fn refresh(daemon: &State<Daemon>) -> Status {
    daemon.refresh();
    Status::Accepted
}

#[get("/explain?<team>&<model>")]
fn explain(team: &str, model: &str, daemon: &State<Daemon>) -> Json<Value> {
    Json(daemon.explain(team, model))
}

#[get("/metrics")]
fn metrics(registry: &State<Arc<Registry>>) -> (ContentType, String) {
    let mut text = String::new();
    // Writing to a string can't fail, so an error comes from a collector. The page is then empty.
    if encode(&mut text, registry).is_err() {
        text.clear();
    }
    (ContentType::new("application", "openmetrics-text"), text)
}
