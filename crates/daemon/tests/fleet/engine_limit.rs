//! Tests of engines that name a limit on the requests of all daemons together.

use std::time::Duration;

use tokio::time::sleep;
use tokio::time::Instant;

use crate::engine::Engine;
use crate::fixture::Daemon;
use crate::fixture::Fixture;

/// Window in which requests count.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which the limit must be kept.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Multiple of the limit, and number of requests beyond it, that are tolerated in a window.
const TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Interval between two requests of the test.
const INTERVAL: Duration = Duration::from_millis(50);

async fn start_fleet(fixture: &Fixture) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for number in 0..8 {
        daemons.push(fixture.daemon(&format!("d{number}")).await);
    }
    daemons
}

/// Sends requests to the daemons in turn for `span`. Returns how many there were and how many were
/// served.
async fn send_all(fixture: &Fixture, daemons: &[Daemon], span: Duration) -> (usize, usize) {
    let (start, mut count, mut served) = (Instant::now(), 0, 0);
    while start.elapsed() < span {
        let (daemon, id) = (&daemons[count % daemons.len()], format!("{count:x}"));
        let request = fixture.generation_request(daemon, "/resume/soak", &id, "m1").send();
        let response = request.await.expect("a response");
        served += usize::from(response.status() == 200);
        // A response that breaks off counts as served here; other tests check that.
        let _ = response.text().await;
        count += 1;
        sleep(INTERVAL).await;
    }
    (count, served)
}

/// Returns the most requests that reached an engine in one window since `from`.
fn most_in_window(engine: &Engine, from: Instant) -> usize {
    let times: Vec<Instant> = engine.received().iter().map(|request| request.at).collect();
    let times: Vec<Instant> = times.into_iter().filter(|at| *at >= from).collect();
    let counts = times.iter().enumerate().map(|(index, start)| {
        times[index..].iter().take_while(|at| **at < *start + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against daemons that ignore the limit which an engine names, or each keep to it alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_that_an_engine_names_is_kept_by_the_whole_fleet_until_it_ends() {
    let fixture = Fixture::start().await;
    let limited = fixture.model_engine("i-1", &["m1"]).await;
    let other = fixture.model_engine("i-2", &["m1"]).await;
    limited.set_limit(Some("1.2"));
    let daemons = start_fleet(&fixture).await;
    let start = Instant::now();
    let (count, served) = send_all(&fixture, &daemons, STABLE_WINDOW * 2 + WINDOW).await;
    let most = most_in_window(&limited, start + STABLE_WINDOW);
    let allowed = 1.2 * WINDOW.as_secs_f64() * TOLERANCE.0 + TOLERANCE.1;
    assert!(most as f64 <= allowed, "{most} requests in {WINDOW:?}, allowed {allowed}");
    assert_eq!(served, count, "the other engine serves the rest");
    assert!(most >= 2, "the engine isn't avoided altogether");
    limited.set_limit(None);
    // Without the other engine, only the end of the limit lets the fleet serve all requests.
    send_all(&fixture, &daemons, WINDOW * 2).await;
    other.write_entry("draining");
    sleep(Duration::from_millis(500)).await;
    let (count, served) = send_all(&fixture, &daemons, STABLE_WINDOW).await;
    assert!(served * 10 >= count * 9, "{served} of {count} requests were served");
}

/// Guards against requests that are refused because only an engine with a limit holds their model.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn model_of_an_engine_with_a_limit_is_loaded_on_another_one() {
    let fixture = Fixture::start().await;
    let limited = fixture.model_engine("i-1", &["m1"]).await;
    let other = fixture.model_engine("i-2", &[]).await;
    limited.set_limit(Some("1"));
    let daemons = start_fleet(&fixture).await;
    send_all(&fixture, &daemons, WINDOW).await;
    let (count, served) = send_all(&fixture, &daemons, STABLE_WINDOW).await;
    assert!(served * 10 >= count * 9, "{served} of {count} requests were served");
    assert!(other.orders().iter().any(|order| order["model"] == "m1"));
}
