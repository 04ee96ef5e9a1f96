//! Tests of orders to engines and of the lease that permits them.

use std::time::Duration;

use reqwest::Response;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;

use crate::engine::Behavior;
use crate::engine::SLOW_MODEL;
use crate::fixture::desired_state;
use crate::fixture::wait_until;
use crate::fixture::Fixture;

#[tokio::test]
async fn missing_model_is_loaded_once_and_the_request_is_served() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &["m1"]).await;
    let daemons = [fixture.daemon("d1").await, fixture.daemon("d2").await];
    for (index, daemon) in daemons.iter().enumerate() {
        let request = fixture.generation_request(daemon, "/resume/", &format!("{index}"), "m2");
        engine.queue_behaviors(&[crate::engine::Behavior::Stream(1, std::time::Duration::ZERO)]);
        let response = request.send().await.expect("a response");
        assert_eq!(response.status(), 200);
        assert!(response.text().await.expect("the response is complete").contains("id: 1"));
    }
    // 60 GB of 100 GB were in use, so the other model had to be evicted.
    let orders = engine.orders();
    let operations: Vec<(&str, &str)> = orders.iter().map(type_and_model).collect();
    assert_eq!(operations, [("unload", "m1"), ("load", "m2")]);
    let sequence_numbers: Vec<u64> =
        orders.iter().filter_map(|order| order["expected"].as_u64()).collect();
    assert_eq!(sequence_numbers, [0, 1]);
}

/// Returns the status of a response, and whether its caller is told to come back after `least` or
/// later.
fn status_and_delay(response: &Response, least: Duration) -> (u16, bool) {
    let delay = response.headers().get("retry-after").and_then(|value| value.to_str().ok());
    let delay: Option<f64> = delay.and_then(|text| text.parse().ok());
    (response.status().as_u16(), delay.is_some_and(|delay| delay >= least.as_secs_f64()))
}

#[tokio::test]
async fn request_for_a_model_whose_load_takes_too_long_is_refused_until_its_end() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &[]).await;
    let mut desired = desired_state(2);
    let models = desired["services"][1]["engine"]["models"].as_array_mut().expect("a list");
    models.push(json!({"name": SLOW_MODEL, "weights_mb": 60000.0, "load_s": 60.0, "disk_s": 0.2,
                       "warm_s": 0.1, "adapters": 0, "adapter_mb": 10.0}));
    fixture.write_desired_state(&desired);
    let daemons = [fixture.daemon("d1").await, fixture.daemon("d2").await];
    for (index, daemon) in daemons.iter().enumerate() {
        let request =
            fixture.generation_request(daemon, "/resume/", &format!("{index}"), SLOW_MODEL);
        let response = request.send().await.expect("a response");
        assert_eq!(status_and_delay(&response, Duration::from_secs(40)), (503, true));
    }
    let orders = engine.orders();
    let operations: Vec<(&str, &str)> = orders.iter().map(type_and_model).collect();
    assert_eq!(operations, [("load", SLOW_MODEL)]);
    assert!(engine.received().is_empty());
}

#[tokio::test]
async fn request_for_an_unknown_model_is_refused_without_waiting() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &["m1"]).await;
    let daemon = fixture.daemon("d1").await;
    let request = fixture.generation_request(&daemon, "/resume/", "1", "unknown");
    let response = request.send().await.expect("a response");
    assert_eq!(status_and_delay(&response, Duration::from_millis(500)), (503, true));
    assert!(engine.received().is_empty());
    assert!(engine.orders().is_empty());
}

fn type_and_model(order: &Value) -> (&str, &str) {
    let text = |field: &str| order[field].as_str().unwrap_or_default();
    (text("op_type"), text("model"))
}

#[tokio::test]
async fn adapter_in_use_by_another_daemon_is_not_evicted() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &["m1"]).await;
    let holder = fixture.daemon("d1").await;
    let other = fixture.daemon("d2").await;
    let serve = |daemon, id: &'static str, adapter: &str, count, pause| {
        engine.queue_behaviors(&[Behavior::Stream(count, pause)]);
        fixture.generation_request(daemon, "/resume/", id, &format!("m1/{adapter}")).send()
    };
    for (id, adapter) in [("1", "a1"), ("2", "a2")] {
        let response = serve(&other, id, adapter, 1, Duration::ZERO).await.expect("a response");
        assert!(response.text().await.expect("the response is complete").contains("id: 1"));
    }
    let in_flight = serve(&other, "3", "a1", 20, Duration::from_millis(100)).await;
    // Reports between daemons are sent every fifth of a second.
    sleep(Duration::from_millis(600)).await;
    let response = serve(&holder, "4", "a3", 1, Duration::ZERO).await;
    assert_eq!(response.expect("a response").status(), 200);
    let orders = engine.orders();
    let unloads = orders.iter().filter(|order| order["op_type"] == "unload");
    let unloaded: Vec<&str> = unloads.filter_map(|order| order["adapter"].as_str()).collect();
    assert_eq!(unloaded, ["a2"]);
    drop(in_flight);
}

#[tokio::test]
async fn next_lease_holder_orders_with_a_higher_fencing_token() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &["m1"]).await;
    let first = fixture.daemon("d1").await;
    let serve = |id: &'static str, model: &'static str| {
        engine.queue_behaviors(&[crate::engine::Behavior::Stream(1, std::time::Duration::ZERO)]);
        (id, model)
    };
    let (id, model) = serve("1", "m2");
    let response = fixture.generation_request(&first, "/resume/", id, model).send().await;
    assert_eq!(response.expect("a response").status(), 200);
    let second = fixture.daemon("d2").await;
    drop(first);
    wait_until(|| async {
        engine.queue_behaviors(&[crate::engine::Behavior::Stream(1, std::time::Duration::ZERO)]);
        let request = fixture.generation_request(&second, "/resume/", "2", "m1").send().await;
        request.is_ok_and(|response| response.status() == 200)
    })
    .await;
    let orders = engine.orders();
    let tokens_of = |name: &str| -> Vec<u64> {
        let issued = orders.iter().filter(|order| order["holder"] == name);
        issued.filter_map(|order| order["fencing_token"].as_u64()).collect()
    };
    let (before, after) = (tokens_of("d1"), tokens_of("d2"));
    assert!(before.iter().max() < after.iter().min(), "{before:?} and {after:?}");
}
