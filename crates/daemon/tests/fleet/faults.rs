//! Tests of failing engines and of outages of the store: which requests are retried, how streams
//! resume, and what is served meanwhile.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::engine::Behavior;
use crate::engine::Engine;
use crate::fixture::desired_state;
use crate::fixture::status_and_retry_after;
use crate::fixture::wait_until;
use crate::fixture::Fixture;

async fn two_plain(fixture: &Fixture) -> [Engine; 2] {
    [fixture.plain_engine("i-1").await, fixture.plain_engine("i-2").await]
}

fn received_count(engines: &[Engine]) -> usize {
    engines.iter().map(|engine| engine.received().len()).sum()
}

/// Queues a behavior on each engine, so it applies to the first request whichever engine is
/// selected.
fn queue_on_each(engines: &[Engine], behavior: Behavior) {
    for engine in engines {
        engine.queue_behaviors(&[behavior]);
    }
}

#[tokio::test]
async fn non_idempotent_request_is_not_retried_after_a_lost_response() {
    let fixture = Fixture::start().await;
    let engines = two_plain(&fixture).await;
    let daemon = fixture.daemon("d1").await;
    for behavior in [Behavior::Disconnect, Behavior::WrongId, Behavior::Unsigned] {
        let before = received_count(&engines);
        queue_on_each(&engines, behavior);
        let response = fixture.request(&daemon, "/once/", "1").send().await.expect("a response");
        assert_eq!(response.status(), 502, "{behavior:?}");
        assert!(!response.headers().contains_key("corianderyoke-response-seal"));
        assert_eq!(received_count(&engines), before + 1, "{behavior:?}");
        // The other engine still has its behavior queued.
        fixture.request(&daemon, "/once/", "2").send().await.expect("a response");
    }
}

#[tokio::test]
async fn non_idempotent_request_is_retried_on_another_engine_after_a_refusal() {
    let fixture = Fixture::start().await;
    let engines = two_plain(&fixture).await;
    let daemon = fixture.daemon("d1").await;
    engines[0].queue_behaviors(&[Behavior::Refuse]);
    engines[1].queue_behaviors(&[]);
    for id in ["1", "2", "3", "4"] {
        let response = fixture.request(&daemon, "/once/", id).send().await.expect("a response");
        assert_eq!(response.status(), 200);
    }
}

#[tokio::test]
async fn request_that_every_engine_refuses_is_refused_with_retry_after() {
    let fixture = Fixture::start().await;
    let engines = two_plain(&fixture).await;
    let daemon = fixture.daemon("d1").await;
    for engine in &engines {
        engine.queue_behaviors(&[Behavior::Refuse; 50]);
    }
    let response = fixture.request(&daemon, "/once/", "1").send().await.expect("a response");
    assert_eq!(status_and_retry_after(&response), (503, true));
}

#[tokio::test]
async fn idempotent_request_is_retried_after_a_failure() {
    let fixture = Fixture::start().await;
    let engines = two_plain(&fixture).await;
    let daemon = fixture.daemon("d1").await;
    for behavior in [Behavior::Disconnect, Behavior::Fail, Behavior::WrongId, Behavior::Unsigned] {
        engines[0].queue_behaviors(&[behavior]);
        engines[1].queue_behaviors(&[]);
        for id in ["1", "2", "3"] {
            let response =
                fixture.request(&daemon, "/again/", id).send().await.expect("a response");
            assert_eq!(response.status(), 200, "{behavior:?}");
        }
    }
}

#[tokio::test]
async fn slow_engine_is_awaited_while_no_other_is_eligible() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &["m1"]).await;
    fixture.model_engine("i-2", &["m2"]).await;
    let daemon = fixture.daemon("d1").await;
    // Longer than a request waits while another engine is eligible.
    engine.queue_behaviors(&[Behavior::Stream(1, Duration::from_millis(1_500))]);
    let request = fixture.generation_request(&daemon, "/resume/", "1", "m1");
    let response = request.send().await.expect("a response");
    assert_eq!(response.status(), 200);
    assert!(response.text().await.is_ok_and(|text| text.contains("id: 1")));
    let plain = fixture.plain_engine("i-3").await;
    plain.queue_behaviors(&[Behavior::Respond(Duration::from_millis(1_500))]);
    let response = fixture.request(&daemon, "/again/", "2").send().await.expect("a response");
    assert_eq!(response.status(), 200);
    assert_eq!([engine.received().len(), plain.received().len()], [1, 1]);
}

