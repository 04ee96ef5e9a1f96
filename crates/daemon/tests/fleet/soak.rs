//! Random faults in series and overlapping, against the real daemon: what callers and engines see
//! has to keep the promises all the while.
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

use crate::engine::Act;
use crate::engine::Engine;
use crate::world::until;
use crate::world::Daemon;
use crate::world::World;

/// Faults of one run.
const FAULTS: usize = 24;
/// Daemons of the fleet.
const DAEMONS: [&str; 3] = ["d1", "d2", "d3"];
/// Callers that ask all the time.
const CALLERS: u64 = 6;

fn span(dice: &mut ChaCha8Rng, most_ms: u64) -> Duration {
    Duration::from_millis(dice.random_range(20..20 + most_ms))
}

/// What a caller got.
#[derive(Debug)]
enum Outcome {
    /// A whole answer.
    Whole(u16, String),
    /// No answer, or one that broke off.
    Broken,
}

/// Outcomes by the request's id; the first letter of an id tells its kind.
type Outcomes = Arc<Mutex<BTreeMap<String, Outcome>>>;
/// Addresses for callers by daemon.
type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

/// A caller that asks one request after the other over kept connections.
async fn caller(number: u64, addresses: Addresses, outcomes: Outcomes, stop: Arc<AtomicBool>) {
    let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(6));
    let client = client.build().expect("a client");
    let mut dice = ChaCha8Rng::seed_from_u64(number);
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let address = {
            let addresses = addresses.lock();
            addresses[dice.random_range(0..addresses.len())]
        };
        let (kind, path) =
            [("a", "/once/"), ("b", "/again/"), ("c", "/resume/soak")][dice.random_range(0..3)];
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
            Ok(answer) => {
                let echoed = answer.headers().get("corianderyoke-attempt-id").cloned();
                let status = answer.status().as_u16();
                match answer.text().await {
                    Ok(text) => {
                        if status == 200 {
                            assert_eq!(echoed.expect("an engine's answer"), id.as_str());
                        }
                        Outcome::Whole(status, text)
                    }
                    Err(_) => Outcome::Broken,
                }
            }
            Err(_) => Outcome::Broken,
        };
        outcomes.lock().insert(id, outcome);
        sleep(Duration::from_millis(5)).await;
    }
}

/// What is done to the fleet.
struct Faults {
    world: World,
    engines: Vec<Engine>,
    daemons: Vec<Daemon>,
    addresses: Addresses,
    dice: ChaCha8Rng,
}

impl Faults {
    async fn one(&mut self) {
        let daemon = self.dice.random_range(0..DAEMONS.len());
        let engine = self.dice.random_range(0..self.engines.len());
        match self.dice.random_range(0..9) {
            0 => self.restart(daemon).await,
            1 => {
                self.daemons[daemon].signal(Signal::SIGTERM);
                sleep(span(&mut self.dice, 1_500)).await;
                self.restart(daemon).await;
            }
            2 => {
                self.daemons[daemon].signal(Signal::SIGSTOP);
                sleep(span(&mut self.dice, 2_000)).await;
                self.daemons[daemon].signal(Signal::SIGCONT);
            }
            3 => self.daemons[daemon].signal(Signal::SIGHUP),
            4 => {
                // The store's faults overlap with those that come next.
                let (store, span) = (self.world.store.clone(), span(&mut self.dice, 1_500));
                store.set_down(true);
                tokio::spawn(async move {
                    sleep(span).await;
                    store.set_down(false);
                });
            }
            5 => {
                let table = ["op", "servers"][self.dice.random_range(0..2)];
                let (store, span) = (self.world.store.clone(), span(&mut self.dice, 800));
                store.silence(Some(table));
                tokio::spawn(async move {
                    sleep(span).await;
                    store.silence(None);
                });
            }
            6 => {
                let engine = &self.engines[engine];
                engine.list("draining");
                sleep(span(&mut self.dice, 400)).await;
                engine.list("ready");
            }
            7 => {
                let engine = &self.engines[engine];
                self.world.store.remove("servers", &engine.id);
                sleep(span(&mut self.dice, 400)).await;
                engine.list("ready");
            }
            _ => {}
        }
        let acts = [
            Act::Answer(Duration::from_millis(300)),
            Act::Cut(2),
            Act::Stall(1),
            Act::Refuse,
            Act::Drop,
            Act::OtherId,
            Act::Unsigned,
            Act::Fail,
        ];
        let act = acts[self.dice.random_range(0..acts.len())];
        let streams = matches!(act, Act::Cut(_) | Act::Stall(_));
        let of = if streams { "advice" } else { "orders" };
        if self.engines[engine].service == of {
            self.engines[engine].next(&[act, act]);
        }
    }

