//! `corianderyoke-bench experiment`

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use clap::Args;
use corianderyoke::ops::bench::experiment;
use corianderyoke::ops::bench::experiment::deployment::Deployment;
use corianderyoke::ops::bench::experiment::processes;
use corianderyoke::ops::bench::experiment::Experiment;
use corianderyoke::ops::bench::experiment::Finding;
use corianderyoke::ops::bench::experiment::Options;
use corianderyoke::ops::bench::report;
use corianderyoke::util::events;
use corianderyoke::util::start;
use log::LevelFilter;

/// Arguments of the subcommand.
#[derive(Args)]
pub struct Cli {
    /// What to measure
    experiment: Experiment,
    /// Deployment whose sizes are used; overhead and control use a fleet of their own
    #[arg(long, default_value = "kumlama")]
    deployment: Deployment,
    /// Run with the seeds from 1 to this number
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Length of each phase of a run, in seconds
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Requests per second, for overhead and control
    #[arg(long)]
    rate: Option<f64>,
    /// Output tokens of a request, for overhead and control
    #[arg(long, default_value_t = processes::TOKENS)]
    tokens: u32,
    /// Print one JSON object instead of text
    #[arg(long)]
    json: bool,
    /// Write an HTML report with plots to this file
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Log level of the cell's processes: error, warn, info, debug or trace
    #[arg(long, default_value = "error")]
    log: LevelFilter,
}

/// Runs an experiment. The exit code is 1 if the result misses its bound.
pub async fn exec(cli: Cli) -> ExitCode {
    events::init(cli.log);
    match run(&cli).await {
        Ok(finding) if finding.measure.met => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => start::exit_code(Err(e)),
    }
}

async fn run(cli: &Cli) -> anyhow::Result<Finding> {
    let options = Options {
        deployment: cli.deployment,
        seeds: (1..=cli.seeds).collect(),
        span: Duration::from_secs(cli.seconds),
        rate: cli.rate,
        tokens: cli.tokens,
    };
    let finding = experiment::run(cli.experiment, &options).await?;
    if let Some(file) = &cli.report {
        let page = report::page(&format!("{:?}", cli.experiment), &finding);
        std::fs::write(file, page)
            .with_context(|| format!("failed to write {}", file.display()))?;
    }
    if cli.json {
        println!("{}", serde_json::to_string(&finding.measure)?);
    } else {
        print!("{}", report::text(&finding));
    }
    Ok(finding)
}
