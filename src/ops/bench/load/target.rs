//! Where requests go and how their answers are judged.

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

use super::choice::Choice;
use super::choice::Refused;
use super::schedule::Arrival;

/// Idle connections that the client keeps for each address.
const IDLE_CONNECTIONS: usize = 64;
/// Slack beyond a request's deadline before the generator gives up on its answer.
const ANSWER_SLACK: Duration = Duration::from_secs(5);
/// Prompt of every request.
const PROMPT: &str = "which routes are icy?";
/// Bytes of a token by the register's floor.
const BYTES_PER_TOKEN: u64 = 2;

/// Tokens that a request with `tokens` of output reserves.
pub fn cost(tokens: u32) -> u64 {
    (PROMPT.len() as u64).div_ceil(BYTES_PER_TOKEN) + u64::from(tokens)
}

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
#[derive(Debug)]
pub enum Side {
    /// Routers at these addresses, with the teams' keys by index.
    Routers(Vec<SocketAddr>, Vec<String>),
    /// Engines, by the model that each request is for.
    Engines(Vec<SocketAddr>),
    /// Engines, as the baseline's routers choose them.
    Choice(Choice),
}

/// Where requests go, and what they ask for.
#[derive(Debug)]
pub struct Target {
    side: Side,
    client: Client,
    tokens: u32,
    deadline: Duration,
    next: AtomicU64,
    /// Callers' addresses of the routers, where routers are asked.
    callers: RwLock<Vec<SocketAddr>>,
}

impl Target {
    /// Requests for `tokens` output tokens of models `m1` and on, whole within `deadline`.
    pub fn new(side: Side, tokens: u32, deadline: Duration) -> Result<Target> {
        let client = Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .timeout(deadline + ANSWER_SLACK)
            .build()?;
        let callers = match &side {
            Side::Routers(callers, _) => callers.clone(),
            Side::Engines(_) | Side::Choice(_) => Vec::new(),
        };
        let (next, callers) = (AtomicU64::new(1), RwLock::new(callers));
        Ok(Target { side, client, tokens, deadline, next, callers })
    }

    /// Names the routers that callers use from now on, by the index of the arrivals' routers.
    pub fn use_routers(&self, callers: &[SocketAddr]) {
        *self.callers.write() = callers.to_vec();
    }

    /// Sends one request; returns how it ended and when its first bytes came.
    pub async fn send(&self, arrival: &Arrival) -> (Outcome, Option<Instant>) {
        match self.dispatch(arrival).await {
            Ok(ended) => ended,
            Err(e) => (Outcome::Failed(format!("{e:#}")), None),
        }
    }

    async fn dispatch(&self, arrival: &Arrival) -> Result<(Outcome, Option<Instant>)> {
        match &self.side {
            Side::Routers(_, keys) => {
                let caller = {
                    let callers = self.callers.read();
                    callers[arrival.router % callers.len()]
                };
                let mut body = self.body(arrival);
                body["deadline_ms"] = json!(self.deadline.as_millis() as u64);
                let request = self.client.post(format!("http://{caller}/v1/completions"));
                exchange(request.bearer_auth(&keys[arrival.team]).body(body.to_string())).await
            }
            Side::Engines(engines) => self.ask(engines[arrival.model], arrival).await,
            Side::Choice(choice) => {
                let (router, team, model) = (arrival.router, arrival.team, arrival.model);
                let place = match choice.enter(router, team, model, self.deadline).await {
                    Ok(place) => place,
                    Err(refused) => return Ok((Outcome::Refused(code(refused)), None)),
                };
                let ended = self.ask(place.address, arrival).await;
                choice.leave(&place);
                ended
            }
        }
    }

    /// Asks an engine.
    async fn ask(
        &self,
        engine: SocketAddr,
        arrival: &Arrival,
    ) -> Result<(Outcome, Option<Instant>)> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let request = self.client.post(format!("http://{engine}/v1/completions"));
        let request = request.header("x-request-id", format!("load-{number}"));
        exchange(request.body(self.body(arrival).to_string())).await
    }

    fn body(&self, arrival: &Arrival) -> Value {
        let model = format!("m{}", arrival.model + 1);
        json!({"model": model, "prompt": PROMPT, "stream": true, "max_tokens": self.tokens})
    }
}

fn code(refused: Refused) -> String {
    let code = match refused {
        Refused::OverLimit => "over_limit",
        Refused::Late => "late",
    };
    code.to_owned()
}

async fn exchange(request: RequestBuilder) -> Result<(Outcome, Option<Instant>)> {
    let mut answer = request.send().await?;
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

/// Whether a stream of events is whole.
fn judge(body: &[u8]) -> Outcome {
    let text = String::from_utf8_lossy(body);
    if text.ends_with("data: [DONE]\n\n") && !text.contains("\"error\"") {
        return Outcome::Served;
    }
    Outcome::Failed("the stream broke off".to_owned())
}
