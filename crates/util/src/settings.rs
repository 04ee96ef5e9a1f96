//! Settings files of all binaries: TOML, read strictly, every problem reported at once.

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
        /// The file.
        file: String,
        /// What the system says.
        cause: std::io::Error,
    },
    /// The file is wrong; all its problems.
    #[error("{}", Lines(.0))]
    Problems(Vec<Problem>),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Reads settings; keys left out keep their defaults.
pub fn load<T>(path: &Path) -> Result<T>
where
    T: Default + DeserializeOwned + Serialize,
{
    load_checked(path, |_| Vec::new())
}

/// Reads settings and adds the problems that `check` finds in the values.
///
/// `check` sees defaults in place of values that can't be read.
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
    let settings = read(&text, &mut problems);
    problems.extend(check(&settings));
    if problems.is_empty() {
        return Ok(settings);
    }
    for problem in &mut problems {
        problem.file.get_or_insert_with(|| file.clone());
    }
    Err(Error::Problems(problems))
}

fn read<T>(text: &str, problems: &mut Vec<Problem>) -> T
where
    T: Default + DeserializeOwned + Serialize,
{
    match strict::parse(text) {
        Ok(found) => strict::read("", &found, problems),
        Err(problem) => {
            problems.push(problem);
            T::default()
        }
    }
}

/// Writes problems one a line.
pub struct Lines<'a>(pub &'a [Problem]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, problem) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}
