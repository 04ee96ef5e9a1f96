//! The one process of an instance: it serves callers and the directory, forwards requests to
//! engines, tells the other daemons of itself, and holds the lease on orders where it is its turn.

#![forbid(unsafe_code)]

mod accept;
mod body;
mod call;
mod directory;
mod forward;
mod front;
mod joining;
mod metrics;
mod orders;
mod peers;
mod pool;
mod refusal;
mod run;
pub mod settings;
mod state;
mod watch;

pub use run::run;
