//! Tests of entries and rows of another writer that no engine, operator or daemon would write.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;

use crate::engine::Engine;
use crate::fixture::desired_state;
use crate::fixture::desired_state_with_added_route;
use crate::fixture::wait_until;
use crate::fixture::Daemon;
use crate::fixture::Fixture;

/// Depth of a nested list.
const DEPTH: usize = 200_000;
/// Length of a long text, in bytes.
const LONG: usize = 300_000;
/// Time within which a daemon reads a row; also longer than the interval of the engines' table.
const READ_TIME: Duration = Duration::from_millis(700);

fn entry(engine: &Engine) -> Value {
    json!({
        "service": engine.service, "address": engine.address.to_string(), "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 40, "born": 1,
        "models": [],
    })
}

/// Returns the entry of an engine with one field replaced.
fn entry_with(engine: &Engine, field: &str, value: Value) -> Vec<u8> {
    let mut entry = entry(engine);
    entry[field] = value;
    entry.to_string().into_bytes()
}

/// Returns the entry of an engine with one field replaced by a nested list.
fn nested_entry(engine: &Engine, field: &str) -> Vec<u8> {
    let entry = entry_with(engine, field, json!("NESTED"));
    let entry = String::from_utf8(entry).expect("JSON is text");
    let list = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    entry.replace("\"NESTED\"", &list).into_bytes()
}

/// Returns entries that name no engine to use.
fn odd_entries(decoy: &Engine) -> Vec<Vec<u8>> {
    let address = decoy.address.ip();
    vec![
        "[".repeat(DEPTH).into_bytes(),
        nested_entry(decoy, "models"),
        entry_with(decoy, "cold_left_ms", json!(1e300)),
        entry_with(decoy, "cold_left_ms", json!(1e25)),
        entry_with(decoy, "cold_left_ms", json!("soon")),
        entry_with(decoy, "slots", json!(1_u64 << 40)),
        entry_with(decoy, "slots", json!(-1)),
        entry_with(decoy, "born", json!(1e300)),
        entry_with(decoy, "born", json!(-1)),
        entry_with(decoy, "address", json!(format!("{address}:80000"))),
        entry_with(decoy, "address", json!(format!("{address}:-1"))),
        entry_with(decoy, "address", json!(format!("{address}:0"))),
        entry_with(decoy, "address", json!("x".repeat(LONG))),
        entry_with(decoy, "state", json!("x".repeat(LONG))),
        entry_with(decoy, "models", json!([1, 2])),
        entry_with(decoy, "models", json!(7)),
        b"\xff\xfe\xc3".to_vec(),
        Vec::new(),
    ]
}

/// Sends requests with different identifiers, which break ties between engines, until an engine has
/// received one.
async fn wait_until_used(fixture: &Fixture, daemon: &Daemon, engine: &Engine) {
    let count = AtomicUsize::new(0);
    wait_until(|| async {
        let id = format!("{:x}", count.fetch_add(1, Ordering::Relaxed));
        let response = fixture.request(daemon, "/again/", &id).send().await;
        assert!(response.is_ok_and(|response| response.status() == 200));
        !engine.received().is_empty()
    })
    .await;
}

/// Guards against daemons that end, or stop following the engines, because of an entry that no engine
/// wrote.
#[tokio::test]
async fn odd_entries_neither_end_a_daemon_nor_keep_it_from_following_the_others() {
    let fixture = Fixture::start().await;
    let sound = fixture.plain_engine("i-1").await;
    let decoy = Engine::start(&fixture.store, "decoy", "orders", &[]).await;
    fixture.store.remove("servers", "decoy");
    let mut daemon = fixture.daemon("d1").await;
    for (number, entry) in odd_entries(&decoy).iter().enumerate() {
        fixture.store.put("servers", &format!("odd-{number}"), entry);
        let response = fixture.request(&daemon, "/again/", "1").send().await.expect("a response");
        assert_eq!(response.status(), 200, "odd entry {number}");
    }
    sleep(READ_TIME).await;
    let added = fixture.plain_engine("i-2").await;
    wait_until_used(&fixture, &daemon, &added).await;
    fixture.store.remove("servers", "i-1");
    sleep(READ_TIME).await;
    let before = sound.received().len();
    for number in 0..20 {
        let id = format!("{number:x}");
        let response = fixture.request(&daemon, "/again/", &id).send().await.expect("a response");
        assert_eq!(response.status(), 200);
    }
    assert_eq!(sound.received().len(), before, "the engine whose entry was removed isn't used");
    assert!(decoy.received().is_empty(), "no odd entry names an engine to use");
    assert!(!daemon.has_exited());
}

/// Guards against daemons that read a list with odd entries at their start and don't get ready.
#[tokio::test]
async fn daemon_starts_on_a_list_with_odd_entries() {
    let fixture = Fixture::start().await;
    let sound = fixture.plain_engine("i-1").await;
    let decoy = Engine::start(&fixture.store, "decoy", "orders", &[]).await;
    fixture.store.remove("servers", "decoy");
    for (number, entry) in odd_entries(&decoy).iter().enumerate() {
        fixture.store.put("servers", &format!("h-odd-{number}"), entry);
    }
    let daemon = fixture.daemon("d1").await;
    wait_until_used(&fixture, &daemon, &sound).await;
    assert!(decoy.received().is_empty(), "no odd entry names an engine to use");
}

