//! Bodies of answers.

use bytes::Bytes;
use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;

/// A body that ends early closes the connection, so that it doesn't look complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct BrokenOff;

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, BrokenOff>;

/// A body that is there as a whole.
pub fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that comes in pieces.
pub fn pieces<S>(stream: S) -> Body
where
    S: Stream<Item = Result<Frame<Bytes>, BrokenOff>> + Send + 'static,
{
    StreamBody::new(stream).boxed_unsync()
}
