//! Reads settings strictly: unknown keys and wrong values are reported all at once.
//!
//! The default value of a settings type serves as the template: its keys are the known ones, and
//! each value of a file is tried on its own in place of the default's.

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use super::Problem;

/// Least similarity, from 0 to 1, at which a known name is offered for an unknown one.
const HINT_SIMILARITY: f64 = 0.7;

/// Reads `found` as a `T`. Keys left out keep their defaults; each problem leaves its default.
///
/// `prefix` goes before the keys in problems; `found` has to be a JSON object.
pub fn read<T>(prefix: &str, found: &Value, problems: &mut Vec<Problem>) -> T
where
    T: Default + DeserializeOwned + Serialize,
{
    let mut template = match serde_json::to_value(T::default()) {
        Ok(Value::Object(template)) => Value::Object(template),
        _ => return T::default(),
    };
    let mut path = Vec::new();
    let pristine = template.clone();
    let probe = |candidate: &Value| T::deserialize(candidate).err().map(|e| e.to_string());
    merge(&mut template, &pristine, found, &mut path, prefix, &probe, problems);
    T::deserialize(template).unwrap_or_default()
}

/// Parses TOML text into JSON.
pub fn parse(text: &str) -> Result<Value, Problem> {
    let table: toml::Table = text.parse().map_err(|error: toml::de::Error| {
        let line = error.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
        Problem::new(format!("line {line}"), quoted(error.message()), "TOML")
    })?;
    serde_json::to_value(table).map_err(|error| Problem::new("file", error, "TOML"))
}

/// A problem for an unknown key, with the nearest of the known ones.
pub fn unknown<'a>(key: String, name: &str, known: impl Iterator<Item = &'a str>) -> Problem {
    let known: Vec<&str> = known.collect();
    let similarity = |candidate: &str| strsim::jaro_winkler(name, candidate);
    let nearest = known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
        .filter(|candidate| similarity(candidate) >= HINT_SIMILARITY);
    let list = if known.is_empty() { "none is known".to_owned() } else { known.join(", ") };
    let allowed = match nearest {
        Some(nearest) => format!("did you mean `{nearest}`? one of: {list}"),
        None => format!("one of: {list}"),
    };
    Problem::new(key, "an unknown key", allowed)
}

/// Puts the values of `found` into `merged`, each after a trial in the template.
fn merge(
    merged: &mut Value,
    template: &Value,
    found: &Value,
    path: &mut Vec<String>,
    prefix: &str,
    probe: &dyn Fn(&Value) -> Option<String>,
    problems: &mut Vec<Problem>,
) {
    let Value::Object(found) = found else { return };
    for (name, value) in found {
        path.push(name.clone());
        let key = join(prefix, path);
        match at(template, path) {
            None => {
                let known = keys(at(template, &path[..path.len() - 1]));
                problems.push(unknown(key, name, known.iter().map(String::as_str)));
            }
            Some(Value::Object(inner)) if !inner.is_empty() && value.is_object() => {
                merge(merged, template, value, path, prefix, probe, problems);
            }
            Some(_) => {
                let mut trial = template.clone();
                put(&mut trial, path, value.clone());
                match probe(&trial) {
                    None => put(merged, path, value.clone()),
                    Some(error) => problems.push(Problem::new(key, value, expected(&error))),
                }
            }
        }
        path.pop();
    }
}

/// The part of a decoder's error that says what it wants.
fn expected(error: &str) -> String {
    let text = error.split_once("expected ").map_or(error, |(_, expected)| expected);
    match text {
        "u8" | "u16" | "u32" | "u64" | "usize" => "a whole number, 0 or more",
        "f64" => "a number",
        "a boolean" => "true or false",
        "invalid socket address syntax" => "an address such as 127.0.0.1:7400",
        other => other,
    }
    .to_owned()
}

fn join(prefix: &str, path: &[String]) -> String {
    let path = path.join(".");
    if prefix.is_empty() {
        path
    } else {
        format!("{prefix}.{path}")
    }
}

fn at<'a>(value: &'a Value, path: &[String]) -> Option<&'a Value> {
    path.iter().try_fold(value, |value, name| value.get(name))
}

fn put(value: &mut Value, path: &[String], new: Value) {
    let mut slot = value;
    for name in path {
        if !slot.is_object() {
            *slot = Value::Object(Map::new());
        }
        slot = &mut slot[name.as_str()];
    }
    *slot = new;
}

fn keys(value: Option<&Value>) -> Vec<String> {
    match value {
        Some(Value::Object(map)) => map.keys().cloned().collect(),
        _ => Vec::new(),
    }
}

fn quoted(text: &str) -> String {
    format!("`{}`", text.lines().next().unwrap_or_default())
}
