//! Tests of a store that comes back from an older copy and gives out versions again.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::engine::Behavior;
use crate::fixture::desired_state;
use crate::fixture::desired_state_with_added_route;
use crate::fixture::wait_until;
use crate::fixture::Daemon;
use crate::fixture::Fixture;

/// Versions of writes that concern nobody, more than a test writes otherwise.
const OTHER_WRITES: u64 = 100;
/// Requests of which an engine gets some if it gets any.
const SAMPLE: usize = 40;
/// Time that the store is away before it comes back.
const OUTAGE: Duration = Duration::from_millis(300);
/// Time after which a daemon gives up a feed that gets no answer.
const FEED_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after which engines have written their entries again, with some to spare.
const RENEWAL: Duration = Duration::from_millis(2_800);

async fn status(fixture: &Fixture, daemon: &Daemon, path: &str, id: &str) -> Option<u16> {
    let response = fixture.request(daemon, path, id).send().await.ok()?;
    Some(response.status().as_u16())
}

/// Makes the store unavailable, performs `change` meanwhile and makes it available again.
async fn during_outage(fixture: &Fixture, change: impl FnOnce()) {
    fixture.store.set_down(true);
    sleep(OUTAGE).await;
    change();
    fixture.store.set_down(false);
}

/// Guards against a feed that goes on after a version which the restored store gave out again: the
/// change written below that version never came into force.
#[tokio::test]
async fn change_below_a_version_given_out_twice_comes_into_force() {
    let fixture = Fixture::start().await;
    let _engine = fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    let copy = fixture.store.copy();
    fixture.store.skip_versions(OTHER_WRITES);
    fixture.write_desired_state(&desired_state(2));
    sleep(OUTAGE).await;
    during_outage(&fixture, || {
        fixture.store.restore(copy);
        fixture.write_desired_state(&desired_state_with_added_route(3));
        fixture.store.skip_versions(OTHER_WRITES * 3);
    })
    .await;
    wait_until(|| async { status(&fixture, &daemon, "/added/", "1").await == Some(200) }).await;
}

/// Guards against entries that are taken for older because the restored store gave them a lower
/// version: an engine went on receiving requests after it had begun to drain.
#[tokio::test]
async fn engine_that_drains_after_a_restoration_receives_no_requests() {
    let fixture = Fixture::start().await;
    let (leaving, other) = (fixture.plain_engine("i-1").await, fixture.plain_engine("i-2").await);
    let daemon = fixture.daemon("d1").await;
    let copy = fixture.store.copy();
    fixture.store.skip_versions(OTHER_WRITES);
    leaving.write_entry("ready");
    other.write_entry("ready");
    sleep(OUTAGE).await;
    during_outage(&fixture, || fixture.store.restore(copy)).await;
    sleep(OUTAGE).await;
    leaving.write_entry("draining");
    other.write_entry("ready");
    let mut count = 0;
    wait_until(|| {
        count += 1;
        let id = format!("{count}");
        let (fixture, daemon, leaving, other) = (&fixture, &daemon, &leaving, &other);
        async move {
            let before = (leaving.received().len(), other.received().len());
            for number in 0..SAMPLE {
                status(fixture, daemon, "/again/", &format!("{id}{number}")).await;
            }
            leaving.received().len() == before.0 && other.received().len() == before.1 + SAMPLE
        }
    })
    .await;
}

/// Guards against a copy that brings back the entry of an engine which has left since.
#[tokio::test]
async fn engine_that_left_stays_away_when_a_copy_lists_it() {
    let fixture = Fixture::start().await;
    let (left, _other) = (fixture.plain_engine("i-1").await, fixture.plain_engine("i-2").await);
    let daemon = fixture.daemon("d1").await;
    let copy = fixture.store.copy();
    fixture.store.skip_versions(OTHER_WRITES);
    left.write_entry("draining");
    sleep(OUTAGE).await;
    fixture.store.remove("servers", "i-1");
    sleep(OUTAGE).await;
    let before = left.received().len();
    during_outage(&fixture, || {
        fixture.store.restore(copy);
        fixture.store.skip_versions(OTHER_WRITES * 3);
    })
    .await;
    let end = Instant::now() + RENEWAL;
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        status(&fixture, &daemon, "/again/", &format!("{count:x}")).await;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(left.received().len(), before);
    // Once the engine writes its entry again, it is there.
    left.write_entry("ready");
    wait_until(|| {
        count += 1;
        let id = format!("{count:x}");
        let (fixture, daemon, left) = (&fixture, &daemon, &left);
        async move {
            status(fixture, daemon, "/again/", &id).await;
            left.received().len() > before
        }
    })
    .await;
}

