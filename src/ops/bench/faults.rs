//! The kinds of faults, and the random generation of the steps that cause each.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::Fault as F;
use super::scenario::Sizes;
use super::schedule::Action;
use super::schedule::Step;

/// Duration of a process's pause in milliseconds; longer than its lease duration.
const PAUSE_MS: std::ops::Range<u64> = 3500..7000;
/// Duration of an outage in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 2000..6000;
/// Time from killing a process to its restart, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 300..5000;

/// A kind of fault, or of an operator's change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A router is killed and started again.
    KillRouter,
    /// A controller is killed and started again.
    KillController,
    /// A router is paused for longer than its lease duration.
    PauseRouter,
    /// A controller is paused for longer than its lease duration.
    PauseController,
    /// A daemon's connections to the platform are closed for a while, new ones too.
    CutPlatform,
    /// A daemon's open connections to the platform stop passing data without closing.
    SilentPlatform,
    /// An upstream's connections are closed for a while, new ones too.
    CutUpstream,
    /// Open connections to an upstream stop passing data without closing.
    SilentUpstream,
    /// The store is down.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// The store executes requests but their responses are lost.
    StoreLosesResponses,
    /// The store delays both the execution of requests and its responses.
    StoreFrozen,
    /// A team's limits change.
    ChangeLimits,
    /// A team gets a new key and its old one is revoked.
    RevokeKey,
    /// Operators change all teams' limits concurrently.
    RaceLimits,
    /// A zone is drained and restored.
    DrainZone,
    /// An upstream is listed as leaving, and later as live again.
    UpstreamLeaves,
    /// All daemons are shut down and restarted, one after the other.
    ReplaceEach,
    /// All daemons are shut down and restarted at once.
    ReplaceAll,
    /// An engine is killed and started again.
    EngineRestart,
    /// An engine unloads all its models without notice.
    EngineLosesModels,
    /// An engine returns to its warm-up without notice.
    EngineCold,
    /// An engine's open connections stop passing data without closing.
    EngineSilent,
    /// Streams of an engine stop without closing.
    EngineStall,
    /// Streams of an engine end without their terminal marker.
    EngineTruncate,
    /// An engine delays the first token of its responses.
    EngineLate,
    /// An engine continues its responses with the id and tokens of another request.
    EngineCrossed,
    /// An engine crashes during its next model load.
    EngineDiesInLoad,
    /// An engine writes the previous response once more before its next responses.
    EngineRepeat,
    /// An engine writes the latest response once more on its idle connections.
    EngineRepeatIdle,
    /// An engine refuses its next requests.
    EngineRefuse,
    /// A service executes a call and never responds.
    ServiceSilent,
    /// A service executes a call and closes the connection without a response.
    ServiceCut,
    /// A service executes a call and responds with an error.
    ServiceError,
    /// A service writes the previous response once more before its next responses.
    ServiceRepeat,
}

/// Generates the steps of faults at random; the same seed gives the same steps.
pub struct StepGenerator {
    /// Random number generator; every draw from it affects all later ones.
    pub rng: ChaCha8Rng,
    sizes: Sizes,
    /// Steps generated so far, in the order of generation.
    pub steps: Vec<Step>,
}

impl StepGenerator {
    /// Creates a generator without steps.
    pub fn new(seed: u64, sizes: Sizes) -> StepGenerator {
        StepGenerator { rng: ChaCha8Rng::seed_from_u64(seed), sizes, steps: Vec::new() }
    }