#[tokio::test]
async fn engine_that_lacks_a_model_of_its_entry_is_retried_rarely() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &["m1"]).await;
    let daemon = fixture.daemon("d1").await;
    engine.queue_behaviors(&[Behavior::LacksModel; 500]);
    let entry_writer = tokio::spawn({
        let engine = engine.clone();
        async move {
            loop {
                engine.write_entry("ready");
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
        }
    });
    for id in ["1", "2", "3", "4"] {
        let request = fixture.generation_request(&daemon, "/resume/", id, "m1").send();
        assert_eq!(status_and_retry_after(&request.await.expect("a response")).0, 503);
    }
    entry_writer.abort();
    // Four first attempts, and the retries that a daemon may save up: nine tenths of 50.
    let sends = engine.received().len();
    assert!(sends <= 4 + 45, "{sends} attempts");
    // Each request returns to the engine only after a delay.
    assert!(sends <= 4 * 8, "{sends} attempts");
}

#[tokio::test]
async fn server_error_is_returned_if_every_engine_fails() {
    let fixture = Fixture::start().await;
    let engines = two_plain(&fixture).await;
    let daemon = fixture.daemon("d1").await;
    queue_on_each(&engines, Behavior::Fail);
    let response = fixture.request(&daemon, "/again/", "1").send().await.expect("a response");
    assert_eq!(response.status(), 500);
    assert!(response.headers().contains_key("corianderyoke-response-seal"));
    assert_eq!(response.text().await.expect("a body"), "failure");
}

#[tokio::test]
async fn truncated_stream_resumes_after_its_last_complete_event() {
    let fixture = Fixture::start().await;
    let engines =
        [fixture.model_engine("i-1", &["m1"]).await, fixture.model_engine("i-2", &["m1"]).await];
    let daemon = fixture.daemon("d1").await;
    for engine in &engines {
        engine.queue_behaviors(&[Behavior::Truncate(3), Behavior::Stream(2, Duration::ZERO)]);
    }
    let request = fixture.generation_request(&daemon, "/resume/", "1", "m1");
    let text =
        request.send().await.expect("a response").text().await.expect("the response is complete");
    // The second engine truncates its part too, and the first engine then completes the stream.
    let ids: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    assert_eq!(ids[..3], ["1", "2", "3"], "{text}");
    let mut deduplicated = ids.clone();
    deduplicated.dedup();
    assert_eq!(deduplicated, ids, "{text}");
}

#[tokio::test]
async fn stalled_stream_resumes_before_its_caller_times_out() {
    let fixture = Fixture::start().await;
    let engines =
        [fixture.model_engine("i-1", &["m1"]).await, fixture.model_engine("i-2", &["m1"]).await];
    let daemon = fixture.daemon("d1").await;
    for engine in &engines {
        engine.queue_behaviors(&[Behavior::Stall(2), Behavior::Stream(2, Duration::ZERO)]);
    }
    // Either engine may be selected first. The second one stalls too, but only after event 3.
    let request = fixture.generation_request(&daemon, "/resume/", "1", "m1");
    let mut response = request.send().await.expect("a response");
    let mut text = String::new();
    // Callers wait for 3.2 s, which is eight times the expected gap of 0.4 s between events.
    let resumed = tokio::time::timeout(Duration::from_millis(3_200), async {
        while let Ok(Some(chunk)) = response.chunk().await {
            text.push_str(std::str::from_utf8(&chunk).expect("text"));
            if text.contains("id: 3") {
                return;
            }
        }
    });
    resumed.await.expect("the stream resumes");
    assert!(text.contains("id: 3\n"), "{text}");
    assert_eq!(received_count(&engines), 2);
}

#[tokio::test]
async fn stream_of_a_route_without_resumption_ends_with_an_error_if_truncated() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &["m1"]).await;
    let daemon = fixture.daemon("d1").await;
    engine.queue_behaviors(&[Behavior::Truncate(3)]);
    let request = fixture.generation_request(&daemon, "/stream/", "1", "m1");
    let response = request.send().await.expect("a response");
    assert_eq!(response.status(), 200);
    assert!(response.text().await.is_err());
    assert_eq!(engine.received().len(), 1);
}

#[tokio::test]
async fn events_are_relayed_without_buffering() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &["m1"]).await;
    let daemon = fixture.daemon("d1").await;
    engine.queue_behaviors(&[Behavior::Stream(3, Duration::from_millis(200))]);
    let request = fixture.generation_request(&daemon, "/stream/", "1", "m1");
    let mut response = request.send().await.expect("a response");
    let mut chunks = Vec::new();
    while let Some(chunk) = response.chunk().await.expect("the response is complete") {
        chunks.push(chunk);
    }
    assert_eq!(chunks.len(), 3);
}

