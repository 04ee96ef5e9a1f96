//! Requests to engines, and their bodies.

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

/// Sampling fields of a caller's body that pass on to an engine.
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
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// What the engine continues.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Prompt {
    /// A text, for `/v1/completions`.
    Text(String),
    /// A chat, for `/v1/chat/completions`.
    Chat(Vec<Message>),
}

impl Default for Prompt {
    fn default() -> Self {
        Prompt::Text(String::new())
    }
}

/// A request to an engine.
#[derive(Clone)]
pub struct Request {
    /// Id that every chunk must echo.
    pub id: String,
    /// Model.
    pub model: String,
    /// Adapter.
    pub adapter: Option<String>,
    /// What to continue.
    pub prompt: Prompt,
    /// Most tokens of the whole answer, those before `resume_from` included.
    pub max_tokens: u32,
    /// Priority; higher goes first.
    pub priority: i32,
    /// Tokens of the answer that the caller holds already.
    pub resume_from: u32,
    /// Other fields of the caller's body; only [`SAMPLING_FIELDS`] pass.
    pub sampling: Map<String, Value>,
    /// The caller's headers; only the listed ones pass.
    pub headers: Headers,
    /// The caller's key. A request that carries it anywhere isn't sent; empty means that there is
    /// none.
    pub secret: String,
    /// Longest time to the first token.
    pub first_timeout: Duration,
    /// Longest time between two tokens.
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

/// Body of a request, in the engine's format.
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
    pub(super) fn carries_secret(&self, body: &[u8], passed: &Headers) -> bool {
        let texts = [self.id.as_bytes(), body].into_iter();
        let mut texts = texts.chain(passed.values().map(String::as_bytes));
        texts.any(|text| headers::holds(text, &self.secret))
    }

    /// The body in the engine's format.
    pub(super) fn body(&self) -> Result<Vec<u8>> {
        let (prompt, messages) = match &self.prompt {
            Prompt::Text(text) => (Some(text.as_str()), None),
            Prompt::Chat(turns) => (None, Some(turns.as_slice())),
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
