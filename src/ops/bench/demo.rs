//! The demo: starts a cell in one process, sends one request of each kind and renders a table of the
//! results.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use corianderyoke_standin::engine;
use corianderyoke_standin::engine::settings::Tier;
use serde_json::json;
use serde_json::Value;

use crate::ops::bench::cell::Cell;
use crate::ops::bench::cell::Plan;
use crate::util::table::Table;

/// Register and rules of the demo's cell, without upstreams and zones.
const REGISTER: &str = r#"
[models.summary]
bytes = 16_000_000_000
bytes_per_token = 2.0
context_tokens = 4096
output_tokens = 4000
[models.summary.start_ms]
memory = 200
disk = 600
remote = 2_000

[adapters.summary-winter]
model = "summary"
bytes = 50_000_000

[teams.depots]
rate = 5_000
burst = 10_000

[teams.trial]
rate = 10
burst = 4_096

[grants.depots]
models = ["summary"]
adapters = ["summary-winter"]
services = ["orders"]

[grants.trial]
models = ["summary"]

[services.orders]
upstreams = ["orders-1"]

[rules]
deadline_ms = 20_000
"#;

/// One request of the demo and its result.
struct Step {
    name: &'static str,
    expected: &'static str,
    actual: String,
    elapsed: Duration,
}

/// Runs the demo and returns its table. Fails if the result of a step differs from the expected one.
pub async fn run() -> Result<String> {
    let mut engine = engine::Settings::default();
    engine.checkpoints.insert("summary".to_owned(), Tier::Disk);
    let plan = Plan {
        engines: vec![engine.clone(), engine],
        register: REGISTER.to_owned(),
        ..Plan::default()
    };
    let cell = Cell::start(plan).await.context("failed to start the demo's cell")?;
    let depots = cell.issue_key("depots").await?;
    let trial = cell.issue_key("trial").await?;
    let caller = Caller { cell: &cell, client: reqwest::Client::new() };
    let steps = vec![
        caller.chat("cold start: a chat loads the model", 0, &depots, "summary", 8).await?,
        caller.chat("warm: a chat at another router", 1, &depots, "summary", 8).await?,
        caller.stream("a stream", 2, &depots, "summary").await?,
        caller.chat("an adapter", 0, &depots, "summary-winter", 8).await?,
        caller.order("an order", 0, &depots).await?,
        caller.order("the same order at another router", 1, &depots).await?,
        caller.limit("a team over its burst", 2, &trial).await?,
        caller.chat("an unknown key", 0, "ck_none", "summary", 8).await?,
    ];
    let runs = cell.services[0].ledger().effects;
    let table = render(&steps, runs);
    cell.stop().await;
    let failed: Vec<&str> =
        steps.iter().filter(|step| step.actual != step.expected).map(|step| step.name).collect();
    anyhow::ensure!(
        failed.is_empty(),
        "{table}\nsteps with unexpected results: {}",
        failed.join(", ")
    );
    Ok(table)
}

fn render(steps: &[Step], runs: u64) -> String {
    let mut table = Table::new(["STEP", "EXPECTED", "SEEN", "MS"]);
    for step in steps {
        let elapsed = format!("{:.1}", step.elapsed.as_secs_f64() * 1000.0);
        table.row([step.name.to_owned(), step.expected.to_owned(), step.actual.clone(), elapsed]);
    }
    format!("{table}the order ran {runs} time(s) at the service\n")
}

struct Caller<'a> {
    cell: &'a Cell,
    client: reqwest::Client,
}

impl Caller<'_> {
    async fn post(
        &self,
        router: usize,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<reqwest::Response> {
        let url = format!("http://{}{path}", self.cell.callers(router));
        let request = self.client.post(url).bearer_auth(key).header("idempotency-key", "demo-1");
        Ok(request.body(body.to_string()).send().await?)
    }

    async fn chat(
        &self,
        name: &'static str,
        router: usize,
        key: &str,
        model: &str,
        tokens: u32,
    ) -> Result<Step> {
        let start = Instant::now();
        let messages = [json!({"role": "user", "content": "which routes are icy?"})];
        let body = json!({"model": model, "messages": messages, "max_tokens": tokens});
        let answer = self.post(router, "/v1/chat/completions", key, &body).await?;
        let status = answer.status().as_u16();
        let body: Value = serde_json::from_str(&answer.text().await?)?;
        let actual = match body["usage"]["completion_tokens"].as_u64() {
            Some(tokens) => format!("{status}, {tokens} tokens"),
            None => format!("{status} {}", body["error"]["code"].as_str().unwrap_or("?")),
        };
        let expected = if key == "ck_none" { "401 unauthorized" } else { "200, 8 tokens" };
        Ok(Step { name, expected, actual, elapsed: start.elapsed() })
    }

    async fn stream(
        &self,
        name: &'static str,
        router: usize,
        key: &str,
        model: &str,
    ) -> Result<Step> {
        let start = Instant::now();
        let body = json!({"model": model, "prompt": "a", "stream": true, "max_tokens": 16});
        let answer = self.post(router, "/v1/completions", key, &body).await?;
        let status = answer.status().as_u16();
        let text = answer.text().await?;
        let chunks = text.matches("data: {").count();
        let end = if text.ends_with("data: [DONE]\n\n") { "done" } else { "cut" };
        let actual = format!("{status}, {chunks} chunks, {end}");
        Ok(Step { name, expected: "200, 17 chunks, done", actual, elapsed: start.elapsed() })
    }

    async fn order(&self, name: &'static str, router: usize, key: &str) -> Result<Step> {
        let start = Instant::now();
        let body = json!({"bin": "hill road 7", "bags": 12});
        let answer = self.post(router, "/services/orders/new", key, &body).await?;
        let replayed = answer.headers().contains_key("idempotency-replayed");
        let actual =
            format!("{}{}", answer.status().as_u16(), if replayed { ", kept" } else { "" });
        let expected = if router == 0 { "200" } else { "200, kept" };
        Ok(Step { name, expected, actual, elapsed: start.elapsed() })
    }

    /// Sends a request that needs more tokens than the team's limit allows before its deadline of
    /// 500 ms.
    async fn limit(&self, name: &'static str, router: usize, key: &str) -> Result<Step> {
        let start = Instant::now();
        let body =
            json!({"model": "summary", "prompt": "a", "max_tokens": 4000, "deadline_ms": 500});
        let answer = self.post(router, "/v1/completions", key, &body).await?;
        let status = answer.status().as_u16();
        let body: Value = serde_json::from_str(&answer.text().await?)?;
        let code = body["error"]["code"].as_str().unwrap_or("?");
        let outcome = body["error"]["outcome"].as_str().unwrap_or("?");
        let actual = format!("{status} {code}, {outcome}");
        Ok(Step { name, expected: "429 over_limit, not_run", actual, elapsed: start.elapsed() })
    }
}