#[tokio::test]
async fn draining_engine_receives_no_new_requests() {
    let fixture = Fixture::start().await;
    let engines = two_plain(&fixture).await;
    let daemon = fixture.daemon("d1").await;
    engines[0].write_entry("draining");
    // The platform permits a delay of two seconds.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = engines[0].received().len();
    for id in 0..6 {
        let response = fixture.request(&daemon, "/once/", &format!("{id}")).send().await;
        assert_eq!(response.expect("a response").status(), 200);
    }
    assert_eq!(engines[0].received().len(), before);
}

#[tokio::test]
async fn invalid_entries_and_desired_states_are_ignored() {
    let fixture = Fixture::start().await;
    let engine = fixture.plain_engine("i-1").await;
    fixture.store.put("servers", "strange", b"\xff\xfe no entry");
    fixture.store.put("servers", "odd", br#"{"service": 4, "state": "upside down"}"#);
    let daemon = fixture.daemon("d1").await;
    fixture.store.put("op", "config", b"{ not whole");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let response = fixture.request(&daemon, "/once/", "1").send().await.expect("a response");
    assert_eq!(response.status(), 200);
    assert_eq!(engine.received().len(), 1);
}

#[tokio::test]
async fn requests_are_served_during_an_outage_of_the_store() {
    let fixture = Fixture::start().await;
    fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    fixture.store.set_down(true);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let response = fixture.request(&daemon, "/once/", "1").send().await.expect("a response");
    assert_eq!(status_and_retry_after(&response), (200, false));
    assert_eq!(fixture.status(daemon.ready, "/readyz").await, Some(200));
    fixture.store.set_down(false);
    let added = fixture.plain_engine("i-2").await;
    wait_until(|| async {
        for id in 0..4 {
            drop(fixture.request(&daemon, "/once/", &format!("{id}")).send().await);
        }
        !added.received().is_empty()
    })
    .await;
}

#[tokio::test]
async fn change_is_learned_from_another_daemon_if_the_own_feed_hangs() {
    let fixture = Fixture::start().await;
    fixture.plain_engine("i-1").await;
    let first = fixture.daemon("d1").await;
    fixture.store.stall_feeds(Some("op"));
    wait_until(|| async { fixture.store.stalled_feeds() > 0 }).await;
    let mut revoked = desired_state(2);
    revoked["tenants"][0]["api_keys"] = json!(["another"]);
    fixture.write_desired_state(&revoked);
    fixture.store.stall_feeds(None);
    let _second = fixture.daemon("d2").await;
    let refused = wait_until(|| async {
        let response = fixture.request(&first, "/once/", "1").send().await;
        response.is_ok_and(|response| response.status() == 401)
    });
    // The daemon's own feed request would time out only after more than 11 s.
    tokio::time::timeout(Duration::from_secs(9), refused)
        .await
        .expect("the daemon learns of the change");
}

#[tokio::test]
async fn configuration_on_a_slow_link_is_read_to_its_end_while_others_are_ahead() {
    let fixture = Fixture::start().await;
    fixture.plain_engine("i-1").await;
    let slow = fixture.daemon("d1").await;
    // Longer than a daemon that is behind waits before it asks on another connection.
    fixture.store.slow_feeds("op", Duration::from_millis(2_500));
    let mut revoked = desired_state(2);
    revoked["tenants"][0]["api_keys"] = json!(["another"]);
    fixture.write_desired_state(&revoked);
    // Reads the whole table at its start, which isn't slow, and tells its version.
    let _ahead = fixture.daemon("d2").await;
    wait_until(|| async {
        let response = fixture.request(&slow, "/once/", "1").send().await;
        response.is_ok_and(|response| response.status() == 401)
    })
    .await;
}

/// Guards against entries that expired during an outage of the store and count as gone before the
/// grace period begins, because the engines' table answers first.
#[tokio::test]
async fn engine_whose_entry_expired_in_an_outage_is_used_until_it_had_time_to_renew_it() {
    let fixture = Fixture::start().await;
    let engine = fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    fixture.store.set_down(true);
    sleep(Duration::from_millis(400)).await;
    fixture.store.remove("servers", "i-1");
    fixture.store.stall_feeds(Some("op"));
    fixture.store.set_down(false);
    let begin = Instant::now();
    let mut is_renewed = false;
    for number in 0.. {
        if begin.elapsed() > Duration::from_millis(2_500) {
            break;
        }
        if begin.elapsed() > Duration::from_millis(1_200) && !is_renewed {
            engine.write_entry("ready");
            is_renewed = true;
        }
        let response = fixture.request(&daemon, "/again/", &format!("{number:x}")).send().await;
        assert_eq!(response.expect("a response").status(), 200, "after {:?}", begin.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
}
