//! Injects random faults, some of which overlap, into a fleet of real daemons and checks what
//! callers and engines received: no request of a non-idempotent route runs twice, no refused one
//! runs, and streams are complete.
//!
//! CI runs a few seeds; `CORIANDERYOKE_SOAK=FROM..TO` runs others.

use std::collections::BTreeMap;
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

use crate::engine::Behavior;
use crate::engine::Engine;
use crate::fixture::wait_until;
use crate::fixture::Daemon;
use crate::fixture::Fixture;

/// Number of faults of one run.
const FAULT_COUNT: usize = 24;
/// Names of the fleet's daemons.
const DAEMONS: [&str; 3] = ["d1", "d2", "d3"];
/// Number of callers that send requests during the whole run.
const CALLER_COUNT: u64 = 6;

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

/// Injects faults into the fleet.
struct FaultInjector {
    fixture: Fixture,
    engines: Vec<Engine>,
    daemons: Vec<Daemon>,
    addresses: Addresses,
    rng: ChaCha8Rng,
}

impl FaultInjector {
    async fn inject_fault(&mut self) {
        let daemon = self.rng.random_range(0..DAEMONS.len());
        let engine = self.rng.random_range(0..self.engines.len());
        match self.rng.random_range(0..9) {
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
    let mut injector = FaultInjector {
        fixture,
        engines,
        daemons,
        addresses: Arc::clone(&addresses),
        rng: ChaCha8Rng::seed_from_u64(seed),
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
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
    check_outcomes(seed, &outcomes.lock(), &injector.engines);
}

/// Compares what callers received with what engines executed.
fn check_outcomes(seed: u64, outcomes: &BTreeMap<String, Outcome>, engines: &[Engine]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for received in engines.iter().flat_map(Engine::received) {
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
