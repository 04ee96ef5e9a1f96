//! `corianderyoke restore`: returns a drained availability zone to service.

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

/// Return a drained availability zone to service
#[derive(Debug, Parser)]
#[command(name = "restore")]
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
    let author = context.author(format!("restore {}", options.zone));
    let applied = commands::restore(&context.platform, &options.zone, &author).await?;
    shared::change_outcome(context, options.wait, &applied).await
}
