//! One thing that is wrong with a file or a set of entries.

use std::fmt;

use serde::Serialize;

/// What is wrong, where, and what is allowed there.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// File, where one is known.
    pub file: Option<String>,
    /// Dotted key, such as `teams.depots.rate`.
    pub key: String,
    /// The value found.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl Problem {
    /// A problem whose file isn't known yet.
    pub fn new(
        key: impl Into<String>,
        value: impl fmt::Display,
        allowed: impl Into<String>,
    ) -> Self {
        let value = value.to_string();
        Problem { file: None, key: key.into(), value, allowed: allowed.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}: ")?;
        }
        write!(f, "{}: {} is not allowed; allowed: {}", self.key, self.value, self.allowed)
    }
}
