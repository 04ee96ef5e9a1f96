//! Read access to the permits.

use super::PermitKey;
use super::Permits;

impl Permits {
    /// Number of permits in use, including those of expired holders.
    pub fn in_use(&self) -> usize {
        self.held.len()
    }

    /// Whether this permit is in use.
    pub fn holds(&self, key: PermitKey) -> bool {
        self.held.contains_key(&key)
    }
}