/// Returns desired states of a higher revision with numbers out of range.
fn odd_desired_states() -> Vec<Value> {
    let with = |pointer: &str, value: Value| {
        let mut desired = desired_state(2);
        *desired.pointer_mut(pointer).expect("the field exists") = value;
        desired
    };
    vec![
        with("/limits/idle_timeout_ms", json!(1e22)),
        with("/limits/idle_timeout_ms", json!(-1)),
        with("/routes/0/timeout_ms", json!(1e300)),
        with("/routes/1/timeout_ms", json!(-1)),
        with("/routes/2/target_latency_ms", json!(1e22)),
        with("/routes/3/gap_aim_ms", json!(1e22)),
        with("/services/0/cold_per_s", json!(-1)),
        with("/services/1/engine/loads_per_s", json!(-1e300)),
        with("/services/1/engine/models/0/load_s", json!(1e19)),
        with("/tenants/0/burst", json!(-1e300)),
        with("/tenants/0/priority", json!(300)),
    ]
}

/// Guards against daemons that serve nothing, or stop following the operator, because of a desired
/// state with a number out of range.
#[tokio::test]
async fn odd_rows_of_the_operator_leave_the_desired_state_in_force() {
    let fixture = Fixture::start().await;
    fixture.plain_engine("i-1").await;
    fixture.model_engine("i-2", &["m1"]).await;
    let mut daemon = fixture.daemon("d1").await;
    for desired in odd_desired_states() {
        fixture.write_desired_state(&desired);
        sleep(READ_TIME).await;
        let response = fixture.request(&daemon, "/once/", "1").send().await.expect("a response");
        assert_eq!(response.status(), 200, "{desired}");
        let request = fixture.generation_request(&daemon, "/resume/soak", "2", "m1");
        let response = request.header("connection", "close").send().await.expect("a response");
        assert_eq!(response.status(), 200, "{desired}");
    }
    for row in ["evacuate/", "evacuate/\u{0}", "config/other", "unknown"] {
        fixture.store.put("op", row, b"\xff{");
    }
    fixture.write_desired_state(&desired_state_with_added_route(3));
    wait_until(|| async {
        let response = fixture.request(&daemon, "/added/", "3").send().await;
        response.is_ok_and(|response| response.status() == 200)
    })
    .await;
    assert!(!daemon.has_exited());
}

/// Guards against requests that end without a response, or cost their team nothing, because of numbers
/// in their headers.
#[tokio::test]
async fn odd_numbers_in_headers_of_requests_are_bounded() {
    const MOST: &str = "18446744073709551615";
    let fixture = Fixture::start().await;
    let mut unlimited = desired_state(2);
    unlimited["tenants"][0]["rate_per_s"] = json!(0);
    fixture.write_desired_state(&unlimited);
    fixture.plain_engine("i-1").await;
    fixture.model_engine("i-2", &["m1"]).await;
    let mut daemon = fixture.daemon("d1").await;
    let counts = [format!("{MOST},1"), format!("1,{MOST}"), format!("{MOST},{MOST}")];
    let request = |daemon: &Daemon, tokens: &str, path: &str| {
        let request = fixture.request(daemon, path, "1");
        request
            .header("corianderyoke-model", "m1")
            .header("corianderyoke-token-count", tokens)
            .header("corianderyoke-prompt-prefix", format!("a:{MOST},b:{MOST},c:{MOST}"))
    };
    for tokens in &counts {
        // The second request finds the parts of the first one in the engine's cache.
        for _ in 0..2 {
            let sent = request(&daemon, tokens, "/resume/soak").send();
            assert_eq!(sent.await.expect("a response").status(), 200, "{tokens}");
        }
    }
    for value in [MOST, "9223372036854775808", "0", "-1", "1e300"] {
        let names = ["corianderyoke-deadline-ms", "last-event-id"].map(HeaderName::from_static);
        let odd: HeaderMap =
            names.into_iter().map(|name| (name, HeaderValue::from_static(value))).collect();
        let sent = fixture.request(&daemon, "/again/", "2").headers(odd).send().await;
        assert!(sent.is_ok(), "{value}");
    }
    fixture.write_desired_state(&desired_state(3));
    // A bucket that is full admits any request, which the team then owes.
    let sent = || async { request(&daemon, &counts[0], "/resume/soak").send().await };
    wait_until(|| async { sent().await.is_ok_and(|response| response.status() == 429) }).await;
    assert!(!daemon.has_exited());
}

