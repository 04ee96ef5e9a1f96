//! Injects random faults, some of which overlap, into a fleet of real daemons and checks what
//! callers and engines received: no request of a non-idempotent route runs twice, no refused one
//! runs, and streams are complete. Engines write responses once more on kept connections. Beside them
//! comes a request that crashes engines, the operator changes routes, and the store is restored from older copies; once the faults have ended, every
//! daemon serves by the latest change, and the crashing request hardly reaches engines.
//!
//! CI runs a few seeds; `CORIANDERYOKE_SOAK=FROM..TO` runs others.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::engine::Behavior;
use crate::engine::Engine;
use crate::fixture::desired_state;
use crate::fixture::desired_state_with_added_route;
use crate::fixture::wait_until;
use crate::fixture::Daemon;
use crate::fixture::Fixture;
use crate::store::Copy;

/// Number of faults of one run.
const FAULT_COUNT: usize = 24;
/// Names of the fleet's daemons.
const DAEMONS: [&str; 8] = ["d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"];
/// Number of callers that send requests during the whole run.
const CALLER_COUNT: u64 = 6;
/// Body of the request that crashes engines.
const POISON: &str = "poison";
/// Interval at which it comes.
const POISON_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which it still comes after the faults.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time for the fleet to exchange what it knows once the faults have ended.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Most times that the request may reach engines afterwards.
const MAX_LATER_POISON: usize = 3;
/// Copies of the store that a restoration may use, the latest ones.
const MAX_COPIES: usize = 4;
/// Number of refusals that an engine writes twice.
const REFUSALS: usize = 6;
/// Longest time that engines take to write their entries again, in milliseconds.
const RENEWAL_MS: u64 = 1_000;

fn random_duration(rng: &mut ChaCha8Rng, range_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(20..20 + range_ms))
}

/// Result of a request, as its caller saw it.
#[derive(Debug)]
enum Outcome {
    /// Status and body of a complete response.
    Complete(u16, String),
    /// No response, or a truncated one.
    Failed,
}

/// Outcomes by request identifier. Its first letter is the kind of the request: `a` for
/// non-idempotent, `b` for idempotent and `c` for a resumable stream.
type Outcomes = Arc<Mutex<BTreeMap<String, Outcome>>>;
/// Address for callers of each daemon.
type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Sends one request after the other over persistent connections until `stop` is set.
async fn caller(number: u64, addresses: Addresses, outcomes: Outcomes, stop: Arc<AtomicBool>) {
    let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(6));
    let client = client.build().expect("a client");
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let address = {
            let addresses = addresses.lock();
            addresses[rng.random_range(0..addresses.len())]
        };
        let (kind, path) =
            [("a", "/once/"), ("b", "/again/"), ("c", "/resume/soak")][rng.random_range(0..3)];
        let id = format!("{kind}{number:x}{count:04x}");
        let request = client
            .post(format!("http://{address}{path}"))
            .header("host", "a.example")
            .header("authorization", "Bearer secret")
            .header("corianderyoke-attempt-id", &id)
            .header("corianderyoke-deadline-ms", "3000")
            .body(id.clone());
        let request = match kind {
            "c" => request
                .header("corianderyoke-model", "m1")
                .header("corianderyoke-token-count", "100,20")
                .header("corianderyoke-prompt-prefix", "aa:60,bb:40"),
            _ => request,
        };
        let outcome = match request.send().await {
            Ok(response) => {
                let echoed = response.headers().get("corianderyoke-attempt-id").cloned();
                let status = response.status().as_u16();
                match response.text().await {
                    Ok(text) => {
                        if status == 200 {
                            assert_eq!(
                                echoed.expect("the engine's response has an identifier"),
                                id.as_str()
                            );
                        }
                        Outcome::Complete(status, text)
                    }
                    Err(_) => Outcome::Failed,
                }
            }
            Err(_) => Outcome::Failed,
        };
        outcomes.lock().insert(id, outcome);
        sleep(Duration::from_millis(5)).await;
    }
}

/// Sends the request that crashes engines again and again, at any daemon.
async fn send_poison(addresses: Addresses, stop: Arc<AtomicBool>) {
    let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(4));
    let client = client.build().expect("a client");
    let mut rng = ChaCha8Rng::seed_from_u64(CALLER_COUNT);
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let address = {
            let addresses = addresses.lock();
            addresses[rng.random_range(0..addresses.len())]
        };
        let request = client
            .post(format!("http://{address}/again/poison"))
            .header("host", "a.example")
            .header("authorization", "Bearer secret")
            .header("corianderyoke-attempt-id", format!("d{count:x}"))
            .header("corianderyoke-deadline-ms", "1500")
            .body(POISON);
        // Only what reaches engines matters.
        drop(tokio::spawn(request.send()));
        sleep(POISON_INTERVAL).await;
    }
}

/// Injects faults into the fleet.
struct FaultInjector {
    fixture: Fixture,
    engines: Vec<Engine>,
    daemons: Vec<Daemon>,
    addresses: Addresses,
    rng: ChaCha8Rng,
    /// Latest revision that the operator wrote.
    revision: u64,
    copies: VecDeque<Copy>,
}

