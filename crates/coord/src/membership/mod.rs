//! Lease-based group membership and ownership of resources.
//!
//! The platform's table service holds one view row (an epoch and its members) and one row per
//! member. [`Machine`] is the state machine of one process: it renews its own row, monitors the
//! rows of the other members, changes the view by conditional writes and replies to its peers. A
//! driver carries out its [`Effect`]s.
//!
//! Each resource ([`Kind`] and name) has one home: the member that owns it in the newest view and
//! alone may serve it.
//!
//! * [`MemberLease`]: how long this member may act, counted from before a renewal was sent.
//! * [`FailureDetector`]: which members' rows haven't changed for longer than a lease.
//! * [`Promises`]: promises granted not to remove a member, and consents to remove one.
//! * [`Homes`]: which resources this member owns, and whether it may serve them.
//!
//! Safety follows from three rules:
//!
//! 1. A promise or consent holds for one epoch only and takes effect with a majority of that view.
//!    No member grants both for the same incarnation at the same time.
//! 2. A view may change only after a majority of the previous view has acknowledged it. An
//!    acknowledgement counts only once the promises that its sender granted earlier have expired.
//!    A promise therefore outlives the view that it was granted in by at most one epoch, and the
//!    view of that epoch can't change while the promise is outstanding.
//! 3. The new home of a resource serves it once every member of its view has acknowledged exactly
//!    that epoch. By acknowledging, a member stops serving the resources that it no longer owns.

mod commands;
mod detector;
mod homes;
mod lease;
mod message;
mod promises;
mod queries;
mod settings;
mod state;
mod store;
mod view;

pub use detector::FailureDetector;
pub use homes::HomeState;
pub use homes::Homes;
pub use lease::MemberLease;
pub use message::Ack;
pub use message::Effect;
pub use message::EndReason;
pub use message::Reply;
pub use message::ReplyBody;
pub use message::Request;
pub use promises::Promises;
pub use settings::Settings;
pub use state::Machine;
pub use state::Stage;
pub use store::MemberRow;
pub use store::RowState;
pub use store::StoreAnswer;
pub use store::StoreOp;
pub use store::VersionedRow;
pub use view::Kind;
pub use view::Member;
pub use view::MemberId;
pub use view::Role;
pub use view::View;
