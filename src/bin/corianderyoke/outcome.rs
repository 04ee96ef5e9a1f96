//! The result of a subcommand: text or JSON output, and exit code.

use std::fmt::Display;
use std::io::Write;

use corianderyoke::ops::config;
use corianderyoke::util::exit::Exit;
use corianderyoke::util::settings;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;

/// Output and exit code of a subcommand that ran without an error.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Output for people; ends with a line break unless empty.
    pub text: String,
    /// Output for programs.
    pub json: Value,
    /// The exit code.
    pub exit: Exit,
}

impl Outcome {
    /// An outcome whose JSON holds the text as `message`.
    pub fn text(text: impl Display) -> Outcome {
        let text = text.to_string();
        let json = json!({ "message": text.trim_end() });
        Outcome { text, json, exit: Exit::Done }
    }

    /// An outcome with the text and, as JSON, the value that the text shows.
    pub fn new(text: impl Display, value: &impl Serialize) -> Outcome {
        let json = serde_json::to_value(value).unwrap_or_default();
        Outcome { text: text.to_string(), json, exit: Exit::Done }
    }

    /// Writes the output and returns the exit code.
    pub fn print(&self, json: bool) -> Exit {
        let mut out = std::io::stdout().lock();
        let result =
            if json { writeln!(out, "{:#}", self.json) } else { write!(out, "{}", self.text) };
        match result.and_then(|()| out.flush()) {
            Ok(()) => self.exit,
            Err(_) => Exit::Failed,
        }
    }
}

/// Writes an error to standard error and returns its exit code.
pub fn print_error(error: &anyhow::Error, json: bool) -> Exit {
    let exit = exit_of(error);
    if json {
        eprintln!("{:#}", json!({ "error": error.to_string(), "exit": exit.code() }));
    } else {
        eprintln!("error: {error}");
    }
    exit
}

fn exit_of(error: &anyhow::Error) -> Exit {
    if let Some(error) = error.downcast_ref::<config::Error>() {
        return error.exit();
    }
    match error.downcast_ref::<settings::Error>() {
        Some(settings::Error::Problems(_)) => Exit::Invalid,
        _ => Exit::Failed,
    }
}
