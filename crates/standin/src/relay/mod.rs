//! Relays on loopback that a test can order to cut connections or to hold them silent.
//!
//! [`tcp`] relays byte streams and [`udp`] datagrams. An order about existing connections leaves
//! new ones alone: a connection can go silent for good while new ones work.

pub mod tcp;
pub mod udp;

/// What a relay does with the bytes of one connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Flow {
    /// Passes them on.
    #[default]
    Pass,
    /// Reads and sends nothing, also not the end of either side.
    Silent,
    /// Closes both sides.
    Cut,
}

/// Bounds of a relay.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections, or for datagrams sender addresses, at once; more are refused.
    pub connections: usize,
    /// Bytes of one read or datagram.
    pub buffer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { connections: 1024, buffer_bytes: 16 * 1024 }
    }
}