impl FaultInjector {
    /// Writes the desired state of the latest revision. An even one has a route more.
    fn write_desired_state(&self) {
        let desired = if self.revision.is_multiple_of(2) {
            desired_state_with_added_route(self.revision)
        } else {
            desired_state(self.revision)
        };
        self.fixture.write_desired_state(&desired);
    }

    /// Restores the store from an older copy. The operator writes again at once what the copy lacks,
    /// the engines within a second.
    async fn restore_store(&mut self) {
        let outage = random_duration(&mut self.rng, 1_000);
        let Some(copy) = self.copies.pop_front() else { return };
        self.copies.clear();
        let store = &self.fixture.store;
        store.set_down(true);
        sleep(outage).await;
        store.restore(copy);
        store.set_down(false);
        self.write_desired_state();
        store.skip_versions(self.rng.random_range(0..200));
        for engine in &self.engines {
            let (engine, delay) = (engine.clone(), random_duration(&mut self.rng, RENEWAL_MS));
            tokio::spawn(async move {
                sleep(delay).await;
                engine.write_entry("ready");
            });
        }
    }

    async fn inject_fault(&mut self) {
        if self.rng.random_bool(0.5) {
            self.copies.push_back(self.fixture.store.copy());
            if self.copies.len() > MAX_COPIES {
                self.copies.pop_front();
            }
        }
        let daemon = self.rng.random_range(0..DAEMONS.len());
        let engine = self.rng.random_range(0..self.engines.len());
        match self.rng.random_range(0..12) {
            0 => self.restart(daemon).await,
            1 => {
                self.daemons[daemon].signal(Signal::SIGTERM);
                sleep(random_duration(&mut self.rng, 1_500)).await;
                self.restart(daemon).await;
            }
            2 => {
                self.daemons[daemon].signal(Signal::SIGSTOP);
                sleep(random_duration(&mut self.rng, 2_000)).await;
                self.daemons[daemon].signal(Signal::SIGCONT);
            }
            3 => self.daemons[daemon].signal(Signal::SIGHUP),
            4 => {
                // Faults of the store last beyond this call and overlap with the next faults.
                let (store, duration) =
                    (self.fixture.store.clone(), random_duration(&mut self.rng, 1_500));
                store.set_down(true);
                tokio::spawn(async move {
                    sleep(duration).await;
                    store.set_down(false);
                });
            }
            5 => {
                let table = ["op", "servers"][self.rng.random_range(0..2)];
                let (store, duration) =
                    (self.fixture.store.clone(), random_duration(&mut self.rng, 800));
                store.stall_feeds(Some(table));
                tokio::spawn(async move {
                    sleep(duration).await;
                    store.stall_feeds(None);
                });
            }
            6 => {
                let engine = &self.engines[engine];
                engine.write_entry("draining");
                sleep(random_duration(&mut self.rng, 400)).await;
                engine.write_entry("ready");
            }
            7 => {
                let engine = &self.engines[engine];
                self.fixture.store.remove("servers", &engine.id);
                sleep(random_duration(&mut self.rng, 400)).await;
                engine.write_entry("ready");
            }
            8 => {
                self.revision += 1;
                self.write_desired_state();
            }
            9 | 10 => self.restore_store().await,
            _ => {}
        }
        let behaviors = [
            Behavior::Respond(Duration::from_millis(300)),
            Behavior::Truncate(2),
            Behavior::Stall(1),
            Behavior::Refuse,
            Behavior::Disconnect,
            Behavior::WrongId,
            Behavior::Unsigned,
            Behavior::Fail,
        ];
        let behavior = behaviors[self.rng.random_range(0..behaviors.len())];
        let is_stream = matches!(behavior, Behavior::Truncate(_) | Behavior::Stall(_));
        let service = if is_stream { "advice" } else { "orders" };
        if self.engines[engine].service == service {
            self.engines[engine].queue_behaviors(&[behavior, behavior]);
        }
        if self.rng.random_bool(0.5) {
            // Refusals that are written once more may seem to be those of the requests after them.
            let engine = &self.engines[self.rng.random_range(0..self.engines.len())];
            engine.queue_behaviors(&[Behavior::Refuse; REFUSALS]);
            engine.repeat_responses(REFUSALS);
        }
    }

    /// Kills a daemon and starts it again at other addresses.
    async fn restart(&mut self, index: usize) {
        self.daemons[index].signal(Signal::SIGKILL);
        let restarted = self.fixture.daemon(DAEMONS[index]).await;
        self.addresses.lock()[index] = restarted.callers;
        self.daemons[index] = restarted;
    }
}

