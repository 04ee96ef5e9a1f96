//! Tests of responses and connections that belong to another request, process or address.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;

use crate::fixture::wait_until;
use crate::fixture::Fixture;
use crate::raw_engine::answer;
use crate::raw_engine::response;
use crate::raw_engine::RawEngine;
use crate::raw_engine::Step;
use crate::raw_engine::SEAL;

/// Guards against the beginning of an earlier response that runs into the status line of the next one,
/// so that a request which an engine ran counts as not executed.
#[tokio::test]
async fn beginning_of_another_response_is_not_believed_with_the_rest_of_the_own_one() {
    let strays =
        ["HTTP/1.1 421 Misdirected Requ", "HTTP/1.1 503 Status\r\ncorianderyoke-not-executed: 1"];
    for stray in strays {
        let fixture = Fixture::start().await;
        let runs = Arc::new(Mutex::new(IndexMap::<String, usize>::new()));
        let recorded = Arc::clone(&runs);
        RawEngine::start(&fixture, "i-1", "orders", &[], move |request| {
            *recorded.lock().entry(request.id.clone()).or_default() += 1;
            let own = answer(&request.id, "answer");
            match request.nth {
                1 => vec![Step::Send([stray.as_bytes(), &own].concat())],
                _ => vec![Step::Send(own)],
            }
        })
        .await;
        let daemon = fixture.daemon("d1").await;
        for id in ["1", "2"] {
            let response = fixture.request(&daemon, "/once/", id).send().await;
            let status = response.expect("a response").status().as_u16();
            let count = runs.lock().get(id).copied().unwrap_or(0);
            let is_promise = matches!(status, 408 | 421 | 429 | 503);
            assert!(count <= 1, "request {id} ran {count} times, status {status}: {stray}");
            assert!(!is_promise || count == 0, "request {id}: {status}, but it ran: {stray}");
        }
    }
}

/// Guards against the beginning of an earlier success that runs into the status line of a failure.
#[tokio::test]
async fn failure_after_the_beginning_of_another_response_is_no_success() {
    let fixture = Fixture::start().await;
    RawEngine::start(&fixture, "i-1", "orders", &[], move |request| match request.nth {
        1 => {
            let own = response(500, &request.id, &[SEAL], "failed");
            vec![Step::Send([b"HTTP/1.1 200 Sta".as_slice(), &own].concat())]
        }
        _ => vec![Step::Send(answer(&request.id, "answer"))],
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    for (id, is_success) in [("1", true), ("2", false)] {
        let response = fixture.request(&daemon, "/once/", id).send().await.expect("a response");
        assert_eq!(response.status().is_success(), is_success, "request {id}");
    }
}

/// Guards against a connection that was in use while its engine moved to another address, and carries
/// later requests to the former process.
#[tokio::test]
async fn connection_to_the_former_address_of_an_engine_is_not_used_again() {
    let fixture = Fixture::start().await;
    let start = |delay| {
        RawEngine::start(&fixture, "i-1", "orders", &[], move |request| {
            vec![Step::Pause(delay), Step::Send(answer(&request.id, "answer"))]
        })
    };
    let former = start(Duration::from_millis(1_000)).await;
    let daemon = fixture.daemon("d1").await;
    let first = tokio::spawn(fixture.request(&daemon, "/once/", "1").send());
    wait_until(|| async { former.received().len() == 1 }).await;
    let current = start(Duration::ZERO).await;
    let first = first.await.expect("the task ends").expect("a response");
    assert_eq!(first.status(), 200);
    drop(first.text().await);
    let second = fixture.request(&daemon, "/once/", "2").send().await.expect("a response");
    assert_eq!(second.status(), 200);
    assert_eq!(former.received().len(), 1, "the former process gets no later request");
    assert_eq!(current.received().len(), 1);
}

/// Guards against a request that runs on more engines than its route allows, because an engine that ran
/// it refused it later and no longer counted.
#[tokio::test]
async fn engine_that_ran_a_request_and_then_refused_it_counts_as_an_attempt() {
    let fixture = Fixture::start().await;
    let runs = Arc::new(Mutex::new(IndexMap::<String, IndexSet<usize>>::new()));
    for number in 0..3 {
        let recorded = Arc::clone(&runs);
        RawEngine::start(&fixture, &format!("i-{number}"), "orders", &[], move |request| {
            let is_first = recorded.lock().entry(request.id.clone()).or_default().insert(number);
            let status = if is_first { 503 } else { 421 };
            vec![Step::Send(response(status, &request.id, &[], "failed"))]
        })
        .await;
    }
    let daemon = fixture.daemon("d1").await;
    // Engines that failed recently are tried only if there are no others.
    for number in 0..12 {
        let id = format!("{number:x}");
        drop(fixture.request(&daemon, "/again/", &id).send().await);
    }
    for (id, engines) in runs.lock().iter() {
        assert!(engines.len() <= 2, "request {id} ran on the engines {engines:?}");
    }
}

/// Guards against a report of an engine's former process that is believed for the process that started
/// again under its identity.
#[tokio::test]
async fn report_of_a_former_process_is_not_believed() {
    let fixture = Fixture::start().await;
    let engine = RawEngine::start(&fixture, "i-1", "advice", &["m1"], move |request| {
        let reply = |text: &str| Step::Send(response(200, "", &[], text));
        match (request.path.as_str(), request.connection) {
            ("/report", 0) => vec![
                Step::Pause(Duration::from_millis(500)),
                reply(r#"{"busy": false, "seq": 0, "models": [{"name": "m1"}], "born": 1}"#),
            ],
            ("/report", _) => vec![reply(r#"{"busy": false, "seq": 0, "models": [], "born": 2}"#)],
            ("/order", _) => vec![Step::Send(response(409, "", &[], ""))],
            _ => vec![Step::Send(response(421, &request.id, &[], "not here"))],
        }
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    wait_until(|| async { !engine.received().is_empty() }).await;
    let entry = fixture.store.value("servers", "i-1").expect("the engine's entry");
    let mut entry: Value = serde_json::from_slice(&entry).expect("an entry");
    entry["born"] = json!(2);
    entry["models"] = json!([]);
    fixture.store.put("servers", "i-1", entry.to_string().as_bytes());
    sleep(Duration::from_millis(700)).await;
    let request = fixture.generation_request(&daemon, "/resume/", "1", "m1");
    drop(request.send().await);
    let received = engine.received();
    let sent = received.iter().filter(|request| request.id == "1").count();
    assert_eq!(sent, 0, "the engine doesn't hold the model");
}

/// Guards against a response that an engine writes once more and that is believed for a later request
/// to which the caller gave the same identifier.
#[tokio::test]
async fn response_to_a_request_is_not_believed_for_another_one_of_the_same_identifier() {
    let fixture = Fixture::start().await;
    RawEngine::start(&fixture, "i-1", "orders", &[], move |request| {
        let [first, own] = ["first", "own"].map(|body| Step::Send(answer(&request.id, body)));
        match (request.connection, request.nth) {
            (0, 0) => vec![first],
            (0, _) => vec![first, own],
            _ => vec![own],
        }
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    for body in ["first", "own"] {
        let response = fixture.request(&daemon, "/once/", "1").send().await.expect("a response");
        assert_eq!(response.text().await.expect("a body"), body);
    }
}
