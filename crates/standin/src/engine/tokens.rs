//! Deterministic tokens, so that a resumed answer can be compared byte for byte.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Bytes of prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Token `index` of the answer of `model` with `adapter` to `prompt`, with a trailing space.
///
/// The prompt of a chat is what [`chat_prompt`] makes of its messages.
pub fn token(model: &str, adapter: Option<&str>, prompt: &str, index: u32) -> String {
    let hash = digest(&(model, adapter, prompt, index));
    format!("{:05x} ", hash & 0xf_ffff)
}

/// The first `count` tokens of an answer in one text.
pub fn answer(model: &str, adapter: Option<&str>, prompt: &str, count: u32) -> String {
    (0..count).map(|index| token(model, adapter, prompt, index)).collect()
}

/// How many tokens the answer has: `max_tokens`, or fewer where the engine was set up to stop by
/// itself after at most `natural` tokens.
pub fn length(prompt: &str, max_tokens: u32, natural: Option<u32>) -> u32 {
    match natural {
        Some(natural) if natural > 0 => {
            let stop = 1 + (digest(&prompt) % u64::from(natural)) as u32;
            stop.min(max_tokens)
        }
        _ => max_tokens,
    }
}

/// Tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// The prompt text that a chat's messages, as role and content, amount to.
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    messages.into_iter().map(|(role, content)| format!("{role}: {content}\n")).collect()
}

pub(crate) fn digest(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
