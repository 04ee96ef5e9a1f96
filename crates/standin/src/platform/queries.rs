//! Handlers of reads.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderyoke_platform::protocol::InstanceList;
use corianderyoke_platform::protocol::RowAnswer;
use corianderyoke_platform::protocol::RowsAnswer;
use corianderyoke_platform::store::Counters;
use corianderyoke_platform::store::Store;
use rocket::get;
use rocket::http::Status;
use rocket::routes;
use rocket::serde::json::Json;
use rocket::Route;
use rocket::State;

use super::answer::error_response;
use super::answer::Result;

type SharedStore = State<Arc<Store>>;

/// The routes of this module.
pub(super) fn routes() -> Vec<Route> {
    routes![row, rows, object, instances, counters]
}

#[get("/row?<table>&<key>")]
async fn row(
    table: &str,
    key: &str,
    caller: SocketAddr,
    store: &SharedStore,
) -> Result<Json<RowAnswer>> {
    let row = store.get(table, key, Some(caller)).await.map_err(error_response)?;
    Ok(Json(RowAnswer { row }))
}

#[get("/rows?<table>&<from>&<to>")]
async fn rows(
    table: &str,
    from: &str,
    to: &str,
    caller: SocketAddr,
    store: &SharedStore,
) -> Result<Json<RowsAnswer>> {
    let rows = store.scan(table, from, to, Some(caller)).await.map_err(error_response)?;
    Ok(Json(RowsAnswer { count: rows.len(), rows }))
}

#[get("/object?<name>")]
async fn object(name: &str, caller: SocketAddr, store: &SharedStore) -> Result<(Status, Vec<u8>)> {
    let object = store.object(name, Some(caller)).await.map_err(error_response)?;
    Ok(match object {
        Some(body) => (Status::Ok, body),
        None => (Status::NoContent, Vec::new()),
    })
}

#[get("/instances")]
async fn instances(caller: SocketAddr, store: &SharedStore) -> Result<Json<InstanceList>> {
    let instances = store.instances(Some(caller)).await.map_err(error_response)?;
    Ok(Json(InstanceList { instances }))
}

#[get("/counters")]
fn counters(store: &SharedStore) -> Json<Counters> {
    Json(store.counters())
}
