//! `corianderyoke apply`: applies files to the configuration in force.

use std::path::PathBuf;

use clap::ArgMatches;
use clap::Command;
use clap::CommandFactory;
use clap::FromArgMatches;
use clap::Parser;
use corianderyoke::ops::config::commands;
use corianderyoke_coord::register::Revision;

use super::shared;
use super::shared::Wait;
use crate::context::Context;
use crate::outcome::Outcome;

/// Apply files to the configuration, all or nothing
///
/// Kinds without a section in the files stay as they are; an empty section removes all of its
/// kind. Keys are only ever added, drained zones stay drained and revoked keys revoked.
#[derive(Debug, Parser)]
#[command(name = "apply")]
struct Options {
    /// Files to apply
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Fail unless the configuration is at this revision
    #[arg(long, value_name = "REVISION")]
    base: Option<u64>,
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
    let document = shared::read_files(&options.files)?;
    let base = options.base.map(Revision);
    let author = context.author("apply");
    let applied = commands::apply(&context.platform, &document, base, &author).await?;
    shared::change_outcome(context, options.wait, &applied).await
}
