//! One answer while it comes: its head, its chunks and its end.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reqwest::header::CONTENT_TYPE;
use reqwest::Response;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio::time::Instant;

use super::echo;
use super::Event;
use super::Prompt;
use super::Request;
use super::Usage;
use super::REQUEST_ID;
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
use crate::sse;
use crate::Client;

/// Longest time for the end of a body after its terminal marker.
const END_TIMEOUT: Duration = Duration::from_millis(50);

/// An answer while it comes.
pub(super) struct Answer {
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
    pub fn new(client: Arc<Client>, address: SocketAddr, request: Request) -> Self {
        Answer {
            address,
            deadline: Instant::now() + request.first_timeout,
            decoder: sse::Decoder::new(client.settings.line_bytes),
            ready: VecDeque::new(),
            fault: None,
            client,
            request,
            response: None,
            tokens: 0,
            end: None,
            over: false,
        }
    }

    /// The next event; none after the end.
    pub async fn step(mut self) -> Option<(Result<Event>, Self)> {
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
        let path = match request.prompt {
            Prompt::Text(_) => "/v1/completions",
            Prompt::Chat(_) => "/v1/chat/completions",
        };
        let body = request.body()?;
        let mut passed = headers::for_upstream(&request.headers);
        // The body's type is ours to say, whatever the caller's was.
        passed.retain(|name, _| name != "content-type" && name != "accept");
        if request.carries_secret(&body, &passed) {
            let text = "it carries the caller's key, take it out".to_owned();
            return Err(Error::not_run(Kind::Invalid(text)));
        }
        let url = format!("http://{}{path}", self.address);
        let mut builder = self.client.pool(self.address)?.post(url);
        for (name, value) in passed {
            builder = builder.header(name, value);
        }
        let builder = builder.header(REQUEST_ID, &request.id);
        Ok(builder.header(CONTENT_TYPE, "application/json").body(body))
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
