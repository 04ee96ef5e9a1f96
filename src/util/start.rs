//! What all daemons' command lines have in common.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::util::exit::Exit;
use crate::util::settings;

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

/// Reads the settings that `options` name; `None` where they only were to be checked.
///
/// # Errors
///
/// The exit code, after all problems were written to standard error.
pub fn settings<T>(options: &Options) -> Result<Option<T>, Exit>
where
    T: Default + DeserializeOwned + Serialize,
{
    let read = options.config.as_deref().map_or_else(|| Ok(T::default()), settings::load);
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
