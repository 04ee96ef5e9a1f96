//! What all daemons' command lines have in common.

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

/// Terms that a member can have, in milliseconds.
const TERM_MS: RangeInclusive<u64> = 1_500..=60_000;

/// Options of a process that runs until it is told to stop.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Settings file (TOML); without it every setting has its default
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    pub check: bool,
}

/// Reads the settings that `options` name, and adds the problems that `check` finds; `None` where
/// they only were to be checked.
///
/// # Errors
///
/// The exit code, after all problems were written to standard error.
pub fn settings<T>(
    options: &Options,
    check: impl FnOnce(&T) -> Vec<Problem>,
) -> Result<Option<T>, Exit>
where
    T: Default + DeserializeOwned + Serialize,
{
    let read = match &options.config {
        Some(file) => settings::load_checked(file, check),
        None => Ok(T::default()),
    };
    match read {
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

/// What is wrong with the settings that every daemon has.
pub fn daemon_problems(name: &str, log: &str, cell: &str, term_ms: u64) -> Vec<Problem> {
    let mut problems = Vec::new();
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    for (key, value) in [("name", name), ("cell", cell)] {
        if value.is_empty() || !value.chars().all(plain) {
            let allowed = "letters, digits, `-`, `_` and `.`, at least one";
            problems.push(Problem::new(key, value, allowed));
        }
    }
    if !TERM_MS.contains(&term_ms) {
        let allowed = format!("{} to {}", TERM_MS.start(), TERM_MS.end());
        problems.push(Problem::new("term_ms", term_ms, allowed));
    }
    if log.parse::<LevelFilter>().is_err() {
        problems.push(Problem::new("log", log, "off, error, warn, info, debug or trace"));
    }
    problems
}

/// The exit code for how a process ended, with the error's causes on standard error.
pub fn ended(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => Exit::Done.into(),
        Err(e) => {
            eprintln!("error: {e:#}");
            Exit::Failed.into()
        }
    }
}
