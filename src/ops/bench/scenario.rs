//! The scenarios of failure runs: which faults occur and how often.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::Rng;

use super::faults::Fault;
use super::faults::Fault as F;
use super::faults::StepGenerator;
use super::schedule::Step;

/// A kind of failure run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description for `run --list`.
    pub about: &'static str,
    /// Faults to choose from.
    faults: &'static [Fault],
    /// Number of faults that begin at the same time.
    concurrent: usize,
}

/// Time without a new fault at the start and the end of a run.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Time between the beginnings of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 1500..4000;
/// All scenarios.
pub const SCENARIOS: [Scenario; 12] = [
    Scenario {
        name: "steady",
        about: "nothing fails; operators change rates, keys and zones, and an upstream leaves",
        faults: &[F::RevokeKey, F::DrainZone, F::UpstreamLeaves, F::ChangeLimits],
        concurrent: 1,
    },
    Scenario {
        name: "deaths",
        about: "routers and controllers are killed and started again",
        faults: &[F::KillRouter, F::KillController],
        concurrent: 1,
    },
    Scenario {
        name: "pauses",
        about: "routers and controllers are frozen beyond their term",
        faults: &[F::PauseRouter, F::PauseController],
        concurrent: 1,
    },
    Scenario {
        name: "links",
        about: "connections to the platform and to upstreams are cut or go silent",
        faults: &[F::CutPlatform, F::SilentPlatform, F::CutUpstream, F::SilentUpstream],
        concurrent: 1,
    },
    Scenario {
        name: "store",
        about: "the store is down, slow or frozen, and answers are lost",
        faults: &[F::StoreDown, F::StoreSlow, F::StoreLosesResponses, F::StoreFrozen],
        concurrent: 1,
    },
    Scenario {
        name: "operators",
        about: "operators race: rates, keys, drains, restores",
        faults: &[F::ChangeLimits, F::RevokeKey, F::RaceLimits, F::DrainZone],
        concurrent: 2,
    },
    Scenario {
        name: "zones",
        about: "zones go out and come back, upstreams leave and return",
        faults: &[F::DrainZone, F::UpstreamLeaves],
        concurrent: 1,
    },
    Scenario {
        name: "replaced",
        about: "all instances are replaced one after the other, and all at once",
        faults: &[F::ReplaceEach, F::ReplaceAll],
        concurrent: 1,
    },
    Scenario {
        name: "engines",
        about: "engines die in a load, turn cold, go silent, answer late, cut or crossed",
        faults: &[
            F::EngineRestart,
            F::EngineLosesModels,
            F::EngineCold,
            F::EngineSilent,
            F::EngineStall,
            F::EngineTruncate,
            F::EngineLate,
            F::EngineCrossed,
            F::EngineDiesInLoad,
        ],
        concurrent: 1,
    },
    Scenario {
        name: "repeats",
        about: "engines refuse, and upstreams write a response once more on a kept connection",
        faults: &[F::EngineRefuse, F::EngineRepeat, F::EngineRepeatIdle, F::ServiceRepeat],
        concurrent: 2,
    },
    Scenario {
        name: "orders",
        about: "answers to orders are lost while routers die and the store fails",
        faults: &[
            F::ServiceSilent,
            F::ServiceCut,
            F::ServiceError,
            F::KillRouter,
            F::StoreLosesResponses,
            F::StoreDown,
        ],
        concurrent: 2,
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
            F::StoreLosesResponses,
            F::StoreFrozen,
            F::ChangeLimits,
            F::RevokeKey,
            F::RaceLimits,
            F::DrainZone,
            F::UpstreamLeaves,
            F::ReplaceEach,
            F::EngineRestart,
            F::EngineLosesModels,
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
        concurrent: 2,
    },
];

/// Returns the scenario called `name`.
pub fn find(name: &str) -> Option<Scenario> {
    SCENARIOS.into_iter().find(|scenario| scenario.name == name)
}

/// Number of processes, teams and zones of a run.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Number of routers.
    pub routers: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of instances of the service.
    pub services: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of availability zones.
    pub zones: usize,
}

impl Scenario {
    /// Generates the schedule of a run, sorted by time; the same seed gives the same schedule.
    pub fn schedule(&self, seed: u64, span: Duration, sizes: Sizes) -> Vec<Step> {
        let mut generator = StepGenerator::new(seed, sizes);
        let mut at = QUIET_TIME;
        let mut position = 0;
        while !self.faults.is_empty() && at + QUIET_TIME < span {
            for _ in 0..self.concurrent {
                // A scenario with one fault at a time runs each kind once before it picks at random.
                let fault = match self.faults.get(position) {
                    Some(fault) if self.concurrent == 1 => *fault,
                    _ => *self.faults.choose(&mut generator.rng).unwrap_or(&self.faults[0]),
                };
                position += 1;
                generator.push_fault(at, fault);
            }
            at += Duration::from_millis(generator.rng.random_range(GAP_MS));
        }
        generator.steps.sort_by_key(|step| step.at);
        generator.steps
    }
}
