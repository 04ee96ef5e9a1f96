//! Parses histories from text.
//!
//! Each line has a time in milliseconds, a process, the event's name and its fields as
//! `name=value`. A value is JSON without spaces, or else a string.

use corianderyoke_history::Bounds;
use corianderyoke_history::History;
use corianderyoke_history::Record;
use indexmap::IndexMap;
use serde_json::json;
use serde_json::Map;
use serde_json::Value;

/// Parses the history in `text`.
pub fn history(text: &str) -> History {
    let mut seqs = IndexMap::<&str, u64>::new();
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let records = lines.map(|line| record(line, &mut seqs)).collect();
    History::new(records, Bounds::default()).expect("a whole history")
}

fn record<'a>(line: &'a str, seqs: &mut IndexMap<&'a str, u64>) -> Record {
    let mut words = line.split_whitespace();
    let millis = words.next().and_then(|word| word.parse::<u64>().ok()).expect("a time");
    let process = words.next().expect("a process");
    let name = words.next().expect("an event");
    let seq = seqs.entry(process).or_default();
    let mut fields = Map::new();
    for word in words {
        let (field, value) = word.split_once('=').expect("a field");
        let value = serde_json::from_str::<Value>(value).unwrap_or_else(|_| json!(value));
        fields.insert(field.to_owned(), value);
    }
    fields.insert("process".to_owned(), json!(process));
    fields.insert("seq".to_owned(), json!(*seq));
    fields.insert("at".to_owned(), json!(millis * 1000));
    fields.insert("event".to_owned(), json!(name));
    *seq += 1;
    serde_json::from_value(Value::Object(fields)).unwrap_or_else(|error| panic!("{line}: {error}"))
}
