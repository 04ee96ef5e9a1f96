//! Messages between the system's processes and their QUIC transport.
//!
//! The schemas in `proto/` generate the messages: [`peer`] holds calls between processes, [`word`]
//! the gossip datagrams of daemons. [`Transport`] carries calls over QUIC with mutual TLS. Each
//! process generates a self-signed [`Identity`] at start, publishes its [`Fingerprint`] in its
//! member row and accepts only the fingerprints in its [`Trust`] set.

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
