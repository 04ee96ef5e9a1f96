//! Sends a completion request and decodes its response stream.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reqwest::header::CONTENT_TYPE;
use reqwest::Response;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio::time::Instant;

use super::echoed_id;
use super::Event;
use super::Prompt;
use super::Request;
use super::Usage;
use super::REQUEST_ID;
use crate::chunk::error_code;
use crate::chunk::Chunk;
use crate::chunk::DONE_MARKER;
use crate::client::read_body;
use crate::error::describe;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Outcome;
use crate::error::Result;
use crate::error::TimeoutPhase;
use crate::headers;
use crate::sse;
use crate::Client;

/// Timeout for the end of the body after the end marker.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// A response in progress; the request is sent when the first event is requested.
pub(super) struct ResponseStream {
    client: Arc<Client>,
    address: SocketAddr,
    request: Request,
    response: Option<Response>,
    decoder: sse::Decoder,
    /// Decoded events that weren't returned yet.
    pending: VecDeque<Event>,
    /// Error to return after the `pending` events.
    failure: Option<Error>,
    /// Number of decoded tokens; all are returned before an error.
    tokens: u32,
    deadline: Instant,
    /// Finish reason and usage, set by the last chunk.
    last_chunk: Option<(String, Usage)>,
    finished: bool,
}

impl ResponseStream {
    pub fn new(client: Arc<Client>, address: SocketAddr, request: Request) -> Self {
        ResponseStream {
            address,
            deadline: Instant::now() + request.first_timeout,
            decoder: sse::Decoder::new(client.settings.line_bytes),
            pending: VecDeque::new(),
            failure: None,
            client,
            request,
            response: None,
            tokens: 0,
            last_chunk: None,
            finished: false,
        }
    }

    /// Returns the next event, or `None` after the end.
    pub async fn next_event(mut self) -> Option<(Result<Event>, Self)> {
        if self.finished {
            return None;
        }
        if self.tokens > 0 {
            // Time that the caller spends on a token doesn't count against the engine.
            self.deadline = Instant::now() + self.request.next_timeout;
        }
        let result = self.receive_event().await;
        self.finished = !matches!(result, Ok(Event::Token(_)));
        if let Err(error) = &result {
            // Dropping an unfinished response closes its connection.
            self.response = None;
            if matches!(error.kind, Kind::Timeout(_)) {
                self.client.discard(self.address);
            }
        }
        Some((result, self))
    }

    async fn receive_event(&mut self) -> Result<Event> {
        if self.response.is_none() {
            let response = self.send_request().await?;
            self.response = Some(response);
        }
        loop {
            if let Some(event) = self.pending.pop_front() {
                if matches!(event, Event::Done { .. }) {
                    self.drain_body().await;
                }
                return Ok(event);
            }
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
            let bytes = self.read_chunk().await?;
            self.failure = self.decode(&bytes).err();
        }
    }

    /// Sends the request and checks the status and request id of the response.
    async fn send_request(&self) -> Result<Response> {
        let sent = timeout_at(self.deadline, self.build_request()?.send()).await;
        let response = match sent {
            Err(_) => return Err(Error::unknown(Kind::Timeout(TimeoutPhase::First))),
            Ok(Err(error)) => return Err(Error::from_transport(&error)),
            Ok(Ok(response)) => response,
        };
        if !response.status().is_success() {
            return Err(self.status_error(response).await);
        }
        match echoed_id(&response) {
            Some(found) if found == self.request.id => Ok(response),
            found => Err(Error::unknown(Kind::crossed(found.unwrap_or_default()))),
        }
    }

    fn build_request(&self) -> Result<reqwest::RequestBuilder> {
        let request = &self.request;
        let path = match request.prompt {
            Prompt::Text(_) => "/v1/completions",
            Prompt::Chat(_) => "/v1/chat/completions",
        };
        let body = request.body()?;
        let mut forwarded = headers::for_upstream(&request.headers);
        // Engines always get a JSON body, whatever types the caller sent or accepts.
        forwarded.retain(|name, _| name != "content-type" && name != "accept");
        if request.contains_secret(&body, &forwarded) {
            let text = "it carries the caller's key, take it out".to_owned();
            return Err(Error::not_run(Kind::Invalid(text)));
        }
        let url = format!("http://{}{path}", self.address);
        let mut builder = self.client.connections(self.address, &request.id)?.post(url);
        for (name, value) in forwarded {
            builder = builder.header(name, value);
        }
        let builder = builder.header(REQUEST_ID, &request.id);
        Ok(builder.header(CONTENT_TYPE, "application/json").body(body))
    }

