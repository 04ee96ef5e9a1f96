//! The compiled, immutable snapshot of a configuration.

use indexmap::IndexMap;

use super::Adapter;
use super::ApiKey;
use super::Entries;
use super::Entry;
use super::Grant;
use super::Model;
use super::Revision;
use super::Rules;
use super::Service;
use super::Team;
use super::Upstream;
use super::Zone;

/// Length of the digest prefix by which keys are indexed; the whole digest is compared afterwards.
pub(super) const PREFIX_BYTES: usize = 8;

/// Length of a SHA-256 digest in bytes.
pub(super) const DIGEST_BYTES: usize = 32;

/// The digest of a key, with the name of the key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Digest {
    pub(super) bytes: [u8; DIGEST_BYTES],
    pub(super) key: String,
}

/// Immutable snapshot of a configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Register {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Availability zones by name.
    pub zones: IndexMap<String, Zone>,
    /// Upstreams by name.
    pub upstreams: IndexMap<String, Upstream>,
    /// Base models by name.
    pub models: IndexMap<String, Model>,
    /// Adapters by name.
    pub adapters: IndexMap<String, Adapter>,
    /// Teams by name.
    pub teams: IndexMap<String, Team>,
    /// API keys by name.
    pub keys: IndexMap<String, ApiKey>,
    /// Plain services by name.
    pub services: IndexMap<String, Service>,
    /// Grants by team.
    pub grants: IndexMap<String, Grant>,
    /// Settings for the whole fleet.
    pub rules: Rules,
    /// Key digests by their prefix.
    pub(super) digests: IndexMap<[u8; PREFIX_BYTES], Vec<Digest>>,
}

impl Register {
    /// Compiles a set of entries, ordered by address.
    pub fn compile(revision: Revision, entries: &Entries) -> Register {
        let mut register = Register { revision, ..Register::default() };
        let mut sorted: Vec<_> = entries.iter().collect();
        sorted.sort_by_key(|(address, _)| *address);
        for (address, entry) in sorted {
            register.insert(address.name.clone(), entry.clone());
        }
        register
    }

    fn insert(&mut self, name: String, entry: Entry) {
        match entry {
            Entry::Zone(zone) => drop(self.zones.insert(name, zone)),
            Entry::Upstream(upstream) => drop(self.upstreams.insert(name, upstream)),
            Entry::Model(model) => drop(self.models.insert(name, model)),
            Entry::Adapter(adapter) => drop(self.adapters.insert(name, adapter)),
            Entry::Team(team) => drop(self.teams.insert(name, team)),
            Entry::Key(key) => self.insert_key(name, key),
            Entry::Service(service) => drop(self.services.insert(name, service)),
            Entry::Grant(grant) => drop(self.grants.insert(name, grant)),
            Entry::Rules(rules) => self.rules = rules,
        }
    }

    fn insert_key(&mut self, name: String, key: ApiKey) {
        if let Some(bytes) = digest_bytes(&key.digest) {
            let digest = Digest { bytes, key: name.clone() };
            self.digests.entry(prefix(&bytes)).or_default().push(digest);
        }
        self.keys.insert(name, key);
    }
}

/// Decodes a digest from 64 hexadecimal digits; `None` for any other text.
pub(super) fn digest_bytes(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; DIGEST_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}

/// The prefix of a digest by which keys are indexed.
pub(super) fn prefix(bytes: &[u8; DIGEST_BYTES]) -> [u8; PREFIX_BYTES] {
    let mut prefix = [0; PREFIX_BYTES];
    prefix.copy_from_slice(&bytes[..PREFIX_BYTES]);
    prefix
}
