//! HTTP connections to upstreams.
//!
//! Each upstream has its own connection pool. When a call times out, the client drops the whole
//! pool, since the cause may affect the idle connections as well.

use std::net::SocketAddr;

use indexmap::IndexMap;
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
    pools: Mutex<IndexMap<SocketAddr, reqwest::Client>>,
}

impl Client {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library can't be initialized.
    pub fn new(settings: Settings) -> Result<Self> {
        let unpooled = build_client(client_builder(&settings).pool_max_idle_per_host(0))?;
        Ok(Client { settings, unpooled, pools: Mutex::default() })
    }

    /// Returns the pool of the upstream at `address` and creates it if missing.
    pub(crate) fn pool(&self, address: SocketAddr) -> Result<reqwest::Client> {
        let mut pools = self.pools.lock();
        if let Some(pool) = pools.get(&address) {
            return Ok(pool.clone());
        }
        let pool = build_client(
            client_builder(&self.settings)
                .pool_max_idle_per_host(self.settings.idle_connections)
                .pool_idle_timeout(self.settings.idle_timeout),
        )?;
        if pools.len() >= self.settings.max_pools {
            pools.shift_remove_index(0);
        }
        pools.insert(address, pool.clone());
        Ok(pool)
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
