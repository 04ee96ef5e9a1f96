//! Reads and writes the operators' TOML files.
//!
//! A document has a section per kind, with a table per entry (`[teams.depots]`), and one `[rules]`
//! table. A configuration may be split over several files. Each entry is defined in only one.

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

/// Entries read from one or more files, with the file of each entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Entries by address.
    pub entries: Entries,
    /// File that defines each entry.
    pub origins: IndexMap<Address, String>,
    /// Kinds that have a section in a file.
    pub kinds: IndexSet<Kind>,
}

impl Document {
    /// Adds the entries of a file, and returns the problems of its syntax, keys and values.
    pub fn read(&mut self, file: &str, text: &str) -> Vec<Problem> {
        let mut problems = Vec::new();
        match strict::parse(text) {
            Ok(Value::Object(sections)) => self.read_sections(file, &sections, &mut problems),
            Ok(_) => {}
            Err(problem) => problems.push(problem),
        }
        for problem in &mut problems {
            problem.file.get_or_insert_with(|| file.to_owned());
        }
        problems
    }

    /// Returns the entries that result from applying the document to `current`.
    ///
    /// Kinds without a section are unchanged, and so are keys missing from the document, which may
    /// have been issued by command. A drained zone stays drained and a revoked key stays revoked,
    /// whatever the document says, since it may be older than the command.
    pub fn apply_to(&self, current: &Entries) -> Entries {
        let is_kept =
            |address: &Address| address.kind == Kind::Key || !self.kinds.contains(&address.kind);
        let retained = current.iter().filter(|(address, _)| is_kept(address));
        let mut entries: Entries =
            retained.map(|(address, entry)| (address.clone(), entry.clone())).collect();
        for (address, entry) in &self.entries {
            let mut entry = entry.clone();
            if let Some(old) = current.get(address) {
                preserve_command_flags(old, &mut entry);
            }
            entries.insert(address.clone(), entry);
        }
        entries
    }

    /// Validates the document's entries. Problems of a single entry name its file.
    pub fn check(&self) -> Vec<Problem> {
        self.check_entries(&self.entries)
    }

    /// Validates `entries`, such as the result of [`Document::apply_to`]. Problems of an entry of
    /// this document name its file.
    pub fn check_entries(&self, entries: &Entries) -> Vec<Problem> {
        let mut problems = super::check(entries);
        for problem in &mut problems {
            problem.file = self.file_of(&problem.key).cloned();
        }
        problems
    }

    fn file_of(&self, key: &str) -> Option<&String> {
        let contains_key = |address: &Address| {
            let rest = key.strip_prefix(key_of(address).as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        // Names may contain dots, so the longest matching name is the right one.
        let matching = self.origins.iter().filter(|(address, _)| contains_key(address));
        let longest = matching.max_by_key(|(address, _)| address.name.len());
        longest.map(|(_, file)| file)
    }

    fn read_sections(
        &mut self,
        file: &str,
        sections: &Map<String, Value>,
        problems: &mut Vec<Problem>,
    ) {
        for (section, value) in sections {
            let kind = Kind::ALL.into_iter().find(|kind| kind.section() == section);
            let Some(kind) = kind else {
                let known = Kind::ALL.iter().map(|kind| kind.section());
                problems.push(strict::unknown_key(section.clone(), section, known));
                continue;
            };
            let Value::Object(map) = value else {
                problems.push(Problem::new(section, value, "a table"));
                continue;
            };
            self.kinds.insert(kind);
            if kind == Kind::Rules {
                self.read_entry(file, Address::new(kind, RULES_NAME), value, problems);
                continue;
            }
            for (name, value) in map {
                self.read_entry(file, Address::new(kind, name), value, problems);
            }
        }
    }

    fn read_entry(
        &mut self,
        file: &str,
        address: Address,
        value: &Value,
        problems: &mut Vec<Problem>,
    ) {
        let key = key_of(&address);
        if !value.is_object() {
            problems.push(Problem::new(key, value, "a table"));
            return;
        }
        if let Some(other) = self.origins.get(&address) {
            problems.push(Problem::new(
                key,
                "a duplicate entry",
                format!("one entry; {other} defines it too"),
            ));
            return;
        }
        let entry = decode_entry(address.kind, &key, value, problems);
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

/// Dotted key of an entry in a document, such as `teams.depots`.
pub(crate) fn key_of(address: &Address) -> String {
    match address.kind {
        Kind::Rules => Kind::Rules.section().to_owned(),
        kind => format!("{}.{}", kind.section(), address.name),
    }
}

fn decode_entry(kind: Kind, key: &str, value: &Value, problems: &mut Vec<Problem>) -> Entry {
    fn decode<T>(key: &str, value: &Value, problems: &mut Vec<Problem>) -> T
    where
        T: Default + DeserializeOwned + Serialize,
    {
        strict::read(key, value, problems)
    }
    match kind {
        Kind::Zone => Entry::Zone(decode(key, value, problems)),
        Kind::Upstream => Entry::Upstream(decode(key, value, problems)),
        Kind::Model => Entry::Model(decode(key, value, problems)),
        Kind::Adapter => Entry::Adapter(decode(key, value, problems)),
        Kind::Team => Entry::Team(decode(key, value, problems)),
        Kind::Key => Entry::Key(decode(key, value, problems)),
        Kind::Service => Entry::Service(decode(key, value, problems)),
        Kind::Grant => Entry::Grant(decode(key, value, problems)),
        Kind::Rules => Entry::Rules(decode(key, value, problems)),
    }
}

/// Preserves drained and revoked flags, which a document can't reset.
fn preserve_command_flags(old: &Entry, new: &mut Entry) {
    match (old, new) {
        (Entry::Zone(old), Entry::Zone(new)) => new.drained |= old.drained,
        (Entry::Key(old), Entry::Key(new)) => new.revoked |= old.revoked,
        _ => {}
    }
}

fn without_nulls(value: Value) -> Value {
    match value {
        Value::Object(map) => {
            let fields = map.into_iter().filter(|(_, value)| !value.is_null());
            Value::Object(fields.map(|(name, value)| (name, without_nulls(value))).collect())
        }
        other => other,
    }
}
