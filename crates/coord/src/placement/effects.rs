//! What the planner asks of its driver, and what the driver reports back.

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::row::IntentRow;
use super::row::RowKey;

/// A model on an upstream.
pub type Pair = (ModelKey, UpstreamKey);

/// One thing for the driver to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Scan table `intents` and report it by [`super::Planner::adopt`].
    Scan,
    /// Carry out a transaction and report it by [`super::Planner::commit_completed`].
    Commit(ChangeSet),
    /// Send an order, after checking the term, and report it by [`super::Planner::order_completed`].
    Order(Order),
    /// Ask an upstream's state and report it by [`super::Planner::probe_replied`].
    Probe {
        /// The upstream.
        upstream: UpstreamKey,
        /// When it was asked; goes into the observation.
        sent_at: Tick,
    },
}

/// A transaction on table `intents`, conditional on the view row and on the sequence row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeSet {
    /// Number within this planner.
    pub id: u64,
    /// The sequence row's version that must stand; `None` means that the row must not exist.
    pub expected_version: Option<u64>,
    /// The new fencing token.
    pub fence: u64,
    /// Rows to write.
    pub puts: Vec<IntentRow>,
    /// Rows to delete.
    pub deletes: Vec<RowKey>,
    /// Grounds, a line each, for the audit trail.
    pub reasons: Vec<String>,
}

impl ChangeSet {
    /// Whether a row for `model` on `upstream` is written or deleted.
    pub fn touches(&self, model: &str, upstream: &str) -> bool {
        let put = self.puts.iter().any(|row| row.model == model && row.upstream == upstream);
        put || self.deletes.iter().any(|key| key.model == model && key.upstream == upstream)
    }

    /// Writes a row with this commit's token, unless the commit touches it already.
    pub(super) fn put(&mut self, row: IntentRow, why: &str) {
        if self.touches(&row.model, &row.upstream) {
            return;
        }
        self.reasons.push(format!("{}: {:?}, {why}", row.key(), row.phase));
        self.puts.push(IntentRow { fence: self.fence, ..row });
    }

    pub(super) fn delete(&mut self, row: IntentRow, why: &str) {
        if self.touches(&row.model, &row.upstream) {
            return;
        }
        self.reasons.push(format!("{}: forgotten, {why}", row.key()));
        self.deletes.push(row.key());
    }
}

/// What became of a [`ChangeSet`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// It took effect; the sequence row has this version now.
    Committed(u64),
    /// A condition didn't hold.
    Conflict,
    /// Nobody knows.
    Unknown,
    /// It wasn't sent, because the term had ended or the store refused to work.
    Unsent,
}

/// What an order does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Op {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// An order to an upstream, idempotent for its model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// Number within this planner.
    pub id: u64,
    /// What to do.
    pub op: Op,
    /// The model.
    pub model: ModelKey,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Bytes set aside.
    pub bytes: u64,
    /// Fencing token.
    pub fence: u64,
}

/// What became of an [`Order`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The upstream took it.
    Accepted,
    /// The upstream has seen a newer fencing token.
    StaleFence,
    /// The upstream says that its memory doesn't suffice.
    Overcommit,
    /// The upstream refused it for another reason.
    Refused,
    /// It was never sent: the term had ended or no connection came about.
    Unsent,
    /// No answer came: it may still arrive.
    Lost,
}
