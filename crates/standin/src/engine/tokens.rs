//! Deterministic token generation, so that a resumed answer can be compared byte for byte.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Bytes of prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Returns token `index` of the answer of `model` with `adapter` to `prompt`, with a trailing
/// space.
///
/// For a chat request, `prompt` is the result of [`chat_prompt`].
pub fn token(model: &str, adapter: Option<&str>, prompt: &str, index: u32) -> String {
    let hash = digest(&(model, adapter, prompt, index));
    format!("{:05x} ", hash & 0xf_ffff)
}

/// Returns the first `count` tokens of an answer, concatenated.
pub fn answer(model: &str, adapter: Option<&str>, prompt: &str, count: u32) -> String {
    (0..count).map(|index| token(model, adapter, prompt, index)).collect()
}

/// Number of tokens in an answer: `max_tokens`, or fewer if the engine is configured to stop after
/// at most `eos_limit` tokens.
pub fn answer_tokens(prompt: &str, max_tokens: u32, eos_limit: Option<u32>) -> u32 {
    match eos_limit {
        Some(limit) if limit > 0 => {
            let eos_length = 1 + (digest(&prompt) % u64::from(limit)) as u32;
            eos_length.min(max_tokens)
        }
        _ => max_tokens,
    }
}

/// Number of tokens in a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Joins the messages of a chat, given as role and content, into one prompt text.
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    messages.into_iter().map(|(role, content)| format!("{role}: {content}\n")).collect()
}

/// Returns a hash of `value` that is the same in every process.
pub(crate) fn digest(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
