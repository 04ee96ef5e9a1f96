//! Tests of orders to engines and of the lease that permits them.

use std::time::Duration;

use serde_json::Value;
use tokio::time::sleep;

use crate::engine::Behavior;
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
