//! `corianderyoke explain`: where a router would send a request now, and why.

use clap::ArgMatches;
use clap::Command;
use clap::CommandFactory;
use clap::FromArgMatches;
use clap::Parser;
use corianderyoke::ops::config::members;

use crate::context::Context;
use crate::outcome::Outcome;

/// Show where a router would send a team's request for a model now, and why
#[derive(Debug, Parser)]
#[command(name = "explain")]
struct Options {
    /// The team
    team: String,
    /// A model or an adapter
    model: String,
    /// Operators' address of the router; by default that of a live one
    #[arg(long, value_name = "IP:PORT")]
    router: Option<String>,
}

/// Definition of the subcommand's arguments.
pub fn cli() -> Command {
    Options::command()
}

/// Runs the subcommand.
pub async fn exec(context: &Context, matches: &ArgMatches) -> anyhow::Result<Outcome> {
    let options = Options::from_arg_matches(matches)?;
    let router = options.router.as_deref();
    let platform = &context.platform;
    let answer = members::explain(platform, router, &options.team, &options.model).await?;
    Ok(Outcome::new(format!("{answer:#}\n"), &answer))
}
