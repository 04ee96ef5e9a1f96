//! The simulated store: member rows and the view row, with conditional writes.

use std::sync::Arc;

use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::StoreAnswer;
use corianderyoke_coord::membership::StoreOp;
use corianderyoke_coord::membership::VersionedRow;
use corianderyoke_coord::membership::View;
use indexmap::IndexMap;

#[derive(Default)]
pub struct Store {
    version: u64,
    rows: IndexMap<String, VersionedRow>,
    pub view: Option<Arc<View>>,
}

impl Store {
    /// Executes an access. Also returns the member that the access removed from the view, unless
    /// the member left by itself.
    pub fn apply(&mut self, op: StoreOp) -> (StoreAnswer, Option<MemberId>) {
        match op {
            StoreOp::Scan => {
                let answer =
                    StoreAnswer::Scanned { rows: self.rows.clone(), view: self.view.clone() };
                (answer, None)
            }
            StoreOp::Put { expect, row } => {
                // In these tests a member's address is its name.
                let name = row.peer_addr.clone();
                if self.rows.get(&name).map(|stored| stored.version) != expect {
                    return (StoreAnswer::Refused, None);
                }
                self.version += 1;
                self.rows.insert(name, VersionedRow { row: *row, version: self.version });
                (StoreAnswer::Done(self.version), None)
            }
            StoreOp::Change { expect, view, guards, delete } => {
                let version_of = |name: &String| self.rows.get(name).map(|stored| stored.version);
                let guards_hold =
                    guards.iter().all(|(name, version)| version_of(name) == Some(*version));
                if self.view.as_ref().map(|view| view.version) != expect || !guards_hold {
                    return (StoreAnswer::Refused, None);
                }
                let epoch = self.view.as_ref().map_or(0, |view| view.epoch);
                assert_eq!(view.epoch, epoch + 1, "each change increases the epoch by one");
                self.version += 1;
                if let Some(name) = delete {
                    self.rows.swap_remove(&name);
                }
                let missing = view.previous.iter().find(|member| !view.contains(&member.id));
                let removed = missing.filter(|_| view.departed.is_none()).map(|m| m.id.clone());
                self.view = Some(Arc::new(View { version: self.version, ..*view }));
                (StoreAnswer::Done(self.version), removed)
            }
        }
    }
}
