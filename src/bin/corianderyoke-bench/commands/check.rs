//! `corianderyoke-bench check`

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use corianderyoke::util::start;

/// Arguments of the subcommand.
#[derive(Args)]
pub struct Cli {
    /// History file with one event per line
    file: PathBuf,
}

/// Checks a history. The exit code is 1 if it violates a property; the output then names the
/// property and the events.
pub fn exec(cli: &Cli) -> ExitCode {
    let result = corianderyoke_history::check_file(&cli.file);
    match result {
        Ok(report) if report.is_clean() => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Ok(report) => {
            println!("{report}");
            ExitCode::FAILURE
        }
        Err(e) => start::exit_code(Err(e.into())),
    }
}
