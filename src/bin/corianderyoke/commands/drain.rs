//! `corianderyoke drain`: takes an availability zone out of service.

use clap::ArgMatches;
use clap::Command;
use clap::CommandFactory;
use clap::FromArgMatches;
use clap::Parser;
use corianderyoke::ops::config::commands;

use super::shared;
use super::shared::Wait;
use crate::context::Context;
use crate::outcome::Outcome;

/// Drain an availability zone: it gets no new work
#[derive(Debug, Parser)]
#[command(name = "drain")]
struct Options {
    /// The zone
    zone: String,
    #[command(flatten)]
    wait: Wait,
}

/// Definition of the subcommand's arguments.
pub fn cli() -> Command {
    Options::command()
}

/// Runs the subcommand.
pub async fn exec(context: &Context, matches: &ArgMatches) -> anyhow::Result<Outcome> {
    let options = Options::from_arg_matches(matches)?;
    let author = context.author(format!("drain {}", options.zone));
    let applied = commands::drain(&context.platform, &options.zone, &author).await?;
    shared::change_outcome(context, options.wait, &applied).await
}
