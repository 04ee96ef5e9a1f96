//! Tests of the engine and service stand-ins over HTTP.

use std::time::Duration;

use corianderyoke_standin::engine;
use corianderyoke_standin::engine::settings::Pace;
use corianderyoke_standin::engine::settings::Tier;
use corianderyoke_standin::engine::settings::Warmup;
use corianderyoke_standin::engine::Running;
use corianderyoke_standin::engine::Settings;
use corianderyoke_standin::service;
use indexmap::IndexMap;
use reqwest::Client;
use reqwest::Response;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;
use tokio::time::timeout;

const MODEL: &str = "salt-7b";
/// Upper bound on the wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time during which an event must not occur.
const QUIET_PERIOD: Duration = Duration::from_millis(200);

fn settings() -> Settings {
    Settings {
        loaded: IndexMap::from([(MODEL.to_owned(), 10)]),
        checkpoints: IndexMap::from([
            ("disk-1b".to_owned(), Tier::Disk),
            ("far-1b".to_owned(), Tier::Remote),
        ]),
        memory_bytes: 100,
        secrets: vec!["ck-secret".to_owned()],
        ..Settings::default()
    }
}

async fn post(engine: &Running, path: &str, body: Value) -> Response {
    let url = format!("http://{}{path}", engine.address());
    let request = Client::new().post(url).header("x-request-id", "r1").json(&body);
    request.send().await.expect("an answer")
}

fn request_body(tokens: u32) -> Value {
    json!({"model": MODEL, "prompt": "hello", "max_tokens": tokens})
}

fn order_body(op: &str, model: &str, bytes: u64, fence: u64) -> Value {
    json!({"order": "o", "op": op, "model": model, "bytes": bytes, "fence": fence})
}

/// Polls until `condition` holds; panics after [`TIMEOUT`].
async fn wait_until(mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(TIMEOUT, poll).await.expect("timed out waiting for the condition");
}

