//! Tests of engines that say in their responses that they leave, while their entries stay ready.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use indexmap::IndexSet;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::engine::Behavior;
use crate::fixture::wait_until;
use crate::fixture::Daemon;
use crate::fixture::Fixture;
use crate::raw_engine::answer;
use crate::raw_engine::refusal;
use crate::raw_engine::response;
use crate::raw_engine::RawEngine;
use crate::raw_engine::Step;

const LEAVING: &str = "server-leaving: 1";
/// Requests that the test sends to each daemon.
const COUNT: usize = 12;
/// Time after which all daemons use an engine again.
const RESTART_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the header of a caller that waits for so many milliseconds.
fn deadline(millis: &'static str) -> HeaderMap {
    let name = HeaderName::from_static("corianderyoke-deadline-ms");
    [(name, HeaderValue::from_static(millis))].into_iter().collect()
}

/// Sends a request. Returns its status.
async fn send(fixture: &Fixture, daemon: &Daemon, path: &str, id: &str) -> u16 {
    let response = fixture.request_for(daemon, path, id).send().await.expect("a response");
    let status = response.status().as_u16();
    response.bytes().await.expect("the response is complete");
    status
}

/// Guards against requests to an engine after an answer in which it said that it leaves, whether that
/// was a success, a failure or a refusal.
#[tokio::test]
async fn engine_that_says_it_leaves_in_any_answer_gets_nothing_more() {
    let behaviors = [
        Behavior::Stream(1, Duration::ZERO),
        Behavior::Fail,
        Behavior::Refuse,
        Behavior::LacksModel,
    ];
    for path in ["/again/", "/resume/soak"] {
        for behavior in behaviors {
            let fixture = Fixture::start().await;
            let leaving = fixture.engine_for(path, "i-1").await;
            fixture.engine_for(path, "i-2").await;
            leaving.set_leaving(true);
            leaving.queue_behaviors(&[behavior]);
            let daemon = fixture.daemon("d1").await;
            for number in 0..COUNT {
                assert_eq!(send(&fixture, &daemon, path, &format!("{number:x}")).await, 200);
                // The row arrives late, or the engine never reports that it drains.
                leaving.write_entry("ready");
            }
            // The daemon may have learned of it from a report already.
            let count = leaving.received().len();
            assert!(count <= 1, "{path}, {behavior:?}: {count} requests");
        }
    }
}

