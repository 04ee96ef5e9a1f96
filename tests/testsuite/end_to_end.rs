//! End-to-end test of the real binaries, each in its own process.

use std::time::Duration;

use corianderyoke_support::Builder;
use corianderyoke_support::Fleet;
use reqwest::StatusCode;
use serde_json::json;
use serde_json::Value;

/// Time limit for every condition that the test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn fleet() -> Fleet {
    let builder = Builder::beside(env!("CARGO_BIN_EXE_corianderyoke-router"));
    builder.start().await.expect("the fleet starts")
}

async fn post(fleet: &Fleet, router: usize, path: &str, key: &str, body: &Value) -> (u16, String) {
    let url = fleet.url(router, path).unwrap();
    let request = fleet.client.post(url).bearer_auth(key).header("idempotency-key", "order-1");
    let response = request.body(body.to_string()).send().await.unwrap();
    let status = response.status().as_u16();
    (status, response.text().await.unwrap())
}

fn chat(model: &str) -> Value {
    json!({"model": model, "messages": [{"role": "user", "content": "hello"}], "max_tokens": 6})
}

/// Repeats a chat until the response has the status `status`.
async fn wait_for_status(fleet: &Fleet, key: &str, status: u16) {
    let polls = WAIT_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        let (received, _) = post(fleet, 1, "/v1/chat/completions", key, &chat("m1")).await;
        if received == status {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for a response with status {status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_serves_requests_revokes_a_key_and_shuts_down() {
    let mut fleet = fleet().await;
    let key = fleet.secret("t1").to_owned();

    let (status, body) = post(&fleet, 1, "/v1/chat/completions", &key, &chat("m1")).await;
    assert_eq!(status, 200, "{body}");
    let completion: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(completion["usage"]["completion_tokens"], 6);
    assert_eq!(completion["choices"][0]["finish_reason"], "length");

    let stream = json!({"model": "m1-a", "prompt": "hello", "stream": true, "max_tokens": 9});
    let (status, text) = post(&fleet, 2, "/v1/completions", &key, &stream).await;
    assert_eq!(status, 200, "{text}");
    assert_eq!(text.matches("\"finish_reason\":null").count(), 9);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");

    let order = json!({"bin": 7});
    let (status, first) = post(&fleet, 1, "/services/orders/new", &key, &order).await;
    assert_eq!(status, 200, "{first}");
    let (status, repeated) = post(&fleet, 3, "/services/orders/new", &key, &order).await;
    assert_eq!((status, repeated), (200, first));
    let ledger = fleet.standin("orders-1", "/ledger").unwrap();
    let ledger = fleet.client.get(ledger).send().await.unwrap().text().await.unwrap();
    let ledger: Value = serde_json::from_str(&ledger).unwrap();
    assert_eq!(ledger["effects"], 1);
    assert_eq!(ledger["leaks"], 0);

    let name = key_name(&fleet, "t1");
    fleet.operate(&["revoke", &name]).unwrap();
    // The first chat with this status may have been cancelled by the revocation while it ran. The
    // next one is refused on arrival.
    wait_for_status(&fleet, &key, StatusCode::UNAUTHORIZED.as_u16()).await;
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
        let ended = fleet.ended(&format!("router-{number}"), WAIT_TIMEOUT).unwrap();
        assert_eq!(ended.code(), Some(0));
    }
}

/// Returns the name of the key of `team`.
fn key_name(fleet: &Fleet, team: &str) -> String {
    let output = fleet.operate(&["--json", "get"]).unwrap();
    let output: Value = serde_json::from_slice(&output.stdout).unwrap();
    let entries = output["entries"].as_object().unwrap();
    let keys = entries.iter().filter(|(_, entry)| entry["team"] == team);
    let names = keys.filter_map(|(address, _)| address.strip_prefix("key/"));
    names.map(str::to_owned).next().expect("the team has a key")
}
