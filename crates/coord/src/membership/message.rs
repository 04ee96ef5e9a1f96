//! Messages between members, and effects that the state machine requests from its driver.

use std::sync::Arc;
use std::time::Duration;

use super::MemberId;
use super::StoreOp;
use super::View;

/// A request to a peer. The driver adds the sender's identity.
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
        /// Sequence number of the sender's round of requests.
        round: u64,
    },
    /// Asks for consent to remove a member.
    Consent {
        /// The sender's epoch.
        epoch: u64,
        /// The member to remove.
        member: MemberId,
        /// Version at which the sender saw the member's row stop changing; `u64::MAX` if the row is
        /// missing.
        version: u64,
    },
    /// Sends the sender's view and asks for the receiver's state of the resources that moved.
    Inventory {
        /// The sender's view.
        view: Arc<View>,
    },
}

/// Acknowledgement of the newest view that a process has adopted. Part of every reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ack {
    /// The replying process.
    pub id: MemberId,
    /// Epoch of its view; 0 if it has none.
    pub epoch: u64,
    /// Whether no promise from before that epoch is outstanding, neither granted nor received.
    pub clear: bool,
    /// Time since this incarnation started.
    pub uptime: Duration,
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Acknowledgement of the replying process.
    pub ack: Ack,
    /// Epoch of the request that this replies to.
    pub request_epoch: u64,
    /// View of the replying process, if newer than the request's.
    pub view: Option<Arc<View>>,
    /// Result of the request.
    pub body: ReplyBody,
}

/// Result of a request, by kind of request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyBody {
    /// Reply to [`Request::Ping`].
    Ping,
    /// Reply to [`Request::Promise`].
    Promise {
        /// Round of the request.
        round: u64,
        /// Whether the promise is granted.
        given: bool,
    },
    /// Reply to [`Request::Consent`].
    Consent {
        /// The member to remove.
        member: MemberId,
        /// Row version of the request.
        version: u64,
        /// Whether the consent is granted.
        given: bool,
    },
    /// Reply to [`Request::Inventory`].
    Inventory,
}

/// Why the state machine ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndReason {
    /// The driver made it leave.
    Left,
    /// Other members removed it, or a newer incarnation replaced it.
    Removed,
    /// It left because a majority of the live members was unreachable.
    Isolated,
}

/// An action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Access the store and pass the answer to [`super::Machine::on_store_answer`] with `id`.
    Store {
        /// Identifies the access in the answer.
        id: u64,
        /// The access.
        op: StoreOp,
    },
    /// Send a request to the process at `address` and pass its reply to
    /// [`super::Machine::on_reply`].
    Send {
        /// Peer address, `ip:port`.
        address: String,
        /// The request.
        request: Request,
    },
    /// A newer view was adopted.
    Adopted(Arc<View>),
    /// Every member of the view with this epoch has acknowledged it.
    Settled(u64),
    /// The machine has ended and does nothing more.
    Ended(EndReason),
}
