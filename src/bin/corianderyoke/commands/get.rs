//! `corianderyoke get`: shows the configuration in force.

use clap::ArgMatches;
use clap::Command;
use clap::CommandFactory;
use clap::FromArgMatches;
use clap::Parser;
use corianderyoke::ops::config;
use corianderyoke::ops::config::queries;
use corianderyoke_coord::register::document;
use corianderyoke_coord::register::Address;
use corianderyoke_coord::register::Entries;
use corianderyoke_coord::register::Entry;
use indexmap::IndexMap;
use serde_json::json;

use crate::context::Context;
use crate::outcome::Outcome;

/// Show the configuration in force as TOML, or one entry of it
#[derive(Debug, Parser)]
#[command(name = "get")]
struct Options {
    /// One entry, such as team/depots
    #[arg(value_name = "KIND/NAME")]
    address: Option<String>,
}

/// Definition of the subcommand's arguments.
pub fn cli() -> Command {
    Options::command()
}

/// Runs the subcommand.
pub async fn exec(context: &Context, matches: &ArgMatches) -> anyhow::Result<Outcome> {
    let options = Options::from_arg_matches(matches)?;
    let mut snapshot = queries::snapshot(&context.platform).await?.ensure_decoded()?;
    if let Some(address) = &options.address {
        snapshot.entries = select_entry(&snapshot.entries, address)?;
    }
    let entries = snapshot.entries.iter();
    let entries: IndexMap<String, _> =
        entries.map(|(address, entry)| (address.to_string(), entry.to_value())).collect();
    let text = format!("# revision {}\n{}", snapshot.revision, document::write(&snapshot.entries));
    Ok(Outcome::new(text, &json!({ "revision": snapshot.revision, "entries": entries })))
}

fn select_entry(entries: &Entries, address: &str) -> config::Result<Entries> {
    let address: Address = address.parse()?;
    let entry: Option<&Entry> = entries.get(&address);
    match entry {
        Some(entry) => Ok(Entries::from([(address, entry.clone())])),
        None => Err(config::Error::Missing { kind: address.kind.name(), name: address.name }),
    }
}
