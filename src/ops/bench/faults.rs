//! The kinds of faults, and the steps that make each.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::Fault as F;
use super::scenario::Sizes;
use super::schedule::Action;
use super::schedule::Step;

/// Pause of a process beyond its term, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 3500..7000;
/// Span of an outage in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 2000..6000;
/// Time from a process's death to its restart, in milliseconds.
const DEAD_MS: std::ops::Range<u64> = 300..5000;

/// A kind of thing that goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A router is killed and started again.
    KillRouter,
    /// A controller is killed and started again.
    KillController,
    /// A router is frozen beyond its term.
    PauseRouter,
    /// A controller is frozen beyond its term.
    PauseController,
    /// A daemon is cut off from the platform.
    CutPlatform,
    /// A daemon's connections to the platform go silent.
    SilentPlatform,
    /// An upstream is cut off.
    CutUpstream,
    /// Connections to an upstream go silent.
    SilentUpstream,
    /// The store is down.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// Answers of the store are lost.
    StoreLost,
    /// The store answers and acts late.
    StoreFrozen,
    /// A team's limits change.
    Rates,
    /// A team's key is replaced and withdrawn.
    Revoke,
    /// Operators change all teams' limits at once.
    Race,
    /// A zone goes out and comes back.
    Zone,
    /// An upstream leaves and returns.
    Leave,
    /// All daemons are replaced, one after the other.
    Replace,
    /// All daemons are replaced at once.
    ReplaceAll,
    /// An engine is killed and started again.
    EngineRestart,
    /// An engine loses its models.
    EngineLoses,
    /// An engine turns cold.
    EngineCold,
    /// An engine's connections go silent.
    EngineSilent,
    /// Streams of an engine stop.
    EngineStall,
    /// Streams of an engine are cut.
    EngineTruncate,
    /// Answers of an engine come late.
    EngineLate,
    /// Answers of an engine are crossed.
    EngineCrossed,
    /// An engine dies in its next load.
    EngineDiesInLoad,
    /// A service acts and its answer never comes.
    ServiceSilent,
    /// A service acts and its connection closes.
    ServiceCut,
    /// A service acts and answers with an error.
    ServiceError,
}

/// Draws the steps of faults.
pub struct Draw {
    /// Source of chance.
    pub rng: ChaCha8Rng,
    sizes: Sizes,
    /// What was drawn so far.
    pub steps: Vec<Step>,
}

impl Draw {
    /// Nothing drawn yet.
    pub fn new(seed: u64, sizes: Sizes) -> Draw {
        Draw { rng: ChaCha8Rng::seed_from_u64(seed), sizes, steps: Vec::new() }
    }

