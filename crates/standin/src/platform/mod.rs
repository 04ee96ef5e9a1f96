//! A stand-in for the platform, which serves tables, objects and the instance list over HTTP.
//!
//! [`Store`] implements the behavior; this module is its HTTP server. Besides the routes of
//! [`corianderyoke_platform::protocol`] it serves `POST /faults` (an [`Order`]), `DELETE /faults`,
//! `POST /instances` (the actual list, which reads return after a lag) and `GET /counters`.
//!
//! [`Order`]: corianderyoke_platform::faults::Order

mod answer;
mod commands;
mod queries;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use corianderyoke_http::Running;
use corianderyoke_platform::protocol::InstanceList;
use corianderyoke_platform::store::Settings as StoreSettings;
use corianderyoke_platform::store::Store;
use rocket::data::Limits;
use rocket::data::ToByteUnit;
use rocket::Config;
use serde::Deserialize;
use serde::Serialize;

/// Maximum size of a transaction or object, in mebibytes.
const MAX_BODY_MEBIBYTES: u64 = 16;

/// Result of starting the stand-in.
pub type Result<T> = std::result::Result<T, corianderyoke_http::Error>;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Rate limits and lag of the store.
    pub store: StoreSettings,
    /// The initial instance list, visible to reads after the store's lag.
    pub instances: InstanceList,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            store: StoreSettings::default(),
            instances: InstanceList::default(),
        }
    }
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct Server {
    /// The HTTP server and its bound address.
    pub running: Running,
    /// The store behind the server, for tests in the same process.
    pub store: Arc<Store>,
}

/// Starts a platform stand-in and returns once it listens.
pub async fn serve(settings: Settings) -> Result<Server> {
    let store = Arc::new(Store::new(settings.store));
    if !settings.instances.instances.is_empty() {
        store.set_instances(settings.instances.instances);
    }
    let max_body = MAX_BODY_MEBIBYTES.mebibytes();
    let limits = Limits::default().limit("json", max_body).limit("bytes", max_body);
    let config = Config { limits, ..corianderyoke_http::config(settings.listen) };
    let rocket = rocket::custom(config)
        .manage(store.clone())
        .mount("/", queries::routes())
        .mount("/", commands::routes())
        .register("/", answer::catchers());
    let running = corianderyoke_http::launch(rocket, settings.listen).await?;
    Ok(Server { running, store })
}
