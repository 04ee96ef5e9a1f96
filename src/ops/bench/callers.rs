//! Callers: an open-loop load of chats, streams, adapters and orders on several teams.
//!
//! Each call is a task of its own that starts when its time has come, whatever became of those
//! before. The answer that a model owes is a function of its prompt, so every answer is compared
//! with it.

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

/// Most time that a caller waits for its answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(40);
/// Most time that a caller waits for the list of routers.
const ENTRY_WITHIN: Duration = Duration::from_secs(1);
/// Tries of one order.
const ORDER_TRIES: usize = 8;
/// Time between two tries, in milliseconds.
const AGAIN_MS: std::ops::Range<u64> = 100..900;

/// The load of a run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Calls a second.
    pub rate: f64,
    /// For how long.
    pub span: Duration,
    /// Models.
    pub models: usize,
    /// Teams.
    pub teams: usize,
}

/// How calls ended, by status and code.
pub type Counts = IndexMap<String, u64>;

/// What callers share.
struct Callers {
    world: Arc<World>,
    client: reqwest::Client,
    counts: Mutex<Counts>,
    /// The first whole answer to each order, which later ones have to equal.
    kept: Mutex<IndexMap<String, String>>,
}

/// One call.
#[derive(Clone, Debug)]
enum Call {
    Generate(Generation),
    /// An order by its number; sent twice at once or repeated after its answer where told.
    Order {
        number: u64,
        twice: bool,
        again: bool,
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
    /// When the caller hangs up.
    hangs_up: Option<Duration>,
    /// Whether a withdrawn key is shown.
    withdrawn: bool,
}

/// Runs the load and returns how the calls ended, once all have.
pub async fn run(world: Arc<World>, load: Load, seed: u64) -> anyhow::Result<Counts> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .connect_timeout(Duration::from_secs(1))
        .build()?;
    let counts = Mutex::default();
    let callers = Arc::new(Callers { world, client, counts, kept: Mutex::default() });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut number = 0;
    let mut tasks = JoinSet::new();
    while at < load.span {
        number += 1;
        let (call, team) = draw(&mut rng, load, number);
        let own = ChaCha8Rng::seed_from_u64(rng.random());
        sleep_until(start + at).await;
        tasks.spawn(Arc::clone(&callers).call(call, team, own));
        // Exponential gaps make a Poisson process, as independent callers do.
        let gap = -(1.0 - rng.random::<f64>()).ln() / load.rate;
        at += Duration::from_secs_f64(gap);
    }
    while tasks.join_next().await.is_some() {}
    let mut counts = callers.counts.lock().clone();
    counts.sort_keys();
    Ok(counts)
}

fn draw(rng: &mut ChaCha8Rng, load: Load, number: u64) -> (Call, String) {
    // The first team sends most, the last ones little.
    let team = rng.random_range(1..=load.teams).min(rng.random_range(1..=load.teams));
    let team = format!("t{team}");
    if rng.random_bool(0.2) {
        let (twice, again) = (rng.random_bool(0.15), rng.random_bool(0.3));
        return (Call::Order { number, twice, again }, team);
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
        hangs_up: rng.random_bool(0.08).then(|| Duration::from_millis(rng.random_range(5..400))),
        withdrawn: rng.random_bool(0.1),
    };
    (Call::Generate(generation), team)
}

impl Callers {
    async fn call(self: Arc<Self>, call: Call, team: String, mut rng: ChaCha8Rng) {
        match call {
            Call::Generate(generation) => self.generate(&generation, &team, &mut rng).await,
            Call::Order { number, twice, again } => {
                let other = ChaCha8Rng::seed_from_u64(rng.random());
                if twice {
                    let second = Arc::clone(&self).order(number, team.clone(), again, other);
                    tokio::join!(Arc::clone(&self).order(number, team, again, rng), second);
                } else {
                    self.order(number, team, again, rng).await;
                }
            }
        }
    }

    /// A router that runs, by chance.
    fn router(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let routers = self.world.routers.lock();
        let addresses: Vec<SocketAddr> = routers.values().copied().collect();
        addresses.choose(rng).copied()
    }

    /// A router by chance, or the first one that such a router names.
    async fn place(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let router = self.router(rng)?;
        if rng.random_bool(0.7) {
            return Some(router);
        }
        let asked = self.client.get(format!("http://{router}/v1/entry")).send();
        let answer: Value = timeout(ENTRY_WITHIN, asked).await.ok()?.ok()?.json().await.ok()?;
        let named = answer["addresses"][0].as_str().and_then(|address| address.parse().ok());
        Some(named.unwrap_or(router))
    }

