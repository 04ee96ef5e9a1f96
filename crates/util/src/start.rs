//! Command line options, settings checks and exit codes shared by all binaries.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use corianderyoke_coord::register::Problem;
use log::LevelFilter;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::exit::Exit;
use crate::settings;

/// Allowed lease durations of a member, in milliseconds.
const LEASE_MS: RangeInclusive<u64> = 1_500..=60_000;

/// Options of a process that runs until it receives a stop signal.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Settings file (TOML); without it every setting has its default
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    pub check: bool,
}

/// Reads the settings file of `options` and also reports the problems that `check` finds. Returns
/// `None` if the settings were only to be checked.
///
/// # Errors
///
/// Writes all problems to standard error and returns the exit code.
pub fn settings<T>(
    options: &Options,
    check: impl FnOnce(&T) -> Vec<Problem>,
) -> Result<Option<T>, Exit>
where
    T: Default + DeserializeOwned + Serialize,
{
    let result = match &options.config {
        Some(file) => settings::load_checked(file, check),
        None => Ok(T::default()),
    };
    match result {
        Ok(_) if options.check => {
            println!("the settings are good");
            Ok(None)
        }
        Ok(settings) => Ok(Some(settings)),
        Err(e) => {
            eprintln!("{e}");
            Err(Exit::Invalid)
        }
    }
}

/// Problems of the settings that all daemons share.
pub fn daemon_problems(name: &str, log: &str, cell: &str, lease_ms: u64) -> Vec<Problem> {
    let mut problems = Vec::new();
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    for (key, value) in [("name", name), ("cell", cell)] {
        if value.is_empty() || !value.chars().all(is_allowed) {
            let allowed = "letters, digits, `-`, `_` and `.`, at least one";
            problems.push(Problem::new(key, value, allowed));
        }
    }
    if !LEASE_MS.contains(&lease_ms) {
        let allowed = format!("{} to {}", LEASE_MS.start(), LEASE_MS.end());
        problems.push(Problem::new("term_ms", lease_ms, allowed));
    }
    if log.parse::<LevelFilter>().is_err() {
        problems.push(Problem::new("log", log, "off, error, warn, info, debug or trace"));
    }
    problems
}

/// Maps a process's result to its exit code; writes an error and its causes to standard error.
pub fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => Exit::Done.into(),
        Err(e) => {
            eprintln!("error: {e:#}");
            Exit::Failed.into()
        }
    }
}
