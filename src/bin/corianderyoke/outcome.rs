//! What a subcommand has to say, as text and as JSON.

use std::fmt::Display;
use std::io::Write;

use corianderyoke::ops::config;
use corianderyoke::util::exit::Exit;
use corianderyoke::util::settings;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;

/// Output and exit code of a subcommand that went through.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// For people, ending with a line break.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// The exit code.
    pub exit: Exit,
}

impl Outcome {
    /// Text that is also the JSON's `message`.
    pub fn text(text: impl Display) -> Outcome {
        let text = text.to_string();
        let json = json!({ "message": text.trim_end() });
        Outcome { text, json, exit: Exit::Done }
    }

    /// Text and the value it was made from.
    pub fn of(text: impl Display, value: &impl Serialize) -> Outcome {
        let json = serde_json::to_value(value).unwrap_or_default();
        Outcome { text: text.to_string(), json, exit: Exit::Done }
    }

    /// Writes the output and returns the exit code.
    pub fn print(&self, json: bool) -> Exit {
        let mut out = std::io::stdout().lock();
        let written =
            if json { writeln!(out, "{:#}", self.json) } else { write!(out, "{}", self.text) };
        match written.and_then(|()| out.flush()) {
            Ok(()) => self.exit,
            Err(_) => Exit::Failed,
        }
    }
}

/// Writes an error to standard error and returns its exit code.
pub fn print_error(error: &anyhow::Error, json: bool) -> Exit {
    let exit = exit(error);
    if json {
        eprintln!("{:#}", json!({ "error": error.to_string(), "exit": exit.code() }));
    } else {
        eprintln!("error: {error}");
    }
    exit
}

fn exit(error: &anyhow::Error) -> Exit {
    if let Some(error) = error.downcast_ref::<config::Error>() {
        return error.exit();
    }
    match error.downcast_ref::<settings::Error>() {
        Some(settings::Error::Problems(_)) => Exit::Invalid,
        _ => Exit::Failed,
    }
}
