//! `corianderyoke status`: shows the revision in force at each live member.

use clap::ArgMatches;
use clap::Command;
use clap::CommandFactory;
use clap::FromArgMatches;
use clap::Parser;
use corianderyoke::ops::config::members;
use corianderyoke::ops::config::members::Report;
use corianderyoke::ops::config::queries;
use corianderyoke::util::table::Table;
use corianderyoke_coord::register::Revision;
use serde_json::json;

use super::shared;
use super::shared::Wait;
use crate::context::Context;
use crate::outcome::Outcome;

/// Show the newest revision and what each live member has in force
#[derive(Debug, Parser)]
#[command(name = "status")]
struct Options {
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
    let revision = queries::head(&context.platform).await?;
    let reports = members::status(&context.platform).await?;
    let text = format!("revision {revision}\n{}", member_table(&reports, revision));
    let outcome = Outcome::new(text, &json!({ "revision": revision, "members": reports }));
    if options.wait.wait {
        shared::wait_for_members(context, revision, outcome).await
    } else {
        Ok(outcome)
    }
}

fn member_table(reports: &[Report], revision: Revision) -> Table {
    let mut table = Table::new(["MEMBER", "ROLE", "ZONE", "STATE", "REVISION", ""]);
    for report in reports {
        let in_force =
            report.revision.map_or_else(|| "no answer".into(), |revision| revision.to_string());
        let lags = if report.lags(revision) { "lags" } else { "" };
        table.row([
            report.name.clone(),
            report.role.clone(),
            report.zone.clone(),
            report.state.clone(),
            in_force,
            lags.to_owned(),
        ]);
    }
    table
}
