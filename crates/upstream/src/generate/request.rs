//! Completion requests to engines and their JSON bodies.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::headers;
use crate::headers::Headers;

/// Fields of a caller's body that are forwarded to an engine.
pub const SAMPLING_FIELDS: [&str; 9] = [
    "frequency_penalty",
    "logit_bias",
    "min_p",
    "presence_penalty",
    "response_format",
    "seed",
    "stop",
    "temperature",
    "top_p",
];

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Author of the message, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Input of a completion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Prompt {
    /// Plain text, for `/v1/completions`.
    Text(String),
    /// Chat messages, for `/v1/chat/completions`.
    Chat(Vec<Message>),
}

impl Default for Prompt {
    fn default() -> Self {
        Prompt::Text(String::new())
    }
}

/// A completion request to an engine.
#[derive(Clone)]
pub struct Request {
    /// Request id; every chunk must carry it.
    pub id: String,
    /// Model name.
    pub model: String,
    /// Adapter name; absent for the plain model.
    pub adapter: Option<String>,
    /// Input of the completion.
    pub prompt: Prompt,
    /// Maximum tokens of the whole completion, including those before `resume_from`.
    pub max_tokens: u32,
    /// Scheduling priority; higher runs first.
    pub priority: i32,
    /// Tokens of the completion that the caller already has.
    pub resume_from: u32,
    /// Other fields of the caller's body; only [`SAMPLING_FIELDS`] are forwarded.
    pub sampling: Map<String, Value>,
    /// The caller's headers; only [`headers::REQUEST_HEADERS`] are forwarded.
    pub headers: Headers,
    /// The caller's key, or empty. A request that contains it anywhere isn't sent.
    pub secret: String,
    /// Timeout for the first token.
    pub first_timeout: Duration,
    /// Timeout between two tokens.
    pub next_timeout: Duration,
}

impl Default for Request {
    fn default() -> Self {
        Request {
            id: String::new(),
            model: String::new(),
            adapter: None,
            prompt: Prompt::default(),
            max_tokens: 16,
            priority: 0,
            resume_from: 0,
            sampling: Map::new(),
            headers: Headers::new(),
            secret: String::new(),
            first_timeout: Duration::from_secs(10),
            next_timeout: Duration::from_secs(2),
        }
    }
}

/// JSON body of a request, in the engine's format.
#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    messages: Option<&'a [Message]>,
    max_tokens: u32,
    priority: i32,
    resume_from: u32,
    #[serde(flatten)]
    sampling: Map<String, Value>,
}

impl Request {
    pub(super) fn contains_secret(&self, body: &[u8], forwarded: &Headers) -> bool {
        let texts = [self.id.as_bytes(), body].into_iter();
        let mut texts = texts.chain(forwarded.values().map(String::as_bytes));
        texts.any(|text| headers::contains_secret(text, &self.secret))
    }

    /// Serializes the body in the engine's format.
    pub(super) fn body(&self) -> Result<Vec<u8>> {
        let (prompt, messages) = match &self.prompt {
            Prompt::Text(text) => (Some(text.as_str()), None),
            Prompt::Chat(messages) => (None, Some(messages.as_slice())),
        };
        let mut sampling = self.sampling.clone();
        sampling.retain(|name, _| SAMPLING_FIELDS.contains(&name.as_str()));
        let body = Body {
            model: &self.model,
            stream: true,
            adapter: self.adapter.as_deref(),
            prompt,
            messages,
            max_tokens: self.max_tokens,
            priority: self.priority,
            resume_from: self.resume_from,
            sampling,
        };
        serde_json::to_vec(&body).map_err(|error| Error::not_run(Kind::Invalid(error.to_string())))
    }
}
