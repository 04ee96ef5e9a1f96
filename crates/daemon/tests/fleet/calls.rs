//! What callers and engines see of a request.

use std::time::Duration;

use serde_json::json;

use crate::engine::Act;
use crate::world::desired;
use crate::world::refusal;
use crate::world::until;
use crate::world::World;

#[tokio::test]
async fn an_engine_gets_what_the_caller_sent_and_what_the_system_sets() {
    let world = World::start().await;
    let engine = world.plain("i-1").await;
    let daemon = world.daemon("d1").await;
    let request = world.request(&daemon, "/once/a?b=c", "1a");
    let request = request.header("x-own", "kept").header("corianderyoke-tenant", "forged");
    let request = request.header("corianderyoke-hold", "forged");
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert!(answer.headers().contains_key("corianderyoke-response-seal"));
    assert_eq!(answer.text().await.expect("a body"), "answer");
    let seen = engine.seen();
    let [seen] = seen.as_slice() else { panic!("one request, not {}", seen.len()) };
    assert_eq!((seen.path.as_str(), seen.body.as_ref()), ("/once/a?b=c", b"a body".as_slice()));
    let header = |name: &str| seen.headers.get(name).and_then(|value| value.to_str().ok());
    assert_eq!(header("corianderyoke-tenant"), Some("team"));
    assert_eq!(header("corianderyoke-expect-instance"), Some("i-1"));
    assert_eq!(header("corianderyoke-attempt-id"), Some("1a"));
    assert_eq!(header("x-own"), Some("kept"));
    assert_eq!(header("authorization"), None);
    assert_eq!(header("corianderyoke-hold"), None);
    let left: u64 = header("corianderyoke-deadline-ms").and_then(|v| v.parse().ok()).unwrap_or(0);
    assert!((1..=4_000).contains(&left), "{left} ms");
}

#[tokio::test]
async fn unknown_keys_and_routes_are_refused_and_changes_take_effect() {
    let world = World::start().await;
    world.plain("i-1").await;
    let daemon = world.daemon("d1").await;
    let stranger = world.stranger(&daemon, "/once/").send().await.expect("an answer");
    assert_eq!(stranger.status(), 401);
    let nowhere = world.request(&daemon, "/nowhere/", "2").send().await.expect("an answer");
    assert_eq!(nowhere.status(), 404);
    let mut revoked = desired(2);
    revoked["tenants"][0]["api_keys"] = json!(["another"]);
    world.desire(&revoked);
    until(|| async {
        let answer = world.request(&daemon, "/once/", "3").send().await;
        answer.is_ok_and(|answer| answer.status() == 401)
    })
    .await;
    // An older revision that comes late changes nothing.
    world.desire(&desired(1));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = world.request(&daemon, "/once/", "4").send().await.expect("an answer");
    assert_eq!(answer.status(), 401);
}

#[tokio::test]
async fn a_daemon_without_a_desired_state_is_not_ready_and_says_that_nothing_ran() {
    let world = World::start().await;
    world.store.remove("op", "config");
    let daemon = world.daemon_at("d1", 503).await;
    let answer = world.request(&daemon, "/once/", "1").send().await.expect("an answer");
    assert_eq!(refusal(&answer), (503, true));
}

#[tokio::test]
async fn a_team_over_its_cap_is_told_when_to_come_back() {
    let world = World::start().await;
    let engine = world.plain("i-1").await;
    let mut capped = desired(2);
    capped["tenants"][0]["burst"] = json!(250.0);
    capped["tenants"][0]["rate_per_s"] = json!(1.0);
    world.desire(&capped);
    let daemon = world.daemon("d1").await;
    let mut statuses = Vec::new();
    for id in ["1", "2", "3"] {
        let answer = world.request(&daemon, "/once/", id).send().await.expect("an answer");
        statuses.push(refusal(&answer));
    }
    assert_eq!(statuses, [(200, false), (200, false), (429, true)]);
    assert_eq!(engine.seen().len(), 2);
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let world = World::start().await;
    let engine = world.plain("i-1").await;
    let daemon = world.daemon("d1").await;
    let request = world.request(&daemon, "/once/", "1").body(vec![0; 200_000]);
    assert_eq!(request.send().await.expect("an answer").status(), 413);
    assert!(engine.seen().is_empty());
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_at_the_engine() {
    let world = World::start().await;
    let engine = world.plain("i-1").await;
    engine.next(&[Act::Answer(Duration::from_secs(30))]);
    let daemon = world.daemon("d1").await;
    let request = world.request(&daemon, "/once/", "1").timeout(Duration::from_millis(300));
    let sent = tokio::spawn(request.send());
    until(|| async { engine.unfinished() == 1 }).await;
    assert!(sent.await.expect("it was asked").is_err());
    until(|| async { engine.unfinished() == 0 }).await;
}

#[tokio::test]
async fn the_directory_names_daemons_that_are_ready() {
    let world = World::start().await;
    let (first, second) = (world.daemon("d1").await, world.daemon("d2").await);
    until(|| async { world.addresses(&first).await.len() == 2 }).await;
    until(|| async { world.addresses(&second).await.len() == 2 }).await;
    let gone = second.callers.to_string();
    drop(second);
    until(|| async { !world.addresses(&first).await.contains(&gone) }).await;
}

#[tokio::test]
async fn a_daemon_that_starts_again_is_named_at_its_new_address() {
    let world = World::start().await;
    let (first, second) = (world.daemon("d1").await, world.daemon("d2").await);
    until(|| async { world.addresses(&first).await.len() == 2 }).await;
    drop(second);
    let again = world.daemon("d2").await;
    let address = again.callers.to_string();
    until(|| async { world.addresses(&first).await.contains(&address) }).await;
    assert_eq!(world.addresses(&first).await.len(), 2);
}

#[tokio::test]
async fn metrics_count_answers_and_calls_to_the_store() {
    let world = World::start().await;
    world.plain("i-1").await;
    let daemon = world.daemon("d1").await;
    assert_eq!(world.request(&daemon, "/once/", "1").send().await.expect("ok").status(), 200);
    let count = |name| world.metric(&daemon, name);
    until(|| async { count("corianderyoke_answers_total").await == Some(1.0) }).await;
    // At least the rows read at the start, and the daemon's own row.
    assert!(count("corianderyoke_store_reads_total").await >= Some(4.0));
    assert!(count("corianderyoke_store_writes_total").await >= Some(1.0));
}