/// Guards against daemons that don't hear a daemon, or order no loads, because of rows that no daemon
/// wrote.
#[tokio::test]
async fn odd_rows_of_daemons_shut_out_no_daemon() {
    let fixture = Fixture::start().await;
    let row = |name: &str, incarnation: Value, capacity: Value| {
        json!({"name": name, "incarnation": incarnation, "peers": "127.0.0.1:9",
               "callers": "127.0.0.1:9", "zone": "a", "capacity": capacity})
        .to_string()
        .into_bytes()
    };
    let daemons = [
        ("d1", row("d1", json!(u64::MAX), json!(1))),
        ("d2", row("d2", json!(u64::MAX), json!(u32::MAX))),
        ("other", row("d2", json!(u64::MAX - 1), json!(1))),
        ("large", row("large", json!(1e300), json!(1))),
        ("wide", row("wide", json!(1), json!(1_u64 << 40))),
        ("long", row(&"x".repeat(LONG), json!(1), json!(1))),
        ("deep", "[".repeat(DEPTH).into_bytes()),
        ("bytes", b"\xff\xfe".to_vec()),
        ("", Vec::new()),
    ];
    for (key, value) in &daemons {
        fixture.store.put("daemons", key, value);
    }
    fixture.store.put("fleet", "quarantine", br#"[["ffffffffffffffffffff"], ["request-"], [7]]"#);
    fixture.store.put("fleet", "odd", b"\xff");
    let odd_lease = json!({"holder": "odd", "token": u64::MAX, "until_ms": 1e300});
    fixture.store.put("leases", "orders", odd_lease.to_string().as_bytes());
    let engine = fixture.model_engine("i-1", &[]).await;
    let mut fleet = [fixture.daemon("d1").await, fixture.daemon("d2").await];
    wait_until(|| async {
        fixture.addresses(&fleet[0]).await.len() == 2
            && fixture.addresses(&fleet[1]).await.len() == 2
    })
    .await;
    wait_until(|| async {
        let request = fixture.generation_request(&fleet[0], "/resume/soak", "1", "m1").send().await;
        request.is_ok_and(|response| response.status() == 200)
    })
    .await;
    assert!(!engine.orders().is_empty());
    for daemon in &mut fleet {
        assert!(!daemon.has_exited());
    }
}

/// Guards against daemons that end requests because of the largest numbers that a desired state may
/// contain.
#[tokio::test]
async fn desired_state_with_the_largest_numbers_is_served() {
    let year_ms = 365_u64 * 24 * 60 * 60 * 1_000;
    let (year_s, huge) = (year_ms / 1_000, 1e300);
    let mut desired = desired_state(2);
    for route in desired["routes"].as_array_mut().expect("a list") {
        let service = route["service"].clone();
        route["timeout_ms"] = json!(year_ms);
        route["target_latency_ms"] = json!(year_ms);
        route["gap_aim_ms"] = json!(year_ms);
        route["priority"] = json!(u8::MAX);
        route["max_attempts"] = json!(u32::MAX);
        let split = json!({"service": service, "weight": u32::MAX});
        route["traffic_split"] = json!([split, split]);
    }
    for service in desired["services"].as_array_mut().expect("a list") {
        service["max_conns"] = json!(u32::MAX);
        service["cold_per_s"] = json!(huge);
    }
    let engine = &mut desired["services"][1]["engine"];
    for (field, value) in [
        ("slots", json!(u32::MAX)),
        ("kv_capacity", json!(u64::MAX)),
        ("weights_mb", json!(huge)),
        ("adapter_slots", json!(u32::MAX)),
        ("loads_per_s", json!(huge)),
        ("host_mb", json!(huge)),
        ("disk_mb", json!(huge)),
    ] {
        engine[field] = value;
    }
    for model in engine["models"].as_array_mut().expect("a list") {
        for field in ["load_s", "disk_s", "warm_s"] {
            model[field] = json!(year_s);
        }
    }
    desired["limits"] = json!({"max_header_bytes": u64::MAX, "max_body_bytes": u64::MAX,
                               "header_timeout_ms": year_ms, "idle_timeout_ms": year_ms});
    for field in ["plain_tokens", "rate_per_s", "burst"] {
        desired["tenants"][0][field] = json!(huge);
    }
    desired["tenants"][0]["plain_tokens"] = json!(u64::MAX);
    let fixture = Fixture::start().await;
    fixture.write_desired_state(&desired);
    fixture.plain_engine("i-1").await;
    let cold = fixture.model_engine("i-2", &["m1"]).await;
    let mut entry = entry(&cold);
    entry["cold_left_ms"] = json!(year_ms);
    entry["models"] = json!([{"name": "m1", "version": 1, "adapters": []}]);
    fixture.store.put("servers", "i-2", entry.to_string().as_bytes());
    let mut daemon = fixture.daemon("d1").await;
    for path in ["/once/", "/again/", "/once/", "/again/"] {
        let response = fixture.request(&daemon, path, "1").send().await.expect("a response");
        assert_eq!(response.status(), 200, "{path}");
    }
    // A model that no engine holds can't be loaded in time.
    for (model, status) in [("m1", 200), ("m1", 200), ("m2", 503)] {
        let sent = fixture.generation_request(&daemon, "/resume/soak", "2", model).send();
        assert_eq!(sent.await.expect("a response").status(), status, "{model}");
    }
    assert!(!daemon.has_exited());
}
