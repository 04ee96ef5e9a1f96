//! `corianderyoke explain`: where a request would go now, and why.

use clap::ArgMatches;
use clap::Command;
use clap::CommandFactory;
use clap::FromArgMatches;
use clap::Parser;
use corianderyoke::ops::config::members;

use crate::context::Context;
use crate::outcome::Outcome;

/// Ask a router where a request of a team for a model would go now, and why
#[derive(Debug, Parser)]
#[command(name = "explain")]
struct Options {
    /// The team
    team: String,
    /// A model or an adapter
    model: String,
    /// Operators' address of the router; a live one when left out
    #[arg(long, value_name = "IP:PORT")]
    router: Option<String>,
}

/// The subcommand's command line.
pub fn cli() -> Command {
    Options::command()
}

/// Runs the subcommand.
pub async fn exec(context: &Context, matches: &ArgMatches) -> anyhow::Result<Outcome> {
    let options = Options::from_arg_matches(matches)?;
    let router = options.router.as_deref();
    let platform = &context.platform;
    let answer = members::explain(platform, router, &options.team, &options.model).await?;
    Ok(Outcome::of(format!("{answer:#}\n"), &answer))
}
