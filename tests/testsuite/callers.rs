//! What callers see while keys, zones, upstreams and routers come and go.

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

/// Time between two looks, and how many there are at most.
const LOOK_EVERY: Duration = Duration::from_millis(20);
const LOOKS: usize = 1_000;

async fn cell(engines: usize, token: Duration) -> (Cell, String) {
    let pace = Pace { token_base: token, ..Pace::default() };
    let mut engine = engine::Settings { pace, ..engine::Settings::default() };
    engine.checkpoints.insert("summary".to_owned(), Tier::Memory);
    let plan = Plan {
        routers: 2,
        controllers: 1,
        engines: vec![engine; engines],
        register: REGISTER.to_owned(),
        ..Plan::default()
    };
    let cell = Cell::start(plan).await.expect("the cell starts");
    let key = cell.issue_key("depots").await.expect("a key is issued");
    (cell, key)
}

async fn eventually(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..LOOKS {
        if holds() {
            return;
        }
        sleep(LOOK_EVERY).await;
    }
    panic!("{what} didn't come about");
}

fn body(tokens: u32, stream: bool) -> String {
    json!({"model": "summary", "prompt": "p", "max_tokens": tokens, "stream": stream}).to_string()
}

async fn ask(cell: &Cell, router: usize, key: &str, body: String) -> reqwest::Response {
    let url = format!("http://{}/v1/completions", cell.callers(router));
    reqwest::Client::new().post(url).bearer_auth(key).body(body).send().await.unwrap()
}

/// Text of a stream's tokens, and whether it ended with its terminal marker.
fn text_of(stream: &str) -> (String, bool) {
    let chunks = stream.lines().filter_map(|line| line.strip_prefix("data: {"));
    let texts = chunks.filter_map(|chunk| {
        let chunk: Value = serde_json::from_str(&format!("{{{chunk}")).ok()?;
        Some(chunk["choices"][0]["text"].as_str()?.to_owned())
    });
    (texts.collect(), stream.ends_with("data: [DONE]\n\n"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_cuts_its_open_stream_with_an_explicit_error() {
    let (cell, key) = cell(1, Duration::from_millis(20)).await;
    let answer = ask(&cell, 0, &key, body(1000, true)).await;
    assert_eq!(answer.status(), 200);
    let name =
        cell.routers[0].router.agent.config().unwrap().authenticate(&key).unwrap().key.to_owned();
    commands::revoke(&*cell.store, &name, &author("revoke")).await.unwrap();
    let text = answer.text().await.unwrap();
    assert!(text.contains("event: error\n"), "{text}");
    assert!(text.contains("\"code\":\"unauthorized\""), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
    eventually("the end of the work", || cell.engines[0].load().0 == 0).await;
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_cancels_its_work_and_gets_its_tokens_back() {
    let (cell, key) = cell(1, Duration::from_millis(20)).await;
    for stream in [true, false] {
        let url = format!("http://{}/v1/completions", cell.callers(0));
        let client = reqwest::Client::new();
        let asked = client.post(url).bearer_auth(&key).body(body(1000, stream)).send();
        if stream {
            let mut answer = asked.await.unwrap().bytes_stream();
            assert!(answer.next().await.is_some());
        } else {
            let waited = tokio::time::timeout(Duration::from_millis(500), asked).await;
            assert!(waited.is_err(), "the whole answer takes longer");
        }
        eventually("the cancellation", || cell.engines[0].load().0 == 0).await;
        eventually("the end of the request", || cell.routers[0].router.open_requests.is_empty())
            .await;
    }
    let requests = cell.engines[0].ledger().requests;
    assert_eq!(requests.iter().filter(|request| request.cancelled).count(), 2);
    // Both reserved 1001 tokens of a burst of 8000; without the refund the third can't go.
    let large = ask(&cell, 0, &key, body(6, false)).await;
    assert_eq!(large.status(), 200);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_router_finishes_its_open_stream() {
    let (mut cell, key) = cell(1, Duration::from_millis(5)).await;
    let whole = ask(&cell, 1, &key, body(300, true)).await.text().await.unwrap();
    let answer = ask(&cell, 0, &key, body(300, true)).await;
    let leaving = cell.routers.remove(0);
    let left = tokio::spawn(leaving.leave());
    let text = answer.text().await.unwrap();
    assert_eq!(text_of(&text), text_of(&whole));
    assert!(text_of(&text).1);
    left.await.unwrap();
    let entry = format!("http://{}/v1/entry", cell.callers(0));
    let entry: Value =
        serde_json::from_str(&reqwest::get(entry).await.unwrap().text().await.unwrap()).unwrap();
    assert_eq!(entry["addresses"].as_array().unwrap().len(), 1);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_goes_silent_is_resumed_byte_exact() {
    let (cell, key) = cell(2, Duration::from_millis(5)).await;
    let whole = ask(&cell, 0, &key, body(400, true)).await.text().await.unwrap();
    let answer = ask(&cell, 0, &key, body(400, true)).await;
    for engine in &cell.engines {
        engine.fault(&Fault::Silent);
    }
    let text = answer.text().await.unwrap();
    assert_eq!(text_of(&text), text_of(&whole));
    assert!(text_of(&text).1);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_zone_gets_no_new_work_and_serves_again_after() {
    let (cell, key) = cell(2, Duration::from_millis(2)).await;
    assert_eq!(ask(&cell, 0, &key, body(5, false)).await.status(), 200);
    let used = cell.engines.iter().position(|engine| !engine.ledger().requests.is_empty()).unwrap();
    let zone = format!("z{}", used + 1);
    let applied = commands::drain(&*cell.store, &zone, &author("drain")).await.unwrap();
    cell.wait_in_force(applied.revision.0).await.unwrap();
    eventually("the look at the new revision", || {
        let shown = cell.routers[0].router.explain("depots", "summary");
        shown["replicas"].as_array().is_none_or(|list| list.iter().all(|r| r["zone"] != zone))
    })
    .await;
    let before = cell.engines[used].ledger().requests.len();
    for _ in 0..3 {
        assert_eq!(ask(&cell, 1, &key, body(5, false)).await.status(), 200);
    }
    assert_eq!(cell.engines[used].ledger().requests.len(), before);
    let entry = format!("http://{}/v1/entry", cell.callers(0));
    let entry: Value =
        serde_json::from_str(&reqwest::get(entry).await.unwrap().text().await.unwrap()).unwrap();
    assert_eq!(entry["addresses"].as_array().unwrap().len(), 1);
    commands::restore(&*cell.store, &zone, &author("restore")).await.unwrap();
    assert_eq!(ask(&cell, 0, &key, body(5, false)).await.status(), 200);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn warm_requests_go_on_without_the_store_and_orders_are_refused_as_not_run() {
    let (cell, key) = cell(1, Duration::from_millis(2)).await;
    assert_eq!(ask(&cell, 0, &key, body(5, false)).await.status(), 200);
    cell.platform.store.faults().order(Order { fault: StoreFault::Down, span_ms: None });
    sleep(Duration::from_secs(4)).await;
    for router in 0..2 {
        assert_eq!(ask(&cell, router, &key, body(5, false)).await.status(), 200);
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
async fn a_request_that_enters_after_its_key_was_revoked_is_refused() {
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
