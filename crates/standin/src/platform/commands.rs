//! Requests that write, and orders of faults.

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

use super::answer::failure;
use super::answer::Result;

type Shared = State<Arc<Store>>;

/// The routes of this module.
pub(super) fn routes() -> Vec<Route> {
    routes![transact, put_object, set_instances, order, clear]
}

#[post("/transact", data = "<transaction>")]
async fn transact(
    transaction: Json<Transaction>,
    from: SocketAddr,
    store: &Shared,
) -> Result<Json<Commit>> {
    store.transact(&transaction, Some(from)).await.map(Json).map_err(failure)
}

#[put("/object?<name>", data = "<body>")]
async fn put_object(name: &str, body: Vec<u8>, from: SocketAddr, store: &Shared) -> Result<Status> {
    store.put_object(name, body, Some(from)).await.map_err(failure)?;
    Ok(Status::Ok)
}

#[post("/instances", data = "<list>")]
fn set_instances(list: Json<InstanceList>, store: &Shared) -> Status {
    store.set_instances(list.into_inner().instances);
    Status::Ok
}

#[post("/faults", data = "<order>")]
fn order(order: Json<Order>, store: &Shared) -> Status {
    store.faults().order(order.into_inner());
    Status::Ok
}

#[delete("/faults")]
fn clear(store: &Shared) -> Status {
    store.faults().clear();
    Status::Ok
}
