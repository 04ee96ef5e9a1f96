//! The bench: demo, failure scenarios, experiments and history checks.

#![forbid(unsafe_code)]

mod commands;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

/// Demo, load, experiments and history checks on loopback
#[derive(Parser)]
#[command(name = "corianderyoke-bench", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Bring up a small cell in one process, serve one request of each kind and print a table
    Demo(commands::demo::Cli),
    /// Run a scenario of failures on a fleet of the real binaries and check its history
    Run(commands::run::Cli),
    /// Check a history against the properties that must always hold
    Check(commands::check::Cli),
    /// Measure the system against a baseline and a bound
    Experiment(commands::experiment::Cli),
}

#[tokio::main]
async fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Demo(cli) => commands::demo::exec(cli).await,
        Command::Run(cli) => commands::run::exec(cli).await,
        Command::Check(cli) => commands::check::exec(&cli),
        Command::Experiment(cli) => commands::experiment::exec(cli).await,
    }
}
