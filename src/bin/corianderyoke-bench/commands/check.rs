//! `corianderyoke-bench check`

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use corianderyoke::util::start;

/// Options.
#[derive(Args)]
pub struct Cli {
    /// History file, one event a line
    file: PathBuf,
}

/// Checks a history; exit code 1 names the property and the events that break it.
pub fn exec(cli: &Cli) -> ExitCode {
    let checked = corianderyoke_history::check_file(&cli.file);
    match checked {
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
