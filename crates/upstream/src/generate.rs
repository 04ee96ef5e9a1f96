//! Streamed answers of engines.
//!
//! An answer is whole only with its terminal marker, and only if every chunk carries the id of the
//! request. Anything else ends the stream with an error that says how many tokens came, so that the
//! caller can resume elsewhere; the connection isn't used again.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::stream;
use futures::stream::BoxStream;
use futures::StreamExt;
use reqwest::Response;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::chunk::Chunk;
use crate::chunk::Refusal;
use crate::chunk::TERMINAL;
use crate::client::read_body;
use crate::error::describe;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Outcome;
use crate::error::Result;
use crate::error::Wait;
use crate::headers;
use crate::headers::Headers;
use crate::sse;
use crate::Client;

/// Name of the header that carries the request's id.
pub const REQUEST_ID: &str = "x-request-id";
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
/// Longest time for the end of a body after its terminal marker.
const END_TIMEOUT: Duration = Duration::from_millis(50);

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
#[derive(Clone, Debug)]
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
        let answer = Answer {
            client: Arc::clone(self),
            address,
            deadline: Instant::now() + request.first_timeout,
            decoder: sse::Decoder::new(self.settings.line_bytes),
            ready: VecDeque::new(),
            fault: None,
            request,
            response: None,
            tokens: 0,
            end: None,
            over: false,
        };
        stream::unfold(answer, Answer::step).boxed()
    }
}

/// An answer while it comes.
struct Answer {
    client: Arc<Client>,
    address: SocketAddr,
    request: Request,
    response: Option<Response>,
    decoder: sse::Decoder,
    /// Events decoded and not handed out yet.
    ready: VecDeque<Event>,
    /// What ends the stream once `ready` is handed out.
    fault: Option<Error>,
    /// Tokens decoded; all of them are handed out before an error.
    tokens: u32,
    deadline: Instant,
    /// Reason and usage, once the last chunk came.
    end: Option<(String, Usage)>,
    over: bool,
}

impl Answer {
    async fn step(mut self) -> Option<(Result<Event>, Self)> {
        if self.over {
            return None;
        }
        if self.tokens > 0 {
            // The time that the caller took with the token before isn't the engine's.
            self.deadline = Instant::now() + self.request.next_timeout;
        }
        let result = self.next().await;
        self.over = !matches!(result, Ok(Event::Token(_)));
        if let Err(error) = &result {
            // Dropping the response before its end closes the connection.
            self.response = None;
            if matches!(error.kind, Kind::Timeout(_)) {
                self.client.discard(self.address);
            }
        }
        Some((result, self))
    }

    async fn next(&mut self) -> Result<Event> {
        if self.response.is_none() {
            let response = self.open().await?;
            self.response = Some(response);
        }
        loop {
            if let Some(event) = self.ready.pop_front() {
                if matches!(event, Event::Done { .. }) {
                    self.finish().await;
                }
                return Ok(event);
            }
            if let Some(fault) = self.fault.take() {
                return Err(fault);
            }
            let bytes = self.read().await?;
            self.fault = self.decode(&bytes).err();
        }
    }

    /// Sends the request and checks the head of the answer.
    async fn open(&self) -> Result<Response> {
        let sent = timeout_at(self.deadline, self.send()?.send()).await;
        let response = match sent {
            Err(_) => return Err(Error::unknown(Kind::Timeout(Wait::First))),
            Ok(Err(error)) => return Err(Error::of_send(&error)),
            Ok(Ok(response)) => response,
        };
        if !response.status().is_success() {
            return Err(self.refusal(response).await);
        }
        match echo(&response) {
            Some(found) if found == self.request.id => Ok(response),
            found => {
                Err(Error::unknown(Kind::Crossed { found: found.unwrap_or_default().to_owned() }))
            }
        }
    }

    fn send(&self) -> Result<reqwest::RequestBuilder> {
        let request = &self.request;
        let (path, prompt, messages) = match &request.prompt {
            Prompt::Text(text) => ("/v1/completions", Some(text.as_str()), None),
            Prompt::Chat(turns) => ("/v1/chat/completions", None, Some(turns.as_slice())),
        };
        let sampling = request.sampling.iter();
        let body = Body {
            model: &request.model,
            stream: true,
            adapter: request.adapter.as_deref(),
            prompt,
            messages,
            max_tokens: request.max_tokens,
            priority: request.priority,
            resume_from: request.resume_from,
            sampling: sampling
                .filter(|(name, _)| SAMPLING_FIELDS.contains(&name.as_str()))
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        };
        let url = format!("http://{}{path}", self.address);
        let mut builder = self.client.pool(self.address)?.post(url);
        for (name, value) in headers::for_upstream(&request.headers) {
            // The body's type is ours to say; the two are one only by chance.
            if name != "content-type" && name != "accept" {
                builder = builder.header(name, value);
            }
        }
        Ok(builder.header(REQUEST_ID, &request.id).json(&body))
    }

