//! Errors of calls to upstreams, and what is known of the call's effect.

use serde::Deserialize;
use serde::Serialize;

/// Whether a failed call ran at its upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It didn't: no byte of it left, or the upstream refused it before any work.
    NotRun,
    /// It may have.
    Unknown,
    /// It did, at least in part.
    Ran,
}

/// What was waited for in vain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wait {
    /// The first token, or the head of an answer.
    First,
    /// The next token.
    Next,
    /// The rest of an answer.
    Body,
}

/// What went wrong.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Kind {
    /// No connection was made.
    #[error("can't connect, try another upstream: {0}")]
    Connect(String),
    /// The connection broke.
    #[error("the connection broke, resume on a new one: {0}")]
    Broken(String),
    /// Nothing came for too long; the connection was discarded.
    #[error("no progress in time while waiting for {0:?}, resume on a new connection")]
    Timeout(Wait),
    /// The answer ended without its terminal marker.
    #[error("the answer ended without its terminal marker, resume on a new connection")]
    Truncated,
    /// The answer belongs to another request.
    #[error("the answer is that of request `{found}`, discard it and ask again")]
    Crossed {
        /// The id that the answer carries.
        found: String,
    },
    /// The answer isn't what the protocol says.
    #[error("the answer can't be understood, see the upstream's version: {0}")]
    Malformed(String),
    /// The answer is longer than the settings allow.
    #[error("the answer exceeds {limit} bytes, raise the limit or ask for less")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The model or adapter isn't loaded.
    #[error("the model isn't loaded, load it first")]
    NotLoaded,
    /// The upstream refused the call.
    #[error("the upstream refused with {status} `{code}`, try another one")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Code in the body, if there was one.
        code: String,
    },
    /// The request holds what mustn't leave, or can't be put in HTTP.
    #[error("the request can't be sent, mend it: {0}")]
    Invalid(String),
}

/// A failed call.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{kind} ({tokens} tokens came, outcome {outcome:?})")]
pub struct Error {
    /// What went wrong.
    #[source]
    pub kind: Kind,
    /// Tokens that came before, for streamed answers.
    pub tokens: u32,
    /// Whether the call ran.
    pub outcome: Outcome,
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// An error of a call that didn't run.
    pub(crate) fn not_run(kind: Kind) -> Self {
        Error { kind, tokens: 0, outcome: Outcome::NotRun }
    }

    /// An error of a call of which nobody knows whether it ran.
    pub(crate) fn unknown(kind: Kind) -> Self {
        Error { kind, tokens: 0, outcome: Outcome::Unknown }
    }

    /// An error of the transport before the answer's head came.
    pub(crate) fn of_send(error: &reqwest::Error) -> Self {
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

/// The error and its causes in one line.
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
