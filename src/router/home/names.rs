//! Interned names, which the homes of this router use as compact keys.

use corianderyoke_coord::keys::AdapterKey;
use corianderyoke_coord::keys::Interner;
use corianderyoke_coord::keys::Key;
use corianderyoke_coord::keys::MemberKey;
use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::keys::TeamKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::keys::ZoneKey;
use corianderyoke_coord::membership::MemberId;
use parking_lot::Mutex;

/// An interner for names of one kind, behind a lock.
pub struct Arena<K>(Mutex<Interner<K>>);

impl<K> Default for Arena<K>
where
    Interner<K>: Default,
{
    fn default() -> Self {
        Arena(Mutex::default())
    }
}

impl<K: Key> Arena<K> {
    /// The key of `name`, which is interned if it is new.
    pub fn key(&self, name: &str) -> K {
        self.0.lock().intern(name)
    }

    /// The name that `key` was interned for.
    pub fn name(&self, key: K) -> String {
        self.0.lock().name(key).to_owned()
    }
}

/// The arenas, one for each kind of name.
#[derive(Default)]
pub struct Names {
    /// Names of teams.
    pub teams: Arena<TeamKey>,
    /// Names of base models.
    pub models: Arena<ModelKey>,
    /// Names of adapters.
    pub adapters: Arena<AdapterKey>,
    /// Names of upstreams.
    pub upstreams: Arena<UpstreamKey>,
    /// Names of availability zones.
    pub zones: Arena<ZoneKey>,
    /// Ids of members, each with name and incarnation.
    pub members: Arena<MemberKey>,
}

impl Names {
    /// The key of one incarnation of a member.
    pub fn member(&self, id: &MemberId) -> MemberKey {
        self.members.key(&id.to_string())
    }
}
