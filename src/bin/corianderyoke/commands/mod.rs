//! The subcommands, one per file, each with a `cli` and an `exec` function.

mod apply;
mod audit;
mod check;
mod diff;
mod drain;
mod explain;
mod get;
mod issue_key;
mod restore;
mod revoke;
mod shared;
mod status;

use clap::ArgMatches;
use clap::Command;

use crate::context::Context;
use crate::outcome::Outcome;

/// All subcommands.
pub fn all() -> Vec<Command> {
    vec![
        check::cli(),
        diff::cli(),
        apply::cli(),
        get::cli(),
        status::cli(),
        drain::cli(),
        restore::cli(),
        revoke::cli(),
        issue_key::cli(),
        audit::cli(),
        explain::cli(),
    ]
}

/// Runs the subcommand `name`.
pub async fn exec(
    context: &Context,
    name: &str,
    json: bool,
    matches: &ArgMatches,
) -> anyhow::Result<Outcome> {
    match name {
        "check" => check::exec(matches),
        "diff" => diff::exec(context, matches).await,
        "apply" => apply::exec(context, matches).await,
        "get" => get::exec(context, matches).await,
        "status" => status::exec(context, matches).await,
        "drain" => drain::exec(context, matches).await,
        "restore" => restore::exec(context, matches).await,
        "revoke" => revoke::exec(context, matches).await,
        "issue-key" => issue_key::exec(context, matches).await,
        "audit" => audit::exec(context, json, matches).await,
        "explain" => explain::exec(context, matches).await,
        other => anyhow::bail!("no subcommand `{other}`; see --help"),
    }
}
