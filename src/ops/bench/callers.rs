//! Callers of a failure run: an open-loop load of chats, streams, adapters and orders from several
//! teams.
//!
//! Each call is a separate task that starts at its scheduled time, whatever the state of earlier
//! calls. The output of a model is a function of its prompt, so every response is compared with the
//! expected one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_history::Ending;
use corianderyoke_history::Event;
use corianderyoke_standin::engine::tokens;
use futures::StreamExt;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reqwest::Response;
use serde_json::json;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::Instant;

use super::world::World;
use crate::agent::traced::digest;

/// Longest time that a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest time that a caller waits for the list of routers.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Times that an order is sent before the caller gives up.
const ORDER_ATTEMPTS: usize = 8;
/// Delay before an order is sent again, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..900;

/// Parameters of the load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Mean calls per second.
    pub rate: f64,
    /// Duration of the load.
    pub span: Duration,
    /// Number of models.
    pub models: usize,
    /// Number of teams.
    pub teams: usize,
}

/// Number of calls by how they ended, such as HTTP status and error code.
pub type Counts = IndexMap<String, u64>;

/// State that all callers share.
struct Callers {
    world: Arc<World>,
    client: reqwest::Client,
    counts: Mutex<Counts>,
    /// First complete response to each order, by idempotency key; later ones must be equal to it.
    first_responses: Mutex<IndexMap<String, String>>,
}

/// One call of the load.
#[derive(Clone, Debug)]
enum Call {
    Generate(Generation),
    /// An order; optionally sent twice concurrently, or repeated after its response.
    Order {
        number: u64,
        concurrent: bool,
        repeated: bool,
    },
}

#[derive(Clone, Debug)]
struct Generation {
    chat: bool,
    stream: bool,
    adapter: bool,
    model: usize,
    prompt: String,
    tokens: u32,
    /// Time after which the caller closes the connection.
    hang_up_after: Option<Duration>,
    /// Whether the caller sends a revoked key.
    revoked_key: bool,
}

/// Runs the load and returns how the calls ended, after the last one has.
pub async fn run(world: Arc<World>, load: Load, seed: u64) -> anyhow::Result<Counts> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .connect_timeout(Duration::from_secs(1))
        .build()?;
    let counts = Mutex::default();
    let callers = Arc::new(Callers { world, client, counts, first_responses: Mutex::default() });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut number = 0;
    let mut tasks = JoinSet::new();
    while at < load.span {
        number += 1;
        let (call, team) = random_call(&mut rng, load, number);
        let call_rng = ChaCha8Rng::seed_from_u64(rng.random());
        sleep_until(start + at).await;
        tasks.spawn(Arc::clone(&callers).call(call, team, call_rng));
        // Exponential gaps give Poisson arrivals, like independent callers.
        let gap = -(1.0 - rng.random::<f64>()).ln() / load.rate;
        at += Duration::from_secs_f64(gap);
    }
    while tasks.join_next().await.is_some() {}
    let mut counts = callers.counts.lock().clone();
    counts.sort_keys();
    Ok(counts)
}

fn random_call(rng: &mut ChaCha8Rng, load: Load, number: u64) -> (Call, String) {
    // The minimum of two draws makes the first team send the most calls and the last the fewest.
    let team = rng.random_range(1..=load.teams).min(rng.random_range(1..=load.teams));
    let team = format!("t{team}");
    if rng.random_bool(0.2) {
        let (concurrent, repeated) = (rng.random_bool(0.15), rng.random_bool(0.3));
        return (Call::Order { number, concurrent, repeated }, team);
    }
    let long = rng.random_bool(0.04);
    let tokens = if long { rng.random_range(300..600) } else { rng.random_range(4..60) };
    let generation = Generation {
        chat: rng.random_bool(0.7),
        stream: rng.random_bool(0.45),
        adapter: rng.random_bool(0.2),
        model: rng.random_range(1..=load.models).min(rng.random_range(1..=load.models)),
        prompt: format!("{} of call {number}", "icy road ".repeat(rng.random_range(1..8))),
        tokens,
        hang_up_after: rng
            .random_bool(0.08)
            .then(|| Duration::from_millis(rng.random_range(5..400))),
        revoked_key: rng.random_bool(0.1),
    };
    (Call::Generate(generation), team)
}

