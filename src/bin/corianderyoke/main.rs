//! The operators' command line: checks, applies and shows the configuration.
//!
//! Exit codes are those of [`corianderyoke::util::exit`].

#![forbid(unsafe_code)]

mod cli;
mod commands;
mod context;
mod outcome;

use std::process::ExitCode;

use clap::FromArgMatches;
use corianderyoke::util::exit::Exit;

use crate::cli::Global;
use crate::context::Context;
use crate::outcome::Outcome;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = cli::cli().get_matches();
    let global = match Global::from_arg_matches(&matches) {
        Ok(global) => global,
        Err(error) => error.exit(),
    };
    let json = global.json;
    let result = run(global, &matches).await;
    match result {
        Ok(outcome) => outcome.print(json).into(),
        Err(error) => outcome::print_error(&error, json).into(),
    }
}

async fn run(global: Global, matches: &clap::ArgMatches) -> anyhow::Result<Outcome> {
    let check = global.check;
    let json = global.json;
    let context = Context::new(global)?;
    if check {
        return Ok(Outcome::text("the settings are good\n"));
    }
    match matches.subcommand() {
        Some((name, matches)) => commands::exec(&context, name, json, matches).await,
        None => Ok(Outcome { exit: Exit::Usage, ..Outcome::text(cli::cli().render_help()) }),
    }
}
