//! HTTP client of the platform.
//!
//! Each request has one timeout and is sent once. Retries are left to the caller, since only the
//! caller knows whether the request is idempotent. Responses name no request, so each request uses a
//! new connection, on which no response to an earlier one can arrive.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use reqwest::Body;
use reqwest::Client;
use reqwest::Request;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use serde::de::DeserializeOwned;

use crate::protocol;
use crate::protocol::ErrorAnswer;
use crate::protocol::InstanceList;
use crate::protocol::RowAnswer;
use crate::protocol::RowsAnswer;
use crate::Commit;
use crate::Error;
use crate::Instance;
use crate::Platform;
use crate::Result;
use crate::Row;
use crate::Transaction;

/// Settings of the client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Address of the platform as `ip:port`.
    pub address: String,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            address: "127.0.0.1:7400".to_owned(),
            timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_secs(1),
        }
    }
}

/// Kind of a request, which determines the error for a missing response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Access {
    Read,
    Write,
}

impl Access {
    /// The error for a request that was sent and got no valid response.
    fn no_response(self, text: String) -> Error {
        match self {
            Access::Read => Error::Unavailable(text),
            Access::Write => Error::Unknown(text),
        }
    }
}

/// Totals of the requests sent. Bytes include URLs and bodies, but no headers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Reads sent.
    pub reads: u64,
    /// Writes sent.
    pub writes: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// HTTP client of the platform.
#[derive(Debug)]
pub struct HttpPlatform {
    settings: Settings,
    client: Client,
    counters: Counters,
}

impl HttpPlatform {
    /// Creates a client, which connects at the first request.
    pub fn new(settings: Settings) -> Result<Self> {
        let client = build_client(&settings)?;
        Ok(HttpPlatform { settings, client, counters: Counters::default() })
    }

    /// Totals since the client was created.
    pub fn traffic(&self) -> Traffic {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            reads: load(&self.counters.reads),
            writes: load(&self.counters.writes),
            sent: load(&self.counters.sent),
            received: load(&self.counters.received),
        }
    }

    /// Adds a request that is about to be sent to the counters.
    fn record_request(&self, access: Access, request: &Request) {
        let counter = match access {
            Access::Read => &self.counters.reads,
            Access::Write => &self.counters.writes,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let body = request.body().and_then(Body::as_bytes).map_or(0, <[u8]>::len);
        let sent = (request.url().as_str().len() + body) as u64;
        self.counters.sent.fetch_add(sent, Ordering::Relaxed);
    }

    /// Reads the body of a response and counts its bytes.
    async fn read_body(&self, access: Access, response: Response) -> Result<Vec<u8>> {
        let body = response.bytes().await.map_err(|error| transport_error(access, &error))?;
        self.counters.received.fetch_add(body.len() as u64, Ordering::Relaxed);
        Ok(body.to_vec())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.settings.address)
    }

    /// Sends a request once and returns a response with status 2xx.
    async fn send(&self, access: Access, request: RequestBuilder) -> Result<Response> {
        let request = request.build().map_err(|error| Error::Invalid(error_text(&error)))?;
        self.record_request(access, &request);
        let response = match self.client.execute(request).await {
            Ok(response) => response,
            Err(error) => return Err(transport_error(access, &error)),
        };
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let text = match response.json::<ErrorAnswer>().await {
            Ok(answer) => answer.error,
            Err(_) => format!("status {status}"),
        };
        Err(match status {
            StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable(text),
            status if status.is_client_error() => Error::Invalid(text),
            _ => access.no_response(text),
        })
    }

    async fn send_json<T: DeserializeOwned>(
        &self,
        access: Access,
        request: RequestBuilder,
    ) -> Result<T> {
        let response = self.send(access, request).await?;
        let body = self.read_body(access, response).await?;
        serde_json::from_slice(&body).map_err(|error| access.no_response(error.to_string()))
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn get(&self, table: &str, key: &str) -> Result<Option<Row>> {
        let query = [("table", table), ("key", key)];
        let request = self.client.get(self.url(protocol::ROW)).query(&query);
        let answer: RowAnswer = self.send_json(Access::Read, request).await?;
        Ok(answer.row)
    }

    async fn scan(&self, table: &str, from: &str, to: &str) -> Result<Vec<Row>> {
        let query = [("table", table), ("from", from), ("to", to)];
        let request = self.client.get(self.url(protocol::ROWS)).query(&query);
        let answer: RowsAnswer = self.send_json(Access::Read, request).await?;
        if answer.rows.len() != answer.count {
            return Err(Error::Unavailable("the response to a scan is incomplete".into()));
        }
        Ok(answer.rows)
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit> {
        let request = self.client.post(self.url(protocol::TRANSACT)).json(transaction);
        self.send_json(Access::Write, request).await
    }

    async fn object(&self, name: &str) -> Result<Option<Vec<u8>>> {
        let request = self.client.get(self.url(protocol::OBJECT)).query(&[("name", name)]);
        let response = self.send(Access::Read, request).await?;
        if response.status() == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        Ok(Some(self.read_body(Access::Read, response).await?))
    }

    async fn put_object(&self, name: &str, body: Vec<u8>) -> Result<()> {
        let request = self.client.put(self.url(protocol::OBJECT)).query(&[("name", name)]);
        self.send(Access::Write, request.body(body)).await?;
        Ok(())
    }

    async fn instances(&self) -> Result<Vec<Instance>> {
        let request = self.client.get(self.url(protocol::INSTANCES));
        let answer: InstanceList = self.send_json(Access::Read, request).await?;
        Ok(answer.instances)
    }
}

fn build_client(settings: &Settings) -> Result<Client> {
    Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .timeout(settings.timeout)
        .connect_timeout(settings.connect_timeout)
        .build()
        .map_err(|error| Error::Invalid(error_text(&error)))
}

/// The error for a request whose response is missing or incomplete.
fn transport_error(access: Access, error: &reqwest::Error) -> Error {
    if error.is_connect() {
        return Error::Unavailable(error_text(error));
    }
    access.no_response(error_text(error))
}

/// Formats an error and its chain of causes on one line.
pub fn error_text(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
