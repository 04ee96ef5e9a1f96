//! Keys that authenticate datagrams between daemons.

use std::fmt;

use ring::hmac;

/// Length of the MAC at the end of a datagram.
const MAC_BYTES: usize = 32;

/// Key that the fleet shares.
#[derive(Clone)]
pub struct PeerKey {
    /// Content of the key's row in the store.
    pub row: Vec<u8>,
    key: hmac::Key,
}

impl PeerKey {
    /// Creates the key that a row of the store holds.
    pub fn new(row: &[u8]) -> Self {
        PeerKey { row: row.to_vec(), key: hmac::Key::new(hmac::HMAC_SHA256, row) }
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerKey(..)")
    }
}

/// The key in use and the one before it, which others may use until they have read the new one.
#[derive(Clone, Debug, Default)]
pub struct PeerKeys {
    current: Option<PeerKey>,
    previous: Option<PeerKey>,
}

impl PeerKeys {
    /// Returns the key in use.
    pub fn current(&self) -> Option<&PeerKey> {
        self.current.as_ref()
    }

    /// Changes to a key. Returns whether it is another one.
    pub fn replace(&mut self, key: PeerKey) -> bool {
        if self.current.as_ref().is_some_and(|current| current.row == key.row) {
            return false;
        }
        self.previous = self.current.replace(key);
        true
    }

    /// Appends the MAC to a datagram. Returns `None` without a key.
    pub fn sign(&self, mut bytes: Vec<u8>) -> Option<Vec<u8>> {
        let tag = hmac::sign(&self.current.as_ref()?.key, &bytes);
        bytes.extend_from_slice(tag.as_ref());
        Some(bytes)
    }

    /// Returns the content of a datagram, or `None` if its MAC is invalid.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (bytes, tag) = datagram.split_at_checked(datagram.len().checked_sub(MAC_BYTES)?)?;
        let mut keys = self.current.iter().chain(&self.previous);
        keys.any(|key| hmac::verify(&key.key, bytes, tag).is_ok()).then_some(bytes)
    }
}
