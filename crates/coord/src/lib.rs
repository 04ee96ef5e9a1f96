//! Coordination parts for serving systems, as state machines without input or output.
//!
//! Nothing in this crate opens a socket, reads a clock or starts a thread. A driver passes the
//! time in as a [`time::Tick`], hands over what arrived, and carries out the typed effects that
//! come back. Several instances can therefore be driven against each other in a test, with
//! messages lost, doubled, late and reordered.

#![forbid(unsafe_code)]

pub mod dispatch;
pub mod entry;
mod hash;
pub mod idempotency;
pub mod keys;
pub mod membership;
pub mod placement;
pub mod pools;
pub mod register;
pub mod serving;
pub mod time;
