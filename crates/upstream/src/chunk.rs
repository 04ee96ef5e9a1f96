//! Chunks of a streamed completion and error bodies, in the OpenAI format.

use serde::Deserialize;

use crate::error::quote;
use crate::generate::Usage;

/// Data of the event that marks the end of a complete stream.
pub(crate) const DONE_MARKER: &str = "[DONE]";

/// JSON data of one stream event.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Chunk {
    #[serde(default)]
    pub id: String,
    #[serde(default)]
    pub choices: Vec<Choice>,
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// A completion choice of a chunk.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Text that a chunk appends to a chat completion.
#[derive(Clone, Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl Choice {
    /// Returns the token, or `None` if the chunk has none.
    pub fn into_token(self) -> Option<String> {
        let last = self.finish_reason.is_some();
        let text = self.text.or(self.delta.and_then(|delta| delta.content));
        // The last chunk has an empty text in place of a token; one with only the role has none.
        text.filter(|text| !(last && text.is_empty()))
    }
}

/// Body of a response with an error status.
#[derive(Clone, Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: ErrorCode,
}

/// Machine-readable code of an error response; empty if the body has none.
#[derive(Clone, Debug, Default, Deserialize)]
struct ErrorCode {
    #[serde(default)]
    code: String,
}

/// Returns the code in the body of a response with an error status; empty if it has none.
pub(crate) fn error_code(body: &[u8]) -> String {
    quote(&serde_json::from_slice::<ErrorBody>(body).unwrap_or_default().error.code)
}
