//! The scenarios: what goes wrong in a run, and how often.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::schedule::Action;
use super::schedule::Step;

/// A kind of failure run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it does, in one line.
    pub about: &'static str,
    /// What goes wrong, in turn or at random.
    faults: &'static [Fault],
    /// Faults at the same moment.
    together: usize,
}

/// A kind of thing that goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    KillRouter,
    KillController,
    PauseRouter,
    PauseController,
    CutPlatform,
    SilentPlatform,
    CutUpstream,
    SilentUpstream,
    StoreDown,
    StoreSlow,
    StoreLost,
    StoreFrozen,
    Rates,
    Revoke,
    Race,
    Zone,
    Leave,
    Replace,
    ReplaceAll,
    EngineRestart,
    EngineLoses,
    EngineCold,
    EngineSilent,
    EngineStall,
    EngineTruncate,
    EngineLate,
    EngineCrossed,
    EngineDiesInLoad,
    ServiceSilent,
    ServiceCut,
    ServiceError,
}

use Fault as F;

/// Pause before the first fault and after the last.
const QUIET: Duration = Duration::from_secs(2);
/// Shortest and longest time between two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 1500..4000;
/// Pause of a process beyond its term, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 3500..7000;
/// Span of an outage in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 2000..6000;
/// Time from a process's death to its restart, in milliseconds.
const DEAD_MS: std::ops::Range<u64> = 300..5000;

/// All scenarios.
pub const SCENARIOS: [Scenario; 11] = [
    Scenario {
        name: "steady",
        about: "nothing fails; operators change rates, keys and zones, and an upstream leaves",
        faults: &[F::Revoke, F::Zone, F::Leave, F::Rates],
        together: 1,
    },
    Scenario {
        name: "deaths",
        about: "routers and controllers are killed and started again",
        faults: &[F::KillRouter, F::KillController],
        together: 1,
    },
    Scenario {
        name: "pauses",
        about: "routers and controllers are frozen beyond their term",
        faults: &[F::PauseRouter, F::PauseController],
        together: 1,
    },
    Scenario {
        name: "links",
        about: "connections to the platform and to upstreams are cut or go silent",
        faults: &[F::CutPlatform, F::SilentPlatform, F::CutUpstream, F::SilentUpstream],
        together: 1,
    },
    Scenario {
        name: "store",
        about: "the store is down, slow or frozen, and answers are lost",
        faults: &[F::StoreDown, F::StoreSlow, F::StoreLost, F::StoreFrozen],
        together: 1,
    },
    Scenario {
        name: "operators",
        about: "operators race: rates, keys, drains, restores",
        faults: &[F::Rates, F::Revoke, F::Race, F::Zone],
        together: 2,
    },
    Scenario {
        name: "zones",
        about: "zones go out and come back, upstreams leave and return",
        faults: &[F::Zone, F::Leave],
        together: 1,
    },
    Scenario {
        name: "replaced",
        about: "all instances are replaced one after the other, and all at once",
        faults: &[F::Replace, F::ReplaceAll],
        together: 1,
    },
    Scenario {
        name: "engines",
        about: "engines die in a load, turn cold, go silent, answer late, cut or crossed",
        faults: &[
            F::EngineRestart,
            F::EngineLoses,
            F::EngineCold,
            F::EngineSilent,
            F::EngineStall,
            F::EngineTruncate,
            F::EngineLate,
            F::EngineCrossed,
            F::EngineDiesInLoad,
        ],
        together: 1,
    },
    Scenario {
        name: "orders",
        about: "answers to orders are lost while routers die and the store fails",
        faults: &[
            F::ServiceSilent,
            F::ServiceCut,
            F::ServiceError,
            F::KillRouter,
            F::StoreLost,
            F::StoreDown,
        ],
        together: 2,
    },
    Scenario {
        name: "everything",
        about: "all of the above, together and twice",
        faults: &[
            F::KillRouter,
            F::KillController,
            F::PauseRouter,
            F::PauseController,
            F::CutPlatform,
            F::SilentPlatform,
            F::CutUpstream,
            F::SilentUpstream,
            F::StoreDown,
            F::StoreSlow,
            F::StoreLost,
            F::StoreFrozen,
            F::Rates,
            F::Revoke,
            F::Race,
            F::Zone,
            F::Leave,
            F::Replace,
            F::EngineRestart,
            F::EngineLoses,
            F::EngineCold,
            F::EngineSilent,
            F::EngineStall,
            F::EngineTruncate,
            F::EngineLate,
            F::EngineCrossed,
            F::EngineDiesInLoad,
            F::ServiceSilent,
            F::ServiceCut,
            F::ServiceError,
        ],
        together: 2,
    },
];

/// The scenario called `name`.
pub fn find(name: &str) -> Option<Scenario> {
    SCENARIOS.into_iter().find(|scenario| scenario.name == name)
}

/// How many processes of each kind a run has.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Routers.
    pub routers: usize,
    /// Controllers.
    pub controllers: usize,
    /// Engines.
    pub engines: usize,
    /// Instances of the service.
    pub services: usize,
    /// Teams.
    pub teams: usize,
    /// Availability zones.
    pub zones: usize,
}

impl Scenario {
    /// What happens when, the same for the same seed.
    pub fn schedule(&self, seed: u64, span: Duration, sizes: Sizes) -> Vec<Step> {
        let mut draw = Draw { rng: ChaCha8Rng::seed_from_u64(seed), sizes, steps: Vec::new() };
        let mut at = QUIET;
        let mut turn = 0;
        while !self.faults.is_empty() && at + QUIET < span {
            for _ in 0..self.together {
                // Each kind comes once before chance decides.
                let fault = match self.faults.get(turn) {
                    Some(fault) if self.together == 1 => *fault,
                    _ => *self.faults.choose(&mut draw.rng).unwrap_or(&self.faults[0]),
                };
                turn += 1;
                draw.fault(at, fault);
            }
            at += Duration::from_millis(draw.rng.random_range(GAP_MS));
        }
        draw.steps.sort_by_key(|step| step.at);
        draw.steps
    }
}

/// Draws the steps of faults.
struct Draw {
    rng: ChaCha8Rng,
    sizes: Sizes,
    steps: Vec<Step>,
}

impl Draw {
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

    fn fault(&mut self, at: Duration, fault: Fault) {
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
