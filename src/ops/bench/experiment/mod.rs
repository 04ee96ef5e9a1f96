//! Experiments: each measures one property of the system, most of them against a baseline in the
//! same run.
//!
//! [`overhead`] and [`control`] run the real binaries as processes; the others start a cell in this
//! process, at the size of a [`deployment`], or compute without a cell.

pub mod cold;
pub mod configuration;
pub mod control;
pub mod deployment;
pub mod idle;
pub mod overhead;
pub mod processes;
pub mod refusals;
pub mod register;
pub mod teams;
pub mod zone;

use std::time::Duration;

use anyhow::Result;
use clap::ValueEnum;

use self::deployment::Deployment;
use super::measure::Measure;
use super::report::Chart;

/// The experiments.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Experiment {
    /// Time until an accepted change is in force at 8 routers, and until a revoked stream is cut
    Configuration,
    /// p99 latency that a router adds to a warm request over asking the engine directly
    Overhead,
    /// Processor time, memory and control bytes of a daemon, idle and under load
    Control,
    /// Tail cold-start time against an all-knowing single queue
    ColdStart,
    /// Idle accelerator hours against fixed keep-alive
    IdleHours,
    /// p99 of the worst-served team while another sends five times its rate
    WorstTeam,
    /// Requests refused although inside the team's rate
    Refusals,
    /// Requests lost or refused while an availability zone is drained and restored
    Zone,
    /// Memory of a register at the planned size
    Register,
}

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Deployment whose size the cells have.
    pub deployment: Deployment,
    /// Seeds of the runs; each run uses one.
    pub seeds: Vec<u64>,
    /// Length of each phase of a run.
    pub span: Duration,
    /// Requests per second over all routers, for the experiments on processes; none for the rate
    /// that each of them sets.
    pub rate: Option<f64>,
    /// Output tokens of each request, for the experiments on processes.
    pub tokens: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            deployment: Deployment::Kumlama,
            seeds: vec![1],
            span: Duration::from_secs(10),
            rate: None,
            tokens: processes::TOKENS,
        }
    }
}

/// Result of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Finding {
    /// The measured value with its baseline, bound and parts.
    pub measure: Measure,
    /// Plots for the report.
    pub charts: Vec<Chart>,
    /// Details of the runs for the reader, one line each.
    pub notes: Vec<String>,
}

/// Runs an experiment. Fails if its cell or fleet can't be started or driven.
pub async fn run(experiment: Experiment, options: &Options) -> Result<Finding> {
    let load_before = load_average();
    let size = options.deployment.size();
    let mut finding = match experiment {
        Experiment::Configuration => configuration::run(options).await?,
        Experiment::Overhead => overhead::run(options).await?,
        Experiment::Control => control::run(options).await?,
        Experiment::ColdStart => cold::run(&size, options).await?,
        Experiment::IdleHours => idle::run(&size, options)?,
        Experiment::WorstTeam => teams::run(&size, options).await?,
        Experiment::Refusals => refusals::run(&size, options).await?,
        Experiment::Zone => zone::run(&size, options).await?,
        Experiment::Register => register::run()?,
    };
    finding.measure.seeds = options.seeds.clone();
    for part in &mut finding.measure.parts {
        part.seeds = options.seeds.clone();
    }
    finding
        .notes
        .push(format!("load average {load_before} before the run, {} after", load_average()));
    Ok(finding)
}

/// The machine's load averages over 1, 5 and 15 minutes.
fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}
