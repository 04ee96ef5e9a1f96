//! `corianderyoke audit`: who changed what, and what the controllers decided.

use clap::ArgMatches;
use clap::Command;
use clap::CommandFactory;
use clap::FromArgMatches;
use clap::Parser;
use corianderyoke::ops::config::queries;
use corianderyoke::ops::config::queries::Decision;
use corianderyoke::ops::config::AuditRecord;
use corianderyoke::util::table::Table;
use corianderyoke::util::utc;
use corianderyoke_coord::register::Revision;
use serde_json::json;

use super::shared;
use crate::context::Context;
use crate::outcome::Outcome;

/// Show every change: operator, time, revision, before and after
#[derive(Debug, Parser)]
#[command(name = "audit")]
struct Options {
    /// First revision
    #[arg(long, default_value_t = 1, value_name = "REVISION")]
    from: u64,
    /// Last revision
    #[arg(long, value_name = "REVISION")]
    to: Option<u64>,
    /// Show the controllers' decisions too
    #[arg(long)]
    decisions: bool,
}

/// The subcommand's command line.
pub fn cli() -> Command {
    Options::command()
}

/// Runs the subcommand.
pub async fn exec(context: &Context, matches: &ArgMatches) -> anyhow::Result<Outcome> {
    let options = Options::from_arg_matches(matches)?;
    let to = options.to.map(Revision);
    let records = queries::audit(&context.platform, Revision(options.from), to).await?;
    let mut text: String = records.iter().map(record).collect();
    let mut value = json!({ "records": records });
    if options.decisions {
        let decisions = queries::decisions(&context.platform).await?;
        text.push_str(&table(&decisions).to_string());
        value["decisions"] = json!(decisions);
    }
    Ok(Outcome::of(text, &value))
}

fn record(record: &AuditRecord) -> String {
    format!(
        "revision {} by {} at {} ({}), apply id {}\n{}\n",
        record.revision,
        record.operator,
        utc::format(record.time),
        record.action,
        record.apply,
        shared::changes(&record.changes)
    )
}

fn table(decisions: &[Decision]) -> Table {
    let mut table = Table::new(["TOKEN", "DECISION"]);
    for decision in decisions {
        table.row([decision.token.clone(), decision.decision.to_string()]);
    }
    table
}