    /// The error of an answer that isn't a stream.
    async fn refusal(&self, response: Response) -> Error {
        let status = response.status().as_u16();
        let echoed = match echo(&response) {
            Some(found) if found != self.request.id => {
                return Error::unknown(Kind::Crossed { found: found.to_owned() });
            }
            found => found.is_some(),
        };
        let body = timeout_at(self.deadline, read_body(response, self.client.settings.body_bytes));
        let body = body.await.unwrap_or(Ok(Vec::new())).unwrap_or_default();
        let code = serde_json::from_slice::<Refusal>(&body).unwrap_or_default().error.code;
        // These are given before any work; another status may come from work that failed, and
        // without an echo of the id the refusal may be another request's.
        let outcome = match status {
            400 | 404 | 409 | 413 | 422 | 429 | 503 if echoed => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        let kind = match code.as_str() {
            "not_loaded" if status == 404 => Kind::NotLoaded,
            _ => Kind::Refused { status, code },
        };
        Error { kind, tokens: 0, outcome }
    }

    async fn read(&mut self) -> Result<bytes::Bytes> {
        let wait = if self.tokens == 0 { Wait::First } else { Wait::Next };
        let Some(response) = self.response.as_mut() else {
            return Err(self.fail(Kind::Truncated));
        };
        let read = timeout_at(self.deadline, response.chunk()).await;
        match read {
            Err(_) => Err(self.fail(Kind::Timeout(wait))),
            Ok(Err(error)) => Err(self.fail(Kind::Broken(describe(&error)))),
            Ok(Ok(None)) => Err(self.fail(Kind::Truncated)),
            Ok(Ok(Some(bytes))) => Ok(bytes),
        }
    }

    /// Decodes bytes; the tokens before a fault among them are still handed out first.
    fn decode(&mut self, bytes: &[u8]) -> Result<()> {
        let mut events = Vec::new();
        let decoded = self.decoder.push(bytes, &mut events);
        for data in events {
            self.take(&data)?;
        }
        decoded.map_err(|error| match error {
            sse::Error::TooLong { limit } => self.fail(Kind::TooLong { limit }),
            sse::Error::Encoding => self.fail(Kind::Malformed(error.to_string())),
        })
    }

    /// Takes the data of one event.
    fn take(&mut self, data: &str) -> Result<()> {
        if matches!(self.ready.back(), Some(Event::Done { .. })) {
            return Ok(());
        }
        if data == TERMINAL {
            return self.take_end();
        }
        let chunk = serde_json::from_str::<Chunk>(data)
            .map_err(|error| self.fail(Kind::Malformed(error.to_string())))?;
        if chunk.id != self.request.id {
            return Err(self.fail(Kind::Crossed { found: chunk.id }));
        }
        if self.end.is_some() {
            return Err(self.fail(Kind::Malformed("a chunk after the last one".to_owned())));
        }
        let usage = chunk.usage.unwrap_or_default();
        for choice in chunk.choices {
            if let Some(reason) = &choice.finish_reason {
                self.end = Some((reason.clone(), usage));
            }
            if let Some(token) = choice.into_token() {
                if self.held() >= self.request.max_tokens {
                    let text = "more tokens than were asked for".to_owned();
                    return Err(self.fail(Kind::Malformed(text)));
                }
                self.tokens += 1;
                self.deadline = Instant::now() + self.request.next_timeout;
                self.ready.push_back(Event::Token(token));
            }
        }
        Ok(())
    }

    /// Takes the terminal marker, which is good only after a last chunk that accounts for every
    /// token.
    fn take_end(&mut self) -> Result<()> {
        let Some((reason, usage)) = self.end.take() else {
            return Err(self.fail(Kind::Truncated));
        };
        let whole = self.held();
        if usage.completion_tokens != whole {
            let text = format!("{} tokens announced, {whole} came", usage.completion_tokens);
            return Err(self.fail(Kind::Malformed(text)));
        }
        self.ready.push_back(Event::Done { usage, reason });
        Ok(())
    }

    /// Reads the end of the body, so that the connection can be used again.
    async fn finish(&mut self) {
        if let Some(mut response) = self.response.take() {
            let _ = timeout(END_TIMEOUT, response.chunk()).await;
        }
    }

    /// Tokens of the whole answer that the caller holds or will be handed.
    fn held(&self) -> u32 {
        self.request.resume_from.saturating_add(self.tokens)
    }

    fn fail(&self, kind: Kind) -> Error {
        let outcome = if self.tokens > 0 { Outcome::Ran } else { Outcome::Unknown };
        Error { kind, tokens: self.tokens, outcome }
    }
}

/// The request id that an answer echoes.
pub(crate) fn echo(response: &Response) -> Option<&str> {
    response.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok())
}
