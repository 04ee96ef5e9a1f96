//! The set of accepted fingerprints, shared between a process and its TLS verifiers.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::RwLock;

use crate::Fingerprint;

/// Accepted fingerprints, each with the name of its member. Clones share one set.
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

    /// Removes one member; its connections are closed at their next call.
    pub fn remove(&self, fingerprint: &Fingerprint) {
        self.names.write().swap_remove(fingerprint);
    }

    /// Name of the member with this fingerprint; `None` if the fingerprint isn't accepted.
    pub fn name(&self, fingerprint: &Fingerprint) -> Option<String> {
        self.names.read().get(fingerprint).cloned()
    }
}