async fn soak(seed: u64) {
    let fixture = Fixture::start().await;
    let mut engines = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        engines.push(fixture.plain_engine(id).await);
    }
    for id in ["i-4", "i-5"] {
        engines.push(fixture.model_engine(id, &["m1"]).await);
    }
    for engine in &engines {
        engine.crash_under_body(POISON);
    }
    let mut daemons = Vec::new();
    for name in DAEMONS {
        daemons.push(fixture.daemon(name).await);
    }
    let addresses: Addresses =
        Arc::new(Mutex::new(daemons.iter().map(|daemon| daemon.callers).collect()));
    let (outcomes, stop) = (Outcomes::default(), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            let (addresses, outcomes) = (Arc::clone(&addresses), Arc::clone(&outcomes));
            tokio::spawn(caller(number, addresses, outcomes, Arc::clone(&stop)))
        })
        .collect();
    let poison = tokio::spawn(send_poison(Arc::clone(&addresses), Arc::clone(&stop)));
    let mut injector = FaultInjector {
        fixture,
        engines,
        daemons,
        addresses: Arc::clone(&addresses),
        rng: ChaCha8Rng::seed_from_u64(seed),
        revision: 1,
        copies: VecDeque::new(),
    };
    for _ in 0..FAULT_COUNT {
        injector.inject_fault().await;
        let pause = random_duration(&mut injector.rng, 150);
        sleep(pause).await;
    }
    let served = || {
        outcomes
            .lock()
            .values()
            .filter(|outcome| matches!(outcome, Outcome::Complete(200, _)))
            .count()
    };
    let before = served();
    // The fleet must serve again after the faults end.
    wait_until(|| async { served() > before + 50 }).await;
    let calm = Instant::now() + STABLE_WINDOW;
    sleep(STABLE_WINDOW + CALM_TIME).await;
    stop.store(true, Ordering::Relaxed);
    for task in callers.into_iter().chain([poison]) {
        task.await.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
    check_outcomes(seed, &outcomes.lock(), &injector.engines);
    check_poison(seed, &injector.engines, calm);
    check_revision(seed, &injector).await;
}

/// Checks that the request that crashes engines hardly reached any once the fleet was calm.
fn check_poison(seed: u64, engines: &[Engine], calm: Instant) {
    let received = engines.iter().flat_map(Engine::received);
    let later = received.filter(|request| request.body == POISON && request.at > calm).count();
    assert!(later <= MAX_LATER_POISON, "seed {seed}: the crashing request arrived {later} times");
}

/// Checks that each daemon routes requests by the operator's latest change.
async fn check_revision(seed: u64, injector: &FaultInjector) {
    let revision = injector.revision;
    for (index, daemon) in injector.daemons.iter().enumerate() {
        let id = format!("e{index}");
        let response = injector.fixture.request(daemon, "/added/", &id).send().await;
        let status = response.expect("a response").status().as_u16();
        // The team may be over its rate limit, which is checked after the route.
        let (is_routed, expected) = (status != 404, revision.is_multiple_of(2));
        let name = DAEMONS[index];
        assert_eq!(is_routed, expected, "seed {seed}: {status} of {name} at revision {revision}");
    }
}

/// Compares what callers received with what engines executed.
fn check_outcomes(seed: u64, outcomes: &BTreeMap<String, Outcome>, engines: &[Engine]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for received in engines.iter().flat_map(Engine::received) {
        if received.body == POISON {
            continue;
        }
        let id = received.headers["corianderyoke-attempt-id"].to_str().expect("text").to_owned();
        assert_eq!(received.body, id.as_bytes(), "seed {seed}: the body of another request");
        assert_eq!(received.headers["corianderyoke-tenant"], "team", "seed {seed}: {id}");
        *runs.entry(id).or_default() += usize::from(received.executed);
    }
    for (id, outcome) in outcomes {
        let executed = runs.get(id).copied().unwrap_or(0);
        let non_idempotent = id.starts_with('a');
        assert!(!non_idempotent || executed <= 1, "seed {seed}: {id} ran {executed} times");
        match outcome {
            Outcome::Complete(408 | 421 | 429 | 503, _) => {
                assert!(
                    !non_idempotent || executed == 0,
                    "seed {seed}: {id} was refused as not executed, but ran"
                );
            }
            Outcome::Complete(200, text) if id.starts_with('c') => check_stream(seed, id, text),
            Outcome::Complete(200, text) => assert_eq!(text, "answer", "seed {seed}: {id}"),
            Outcome::Complete(401 | 403 | 404, _) => panic!("seed {seed}: {id} was denied"),
            Outcome::Complete(..) | Outcome::Failed => {}
        }
    }
}

/// Checks that a complete stream has every event from the first on exactly once.
fn check_stream(seed: u64, id: &str, text: &str) {
    let numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let numbers: Vec<usize> = numbers.map(|number| number.parse().expect("a number")).collect();
    let expected: Vec<usize> = (1..=numbers.len()).collect();
    assert!(!numbers.is_empty() && numbers == expected, "seed {seed}: {id} got {numbers:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_stay_correct_under_random_faults() {
    let seeds = std::env::var("CORIANDERYOKE_SOAK").unwrap_or_else(|_| "1..3".to_owned());
    let (from, to) = seeds.split_once("..").expect("FROM..TO");
    for seed in from.parse().expect("a number")..to.parse().expect("a number") {
        eprintln!("soak: seed {seed}");
        soak(seed).await;
    }
}
