//! Handlers of writes and of fault injection.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderyoke_platform::faults::Order;
use corianderyoke_platform::protocol::InstanceList;
use corianderyoke_platform::store::Store;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Transaction;
use rocket::delete;
use rocket::http::Status;
use rocket::post;
use rocket::put;
use rocket::routes;
use rocket::serde::json::Json;
use rocket::Route;
use rocket::State;

use super::answer::error_response;
use super::answer::Result;

type SharedStore = State<Arc<Store>>;

/// The routes of this module.
pub(super) fn routes() -> Vec<Route> {
    routes![transact, put_object, set_instances, inject_fault, clear_faults]
}

#[post("/transact", data = "<transaction>")]
async fn transact(
    transaction: Json<Transaction>,
    caller: SocketAddr,
    store: &SharedStore,
) -> Result<Json<Commit>> {
    store.transact(&transaction, Some(caller)).await.map(Json).map_err(error_response)
}

#[put("/object?<name>", data = "<body>")]
async fn put_object(
    name: &str,
    body: Vec<u8>,
    caller: SocketAddr,
    store: &SharedStore,
) -> Result<Status> {
    store.put_object(name, body, Some(caller)).await.map_err(error_response)?;
    Ok(Status::Ok)
}

#[post("/instances", data = "<list>")]
fn set_instances(list: Json<InstanceList>, store: &SharedStore) -> Status {
    store.set_instances(list.into_inner().instances);
    Status::Ok
}

#[post("/faults", data = "<order>")]
fn inject_fault(order: Json<Order>, store: &SharedStore) -> Status {
    store.faults().order(order.into_inner());
    Status::Ok
}

#[delete("/faults")]
fn clear_faults(store: &SharedStore) -> Status {
    store.faults().clear();
    Status::Ok
}
