//! Small `Copy` keys for interned names, and the interner that assigns them.
//!
//! Names come from the register and are sent between processes; keys are local to a process. A key
//! is never reused, so it stays valid across register revisions.

use std::fmt::Debug;
use std::marker::PhantomData;

use indexmap::IndexSet;

/// A key that an [`Interner`] assigns.
pub trait Key: Copy + Debug + Eq {
    /// The key of the name at `index` in its interner.
    fn from_index(index: usize) -> Self;
    /// The index of the name in its interner.
    fn index(self) -> usize;
}

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub u32);

        impl Key for $name {
            fn from_index(index: usize) -> Self {
                $name(index as u32)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

key!(
    /// Key of a team.
    TeamKey
);
key!(
    /// Key of a base model.
    ModelKey
);
key!(
    /// Key of an adapter of a base model.
    AdapterKey
);
key!(
    /// Key of an upstream: a model engine or an instance of a plain service.
    UpstreamKey
);
key!(
    /// Key of an availability zone.
    ZoneKey
);
key!(
    /// Key of a member of the membership view: one incarnation of a process.
    MemberKey
);

/// Interns names of one kind and assigns keys that are never reused.
#[derive(Clone, Debug)]
pub struct Interner<K> {
    names: IndexSet<String>,
    kind: PhantomData<K>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Interner { names: IndexSet::new(), kind: PhantomData }
    }
}

impl<K: Key> Interner<K> {
    /// The key of `name`, newly assigned if the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(index) = self.names.get_index_of(name) {
            return K::from_index(index);
        }
        let (index, _) = self.names.insert_full(name.to_owned());
        K::from_index(index)
    }

    /// The key of `name`, if it was interned.
    pub fn key(&self, name: &str) -> Option<K> {
        self.names.get_index_of(name).map(K::from_index)
    }

    /// The name of `key`; empty for an index that this interner hasn't assigned.
    pub fn name(&self, key: K) -> &str {
        self.names.get_index(key.index()).map_or("", String::as_str)
    }

    /// Number of interned names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name was interned.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