    /// Converts a response with an error status into an error.
    async fn status_error(&self, response: Response) -> Error {
        let status = response.status().as_u16();
        let has_id = match echoed_id(&response) {
            Some(found) if found != self.request.id => {
                return Error::unknown(Kind::crossed(found));
            }
            found => found.is_some(),
        };
        let body = timeout_at(self.deadline, read_body(response, self.client.settings.body_bytes));
        let body = body.await.unwrap_or(Ok(Vec::new())).unwrap_or_default();
        let code = error_code(&body);
        // Engines reject with these statuses before any work. Other statuses may stem from failed
        // work, and a response without the request id may belong to another request. One with the
        // id belongs to this sending, since its connection hasn't carried the id before.
        let outcome = match status {
            400 | 404 | 409 | 413 | 422 | 429 | 503 if has_id => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        let kind = match code.as_str() {
            "not_loaded" if status == 404 => Kind::NotLoaded,
            _ => Kind::Refused { status, code },
        };
        Error { kind, tokens: 0, outcome }
    }

    async fn read_chunk(&mut self) -> Result<bytes::Bytes> {
        let phase = if self.tokens == 0 { TimeoutPhase::First } else { TimeoutPhase::Next };
        let Some(response) = self.response.as_mut() else {
            return Err(self.error(Kind::Truncated));
        };
        let read = timeout_at(self.deadline, response.chunk()).await;
        match read {
            Err(_) => Err(self.error(Kind::Timeout(phase))),
            Ok(Err(error)) => Err(self.error(Kind::Broken(describe(&error)))),
            Ok(Ok(None)) => Err(self.error(Kind::Truncated)),
            Ok(Ok(Some(bytes))) => Ok(bytes),
        }
    }

    /// Decodes bytes. Events before an error are added to `pending`.
    fn decode(&mut self, bytes: &[u8]) -> Result<()> {
        let mut events = Vec::new();
        let decoded = self.decoder.push(bytes, &mut events);
        for data in events {
            self.process_event(&data)?;
        }
        decoded.map_err(|error| match error {
            sse::Error::TooLong { limit } => self.error(Kind::TooLong { limit }),
            sse::Error::Encoding => self.error(Kind::malformed(&error)),
        })
    }

    /// Processes the data of one event.
    fn process_event(&mut self, data: &str) -> Result<()> {
        if matches!(self.pending.back(), Some(Event::Done { .. })) {
            return Ok(());
        }
        if data == DONE_MARKER {
            return self.process_done();
        }
        let chunk = serde_json::from_str::<Chunk>(data)
            .map_err(|error| self.error(Kind::malformed(&error)))?;
        if chunk.id != self.request.id {
            return Err(self.error(Kind::crossed(&chunk.id)));
        }
        if self.last_chunk.is_some() {
            return Err(self.error(Kind::Malformed("a chunk after the last one".to_owned())));
        }
        let usage = chunk.usage.unwrap_or_default();
        for choice in chunk.choices {
            if let Some(reason) = &choice.finish_reason {
                self.last_chunk = Some((reason.clone(), usage));
            }
            if let Some(token) = choice.into_token() {
                if self.total_tokens() >= self.request.max_tokens {
                    let text = "more tokens than were asked for".to_owned();
                    return Err(self.error(Kind::Malformed(text)));
                }
                self.tokens += 1;
                self.deadline = Instant::now() + self.request.next_timeout;
                self.pending.push_back(Event::Token(token));
            }
        }
        Ok(())
    }

    /// Processes the end marker, which is valid only after a last chunk whose usage counts every
    /// token.
    fn process_done(&mut self) -> Result<()> {
        let Some((reason, usage)) = self.last_chunk.take() else {
            return Err(self.error(Kind::Truncated));
        };
        let total = self.total_tokens();
        if usage.completion_tokens != total {
            let text = format!("{} tokens announced, {total} came", usage.completion_tokens);
            return Err(self.error(Kind::Malformed(text)));
        }
        self.pending.push_back(Event::Done { usage, reason });
        Ok(())
    }

    /// Reads the end of the body, so that the connection can be reused.
    async fn drain_body(&mut self) {
        if let Some(mut response) = self.response.take() {
            let _ = timeout(DRAIN_TIMEOUT, response.chunk()).await;
        }
    }

    /// Tokens of the whole completion so far, including those before `resume_from`.
    fn total_tokens(&self) -> u32 {
        self.request.resume_from.saturating_add(self.tokens)
    }

    /// Creates an error; once a token was decoded, the request is known to have run.
    fn error(&self, kind: Kind) -> Error {
        let outcome = if self.tokens > 0 { Outcome::Ran } else { Outcome::Unknown };
        Error { kind, tokens: self.tokens, outcome }
    }
}