/// Guards against engines that count as gone because the copy is older than their entries: requests
/// were refused until the engines had written them again.
#[tokio::test]
async fn engine_that_a_copy_lacks_is_used_until_it_had_time_to_write_its_entry() {
    let fixture = Fixture::start().await;
    let copy = fixture.store.copy();
    let engine = fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    wait_until(|| async { status(&fixture, &daemon, "/again/", "1").await == Some(200) }).await;
    during_outage(&fixture, || fixture.store.restore(copy)).await;
    let begin = Instant::now();
    let mut count = 0;
    while begin.elapsed() < RENEWAL {
        count += 1;
        if begin.elapsed() > RENEWAL / 2 && count % 10 == 0 {
            engine.write_entry("ready");
        }
        let status = status(&fixture, &daemon, "/again/", &format!("{count:x}")).await;
        assert_eq!(status, Some(200), "after {:?}", begin.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a zone whose drain the copy lacks and which gets requests again before the
/// operator has written it anew.
#[tokio::test]
async fn zone_stays_drained_until_the_operator_had_time_to_drain_it_again() {
    let fixture = Fixture::start().await;
    let engine = fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    let copy = fixture.store.copy();
    fixture.store.skip_versions(OTHER_WRITES);
    fixture.store.put("op", "evacuate/a", b"{}");
    sleep(OUTAGE).await;
    let before = engine.received().len();
    during_outage(&fixture, || fixture.store.restore(copy)).await;
    let begin = Instant::now();
    let mut count = 0;
    while begin.elapsed() < RENEWAL {
        count += 1;
        if begin.elapsed() > RENEWAL / 2 {
            fixture.store.put("op", "evacuate/a", b"{}");
        }
        let request = fixture.request(&daemon, "/once/", &format!("{count:x}")).send();
        // Whether the engine receives it is all that matters.
        let _ = timeout(Duration::from_millis(100), request).await;
    }
    assert_eq!(engine.received().len(), before);
    fixture.store.remove("op", "evacuate/a");
    wait_until(|| async { status(&fixture, &daemon, "/again/", "ffff").await == Some(200) }).await;
}

/// Guards against a fencing token that is given out a second time after the store lost the row of
/// the holder that had it.
#[tokio::test]
async fn fencing_token_is_not_given_out_again_after_a_restoration() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &["m1"]).await;
    let first = fixture.daemon("d1").await;
    request_model(&fixture, &engine, &first, "m2").await;
    let copy = fixture.store.copy();
    drop(first);
    let second = fixture.daemon("d2").await;
    request_model(&fixture, &engine, &second, "m1").await;
    drop(second);
    during_outage(&fixture, || fixture.store.restore(copy)).await;
    engine.write_entry("ready");
    let third = fixture.daemon("d3").await;
    request_model(&fixture, &engine, &third, "m2").await;
    let orders = engine.orders();
    let tokens_of = |name: &str| -> Vec<u64> {
        let issued = orders.iter().filter(|order| order["holder"] == name);
        issued.filter_map(|order| order["fencing_token"].as_u64()).collect()
    };
    let (first, second, third) = (tokens_of("d1"), tokens_of("d2"), tokens_of("d3"));
    assert!(first.iter().max() < second.iter().min(), "{first:?}, {second:?}");
    assert!(second.iter().max() < third.iter().min(), "{second:?}, {third:?}");
}

/// Sends requests for a model until one is served.
async fn request_model(
    fixture: &Fixture,
    engine: &crate::engine::Engine,
    daemon: &Daemon,
    model: &'static str,
) {
    let mut count = 0;
    wait_until(|| {
        count += 1;
        engine.queue_behaviors(&[Behavior::Stream(1, Duration::ZERO)]);
        let request =
            fixture.generation_request(daemon, "/resume/", &format!("{count:x}"), model).send();
        async { request.await.is_ok_and(|response| response.status() == 200) }
    })
    .await;
}

/// Guards against rows of the daemons and their key that a restoration lost and nobody wrote again:
/// a daemon that started later made another key and heard nobody.
#[tokio::test]
async fn daemons_write_again_what_a_copy_lacks_of_the_fleet() {
    let fixture = Fixture::start().await;
    let _engine = fixture.plain_engine("i-1").await;
    let copy = fixture.store.copy();
    let daemons = [fixture.daemon("d1").await, fixture.daemon("d2").await];
    wait_until(|| async { fixture.addresses(&daemons[0]).await.len() == 2 }).await;
    let key = fixture.store.value("fleet", "peer-key");
    during_outage(&fixture, || fixture.store.restore(copy)).await;
    wait_until(|| async {
        let rows = ["d1", "d2"].map(|name| fixture.store.value("daemons", name));
        rows.iter().all(Option::is_some) && fixture.store.value("fleet", "peer-key") == key
    })
    .await;
    let third = fixture.daemon("d3").await;
    wait_until(|| async { fixture.addresses(&third).await.len() == 3 }).await;
    wait_until(|| async { fixture.addresses(&daemons[0]).await.len() == 3 }).await;
}

/// Guards against a fleet that falls apart because a daemon starts before the key is written again,
/// and makes another one.
#[tokio::test]
async fn daemons_change_to_the_key_that_a_restored_store_holds() {
    let fixture = Fixture::start().await;
    let _engine = fixture.plain_engine("i-1").await;
    let copy = fixture.store.copy();
    let daemons = [fixture.daemon("d1").await, fixture.daemon("d2").await];
    wait_until(|| async { fixture.addresses(&daemons[0]).await.len() == 2 }).await;
    during_outage(&fixture, || {
        fixture.store.restore(copy);
        fixture.store.put("fleet", "peer-key", &[b'7'; 64]);
    })
    .await;
    let third = fixture.daemon("d3").await;
    for daemon in [&daemons[0], &daemons[1], &third] {
        wait_until(|| async { fixture.addresses(daemon).await.len() == 3 }).await;
    }
    assert_eq!(fixture.store.value("fleet", "peer-key"), Some(vec![b'7'; 64]));
}

/// Guards against a quarantine that a restoration lost: the holder of the lease took its row for
/// written.
#[tokio::test]
async fn quarantine_is_written_again_after_a_restoration() {
    let fixture = Fixture::start().await;
    let engines = [
        fixture.model_engine("i-1", &["m1"]).await,
        fixture.model_engine("i-2", &["m1"]).await,
        fixture.model_engine("i-3", &["m1"]).await,
    ];
    for engine in &engines {
        engine.crash_under("dead");
    }
    let daemon = fixture.daemon("d1").await;
    let copy = fixture.store.copy();
    let mut count = 0;
    wait_until(|| {
        count += 1;
        let id = format!("{count:016x}");
        let request = fixture
            .request(&daemon, "/resume/soak", &id)
            .header("corianderyoke-model", "m1")
            .header("corianderyoke-token-count", "100,20")
            .header("corianderyoke-prompt-prefix", format!("dead:60,{id}:40"))
            .body(id.clone());
        async {
            // Only what the store holds afterwards matters.
            let _ = request.send().await;
            lists_dead(&fixture)
        }
    })
    .await;
    during_outage(&fixture, || fixture.store.restore(copy)).await;
    assert!(!lists_dead(&fixture));
    wait_until(|| async { lists_dead(&fixture) }).await;
}

/// Returns whether the store lists the part that crashes engines.
fn lists_dead(fixture: &Fixture) -> bool {
    let row = fixture.store.value("fleet", "quarantine").unwrap_or_default();
    String::from_utf8_lossy(&row).contains("\"dead\"")
}

/// Guards against a daemon that starts before the operator has written a change again, and serves
/// by the older desired state of the copy.
#[tokio::test]
async fn daemon_that_starts_on_an_older_copy_serves_nothing_by_it() {
    let fixture = Fixture::start().await;
    let _engine = fixture.plain_engine("i-1").await;
    let copy = fixture.store.copy();
    fixture.write_desired_state(&desired_state_with_added_route(2));
    let first = fixture.daemon("d1").await;
    wait_until(|| async { status(&fixture, &first, "/added/", "1").await == Some(200) }).await;
    during_outage(&fixture, || fixture.store.restore(copy)).await;
    let second = fixture.daemon("d2").await;
    // It hears of the newer desired state by the first daemon's reports.
    wait_until(|| async { fixture.status(second.ready, "/readyz").await == Some(503) }).await;
    for id in ["2", "3", "4"] {
        assert_eq!(status(&fixture, &second, "/added/", id).await, Some(503));
        assert_eq!(status(&fixture, &first, "/added/", id).await, Some(200));
    }
    fixture.write_desired_state(&desired_state_with_added_route(2));
    wait_until(|| async { status(&fixture, &second, "/added/", "5").await == Some(200) }).await;
    assert_eq!(fixture.status(second.ready, "/readyz").await, Some(200));
}

/// Guards against a daemon whose feed gets no answer and that nobody tells of the restoration, since
/// the change written after it has a lower position than what the daemon has read.
#[tokio::test]
async fn daemon_with_an_unresponsive_feed_learns_of_a_restoration_from_the_others() {
    let fixture = Fixture::start().await;
    let _engine = fixture.plain_engine("i-1").await;
    let first = fixture.daemon("d1").await;
    let copy = fixture.store.copy();
    fixture.store.skip_versions(OTHER_WRITES);
    fixture.write_desired_state(&desired_state_with_added_route(2));
    wait_until(|| async { status(&fixture, &first, "/added/", "1").await == Some(200) }).await;
    fixture.store.stall_feeds(Some("op"));
    wait_until(|| async { fixture.store.stalled_feeds() > 0 }).await;
    fixture.store.stall_feeds(None);
    let second = fixture.daemon("d2").await;
    wait_until(|| async { fixture.addresses(&second).await.len() == 2 }).await;
    let begin = Instant::now();
    during_outage(&fixture, || {
        fixture.store.restore(copy);
        fixture.write_desired_state(&desired_state(3));
    })
    .await;
    for daemon in [&second, &first] {
        wait_until(|| async { status(&fixture, daemon, "/added/", "2").await == Some(404) }).await;
    }
    assert!(begin.elapsed() < FEED_TIMEOUT, "only the end of the feed's time limit told it");
}

/// Guards against the same where no daemon's feed gets an answer, and only other calls show the era.
#[tokio::test]
async fn fleet_with_unresponsive_feeds_reads_the_table_again_in_a_new_era() {
    let fixture = Fixture::start().await;
    let _engine = fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    let copy = fixture.store.copy();
    fixture.store.stall_feeds(Some("op"));
    wait_until(|| async { fixture.store.stalled_feeds() > 0 }).await;
    fixture.store.stall_feeds(None);
    let begin = Instant::now();
    during_outage(&fixture, || {
        fixture.store.restore(copy);
        fixture.write_desired_state(&desired_state_with_added_route(2));
    })
    .await;
    wait_until(|| async { status(&fixture, &daemon, "/added/", "1").await == Some(200) }).await;
    assert!(begin.elapsed() < FEED_TIMEOUT, "only the end of the feed's time limit told it");
}

/// Guards against the same where the daemon has read the table in the new era, but before the change.
#[tokio::test]
async fn daemon_whose_feed_stalls_after_a_restoration_learns_of_the_next_change() {
    let fixture = Fixture::start().await;
    let _engine = fixture.plain_engine("i-1").await;
    let daemons = [fixture.daemon("d1").await, fixture.daemon("d2").await];
    let copy = fixture.store.copy();
    fixture.store.skip_versions(OTHER_WRITES);
    daemons[1].signal(Signal::SIGSTOP);
    during_outage(&fixture, || fixture.store.restore(copy)).await;
    // The first daemon reads the copy.
    sleep(OUTAGE * 3).await;
    fixture.store.stall_feeds(Some("op"));
    wait_until(|| async { fixture.store.stalled_feeds() > 0 }).await;
    fixture.write_desired_state(&desired_state_with_added_route(2));
    fixture.store.stall_feeds(None);
    let begin = Instant::now();
    daemons[1].signal(Signal::SIGCONT);
    for daemon in daemons.iter().rev() {
        wait_until(|| async { status(&fixture, daemon, "/added/", "1").await == Some(200) }).await;
    }
    assert!(begin.elapsed() < FEED_TIMEOUT, "only the end of the feed's time limit told it");
}

/// Guards against rows of several restorations in a row, one while a daemon is away.
#[tokio::test]
async fn changes_come_into_force_through_a_series_of_restorations() {
    let fixture = Fixture::start().await;
    let _engine = fixture.plain_engine("i-1").await;
    let daemon = fixture.daemon("d1").await;
    let copies = [fixture.store.copy(), fixture.store.copy(), fixture.store.copy()];
    let mut revision = 1;
    for copy in copies {
        fixture.store.skip_versions(OTHER_WRITES);
        revision += 1;
        fixture.write_desired_state(&desired_state(revision));
        sleep(OUTAGE).await;
        during_outage(&fixture, || {
            fixture.store.restore(copy);
            revision += 1;
            fixture.write_desired_state(&desired_state_with_added_route(revision));
            fixture.store.skip_versions(OTHER_WRITES * 3);
        })
        .await;
        wait_until(|| async { status(&fixture, &daemon, "/added/", "1").await == Some(200) }).await;
        revision += 1;
        fixture.write_desired_state(&desired_state(revision));
        wait_until(|| async { status(&fixture, &daemon, "/added/", "2").await == Some(404) }).await;
    }
}
