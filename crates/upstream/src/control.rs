//! Control calls to engines: load and unload orders, cancellation, state and load reports.
//!
//! Their responses name no request, so each call uses a new connection, on which no response to an
//! earlier call can arrive.

use std::net::SocketAddr;

use indexmap::IndexMap;
use reqwest::RequestBuilder;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::timeout;

use crate::chunk::error_code;
use crate::client::read_body;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::error::TimeoutPhase;
use crate::Client;

/// Operation of an order.
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

/// An order to load or unload a model or adapter; idempotent per model and adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Order id, chosen by the sender.
    pub order: String,
    /// Operation to carry out.
    pub op: Op,
    /// Model.
    pub model: String,
    /// Adapter; absent for the operations on models.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Memory of the model or adapter in bytes.
    pub bytes: u64,
    /// Fencing token; engines that check it reject one lower than the highest seen.
    pub fence: u64,
}

/// An engine's response to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The engine carries out the order, or has already done so.
    Accepted,
    /// The engine has seen a newer fencing token.
    StaleFence,
    /// The engine lacks the memory.
    Overcommit,
    /// The engine rejects the order for another reason.
    Refused {
        /// HTTP status.
        status: u16,
        /// Error code in the body; empty if there is none.
        code: String,
    },
}

/// State of a model in an engine's memory.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// Loading; its memory is reserved.
    Loading,
    /// Serves requests.
    Loaded,
    /// Unloading: rejects new requests; its memory is still in use.
    Unloading,
}

/// A model in an engine's memory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Model name.
    pub model: String,
    /// Loading state.
    pub state: ModelState,
    /// Memory in bytes.
    pub bytes: u64,
    /// Names of the loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Storage tier of a checkpoint.
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

/// Memory, models and checkpoints that an engine reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// Memory available to models, in bytes.
    pub memory_bytes: u64,
    /// Memory in use in bytes, including models that are loading or unloading.
    pub used_bytes: u64,
    /// Highest fencing token that the engine has seen.
    pub fence: u64,
    /// Models in memory.
    pub models: Vec<Model>,
    /// Tier of each checkpoint.
    #[serde(default)]
    pub checkpoints: IndexMap<String, Tier>,
}

/// Load that an engine reports, sampled `age_ms` ago.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Age of the sample in milliseconds.
    pub age_ms: u64,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Time per token in milliseconds.
    pub token_ms: f64,
}

/// Body of a cancel request.
#[derive(Serialize)]
struct Cancel<'a> {
    request_id: &'a str,
}

/// Status and body of a response.
struct RawResponse {
    status: u16,
    body: Vec<u8>,
}

impl Client {
    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// Fails only if no complete response arrives. Unless the outcome is
    /// [`Outcome::NotRun`](crate::Outcome::NotRun), the order may have taken effect. It can be sent
    /// again.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<Reply> {
        let url = format!("http://{address}/orders");
        let request = self.unpooled.post(url).json(order);
        let response = self.send_control(address, request).await?;
        if response.status == 202 {
            return Ok(Reply::Accepted);
        }
        let code = error_code(&response.body);
        Ok(match (response.status, code.as_str()) {
            (409, "stale_fence") => Reply::StaleFence,
            (507, _) => Reply::Overcommit,
            (status, _) => Reply::Refused { status, code },
        })
    }

    /// Reads an engine's state.
    pub async fn state(&self, address: SocketAddr) -> Result<State> {
        self.get_json(address, "/state").await
    }

    /// Reads an engine's load.
    pub async fn load(&self, address: SocketAddr) -> Result<Load> {
        self.get_json(address, "/load").await
    }

    /// Cancels a request at an engine; succeeds if the engine doesn't know the request.
    pub async fn cancel(&self, address: SocketAddr, request_id: &str) -> Result<()> {
        let url = format!("http://{address}/cancel");
        let request = self.unpooled.post(url).json(&Cancel { request_id });
        let response = self.send_control(address, request).await?;
        check_status(&response)
    }

    async fn get_json<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T> {
        let request = self.unpooled.get(format!("http://{address}{path}"));
        let response = self.send_control(address, request).await?;
        check_status(&response)?;
        serde_json::from_slice(&response.body)
            .map_err(|error| Error::unknown(Kind::malformed(&error)))
    }

    async fn send_control(
        &self,
        address: SocketAddr,
        request: RequestBuilder,
    ) -> Result<RawResponse> {
        let exchange = async {
            let response = request.send().await.map_err(|error| Error::from_transport(&error))?;
            let status = response.status().as_u16();
            let body = read_body(response, self.settings.body_bytes).await?;
            Ok(RawResponse { status, body })
        };
        let result = timeout(self.settings.control_timeout, exchange).await;
        result.unwrap_or_else(|_| {
            self.discard(address);
            Err(Error::unknown(Kind::Timeout(TimeoutPhase::First)))
        })
    }
}

fn check_status(response: &RawResponse) -> Result<()> {
    if (200..300).contains(&response.status) {
        return Ok(());
    }
    let code = error_code(&response.body);
    Err(Error::unknown(Kind::Refused { status: response.status, code }))
}
