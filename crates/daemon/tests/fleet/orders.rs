//! Orders to engines, and the lease on them.

use std::time::Duration;

use serde_json::Value;
use tokio::time::sleep;

use crate::engine::Act;
use crate::world::until;
use crate::world::World;

#[tokio::test]
async fn a_model_that_nobody_holds_is_loaded_once_and_the_request_served() {
    let world = World::start().await;
    let engine = world.model_engine("i-1", &["m1"]).await;
    let daemons = [world.daemon("d1").await, world.daemon("d2").await];
    for (index, daemon) in daemons.iter().enumerate() {
        let request = world.generation(daemon, "/resume/", &format!("{index}"), "m2");
        engine.next(&[crate::engine::Act::Stream(1, std::time::Duration::ZERO)]);
        let answer = request.send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert!(answer.text().await.expect("it is whole").contains("id: 1"));
    }
    // 60 GB of 100 were taken, so the other model had to make way.
    let orders = engine.orders();
    let ops: Vec<(&str, &str)> = orders.iter().map(op).collect();
    assert_eq!(ops, [("unload", "m1"), ("load", "m2")]);
    let counts: Vec<u64> = orders.iter().filter_map(|order| order["expected"].as_u64()).collect();
    assert_eq!(counts, [0, 1]);
}

fn op(order: &Value) -> (&str, &str) {
    let text = |field: &str| order[field].as_str().unwrap_or_default();
    (text("op_type"), text("model"))
}

#[tokio::test]
async fn an_adapter_that_runs_at_another_daemon_keeps_its_place() {
    let world = World::start().await;
    let engine = world.model_engine("i-1", &["m1"]).await;
    let holder = world.daemon("d1").await;
    let other = world.daemon("d2").await;
    let serve = |daemon, id: &'static str, adapter: &str, events, pause| {
        engine.next(&[Act::Stream(events, pause)]);
        world.generation(daemon, "/resume/", id, &format!("m1/{adapter}")).send()
    };
    for (id, adapter) in [("1", "a1"), ("2", "a2")] {
        let answer = serve(&other, id, adapter, 1, Duration::ZERO).await.expect("an answer");
        assert!(answer.text().await.expect("it is whole").contains("id: 1"));
    }
    let long = serve(&other, "3", "a1", 20, Duration::from_millis(100)).await;
    // Words between daemons take a fifth of a second.
    sleep(Duration::from_millis(600)).await;
    let answer = serve(&holder, "4", "a3", 1, Duration::ZERO).await;
    assert_eq!(answer.expect("an answer").status(), 200);
    let orders = engine.orders();
    let unloads = orders.iter().filter(|order| order["op_type"] == "unload");
    let unloaded: Vec<&str> = unloads.filter_map(|order| order["adapter"].as_str()).collect();
    assert_eq!(unloaded, ["a2"]);
    drop(long);
}

#[tokio::test]
async fn a_successor_orders_with_a_higher_token() {
    let world = World::start().await;
    let engine = world.model_engine("i-1", &["m1"]).await;
    let first = world.daemon("d1").await;
    let serve = |id: &'static str, model: &'static str| {
        engine.next(&[crate::engine::Act::Stream(1, std::time::Duration::ZERO)]);
        (id, model)
    };
    let (id, model) = serve("1", "m2");
    let answer = world.generation(&first, "/resume/", id, model).send().await;
    assert_eq!(answer.expect("an answer").status(), 200);
    let second = world.daemon("d2").await;
    drop(first);
    until(|| async {
        engine.next(&[crate::engine::Act::Stream(1, std::time::Duration::ZERO)]);
        let request = world.generation(&second, "/resume/", "2", "m1").send().await;
        request.is_ok_and(|answer| answer.status() == 200)
    })
    .await;
    let orders = engine.orders();
    let by = |name: &str| -> Vec<u64> {
        let of = orders.iter().filter(|order| order["holder"] == name);
        of.filter_map(|order| order["fencing_token"].as_u64()).collect()
    };
    let (before, after) = (by("d1"), by("d2"));
    assert!(before.iter().max() < after.iter().min(), "{before:?} and {after:?}");
}
