//! Orders to engines, and what engines report about themselves.

use std::net::SocketAddr;

use indexmap::IndexMap;
use reqwest::RequestBuilder;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::timeout;

use crate::chunk::Refusal;
use crate::client::read_body;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::error::Wait;
use crate::Client;

/// What an order asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Load a model.
    Load,
    /// Unload a model with its adapters.
    Unload,
    /// Load an adapter of a loaded model.
    LoadAdapter,
    /// Unload an adapter.
    UnloadAdapter,
}

/// An order about models; idempotent per model and adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Order id.
    pub order: String,
    /// What to do.
    pub op: Op,
    /// Model.
    pub model: String,
    /// Adapter, for the two operations on adapters.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Bytes that the model or adapter takes.
    pub bytes: u64,
    /// Fencing token.
    pub fence: u64,
}

/// What an engine answers to an order that reached it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It carries the order out, or had done so before.
    Accepted,
    /// It has seen a newer fencing token.
    StaleFence,
    /// It hasn't the memory.
    Overcommit,
    /// It refuses for another reason.
    Refused {
        /// HTTP status.
        status: u16,
        /// Code in the body.
        code: String,
    },
}

/// State of a model in an engine's memory.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// Being loaded; its bytes are taken.
    Loading,
    /// Serves requests.
    Loaded,
    /// Serves no new requests; its bytes are still taken.
    Unloading,
}

/// A model in an engine's memory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Model name.
    pub model: String,
    /// State.
    pub state: ModelState,
    /// Bytes that it takes.
    pub bytes: u64,
    /// Adapters loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Where a checkpoint lies.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// In the instance's main memory.
    Memory,
    /// On the instance's disk.
    Disk,
    /// In the weight store only.
    Remote,
}

/// State of an engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// Memory for models in bytes.
    pub memory_bytes: u64,
    /// Bytes taken, by what loads and unloads too.
    pub used_bytes: u64,
    /// Highest fencing token seen.
    pub fence: u64,
    /// Models in memory.
    pub models: Vec<Model>,
    /// Tier of each checkpoint.
    #[serde(default)]
    pub checkpoints: IndexMap<String, Tier>,
}

/// Load of an engine, which lags.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Age of the figures in milliseconds.
    pub age_ms: u64,
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Time of a token in milliseconds.
    pub token_ms: f64,
}

/// Body of a cancellation.
#[derive(Serialize)]
struct Cancel<'a> {
    request_id: &'a str,
}

/// Status and body of an answer.
struct Raw {
    status: u16,
    body: Vec<u8>,
}

impl Client {
    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Only where no answer came; by its outcome the order may have taken effect, and may be sent
    /// again.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<Reply> {
        let url = format!("http://{address}/orders");
        let request = self.pool(address)?.post(url).json(order);
        let raw = self.control(address, request).await?;
        if raw.status == 202 {
            return Ok(Reply::Accepted);
        }
        let code = serde_json::from_slice::<Refusal>(&raw.body).unwrap_or_default().error.code;
        Ok(match (raw.status, code.as_str()) {
            (409, "stale_fence") => Reply::StaleFence,
            (507, _) => Reply::Overcommit,
            (status, _) => Reply::Refused { status, code },
        })
    }

    /// Reads an engine's state.
    pub async fn state(&self, address: SocketAddr) -> Result<State> {
        self.read(address, "/state").await
    }

    /// Reads an engine's load.
    pub async fn load(&self, address: SocketAddr) -> Result<Load> {
        self.read(address, "/load").await
    }

    /// Cancels a request at an engine; done also where the engine doesn't know it.
    pub async fn cancel(&self, address: SocketAddr, request_id: &str) -> Result<()> {
        let url = format!("http://{address}/cancel");
        let request = self.pool(address)?.post(url).json(&Cancel { request_id });
        let raw = self.control(address, request).await?;
        accept(&raw)
    }

    async fn read<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T> {
        let request = self.pool(address)?.get(format!("http://{address}{path}"));
        let raw = self.control(address, request).await?;
        accept(&raw)?;
        serde_json::from_slice(&raw.body)
            .map_err(|error| Error::unknown(Kind::Malformed(error.to_string())))
    }

    async fn control(&self, address: SocketAddr, request: RequestBuilder) -> Result<Raw> {
        let exchange = async {
            let response = request.send().await.map_err(|error| Error::of_send(&error))?;
            let status = response.status().as_u16();
            let body = read_body(response, self.settings.body_bytes).await?;
            Ok(Raw { status, body })
        };
        let result = timeout(self.settings.control_timeout, exchange).await;
        result.unwrap_or_else(|_| {
            self.discard(address);
            Err(Error::unknown(Kind::Timeout(Wait::First)))
        })
    }
}

fn accept(raw: &Raw) -> Result<()> {
    if (200..300).contains(&raw.status) {
        return Ok(());
    }
    let code = serde_json::from_slice::<Refusal>(&raw.body).unwrap_or_default().error.code;
    Err(Error::unknown(Kind::Refused { status: raw.status, code }))
}
