//! Engines that fail, and what may be sent again.

use std::time::Duration;

use serde_json::json;

use crate::engine::Act;
use crate::engine::Engine;
use crate::world::desired;
use crate::world::refusal;
use crate::world::until;
use crate::world::World;

async fn two_plain(world: &World) -> [Engine; 2] {
    [world.plain("i-1").await, world.plain("i-2").await]
}

fn runs(engines: &[Engine]) -> usize {
    engines.iter().map(|engine| engine.seen().len()).sum()
}

/// Lets whichever engine comes first do `act`.
fn first(engines: &[Engine], act: Act) {
    for engine in engines {
        engine.next(&[act]);
    }
}

#[tokio::test]
async fn a_request_that_runs_once_is_not_sent_again_after_a_lost_answer() {
    let world = World::start().await;
    let engines = two_plain(&world).await;
    let daemon = world.daemon("d1").await;
    for act in [Act::Drop, Act::OtherId, Act::Unsigned] {
        let before = runs(&engines);
        first(&engines, act);
        let answer = world.request(&daemon, "/once/", "1").send().await.expect("an answer");
        assert_eq!(answer.status(), 502, "{act:?}");
        assert!(!answer.headers().contains_key("corianderyoke-response-seal"));
        assert_eq!(runs(&engines), before + 1, "{act:?}");
        // The other engine still has its act to do.
        world.request(&daemon, "/once/", "2").send().await.expect("an answer");
    }
}

#[tokio::test]
async fn a_request_that_runs_once_goes_elsewhere_after_a_refusal() {
    let world = World::start().await;
    let engines = two_plain(&world).await;
    let daemon = world.daemon("d1").await;
    engines[0].next(&[Act::Refuse]);
    engines[1].next(&[]);
    for id in ["1", "2", "3", "4"] {
        let answer = world.request(&daemon, "/once/", id).send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }
}

#[tokio::test]
async fn a_request_refused_everywhere_is_said_not_to_have_run() {
    let world = World::start().await;
    let engines = two_plain(&world).await;
    let daemon = world.daemon("d1").await;
    for engine in &engines {
        engine.next(&[Act::Refuse; 50]);
    }
    let answer = world.request(&daemon, "/once/", "1").send().await.expect("an answer");
    assert_eq!(refusal(&answer), (503, true));
}

#[tokio::test]
async fn an_idempotent_request_is_sent_again_after_a_failure() {
    let world = World::start().await;
    let engines = two_plain(&world).await;
    let daemon = world.daemon("d1").await;
    for act in [Act::Drop, Act::Fail, Act::OtherId, Act::Unsigned] {
        engines[0].next(&[act]);
        engines[1].next(&[]);
        for id in ["1", "2", "3"] {
            let answer = world.request(&daemon, "/again/", id).send().await.expect("an answer");
            assert_eq!(answer.status(), 200, "{act:?}");
        }
    }
}

#[tokio::test]
async fn a_slow_engine_is_waited_for_while_no_other_can_serve() {
    let world = World::start().await;
    let engine = world.model_engine("i-1", &["m1"]).await;
    world.model_engine("i-2", &["m2"]).await;
    let daemon = world.daemon("d1").await;
    // Longer than a request waits where it could go elsewhere.
    engine.next(&[Act::Stream(1, Duration::from_millis(1_500))]);
    let request = world.generation(&daemon, "/resume/", "1", "m1");
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert!(answer.text().await.is_ok_and(|text| text.contains("id: 1")));
    let plain = world.plain("i-3").await;
    plain.next(&[Act::Answer(Duration::from_millis(1_500))]);
    let answer = world.request(&daemon, "/again/", "2").send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!([engine.seen().len(), plain.seen().len()], [1, 1]);
}

#[tokio::test]
async fn an_engine_that_never_holds_what_its_entry_says_is_not_asked_all_the_time() {
    let world = World::start().await;
    let engine = world.model_engine("i-1", &["m1"]).await;
    let daemon = world.daemon("d1").await;
    engine.next(&[Act::Misplaced; 500]);
    let listing = tokio::spawn({
        let engine = engine.clone();
        async move {
            loop {
                engine.list("ready");
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
        }
    });
    for id in ["1", "2", "3", "4"] {
        let request = world.generation(&daemon, "/resume/", id, "m1").send();
        assert_eq!(refusal(&request.await.expect("an answer")).0, 503);
    }
    listing.abort();
    // Four first sendings, and the retries that a daemon may save up: nine tenths of 50.
    let sends = engine.seen().len();
    assert!(sends <= 4 + 45, "{sends} sendings");
    // Each request asks the engine again only now and then.
    assert!(sends <= 4 * 8, "{sends} sendings");
}

#[tokio::test]
async fn an_engines_own_failure_is_passed_on_where_no_other_is_left() {
    let world = World::start().await;
    let engines = two_plain(&world).await;
    let daemon = world.daemon("d1").await;
    first(&engines, Act::Fail);
    let answer = world.request(&daemon, "/again/", "1").send().await.expect("an answer");
    assert_eq!(answer.status(), 500);
    assert!(answer.headers().contains_key("corianderyoke-response-seal"));
    assert_eq!(answer.text().await.expect("a body"), "failure");
}

#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_after_its_last_whole_event() {
    let world = World::start().await;
    let engines =
        [world.model_engine("i-1", &["m1"]).await, world.model_engine("i-2", &["m1"]).await];
    let daemon = world.daemon("d1").await;
    for engine in &engines {
        engine.next(&[Act::Cut(3), Act::Stream(2, Duration::ZERO)]);
    }
    let request = world.generation(&daemon, "/resume/", "1", "m1");
    let text = request.send().await.expect("an answer").text().await.expect("it is whole");
    // The engine that goes on is a fresh one, which breaks off too; the first ends it.
    let ids: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    assert_eq!(ids[..3], ["1", "2", "3"], "{text}");
    let mut sorted = ids.clone();
    sorted.dedup();
    assert_eq!(sorted, ids, "{text}");
}

