//! Tests of a daemon's shutdown and reload on signals.

use std::time::Duration;

use nix::sys::signal::Signal;

use crate::engine::Behavior;
use crate::fixture::status_and_retry_after;
use crate::fixture::wait_until;
use crate::fixture::Fixture;

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
