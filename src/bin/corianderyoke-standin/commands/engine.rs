//! `corianderyoke-standin engine`

use std::process::ExitCode;

use clap::Args;
use corianderyoke::ops::standin;
use corianderyoke::util::start;

/// Arguments of the subcommand.
#[derive(Args)]
pub struct Cli {
    #[command(flatten)]
    options: start::Options,
}

/// Runs the engine stand-in until a signal stops it.
pub async fn exec(cli: Cli) -> ExitCode {
    match start::settings(&cli.options, |_| Vec::new()) {
        Ok(Some(settings)) => start::exit_code(standin::run_engine(settings).await),
        Ok(None) => ExitCode::SUCCESS,
        Err(exit) => exit.into(),
    }
}
