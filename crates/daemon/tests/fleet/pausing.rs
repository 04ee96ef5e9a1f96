//! Tests of engines that refuse a request and ask the daemon for a pause.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use reqwest::Response;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::engine::Behavior;
use crate::engine::Engine;
use crate::engine::ReceivedRequest;
use crate::fixture::Daemon;
use crate::fixture::Fixture;
use crate::raw_engine::answer;
use crate::raw_engine::response;
use crate::raw_engine::RawEngine;
use crate::raw_engine::Step;

/// Time after a refusal within which further requests may arrive.
const REACTION: Duration = Duration::from_millis(500);
/// Pause that engines ask for.
const PAUSE: Duration = Duration::from_secs(3);
/// Requests that may reach an engine from a daemon during the rest of a pause.
const TOLERANCE: usize = 2;
/// Interval between two requests of the test.
const INTERVAL: Duration = Duration::from_millis(50);
/// Time after which all daemons use an engine again.
const USE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which callers wait.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

async fn send(fixture: &Fixture, daemon: &Daemon, path: &str, id: &str) -> Response {
    fixture.request_for(daemon, path, id).send().await.expect("a response")
}

/// Returns the requests that an engine received from the daemon with this number.
fn received_from(engine: &Engine, number: usize) -> Vec<ReceivedRequest> {
    let prefix = format!("{number}-");
    let mut received = engine.received();
    received.retain(|request| {
        let id = request.headers["corianderyoke-attempt-id"].to_str();
        id.is_ok_and(|id| id.starts_with(&prefix))
    });
    received
}

/// Returns how many of the requests at `times` are within the pause that began at `start`.
fn count_in_pause(times: impl Iterator<Item = Instant>, start: Instant) -> usize {
    times.filter(|at| *at > start + REACTION && *at < start + PAUSE).count()
}

/// Guards against daemons that ignore a pause, and against engines that aren't used after one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_that_asks_for_a_pause_gets_nothing_from_that_daemon_until_its_end() {
    for (path, count) in [("/again/", 8), ("/resume/soak", 2)] {
        let fixture = Fixture::start().await;
        let engine = fixture.engine_for(path, "i-1").await;
        fixture.engine_for(path, "i-2").await;
        let mut daemons = Vec::new();
        for number in 0..count {
            daemons.push(fixture.daemon(&format!("d{number}")).await);
        }
        engine.queue_behaviors(&vec![Behavior::RefuseFor("3"); count]);
        let start = Instant::now();
        for number in 0.. {
            for (index, daemon) in daemons.iter().enumerate() {
                let response = send(&fixture, daemon, path, &format!("{index}-{number}")).await;
                assert_eq!(response.status(), 200, "the other engine serves it");
                response.bytes().await.expect("the response is complete");
            }
            let is_used = |index| {
                let received = received_from(&engine, index);
                let refused = received.iter().find(|request| !request.executed);
                refused.is_some_and(|refused| {
                    received.iter().any(|request| request.at >= refused.at + PAUSE)
                })
            };
            if (0..count).all(is_used) {
                break;
            }
            assert!(start.elapsed() < USE_TIMEOUT, "{path}: all daemons use the engine again");
            sleep(INTERVAL).await;
        }
        for index in 0..count {
            let received = received_from(&engine, index);
            for refused in received.iter().filter(|request| !request.executed) {
                let later = count_in_pause(received.iter().map(|request| request.at), refused.at);
                assert!(later <= TOLERANCE, "{path}, daemon {index}: {later} in the pause");
            }
        }
    }
}

/// Guards against requests that wait for an engine whose pause outlasts their time, or that are sent
/// to it because there is no other.
#[tokio::test]
async fn request_is_refused_at_once_when_the_only_engine_pauses_for_longer() {
    for path in ["/once/", "/again/", "/resume/soak"] {
        let fixture = Fixture::start().await;
        let engine = fixture.engine_for(path, "i-1").await;
        engine.queue_behaviors(&[Behavior::RefuseFor("3600.5")]);
        let daemon = fixture.daemon("d1").await;
        for id in ["1", "2", "3"] {
            let start = Instant::now();
            let response = send(&fixture, &daemon, path, id).await;
            assert_eq!(response.status(), 503, "{path}");
            let delay = response.headers()["retry-after"].to_str().expect("it is text");
            let delay: f64 = delay.parse().expect("a number of seconds");
            assert!(delay > 0.0 && delay <= 3_600.0, "{path}: {delay}");
            assert!(start.elapsed() < CALLER_TIMEOUT / 2, "{path}: it waited");
        }
        assert_eq!(engine.received().len(), 1, "{path}");
        assert!(engine.orders().is_empty(), "{path}");
    }
}

