//! Headers that pass between callers and upstreams.
//!
//! Only listed names pass, so that a caller's key can't reach an upstream in a header, whatever
//! the header's name.

use indexmap::IndexMap;

/// Headers of a caller's request that pass on to an upstream.
pub const REQUEST_HEADERS: [&str; 8] = [
    "accept",
    "accept-language",
    "content-language",
    "content-type",
    "idempotency-key",
    "if-match",
    "traceparent",
    "tracestate",
];

/// Headers of an upstream's answer that pass on to the caller.
pub const ANSWER_HEADERS: [&str; 7] = [
    "cache-control",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
    "retry-after",
];

/// Headers by name in lower case.
pub type Headers = IndexMap<String, String>;

/// Those of `headers` that may pass on to an upstream.
pub fn for_upstream(headers: &Headers) -> Headers {
    pick(headers, &REQUEST_HEADERS)
}

/// Those of `headers` that may pass on to the caller.
pub fn for_caller(headers: &Headers) -> Headers {
    pick(headers, &ANSWER_HEADERS)
}

fn pick(headers: &Headers, allowed: &[&str]) -> Headers {
    let lower = headers.iter().map(|(name, value)| (name.to_ascii_lowercase(), value.clone()));
    lower.filter(|(name, _)| allowed.contains(&name.as_str())).collect()
}

/// Whether `text` holds a caller's key; an empty one is none.
pub(crate) fn holds(text: &[u8], secret: &str) -> bool {
    let secret = secret.as_bytes();
    !secret.is_empty() && text.windows(secret.len()).any(|window| window == secret)
}
