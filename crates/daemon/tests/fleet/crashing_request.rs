//! Tests of a request that crashes each engine that begins to run it, and that comes again and again
//! with the same caller, path and body, at any daemon.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::Instant;

use crate::engine::Engine;
use crate::engine::ReceivedRequest;
use crate::fixture::Daemon;
use crate::fixture::Fixture;

/// Body of the request that crashes engines.
const POISON: &str = "poison";
/// Number of crashes under the request after which it must be recognized.
const KNOWN_AFTER: usize = 3;
/// Time for the fleet to learn of the last of these crashes.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Most times that the request may reach engines afterwards.
const MAX_LATER_REQUESTS: usize = 3;
/// Number of daemons of the fleet.
const FLEET_SIZE: usize = 8;
/// Time for which the request comes.
const PERIOD: Duration = Duration::from_secs(8);

/// When the request comes.
#[derive(Clone, Copy)]
enum Arrivals {
    /// At one daemon after the other.
    InTurn(Duration),
    /// At all daemons at the same time.
    AtOnce(Duration),
}

struct Fleet {
    fixture: Fixture,
    engines: Vec<Engine>,
    daemons: Vec<Daemon>,
    /// Path of the request that crashes engines, below that of its route.
    path: &'static str,
}

impl Fleet {
    async fn start(path: &'static str) -> Fleet {
        let fixture = Fixture::start().await;
        let mut engines = Vec::new();
        for number in 0..4 {
            engines.push(fixture.plain_engine(&format!("i-{number}")).await);
            engines.push(fixture.model_engine(&format!("m-{number}"), &["m1"]).await);
        }
        for engine in &engines {
            engine.crash_under_body(POISON);
        }
        let daemons = start_daemons(&fixture).await;
        Fleet { fixture, engines, daemons, path }
    }

    /// Sends a request with this body and returns its status, or `None` if the response broke off.
    async fn send(&self, daemon: usize, path: &str, id: u64, body: &str) -> Option<u16> {
        let id = format!("{id:016x}");
        let daemon = &self.daemons[daemon % FLEET_SIZE];
        let request = self.fixture.request(daemon, path, &id).body(body.to_owned());
        let request = match path.starts_with("/resume/") {
            true => request
                .header("corianderyoke-model", "m1")
                .header("corianderyoke-token-count", "100,20")
                .header("corianderyoke-prompt-prefix", format!("aa:60,bb:20,{id}:40")),
            false => request,
        };
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        response.text().await.ok().map(|_| status)
    }

    /// Sends the request that crashes engines through the whole period, and sound ones beside it.
    /// Returns for each sound one when it was sent and whether it was served.
    async fn run(self: &Arc<Self>, arrivals: Arrivals) -> Vec<(Instant, bool)> {
        let end = Instant::now() + PERIOD;
        let sound = tokio::spawn(send_sound(Arc::clone(self), end));
        sleep(Duration::from_millis(300)).await;
        let mut sent = Vec::new();
        let mut count = 0;
        while Instant::now() < end {
            let (copies, pause) = match arrivals {
                Arrivals::InTurn(pause) => (1, pause),
                Arrivals::AtOnce(pause) => (FLEET_SIZE, pause),
            };
            for _ in 0..copies {
                count += 1;
                let fleet = Arc::clone(self);
                sent.push(tokio::spawn(async move {
                    let path = fleet.path;
                    fleet.send(count, path, 0x2000_0000 + count as u64, POISON).await
                }));
            }
            sleep(pause).await;
        }
        for request in sent {
            request.await.expect("the request ends");
        }
        sound.await.expect("the caller ends")
    }

    /// Returns the time after which engines may receive the request only a few times more.
    fn recognized_by(&self) -> Option<Instant> {
        let mut crashes: Vec<Instant> = self.engines.iter().flat_map(Engine::crashes).collect();
        crashes.sort_unstable();
        crashes.get(KNOWN_AFTER - 1).map(|&at| at + STABLE_WINDOW)
    }

