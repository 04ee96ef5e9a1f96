//! Renders answers in the format of the OpenAI API: chunks of a stream, and complete objects.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use serde_json::json;
use serde_json::Value;

use crate::router::refusal::Refusal;
use crate::router::request::Kind;

/// Last event of a complete stream.
const TERMINAL_EVENT: &str = "data: [DONE]\n\n";

/// Renders the answer to one request.
#[derive(Clone, Debug)]
pub struct Format {
    kind: Kind,
    id: String,
    model: String,
    created: u64,
}

impl Format {
    /// Creates the renderer for request `id` to `model`. The creation time is now.
    pub fn new(kind: Kind, id: &str, model: &str) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Format { kind, id: id.to_owned(), model: model.to_owned(), created: now.as_secs() }
    }

    /// The stream event with one token.
    pub fn token(&self, token: &str) -> Bytes {
        let choice = match self.kind {
            Kind::Chat => json!({"index": 0, "delta": {"content": token}, "finish_reason": null}),
            Kind::Text => json!({"index": 0, "text": token, "finish_reason": null}),
        };
        event(&self.object(choice, true))
    }

    /// The last events of a complete stream: finish reason with usage, then the terminal event.
    pub fn end(&self, reason: &str, prompt_tokens: u32, tokens: u32) -> Bytes {
        let choice = match self.kind {
            Kind::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            Kind::Text => json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        let mut object = self.object(choice, true);
        object["usage"] = usage(prompt_tokens, tokens);
        let mut text = event(&object).to_vec();
        text.extend_from_slice(TERMINAL_EVENT.as_bytes());
        Bytes::from(text)
    }

    /// The event that ends a failed stream. No terminal event follows.
    pub fn error(&self, refusal: &Refusal) -> Bytes {
        Bytes::from(format!("event: error\ndata: {}\n\n", refusal.body()))
    }

    /// A complete answer as one object.
    pub fn complete(&self, text: &str, reason: &str, prompt_tokens: u32, tokens: u32) -> Value {
        let choice = match self.kind {
            Kind::Chat => {
                let message = json!({"role": "assistant", "content": text});
                json!({"index": 0, "message": message, "finish_reason": reason})
            }
            Kind::Text => json!({"index": 0, "text": text, "finish_reason": reason}),
        };
        let mut object = self.object(choice, false);
        object["usage"] = usage(prompt_tokens, tokens);
        object
    }

    fn object(&self, choice: Value, chunk: bool) -> Value {
        let object = match (self.kind, chunk) {
            (Kind::Chat, true) => "chat.completion.chunk",
            (Kind::Chat, false) => "chat.completion",
            (Kind::Text, _) => "text_completion",
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

fn usage(prompt_tokens: u32, tokens: u32) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    })
}
