//! Tests of a daemon's shutdown and reload on signals.

use std::time::Duration;

use nix::sys::signal::Signal;

use crate::engine::Behavior;
use crate::fixture;
use crate::fixture::status_and_retry_after;
use crate::fixture::wait_until;
use crate::fixture::Daemon;
use crate::fixture::Fixture;
use crate::raw_engine::RawEngine;
use crate::raw_engine::Step;
use crate::raw_engine::SEAL;

/// Pause between two requests that come while the daemon stops.
const LATE_REQUEST_GAP: Duration = Duration::from_millis(600);
/// Number of requests that come while the daemon stops.
const LATE_REQUESTS: u32 = 7;
/// Kinds of routes, each with a behavior that takes between 2.5 and 3.5 s.
const SLOW_RESPONSES: [(&str, Behavior); 4] = [
    ("/once/", Behavior::Respond(Duration::from_millis(3_500))),
    ("/again/", Behavior::Respond(Duration::from_millis(2_500))),
    ("/stream/", Behavior::Stream(5, Duration::from_millis(600))),
    ("/resume/", Behavior::Stream(5, Duration::from_millis(600))),
];

/// Returns a client with an open connection to a daemon.
async fn connected_client(fixture: &Fixture, daemon: &Daemon, id: &str) -> reqwest::Client {
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let request = fixture.request(daemon, "/none/", id).build().expect("a request");
    let response = client.execute(request).await.expect("a response");
    assert_eq!(response.status(), 404);
    response.bytes().await.expect("the response is complete");
    client
}

/// Guards against requests that come late in the grace time and are cut when the process ends.
#[tokio::test]
async fn requests_that_a_stopping_daemon_accepts_are_answered() {
    for (path, behavior) in SLOW_RESPONSES {
        let fixture = Fixture::start().await;
        let engine = fixture.engine_for(path, "i-1").await;
        engine.queue_behaviors(&[behavior; LATE_REQUESTS as usize]);
        let daemon = fixture.daemon("d1").await;
        let mut clients = Vec::new();
        for number in 0..LATE_REQUESTS {
            clients.push(connected_client(&fixture, &daemon, &format!("a{number}")).await);
        }
        daemon.signal(Signal::SIGTERM);
        let sent = clients.iter().zip(0..).map(|(client, number)| {
            let request = fixture.request_for(&daemon, path, &format!("b{number}"));
            let request = request.build().expect("a request");
            async move {
                tokio::time::sleep(LATE_REQUEST_GAP * number).await;
                let response = client.execute(request).await?;
                let status = response.status().as_u16();
                Ok::<_, reqwest::Error>((status, response.text().await?))
            }
        });
        for (number, result) in futures::future::join_all(sent).await.into_iter().enumerate() {
            match result {
                Ok((status, body)) => {
                    assert!(matches!(status, 200 | 503), "{path} {number}: {status} {body}");
                }
                // The process has ended and closed the open connection before.
                Err(error) if error.is_connect() => {}
                Err(error) => panic!("{path} {number}: {error:?}"),
            }
        }
        let executed = engine.received().len();
        assert!(executed > 0, "{path}: the first request still fits");
    }
}

/// Guards against requests that outlast the grace time and end without an answer.
#[tokio::test]
async fn request_that_outlasts_the_grace_time_is_answered_at_its_end() {
    let fixture = Fixture::start().await;
    let mut desired = fixture::desired_state(2);
    desired["routes"][0]["timeout_ms"] = 20_000.into();
    fixture.write_desired_state(&desired);
    let engine = fixture.plain_engine("i-1").await;
    engine.queue_behaviors(&[Behavior::Respond(Duration::from_secs(10))]);
    let daemon = fixture.daemon("d1").await;
    let request = fixture.request(&daemon, "/once/", "1");
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let mut request = request.build().expect("a request");
    request.headers_mut().insert("corianderyoke-deadline-ms", 15_000.into());
    let sent = tokio::spawn(async move { client.execute(request).await });
    wait_until(|| async { engine.in_flight() == 1 }).await;
    daemon.signal(Signal::SIGTERM);
    let response = sent.await.expect("the task ends").expect("a response");
    assert_eq!(response.status(), 502, "the request may have run");
}

