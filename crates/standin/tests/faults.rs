//! Tests of the engine stand-in's faults and limits, and of the weight store.

use std::time::Duration;

use corianderyoke_standin::engine;
use corianderyoke_standin::engine::settings::LoadTimes;
use corianderyoke_standin::engine::settings::Pace;
use corianderyoke_standin::engine::settings::Tier;
use corianderyoke_standin::engine::weights;
use corianderyoke_standin::engine::weights::Usage;
use corianderyoke_standin::engine::Fault;
use corianderyoke_standin::engine::Running;
use corianderyoke_standin::engine::Settings;
use corianderyoke_standin::engine::WeightStore;
use indexmap::IndexMap;
use reqwest::Client;
use reqwest::Response;
use serde_json::json;
use serde_json::Value;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

const MODEL: &str = "salt-7b";
const REMOTE_MODEL: &str = "far-1b";
/// Upper bound on the wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

fn settings(weights: &WeightStore) -> Settings {
    Settings {
        loaded: IndexMap::from([(MODEL.to_owned(), 10)]),
        checkpoints: IndexMap::from([(REMOTE_MODEL.to_owned(), Tier::Remote)]),
        memory_bytes: 100,
        weights: weights.clone(),
        ..Settings::default()
    }
}

fn new_store(loads_limit: usize) -> WeightStore {
    let load_time = Duration::from_millis(400);
    let settings = weights::Settings { loads_limit, load_time, ..<_>::default() };
    WeightStore::new(settings)
}

async fn post(engine: &Running, path: &str, id: &str, body: Value) -> Response {
    let url = format!("http://{}{path}", engine.address());
    let request = Client::new().post(url).header("x-request-id", id).json(&body);
    request.send().await.expect("an answer")
}

async fn send_order(engine: &Running, op: &str, model: &str, adapter: Option<&str>) -> u16 {
    let body = json!({"order": "o", "op": op, "model": model, "adapter": adapter, "bytes": 20});
    post(engine, "/orders", "o", body).await.status().as_u16()
}

async fn complete(engine: &Running, id: &str, tokens: u32, priority: i32) -> Response {
    let body = json!({"model": MODEL, "prompt": "p", "max_tokens": tokens, "priority": priority});
    post(engine, "/v1/completions", id, body).await
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

#[tokio::test]
async fn crashes_when_a_load_starts() {
    let engine = engine::serve(settings(&new_store(4))).await.expect("engine");
    engine.fault(&Fault::DieInLoad);
    let body = json!({"order": "o", "op": "load", "model": REMOTE_MODEL, "bytes": 20});
    let url = format!("http://{}/orders", engine.address());
    // The crash may close the connection before the response arrives.
    let _ = Client::new().post(url).json(&body).send().await;
    wait_until(|| engine.is_dead()).await;
    engine.stopped().await;
    let ledger = engine.ledger();
    assert_eq!(ledger.changes.len(), 1);
    assert_eq!(ledger.changes[0].done_us, None);
}

/// Reads one response with a body of known length.
async fn read_response(stream: &mut BufReader<TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(
            stream.read_line(&mut head).await.expect("a line") > 0,
            "the connection was closed"
        );
    }
    let length = head.to_lowercase().lines().find_map(|line| {
        let length = line.strip_prefix("content-length:")?.trim();
        length.parse().ok()
    });
    let mut body = vec![0; length.expect("a content length")];
    stream.read_exact(&mut body).await.expect("a body");
    head + &String::from_utf8(body).expect("text")
}

#[tokio::test]
async fn writes_responses_once_more_before_the_next_and_on_idle_connections() {
    let engine = engine::serve(settings(&new_store(4))).await.expect("engine");
    let stream = TcpStream::connect(engine.address()).await.expect("a connection");
    let mut stream = BufReader::new(stream);
    let cancel = |id: &str| {
        let body = format!("{{\"request_id\":\"{id}\"}}");
        let length = body.len();
        format!(
            "POST /cancel HTTP/1.1\r\nhost: h\r\nx-request-id: {id}\r\ncontent-length: \
             {length}\r\n\r\n{body}"
        )
    };
    let exchanges = async {
        stream.write_all(cancel("r1").as_bytes()).await.expect("sent");
        let first = read_response(&mut stream).await;
        assert!(first.contains("x-request-id: r1\r\n"), "{first}");
        engine.fault(&Fault::Repeat { requests: 1 });
        stream.write_all(cancel("r2").as_bytes()).await.expect("sent");
        assert_eq!(read_response(&mut stream).await, first);
        let second = read_response(&mut stream).await;
        assert!(second.contains("x-request-id: r2\r\n"), "{second}");
        engine.fault(&Fault::RepeatIdle);
        assert_eq!(read_response(&mut stream).await, second);
        stream.write_all(cancel("r3").as_bytes()).await.expect("sent");
        assert!(read_response(&mut stream).await.contains("x-request-id: r3\r\n"));
    };
    timeout(TIMEOUT, exchanges).await.expect("timed out waiting for a response");
}

