//! Effects that the planner requests from its driver, and the outcomes that the driver reports
//! back.

use crate::keys::ModelKey;
use crate::keys::UpstreamKey;
use crate::time::Tick;

use super::row::IntentRow;
use super::row::RowKey;

/// Key of a replica: a model on an upstream.
pub type ReplicaKey = (ModelKey, UpstreamKey);

/// An action for the driver to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Scan table `intents`, then call [`super::Planner::adopt`] or
    /// [`super::Planner::scan_failed`].
    Scan,
    /// Run a transaction, then call [`super::Planner::commit_completed`].
    Commit(ChangeSet),
    /// Send an order if the member's lease is still valid, then call
    /// [`super::Planner::order_completed`].
    Order(Order),
    /// Request an upstream's state, then call [`super::Planner::probe_replied`] or
    /// [`super::Planner::probe_failed`].
    Probe {
        /// The upstream.
        upstream: UpstreamKey,
        /// When the probe was requested; copied into [`super::ProbeReply::sent_at`].
        sent_at: Tick,
    },
}

/// A transaction on table `intents`, conditional on the view row and on the sequence row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeSet {
    /// Identifier, unique within this planner.
    pub id: u64,
    /// Required version of the sequence row; `None` requires that the row doesn't exist.
    pub expected_version: Option<u64>,
    /// Fencing token of this commit.
    pub fence: u64,
    /// Rows to write.
    pub puts: Vec<IntentRow>,
    /// Rows to delete.
    pub deletes: Vec<RowKey>,
    /// Reason for each written or deleted row, one line each, for the audit trail. The texts are
    /// stored in the decision rows, so they stay as they are.
    pub reasons: Vec<String>,
}

impl ChangeSet {
    /// Whether the row for `model` on `upstream` is written or deleted.
    pub fn touches(&self, model: &str, upstream: &str) -> bool {
        let put = self.puts.iter().any(|row| row.model == model && row.upstream == upstream);
        put || self.deletes.iter().any(|key| key.model == model && key.upstream == upstream)
    }

    /// Adds a row with this commit's token, unless its key is written or deleted already.
    pub(super) fn put(&mut self, row: IntentRow, reason: &str) {
        if self.touches(&row.model, &row.upstream) {
            return;
        }
        self.reasons.push(format!("{}: {:?}, {reason}", row.key(), row.phase));
        self.puts.push(IntentRow { fence: self.fence, ..row });
    }

    pub(super) fn delete(&mut self, row: IntentRow, reason: &str) {
        if self.touches(&row.model, &row.upstream) {
            return;
        }
        // Stored text: "forgotten" says that the row is deleted.
        self.reasons.push(format!("{}: forgotten, {reason}", row.key()));
        self.deletes.push(row.key());
    }
}

/// Outcome of a [`ChangeSet`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The transaction took effect and gave the sequence row this version.
    Committed(u64),
    /// A condition failed; nothing was written.
    Conflict,
    /// The store's response was lost, so the transaction may have taken effect.
    Unknown,
    /// It wasn't run: the member's lease had expired, or the store was unavailable or rejected the
    /// request.
    Unsent,
}

/// Operation of an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Op {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// An order to an upstream. Repeating it has no further effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// Identifier, unique within this planner.
    pub id: u64,
    /// Operation to carry out.
    pub op: Op,
    /// The model.
    pub model: ModelKey,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Memory reserved for the replica, in bytes.
    pub bytes: u64,
    /// Newest fencing token that the planner knew when it sent the order.
    pub fence: u64,
}

/// Outcome of an [`Order`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The upstream accepted it.
    Accepted,
    /// The upstream has seen a newer fencing token.
    StaleFence,
    /// The upstream rejected it because its memory doesn't suffice.
    Overcommit,
    /// The upstream rejected it for another reason.
    Refused,
    /// It was never sent: the member's lease had expired or no connection could be made.
    Unsent,
    /// There was no response; the order may still arrive.
    Lost,
}
