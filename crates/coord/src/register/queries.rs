//! Lookups in a register: authentication, grants, models and upstreams.

use sha2::Digest as _;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use super::snapshot::prefix;
use super::snapshot::DIGEST_BYTES;
use super::Grant;
use super::Model;
use super::Register;
use super::Service;
use super::Team;
use super::Upstream;

/// Name in a grant that grants all of a kind.
pub(super) const WILDCARD: &str = "*";

/// Authenticated caller of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caller<'a> {
    /// Name of the API key.
    pub key: &'a str,
    /// Name of the team that owns the key.
    pub team: &'a str,
    /// The team's limits.
    pub limits: &'a Team,
}

/// Resource that a team may be granted, by name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resource<'a> {
    /// A base model.
    Model(&'a str),
    /// An adapter.
    Adapter(&'a str),
    /// A plain service.
    Service(&'a str),
}

/// Base model, and adapter if any, that the model name in a request denotes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target<'a> {
    /// Name of the base model.
    pub model: &'a str,
    /// Name of the adapter; `None` if the request names a base model.
    pub adapter: Option<&'a str>,
    /// Entry of the base model.
    pub base: &'a Model,
}

impl Target<'_> {
    /// The resource for which a team needs a grant.
    pub fn resource(&self) -> Resource<'_> {
        match self.adapter {
            Some(adapter) => Resource::Adapter(adapter),
            None => Resource::Model(self.model),
        }
    }
}

impl Register {
    /// The caller with this secret; `None` for unknown and revoked keys.
    pub fn authenticate(&self, secret: &str) -> Option<Caller<'_>> {
        let digest: [u8; DIGEST_BYTES] = Sha256::digest(secret.as_bytes()).into();
        let candidates = self.digests.get(&prefix(&digest))?;
        let matching = candidates.iter().find(|candidate| candidate.bytes.ct_eq(&digest).into())?;
        self.caller(&matching.key)
    }

    /// The caller with the key named `key`; `None` if the key is unknown or revoked.
    ///
    /// Queued requests and open streams repeat this check at each revision.
    pub fn caller(&self, key: &str) -> Option<Caller<'_>> {
        let (name, key) = self.keys.get_key_value(key)?;
        if key.revoked {
            return None;
        }
        let (team, limits) = self.teams.get_key_value(&key.team)?;
        Some(Caller { key: name, team, limits })
    }

    /// Whether `resource` exists and `team` may use it.
    pub fn may_use(&self, team: &str, resource: Resource<'_>) -> bool {
        let Some(grant) = self.grants.get(team) else { return false };
        let includes = |names: &indexmap::IndexSet<String>, name: &str| {
            names.contains(WILDCARD) || names.contains(name)
        };
        match resource {
            Resource::Model(name) => {
                self.models.contains_key(name) && includes(&grant.models, name)
            }
            Resource::Adapter(name) => {
                self.adapters.contains_key(name) && includes(&grant.adapters, name)
            }
            Resource::Service(name) => {
                self.services.contains_key(name) && includes(&grant.services, name)
            }
        }
    }

    /// Resolves a model name in a request to a base model or an adapter; `None` if unknown.
    pub fn target(&self, name: &str) -> Option<Target<'_>> {
        if let Some((model, base)) = self.models.get_key_value(name) {
            return Some(Target { model, adapter: None, base });
        }
        let (adapter, entry) = self.adapters.get_key_value(name)?;
        let (model, base) = self.models.get_key_value(&entry.model)?;
        Some(Target { model, adapter: Some(adapter), base })
    }

    /// Names of the models and adapters that `team` may use.
    pub fn models_of<'a>(&'a self, team: &'a str) -> impl Iterator<Item = &'a str> {
        let names = self.models.keys().chain(self.adapters.keys()).map(String::as_str);
        names.filter(move |name| {
            self.target(name).is_some_and(|target| self.may_use(team, target.resource()))
        })
    }

    /// Whether a zone gets no new work, because it is drained or not registered.
    pub fn is_drained(&self, zone: &str) -> bool {
        self.zones.get(zone).is_none_or(|zone| zone.drained)
    }

    /// Registered upstreams of a plain service in zones that aren't drained.
    pub fn upstreams_of<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = (&'a str, &'a Upstream)> {
        let registered =
            service.upstreams.iter().filter_map(|name| self.upstreams.get_key_value(name));
        registered
            .filter(|(_, upstream)| !self.is_drained(&upstream.zone))
            .map(|(name, upstream)| (name.as_str(), upstream))
    }

    /// Maximum tokens of one request under `grant`.
    pub(super) fn largest_request(&self, grant: &Grant) -> u64 {
        let all = grant.models.contains(WILDCARD) || grant.adapters.contains(WILDCARD);
        let bases = grant.adapters.iter().filter_map(|name| self.adapters.get(name));
        let named = grant.models.iter().chain(bases.map(|adapter| &adapter.model));
        let every = self.models.keys().filter(|_| all);
        let models = named.chain(every).filter_map(|name| self.models.get(name));
        models.map(|model| model.context_tokens).max().unwrap_or(0)
    }
}