#[tokio::test]
async fn request_waits_for_the_end_of_a_short_pause() {
    for path in ["/once/", "/resume/soak"] {
        let fixture = Fixture::start().await;
        let engine = fixture.engine_for(path, "i-1").await;
        engine.queue_behaviors(&[Behavior::RefuseFor("0.8")]);
        let daemon = fixture.daemon("d1").await;
        assert_eq!(send(&fixture, &daemon, path, "1").await.status(), 200, "{path}");
        let times: Vec<Instant> = engine.received().iter().map(|request| request.at).collect();
        assert_eq!(times.len(), 2, "{path}");
        assert!(times[1] - times[0] >= Duration::from_millis(800), "{path}");
    }
}

/// Guards against models that only an engine in a pause holds, and that no other one loads.
#[tokio::test]
async fn model_of_an_engine_in_a_pause_is_loaded_on_another_one() {
    let fixture = Fixture::start().await;
    let paused = fixture.model_engine("i-1", &["m1"]).await;
    let other = fixture.model_engine("i-2", &[]).await;
    paused.queue_behaviors(&[Behavior::RefuseFor("60")]);
    let daemon = fixture.daemon("d1").await;
    for id in ["1", "2", "3"] {
        assert_eq!(send(&fixture, &daemon, "/resume/soak", id).await.status(), 200);
    }
    assert_eq!(paused.received().len(), 1);
    assert!(other.orders().iter().any(|order| order["model"] == "m1"));
}

/// Guards against orders and reports in a pause, whether the engine asked for it in an answer to a
/// report, to an order or to a request, and against daemons that don't order anything after it.
#[tokio::test]
async fn engine_in_a_pause_gets_no_orders_and_reports() {
    for refusing in ["/report", "/order", "/resume/soak"] {
        let fixture = Fixture::start().await;
        let times: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded = Arc::clone(&times);
        // It holds the model only where the requests are what it refuses.
        let models: &[&str] = if refusing == "/resume/soak" { &["m1"] } else { &[] };
        RawEngine::start(&fixture, "i-1", "advice", models, move |request| {
            let mut times = recorded.lock();
            let is_refused = request.path == refusing && times.is_empty();
            if is_refused || !times.is_empty() {
                times.push(Instant::now());
            }
            let loaded: Vec<_> = models.iter().map(|name| json!({"name": name})).collect();
            let report = json!({"busy": false, "seq": 0, "models": loaded}).to_string();
            let reply = match request.path.as_str() {
                _ if is_refused => {
                    let headers = ["retry-after: 3", "corianderyoke-not-executed: 1"];
                    response(503, &request.id, &headers, "")
                }
                "/report" => response(200, "", &[], &report),
                "/order" => response(409, "", &[], ""),
                _ => answer(&request.id, "id: 1\ndata: a\n\n"),
            };
            vec![Step::Send(reply)]
        })
        .await;
        let daemon = fixture.daemon("d1").await;
        let start = Instant::now();
        let is_over = || {
            let times = times.lock();
            let first = times.first().copied();
            first.is_some_and(|first| times.iter().any(|at| *at >= first + PAUSE))
        };
        for number in 0.. {
            let id = format!("{number:x}");
            let request = send(&fixture, &daemon, "/resume/soak", &id);
            // Some wait for a load, and are still there after the pause.
            let _ = tokio::time::timeout(INTERVAL * 10, request).await;
            if is_over() {
                break;
            }
            assert!(start.elapsed() < USE_TIMEOUT, "{refusing}: nothing came after the pause");
        }
        let times = times.lock().clone();
        let later = count_in_pause(times.iter().copied(), times[0]);
        assert!(later <= TOLERANCE, "refused {refusing}: {later} in the pause");
    }
}
