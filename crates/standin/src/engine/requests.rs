//! Parses request bodies and encodes the chunks of streamed answers.

use serde::Deserialize;
use serde_json::json;
use serde_json::Value;

use super::tokens;

/// Maximum tokens of an answer if the request doesn't set `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Endpoint that a request was sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    Completion,
    Chat,
}

/// One message of a chat request.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: String,
}

/// Body of a completion or chat request.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct RequestBody {
    pub model: String,
    #[serde(default)]
    pub adapter: Option<String>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    pub priority: i32,
    #[serde(default)]
    /// Index of the first token to send.
    pub resume_from: u32,
}

impl RequestBody {
    /// The prompt text that determines the generated tokens.
    pub fn prompt(&self, endpoint: Endpoint) -> String {
        match endpoint {
            Endpoint::Completion => self.prompt.clone(),
            Endpoint::Chat => {
                let messages = self.messages.iter();
                tokens::chat_prompt(
                    messages.map(|message| (message.role.as_str(), message.content.as_str())),
                )
            }
        }
    }

    /// Maximum number of tokens in the answer.
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Encodes the chunks of one answer as server-sent events.
#[derive(Clone, Debug)]
pub(crate) struct ChunkEncoder {
    pub id: String,
    pub model: String,
    pub endpoint: Endpoint,
}

impl ChunkEncoder {
    /// Encodes the event for one token.
    pub fn token_event(&self, text: &str) -> String {
        let choice = match self.endpoint {
            Endpoint::Completion => json!({"index": 0, "text": text, "finish_reason": null}),
            Endpoint::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
        };
        self.chunk_event(choice, None)
    }

    /// Encodes the two events that end an answer: the last chunk, with the token usage, and the
    /// `[DONE]` marker.
    pub fn final_events(
        &self,
        finish_reason: &str,
        prompt_tokens: u32,
        completion_tokens: u32,
    ) -> String {
        let choice = match self.endpoint {
            Endpoint::Completion => json!({"index": 0, "text": "", "finish_reason": finish_reason}),
            Endpoint::Chat => json!({"index": 0, "delta": {}, "finish_reason": finish_reason}),
        };
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        });
        let mut events = self.chunk_event(choice, Some(usage));
        events.push_str("data: [DONE]\n\n");
        events
    }

    /// Encodes one chunk as an event.
    fn chunk_event(&self, choice: Value, usage: Option<Value>) -> String {
        let object = match self.endpoint {
            Endpoint::Completion => "text_completion",
            Endpoint::Chat => "chat.completion.chunk",
        };
        let mut chunk = json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            chunk["usage"] = usage;
        }
        format!("data: {chunk}\n\n")
    }
}
