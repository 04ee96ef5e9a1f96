//! Sends the requests of a load run and judges the responses.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use parking_lot::RwLock;
use reqwest::Client;
use reqwest::RequestBuilder;
use serde_json::json;
use serde_json::Value;

use super::baseline::Baseline;
use super::baseline::Rejection;
use super::schedule::Arrival;

/// Idle connections that the client keeps open per address.
const IDLE_CONNECTIONS: usize = 64;
/// Time past a request's deadline after which the client gives up on the response.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// Prompt of every request.
const PROMPT: &str = "which routes are icy?";
/// Minimum bytes per token, as `bytes_per_token` of the models in the bench's registers.
const BYTES_PER_TOKEN: u64 = 2;

/// Tokens that a request reserves: the most that its prompt may have, plus `output_tokens`.
pub fn request_cost(output_tokens: u32) -> u64 {
    (PROMPT.len() as u64).div_ceil(BYTES_PER_TOKEN) + u64::from(output_tokens)
}

/// How a request ended.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The response was complete.
    Served,
    /// The request was refused, with this error code or HTTP status.
    Refused(String),
    /// The response was cut short or never came, with this error.
    Failed(String),
}

/// Servers that receive the requests.
#[derive(Debug)]
pub enum Destination {
    /// Routers at these addresses, with the API key of each team, by index.
    Routers(Vec<SocketAddr>, Vec<String>),
    /// Engines without a router: one address per model, by the index of the model.
    Engines(Vec<SocketAddr>),
    /// Engines that the baseline's routers choose.
    Baseline(Baseline),
}

/// Client that sends completion requests to a [`Destination`].
#[derive(Debug)]
pub struct Target {
    destination: Destination,
    client: Client,
    output_tokens: u32,
    deadline: Duration,
    next_number: AtomicU64,
    /// Current addresses of the routers; empty for other destinations.
    routers: RwLock<Vec<SocketAddr>>,
}

impl Target {
    /// Creates a client whose requests ask models `m1`, `m2`, ... for `output_tokens` tokens.
    ///
    /// Each request has `deadline` to complete. Fails if the HTTP client can't be built.
    pub fn new(destination: Destination, output_tokens: u32, deadline: Duration) -> Result<Target> {
        let client = Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .timeout(deadline + RESPONSE_GRACE)
            .build()?;
        let routers = match &destination {
            Destination::Routers(routers, _) => routers.clone(),
            Destination::Engines(_) | Destination::Baseline(_) => Vec::new(),
        };
        let (next_number, routers) = (AtomicU64::new(1), RwLock::new(routers));
        Ok(Target { destination, client, output_tokens, deadline, next_number, routers })
    }

    /// Replaces the routers' addresses; an arrival's router index selects one, modulo their number.
    pub fn set_routers(&self, routers: &[SocketAddr]) {
        *self.routers.write() = routers.to_vec();
    }

    /// Sends one request; returns its outcome and when the first bytes of the body came, if any.
    pub async fn send(&self, arrival: &Arrival) -> (Outcome, Option<Instant>) {
        match self.dispatch(arrival).await {
            Ok(result) => result,
            Err(error) => (Outcome::Failed(format!("{error:#}")), None),
        }
    }

    async fn dispatch(&self, arrival: &Arrival) -> Result<(Outcome, Option<Instant>)> {
        match &self.destination {
            Destination::Routers(_, keys) => {
                let router = {
                    let routers = self.routers.read();
                    routers[arrival.router % routers.len()]
                };
                let mut body = self.body(arrival);
                body["deadline_ms"] = json!(self.deadline.as_millis() as u64);
                let request = self.client.post(format!("http://{router}/v1/completions"));
                exchange(request.bearer_auth(&keys[arrival.team]).body(body.to_string())).await
            }
            Destination::Engines(engines) => {
                self.send_to_engine(engines[arrival.model], arrival).await
            }
            Destination::Baseline(baseline) => {
                let (router, team, model) = (arrival.router, arrival.team, arrival.model);
                let slot = match baseline.acquire(router, team, model, self.deadline).await {
                    Ok(slot) => slot,
                    Err(reason) => return Ok((Outcome::Refused(rejection_code(reason)), None)),
                };
                let result = self.send_to_engine(slot.address, arrival).await;
                baseline.release(&slot);
                result
            }
        }
    }

    async fn send_to_engine(
        &self,
        engine: SocketAddr,
        arrival: &Arrival,
    ) -> Result<(Outcome, Option<Instant>)> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let request = self.client.post(format!("http://{engine}/v1/completions"));
        let request = request.header("x-request-id", format!("load-{number}"));
        exchange(request.body(self.body(arrival).to_string())).await
    }

    fn body(&self, arrival: &Arrival) -> Value {
        let model = format!("m{}", arrival.model + 1);
        json!({"model": model, "prompt": PROMPT, "stream": true, "max_tokens": self.output_tokens})
    }
}

fn rejection_code(rejection: Rejection) -> String {
    let code = match rejection {
        Rejection::OverLimit => "over_limit",
        Rejection::TimedOut => "late",
    };
    code.to_owned()
}

async fn exchange(request: RequestBuilder) -> Result<(Outcome, Option<Instant>)> {
    let mut response = request.send().await?;
    if !response.status().is_success() {
        let status = response.status().as_u16();
        let body: Value = serde_json::from_str(&response.text().await?).unwrap_or_default();
        let code = body["error"]["code"].as_str().map(str::to_owned);
        return Ok((Outcome::Refused(code.unwrap_or_else(|| status.to_string())), None));
    }
    let mut first_byte = None;
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        first_byte.get_or_insert_with(Instant::now);
        body.extend_from_slice(&chunk);
    }
    Ok((judge_stream(&body), first_byte))
}

/// Checks that an event stream is complete and holds no error event.
fn judge_stream(body: &[u8]) -> Outcome {
    let text = String::from_utf8_lossy(body);
    if text.ends_with("data: [DONE]\n\n") && !text.contains("\"error\"") {
        return Outcome::Served;
    }
    Outcome::Failed("the stream broke off".to_owned())
}
