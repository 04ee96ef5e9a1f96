//! A stand-in of a model engine.
//!
//! An HTTP server sits behind a [`relay`](crate::relay), which the faults of the network use.
//! [`batch`] bounds what runs at once and makes each token cost more while more runs, [`models`]
//! accounts memory and carries out orders, [`weights`] is the store that engines load from,
//! [`generate`] produces the tokens of [`tokens`], [`faults`] holds what a test ordered, and
//! [`ledger`] what happened. Lock order: faults, models, batch, jobs, ledger; no lock is held over
//! an await.

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
pub use ledger::Ledger;
pub use server::serve;
pub use server::Error;
pub use server::Result;
pub use server::Running;
pub use settings::Settings;
pub use tokens::answer;
pub use tokens::token;
pub use weights::WeightStore;
