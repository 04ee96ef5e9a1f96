//! Reads settings strictly and reports all unknown keys and invalid values at once.
//!
//! The keys of a settings type's default value are the known keys. Each value of the input replaces
//! its default on its own, so that one invalid value leaves the others in force.

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use super::Problem;

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a hint suggests a known name.
const MIN_HINT_SIMILARITY: f64 = 0.7;

/// Reads `input`, a JSON object, as a `T`. Missing and invalid values take their defaults. Unknown
/// keys and invalid values are added to `problems`.
///
/// `prefix` is prepended to the keys in problems.
pub fn read<T>(prefix: &str, input: &Value, problems: &mut Vec<Problem>) -> T
where
    T: Default + DeserializeOwned + Serialize,
{
    let mut merged = match serde_json::to_value(T::default()) {
        Ok(Value::Object(fields)) => Value::Object(fields),
        _ => return T::default(),
    };
    let mut path = Vec::new();
    let defaults = merged.clone();
    let validate = |candidate: &Value| T::deserialize(candidate).err().map(|e| e.to_string());
    merge(&mut merged, &defaults, input, &mut path, prefix, &validate, problems);
    T::deserialize(merged).unwrap_or_default()
}

/// Parses TOML text into a JSON value.
pub fn parse(text: &str) -> Result<Value, Problem> {
    let table: toml::Table = text.parse().map_err(|error: toml::de::Error| {
        let line = error.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
        Problem::new(format!("line {line}"), quoted_first_line(error.message()), "TOML")
    })?;
    serde_json::to_value(table).map_err(|error| Problem::new("file", error, "TOML"))
}

/// Creates the problem for an unknown key, with a hint at the most similar known one.
pub fn unknown_key<'a>(key: String, name: &str, known: impl Iterator<Item = &'a str>) -> Problem {
    let known: Vec<&str> = known.collect();
    let similarity = |candidate: &str| strsim::jaro_winkler(name, candidate);
    let nearest = known
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
        .filter(|candidate| similarity(candidate) >= MIN_HINT_SIMILARITY);
    let list = if known.is_empty() { "none is known".to_owned() } else { known.join(", ") };
    let allowed = match nearest {
        Some(nearest) => format!("did you mean `{nearest}`? one of: {list}"),
        None => format!("one of: {list}"),
    };
    Problem::new(key, "an unknown key", allowed)
}

/// Copies the values of `input` into `merged` if they are valid in place of their default.
fn merge(
    merged: &mut Value,
    defaults: &Value,
    input: &Value,
    path: &mut Vec<String>,
    prefix: &str,
    validate: &dyn Fn(&Value) -> Option<String>,
    problems: &mut Vec<Problem>,
) {
    let Value::Object(input) = input else { return };
    for (name, value) in input {
        path.push(name.clone());
        let key = join(prefix, path);
        match value_at(defaults, path) {
            None => {
                let known = object_keys(value_at(defaults, &path[..path.len() - 1]));
                problems.push(unknown_key(key, name, known.iter().map(String::as_str)));
            }
            Some(Value::Object(inner)) if !inner.is_empty() && value.is_object() => {
                merge(merged, defaults, value, path, prefix, validate, problems);
            }
            Some(_) => {
                let mut candidate = defaults.clone();
                set_value(&mut candidate, path, value.clone());
                match validate(&candidate) {
                    None => set_value(merged, path, value.clone()),
                    Some(error) => problems.push(Problem::new(key, value, expected(&error))),
                }
            }
        }
        path.pop();
    }
}

/// Describes the expected value, from a decoder's error message.
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

fn value_at<'a>(value: &'a Value, path: &[String]) -> Option<&'a Value> {
    path.iter().try_fold(value, |value, name| value.get(name))
}

fn set_value(value: &mut Value, path: &[String], new: Value) {
    let mut target = value;
    for name in path {
        if !target.is_object() {
            *target = Value::Object(Map::new());
        }
        target = &mut target[name.as_str()];
    }
    *target = new;
}

fn object_keys(value: Option<&Value>) -> Vec<String> {
    match value {
        Some(Value::Object(map)) => map.keys().cloned().collect(),
        _ => Vec::new(),
    }
}

fn quoted_first_line(text: &str) -> String {
    format!("`{}`", text.lines().next().unwrap_or_default())
}
