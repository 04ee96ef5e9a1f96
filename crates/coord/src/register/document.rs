//! The operators' TOML files.
//!
//! A document has one section a kind (`[teams.depots]`), and one `[rules]` table. A
//! configuration may be split over several files; an entry stands in one of them.

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use super::address::RULES_NAME;
use super::strict;
use super::Address;
use super::Entries;
use super::Entry;
use super::Kind;
use super::Problem;

/// What was read from files, with where each entry stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// The entries.
    pub entries: Entries,
    /// File of each entry.
    pub origins: IndexMap<Address, String>,
    /// Kinds that have a section.
    pub kinds: IndexSet<Kind>,
}

impl Document {
    /// Adds a file's entries and returns what is wrong with the file itself.
    pub fn read(&mut self, file: &str, text: &str) -> Vec<Problem> {
        let mut problems = Vec::new();
        match strict::parse(text) {
            Ok(Value::Object(sections)) => self.sections(file, &sections, &mut problems),
            Ok(_) => {}
            Err(problem) => problems.push(problem),
        }
        for problem in &mut problems {
            problem.file.get_or_insert_with(|| file.to_owned());
        }
        problems
    }

    /// What the document makes of the present entries.
    ///
    /// Kinds without a section stay as they are, and so do keys that the document leaves out: they
    /// may have been issued by command. A drained zone stays drained and a revoked key revoked,
    /// whatever a file says, since the file may be older than the command.
    pub fn apply_to(&self, present: &Entries) -> Entries {
        let stays =
            |address: &Address| address.kind == Kind::Key || !self.kinds.contains(&address.kind);
        let kept = present.iter().filter(|(address, _)| stays(address));
        let mut entries: Entries =
            kept.map(|(address, entry)| (address.clone(), entry.clone())).collect();
        for (address, entry) in &self.entries {
            let mut entry = entry.clone();
            if let Some(old) = present.get(address) {
                carry(old, &mut entry);
            }
            entries.insert(address.clone(), entry);
        }
        entries
    }

    /// Checks the entries and names the file of each problem where one entry is at fault.
    pub fn check(&self) -> Vec<Problem> {
        self.check_entries(&self.entries)
    }

    /// Checks other entries that this document had a part in.
    pub fn check_entries(&self, entries: &Entries) -> Vec<Problem> {
        let mut problems = super::check(entries);
        for problem in &mut problems {
            problem.file = self.file_of(&problem.key).cloned();
        }
        problems
    }

    fn file_of(&self, key: &str) -> Option<&String> {
        let holds = |address: &Address| {
            let rest = key.strip_prefix(key_of(address).as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        // Names may contain dots, so the longest one that fits is meant.
        let found = self.origins.iter().filter(|(address, _)| holds(address));
        let found = found.max_by_key(|(address, _)| address.name.len());
        found.map(|(_, file)| file)
    }

    fn sections(&mut self, file: &str, sections: &Map<String, Value>, found: &mut Vec<Problem>) {
        for (section, value) in sections {
            let kind = Kind::ALL.into_iter().find(|kind| kind.section() == section);
            let Some(kind) = kind else {
                let known = Kind::ALL.iter().map(|kind| kind.section());
                found.push(strict::unknown(section.clone(), section, known));
                continue;
            };
            let Value::Object(map) = value else {
                found.push(Problem::new(section, value, "a table"));
                continue;
            };
            self.kinds.insert(kind);
            if kind == Kind::Rules {
                self.entry(file, Address::new(kind, RULES_NAME), value, found);
                continue;
            }
            for (name, value) in map {
                self.entry(file, Address::new(kind, name), value, found);
            }
        }
    }

    fn entry(&mut self, file: &str, address: Address, value: &Value, found: &mut Vec<Problem>) {
        let key = key_of(&address);
        if !value.is_object() {
            found.push(Problem::new(key, value, "a table"));
            return;
        }
        if let Some(other) = self.origins.get(&address) {
            found.push(Problem::new(key, "a second entry", format!("one; {other} has it too")));
            return;
        }
        let entry = entry(address.kind, &key, value, found);
        self.origins.insert(address.clone(), file.to_owned());
        self.entries.insert(address, entry);
    }
}

/// Writes entries as one TOML document.
pub fn write(entries: &Entries) -> String {
    let mut document = Map::new();
    for kind in Kind::ALL {
        let mut section = Map::new();
        for (address, entry) in entries.iter().filter(|(address, _)| address.kind == kind) {
            let value = without_nulls(entry.to_value());
            match (kind, value) {
                (Kind::Rules, Value::Object(fields)) => section = fields,
                (_, value) => {
                    section.insert(address.name.clone(), value);
                }
            }
        }
        section.sort_keys();
        if !section.is_empty() {
            document.insert(kind.section().to_owned(), Value::Object(section));
        }
    }
    // Without nulls, JSON values are TOML values.
    toml::to_string(&document).unwrap_or_default()
}

/// The dotted key of an entry in a document.
pub(crate) fn key_of(address: &Address) -> String {
    match address.kind {
        Kind::Rules => Kind::Rules.section().to_owned(),
        kind => format!("{}.{}", kind.section(), address.name),
    }
}

fn entry(kind: Kind, key: &str, value: &Value, found: &mut Vec<Problem>) -> Entry {
    fn read<T>(key: &str, value: &Value, found: &mut Vec<Problem>) -> T
    where
        T: Default + DeserializeOwned + Serialize,
    {
        strict::read(key, value, found)
    }
    match kind {
        Kind::Zone => Entry::Zone(read(key, value, found)),
        Kind::Upstream => Entry::Upstream(read(key, value, found)),
        Kind::Model => Entry::Model(read(key, value, found)),
        Kind::Adapter => Entry::Adapter(read(key, value, found)),
        Kind::Team => Entry::Team(read(key, value, found)),
        Kind::Key => Entry::Key(read(key, value, found)),
        Kind::Service => Entry::Service(read(key, value, found)),
        Kind::Grant => Entry::Grant(read(key, value, found)),
        Kind::Rules => Entry::Rules(read(key, value, found)),
    }
}

/// Carries over what only commands may undo.
fn carry(old: &Entry, new: &mut Entry) {
    match (old, new) {
        (Entry::Zone(old), Entry::Zone(new)) => new.drained |= old.drained,
        (Entry::Key(old), Entry::Key(new)) => new.revoked |= old.revoked,
        _ => {}
    }
}

fn without_nulls(value: Value) -> Value {
    match value {
        Value::Object(map) => {
            let kept = map.into_iter().filter(|(_, value)| !value.is_null());
            Value::Object(kept.map(|(name, value)| (name, without_nulls(value))).collect())
        }
        other => other,
    }
}