impl Callers {
    async fn call(self: Arc<Self>, call: Call, team: String, mut rng: ChaCha8Rng) {
        match call {
            Call::Generate(generation) => self.generate(&generation, &team, &mut rng).await,
            Call::Order { number, concurrent, repeated } => {
                let second_rng = ChaCha8Rng::seed_from_u64(rng.random());
                if concurrent {
                    let second =
                        Arc::clone(&self).send_order(number, team.clone(), repeated, second_rng);
                    tokio::join!(Arc::clone(&self).send_order(number, team, repeated, rng), second);
                } else {
                    self.send_order(number, team, repeated, rng).await;
                }
            }
        }
    }

    /// Picks a running router at random.
    fn random_router(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let routers = self.world.routers.lock();
        let addresses: Vec<SocketAddr> = routers.values().copied().collect();
        addresses.choose(rng).copied()
    }

    /// Picks a router at random, or the first one in the entry list of a random router.
    async fn choose_router(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let router = self.random_router(rng)?;
        if rng.random_bool(0.7) {
            return Some(router);
        }
        let entry_request = self.client.get(format!("http://{router}/v1/entry")).send();
        let answer: Value =
            timeout(ENTRY_TIMEOUT, entry_request).await.ok()?.ok()?.json().await.ok()?;
        let listed = answer["addresses"][0].as_str().and_then(|address| address.parse().ok());
        Some(listed.unwrap_or(router))
    }

    fn secret(&self, team: &str, revoked_key: bool, rng: &mut ChaCha8Rng) -> String {
        if revoked_key {
            if let Some(key) = self.world.revoked_keys.lock().choose(rng) {
                return key.secret.clone();
            }
        }
        let keys = self.world.keys.lock();
        keys.get(team).map(|key| key.secret.clone()).unwrap_or_default()
    }

    fn count(&self, what: impl Into<String>) {
        *self.counts.lock().entry(what.into()).or_default() += 1;
    }

    async fn generate(&self, call: &Generation, team: &str, rng: &mut ChaCha8Rng) {
        let Some(router) = self.choose_router(rng).await else {
            return self.count("no router");
        };
        let secret = self.secret(team, call.revoked_key, rng);
        let (path, body, expected) = request(call);
        let url = format!("http://{router}{path}");
        let request = self.client.post(url).bearer_auth(secret).body(body.to_string()).send();
        let exchange = async {
            match request.await {
                Ok(response) => self.receive(response, call, &expected).await,
                Err(_) => self.count("not connected"),
            }
        };
        let limit = call.hang_up_after.unwrap_or(RESPONSE_TIMEOUT);
        if timeout(limit, exchange).await.is_err() {
            self.count(if call.hang_up_after.is_some() { "hung up" } else { "no answer" });
        }
    }

    async fn receive(&self, response: Response, call: &Generation, expected: &str) {
        let Some(request) = request_id(&response) else {
            return self.count("no request id");
        };
        let status = response.status().as_u16();
        if status != 200 {
            return self.receive_refusal(request, status, response).await;
        }
        let (ending, text) = match call.stream {
            true => read_stream(response).await,
            false => read_complete(response).await,
        };
        self.count(format!("200 {ending:?}").to_lowercase());
        self.record_received(request, ending, &text, Some(expected));
    }

    async fn receive_refusal(&self, request: String, status: u16, response: Response) {
        match response.text().await {
            Ok(text) => {
                self.count(format!("{status} {}", error_code(&text)));
                self.record_received(request, Ending::Error, &text, None);
            }
            Err(_) => {
                self.count("refusal cut");
                self.record_received(request, Ending::Cut, "", None);
            }
        }
    }

    fn record_received(&self, request: String, ending: Ending, text: &str, expected: Option<&str>) {
        let expected = expected.map(digest);
        let digest = digest(text);
        self.world.journal.record(Event::Received { request, ending, digest, expected });
    }

    /// Sends an order to random routers until its outcome is known.
    async fn send_order(
        self: Arc<Self>,
        number: u64,
        team: String,
        repeated: bool,
        mut rng: ChaCha8Rng,
    ) {
        let mut repeats_left = usize::from(repeated);
        for _ in 0..ORDER_ATTEMPTS {
            let outcome_known = match self.random_router(&mut rng) {
                Some(router) => self.send_order_once(router, number, &team, &mut rng).await,
                None => false,
            };
            if outcome_known && repeats_left == 0 {
                return;
            }
            repeats_left -= usize::from(outcome_known);
            sleep(Duration::from_millis(rng.random_range(RETRY_DELAY_MS))).await;
        }
        self.count("order given up");
    }

