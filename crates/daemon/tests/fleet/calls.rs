//! Tests of requests as callers and engines see them, of the directory and of the metrics.

use std::time::Duration;

use serde_json::json;

use crate::engine::Behavior;
use crate::fixture::desired_state;
use crate::fixture::status_and_retry_after;
use crate::fixture::wait_until;
use crate::fixture::Fixture;

#[tokio::test]
async fn engine_receives_the_request_with_the_headers_of_the_daemon() {
    let fixture = Fixture::start().await;
    let engine = fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    let request = fixture.request(&daemon, "/once/a?b=c", "1a");
    let request = request.header("x-own", "kept").header("corianderyoke-tenant", "forged");
    let request = request.header("corianderyoke-hold", "forged");
    let response = request.send().await.expect("a response");
    assert_eq!(response.status(), 200);
    assert!(response.headers().contains_key("corianderyoke-response-seal"));
    assert_eq!(response.text().await.expect("a body"), "answer");
    let received = engine.received();
    let [received] = received.as_slice() else { panic!("one request, not {}", received.len()) };
    assert_eq!(
        (received.path.as_str(), received.body.as_ref()),
        ("/once/a?b=c", b"a body".as_slice())
    );
    let header = |name: &str| received.headers.get(name).and_then(|value| value.to_str().ok());
    assert_eq!(header("corianderyoke-tenant"), Some("team"));
    assert_eq!(header("corianderyoke-expect-instance"), Some("i-1"));
    assert_eq!(header("corianderyoke-attempt-id"), Some("1a"));
    assert_eq!(header("x-own"), Some("kept"));
    assert_eq!(header("authorization"), None);
    assert_eq!(header("corianderyoke-hold"), None);
    let remaining_ms: u64 =
        header("corianderyoke-deadline-ms").and_then(|v| v.parse().ok()).unwrap_or(0);
    assert!((1..=4_000).contains(&remaining_ms), "{remaining_ms} ms");
}

#[tokio::test]
async fn unknown_keys_and_routes_are_refused_and_a_revocation_takes_effect() {
    let fixture = Fixture::start().await;
    fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    let unauthorized =
        fixture.unknown_key_request(&daemon, "/once/").send().await.expect("a response");
    assert_eq!(unauthorized.status(), 401);
    let unrouted = fixture.request(&daemon, "/nowhere/", "2").send().await.expect("a response");
    assert_eq!(unrouted.status(), 404);
    let mut revoked = desired_state(2);
    revoked["tenants"][0]["api_keys"] = json!(["another"]);
    fixture.write_desired_state(&revoked);
    wait_until(|| async {
        let response = fixture.request(&daemon, "/once/", "3").send().await;
        response.is_ok_and(|response| response.status() == 401)
    })
    .await;
    // An older revision that arrives late is ignored.
    fixture.write_desired_state(&desired_state(1));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = fixture.request(&daemon, "/once/", "4").send().await.expect("a response");
    assert_eq!(response.status(), 401);
}

#[tokio::test]
async fn daemon_without_a_desired_state_is_not_ready_and_refuses_requests() {
    let fixture = Fixture::start().await;
    fixture.store.remove("op", "config");
    let daemon = fixture.daemon_with_status("d1", 503).await;
    let response = fixture.request(&daemon, "/once/", "1").send().await.expect("a response");
    assert_eq!(status_and_retry_after(&response), (503, true));
}

#[tokio::test]
async fn team_over_its_limit_is_refused_with_retry_after() {
    let fixture = Fixture::start().await;
    let engine = fixture.plain_engine("i-1").await;
    let mut limited = desired_state(2);
    limited["tenants"][0]["burst"] = json!(250.0);
    limited["tenants"][0]["rate_per_s"] = json!(1.0);
    fixture.write_desired_state(&limited);
    let daemon = fixture.daemon("d1").await;
    let mut statuses = Vec::new();
    for id in ["1", "2", "3"] {
        let response = fixture.request(&daemon, "/once/", id).send().await.expect("a response");
        statuses.push(status_and_retry_after(&response));
    }
    assert_eq!(statuses, [(200, false), (200, false), (429, true)]);
    assert_eq!(engine.received().len(), 2);
}

#[tokio::test]
async fn oversized_body_is_refused() {
    let fixture = Fixture::start().await;
    let engine = fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    let request = fixture.request(&daemon, "/once/", "1").body(vec![0; 200_000]);
    assert_eq!(request.send().await.expect("a response").status(), 413);
    assert!(engine.received().is_empty());
}

#[tokio::test]
async fn caller_disconnect_cancels_the_request_at_the_engine() {
    let fixture = Fixture::start().await;
    let engine = fixture.plain_engine("i-1").await;
    engine.queue_behaviors(&[Behavior::Respond(Duration::from_secs(30))]);
    let daemon = fixture.daemon("d1").await;
    let request = fixture.request(&daemon, "/once/", "1").timeout(Duration::from_millis(300));
    let sent = tokio::spawn(request.send());
    wait_until(|| async { engine.in_flight() == 1 }).await;
    assert!(sent.await.expect("the task ends").is_err());
    wait_until(|| async { engine.in_flight() == 0 }).await;
}

#[tokio::test]
async fn directory_lists_ready_daemons() {
    let fixture = Fixture::start().await;
    let (first, second) = (fixture.daemon("d1").await, fixture.daemon("d2").await);
    wait_until(|| async { fixture.addresses(&first).await.len() == 2 }).await;
    wait_until(|| async { fixture.addresses(&second).await.len() == 2 }).await;
    let stopped_address = second.callers.to_string();
    drop(second);
    wait_until(|| async { !fixture.addresses(&first).await.contains(&stopped_address) }).await;
}

#[tokio::test]
async fn directory_lists_a_restarted_daemon_at_its_new_address() {
    let fixture = Fixture::start().await;
    let (first, second) = (fixture.daemon("d1").await, fixture.daemon("d2").await);
    wait_until(|| async { fixture.addresses(&first).await.len() == 2 }).await;
    drop(second);
    let restarted = fixture.daemon("d2").await;
    let address = restarted.callers.to_string();
    wait_until(|| async { fixture.addresses(&first).await.contains(&address) }).await;
    assert_eq!(fixture.addresses(&first).await.len(), 2);
}

#[tokio::test]
async fn metrics_count_responses_and_store_calls() {
    let fixture = Fixture::start().await;
    fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    assert_eq!(fixture.request(&daemon, "/once/", "1").send().await.expect("ok").status(), 200);
    let metric = |name| fixture.metric(&daemon, name);
    wait_until(|| async { metric("corianderyoke_answers_total").await == Some(1.0) }).await;
    // At least the rows read at startup, and the write of the daemon's own row.
    assert!(metric("corianderyoke_store_reads_total").await >= Some(4.0));
    assert!(metric("corianderyoke_store_writes_total").await >= Some(1.0));
}
