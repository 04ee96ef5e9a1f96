//! Streamed completions of engines.
//!
//! A response is complete only if it ends with the end marker and every chunk carries the request's
//! id. Any other end is an error with the number of tokens received, so that the caller can resume
//! on another engine; the connection isn't reused.

mod request;
mod response;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::stream;
use futures::stream::BoxStream;
use futures::StreamExt;
use reqwest::Response;
use serde::Deserialize;
use serde::Serialize;

pub use self::request::Message;
pub use self::request::Prompt;
pub use self::request::Request;
pub use self::request::SAMPLING_FIELDS;
use self::response::ResponseStream;
use crate::error::Result;
use crate::Client;

/// Header with the request id.
pub const REQUEST_ID: &str = "x-request-id";

/// Token counts of a response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole completion, including those before `resume_from`.
    pub completion_tokens: u32,
}

/// One event of a response stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Text of the next token.
    Token(String),
    /// End of a complete response.
    Done {
        /// Token counts.
        usage: Usage,
        /// Finish reason, such as `stop` or `length`.
        reason: String,
    },
}

/// Events of one response: tokens, then [`Event::Done`] or an error. Dropping the stream before its
/// end closes the connection, which cancels the request.
pub type Events = BoxStream<'static, Result<Event>>;

impl Client {
    /// Returns the response stream of a request to the engine at `address`. The first poll sends
    /// the request.
    pub fn generate(self: &Arc<Self>, address: SocketAddr, request: Request) -> Events {
        let response = ResponseStream::new(Arc::clone(self), address, request);
        stream::unfold(response, ResponseStream::next_event).boxed()
    }
}

/// Returns the request id in the response headers.
pub(crate) fn echoed_id(response: &Response) -> Option<&str> {
    response.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok())
}