    fn span(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn pick(&mut self, kind: &str, count: usize) -> String {
        format!("{kind}-{}", self.rng.random_range(1..=count))
    }

    fn router(&mut self) -> String {
        self.pick("router", self.sizes.routers)
    }

    fn controller(&mut self) -> String {
        self.pick("controller", self.sizes.controllers)
    }

    fn engine(&mut self) -> String {
        self.pick("engine", self.sizes.engines)
    }

    fn service(&mut self) -> String {
        self.pick("orders", self.sizes.services)
    }

    fn daemon(&mut self) -> String {
        if self.rng.random_bool(0.7) {
            self.router()
        } else {
            self.controller()
        }
    }

    fn upstream(&mut self) -> String {
        if self.rng.random_bool(0.7) {
            self.engine()
        } else {
            self.service()
        }
    }

    fn team(&mut self) -> String {
        format!("t{}", self.rng.random_range(1..=self.sizes.teams))
    }

    fn push(&mut self, at: Duration, action: Action) {
        self.steps.push(Step { at, action });
    }

    /// An action and the one that ends it.
    fn pair(&mut self, at: Duration, span: Duration, begin: Action, end: Action) {
        self.push(at, begin);
        self.push(at + span, end);
    }

    fn engine_fault(&mut self, at: Duration, fault: serde_json::Value) {
        let name = self.engine();
        self.push(at, Action::Fault { name, fault });
    }

    fn service_fault(&mut self, at: Duration, fault: &str) {
        let name = self.service();
        let calls = self.rng.random_range(1..4);
        let fault = serde_json::json!({"fault": fault, "calls": calls});
        self.push(at, Action::Fault { name, fault });
    }

    fn store_fault(&mut self, at: Duration, fault: serde_json::Value) {
        self.push(at, Action::Fault { name: "platform".to_owned(), fault });
    }

    fn kill(&mut self, at: Duration, name: String) {
        let dead = self.span(DEAD_MS);
        self.pair(at, dead, Action::Kill(name.clone()), Action::Start(name));
    }

    fn pause(&mut self, at: Duration, name: String) {
        let span = self.span(PAUSE_MS);
        self.pair(at, span, Action::Pause(name.clone()), Action::Resume(name));
    }

    /// Draws the steps of one fault that begins at `at`.
    pub fn fault(&mut self, at: Duration, fault: Fault) {
        use serde_json::json;
        match fault {
            F::KillRouter => {
                let name = self.router();
                self.kill(at, name);
            }
            F::KillController => {
                let name = self.controller();
                self.kill(at, name);
            }
            F::PauseRouter => {
                let name = self.router();
                self.pause(at, name);
            }
            F::PauseController => {
                let name = self.controller();
                self.pause(at, name);
            }
            F::CutPlatform => {
                let (name, span) = (self.daemon(), self.span(OUTAGE_MS));
                self.pair(at, span, Action::Cut(name.clone()), Action::Mend(name));
            }
            F::SilentPlatform => {
                let name = self.daemon();
                self.push(at, Action::Silence(name));
            }
            F::CutUpstream => {
                let (name, span) = (self.upstream(), self.span(OUTAGE_MS));
                self.pair(at, span, Action::Cut(name.clone()), Action::Mend(name));
            }
            F::SilentUpstream => {
                let name = self.upstream();
                self.push(at, Action::Silence(name));
            }
            F::StoreDown => {
                let span = self.rng.random_range(OUTAGE_MS);
                self.store_fault(at, json!({"fault": "down", "span_ms": span}));
            }
            F::StoreSlow => {
                let (span, delay) =
                    (self.rng.random_range(OUTAGE_MS), self.rng.random_range(50..600));
                self.store_fault(at, json!({"fault": "slow", "delay_ms": delay, "span_ms": span}));
            }
            F::StoreLost => {
                let count = self.rng.random_range(1..12);
                self.store_fault(
                    at,
                    json!({"fault": "lost_answers", "count": count, "span_ms": 5000}),
                );
            }
            F::StoreFrozen => {
                let span = self.rng.random_range(OUTAGE_MS);
                self.store_fault(at, json!({"fault": "frozen", "span_ms": span}));
            }
            F::Rates => {
                let team = self.team();
                let (rate, burst) =
                    (self.rng.random_range(200..2000), self.rng.random_range(1100..3000));
                self.push(at, Action::Rate { team, rate, burst });
            }
            F::Revoke => {
                let team = self.team();
                self.push(at, Action::Revoke { team });
            }
            F::Race => {
                for number in 1..=self.sizes.teams {
                    let team = format!("t{number}");
                    let (rate, burst) =
                        (self.rng.random_range(200..2000), self.rng.random_range(1100..3000));
                    self.push(at, Action::Rate { team, rate, burst });
                }
            }
            F::Zone => {
                let zone = format!("z{}", self.rng.random_range(1..=self.sizes.zones));
                let span = Duration::from_millis(self.rng.random_range(6500..9000));
                self.pair(at, span, Action::Drain(zone.clone()), Action::Restore(zone));
            }
            F::Leave => {
                let name = self.upstream();
                let span = Duration::from_millis(self.rng.random_range(8000..10_000));
                self.pair(at, span, Action::Leave(name.clone()), Action::Join(name));
            }
            F::Replace => self.push(at, Action::ReplaceEach),
            F::ReplaceAll => self.push(at, Action::ReplaceAll),
            F::EngineRestart => {
                let name = self.engine();
                self.push(at, Action::RestartStandin(name));
            }
            F::EngineLoses => self.engine_fault(at, json!({"fault": "lose_models"})),
            F::EngineCold => {
                let name = self.engine();
                self.push(at, Action::TurnCold(name));
            }
            F::EngineSilent => self.engine_fault(at, json!({"fault": "silent"})),
            F::EngineStall => {
                let tokens = self.rng.random_range(0..6);
                self.engine_fault(at, json!({"fault": "stall", "tokens": tokens, "requests": 3}));
            }
            F::EngineTruncate => {
                let tokens = self.rng.random_range(0..6);
                let fault = json!({"fault": "truncate", "tokens": tokens, "requests": 3});
                self.engine_fault(at, fault);
            }
            F::EngineLate => {
                let ms = self.rng.random_range(500..4000);
                self.engine_fault(at, json!({"fault": "late", "ms": ms, "requests": 3}));
            }
            F::EngineCrossed => {
                let tokens = self.rng.random_range(0..6);
                let fault = json!({"fault": "crossed", "tokens": tokens, "requests": 3});
                self.engine_fault(at, fault);
            }
            F::EngineDiesInLoad => {
                let name = self.engine();
                self.push(at, Action::DieInLoad(name));
            }
            F::ServiceSilent => self.service_fault(at, "silent_after"),
            F::ServiceCut => self.service_fault(at, "cut_after"),
            F::ServiceError => self.service_fault(at, "error_after"),
        }
    }
}
