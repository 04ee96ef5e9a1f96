//! Queries of the permits.

use super::PermitKey;
use super::Permits;

impl Permits {
    /// Permits in use, those of lapsed holders included.
    pub fn in_use(&self) -> usize {
        self.held.len()
    }

    /// Whether this permit is in use.
    pub fn holds(&self, key: PermitKey) -> bool {
        self.held.contains_key(&key)
    }
}
