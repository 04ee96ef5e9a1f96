//! Response bodies.

use bytes::Bytes;
use corianderyoke_util::memory;
use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;

/// Error that ends a truncated body. It closes the connection, so that the caller doesn't take the
/// body for a complete one.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("response body was truncated")]
pub struct Truncated;

/// Error of reading a body into a buffer.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The buffer takes no more.
    #[error(transparent)]
    Buffer(#[from] memory::Error),
    /// The connection failed before the body was complete.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, Truncated>;

/// Creates a body from complete bytes.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body from a stream of frames.
pub fn streamed<S>(stream: S) -> Body
where
    S: Stream<Item = Result<Frame<Bytes>, Truncated>> + Send + 'static,
{
    StreamBody::new(stream).boxed_unsync()
}
