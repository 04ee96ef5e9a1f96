//! Signals to a daemon.

use std::time::Duration;

use nix::sys::signal::Signal;

use crate::engine::Act;
use crate::world::refusal;
use crate::world::until;
use crate::world::World;

#[tokio::test]
async fn a_stopping_daemon_finishes_what_runs() {
    let world = World::start().await;
    let engine = world.plain("i-1").await;
    engine.next(&[Act::Answer(Duration::from_secs(2))]);
    let mut daemon = world.daemon("d1").await;
    let sent = tokio::spawn(world.request(&daemon, "/once/", "1").send());
    until(|| async { engine.unfinished() == 1 }).await;
    daemon.signal(Signal::SIGTERM);
    until(|| async { world.status(daemon.ready, "/readyz").await == Some(503) }).await;
    // Callers that kept its address are still served, and told to go elsewhere next.
    let late = world.request(&daemon, "/once/", "2").send().await.expect("an answer");
    assert_eq!(late.status(), 200);
    assert_eq!(late.headers()["connection"], "close");
    assert_eq!(sent.await.expect("it was asked").expect("an answer").status(), 200);
    for _ in 0..500 {
        if daemon.has_ended() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the daemon didn't end");
}

#[tokio::test]
async fn a_request_that_still_waits_when_the_daemon_stops_is_refused() {
    let world = World::start().await;
    world.model_engine("i-1", &["m1"]).await;
    let daemon = world.daemon("d1").await;
    // No engine can be ordered to load this one, so that the request waits.
    let request = world.generation(&daemon, "/stream/", "1", "unknown");
    let request = request.header("corianderyoke-deadline-ms", "20000");
    let sent = tokio::spawn(request.send());
    tokio::time::sleep(Duration::from_millis(200)).await;
    daemon.signal(Signal::SIGTERM);
    let answer = sent.await.expect("it was asked").expect("an answer");
    assert_eq!(refusal(&answer), (503, true));
}

#[tokio::test]
async fn a_change_of_the_settings_file_cuts_nothing() {
    let world = World::start().await;
    let engine = world.plain("i-1").await;
    engine.next(&[Act::Answer(Duration::from_millis(800))]);
    let daemon = world.daemon("d1").await;
    let sent = tokio::spawn(world.request(&daemon, "/once/", "1").send());
    until(|| async { engine.unfinished() == 1 }).await;
    daemon.rewrite("name = [not settings");
    daemon.signal(Signal::SIGHUP);
    assert_eq!(sent.await.expect("it was asked").expect("an answer").status(), 200);
    assert_eq!(world.status(daemon.ready, "/readyz").await, Some(200));
}
