//! Questions that requests put to a register.

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

/// The name in a grant that stands for all.
pub(super) const ALL: &str = "*";

/// Whose key came with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caller<'a> {
    /// Name of the key.
    pub key: &'a str,
    /// Name of the team.
    pub team: &'a str,
    /// The team's limits.
    pub limits: &'a Team,
}

/// Something a team may be granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resource<'a> {
    /// A base model.
    Model(&'a str),
    /// An adapter.
    Adapter(&'a str),
    /// A plain service.
    Service(&'a str),
}

/// What the model name in a request stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target<'a> {
    /// Name of the base model.
    pub model: &'a str,
    /// Name of the adapter, where the request names one.
    pub adapter: Option<&'a str>,
    /// The base model.
    pub base: &'a Model,
}

impl Target<'_> {
    /// What a team needs a grant for.
    pub fn resource(&self) -> Resource<'_> {
        match self.adapter {
            Some(adapter) => Resource::Adapter(adapter),
            None => Resource::Model(self.model),
        }
    }
}

impl Register {
    /// Whose secret this is; `None` for unknown and revoked keys alike.
    pub fn authenticate(&self, secret: &str) -> Option<Caller<'_>> {
        let digest: [u8; DIGEST_BYTES] = Sha256::digest(secret.as_bytes()).into();
        let candidates = self.digests.get(&prefix(&digest))?;
        let found = candidates.iter().find(|known| known.bytes.ct_eq(&digest).into())?;
        self.caller(&found.key)
    }

    /// Whose key this is by the key's name; `None` once it was revoked or removed.
    ///
    /// Waiting requests and open streams ask this again at each revision.
    pub fn caller(&self, key: &str) -> Option<Caller<'_>> {
        let (name, key) = self.keys.get_key_value(key)?;
        if key.revoked {
            return None;
        }
        let (team, limits) = self.teams.get_key_value(&key.team)?;
        Some(Caller { key: name, team, limits })
    }

    /// Whether a team may use something that exists.
    pub fn may_use(&self, team: &str, resource: Resource<'_>) -> bool {
        let Some(grant) = self.grants.get(team) else { return false };
        let holds = |names: &indexmap::IndexSet<String>, name: &str| {
            names.contains(ALL) || names.contains(name)
        };
        match resource {
            Resource::Model(name) => self.models.contains_key(name) && holds(&grant.models, name),
            Resource::Adapter(name) => {
                self.adapters.contains_key(name) && holds(&grant.adapters, name)
            }
            Resource::Service(name) => {
                self.services.contains_key(name) && holds(&grant.services, name)
            }
        }
    }

    /// What a model name in a request stands for: a base model or an adapter.
    pub fn target(&self, name: &str) -> Option<Target<'_>> {
        if let Some((model, base)) = self.models.get_key_value(name) {
            return Some(Target { model, adapter: None, base });
        }
        let (adapter, entry) = self.adapters.get_key_value(name)?;
        let (model, base) = self.models.get_key_value(&entry.model)?;
        Some(Target { model, adapter: Some(adapter), base })
    }

    /// Names of the models and adapters that a team may use.
    pub fn models_of<'a>(&'a self, team: &'a str) -> impl Iterator<Item = &'a str> {
        let names = self.models.keys().chain(self.adapters.keys()).map(String::as_str);
        names.filter(move |name| {
            self.target(name).is_some_and(|target| self.may_use(team, target.resource()))
        })
    }

    /// Whether a zone gets no new work: it was taken out or isn't registered.
    pub fn is_drained(&self, zone: &str) -> bool {
        self.zones.get(zone).is_none_or(|zone| zone.drained)
    }

    /// Upstreams of a plain service whose zones aren't drained.
    pub fn upstreams_of<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = (&'a str, &'a Upstream)> {
        let found = service.upstreams.iter().filter_map(|name| self.upstreams.get_key_value(name));
        found
            .filter(|(_, upstream)| !self.is_drained(&upstream.zone))
            .map(|(name, upstream)| (name.as_str(), upstream))
    }

    /// Most tokens that one request of a grant's team can take.
    pub(super) fn largest_request(&self, grant: &Grant) -> u64 {
        let all = grant.models.contains(ALL) || grant.adapters.contains(ALL);
        let bases = grant.adapters.iter().filter_map(|name| self.adapters.get(name));
        let named = grant.models.iter().chain(bases.map(|adapter| &adapter.model));
        let every = self.models.keys().filter(|_| all);
        let models = named.chain(every).filter_map(|name| self.models.get(name));
        models.map(|model| model.context_tokens).max().unwrap_or(0)
    }
}
