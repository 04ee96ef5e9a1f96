//! Where requests go and how their answers are judged.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use reqwest::Client;
use serde_json::json;
use serde_json::Value;

use super::schedule::Arrival;

/// Idle connections that the client keeps for each address.
const IDLE_CONNECTIONS: usize = 64;
/// Slack beyond a request's deadline before the generator gives up on its answer.
const ANSWER_SLACK: Duration = Duration::from_secs(5);
/// Prompt of every request.
const PROMPT: &str = "which routes are icy?";

/// How a request ended.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The answer was whole.
    Served,
    /// It was refused with this code.
    Refused(String),
    /// It broke off, or there was no answer.
    Failed(String),
}

/// What is asked.
#[derive(Clone, Debug)]
pub enum Side {
    /// Routers at these addresses, with the teams' keys by index.
    Routers(Vec<SocketAddr>, Vec<String>),
    /// Engines, by the model that each request is for.
    Engines(Vec<SocketAddr>),
}

/// Where requests go, and what they ask for.
#[derive(Debug)]
pub struct Target {
    side: Side,
    client: Client,
    tokens: u32,
    deadline: Duration,
    next: AtomicU64,
}

impl Target {
    /// Requests for `tokens` output tokens of models `m1` and on, whole within `deadline`.
    pub fn new(side: Side, tokens: u32, deadline: Duration) -> Result<Target> {
        let client = Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .timeout(deadline + ANSWER_SLACK)
            .build()?;
        Ok(Target { side, client, tokens, deadline, next: AtomicU64::new(1) })
    }

    /// Sends one request; returns how it ended and when its first bytes came.
    pub async fn send(&self, arrival: &Arrival) -> (Outcome, Option<Instant>) {
        match self.exchange(arrival).await {
            Ok(ended) => ended,
            Err(e) => (Outcome::Failed(format!("{e:#}")), None),
        }
    }

    async fn exchange(&self, arrival: &Arrival) -> Result<(Outcome, Option<Instant>)> {
        let mut answer = self.request(arrival).send().await?;
        if !answer.status().is_success() {
            let status = answer.status().as_u16();
            let body: Value = serde_json::from_str(&answer.text().await?).unwrap_or_default();
            let code = body["error"]["code"].as_str().map(str::to_owned);
            return Ok((Outcome::Refused(code.unwrap_or_else(|| status.to_string())), None));
        }
        let mut first = None;
        let mut body = Vec::new();
        while let Some(chunk) = answer.chunk().await? {
            first.get_or_insert_with(Instant::now);
            body.extend_from_slice(&chunk);
        }
        Ok((judge(&body), first))
    }

    fn request(&self, arrival: &Arrival) -> reqwest::RequestBuilder {
        let model = format!("m{}", arrival.model + 1);
        let mut body = json!({
            "model": model, "prompt": PROMPT, "stream": true, "max_tokens": self.tokens,
        });
        match &self.side {
            Side::Routers(callers, keys) => {
                body["deadline_ms"] = json!(self.deadline.as_millis() as u64);
                let url =
                    format!("http://{}/v1/completions", callers[arrival.router % callers.len()]);
                let request = self.client.post(url).bearer_auth(&keys[arrival.team]);
                request.body(body.to_string())
            }
            Side::Engines(engines) => {
                let url = format!("http://{}/v1/completions", engines[arrival.model]);
                let number = self.next.fetch_add(1, Ordering::Relaxed);
                let request =
                    self.client.post(url).header("x-request-id", format!("load-{number}"));
                request.body(body.to_string())
            }
        }
    }
}

/// Whether a stream of events is whole.
fn judge(body: &[u8]) -> Outcome {
    let text = String::from_utf8_lossy(body);
    if text.ends_with("data: [DONE]\n\n") && !text.contains("\"error\"") {
        return Outcome::Served;
    }
    Outcome::Failed("the stream broke off".to_owned())
}
