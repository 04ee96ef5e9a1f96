//! Headers forwarded between callers and upstreams.
//!
//! Allowlists of names decide, so that no header can carry a caller's key to an upstream, whatever
//! its name.

use indexmap::IndexMap;

/// Request headers forwarded to an upstream.
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

/// Response headers forwarded to the caller.
pub const RESPONSE_HEADERS: [&str; 7] = [
    "cache-control",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
    "retry-after",
];

/// Header values by name; forwarded names are in lower case.
pub type Headers = IndexMap<String, String>;

/// Filters a caller's request headers by [`REQUEST_HEADERS`].
pub fn for_upstream(headers: &Headers) -> Headers {
    filter_allowed(headers, &REQUEST_HEADERS)
}

/// Filters an upstream's response headers by [`RESPONSE_HEADERS`].
pub fn for_caller(headers: &Headers) -> Headers {
    filter_allowed(headers, &RESPONSE_HEADERS)
}

fn filter_allowed(headers: &Headers, allowed: &[&str]) -> Headers {
    let lower = headers.iter().map(|(name, value)| (name.to_ascii_lowercase(), value.clone()));
    lower.filter(|(name, _)| allowed.contains(&name.as_str())).collect()
}

/// Whether `text` contains the caller's key; false if `secret` is empty.
pub(crate) fn contains_secret(text: &[u8], secret: &str) -> bool {
    let secret = secret.as_bytes();
    !secret.is_empty() && text.windows(secret.len()).any(|window| window == secret)
}
