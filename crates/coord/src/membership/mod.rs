//! Who is a member, who is the home of what, and who may act.
//!
//! The platform's table service holds one view row (an epoch and its members) and one row a
//! member. [`Machine`] is one process's part: it renews its row, watches the others' rows, changes
//! the view by conditional writes and answers its peers. A driver carries out its [`Effect`]s.
//!
//! * [`Term`]: how long this member may act, counted from before a renewal was sent.
//! * [`Watch`]: which other rows have stood unchanged for more than a term.
//! * [`Promises`]: promises given not to remove a member, and consents to remove one.
//! * [`Homes`]: what this member is the home of, and whether it serves.
//!
//! Three rules carry the safety of the whole:
//!
//! 1. Promises and consents are given at one epoch only, each needs more than half of that view,
//!    and nobody gives both to one incarnation at a time.
//! 2. A view changes again only once more than half of the one before has acknowledged it, and an
//!    acknowledgement counts only when its giver's earlier promises have lapsed. No promise
//!    therefore outlives the view that it was given in by more than one epoch that doesn't act.
//! 3. A home that moved serves once every member of its view has acknowledged that very epoch; an
//!    acknowledgement ends what its giver served and no longer owns.

mod commands;
mod homes;
mod message;
mod promises;
mod queries;
mod settings;
mod state;
mod store;
mod term;
mod view;
mod watch;

pub use homes::HomeState;
pub use homes::Homes;
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
pub use term::Term;
pub use view::Kind;
pub use view::Member;
pub use view::MemberId;
pub use view::Role;
pub use view::View;
pub use watch::Watch;