    /// Sends an order once. Returns whether its outcome is known.
    async fn send_order_once(
        &self,
        router: SocketAddr,
        number: u64,
        team: &str,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let key = format!("order-{number}");
        let secret = self.secret(team, false, rng);
        let request = self
            .client
            .post(format!("http://{router}/services/orders/new"))
            .bearer_auth(secret)
            .header("idempotency-key", &key)
            .body(json!({"order": number}).to_string());
        let Ok(Ok(response)) = timeout(RESPONSE_TIMEOUT, request.send()).await else {
            self.count("order unanswered");
            return false;
        };
        let Some(request) = request_id(&response) else {
            self.count("no request id");
            return false;
        };
        let status = response.status().as_u16();
        let answered = response.headers().contains_key("idempotency-replayed") || status < 400;
        let Ok(text) = response.text().await else {
            self.count("order cut");
            self.record_received(request, Ending::Cut, "", None);
            return false;
        };
        // An error from the service itself is a response too, stored and replayed like any other.
        if answered || !text.contains("\"outcome\"") {
            self.count(format!("order {status}"));
            let first =
                self.first_responses.lock().entry(key).or_insert_with(|| text.clone()).clone();
            self.record_received(request, Ending::Whole, &text, Some(&first));
            return true;
        }
        self.count(format!("order {status} {}", error_code(&text)));
        self.record_received(request, Ending::Error, &text, None);
        // A 504 leaves the outcome unknown for good, so the order isn't sent again.
        status == 504
    }
}

/// Path, body and expected output of a generation.
fn request(call: &Generation) -> (&'static str, Value, String) {
    let model = format!("m{}", call.model);
    let adapter = call.adapter.then(|| format!("{model}-a"));
    let name = adapter.as_ref().unwrap_or(&model);
    let (path, mut body, prompt) = if call.chat {
        let messages = json!([{"role": "user", "content": call.prompt}]);
        let prompt = tokens::chat_prompt([("user", call.prompt.as_str())]);
        ("/v1/chat/completions", json!({"model": name, "messages": messages}), prompt)
    } else {
        let body = json!({"model": name, "prompt": call.prompt});
        ("/v1/completions", body, call.prompt.clone())
    };
    body["max_tokens"] = json!(call.tokens);
    body["stream"] = json!(call.stream);
    let expected = tokens::answer(&model, adapter.as_deref(), &prompt, call.tokens);
    (path, body, expected)
}

fn request_id(response: &Response) -> Option<String> {
    let id = response.headers().get("x-request-id")?;
    id.to_str().ok().map(str::to_owned)
}

fn error_code(text: &str) -> String {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    body["error"]["code"].as_str().unwrap_or("?").to_owned()
}

async fn read_complete(response: Response) -> (Ending, String) {
    let Ok(text) = response.text().await else {
        return (Ending::Cut, String::new());
    };
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    let choice = &body["choices"][0];
    let text = choice["message"]["content"].as_str().or(choice["text"].as_str());
    (Ending::Whole, text.unwrap_or_default().to_owned())
}

/// Reads a stream to its end, which is complete only with the terminal marker.
async fn read_stream(response: Response) -> (Ending, String) {
    let mut bytes = response.bytes_stream();
    let mut raw = Vec::new();
    while let Some(Ok(part)) = bytes.next().await {
        raw.extend_from_slice(&part);
    }
    let raw = String::from_utf8_lossy(&raw);
    let mut text = String::new();
    for line in raw.lines() {
        match line.strip_prefix("data: ") {
            Some("[DONE]") => return (Ending::Whole, text),
            Some(data) => text.push_str(&chunk_text(data)),
            None if line == "event: error" => return (Ending::Error, text),
            None => {}
        }
    }
    (Ending::Cut, text)
}

fn chunk_text(data: &str) -> String {
    let chunk: Value = serde_json::from_str(data).unwrap_or_default();
    let choice = &chunk["choices"][0];
    let token = choice["delta"]["content"].as_str().or(choice["text"].as_str());
    token.unwrap_or_default().to_owned()
}
