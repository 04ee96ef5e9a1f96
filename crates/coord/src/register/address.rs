//! Addresses of entries: kind and name.

use std::fmt;
use std::str::FromStr;

use super::Error;
use super::Result;

/// Name of the single entry of kind [`Kind::Rules`].
pub const RULES_NAME: &str = "fleet";

/// Kind of an entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// An availability zone.
    Zone,
    /// A model engine or an instance of a plain service.
    Upstream,
    /// A base model.
    Model,
    /// An adapter of a base model.
    Adapter,
    /// A team with its limits.
    Team,
    /// An API key.
    Key,
    /// A plain service.
    Service,
    /// The resources that a team may use.
    Grant,
    /// Settings for the whole fleet.
    Rules,
}

impl Kind {
    /// All kinds, in the order of a written document.
    pub const ALL: [Kind; 9] = [
        Kind::Zone,
        Kind::Upstream,
        Kind::Model,
        Kind::Adapter,
        Kind::Team,
        Kind::Key,
        Kind::Service,
        Kind::Grant,
        Kind::Rules,
    ];

    /// Name of the kind in an address.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Zone => "zone",
            Kind::Upstream => "upstream",
            Kind::Model => "model",
            Kind::Adapter => "adapter",
            Kind::Team => "team",
            Kind::Key => "key",
            Kind::Service => "service",
            Kind::Grant => "grant",
            Kind::Rules => "rules",
        }
    }

    /// Section of a TOML document that holds entries of this kind.
    pub fn section(self) -> &'static str {
        match self {
            Kind::Zone => "zones",
            Kind::Upstream => "upstreams",
            Kind::Model => "models",
            Kind::Adapter => "adapters",
            Kind::Team => "teams",
            Kind::Key => "keys",
            Kind::Service => "services",
            Kind::Grant => "grants",
            Kind::Rules => "rules",
        }
    }
}

/// Address of an entry, written as `kind/name`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Address {
    /// Kind of the entry.
    pub kind: Kind,
    /// Name, unique within the kind. For a grant, the team's name.
    pub name: String,
}

impl Address {
    /// The address of the entry `name` of `kind`.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        Address { kind, name: name.into() }
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.name(), self.name)
    }
}

impl FromStr for Address {
    type Err = Error;

    fn from_str(text: &str) -> Result<Address> {
        let (kind, name) = text.split_once('/').ok_or_else(|| Error::Address(text.into()))?;
        let found = Kind::ALL.into_iter().find(|candidate| candidate.name() == kind);
        let kind = found.ok_or_else(|| Error::Kind(kind.into()))?;
        Ok(Address::new(kind, name))
    }
}