#[tokio::test]
async fn a_stream_that_falls_silent_goes_on_before_its_caller_gives_it_up() {
    let world = World::start().await;
    let engines =
        [world.model_engine("i-1", &["m1"]).await, world.model_engine("i-2", &["m1"]).await];
    let daemon = world.daemon("d1").await;
    for engine in &engines {
        engine.next(&[Act::Stall(2), Act::Stream(2, Duration::ZERO)]);
    }
    // One engine has to fall silent only: the second request of the pair meets its next act.
    let request = world.generation(&daemon, "/resume/", "1", "m1");
    let mut answer = request.send().await.expect("an answer");
    let mut text = String::new();
    // Callers wait for 3.2 s, eight pauses of 0.4 s.
    let read = tokio::time::timeout(Duration::from_millis(3_200), async {
        while let Ok(Some(piece)) = answer.chunk().await {
            text.push_str(std::str::from_utf8(&piece).expect("text"));
            if text.contains("id: 3") {
                return;
            }
        }
    });
    read.await.expect("it goes on");
    assert!(text.contains("id: 3\n"), "{text}");
    assert_eq!(runs(&engines), 2);
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_does_not_look_complete() {
    let world = World::start().await;
    let engine = world.model_engine("i-1", &["m1"]).await;
    let daemon = world.daemon("d1").await;
    engine.next(&[Act::Cut(3)]);
    let request = world.generation(&daemon, "/stream/", "1", "m1");
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert!(answer.text().await.is_err());
    assert_eq!(engine.seen().len(), 1);
}

#[tokio::test]
async fn events_are_passed_on_as_they_come() {
    let world = World::start().await;
    let engine = world.model_engine("i-1", &["m1"]).await;
    let daemon = world.daemon("d1").await;
    engine.next(&[Act::Stream(3, Duration::from_millis(200))]);
    let request = world.generation(&daemon, "/stream/", "1", "m1");
    let mut answer = request.send().await.expect("an answer");
    let mut pieces = Vec::new();
    while let Some(piece) = answer.chunk().await.expect("it is whole") {
        pieces.push(piece);
    }
    assert_eq!(pieces.len(), 3);
}

#[tokio::test]
async fn a_leaving_engine_gets_nothing_new() {
    let world = World::start().await;
    let engines = two_plain(&world).await;
    let daemon = world.daemon("d1").await;
    engines[0].list("draining");
    // The platform allows two seconds.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = engines[0].seen().len();
    for id in 0..6 {
        let answer = world.request(&daemon, "/once/", &format!("{id}")).send().await;
        assert_eq!(answer.expect("an answer").status(), 200);
    }
    assert_eq!(engines[0].seen().len(), before);
}

#[tokio::test]
async fn entries_and_desired_states_that_cannot_be_read_change_nothing() {
    let world = World::start().await;
    let engine = world.plain("i-1").await;
    world.store.put("servers", "strange", b"\xff\xfe no entry");
    world.store.put("servers", "odd", br#"{"service": 4, "state": "upside down"}"#);
    let daemon = world.daemon("d1").await;
    world.store.put("op", "config", b"{ not whole");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let answer = world.request(&daemon, "/once/", "1").send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(engine.seen().len(), 1);
}

#[tokio::test]
async fn requests_are_served_while_the_store_is_down() {
    let world = World::start().await;
    world.plain("i-1").await;
    let daemon = world.daemon("d1").await;
    world.store.set_down(true);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let answer = world.request(&daemon, "/once/", "1").send().await.expect("an answer");
    assert_eq!(refusal(&answer), (200, false));
    assert_eq!(world.status(daemon.ready, "/readyz").await, Some(200));
    world.store.set_down(false);
    let late = world.plain("i-2").await;
    until(|| async {
        for id in 0..4 {
            drop(world.request(&daemon, "/once/", &format!("{id}")).send().await);
        }
        !late.seen().is_empty()
    })
    .await;
}

#[tokio::test]
async fn a_change_whose_feed_fell_silent_is_heard_of_from_another_daemon() {
    let world = World::start().await;
    world.plain("i-1").await;
    let first = world.daemon("d1").await;
    world.store.silence(Some("op"));
    until(|| async { world.store.silenced() > 0 }).await;
    let mut revoked = desired(2);
    revoked["tenants"][0]["api_keys"] = json!(["another"]);
    world.desire(&revoked);
    world.store.silence(None);
    let _second = world.daemon("d2").await;
    let refused = until(|| async {
        let answer = world.request(&first, "/once/", "1").send().await;
        answer.is_ok_and(|answer| answer.status() == 401)
    });
    // Its own feed would give up after more than 11 s.
    tokio::time::timeout(Duration::from_secs(9), refused).await.expect("it heard of the change");
}
