//! `corianderyoke revoke`: revokes a key permanently.

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

/// Revoke a key permanently
#[derive(Debug, Parser)]
#[command(name = "revoke")]
struct Options {
    /// Name of the key, not its secret
    key: String,
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
    let author = context.author(format!("revoke {}", options.key));
    let applied = commands::revoke(&context.platform, &options.key, &author).await?;
    shared::change_outcome(context, options.wait, &applied).await
}
