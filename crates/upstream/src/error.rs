//! Errors of calls to upstreams, and whether the failed call ran.

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of an upstream's text in an error, in characters.
const MAX_QUOTE_CHARS: usize = 128;

/// Whether a failed call ran at its upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It didn't run: nothing was sent, or the upstream rejected it before any work.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, at least in part.
    Ran,
}

/// Part of a response that didn't arrive in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimeoutPhase {
    /// The first token, or the response headers.
    First,
    /// The next token.
    Next,
    /// The rest of the response body.
    Body,
}

/// Cause of a failed call.
///
/// The texts may contain what the upstream sent, so they are for logs; [`Kind::summary`] is for
/// callers.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Kind {
    /// The connection couldn't be opened.
    #[error("can't connect, try another upstream: {0}")]
    Connect(String),
    /// The connection failed after it was opened.
    #[error("the connection broke, resume on a new one: {0}")]
    Broken(String),
    /// A timeout expired; the connection is closed.
    #[error("no progress in time while waiting for {0:?}, resume on a new connection")]
    Timeout(TimeoutPhase),
    /// The response ended before its end marker, or its end can't be detected.
    #[error("the answer ended without its terminal marker, resume on a new connection")]
    Truncated,
    /// The response carries the id of another request.
    #[error("the answer is that of request `{found}`, discard it and ask again")]
    Crossed {
        /// Request id in the response; empty if absent.
        found: String,
    },
    /// The response violates the protocol.
    #[error("the answer can't be understood, see the upstream's version: {0}")]
    Malformed(String),
    /// The response exceeds a limit of the settings.
    #[error("the answer exceeds {limit} bytes, raise the limit or ask for less")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The model or adapter isn't loaded.
    #[error("the model isn't loaded, load it first")]
    NotLoaded,
    /// The upstream rejected the call.
    #[error("the upstream refused with {status} `{code}`, try another one")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Error code in the body; empty if there is none.
        code: String,
    },
    /// The request contains the caller's key, or isn't valid HTTP.
    #[error("the request can't be sent, mend it: {0}")]
    Invalid(String),
}

impl Kind {
    /// The cause for a response with the id `found` in place of the request's.
    pub(crate) fn crossed(found: &str) -> Self {
        Kind::Crossed { found: quote(found) }
    }

    /// The cause for a response that can't be decoded.
    pub(crate) fn malformed(error: &impl ToString) -> Self {
        Kind::Malformed(quote(&error.to_string()))
    }

    /// Text for callers, without addresses and without anything that the upstream sent.
    pub fn summary(&self) -> String {
        match self {
            Kind::Connect(_) => "no connection could be opened".to_owned(),
            Kind::Broken(_) => "the connection broke".to_owned(),
            Kind::Crossed { .. } => "the answer was that of another request".to_owned(),
            Kind::Malformed(_) => "the answer can't be understood".to_owned(),
            Kind::Refused { status, .. } => format!("the upstream refused with status {status}"),
            kind => kind.to_string(),
        }
    }
}

/// A failed call.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{kind} ({tokens} tokens came, outcome {outcome:?})")]
pub struct Error {
    /// Cause.
    #[source]
    pub kind: Kind,
    /// Tokens received before the error; 0 for calls that aren't streamed.
    pub tokens: u32,
    /// Whether the upstream ran the call.
    pub outcome: Outcome,
}

/// Result of a call to an upstream.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates the error of a call that didn't run.
    pub(crate) fn not_run(kind: Kind) -> Self {
        Error { kind, tokens: 0, outcome: Outcome::NotRun }
    }

    /// Creates the error of a call that may have run.
    pub(crate) fn unknown(kind: Kind) -> Self {
        Error { kind, tokens: 0, outcome: Outcome::Unknown }
    }

    /// Converts a transport error that occurred before the response headers arrived.
    pub(crate) fn from_transport(error: &reqwest::Error) -> Self {
        let text = describe(error);
        if error.is_connect() {
            return Error::not_run(Kind::Connect(text));
        }
        if error.is_builder() {
            return Error::not_run(Kind::Invalid(text));
        }
        Error::unknown(Kind::Broken(text))
    }
}

/// Shortens a text that an upstream sent and takes out control characters, which could forge a line
/// of the log.
pub(crate) fn quote(text: &str) -> String {
    text.chars().filter(|char| !char.is_control()).take(MAX_QUOTE_CHARS).collect()
}

/// Formats the error and its causes on one line.
pub(crate) fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
