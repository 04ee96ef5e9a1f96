//! Reads TOML settings files strictly and reports all problems at once.

use std::fmt;
use std::path::Path;

use corianderyoke_coord::register::strict;
use corianderyoke_coord::register::Problem;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Errors of reading settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("failed to read {file}: {cause}; give a readable file with --config")]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the file system.
        cause: std::io::Error,
    },
    /// The file has invalid settings; contains every problem found.
    #[error("{}", ProblemList(.0))]
    Problems(Vec<Problem>),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Reads settings; omitted keys keep their defaults.
pub fn load<T>(path: &Path) -> Result<T>
where
    T: Default + DeserializeOwned + Serialize,
{
    load_checked(path, |_| Vec::new())
}

/// Reads settings and also reports the problems that `check` finds in the values.
///
/// `check` receives defaults in place of values that failed to parse.
pub fn load_checked<T>(path: &Path, check: impl FnOnce(&T) -> Vec<Problem>) -> Result<T>
where
    T: Default + DeserializeOwned + Serialize,
{
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(cause) => return Err(Error::Read { file, cause }),
    };
    let mut problems = Vec::new();
    let settings = parse(&text, &mut problems);
    problems.extend(check(&settings));
    if problems.is_empty() {
        return Ok(settings);
    }
    for problem in &mut problems {
        problem.file.get_or_insert_with(|| file.clone());
    }
    Err(Error::Problems(problems))
}

fn parse<T>(text: &str, problems: &mut Vec<Problem>) -> T
where
    T: Default + DeserializeOwned + Serialize,
{
    match strict::parse(text) {
        Ok(table) => strict::read("", &table, problems),
        Err(problem) => {
            problems.push(problem);
            T::default()
        }
    }
}

/// Formats problems, one per line.
pub struct ProblemList<'a>(pub &'a [Problem]);

impl fmt::Display for ProblemList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}