    /// Kills a daemon and starts it again, at other addresses.
    async fn restart(&mut self, index: usize) {
        self.daemons[index].signal(Signal::SIGKILL);
        let fresh = self.world.daemon(DAEMONS[index]).await;
        self.addresses.lock()[index] = fresh.callers;
        self.daemons[index] = fresh;
    }
}

async fn soak(seed: u64) {
    let world = World::start().await;
    let mut engines = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        engines.push(world.plain(id).await);
    }
    for id in ["i-4", "i-5"] {
        engines.push(world.model_engine(id, &["m1"]).await);
    }
    let mut daemons = Vec::new();
    for name in DAEMONS {
        daemons.push(world.daemon(name).await);
    }
    let addresses: Addresses =
        Arc::new(Mutex::new(daemons.iter().map(|daemon| daemon.callers).collect()));
    let (outcomes, stop) = (Outcomes::default(), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (addresses, outcomes) = (Arc::clone(&addresses), Arc::clone(&outcomes));
            tokio::spawn(caller(number, addresses, outcomes, Arc::clone(&stop)))
        })
        .collect();
    let mut faults = Faults {
        world,
        engines,
        daemons,
        addresses: Arc::clone(&addresses),
        dice: ChaCha8Rng::seed_from_u64(seed),
    };
    for _ in 0..FAULTS {
        faults.one().await;
        let pause = span(&mut faults.dice, 150);
        sleep(pause).await;
    }
    let served =
        || outcomes.lock().values().filter(|o| matches!(o, Outcome::Whole(200, _))).count();
    let before = served();
    // Once the faults are over the fleet serves again.
    until(|| async { served() > before + 50 }).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
    check(seed, &outcomes.lock(), &faults.engines);
}

/// What callers got against what engines saw.
fn check(seed: u64, outcomes: &BTreeMap<String, Outcome>, engines: &[Engine]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for seen in engines.iter().flat_map(Engine::seen) {
        let id = seen.headers["corianderyoke-attempt-id"].to_str().expect("a text").to_owned();
        assert_eq!(seen.body, id.as_bytes(), "seed {seed}: the body of another request");
        assert_eq!(seen.headers["corianderyoke-tenant"], "team", "seed {seed}: {id}");
        *runs.entry(id).or_default() += usize::from(seen.ran);
    }
    for (id, outcome) in outcomes {
        let ran = runs.get(id).copied().unwrap_or(0);
        let once = id.starts_with('a');
        assert!(!once || ran <= 1, "seed {seed}: {id} ran {ran} times");
        match outcome {
            Outcome::Whole(408 | 421 | 429 | 503, _) => {
                assert!(!once || ran == 0, "seed {seed}: {id} ran and was said not to have");
            }
            Outcome::Whole(200, text) if id.starts_with('c') => whole(seed, id, text),
            Outcome::Whole(200, text) => assert_eq!(text, "answer", "seed {seed}: {id}"),
            Outcome::Whole(401 | 403 | 404, _) => panic!("seed {seed}: {id} was denied"),
            Outcome::Whole(..) | Outcome::Broken => {}
        }
    }
}

/// A complete stream has every event from the first on, once each.
fn whole(seed: u64, id: &str, text: &str) {
    let numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let numbers: Vec<usize> = numbers.map(|number| number.parse().expect("a number")).collect();
    let expected: Vec<usize> = (1..=numbers.len()).collect();
    assert!(!numbers.is_empty() && numbers == expected, "seed {seed}: {id} got {numbers:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_faults_break_no_promise() {
    let seeds = std::env::var("CORIANDERYOKE_SOAK").unwrap_or_else(|_| "1..3".to_owned());
    let (from, to) = seeds.split_once("..").expect("FROM..TO");
    for seed in from.parse().expect("a number")..to.parse().expect("a number") {
        eprintln!("soak: seed {seed}");
        soak(seed).await;
    }
}
