//! Types of the OpenAI chunk format.

use serde::Deserialize;

use crate::generate::Usage;

/// Data of the event that ends a stream.
pub(crate) const TERMINAL: &str = "[DONE]";

/// One event of a stream.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Chunk {
    #[serde(default)]
    pub id: String,
    #[serde(default)]
    pub choices: Vec<Choice>,
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// The one choice of a chunk.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// What a chunk adds to a chat's answer.
#[derive(Clone, Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl Choice {
    /// The token, unless the chunk brings none.
    pub fn into_token(self) -> Option<String> {
        let last = self.finish_reason.is_some();
        let text = self.text.or(self.delta.and_then(|delta| delta.content));
        // The last chunk and the one with the role carry no token, only an empty text.
        text.filter(|text| !(last && text.is_empty()))
    }
}

/// Body of a refusal.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct Refusal {
    #[serde(default)]
    pub error: RefusalCode,
}

/// Code of a refusal.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct RefusalCode {
    #[serde(default)]
    pub code: String,
}
