//! Experiments: each answers one question by figures, against a baseline in the same run.
//!
//! [`overhead`] and [`control`] run the real binaries as processes; the others bring up a cell in
//! this process, at the size of a [`deployment`].

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
    /// Added p99 of a warm request through a router over asking the engine directly
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
    /// Requests lost or refused while an availability zone leaves and returns
    Zone,
    /// Memory of a register at the coming size
    Register,
}

/// What an experiment is asked for.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whose sizes the cells have.
    pub deployment: Deployment,
    /// Seeds, one run each.
    pub seeds: Vec<u64>,
    /// Length of each phase of a run.
    pub span: Duration,
    /// Requests a second over all routers, for the experiments on processes; none for their own.
    pub rate: Option<f64>,
    /// Output tokens of a request, for the experiments on processes.
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

/// What an experiment found.
#[derive(Clone, Debug, Default)]
pub struct Finding {
    /// The measure.
    pub measure: Measure,
    /// Plots of the runs.
    pub charts: Vec<Chart>,
    /// What else a reader should know, one line each.
    pub notes: Vec<String>,
}

/// Runs an experiment.
pub async fn run(experiment: Experiment, options: &Options) -> Result<Finding> {
    let before = load_average();
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
    finding.notes.push(format!("load average {before} before the run, {} after", load_average()));
    Ok(finding)
}

/// The machine's load averages over 1, 5 and 15 minutes.
fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}
