//! Open-loop load: arrivals are fixed ahead by a seed, and sent on time whatever the answers do.
//!
//! [`schedule`] draws the arrivals, [`target`] says where and how a request is sent, and
//! [`drive`](mod@drive) sends each arrival when it is due. Latency counts from the scheduled time,
//! so a system that stalls is charged for the requests that it delays (no coordinated omission).

pub mod choice;
pub mod drive;
pub mod schedule;
pub mod target;

pub use drive::drive;
pub use drive::Sample;
pub use schedule::Arrival;
pub use schedule::Bursts;
pub use schedule::Profile;
pub use schedule::Stream;
pub use target::Outcome;
pub use target::Target;
