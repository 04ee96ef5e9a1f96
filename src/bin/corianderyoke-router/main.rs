//! The router: serves callers.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::Parser;
use corianderyoke::ops::router;
use corianderyoke::router::settings::Settings;
use corianderyoke::util::events;
use corianderyoke::util::lifecycle::shutdown_signal;
use corianderyoke::util::start;

/// Serves callers: authenticates, limits, queues and forwards their requests
///
/// Prints `listening callers=IP:PORT operators=IP:PORT` once it listens. On SIGTERM it leaves the
/// cell after its last open request.
#[derive(Parser)]
#[command(name = "corianderyoke-router", version)]
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
    let running = router::start(settings).await?;
    println!("listening callers={} operators={}", running.callers, running.operators);
    shutdown_signal().await?;
    running.leave().await;
    Ok(())
}
