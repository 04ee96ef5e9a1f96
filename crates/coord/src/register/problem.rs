//! A validation problem of a file or a set of entries.

use std::fmt;

use serde::Serialize;

/// A value that is not allowed, where it is, and what is allowed there.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// File that contains the value; `None` if unknown.
    pub file: Option<String>,
    /// Dotted key, such as `teams.depots.rate`.
    pub key: String,
    /// The rejected value.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl Problem {
    /// Creates a problem without a file.
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
