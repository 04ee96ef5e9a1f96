//! Open-loop load: a seed fixes all arrivals ahead, and each is sent on time whether or not earlier
//! requests have completed.
//!
//! [`schedule`] draws the arrivals, [`target`] sends one request and judges its response, and
//! [`drive`](mod@drive) sends each arrival when it is due. Latency counts from the scheduled time,
//! so a system that stalls is charged for the requests that it delays (no coordinated omission).

pub mod baseline;
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
