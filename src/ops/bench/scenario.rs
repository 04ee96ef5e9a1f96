//! The scenarios: what goes wrong in a run, and how often.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::Rng;

use super::faults::Draw;
use super::faults::Fault;
use super::faults::Fault as F;
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

/// Pause before the first fault and after the last.
const QUIET: Duration = Duration::from_secs(2);
/// Shortest and longest time between two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 1500..4000;
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
        let mut draw = Draw::new(seed, sizes);
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
