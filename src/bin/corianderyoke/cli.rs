//! The global options and the list of exit codes.

use std::path::PathBuf;

use clap::CommandFactory;
use clap::Parser;

use crate::commands;

/// Exit codes, shown at the end of the help.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed for a reason that has no exit code of its own
  2  the command line is invalid
  3  settings or configuration are invalid; each problem is listed
  4  somebody else changed the configuration first; nothing was changed
  5  the platform or a member can't be reached; nothing was changed
  6  the outcome is unknown; check it before a retry
  7  some members don't have the revision yet; the change is accepted
  8  the named entry doesn't exist";

/// Checks, applies and shows the configuration of corianderyoke
#[derive(Clone, Debug, Parser)]
#[command(name = "corianderyoke", version, after_help = EXIT_CODES)]
pub struct Global {
    /// Settings file (TOML)
    #[arg(long, global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Address of the platform; overrides the settings file
    #[arg(long, global = true, value_name = "IP:PORT")]
    pub platform: Option<String>,
    /// Name in the audit trail; overrides the settings file and $USER
    #[arg(long, global = true, value_name = "NAME")]
    pub operator: Option<String>,
    /// Write JSON instead of text
    #[arg(long, global = true)]
    pub json: bool,
    /// Check the settings and exit
    #[arg(long)]
    pub check: bool,
}

/// The command line with its subcommands.
pub fn cli() -> clap::Command {
    Global::command().subcommands(commands::all())
}
