//! The view: an epoch, its members, and the mapping of resources to members.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::hash::hash;
use crate::hash::mix;

/// Role of a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers and owns token buckets and dispatch queues.
    Router,
    /// Decides the placement of models on upstreams.
    Controller,
}

/// Kind of a resource that is owned by one member at a time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// Token bucket of a team.
    Bucket,
    /// Request queue and upstream slots of a model.
    Dispatch,
    /// Model placement, one per cell.
    Placement,
}

impl Kind {
    /// Role that a member needs to own a resource of this kind.
    pub fn role(self) -> Role {
        match self {
            Kind::Bucket | Kind::Dispatch => Role::Router,
            Kind::Placement => Role::Controller,
        }
    }

    fn seed(self) -> u64 {
        match self {
            Kind::Bucket => 1,
            Kind::Dispatch => 2,
            Kind::Placement => 3,
        }
    }
}

/// Identity of one incarnation of a daemon. The order of incarnation numbers has no meaning.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberId {
    /// Instance name from the settings.
    pub name: String,
    /// Number of the incarnation, unique among the processes with this name.
    pub incarnation: u64,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

impl MemberId {
    /// Parses the `Display` form, `name#incarnation`; `None` for any other text.
    pub fn parse(text: &str) -> Option<MemberId> {
        let (name, incarnation) = text.rsplit_once('#')?;
        Some(MemberId { name: name.to_owned(), incarnation: incarnation.parse().ok()? })
    }
}

/// A member as listed in a view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identity of the incarnation.
    pub id: MemberId,
    /// Role of the daemon.
    pub role: Role,
    /// Listen address for peers, `ip:port`.
    pub address: String,
}

/// Content of the view row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// Number of the view; each change increases it by 1.
    pub epoch: u64,
    /// Version of the view row in the store.
    #[serde(skip)]
    pub version: u64,
    /// Members in the order in which they joined.
    pub members: Vec<Member>,
    /// Members of the previous epoch.
    pub previous: Vec<Member>,
    /// Member that created this view by leaving, which counts as its acknowledgement.
    pub departed: Option<MemberId>,
}

impl View {
    /// Whether this incarnation is a member.
    pub fn contains(&self, id: &MemberId) -> bool {
        self.members.iter().any(|member| member.id == *id)
    }

    /// The entry of `id`; `None` if it isn't a member.
    pub fn member(&self, id: &MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// The next view, with `member` added.
    pub fn with_member(&self, member: Member) -> View {
        let mut members = self.members.clone();
        members.push(member);
        self.next(members, None)
    }

    /// The next view, with `id` removed. `voluntary` if that member leaves by itself.
    pub fn without_member(&self, id: &MemberId, voluntary: bool) -> View {
        let mut members = self.members.clone();
        members.retain(|member| member.id != *id);
        self.next(members, voluntary.then(|| id.clone()))
    }

    fn next(&self, members: Vec<Member>, departed: Option<MemberId>) -> View {
        let previous = self.members.clone();
        View { epoch: self.epoch + 1, version: 0, members, previous, departed }
    }

    /// The owner of a resource by rendezvous hashing: the member with the highest weight for it;
    /// `None` if no member has the required role.
    pub fn owner(&self, kind: Kind, name: &str) -> Option<&Member> {
        let resource = hash(kind.seed(), name.bytes());
        self.members
            .iter()
            .filter(|member| member.role == kind.role())
            .max_by_key(|member| (weight(resource, &member.id), &member.id))
    }
}

fn weight(resource: u64, id: &MemberId) -> u64 {
    mix(resource ^ hash(id.incarnation, id.name.bytes()))
}

/// Whether `count` is more than half of `total`.
pub(crate) fn majority(count: usize, total: usize) -> bool {
    2 * count > total
}
