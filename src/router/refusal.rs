//! Refusals: what a caller is told when its request isn't served.

use std::io::Cursor;
use std::time::Duration;

use corianderyoke_history::CallOutcome;
use corianderyoke_upstream::Outcome as Sent;
use rocket::http::ContentType;
use rocket::http::Header;
use rocket::http::Status;
use rocket::response::Responder;
use rocket::Request;
use rocket::Response;
use serde::Serialize;
use serde_json::json;

/// What became of the work behind a refused request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the call left for an upstream.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, but the answer can't be given.
    Ran,
}

impl From<Outcome> for CallOutcome {
    fn from(outcome: Outcome) -> CallOutcome {
        match outcome {
            Outcome::NotRun => CallOutcome::NotRun,
            Outcome::Unknown => CallOutcome::Unknown,
            Outcome::Ran => CallOutcome::Ran,
        }
    }
}

impl From<Sent> for Outcome {
    fn from(outcome: Sent) -> Outcome {
        match outcome {
            Sent::NotRun => Outcome::NotRun,
            Sent::Unknown => Outcome::Unknown,
            Sent::Ran => Outcome::Ran,
        }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The body isn't the JSON that the call takes.
    BadRequest,
    /// No key, an unknown one or a revoked one.
    Unauthorized,
    /// The team may not use what it asked for.
    Forbidden,
    /// The path, model or service doesn't exist for this team.
    NotFound,
    /// The path exists with another method.
    MethodNotAllowed,
    /// The body came too slowly.
    RequestTimeout,
    /// The idempotency key is in use for a call that is still open.
    Conflict,
    /// The body is larger than allowed.
    TooLarge,
    /// The idempotency key was used with another body.
    KeyReused,
    /// Too many headers, or headers that are too long.
    HeadersTooLarge,
    /// The team's rate and burst are used up.
    OverLimit,
    /// The request can't be served before its deadline.
    Overloaded,
    /// The router can't know what is in force, or a part it needs is away.
    Unavailable,
    /// The upstream gave no whole answer.
    UpstreamFailed,
    /// The outcome of a call that may not be repeated isn't known.
    OutcomeUnknown,
    /// The router leaves and takes no new requests.
    Leaving,
}

impl Code {
    fn status(self) -> Status {
        match self {
            Code::BadRequest => Status::BadRequest,
            Code::Unauthorized => Status::Unauthorized,
            Code::Forbidden => Status::Forbidden,
            Code::NotFound => Status::NotFound,
            Code::MethodNotAllowed => Status::MethodNotAllowed,
            Code::RequestTimeout => Status::RequestTimeout,
            Code::Conflict => Status::Conflict,
            Code::TooLarge => Status::PayloadTooLarge,
            Code::KeyReused => Status::UnprocessableEntity,
            Code::HeadersTooLarge => Status::RequestHeaderFieldsTooLarge,
            Code::OverLimit => Status::TooManyRequests,
            Code::Overloaded | Code::Unavailable | Code::Leaving => Status::ServiceUnavailable,
            Code::UpstreamFailed => Status::BadGateway,
            Code::OutcomeUnknown => Status::GatewayTimeout,
        }
    }

    /// The code as callers and metrics see it.
    pub fn label(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(label)) => label,
            _ => String::new(),
        }
    }
}

/// One refusal, ready to be sent.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// What the caller should know and do, in lower case.
    pub message: String,
    /// What became of the work.
    pub outcome: Outcome,
    /// How long a wait helps, if it does.
    pub retry: Option<Duration>,
    /// Id of the request, empty where none was given yet.
    pub id: String,
}

/// Result of the router's steps.
pub type Result<T> = std::result::Result<T, Refusal>;

impl Refusal {
    /// A refusal of a request of which nothing left for an upstream.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Refusal {
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry: None,
            id: String::new(),
        }
    }

    /// The same refusal with another outcome.
    pub fn with_outcome(self, outcome: Outcome) -> Self {
        Refusal { outcome, ..self }
    }

    /// The same refusal with a wait that helps.
    pub fn with_retry(self, wait: Duration) -> Self {
        Refusal { retry: Some(wait), ..self }
    }

    /// The same refusal for request `id`.
    pub fn with_id(self, id: &str) -> Self {
        Refusal { id: id.to_owned(), ..self }
    }

    /// The refusal as the JSON text that callers get.
    pub fn body(&self) -> String {
        let error = json!({
            "code": self.code,
            "message": self.message,
            "outcome": self.outcome,
            "request_id": self.id,
        });
        json!({ "error": error }).to_string()
    }
}

impl<'r> Responder<'r, 'static> for Refusal {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let body = self.body();
        let mut answer = Response::build();
        answer.status(self.code.status());
        answer.header(ContentType::JSON);
        answer.header(Header::new("x-request-id", self.id.clone()));
        if let Some(wait) = self.retry {
            // Rounded up: a caller that waits as told must not come too early.
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            answer.header(Header::new("retry-after", seconds.to_string()));
        }
        answer.sized_body(body.len(), Cursor::new(body)).ok()
    }
}
