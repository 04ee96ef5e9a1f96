//! Helpers of several subcommands: reading files, formatting changes, waiting for members.

use std::path::PathBuf;

use anyhow::Context as _;
use clap::Args;
use corianderyoke::ops::config;
use corianderyoke::ops::config::members;
use corianderyoke::ops::config::members::Report;
use corianderyoke::ops::config::Applied;
use corianderyoke::util::exit::Exit;
use corianderyoke::util::table::Table;
use corianderyoke_coord::register::document::Document;
use corianderyoke_coord::register::Change;
use corianderyoke_coord::register::Revision;
use serde_json::json;
use serde_json::Value;

use crate::context::Context;
use crate::outcome::Outcome;

/// Whether to wait until a change is in force.
#[derive(Args, Clone, Copy, Debug)]
pub struct Wait {
    /// Return when every live member has the revision
    #[arg(long)]
    pub wait: bool,
}

/// Reads the files of a configuration; the error lists all problems found in them.
pub fn read_files(files: &[PathBuf]) -> anyhow::Result<Document> {
    let mut document = Document::default();
    let mut problems = Vec::new();
    for file in files {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("failed to read {name}; give the files of a configuration"))?;
        problems.extend(document.read(&name, &text));
    }
    if !problems.is_empty() {
        return Err(config::Error::Problems(problems).into());
    }
    Ok(document)
}

/// Formats changes as a table with one line per changed field.
pub fn change_table(changes: &[Change]) -> String {
    let mut table = Table::new(["ENTRY", "FIELD", "BEFORE", "AFTER"]);
    for change in changes {
        match (&change.before, &change.after) {
            (Some(before), Some(after)) => add_fields(&mut table, &change.address, before, after),
            (None, _) => table.row([change.address.clone(), "-".into(), "-".into(), "new".into()]),
            (_, None) => {
                table.row([change.address.clone(), "-".into(), "there".into(), "removed".into()])
            }
        }
    }
    table.to_string()
}

fn add_fields(table: &mut Table, address: &str, before: &Value, after: &Value) {
    let Value::Object(after) = after else { return };
    for (field, new) in after {
        let old = before.get(field).unwrap_or(&Value::Null);
        if old != new {
            table.row([address.to_owned(), field.clone(), old.to_string(), new.to_string()]);
        }
    }
}

/// The outcome of an accepted change, after waiting for the members if requested.
pub async fn change_outcome(
    context: &Context,
    wait: Wait,
    applied: &Applied,
) -> anyhow::Result<Outcome> {
    let text = if applied.changes.is_empty() {
        format!("nothing to change at revision {}\n", applied.revision)
    } else {
        format!("accepted as revision {}\n{}", applied.revision, change_table(&applied.changes))
    };
    complete(context, wait, applied.revision, Outcome::new(text, applied)).await
}

/// Completes the outcome of an accepted change: tells the members, and waits for all of them if
/// requested.
pub async fn complete(
    context: &Context,
    wait: Wait,
    revision: Revision,
    outcome: Outcome,
) -> anyhow::Result<Outcome> {
    let confirmed = members::confirm(&context.platform, revision, members::CONFIRM_LIMIT).await;
    if wait.wait {
        return wait_for_members(context, revision, outcome).await;
    }
    let remark = match confirmed {
        Ok(true) => return Ok(outcome),
        Ok(false) => "no member has it yet; `corianderyoke status` shows when one has\n".to_owned(),
        Err(error) => format!("failed to tell the members: {error}\n"),
    };
    Ok(Outcome { text: outcome.text + &remark, ..outcome })
}

/// Waits until the live members have `revision` in force, and adds those that lag to `outcome`.
pub async fn wait_for_members(
    context: &Context,
    revision: Revision,
    outcome: Outcome,
) -> anyhow::Result<Outcome> {
    let reports = match members::wait(&context.platform, revision, context.wait).await {
        Ok(reports) => reports,
        Err(error) => {
            let text = format!("{}failed to list the members: {error}\n", outcome.text);
            return Ok(Outcome { text, exit: Exit::Lagging, ..outcome });
        }
    };
    let lagging: Vec<&Report> = reports.iter().filter(|report| report.lags(revision)).collect();
    let (summary, exit) = if reports.is_empty() {
        ("no member is live\n".to_owned(), Exit::Done)
    } else if lagging.is_empty() {
        (format!("in force on all {} members\n", reports.len()), Exit::Done)
    } else {
        let names: Vec<&str> = lagging.iter().map(|report| report.name.as_str()).collect();
        (format!("not in force on: {}\n", names.join(", ")), Exit::Lagging)
    };
    let mut json = outcome.json;
    json["lagging"] = json!(lagging);
    Ok(Outcome { text: outcome.text + &summary, json, exit })
}
