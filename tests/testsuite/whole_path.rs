//! The whole path through the real binaries, each a process of its own.

use std::time::Duration;

use corianderyoke_support::Builder;
use corianderyoke_support::Fleet;
use reqwest::StatusCode;
use serde_json::json;
use serde_json::Value;

/// Longest time until something that the run waits for has happened.
const WITHIN: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(50);

async fn fleet() -> Fleet {
    let builder = Builder::beside(env!("CARGO_BIN_EXE_corianderyoke-router"));
    builder.start().await.expect("the fleet starts")
}

async fn post(fleet: &Fleet, router: usize, path: &str, key: &str, body: &Value) -> (u16, String) {
    let url = fleet.url(router, path).unwrap();
    let request = fleet.client.post(url).bearer_auth(key).header("idempotency-key", "order-1");
    let answer = request.body(body.to_string()).send().await.unwrap();
    let status = answer.status().as_u16();
    (status, answer.text().await.unwrap())
}

fn chat(model: &str) -> Value {
    json!({"model": model, "messages": [{"role": "user", "content": "hello"}], "max_tokens": 6})
}

/// Repeats a chat until it is answered with `status`.
async fn until(fleet: &Fleet, key: &str, status: u16) {
    let looks = WITHIN.as_millis() / LOOK_EVERY.as_millis();
    for _ in 0..looks {
        let (seen, _) = post(fleet, 1, "/v1/chat/completions", key, &chat("m1")).await;
        if seen == status {
            return;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    panic!("no answer with status {status} came in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_stream_cold_start_order_and_live_revocation() {
    let mut fleet = fleet().await;
    let key = fleet.secret("t1").to_owned();

    let (status, body) = post(&fleet, 1, "/v1/chat/completions", &key, &chat("m1")).await;
    assert_eq!(status, 200, "{body}");
    let cold: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(cold["usage"]["completion_tokens"], 6);
    assert_eq!(cold["choices"][0]["finish_reason"], "length");

    let stream = json!({"model": "m1-a", "prompt": "hello", "stream": true, "max_tokens": 9});
    let (status, text) = post(&fleet, 2, "/v1/completions", &key, &stream).await;
    assert_eq!(status, 200, "{text}");
    assert_eq!(text.matches("\"finish_reason\":null").count(), 9);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");

    let order = json!({"bin": 7});
    let (status, first) = post(&fleet, 1, "/services/orders/new", &key, &order).await;
    assert_eq!(status, 200, "{first}");
    let (status, again) = post(&fleet, 3, "/services/orders/new", &key, &order).await;
    assert_eq!((status, again), (200, first));
    let ledger = fleet.standin("orders-1", "/ledger").unwrap();
    let ledger = fleet.client.get(ledger).send().await.unwrap().text().await.unwrap();
    let ledger: Value = serde_json::from_str(&ledger).unwrap();
    assert_eq!(ledger["effects"], 1);
    assert_eq!(ledger["leaks"], 0);

    let name = key_of(&fleet, "t1");
    fleet.operate(&["revoke", &name]).unwrap();
    // The first one may be a chat that the revocation cut while it ran; the next one isn't.
    until(&fleet, &key, StatusCode::UNAUTHORIZED.as_u16()).await;
    let (status, refused) = post(&fleet, 1, "/v1/chat/completions", &key, &chat("m1")).await;
    assert_eq!(status, 401, "{refused}");
    assert!(refused.contains("\"outcome\":\"not_run\""), "{refused}");
    let other = fleet.secret("t2").to_owned();
    let (status, body) = post(&fleet, 1, "/v1/chat/completions", &other, &chat("m1")).await;
    assert_eq!(status, 200, "{body}");

    for number in 1..=3 {
        fleet.terminate(&format!("router-{number}")).unwrap();
    }
    for number in 1..=3 {
        let ended = fleet.ended(&format!("router-{number}"), WITHIN).unwrap();
        assert_eq!(ended.code(), Some(0));
    }
}

/// Name of the key of `team`.
fn key_of(fleet: &Fleet, team: &str) -> String {
    let found = fleet.operate(&["--json", "get"]).unwrap();
    let found: Value = serde_json::from_slice(&found.stdout).unwrap();
    let entries = found["entries"].as_object().unwrap();
    let keys = entries.iter().filter(|(_, entry)| entry["team"] == team);
    let names = keys.filter_map(|(address, _)| address.strip_prefix("key/"));
    names.map(str::to_owned).next().expect("the team has a key")
}
