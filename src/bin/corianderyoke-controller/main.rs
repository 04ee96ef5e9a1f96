//! The controller: places models on upstreams.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::Parser;
use corianderyoke::controller::settings::Settings;
use corianderyoke::ops::controller;
use corianderyoke::util::events;
use corianderyoke::util::lifecycle::shutdown_signal;
use corianderyoke::util::start;

/// Places models: decides which upstream holds which model, and sends load and unload orders
///
/// Prints `listening operators=IP:PORT` once it listens. On SIGTERM it leaves the cell.
#[derive(Parser)]
#[command(name = "corianderyoke-controller", version)]
struct Cli {
    #[command(flatten)]
    options: start::Options,
}

#[tokio::main]
async fn main() -> ExitCode {
    match start::settings(&Cli::parse().options, Settings::check) {
        Ok(Some(settings)) => start::exit_code(run(settings).await),
        Ok(None) => ExitCode::SUCCESS,
        Err(exit) => exit.into(),
    }
}

async fn run(settings: Settings) -> anyhow::Result<()> {
    events::init(settings.log.parse().unwrap_or(log::LevelFilter::Info));
    let running = controller::start(settings).await?;
    println!("listening operators={}", running.operators);
    shutdown_signal().await?;
    running.leave().await;
    Ok(())
}
