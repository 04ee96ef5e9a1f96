//! Timeouts and limits of the client.

use std::time::Duration;

/// Timeouts and limits of a [`Client`](crate::Client).
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout of a control call, from sending it to the end of the response.
    pub control_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections per upstream.
    pub idle_connections: usize,
    /// Maximum number of upstreams with a connection pool; the oldest pool is dropped first.
    pub max_pools: usize,
    /// Maximum number of requests on the connections of one pool; a new pool then replaces it.
    pub pool_requests: usize,
    /// Maximum line length of an event stream in bytes.
    pub line_bytes: usize,
    /// Maximum body size of a response that isn't streamed, in bytes.
    pub body_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            connect_timeout: Duration::from_secs(1),
            control_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(20),
            idle_connections: 32,
            max_pools: 1024,
            pool_requests: 1024,
            line_bytes: 256 * 1024,
            body_bytes: 8 * 1024 * 1024,
        }
    }
}
