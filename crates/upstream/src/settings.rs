//! Settings of the client.

use std::time::Duration;

/// Settings of a [`Client`](crate::Client).
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest time for a connection to be made.
    pub connect_timeout: Duration,
    /// Longest time for an answer to a control call.
    pub control_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// Idle connections kept for each upstream.
    pub idle_connections: usize,
    /// Upstreams for which connections are kept; the oldest are dropped above it.
    pub upstreams: usize,
    /// Longest line of an event stream in bytes.
    pub line_bytes: usize,
    /// Longest body of another answer in bytes.
    pub body_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            connect_timeout: Duration::from_secs(1),
            control_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(20),
            idle_connections: 32,
            upstreams: 1024,
            line_bytes: 256 * 1024,
            body_bytes: 8 * 1024 * 1024,
        }
    }
}
