//! Streamed answers of engines.
//!
//! An answer is whole only with its terminal marker, and only if every chunk carries the id of the
//! request. Anything else ends the stream with an error that says how many tokens came, so that the
//! caller can resume elsewhere; the connection isn't used again.

mod answer;
mod request;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::stream;
use futures::stream::BoxStream;
use futures::StreamExt;
use reqwest::Response;
use serde::Deserialize;
use serde::Serialize;

use self::answer::Answer;
pub use self::request::Message;
pub use self::request::Prompt;
pub use self::request::Request;
pub use self::request::SAMPLING_FIELDS;
use crate::error::Result;
use crate::Client;

/// Name of the header that carries the request's id.
pub const REQUEST_ID: &str = "x-request-id";

/// Tokens that an answer took.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer, those before `resume_from` included.
    pub completion_tokens: u32,
}

/// One event of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A token.
    Token(String),
    /// The end of a whole answer.
    Done {
        /// Tokens that it took.
        usage: Usage,
        /// Why it ended, such as `stop` or `length`.
        reason: String,
    },
}

/// Events of one answer: tokens, then either [`Event::Done`] or an error, then nothing. Dropping it
/// closes the connection, which cancels the request.
pub type Events = BoxStream<'static, Result<Event>>;

impl Client {
    /// Sends a request to the engine at `address` once it is polled.
    pub fn generate(self: &Arc<Self>, address: SocketAddr, request: Request) -> Events {
        let answer = Answer::new(Arc::clone(self), address, request);
        stream::unfold(answer, Answer::step).boxed()
    }
}

/// The request id that an answer echoes.
pub(crate) fn echo(response: &Response) -> Option<&str> {
    response.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok())
}
