//! `corianderyoke restore`: brings an availability zone back.

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

/// Bring a drained availability zone back
#[derive(Debug, Parser)]
#[command(name = "restore")]
struct Options {
    /// The zone
    zone: String,
    #[command(flatten)]
    wait: Wait,
}

/// The subcommand's command line.
pub fn cli() -> Command {
    Options::command()
}

/// Runs the subcommand.
pub async fn exec(context: &Context, matches: &ArgMatches) -> anyhow::Result<Outcome> {
    let options = Options::from_arg_matches(matches)?;
    let author = context.author(format!("restore {}", options.zone));
    let applied = commands::restore(&context.platform, &options.zone, &author).await?;
    shared::accepted(context, options.wait, &applied).await
}
