//! `corianderyoke issue-key`: issues a key for a team.

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

/// Issue a key for a team; its secret is shown once and never stored
#[derive(Debug, Parser)]
#[command(name = "issue-key")]
struct Options {
    /// The team
    team: String,
    /// Name of the key; generated if not given
    #[arg(long)]
    name: Option<String>,
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
    let author = context.author(format!("issue-key {}", options.team));
    let name = options.name.as_deref();
    let issued = commands::issue_key(&context.platform, &options.team, name, &author).await?;
    let text = format!(
        "accepted as revision {}\nkey {}\nsecret {}\n",
        issued.revision, issued.key, issued.secret
    );
    shared::complete(context, options.wait, issued.revision, Outcome::new(text, &issued)).await
}
