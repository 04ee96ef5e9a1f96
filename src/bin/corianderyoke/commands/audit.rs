//! `corianderyoke audit`: who changed what, and what the controllers decided.

use std::time::Duration;

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
use tokio::time::Instant;

use super::shared;
use crate::context::Context;
use crate::outcome::Outcome;

/// Time between two polls for new records.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

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
    /// Keep printing new records as they arrive, and retry during outages of the platform
    #[arg(long, conflicts_with = "decisions")]
    follow: bool,
    /// Stop --follow after this many seconds; by default it runs until interrupted
    #[arg(long, requires = "follow", value_name = "SECONDS")]
    seconds: Option<u64>,
}

/// Definition of the subcommand's arguments.
pub fn cli() -> Command {
    Options::command()
}

/// Runs the subcommand.
pub async fn exec(context: &Context, json: bool, matches: &ArgMatches) -> anyhow::Result<Outcome> {
    let options = Options::from_arg_matches(matches)?;
    if options.follow {
        return follow(context, json, &options).await;
    }
    let to = options.to.map(Revision);
    let records = queries::audit(&context.platform, Revision(options.from), to).await?;
    let mut text: String = records.iter().map(format_record).collect();
    let mut value = json!({ "records": records });
    if options.decisions {
        let decisions = queries::decisions(&context.platform).await?;
        text.push_str(&decision_table(&decisions).to_string());
        value["decisions"] = json!(decisions);
    }
    Ok(Outcome::new(text, &value))
}

/// Prints records as they arrive, until the last requested revision or until the time is over.
async fn follow(context: &Context, json: bool, options: &Options) -> anyhow::Result<Outcome> {
    let deadline = options.seconds.map(|seconds| Instant::now() + Duration::from_secs(seconds));
    let mut next = Revision(options.from);
    loop {
        let to = options.to.map(Revision);
        match queries::audit(&context.platform, next, to).await {
            Ok(records) => {
                for record in &records {
                    Outcome::new(format_record(record), record).print(json);
                    next = record.revision.next();
                }
            }
            Err(error) => eprintln!("warning: {error}; trying again"),
        }
        let is_last = to.is_some_and(|to| next > to);
        if is_last || deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            let value = json!({ "next": next });
            return Ok(Outcome::new("", &value));
        }
        tokio::time::sleep(FOLLOW_INTERVAL).await;
    }
}

fn format_record(record: &AuditRecord) -> String {
    format!(
        "revision {} by {} at {} ({}), apply id {}\n{}\n",
        record.revision,
        record.operator,
        utc::format(record.time),
        record.action,
        record.apply,
        shared::change_table(&record.changes)
    )
}

fn decision_table(decisions: &[Decision]) -> Table {
    let mut table = Table::new(["TOKEN", "DECISION"]);
    for decision in decisions {
        table.row([decision.token.clone(), decision.decision.to_string()]);
    }
    table
}
