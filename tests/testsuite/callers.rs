//! Tests of what callers receive when keys are revoked, zones are drained, callers disconnect, and
//! routers, engines or the store stop.

use std::time::Duration;

use corianderyoke::ops::bench::cell::author;
use corianderyoke::ops::bench::cell::Cell;
use corianderyoke::ops::bench::cell::Plan;
use corianderyoke::ops::config::commands;
use corianderyoke::router::open::Grant;
use corianderyoke::router::refusal::Code;
use corianderyoke::router::refusal::Outcome;
use corianderyoke_platform::faults::Fault as StoreFault;
use corianderyoke_platform::faults::Order;
use corianderyoke_standin::engine;
use corianderyoke_standin::engine::settings::Pace;
use corianderyoke_standin::engine::settings::Tier;
use corianderyoke_standin::engine::Fault;
use futures::StreamExt;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;

const REGISTER: &str = r#"
[models.summary]
bytes = 16_000_000_000
bytes_per_token = 2.0
context_tokens = 4096
[models.summary.start_ms]
memory = 100
disk = 400
remote = 1_000
[teams.depots]
rate = 1_000
burst = 8_000
[grants.depots]
models = ["summary"]
services = ["orders"]
[services.orders]
upstreams = ["orders-1"]
[rules]
deadline_ms = 20_000
"#;

/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a wait fails.
const MAX_POLLS: usize = 1_000;

pub async fn cell(engines: usize, token_time: Duration) -> (Cell, String) {
    cell_with(engines, token_time, REGISTER).await
}

async fn cell_with(engines: usize, token_time: Duration, register: &str) -> (Cell, String) {
    start(Plan { register: register.to_owned(), ..plan(engines, token_time) }).await
}

/// A plan with two routers and engines that can load the model.
pub fn plan(engines: usize, token_time: Duration) -> Plan {
    let pace = Pace { token_base: token_time, ..Pace::default() };
    let mut engine = engine::Settings { pace, ..engine::Settings::default() };
    engine.checkpoints.insert("summary".to_owned(), Tier::Memory);
    Plan {
        routers: 2,
        controllers: 1,
        engines: vec![engine; engines],
        register: REGISTER.to_owned(),
        ..Plan::default()
    }
}

/// Starts a cell and returns it with a key of its team.
pub async fn start(plan: Plan) -> (Cell, String) {
    let cell = Cell::start(plan).await.expect("the cell starts");
    let key = cell.issue_key("depots").await.expect("a key is issued");
    (cell, key)
}

pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for {what}");
}

fn body(tokens: u32, stream: bool) -> String {
    json!({"model": "summary", "prompt": "p", "max_tokens": tokens, "stream": stream}).to_string()
}

pub async fn send_completion(
    cell: &Cell,
    router: usize,
    key: &str,
    body: String,
) -> reqwest::Response {
    let url = format!("http://{}/v1/completions", cell.callers(router));
    reqwest::Client::new().post(url).bearer_auth(key).body(body).send().await.unwrap()
}

/// Returns the text of a stream's tokens, and whether the stream ended with its terminal marker.
pub fn stream_text(stream: &str) -> (String, bool) {
    let chunks = stream.lines().filter_map(|line| line.strip_prefix("data: {"));
    let texts = chunks.filter_map(|chunk| {
        let chunk: Value = serde_json::from_str(&format!("{{{chunk}")).ok()?;
        Some(chunk["choices"][0]["text"].as_str()?.to_owned())
    });
    (texts.collect(), stream.ends_with("data: [DONE]\n\n"))
}

