//! The set of fingerprints that a process accepts, shared with its TLS verifiers.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::RwLock;

use crate::Fingerprint;

/// Fingerprints now accepted, each with its member's name. Clones share one set.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    names: Arc<RwLock<IndexMap<Fingerprint, String>>>,
}

impl Trust {
    /// Replaces the whole set.
    pub fn replace(&self, names: IndexMap<Fingerprint, String>) {
        *self.names.write() = names;
    }

    /// Adds one member, or renames it.
    pub fn insert(&self, fingerprint: Fingerprint, name: &str) {
        self.names.write().insert(fingerprint, name.to_owned());
    }

    /// Takes one member out; its connections end at their next call.
    pub fn remove(&self, fingerprint: &Fingerprint) {
        self.names.write().swap_remove(fingerprint);
    }

    /// The member behind a fingerprint, if it's accepted.
    pub fn name(&self, fingerprint: &Fingerprint) -> Option<String> {
        self.names.read().get(fingerprint).cloned()
    }
}
