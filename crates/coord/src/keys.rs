//! Small `Copy` keys for named things, and the arena that hands them out.
//!
//! Names come from the register and travel between processes. Inside a process a name is interned
//! once and its key is never reused, so a key stays valid across register revisions.

use std::fmt::Debug;
use std::marker::PhantomData;

use indexmap::IndexSet;

/// A key that an [`Interner`] hands out.
pub trait Key: Copy + Debug + Eq {
    /// The key for position `index` of its arena.
    fn from_index(index: usize) -> Self;
    /// The position in its arena.
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
    /// A team.
    TeamKey
);
key!(
    /// A base model.
    ModelKey
);
key!(
    /// An adapter of a base model.
    AdapterKey
);
key!(
    /// An upstream: a model engine or a plain service's instance.
    UpstreamKey
);
key!(
    /// An availability zone.
    ZoneKey
);
key!(
    /// A member of the view: one incarnation of a daemon.
    MemberKey
);

/// Interns names of one kind and hands out keys that are never reused.
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
    /// The key for `name`, which is made when the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(index) = self.names.get_index_of(name) {
            return K::from_index(index);
        }
        let (index, _) = self.names.insert_full(name.to_owned());
        K::from_index(index)
    }

    /// The key for `name`, if it was interned.
    pub fn key(&self, name: &str) -> Option<K> {
        self.names.get_index_of(name).map(K::from_index)
    }

    /// The name behind `key`; empty for a key of another arena.
    pub fn name(&self, key: K) -> &str {
        self.names.get_index(key.index()).map_or("", String::as_str)
    }

    /// How many names were interned.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name was interned yet.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
