//! What members say to each other, and what the machine wants done.

use std::sync::Arc;
use std::time::Duration;

use super::MemberId;
use super::StoreOp;
use super::View;

/// A request to a peer; the driver adds who sent it.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Asks for an acknowledgement.
    Ping {
        /// The sender's epoch.
        epoch: u64,
    },
    /// Asks for a promise not to remove the sender.
    Promise {
        /// The sender's epoch.
        epoch: u64,
        /// Number of the sender's round.
        round: u64,
    },
    /// Asks for consent to remove a member.
    Consent {
        /// The sender's epoch.
        epoch: u64,
        /// The member to remove.
        member: MemberId,
        /// Version of its row that the sender watched; 0 when it has none.
        version: u64,
    },
    /// Tells the sender's view and asks for what the receiver holds of things that moved.
    Inventory {
        /// The sender's view.
        view: Arc<View>,
    },
}

/// What a process has acknowledged, part of every reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ack {
    /// Who replies.
    pub id: MemberId,
    /// The epoch that it has taken up; 0 for none.
    pub epoch: u64,
    /// Whether none of its promises from before that epoch is outstanding.
    pub clear: bool,
    /// How long this incarnation has been up.
    pub uptime: Duration,
}

/// A reply.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// What the replier has acknowledged.
    pub ack: Ack,
    /// The epoch that the sender held when it asked.
    pub request_epoch: u64,
    /// Its view, when it's newer than the sender's.
    pub view: Option<Arc<View>>,
    /// The answer itself.
    pub body: ReplyBody,
}

/// The answer itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyBody {
    /// To a ping.
    Ping,
    /// To a request for a promise.
    Promise {
        /// The round asked for.
        round: u64,
        /// Whether it's given.
        given: bool,
    },
    /// To a request for consent.
    Consent {
        /// The member to remove.
        member: MemberId,
        /// Version of its row.
        version: u64,
        /// Whether it's given.
        given: bool,
    },
    /// To a request for inventory.
    Inventory,
}

/// Why a machine ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndReason {
    /// It left as told.
    Left,
    /// Others removed it, or a newer process took its name.
    Removed,
    /// It could hear no half of its view and left.
    Isolated,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Access the store and hand the answer to [`super::Machine::on_store_answer`] with `id`.
    Store {
        /// Number of the access.
        id: u64,
        /// The access.
        op: StoreOp,
    },
    /// Send a request to the process at `address` and hand its reply to
    /// [`super::Machine::on_reply`].
    Send {
        /// Peer address, `ip:port`.
        address: String,
        /// The request.
        request: Request,
    },
    /// A newer view was taken up.
    Adopted(Arc<View>),
    /// Every member of the view with this epoch has acknowledged it.
    Settled(u64),
    /// The machine has ended and does nothing more.
    Ended(EndReason),
}
