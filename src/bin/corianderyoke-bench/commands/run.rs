//! `corianderyoke-bench run`

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use clap::Args;
use corianderyoke::ops::bench::run;
use corianderyoke::ops::bench::scenario;
use corianderyoke::util::events;
use corianderyoke::util::start;
use corianderyoke_history::Bounds;
use log::LevelFilter;

/// Arguments of the subcommand.
#[derive(Args)]
pub struct Cli {
    /// Name of the scenario; see --list
    #[arg(required_unless_present = "list")]
    scenario: Option<String>,
    /// Print the scenarios, one per line, and exit
    #[arg(long)]
    list: bool,
    /// Seed of the fault schedule and the load
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the load, in seconds
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// File to write the history to
    #[arg(long, default_value = "history.jsonl")]
    history: PathBuf,
    /// Folder to write the processes' logs to
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Log level of the harness: error, warn, info, debug or trace
    #[arg(long, default_value = "error")]
    log: LevelFilter,
}

/// Runs a scenario. The exit code is 1 if its history violates a property; the output then names
/// the property and the events.
pub async fn exec(cli: Cli) -> ExitCode {
    if cli.list {
        for scenario in scenario::SCENARIOS {
            println!("{:<11} {}", scenario.name, scenario.about);
        }
        return ExitCode::SUCCESS;
    }
    events::init(cli.log);
    match run_one(&cli).await {
        Ok(outcome) if outcome.report.is_clean() => {
            print(&outcome);
            ExitCode::SUCCESS
        }
        Ok(outcome) => {
            print(&outcome);
            print!("{}", outcome.violations);
            ExitCode::FAILURE
        }
        Err(e) => start::exit_code(Err(e)),
    }
}

async fn run_one(cli: &Cli) -> anyhow::Result<run::Outcome> {
    let name = cli.scenario.as_deref().unwrap_or_default();
    let scenario = scenario::find(name)
        .with_context(|| format!("there is no scenario `{name}`; see `run --list`"))?;
    let binary = std::env::current_exe()?;
    let binaries = binary.parent().context("failed to find the binaries")?.to_owned();
    run::run(&run::Options {
        scenario,
        seed: cli.seed,
        span: Duration::from_secs(cli.seconds),
        history: cli.history.clone(),
        binaries,
        logs: cli.logs.clone(),
        bounds: Bounds::default(),
    })
    .await
}

fn print(outcome: &run::Outcome) {
    for (name, count) in &outcome.counts {
        println!("{count:>6} {name}");
    }
    let report = &outcome.report;
    println!("{} records", report.records);
    for (property, line) in &report.lines {
        let name = format!("{property:?}");
        let undecided = match line.undecided {
            0 => String::new(),
            count => format!(", {count} undecided"),
        };
        let (facts, violations) = (line.facts, line.violations);
        println!("{name:<14} {facts:>8} facts {violations:>4} violations{undecided}");
    }
    for property in report.uncovered() {
        println!("no facts were recorded for {property:?}");
    }
}
