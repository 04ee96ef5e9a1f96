//! Placement: decides which upstream holds which model, and commits each decision to the table
//! before any order is sent.
//!
//! The [`Planner`] is the state machine of the placement home. Its inputs are demand reports
//! ([`Planner::report_demand`]), probe replies ([`Planner::probe_replied`]) and the register
//! ([`Planner::configure`]). [`Planner::poll`] returns the [`Effect`]s for the driver to carry out;
//! their outcomes are reported by [`Planner::commit_completed`] and [`Planner::order_completed`].
//!
//! Table `intents` has one row for each replica that may exist. A load order is sent only after
//! its row is known to be in the table, and the row is deleted only when no load order for it can
//! still take effect. On an upstream that checks fencing tokens, that is when its state shows a
//! token at least as new as the unload's. On any other upstream, it is when each sender named in
//! the row has all its orders answered or is known to have ended. Every commit replaces the
//! sequence row on condition that the row is unchanged. The decisions of several planners
//! therefore form a single order, whichever of them believes to be home, and the bytes of all rows
//! of an upstream never exceed its memory.
//!
//! [`catalog`] holds the register's entries, [`row`] the table's rows, [`ledger`] the intents with
//! the memory accounts, [`keep_alive`] the rule for idle replicas, [`choice`] the choice of
//! upstream. `commands` takes the planner's inputs and `queries` reads its state. `steps` builds a
//! commit from the changes that `settle`, `release` and `place` propose, and sends the orders that
//! the table covers.

pub mod adapters;
pub mod catalog;
pub mod choice;
mod commands;
pub mod demand;
pub mod effects;
pub mod keep_alive;
pub mod ledger;
mod place;
mod planner;
pub mod probe;
mod queries;
mod release;
pub mod row;
pub mod settings;
mod settle;
mod steps;

pub use catalog::Catalog;
pub use catalog::Model;
pub use catalog::Tier;
pub use catalog::Upstream;
pub use effects::ChangeSet;
pub use effects::CommitOutcome;
pub use effects::Effect;
pub use effects::Op;
pub use effects::Order;
pub use effects::OrderOutcome;
pub use planner::Planner;
pub use probe::ModelState;
pub use probe::ObservedState;
pub use probe::ProbeReply;
pub use queries::Replica;
pub use row::IntentRow;
pub use row::Phase;
pub use row::Sequence;
pub use row::TableSnapshot;
pub use settings::Settings;

/// Error of placement.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A row of table `intents` doesn't have the format of this version.
    #[error("row {key} of table intents can't be read, repair or delete it: {cause}")]
    Row {
        /// Key of the row.
        key: String,
        /// Message of the JSON parser.
        cause: String,
    },
}

/// Result of parsing table `intents`.
pub type Result<T> = std::result::Result<T, Error>;
