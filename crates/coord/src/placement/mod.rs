//! Placement: which upstream holds which model, decided in the table before any order is sent.
//!
//! The [`Planner`] is the state machine of the placement home. It learns of waiting requests
//! ([`Planner::report_demand`]), of what upstreams hold ([`Planner::probe_replied`]) and of the register
//! ([`Planner::configure`]); [`Planner::poll`] returns the [`Effect`]s that the driver carries out,
//! and their outcomes come back by [`Planner::commit_completed`] and [`Planner::order_completed`].
//!
//! One row of table `intents` stands for each replica that may exist. A load order leaves only
//! after its row is known to be in the table, and the row goes only when no load order for it can
//! have an effect any more: on an upstream that checks fencing tokens when its state shows a token
//! at least as new as the unload's, on any other when each sender named in the row has had all its
//! orders answered or is known to have ended. All commits replace the sequence row on the condition
//! that it is unchanged, so decisions of several planners form one order whoever believes to be
//! home, and the bytes of all rows of an upstream never exceed its memory.
//!
//! [`catalog`] holds what the register says, [`row`] what the table holds, [`ledger`] the intents with
//! their memory accounts, [`keep_alive`] the keep-alive rule, [`choice`] the choice of upstream;
//! `commands` and `queries` are the two sides of the planner. `steps` puts a commit together from
//! what `settle`, `release` and `place` want written, and sends the orders that the table covers.

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

/// Errors of placement.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A row of table `intents` isn't in this version's format.
    #[error("row {key} of table intents can't be read, repair or delete it: {cause}")]
    Row {
        /// Row key.
        key: String,
        /// What the parser said.
        cause: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;
