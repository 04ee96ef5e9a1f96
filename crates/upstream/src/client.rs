//! HTTP connections to upstreams.
//!
//! Each upstream has its own connection pool for requests whose responses carry their id. When a call
//! times out, the client drops the whole pool, since the cause may affect the idle connections as
//! well.
//!
//! An upstream may write a response once more on a kept connection. The pool's connections therefore
//! carry each id at most once, so that a response with an id belongs to the request that was sent
//! with it last.

use std::hash::BuildHasher;
use std::hash::RandomState;
use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use reqwest::redirect::Policy;
use reqwest::ClientBuilder;
use reqwest::Response;

use crate::error::describe;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::settings::Settings;

/// Client of engines and services.
#[derive(Debug)]
pub struct Client {
    pub(crate) settings: Settings,
    /// HTTP client that opens a new connection for each call.
    pub(crate) unpooled: reqwest::Client,
    pools: Mutex<IndexMap<SocketAddr, Pool>>,
    id_hasher: RandomState,
}

/// Connections to one upstream that are kept between requests.
#[derive(Debug)]
struct Pool {
    connections: reqwest::Client,
    /// Hashes of the ids of all requests that were sent on these connections.
    ids: IndexSet<u64>,
}

impl Client {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library can't be initialized.
    pub fn new(settings: Settings) -> Result<Self> {
        let unpooled = build_client(client_builder(&settings).pool_max_idle_per_host(0))?;
        let (pools, id_hasher) = (Mutex::default(), RandomState::new());
        Ok(Client { settings, unpooled, pools, id_hasher })
    }

    /// Returns an HTTP client for a request with this id to the upstream at `address`. None of its
    /// connections has carried the id before.
    pub(crate) fn connections(&self, address: SocketAddr, id: &str) -> Result<reqwest::Client> {
        let id = self.id_hasher.hash_one(id);
        let mut pools = self.pools.lock();
        if let Some(pool) = pools.get_mut(&address) {
            if pool.ids.contains(&id) {
                return Ok(self.unpooled.clone());
            }
            if pool.ids.len() < self.settings.pool_requests {
                pool.ids.insert(id);
                return Ok(pool.connections.clone());
            }
        }
        let connections = build_client(
            client_builder(&self.settings)
                .pool_max_idle_per_host(self.settings.idle_connections)
                .pool_idle_timeout(self.settings.idle_timeout),
        )?;
        if pools.len() >= self.settings.max_pools && !pools.contains_key(&address) {
            pools.shift_remove_index(0);
        }
        let pool = Pool { connections: connections.clone(), ids: IndexSet::from([id]) };
        pools.insert(address, pool);
        Ok(connections)
    }

    /// Drops the connection pool of the upstream at `address`.
    pub fn discard(&self, address: SocketAddr) {
        self.pools.lock().shift_remove(&address);
    }
}

fn client_builder(settings: &Settings) -> ClientBuilder {
    reqwest::Client::builder()
        .connect_timeout(settings.connect_timeout)
        .http1_only()
        .no_proxy()
        .redirect(Policy::none())
        .referer(false)
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
}

fn build_client(builder: ClientBuilder) -> Result<reqwest::Client> {
    builder.build().map_err(|error| Error::not_run(Kind::Invalid(describe(&error))))
}

/// Reads a whole body; fails if it exceeds `limit` bytes.
pub(crate) async fn read_body(mut response: Response, limit: usize) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) if body.len() + bytes.len() > limit => {
                return Err(Error::unknown(Kind::TooLong { limit }));
            }
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            Ok(None) => return Ok(body),
            Err(error) => return Err(Error::unknown(Kind::Broken(describe(&error)))),
        }
    }
}