    fn random_duration(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn random_name(&mut self, kind: &str, count: usize) -> String {
        format!("{kind}-{}", self.rng.random_range(1..=count))
    }

    fn random_router(&mut self) -> String {
        self.random_name("router", self.sizes.routers)
    }

    fn random_controller(&mut self) -> String {
        self.random_name("controller", self.sizes.controllers)
    }

    fn random_engine(&mut self) -> String {
        self.random_name("engine", self.sizes.engines)
    }

    fn random_service(&mut self) -> String {
        self.random_name("orders", self.sizes.services)
    }

    fn random_daemon(&mut self) -> String {
        if self.rng.random_bool(0.7) {
            self.random_router()
        } else {
            self.random_controller()
        }
    }

    fn random_upstream(&mut self) -> String {
        if self.rng.random_bool(0.7) {
            self.random_engine()
        } else {
            self.random_service()
        }
    }

    fn random_team(&mut self) -> String {
        format!("t{}", self.rng.random_range(1..=self.sizes.teams))
    }

    fn push(&mut self, at: Duration, action: Action) {
        self.steps.push(Step { at, action });
    }

    /// Adds an action and, after `span`, the one that ends it.
    fn push_pair(&mut self, at: Duration, span: Duration, begin: Action, end: Action) {
        self.push(at, begin);
        self.push(at + span, end);
    }

    fn push_engine_fault(&mut self, at: Duration, fault: serde_json::Value) {
        let name = self.random_engine();
        self.push(at, Action::Fault { name, fault });
    }

    fn push_service_fault(&mut self, at: Duration, fault: &str) {
        let name = self.random_service();
        let calls = self.rng.random_range(1..4);
        let fault = serde_json::json!({"fault": fault, "calls": calls});
        self.push(at, Action::Fault { name, fault });
    }

    fn push_store_fault(&mut self, at: Duration, fault: serde_json::Value) {
        self.push(at, Action::Fault { name: "platform".to_owned(), fault });
    }

    fn push_kill(&mut self, at: Duration, name: String) {
        let downtime = self.random_duration(DOWNTIME_MS);
        self.push_pair(at, downtime, Action::Kill(name.clone()), Action::Start(name));
    }

    fn push_pause(&mut self, at: Duration, name: String) {
        let span = self.random_duration(PAUSE_MS);
        self.push_pair(at, span, Action::Pause(name.clone()), Action::Resume(name));
    }

    /// Adds the steps of one fault that begins at `at`.
    pub fn push_fault(&mut self, at: Duration, fault: Fault) {
        use serde_json::json;
        match fault {
            F::KillRouter => {
                let name = self.random_router();
                self.push_kill(at, name);
            }
            F::KillController => {
                let name = self.random_controller();
                self.push_kill(at, name);
            }
            F::PauseRouter => {
                let name = self.random_router();
                self.push_pause(at, name);
            }
            F::PauseController => {
                let name = self.random_controller();
                self.push_pause(at, name);
            }
            F::CutPlatform => {
                let (name, span) = (self.random_daemon(), self.random_duration(OUTAGE_MS));
                self.push_pair(at, span, Action::Cut(name.clone()), Action::Mend(name));
            }
            F::SilentPlatform => {
                let name = self.random_daemon();
                self.push(at, Action::Silence(name));
            }
            F::CutUpstream => {
                let (name, span) = (self.random_upstream(), self.random_duration(OUTAGE_MS));
                self.push_pair(at, span, Action::Cut(name.clone()), Action::Mend(name));
            }
            F::SilentUpstream => {
                let name = self.random_upstream();
                self.push(at, Action::Silence(name));
            }
            F::StoreDown => {
                let span = self.rng.random_range(OUTAGE_MS);
                self.push_store_fault(at, json!({"fault": "down", "span_ms": span}));
            }
            F::StoreSlow => {
                let (span, delay) =
                    (self.rng.random_range(OUTAGE_MS), self.rng.random_range(50..600));
                self.push_store_fault(
                    at,
                    json!({"fault": "slow", "delay_ms": delay, "span_ms": span}),
                );
            }
            F::StoreLosesResponses => {
                let count = self.rng.random_range(1..12);
                self.push_store_fault(
                    at,
                    json!({"fault": "lost_answers", "count": count, "span_ms": 5000}),
                );
            }
            F::StoreFrozen => {
                let span = self.rng.random_range(OUTAGE_MS);
                self.push_store_fault(at, json!({"fault": "frozen", "span_ms": span}));
            }
            F::ChangeLimits => {
                let team = self.random_team();
                let (rate, burst) =
                    (self.rng.random_range(200..2000), self.rng.random_range(1100..3000));
                self.push(at, Action::Rate { team, rate, burst });
            }
            F::RevokeKey => {
                let team = self.random_team();
                self.push(at, Action::Revoke { team });
            }
            F::RaceLimits => {
                for number in 1..=self.sizes.teams {
                    let team = format!("t{number}");
                    let (rate, burst) =
                        (self.rng.random_range(200..2000), self.rng.random_range(1100..3000));
                    self.push(at, Action::Rate { team, rate, burst });
                }
            }
            F::DrainZone => {
                let zone = format!("z{}", self.rng.random_range(1..=self.sizes.zones));
                let span = Duration::from_millis(self.rng.random_range(6500..9000));
                self.push_pair(at, span, Action::Drain(zone.clone()), Action::Restore(zone));
            }
            F::UpstreamLeaves => {
                let name = self.random_upstream();
                let span = Duration::from_millis(self.rng.random_range(8000..10_000));
                self.push_pair(at, span, Action::Leave(name.clone()), Action::Join(name));
            }
            F::ReplaceEach => self.push(at, Action::ReplaceEach),
            F::ReplaceAll => self.push(at, Action::ReplaceAll),
            F::EngineRestart => {
                let name = self.random_engine();
                self.push(at, Action::RestartStandin(name));
            }
            F::EngineLosesModels => self.push_engine_fault(at, json!({"fault": "lose_models"})),
            F::EngineCold => {
                let name = self.random_engine();
                self.push(at, Action::TurnCold(name));
            }
            F::EngineSilent => self.push_engine_fault(at, json!({"fault": "silent"})),
            F::EngineStall => {
                let tokens = self.rng.random_range(0..6);
                self.push_engine_fault(
                    at,
                    json!({"fault": "stall", "tokens": tokens, "requests": 3}),
                );
            }
            F::EngineTruncate => {
                let tokens = self.rng.random_range(0..6);
                let fault = json!({"fault": "truncate", "tokens": tokens, "requests": 3});
                self.push_engine_fault(at, fault);
            }
            F::EngineLate => {
                let ms = self.rng.random_range(500..4000);
                self.push_engine_fault(at, json!({"fault": "late", "ms": ms, "requests": 3}));
            }
            F::EngineCrossed => {
                let tokens = self.rng.random_range(0..6);
                let fault = json!({"fault": "crossed", "tokens": tokens, "requests": 3});
                self.push_engine_fault(at, fault);
            }
            F::EngineDiesInLoad => {
                let name = self.random_engine();
                self.push(at, Action::DieInLoad(name));
            }
            F::EngineRepeat => {
                let requests = self.rng.random_range(1..20);
                self.push_engine_fault(at, json!({"fault": "repeat", "requests": requests}));
            }
            F::EngineRepeatIdle => self.push_engine_fault(at, json!({"fault": "repeat_idle"})),
            F::EngineRefuse => {
                let ms = self.rng.random_range(200..1000);
                self.push_engine_fault(at, json!({"fault": "refuse", "ms": ms}));
            }
            F::ServiceSilent => self.push_service_fault(at, "silent_after"),
            F::ServiceCut => self.push_service_fault(at, "cut_after"),
            F::ServiceError => self.push_service_fault(at, "error_after"),
            F::ServiceRepeat => self.push_service_fault(at, "repeat"),
        }
    }
}
