//! Typed events of a run, and the checkers that read them.
//!
//! Processes write [`Event`]s through a [`Recorder`], one JSON object per line. [`History`] reads
//! them and merges them by the machine's monotonic clock. [`checks`] has a module for each
//! invariant, and [`linear`] has models of the shared rows for a linearizability checker.
//! [`check_file`] runs all checkers and returns a [`Report`].

#![forbid(unsafe_code)]

pub mod checks;
mod event;
mod history;
pub mod linear;
mod recorder;
mod report;

pub use event::CallOutcome;
pub use event::Ending;
pub use event::Event;
pub use event::Record;
pub use event::Replica;
pub use history::Bounds;
pub use history::Error;
pub use history::History;
pub use history::Result;
pub use recorder::Recorder;
pub use report::check;
pub use report::check_file;
pub use report::Findings;
pub use report::Property;
pub use report::Report;
pub use report::Violation;
