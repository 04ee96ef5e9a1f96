//! Bodies of requests and the chunks of answers.

use serde::Deserialize;
use serde_json::json;
use serde_json::Value;

use super::tokens;

/// Tokens of an answer where the request names no maximum.
const DEFAULT_TOKENS: u32 = 16;

/// Which of the two endpoints a request came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Style {
    Completion,
    Chat,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: String,
}

/// Body of a request for tokens.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Body {
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
    pub resume_from: u32,
}

impl Body {
    /// The text that the tokens depend on.
    pub fn prompt(&self, style: Style) -> String {
        match style {
            Style::Completion => self.prompt.clone(),
            Style::Chat => {
                let turns = self.messages.iter();
                tokens::chat_prompt(turns.map(|turn| (turn.role.as_str(), turn.content.as_str())))
            }
        }
    }

    /// Most tokens of the answer.
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }
}

/// What all chunks of an answer share.
#[derive(Clone, Debug)]
pub(crate) struct Chunks {
    pub id: String,
    pub model: String,
    pub style: Style,
}

impl Chunks {
    /// The event of one token.
    pub fn token(&self, text: &str) -> String {
        let choice = match self.style {
            Style::Completion => json!({"index": 0, "text": text, "finish_reason": null}),
            Style::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
        };
        self.event(choice, None)
    }

    /// The two events that end an answer.
    pub fn last(&self, reason: &str, prompt_tokens: u32, completion_tokens: u32) -> String {
        let choice = match self.style {
            Style::Completion => json!({"index": 0, "text": "", "finish_reason": reason}),
            Style::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
        };
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        });
        let mut text = self.event(choice, Some(usage));
        text.push_str("data: [DONE]\n\n");
        text
    }

    fn event(&self, choice: Value, usage: Option<Value>) -> String {
        let object = match self.style {
            Style::Completion => "text_completion",
            Style::Chat => "chat.completion.chunk",
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
