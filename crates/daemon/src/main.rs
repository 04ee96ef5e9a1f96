//! Command line of the daemon.

#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use corianderyoke_daemon::settings::Settings;
use corianderyoke_util::events;
use corianderyoke_util::sink;
use corianderyoke_util::start;

/// Environment variable that names the settings file if `--config` is absent.
const SETTINGS_VARIABLE: &str = "CORIANDERYOKE_SETTINGS";

/// Serves callers and the directory on one instance
///
/// Settings come from the file that --config or the variable CORIANDERYOKE_SETTINGS names. SIGTERM
/// makes it leave after its last open request.
#[derive(Parser)]
#[command(name = "corianderyoke-daemon", version)]
struct Cli {
    #[command(flatten)]
    options: start::Options,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut options = Cli::parse().options;
    if options.config.is_none() {
        options.config = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    }
    match start::settings(&options, Settings::check) {
        Ok(Some(settings)) => start::exit_code(run(settings, options.config).await),
        Ok(None) => ExitCode::SUCCESS,
        Err(exit) => exit.into(),
    }
}

async fn run(settings: Settings, file: Option<PathBuf>) -> anyhow::Result<()> {
    sink::set_nonblocking()?;
    events::init_buffered(settings.log.parse().unwrap_or(log::LevelFilter::Info));
    corianderyoke_daemon::run(settings, file).await
}
