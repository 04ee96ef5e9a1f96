//! Placement: which upstream holds which model, decided in the table before any order is sent.
//!
//! The [`Planner`] is the state machine of the placement home. It learns of waiting requests
//! ([`Planner::wake`]), of what upstreams hold ([`Planner::observed`]) and of the register
//! ([`Planner::configure`]); [`Planner::poll`] returns the [`Effect`]s that the driver carries out,
//! and their outcomes come back by [`Planner::committed`] and [`Planner::answered`].
//!
//! One row of table `intents` stands for each replica that may exist. A load order leaves only
//! after its row is known to be in the table, and the row goes only when no load order for it can
//! have an effect any more: on an upstream that checks fencing tokens when its state shows a token
//! at least as new as the unload's, on any other when each sender named in the row has had all its
//! orders answered or is known to have ended. All commits replace the sequence row on the condition
//! that it is unchanged, so decisions of several planners form one order whoever believes to be
//! home, and the bytes of all rows of an upstream never exceed its memory.
//!
//! [`facts`] holds what the register says, [`row`] what the table holds, [`ledger`] the intents with
//! their memory accounts, [`gaps`] the keep-alive rule, [`choice`] the choice of upstream;
//! `commands` and `queries` are the two sides of the planner. `steps` puts a commit together from
//! what `settle`, `release` and `place` want written, and sends the orders that the table covers.

pub mod adapters;
pub mod choice;
mod commands;
pub mod demand;
pub mod effects;
pub mod facts;
pub mod gaps;
pub mod ledger;
pub mod observe;
mod place;
mod planner;
mod queries;
mod release;
pub mod row;
pub mod settings;
mod settle;
mod steps;

pub use effects::Answer;
pub use effects::Change;
pub use effects::Effect;
pub use effects::Op;
pub use effects::Order;
pub use effects::Outcome;
pub use facts::Facts;
pub use facts::Model;
pub use facts::Tier;
pub use facts::Upstream;
pub use observe::Held;
pub use observe::Observation;
pub use observe::Standing;
pub use planner::Planner;
pub use queries::Replica;
pub use row::IntentRow;
pub use row::Phase;
pub use row::Sequence;
pub use row::TableView;
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