    /// Returns how often the request reached engines after a moment.
    fn reached_after(&self, moment: Instant) -> usize {
        let received = self.engines.iter().flat_map(Engine::received);
        received.filter(|request| is_poison(request) && request.at > moment).count()
    }

    /// Checks that the request hardly reached engines once it had to be recognized, and that sound
    /// ones were served meanwhile.
    fn check(&self, sound: &[(Instant, bool)]) {
        let recognized = self.recognized_by().expect("the request crashed engines");
        let later = self.reached_after(recognized);
        assert!(later <= MAX_LATER_REQUESTS, "the request reached engines {later} times more");
        let late: Vec<_> = sound.iter().filter(|(sent, _)| *sent > recognized).collect();
        let served = late.iter().filter(|(_, served)| *served).count();
        assert!(late.len() >= 20, "{} sound requests", late.len());
        assert!(served * 10 >= late.len() * 9, "{served} of {} sound ones were served", late.len());
    }
}

async fn start_daemons(fixture: &Fixture) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for number in 0..FLEET_SIZE {
        daemons.push(fixture.daemon(&format!("d{number}")).await);
    }
    daemons
}

fn is_poison(request: &ReceivedRequest) -> bool {
    request.body == POISON
}

/// Sends sound requests, with the path, the caller and the parts of the one that crashes engines.
async fn send_sound(fleet: Arc<Fleet>, end: Instant) -> Vec<(Instant, bool)> {
    let mut results = Vec::new();
    for number in 0.. {
        let sent = Instant::now();
        if sent >= end {
            break;
        }
        let body = format!("sound {}", number / 2);
        let id = 0x1000_0000 + number;
        let status = fleet.send(number as usize, fleet.path, id, &body).await;
        results.push((sent, status == Some(200)));
        sleep(Duration::from_millis(30)).await;
    }
    results
}

async fn check_poison(path: &'static str, arrivals: Arrivals) {
    let fleet = Arc::new(Fleet::start(path).await);
    let sound = fleet.run(arrivals).await;
    fleet.check(&sound);
}

/// Guards against a request of a plain service that crashes one engine after the other: nobody
/// recognized it, since it has no parts, and repeats took further engines down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plain_request_that_crashes_engines_is_quarantined() {
    check_poison("/again/poison", Arrivals::InTurn(Duration::from_millis(60))).await;
}

/// Guards against the same on a route whose requests run once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plain_request_that_may_run_once_is_quarantined() {
    check_poison("/once/poison", Arrivals::InTurn(Duration::from_millis(60))).await;
}

/// Guards against copies that crash all engines at the same time, so that no crash follows another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn copies_that_arrive_at_once_are_quarantined() {
    check_poison("/once/poison", Arrivals::AtOnce(Duration::from_millis(1_300))).await;
}

/// Guards against a generation request that crashes engines and whose parts sound requests share.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generation_request_that_crashes_engines_is_quarantined_without_its_parts() {
    check_poison("/resume/soak", Arrivals::InTurn(Duration::from_millis(60))).await;
}

/// Guards against a fleet that forgets the request when all its daemons start again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantined_request_is_known_after_all_daemons_restart() {
    let mut fleet = Fleet::start("/again/poison").await;
    let mut number = 0;
    while fleet.recognized_by().is_none_or(|at| Instant::now() < at) && number < 100 {
        number += 1;
        fleet.send(number, fleet.path, number as u64, POISON).await;
        sleep(Duration::from_millis(60)).await;
    }
    fleet.daemons.clear();
    fleet.daemons = start_daemons(&fleet.fixture).await;
    let restarted = Instant::now();
    for number in 100..120 {
        fleet.send(number, fleet.path, number as u64, POISON).await;
        sleep(Duration::from_millis(60)).await;
    }
    let later = fleet.reached_after(restarted);
    assert!(later <= MAX_LATER_REQUESTS, "the request reached engines {later} times more");
    let status = fleet.send(0, fleet.path, 999, "sound").await;
    assert_eq!(status, Some(200));
}
