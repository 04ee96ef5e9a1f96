//! `corianderyoke diff`: what `apply` would change.

use std::path::PathBuf;

use clap::ArgMatches;
use clap::Command;
use clap::CommandFactory;
use clap::FromArgMatches;
use clap::Parser;
use corianderyoke::ops::config::queries;
use serde_json::json;

use super::shared;
use crate::context::Context;
use crate::outcome::Outcome;

/// Show what applying the files would change
#[derive(Debug, Parser)]
#[command(name = "diff")]
struct Options {
    /// Files to compare with the configuration in force
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

/// Definition of the subcommand's arguments.
pub fn cli() -> Command {
    Options::command()
}

/// Runs the subcommand.
pub async fn exec(context: &Context, matches: &ArgMatches) -> anyhow::Result<Outcome> {
    let options = Options::from_arg_matches(matches)?;
    let document = shared::read_files(&options.files)?;
    let changes = queries::changes(&context.platform, &document).await?;
    let text =
        if changes.is_empty() { "no changes\n".into() } else { shared::change_table(&changes) };
    Ok(Outcome::new(text, &json!({ "changes": changes })))
}
