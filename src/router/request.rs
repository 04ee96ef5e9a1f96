//! Parses the bodies of chat and completion requests.
//!
//! Only the fields listed here are forwarded to an upstream, so that a key that a caller puts into
//! the body doesn't leave the router.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use corianderyoke_upstream::generate::Message;
use corianderyoke_upstream::generate::Prompt;
use corianderyoke_upstream::generate::SAMPLING_FIELDS;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use crate::router::refusal::Code;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;

/// Maximum token limit that a caller may set.
const MAX_TOKENS: u32 = 131_072;
/// Size of the part of a text prompt that is hashed as its prefix, in bytes.
const PREFIX_BYTES: usize = 256;
/// Maximum length of a model name, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// The generation endpoint that was called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// A validated generation request.
#[derive(Clone, Debug, PartialEq)]
pub struct Generation {
    /// Endpoint that the caller used.
    pub kind: Kind,
    /// Name of a model or an adapter.
    pub model: String,
    /// Text or chat messages to complete.
    pub prompt: Prompt,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// Maximum number of tokens to generate; `None` if the caller sets no limit.
    pub max_tokens: Option<u32>,
    /// Time from the request's arrival to its deadline; `None` if the caller sets no deadline.
    pub deadline: Option<Duration>,
    /// Sampling parameters, forwarded to the engine.
    pub sampling: Map<String, Value>,
}

#[derive(Deserialize)]
struct RawMessage {
    role: String,
    content: Value,
}

impl Generation {
    /// Size of the prompt in bytes, including the roles of chat messages.
    pub fn prompt_bytes(&self) -> u64 {
        let bytes = match &self.prompt {
            Prompt::Text(text) => text.len(),
            Prompt::Chat(messages) => messages.iter().map(|m| m.role.len() + m.content.len()).sum(),
        };
        bytes as u64
    }

    /// Hash of the model and the prompt's prefix, for cache affinity; never 0.
    pub fn prefix(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.model.hash(&mut hasher);
        match &self.prompt {
            Prompt::Text(text) => {
                text.bytes().take(PREFIX_BYTES).collect::<Vec<_>>().hash(&mut hasher)
            }
            Prompt::Chat(messages) => messages.first().map(|m| &m.content).hash(&mut hasher),
        }
        hasher.finish().max(1)
    }
}

/// Parses the body of a request to the endpoint `kind`.
///
/// # Errors
///
/// A [`Refusal`] with [`Code::BadRequest`] that names the field.
pub fn parse(kind: Kind, body: &[u8]) -> Result<Generation> {
    let value: Value = serde_json::from_slice(body)
        .map_err(|e| bad_request(format!("the body isn't valid JSON: {e}")))?;
    let Value::Object(fields) = value else {
        return Err(bad_request("the body must be a JSON object"));
    };
    let model = model_name(&fields)?;
    let prompt = match kind {
        Kind::Chat => chat_prompt(&fields)?,
        Kind::Text => text_prompt(&fields)?,
    };
    Ok(Generation {
        kind,
        model,
        prompt,
        stream: flag(&fields, "stream")?,
        max_tokens: max_tokens(&fields)?,
        deadline: deadline(&fields)?,
        sampling: sampling(&fields),
    })
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::BadRequest, message)
}

fn model_name(fields: &Map<String, Value>) -> Result<String> {
    match fields.get("model") {
        Some(Value::String(name)) if !name.is_empty() && name.len() <= MAX_NAME_BYTES => {
            Ok(name.clone())
        }
        _ => Err(bad_request("`model` must be a string of 1 to 200 bytes")),
    }
}

fn chat_prompt(fields: &Map<String, Value>) -> Result<Prompt> {
    let messages = fields.get("messages").cloned().unwrap_or(Value::Null);
    let messages: Vec<RawMessage> = serde_json::from_value(messages).map_err(|e| {
        bad_request(format!("`messages` must be a list of objects with role and content: {e}"))
    })?;
    if messages.is_empty() {
        return Err(bad_request("`messages` must not be empty"));
    }
    let messages = messages.into_iter().map(|message| {
        let content = content(&message.content)?;
        Ok(Message { role: message.role, content })
    });
    messages.collect::<Result<_>>().map(Prompt::Chat)
}

fn content(content: &Value) -> Result<String> {
    match content {
        Value::String(text) => Ok(text.clone()),
        Value::Array(parts) => {
            let texts = parts.iter().map(|part| part.get("text").and_then(Value::as_str));
            let joined: Option<Vec<&str>> = texts.collect();
            joined
                .map(|texts| texts.concat())
                .ok_or_else(|| bad_request("only text content is served"))
        }
        _ => Err(bad_request("a message's `content` must be a string or a list of text parts")),
    }
}

fn text_prompt(fields: &Map<String, Value>) -> Result<Prompt> {
    match fields.get("prompt") {
        Some(Value::String(prompt)) => Ok(Prompt::Text(prompt.clone())),
        _ => Err(bad_request("`prompt` must be a string")),
    }
}

fn flag(fields: &Map<String, Value>, field: &str) -> Result<bool> {
    match fields.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(bad_request(format!("`{field}` must be true or false"))),
    }
}

fn max_tokens(fields: &Map<String, Value>) -> Result<Option<u32>> {
    let value = fields.get("max_tokens").or_else(|| fields.get("max_completion_tokens"));
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(n) if (1..=u64::from(MAX_TOKENS)).contains(&n) => Ok(Some(n as u32)),
            _ => Err(bad_request(format!(
                "`max_tokens` must be a whole number from 1 to {MAX_TOKENS}"
            ))),
        },
    }
}

fn deadline(fields: &Map<String, Value>) -> Result<Option<Duration>> {
    match fields.get("deadline_ms") {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(n) if n > 0 => Ok(Some(Duration::from_millis(n))),
            _ => Err(bad_request("`deadline_ms` must be a whole number of milliseconds above 0")),
        },
    }
}

fn sampling(fields: &Map<String, Value>) -> Map<String, Value> {
    let forwarded = fields.iter().filter(|(field, _)| SAMPLING_FIELDS.contains(&field.as_str()));
    forwarded.map(|(field, value)| (field.clone(), value.clone())).collect()
}
