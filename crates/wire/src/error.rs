//! Errors of the transport, classified by whether the peer may have handled the request.

/// Errors of a call to a peer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The endpoint can't be set up.
    #[error("the transport can't start, check the address setting: {0}")]
    Setup(String),
    /// No byte of the request reached the peer's handler.
    #[error("the request was not sent and can be retried: {0}")]
    NotSent(String),
    /// The request was sent and no complete response arrived; the peer may have handled it.
    #[error("no response arrived, the request may have been handled: {0}")]
    Unknown(String),
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;