#[tokio::test]
async fn losing_models_truncates_running_streams() {
    let engine = engine::serve(settings(&new_store(4))).await.expect("engine");
    let stream = complete(&engine, "r1", 100_000, 0).await;
    engine.fault(&Fault::LoseModels);
    let body = stream.text().await.expect("a body that ends");
    assert!(!body.contains("[DONE]"));
    assert_eq!(complete(&engine, "r2", 1, 0).await.status(), 404);
    let ledger = engine.ledger();
    assert!(!ledger.requests[0].finished && !ledger.requests[0].cancelled);
    assert_eq!(ledger.not_loaded, 1);
}

#[tokio::test]
async fn queue_is_ordered_by_priority_then_age() {
    let pace = Pace { max_running: 1, ..Pace::default() };
    let settings = Settings { pace, ..settings(&new_store(4)) };
    let engine = engine::serve(settings).await.expect("engine");
    let first = complete(&engine, "first", 100_000, 0).await;
    let mut waiting = Vec::new();
    for (index, (id, priority)) in [("low", 0), ("high", 9), ("high2", 9)].iter().enumerate() {
        waiting.push(complete(&engine, id, 100_000, *priority).await);
        wait_until(|| engine.load() == (1, index + 1)).await;
    }
    drop(first);
    let mut order = Vec::new();
    for id in ["high", "high2", "low"] {
        let running = |ledger: &engine::Ledger| {
            let streaming =
                ledger.requests.iter().filter(|request| request.tokens > 0 && !request.cancelled);
            streaming.map(|request| request.request_id.clone()).collect::<Vec<_>>()
        };
        wait_until(|| running(&engine.ledger()).iter().any(|other| other != "first")).await;
        wait_until(|| !running(&engine.ledger()).iter().any(|other| other == "first")).await;
        order.extend(running(&engine.ledger()));
        post(&engine, "/cancel", "c", json!({"request_id": id})).await;
        wait_until(|| !running(&engine.ledger()).iter().any(|other| other == id)).await;
    }
    assert_eq!(order, ["high", "high2", "low"]);
}

#[tokio::test]
async fn adapters_load_on_order_and_count_as_memory() {
    let store = new_store(4);
    let engine = engine::serve(settings(&store)).await.expect("engine");
    let request = json!({"model": MODEL, "adapter": "a", "prompt": "p", "max_tokens": 2});
    assert_eq!(post(&engine, "/v1/completions", "r", request.clone()).await.status(), 404);
    assert_eq!(send_order(&engine, "load_adapter", MODEL, Some("a")).await, 202);
    wait_until(|| engine.ledger().changes.iter().all(|change| change.done_us.is_some())).await;
    assert_eq!(post(&engine, "/v1/completions", "r", request).await.status(), 200);
    for _ in 0..2 {
        assert_eq!(send_order(&engine, "load_adapter", MODEL, Some("a")).await, 202);
    }
    assert_eq!(engine.ledger().peak_bytes, 30);
    assert_eq!(store.usage().adapters, 1);
    assert_eq!(send_order(&engine, "load_adapter", "absent", Some("a")).await, 404);
}

#[tokio::test]
async fn remote_weight_store_counts_limit_violations() {
    let store = new_store(1);
    let running = store.serve("127.0.0.1:0".parse().expect("an address")).await.expect("store");
    let shared = WeightStore::at(running.address);
    let times = LoadTimes::default();
    let one = engine::serve(Settings { times, ..settings(&shared) }).await.expect("engine");
    let two = engine::serve(settings(&shared)).await.expect("engine");
    for engine in [&one, &two] {
        assert_eq!(send_order(engine, "load", REMOTE_MODEL, None).await, 202);
    }
    wait_until(|| one.loaded().contains(REMOTE_MODEL) && two.loaded().contains(REMOTE_MODEL)).await;
    let url = format!("http://{}/ledger", running.address);
    let usage = Client::new().get(url).send().await.expect("an answer");
    let usage = usage.json::<Usage>().await.expect("usage");
    assert_eq!(usage, store.usage());
    assert_eq!((usage.loads, usage.loads_over_limit, usage.loads_peak), (2, 1, 2));
    assert_eq!(usage.loads_over_rate, 0);
}