    fn secret(&self, team: &str, withdrawn: bool, rng: &mut ChaCha8Rng) -> String {
        if withdrawn {
            if let Some(key) = self.world.withdrawn.lock().choose(rng) {
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
        let Some(router) = self.place(rng).await else {
            return self.count("no router");
        };
        let secret = self.secret(team, call.withdrawn, rng);
        let (path, body, expected) = request(call);
        let url = format!("http://{router}{path}");
        let request = self.client.post(url).bearer_auth(secret).body(body.to_string()).send();
        let answered = async {
            match request.await {
                Ok(response) => self.receive(response, call, &expected).await,
                Err(_) => self.count("not connected"),
            }
        };
        let limit = call.hangs_up.unwrap_or(ANSWER_WITHIN);
        if timeout(limit, answered).await.is_err() {
            self.count(if call.hangs_up.is_some() { "hung up" } else { "no answer" });
        }
    }

    async fn receive(&self, response: Response, call: &Generation, expected: &str) {
        let Some(request) = id_of(&response) else {
            return self.count("no request id");
        };
        let status = response.status().as_u16();
        if status != 200 {
            return self.refused(request, status, response).await;
        }
        let (ending, text) = match call.stream {
            true => stream(response).await,
            false => whole(response).await,
        };
        self.count(format!("200 {ending:?}").to_lowercase());
        self.received(request, ending, &text, Some(expected));
    }

    async fn refused(&self, request: String, status: u16, response: Response) {
        match response.text().await {
            Ok(text) => {
                self.count(format!("{status} {}", code_of(&text)));
                self.received(request, Ending::Error, &text, None);
            }
            Err(_) => {
                self.count("refusal cut");
                self.received(request, Ending::Cut, "", None);
            }
        }
    }

    fn received(&self, request: String, ending: Ending, text: &str, expected: Option<&str>) {
        let expected = expected.map(digest);
        let digest = digest(text);
        self.world.journal.note(Event::Received { request, ending, digest, expected });
    }

    /// Sends an order until its outcome is known, each time at another router.
    async fn order(self: Arc<Self>, number: u64, team: String, again: bool, mut rng: ChaCha8Rng) {
        let mut repeats = usize::from(again);
        for _ in 0..ORDER_TRIES {
            let known = match self.router(&mut rng) {
                Some(router) => self.order_once(router, number, &team, &mut rng).await,
                None => false,
            };
            if known && repeats == 0 {
                return;
            }
            repeats -= usize::from(known);
            sleep(Duration::from_millis(rng.random_range(AGAIN_MS))).await;
        }
        self.count("order given up");
    }

    /// Sends an order once; whether its outcome is known.
    async fn order_once(
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
        let Ok(Ok(response)) = timeout(ANSWER_WITHIN, request.send()).await else {
            self.count("order unanswered");
            return false;
        };
        let Some(request) = id_of(&response) else {
            self.count("no request id");
            return false;
        };
        let status = response.status().as_u16();
        let refused = response.headers().contains_key("idempotency-replayed") || status < 400;
        let Ok(text) = response.text().await else {
            self.count("order cut");
            self.received(request, Ending::Cut, "", None);
            return false;
        };
        // A service's own error is an answer too, kept like any other.
        if refused || !text.contains("\"outcome\"") {
            self.count(format!("order {status}"));
            let first = self.kept.lock().entry(key).or_insert_with(|| text.clone()).clone();
            self.received(request, Ending::Whole, &text, Some(&first));
            return true;
        }
        self.count(format!("order {status} {}", code_of(&text)));
        self.received(request, Ending::Error, &text, None);
        // What stays unknown for good isn't asked for again for ever.
        status == 504
    }
}

/// Path and body of a generation, and the text that it owes.
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
    let owed = tokens::answer(&model, adapter.as_deref(), &prompt, call.tokens);
    (path, body, owed)
}

fn id_of(response: &Response) -> Option<String> {
    let id = response.headers().get("x-request-id")?;
    id.to_str().ok().map(str::to_owned)
}

fn code_of(text: &str) -> String {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    body["error"]["code"].as_str().unwrap_or("?").to_owned()
}

async fn whole(response: Response) -> (Ending, String) {
    let Ok(text) = response.text().await else {
        return (Ending::Cut, String::new());
    };
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    let choice = &body["choices"][0];
    let text = choice["message"]["content"].as_str().or(choice["text"].as_str());
    (Ending::Whole, text.unwrap_or_default().to_owned())
}

/// Reads a stream to its end: whole with its terminal marker, or with an explicit error.
async fn stream(response: Response) -> (Ending, String) {
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
            Some(data) => text.push_str(&token_of(data)),
            None if line == "event: error" => return (Ending::Error, text),
            None => {}
        }
    }
    (Ending::Cut, text)
}

fn token_of(data: &str) -> String {
    let chunk: Value = serde_json::from_str(data).unwrap_or_default();
    let choice = &chunk["choices"][0];
    let token = choice["delta"]["content"].as_str().or(choice["text"].as_str());
    token.unwrap_or_default().to_owned()
}
