//! `corianderyoke-bench demo`

use std::process::ExitCode;

use clap::Args;
use corianderyoke::ops::bench::demo;
use corianderyoke::util::events;
use corianderyoke::util::start;
use log::LevelFilter;

/// Arguments of the subcommand.
#[derive(Args)]
pub struct Cli {
    /// Log level of the processes: error, warn, info, debug or trace
    #[arg(long, default_value = "error")]
    log: LevelFilter,
}

/// Runs the demo.
pub async fn exec(cli: Cli) -> ExitCode {
    events::init(cli.log);
    start::exit_code(demo::run().await.map(|table| print!("{table}")))
}