/// Guards against daemons that don't hear of a leaving engine from each other or from the store, and
/// against engines that aren't used again after their restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_daemon_of_a_fleet_sends_nothing_more_until_the_engine_restarted() {
    let fixture = Fixture::start().await;
    let engines = [fixture.plain_engine("i-1").await, fixture.plain_engine("i-2").await];
    let mut daemons = Vec::new();
    for number in 0..8 {
        daemons.push(fixture.daemon(&format!("d{number}")).await);
    }
    engines[0].set_leaving(true);
    for number in 0..COUNT {
        for (index, daemon) in daemons.iter().enumerate() {
            assert_eq!(send(&fixture, daemon, "/again/", &format!("{index}-{number}")).await, 200);
        }
        engines[0].write_entry("ready");
    }
    let received = engines[0].received();
    let senders: Vec<String> = received
        .iter()
        .filter_map(|request| request.headers["corianderyoke-attempt-id"].to_str().ok())
        .filter_map(|id| Some(id.split_once('-')?.0.to_owned()))
        .collect();
    let distinct: IndexSet<&String> = senders.iter().collect();
    assert_eq!(distinct.len(), senders.len(), "requests by daemon: {senders:?}");
    assert!(!senders.is_empty(), "the engine was used before");
    // A response without the header takes nothing back, and the engine gets none anyway.
    engines[0].set_leaving(false);
    for daemon in &daemons {
        assert_eq!(send(&fixture, daemon, "/again/", "later").await, 200);
    }
    let unused = daemons.len() - distinct.len();
    assert!(engines[0].received().len() <= received.len() + unused);
    engines[0].restart();
    let start = Instant::now();
    for (index, daemon) in daemons.iter().enumerate() {
        let before = engines[0].received().len();
        for number in 0.. {
            send(&fixture, daemon, "/again/", &format!("{index}-after-{number}")).await;
            if engines[0].received().len() > before {
                break;
            }
            assert!(start.elapsed() < RESTART_TIMEOUT, "daemon {index} doesn't use it again");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against engines whose reports and answers to orders say that they leave, to no effect.
#[tokio::test]
async fn engine_that_says_it_leaves_in_a_report_or_an_answer_to_an_order_gets_nothing_more() {
    for (in_report, in_order) in [(true, false), (false, true)] {
        let fixture = Fixture::start().await;
        let engine = RawEngine::start(&fixture, "i-1", "advice", &[], move |request| {
            let header = |is_set| if is_set { vec![LEAVING] } else { Vec::new() };
            let reply = match request.path.as_str() {
                "/report" => {
                    let report = json!({"busy": false, "seq": 0, "models": []}).to_string();
                    response(200, "", &header(in_report), &report)
                }
                "/order" => response(409, "", &header(in_order), ""),
                _ => answer(&request.id, "id: 1\ndata: a\n\n"),
            };
            vec![Step::Send(reply)]
        })
        .await;
        let daemon = fixture.daemon("d1").await;
        wait_until(|| async { !engine.received().is_empty() }).await;
        for id in ["1", "2", "3"] {
            let request = fixture.generation_request(&daemon, "/resume/", id, "m1");
            let request = request.headers(deadline("1000"));
            let response = request.send().await.expect("a response");
            assert_eq!(response.status(), 503);
        }
        let received = engine.received();
        let orders = received.iter().filter(|request| request.path == "/order").count();
        assert_eq!(orders, usize::from(in_order), "said in a report: {in_report}");
        let others = received.iter().filter(|request| !request.id.is_empty()).count();
        assert_eq!(others, 0, "said in a report: {in_report}");
    }
}

/// Guards against a fallback to engines that leave when there are no others.
#[tokio::test]
async fn request_is_refused_when_all_engines_leave() {
    for (path, service) in [("/again/", "orders"), ("/resume/soak", "advice")] {
        let fixture = Fixture::start().await;
        let engine = RawEngine::start(&fixture, "i-1", service, &["m1"], move |request| {
            let reply = match request.path.as_str() {
                "/report" => response(200, "", &[LEAVING], "{\"seq\": 0, \"models\": []}"),
                _ => response(503, &request.id, &["corianderyoke-not-executed: 1", LEAVING], ""),
            };
            vec![Step::Send(reply)]
        })
        .await;
        let daemon = fixture.daemon("d1").await;
        for id in ["1", "2", "3"] {
            let request = fixture.request_for(&daemon, path, id).headers(deadline("700"));
            assert_eq!(request.send().await.expect("a response").status(), 503, "{path}");
        }
        let received = engine.received();
        assert!(received.iter().filter(|request| !request.id.is_empty()).count() <= 1, "{path}");
    }
}

/// Guards against a response to another request, or of another engine, that is believed.
#[tokio::test]
async fn engine_stays_in_use_when_only_a_foreign_answer_says_it_leaves() {
    let fixture = Fixture::start().await;
    let engine = RawEngine::start(&fixture, "i-1", "orders", &[], |request| {
        let foreign = "corianderyoke-instance-id: i-9";
        let reply = match (request.id.as_str(), request.nth) {
            ("1", 0) => response(421, &request.id, &[LEAVING, foreign], ""),
            ("2", _) => response(503, "9", &[LEAVING, "corianderyoke-not-executed: 1"], ""),
            ("3", _) => refusal(&request.id),
            _ => answer(&request.id, "answer"),
        };
        vec![Step::Send(reply)]
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    for id in ["1", "2", "3"] {
        let request = fixture.request(&daemon, "/once/", id);
        let request = request.headers(deadline("1000"));
        request.send().await.expect("a response");
    }
    sleep(Duration::from_millis(500)).await;
    assert_eq!(send(&fixture, &daemon, "/once/", "4").await, 200);
    assert!(engine.received().iter().any(|request| request.id == "4"));
}
