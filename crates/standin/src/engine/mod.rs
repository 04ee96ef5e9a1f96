//! A stand-in for a model engine: an HTTP server behind a [`relay`](crate::relay), through which
//! network faults are injected.
//!
//! [`batch`] limits concurrency and slows generation as the batch grows. [`models`] accounts for
//! memory and applies orders. [`weights`] is the store that engines load from. [`generate`] streams
//! the tokens that [`tokens`] defines. [`faults`] holds the injected faults and [`ledger`] records
//! requests and orders.
//!
//! Lock order: faults, models, batch, jobs, ledger. No lock is held across an await.

pub mod batch;
pub mod faults;
mod generate;
pub mod ledger;
pub mod load;
pub mod models;
mod requests;
mod routes;
mod server;
pub mod settings;
pub mod tokens;
pub mod weights;

pub use faults::Fault;
pub use faults::Reply;
pub use ledger::Ledger;
pub use server::serve;
pub use server::Error;
pub use server::Result;
pub use server::Running;
pub use settings::Settings;
pub use tokens::answer;
pub use tokens::token;
pub use weights::WeightStore;
