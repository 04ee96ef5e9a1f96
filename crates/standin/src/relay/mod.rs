//! Loopback relays that can close connections, or stop passing data while leaving them open.
//!
//! [`tcp`] relays byte streams and [`udp`] relays datagrams. The flow of existing connections is
//! set separately from that of new ones, so that a connection can stay silent while new ones work.

mod response;
pub mod tcp;
pub mod udp;

/// How a relay treats the data of one connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Flow {
    /// Forwards all data.
    #[default]
    Pass,
    /// Reads and sends nothing, and doesn't forward that either side has closed.
    Silent,
    /// Closes both sides of the connection.
    Cut,
}

/// Resource limits of a relay.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of connections, or of sender addresses for datagrams; further ones are
    /// refused.
    pub connections: usize,
    /// Size of the buffer for one read or datagram, in bytes.
    pub buffer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { connections: 1024, buffer_bytes: 16 * 1024 }
    }
}