#[tokio::test(flavor = "multi_thread")]
async fn revocation_ends_the_open_stream_of_the_key_with_an_explicit_error() {
    let (cell, key) = cell(1, Duration::from_millis(20)).await;
    let response = send_completion(&cell, 0, &key, body(1000, true)).await;
    assert_eq!(response.status(), 200);
    let name =
        cell.routers[0].router.agent.config().unwrap().authenticate(&key).unwrap().key.to_owned();
    commands::revoke(&*cell.store, &name, &author("revoke")).await.unwrap();
    let text = response.text().await.unwrap();
    assert!(text.contains("event: error\n"), "{text}");
    assert!(text.contains("\"code\":\"unauthorized\""), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
    wait_until("the cancellation at the engine", || cell.engines[0].load().0 == 0).await;
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_the_request_and_refunds_its_tokens() {
    // The team's bucket holds four reservations of 1,001 tokens, and gains one in a second.
    let register = REGISTER.replace("8_000", "4_096");
    let (cell, key) = cell_with(1, Duration::from_millis(20), &register).await;
    let requests = [true; 12].into_iter().chain([false]);
    for stream in requests {
        let url = format!("http://{}/v1/completions", cell.callers(0));
        let client = reqwest::Client::new();
        let sent = client.post(url).bearer_auth(&key).body(body(1000, stream)).send();
        if stream {
            let mut response = sent.await.unwrap().bytes_stream();
            assert!(response.next().await.is_some());
        } else {
            let waited = tokio::time::timeout(Duration::from_millis(500), sent).await;
            assert!(waited.is_err(), "the complete response takes longer");
        }
        wait_until("the cancellation at the engine", || cell.engines[0].load().0 == 0).await;
        wait_until("the end of the request", || cell.routers[0].router.open_requests.is_empty())
            .await;
    }
    let requests = cell.engines[0].ledger().requests;
    assert_eq!(requests.iter().filter(|request| request.cancelled).count(), 13);
    // The requests produced some of their tokens, and the router must refund the others.
    let next = send_completion(&cell, 0, &key, body(1000, true)).await;
    assert_eq!(next.status(), 200);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_router_completes_its_open_stream() {
    let (mut cell, key) = cell(1, Duration::from_millis(5)).await;
    let uninterrupted =
        send_completion(&cell, 1, &key, body(300, true)).await.text().await.unwrap();
    let response = send_completion(&cell, 0, &key, body(300, true)).await;
    let leaving = cell.routers.remove(0);
    let departure = tokio::spawn(leaving.leave());
    let text = response.text().await.unwrap();
    assert_eq!(stream_text(&text), stream_text(&uninterrupted));
    assert!(stream_text(&text).1);
    departure.await.unwrap();
    let entry = format!("http://{}/v1/entry", cell.callers(0));
    let entry: Value =
        serde_json::from_str(&reqwest::get(entry).await.unwrap().text().await.unwrap()).unwrap();
    assert_eq!(entry["addresses"].as_array().unwrap().len(), 1);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_stalled_engine_is_resumed_byte_for_byte() {
    let (cell, key) = cell(2, Duration::from_millis(5)).await;
    let uninterrupted =
        send_completion(&cell, 0, &key, body(400, true)).await.text().await.unwrap();
    let response = send_completion(&cell, 0, &key, body(400, true)).await;
    for engine in &cell.engines {
        engine.fault(&Fault::Silent);
    }
    let text = response.text().await.unwrap();
    assert_eq!(stream_text(&text), stream_text(&uninterrupted));
    assert!(stream_text(&text).1);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_zone_receives_no_new_requests_and_can_be_restored() {
    let (cell, key) = cell(2, Duration::from_millis(2)).await;
    assert_eq!(send_completion(&cell, 0, &key, body(5, false)).await.status(), 200);
    let serving =
        cell.engines.iter().position(|engine| !engine.ledger().requests.is_empty()).unwrap();
    let zone = format!("z{}", serving + 1);
    let applied = commands::drain(&*cell.store, &zone, &author("drain")).await.unwrap();
    cell.wait_in_force(applied.revision.0).await.unwrap();
    wait_until("the exclusion of the drained zone's replicas", || {
        let explanation = cell.routers[0].router.explain("depots", "summary");
        explanation["replicas"].as_array().is_none_or(|list| list.iter().all(|r| r["zone"] != zone))
    })
    .await;
    let before = cell.engines[serving].ledger().requests.len();
    for _ in 0..3 {
        assert_eq!(send_completion(&cell, 1, &key, body(5, false)).await.status(), 200);
    }
    assert_eq!(cell.engines[serving].ledger().requests.len(), before);
    let entry = format!("http://{}/v1/entry", cell.callers(0));
    let entry: Value =
        serde_json::from_str(&reqwest::get(entry).await.unwrap().text().await.unwrap()).unwrap();
    assert_eq!(entry["addresses"].as_array().unwrap().len(), 1);
    commands::restore(&*cell.store, &zone, &author("restore")).await.unwrap();
    assert_eq!(send_completion(&cell, 0, &key, body(5, false)).await.status(), 200);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_permits_warm_requests_and_refuses_orders_as_not_run() {
    let (cell, key) = cell(1, Duration::from_millis(2)).await;
    assert_eq!(send_completion(&cell, 0, &key, body(5, false)).await.status(), 200);
    cell.platform.store.faults().order(Order { fault: StoreFault::Down, span_ms: None });
    sleep(Duration::from_secs(4)).await;
    for router in 0..2 {
        assert_eq!(send_completion(&cell, router, &key, body(5, false)).await.status(), 200);
    }
    let url = format!("http://{}/services/orders/new", cell.callers(0));
    let order = reqwest::Client::new().post(url).bearer_auth(&key).header("idempotency-key", "k");
    let refused = order.body("{}").send().await.unwrap();
    assert_eq!(refused.status(), 503);
    assert!(refused.text().await.unwrap().contains("\"outcome\":\"not_run\""));
    assert_eq!(cell.services[0].ledger().effects, 0);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_enters_after_the_revocation_of_its_key_is_refused() {
    let (cell, key) = cell(1, Duration::from_millis(2)).await;
    let router = &cell.routers[0].router;
    let name = router.agent.config().unwrap().authenticate(&key).unwrap().key.to_owned();
    let (team, target) = ("depots".to_owned(), "summary".to_owned());
    let grant = Grant { key: name.clone(), team, target };
    assert!(router.open_request(grant.clone()).is_ok());
    let revoked = commands::revoke(&*cell.store, &name, &author("revoke")).await.unwrap();
    cell.wait_in_force(revoked.revision.0).await.unwrap();
    let refusal = router.open_request(grant).err().expect("the key was revoked");
    assert_eq!((refusal.code, refusal.outcome), (Code::Unauthorized, Outcome::NotRun));
    assert!(router.open_requests.is_empty());
    cell.stop().await;
}
