//! Coordination state machines for serving systems, without I/O.
//!
//! Nothing in this crate opens a socket, reads a clock or starts a thread. A driver passes in the
//! current time as a [`time::Tick`] and the messages that arrived, and carries out the typed
//! effects that are returned. A test can therefore run several instances against each other, with
//! messages lost, duplicated, delayed and reordered.

#![forbid(unsafe_code)]

pub mod dispatch;
pub mod entry;
mod hash;
pub mod idempotency;
pub mod keys;
pub mod membership;
pub mod memory;
pub mod placement;
pub mod pools;
pub mod register;
pub mod serving;
pub mod time;
