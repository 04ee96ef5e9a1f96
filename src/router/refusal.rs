//! Refusals: the error responses that callers get.

use std::time::Duration;

use corianderyoke_history::CallOutcome;
use corianderyoke_upstream::Outcome as UpstreamOutcome;
use serde::Serialize;
use serde_json::json;

/// Whether a refused request ran at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request didn't run: nothing was sent, or upstreams rejected it before any work.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, but its answer isn't available.
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

impl From<UpstreamOutcome> for Outcome {
    fn from(outcome: UpstreamOutcome) -> Outcome {
        match outcome {
            UpstreamOutcome::NotRun => Outcome::NotRun,
            UpstreamOutcome::Unknown => Outcome::Unknown,
            UpstreamOutcome::Ran => Outcome::Ran,
        }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed or has an invalid field.
    BadRequest,
    /// The key is missing, unknown or revoked.
    Unauthorized,
    /// The team is no longer registered.
    Forbidden,
    /// The path, model or service doesn't exist for this team.
    NotFound,
    /// The path exists, but not for this method.
    MethodNotAllowed,
    /// The body didn't arrive in time.
    RequestTimeout,
    /// Another call with the same idempotency key is in progress.
    Conflict,
    /// The body is larger than allowed.
    TooLarge,
    /// The idempotency key was used for another request.
    KeyReused,
    /// Too many headers, or headers that are too long.
    HeadersTooLarge,
    /// The team's rate and burst are exhausted.
    OverLimit,
    /// The router has no memory for the request.
    NoMemory,
    /// The request can't be served before its deadline.
    Overloaded,
    /// The router's lease has expired, its register is stale, or a service it needs is unreachable.
    Unavailable,
    /// No upstream returned a complete answer.
    UpstreamFailed,
    /// Whether an at-most-once call ran is unknown.
    OutcomeUnknown,
    /// The router is shutting down and refuses new requests.
    Leaving,
}

impl Code {
    /// The HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Code::BadRequest => 400,
            Code::Unauthorized => 401,
            Code::Forbidden => 403,
            Code::NotFound => 404,
            Code::MethodNotAllowed => 405,
            Code::RequestTimeout => 408,
            Code::Conflict => 409,
            Code::TooLarge => 413,
            Code::KeyReused => 422,
            Code::OverLimit => 429,
            Code::HeadersTooLarge => 431,
            Code::UpstreamFailed => 502,
            Code::NoMemory | Code::Overloaded | Code::Unavailable | Code::Leaving => 503,
            Code::OutcomeUnknown => 504,
        }
    }

    /// The code in snake case, as in responses and metrics.
    pub fn label(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(label)) => label,
            _ => String::new(),
        }
    }
}

/// An error response to a caller.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Error code, which also determines the HTTP status.
    pub code: Code,
    /// Cause and remedy for the caller, starting in lower case.
    pub message: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Delay after which a retry may succeed; `None` if waiting doesn't help.
    pub retry: Option<Duration>,
    /// Id of the request; empty until one is assigned.
    pub id: String,
}

/// Result of a step of serving a request.
pub type Result<T> = std::result::Result<T, Refusal>;

impl Refusal {
    /// Creates a refusal of a request that didn't run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Refusal {
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry: None,
            id: String::new(),
        }
    }

    /// Creates a refusal of a request whose handling failed inside the router.
    pub fn lost() -> Self {
        let refusal = Refusal::not_run(Code::UpstreamFailed, "the answer was lost in the router");
        refusal.with_outcome(Outcome::Unknown)
    }

    /// Sets the outcome.
    pub fn with_outcome(self, outcome: Outcome) -> Self {
        Refusal { outcome, ..self }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry(self, wait: Duration) -> Self {
        Refusal { retry: Some(wait), ..self }
    }

    /// Sets the id of the request.
    pub fn with_id(self, id: &str) -> Self {
        Refusal { id: id.to_owned(), ..self }
    }

    /// Whole seconds of the delay, for the header `retry-after`. Rounded up, so that a caller that
    /// honors the header doesn't retry too early.
    pub fn retry_seconds(&self) -> Option<u128> {
        self.retry.map(|wait| wait.as_millis().div_ceil(1000).max(1))
    }

    /// The response body, as JSON text.
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
