//! The view: an epoch, its members, and which of them owns what.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::hash::hash;
use crate::hash::mix;

/// What a daemon does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers and holds pools and queues.
    Router,
    /// Places models.
    Controller,
}

/// A kind of thing that has exactly one home.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// A team's token bucket.
    Bucket,
    /// A model's queue and upstream slots.
    Dispatch,
    /// The placement of models, one a cell.
    Placement,
}

impl Kind {
    /// The role whose members can be its home.
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

/// One incarnation of a daemon. Incarnations are compared for equality only.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberId {
    /// Instance name from the settings.
    pub name: String,
    /// Unique among the processes of that name.
    pub incarnation: u64,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

impl MemberId {
    /// Reads what [`MemberId`]'s `Display` wrote; `None` for any other text.
    pub fn parse(text: &str) -> Option<MemberId> {
        let (name, incarnation) = text.rsplit_once('#')?;
        Some(MemberId { name: name.to_owned(), incarnation: incarnation.parse().ok()? })
    }
}

/// One entry of a view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Which incarnation.
    pub id: MemberId,
    /// What it does.
    pub role: Role,
    /// Where it answers its peers, as `ip:port`.
    pub address: String,
}

/// The view row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// Counts the changes.
    pub epoch: u64,
    /// Version of the row in the store.
    #[serde(skip)]
    pub version: u64,
    /// Members, in the order of joining.
    pub members: Vec<Member>,
    /// Members of the epoch before.
    pub previous: Vec<Member>,
    /// The member that made this view by leaving, which thereby acknowledged it.
    pub departed: Option<MemberId>,
}

impl View {
    /// Whether `id` is a member.
    pub fn contains(&self, id: &MemberId) -> bool {
        self.members.iter().any(|member| member.id == *id)
    }

    /// The member that answers at `id`'s place in this view.
    pub fn member(&self, id: &MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// The next view with `member` in it.
    pub fn with(&self, member: Member) -> View {
        let mut members = self.members.clone();
        members.push(member);
        self.next(members, None)
    }

    /// The next view without `id`; `by_itself` when that member writes it.
    pub fn without(&self, id: &MemberId, by_itself: bool) -> View {
        let mut members = self.members.clone();
        members.retain(|member| member.id != *id);
        self.next(members, by_itself.then(|| id.clone()))
    }

    fn next(&self, members: Vec<Member>, departed: Option<MemberId>) -> View {
        let previous = self.members.clone();
        View { epoch: self.epoch + 1, version: 0, members, previous, departed }
    }

    /// The home of a thing by rendezvous hashing: the member with the highest weight for it.
    pub fn owner(&self, kind: Kind, name: &str) -> Option<&Member> {
        let thing = hash(kind.seed(), name.bytes());
        self.members
            .iter()
            .filter(|member| member.role == kind.role())
            .max_by_key(|member| (weight(thing, &member.id), &member.id))
    }
}

fn weight(thing: u64, id: &MemberId) -> u64 {
    mix(thing ^ hash(id.incarnation, id.name.bytes()))
}

/// Whether `count` is more than half of `total`.
pub(crate) fn majority(count: usize, total: usize) -> bool {
    2 * count > total
}