#[tokio::test]
async fn stopping_daemon_completes_requests_in_flight() {
    let fixture = Fixture::start().await;
    let engine = fixture.plain_engine("i-1").await;
    engine.queue_behaviors(&[Behavior::Respond(Duration::from_secs(2))]);
    let mut daemon = fixture.daemon("d1").await;
    let sent = tokio::spawn(fixture.request(&daemon, "/once/", "1").send());
    wait_until(|| async { engine.in_flight() == 1 }).await;
    daemon.signal(Signal::SIGTERM);
    wait_until(|| async { fixture.status(daemon.ready, "/readyz").await == Some(503) }).await;
    // Callers that cached its address are still served, and asked to close the connection.
    let during_stop = fixture.request(&daemon, "/once/", "2").send().await.expect("a response");
    assert_eq!(during_stop.status(), 200);
    assert_eq!(during_stop.headers()["connection"], "close");
    assert_eq!(sent.await.expect("the task ends").expect("a response").status(), 200);
    for _ in 0..500 {
        if daemon.has_exited() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the daemon didn't exit");
}

#[tokio::test]
async fn waiting_request_is_refused_when_the_daemon_stops() {
    let fixture = Fixture::start().await;
    fixture.model_engine("i-1", &["m1"]).await;
    let daemon = fixture.daemon("d1").await;
    // The model is unknown, so no engine can be ordered to load it and the request waits.
    let request = fixture.generation_request(&daemon, "/stream/", "1", "unknown");
    let request = request.header("corianderyoke-deadline-ms", "20000");
    let sent = tokio::spawn(request.send());
    tokio::time::sleep(Duration::from_millis(200)).await;
    daemon.signal(Signal::SIGTERM);
    let response = sent.await.expect("the task ends").expect("a response");
    assert_eq!(status_and_retry_after(&response), (503, true));
}

#[tokio::test]
async fn reload_with_an_invalid_settings_file_interrupts_no_request() {
    let fixture = Fixture::start().await;
    let engine = fixture.plain_engine("i-1").await;
    engine.queue_behaviors(&[Behavior::Respond(Duration::from_millis(800))]);
    let daemon = fixture.daemon("d1").await;
    let sent = tokio::spawn(fixture.request(&daemon, "/once/", "1").send());
    wait_until(|| async { engine.in_flight() == 1 }).await;
    daemon.write_settings("name = [not settings");
    daemon.signal(Signal::SIGHUP);
    assert_eq!(sent.await.expect("the task ends").expect("a response").status(), 200);
    assert_eq!(fixture.status(daemon.ready, "/readyz").await, Some(200));
}

/// Guards against a stream that is given up because its engine pauses, and that a stopping daemon then
/// doesn't go on with at another engine.
#[tokio::test]
async fn stream_whose_engine_falls_silent_is_resumed_by_a_stopping_daemon() {
    const EVENT_GAP: Duration = Duration::from_millis(800);
    let fixture = Fixture::start().await;
    let mut desired = fixture::desired_state(2);
    desired["routes"][3]["timeout_ms"] = 20_000.into();
    fixture.write_desired_state(&desired);
    let silent = RawEngine::start(&fixture, "i-1", "advice", &["m1"], |request| {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncorianderyoke-attempt-id: {}\r\n{SEAL}\r\n\
             content-type: text/event-stream\r\n\r\n",
            request.id
        );
        let event = |id| Step::Send(format!("id: {id}\ndata: piece {id}\n\n").into_bytes());
        let mut steps = vec![Step::Send(head.into_bytes())];
        for id in 1..=4 {
            steps.extend([event(id), Step::Pause(EVENT_GAP)]);
        }
        steps.push(Step::Pause(Duration::from_secs(30)));
        steps
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    let request = fixture.generation_request(&daemon, "/resume/soak", "1", "m1");
    let mut request = request.build().expect("a request");
    request.headers_mut().insert("corianderyoke-deadline-ms", 15_000.into());
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let sent = tokio::spawn(async move { client.execute(request).await?.text().await });
    wait_until(|| async { !silent.received().is_empty() }).await;
    let other = fixture.model_engine("i-2", &["m1"]).await;
    daemon.signal(Signal::SIGTERM);
    let text = sent.await.expect("the task ends").expect("the stream is complete");
    assert!(text.contains("id: 4\n") && text.contains("id: 8\n"), "{text}");
    assert_eq!(other.received().len(), 1);
}