/// Extracts the text of a streamed answer.
fn answer_text(body: &str) -> String {
    let chunks = body.lines().filter_map(|line| line.strip_prefix("data: {"));
    chunks
        .map(|chunk| {
            let chunk = serde_json::from_str::<Value>(&format!("{{{chunk}")).expect("json");
            chunk["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
        })
        .collect()
}

#[tokio::test]
async fn resumed_answer_continues_at_its_offset() {
    let engine = engine::serve(settings()).await.expect("engine");
    let whole = post(&engine, "/v1/completions", request_body(9)).await.text().await.expect("body");
    let mut resumed = request_body(9);
    resumed["resume_from"] = json!(4);
    let rest = post(&engine, "/v1/completions", resumed).await.text().await.expect("body");
    assert_eq!(answer_text(&whole), engine::answer(MODEL, None, "hello", 9));
    assert_eq!(engine::answer(MODEL, None, "hello", 4) + &answer_text(&rest), answer_text(&whole));
    assert!(whole.ends_with("data: [DONE]\n\n"));
    assert!(whole.contains("\"completion_tokens\":9"));
    assert_eq!(engine.ledger().requests.len(), 2);
}

#[tokio::test]
async fn closing_the_connection_cancels_the_request() {
    let pace = Pace { token_base: Duration::from_millis(20), max_running: 1, ..Pace::default() };
    let engine = engine::serve(Settings { pace, ..settings() }).await.expect("engine");
    let running = post(&engine, "/v1/completions", request_body(10_000)).await;
    let waiting = post(&engine, "/v1/completions", request_body(10_000)).await;
    wait_until(|| engine.load() == (1, 1)).await;
    drop(waiting);
    wait_until(|| engine.load() == (1, 0)).await;
    drop(running);
    wait_until(|| engine.load() == (0, 0)).await;
    wait_until(|| engine.ledger().requests.iter().all(|request| request.cancelled)).await;
}

#[tokio::test]
async fn orders_over_memory_or_with_stale_fence_are_rejected() {
    let engine = engine::serve(settings()).await.expect("engine");
    let request = json!({"model": "disk-1b", "prompt": "p"});
    assert_eq!(post(&engine, "/v1/completions", request.clone()).await.status(), 404);
    assert_eq!(post(&engine, "/orders", order_body("load", "disk-1b", 60, 7)).await.status(), 202);
    assert_eq!(post(&engine, "/orders", order_body("load", "far-1b", 60, 7)).await.status(), 507);
    assert_eq!(post(&engine, "/orders", order_body("unload", "disk-1b", 0, 6)).await.status(), 409);
    wait_until(|| engine.loaded().contains("disk-1b")).await;
    assert_eq!(post(&engine, "/v1/completions", request).await.status(), 200);
    assert_eq!(post(&engine, "/orders", order_body("unload", "disk-1b", 0, 8)).await.status(), 202);
    wait_until(|| !engine.loaded().contains("disk-1b")).await;
    let ledger = engine.ledger();
    assert_eq!((ledger.overcommits, ledger.stale_orders, ledger.peak_bytes), (1, 1, 70));
    assert_eq!(ledger.changes.len(), 2);
}

#[tokio::test]
async fn silent_fault_spares_new_connections() {
    let engine = engine::serve(settings()).await.expect("engine");
    let mut old = post(&engine, "/v1/completions", request_body(200)).await;
    old.chunk().await.expect("bytes").expect("a token");
    assert_eq!(post(&engine, "/faults", json!({"fault": "silent"})).await.status(), 200);
    let rest = async { while let Ok(Some(_)) = old.chunk().await {} };
    assert!(timeout(QUIET_PERIOD, rest).await.is_err());
    let new = post(&engine, "/v1/completions", request_body(3)).await.text().await.expect("body");
    assert!(new.ends_with("[DONE]\n\n"));
}

#[tokio::test]
async fn overload_during_warmup_crashes_the_engine() {
    let warmup =
        Warmup { duration: TIMEOUT, sustained_requests: 1, crash_requests: 3, slowdown: 2 };
    let engine = engine::serve(Settings { warmup, ..settings() }).await.expect("engine");
    let _first = post(&engine, "/v1/completions", request_body(10_000)).await;
    let _second = post(&engine, "/v1/completions", request_body(10_000)).await;
    wait_until(|| engine.ledger().overloads == 1).await;
    let url = format!("http://{}/v1/completions", engine.address());
    let _third =
        Client::new().post(url).header("x-request-id", "r").json(&request_body(9)).send().await;
    wait_until(|| engine.is_dead()).await;
    assert!(engine.ledger().collapsed);
    assert!(Client::new().get(format!("http://{}/load", engine.address())).send().await.is_err());
}

#[tokio::test]
async fn ledger_records_headers_fields_and_secrets() {
    let engine = engine::serve(settings()).await.expect("engine");
    let url = format!("http://{}/v1/completions", engine.address());
    let request = Client::new().post(url).header("x-request-id", "r1").json(&request_body(1));
    request.header("authorization", "Bearer ck-secret").send().await.expect("an answer");
    let ledger = engine.ledger();
    assert!(ledger.headers.contains("authorization"));
    assert!(ledger.fields.contains("max_tokens"));
    assert_eq!(ledger.leaks, 1);
}

#[tokio::test]
async fn reported_load_lags() {
    let load_lag = Duration::from_millis(100);
    let engine = engine::serve(Settings { load_lag, ..settings() }).await.expect("engine");
    let _call = post(&engine, "/v1/completions", request_body(10_000)).await;
    let url = format!("http://{}/load", engine.address());
    loop {
        let load = Client::new().get(&url).send().await.expect("an answer");
        let load = load.json::<engine::load::Load>().await.expect("json");
        if load.running == 1 {
            assert!(load.age_ms >= 100);
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn service_counts_repeated_effects_under_lost_responses() {
    let service = service::serve(service::Settings::default()).await.expect("service");
    let url = format!("http://{}/orders/7", service.address());
    let send = || Client::new().post(&url).header("idempotency-key", "k1").body("grit").send();
    assert_eq!(send().await.expect("an answer").status(), 200);
    service.fault(service::Fault::SilentAfter { calls: 1 });
    assert!(timeout(QUIET_PERIOD, send()).await.is_err());
    service.fault(service::Fault::CutAfter { calls: 1 });
    assert!(send().await.is_err());
    service.fault(service::Fault::SilentBefore { calls: 1 });
    assert!(timeout(QUIET_PERIOD, send()).await.is_err());
    let ledger = service.ledger();
    assert_eq!(ledger.repeated_keys(), ["k1"]);
    assert_eq!(ledger.effects, 3);
    assert_eq!(ledger.bodies["grit"], 3);
}
