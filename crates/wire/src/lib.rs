//! Messages and transport between the system's own processes.
//!
//! [`peer`] and [`word`] hold the messages, generated from the schemas in `proto/`. [`Transport`]
//! carries those of [`peer`] over QUIC with mutual TLS: each process makes a self-signed
//! [`Identity`] at start, publishes its [`Fingerprint`] in its member row, and accepts only the
//! fingerprints in its [`Trust`] set.

#![forbid(unsafe_code)]

mod error;
mod frame;
mod identity;
mod tls;
mod traffic;
mod transport;
mod trust;

#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
#[path = "generated/peer.rs"]
pub mod peer;

#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
#[path = "generated/word.rs"]
pub mod word;

pub use error::Error;
pub use error::Result;
pub use identity::Fingerprint;
pub use identity::Identity;
pub use traffic::Traffic;
pub use transport::Handler;
pub use transport::PeerAddr;
pub use transport::Transport;
pub use trust::Trust;
