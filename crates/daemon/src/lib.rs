//! Daemon, the only process of the project on an instance. It serves callers and the directory,
//! forwards requests to engines and exchanges reports with the other daemons. One daemon at a time
//! holds the lease that permits it to order loads and unloads.

#![forbid(unsafe_code)]

mod accept;
mod body;
mod call;
mod connect;
mod directory;
mod duties;
mod feed;
mod forward;
mod front;
mod joining;
mod meter;
mod metrics;
mod notices;
mod orders;
mod origins;
mod peers;
mod pool;
mod quarantine;
mod reach;
mod refusal;
mod restoration;
mod run;
mod scaling;
pub mod settings;
mod state;
mod watch;

pub use run::run;
