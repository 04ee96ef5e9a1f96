//! `corianderyoke check`: reports all problems in the files of a configuration.

use std::path::PathBuf;

use clap::ArgMatches;
use clap::Command;
use clap::CommandFactory;
use clap::FromArgMatches;
use clap::Parser;
use corianderyoke::ops::config;

use super::shared;
use crate::outcome::Outcome;

/// Check the files of a whole configuration, without the platform
#[derive(Debug, Parser)]
#[command(name = "check")]
struct Options {
    /// Files that make up the configuration
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

/// Definition of the subcommand's arguments.
pub fn cli() -> Command {
    Options::command()
}

/// Runs the subcommand.
pub fn exec(matches: &ArgMatches) -> anyhow::Result<Outcome> {
    let options = Options::from_arg_matches(matches)?;
    let document = shared::read_files(&options.files)?;
    let problems = document.check();
    if !problems.is_empty() {
        return Err(config::Error::Problems(problems).into());
    }
    Ok(Outcome::text(format!("{} entries, no problems\n", document.entries.len())))
}
