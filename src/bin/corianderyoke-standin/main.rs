//! Stand-ins of the platform, an engine and a service, for development.

#![forbid(unsafe_code)]

mod commands;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

/// Runs a stand-in until a signal stops it; prints `listening IP:PORT` once it listens
#[derive(Parser)]
#[command(name = "corianderyoke-standin", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The platform: tables, objects and the instance list
    Platform(commands::platform::Cli),
    /// A model engine
    Engine(commands::engine::Cli),
    /// A plain service
    Service(commands::service::Cli),
}

#[tokio::main]
async fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Platform(cli) => commands::platform::exec(cli).await,
        Command::Engine(cli) => commands::engine::exec(cli).await,
        Command::Service(cli) => commands::service::exec(cli).await,
    }
}
