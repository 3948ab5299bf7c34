//! Reasons for which a document is refused, each bound to one field.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::config::Name;

/// Longest value that a reason repeats, in characters.
const VALUE_CHARS: usize = 60;

/// Rule for a value that must be an object.
pub const MUST_BE_OBJECT: &str = "must be an object";

/// One wrong field of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// JSON pointer (RFC 6901) of the field.
    pub path: Name,
    /// The value as JSON; hidden where the field holds a key.
    pub value: Name,
    /// What is allowed instead.
    pub allowed: Name,
}

impl FieldError {
    /// A reason that the field at `path` with `value` breaks the rule `allowed`.
    pub fn new(path: &str, value: &Value, allowed: impl Into<Name>) -> Self {
        FieldError {
            path: path.into(),
            value: shown(path, value).into(),
            allowed: allowed.into(),
        }
    }
}

/// Collects reasons while rules are checked one after another.
#[derive(Debug, Default)]
pub struct FieldErrors(pub Vec<FieldError>);

impl FieldErrors {
    /// Adds a reason unless `holds`.
    pub fn check(&mut self, holds: bool, path: &str, value: &impl Serialize, allowed: &str) {
        if holds {
            return;
        }
        let value = serde_json::to_value(value).unwrap_or_default();
        self.0.push(FieldError::new(path, &value, allowed));
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: {}", self.path, self.value, self.allowed)
    }
}

/// Writes reasons one a line.
pub fn format_errors(reasons: &[FieldError]) -> String {
    let mut text = String::new();
    for reason in reasons {
        text.push_str("\n  ");
        text.push_str(&reason.to_string());
    }
    text
}

/// The pointer of `name` below `path`, escaped as RFC 6901 asks.
pub fn child_pointer(path: &str, name: &str) -> String {
    let name = name.replace('~', "~0").replace('/', "~1");
    format!("{path}/{name}")
}

/// Reads each field of `value` apart, so that every wrong one is reported.
///
/// `T` must accept an object with any of its fields left out. Fields named in
/// `apart` are left to the caller, which reads them by their own type.
pub fn check_fields<T: DeserializeOwned>(
    path: &str,
    value: &Value,
    apart: &[&str],
    reasons: &mut Vec<FieldError>,
) {
    let Value::Object(object) = value else {
        reasons.push(FieldError::new(path, value, MUST_BE_OBJECT));
        return;
    };
    for (name, field) in object {
        if apart.contains(&name.as_str()) {
            continue;
        }
        let single = Map::from_iter([(name.clone(), field.clone())]);
        let Err(err) = serde_json::from_value::<T>(Value::Object(single)) else {
            continue;
        };
        reasons.push(FieldError::new(
            &child_pointer(path, name),
            field,
            err.to_string(),
        ));
    }
}

/// Reads each element of an array as [`check_fields`] does.
pub fn check_elements<T: DeserializeOwned>(
    path: &str,
    value: &Value,
    reasons: &mut Vec<FieldError>,
) {
    let Value::Array(array) = value else {
        reasons.push(FieldError::new(path, value, "must be an array"));
        return;
    };
    for (i, element) in array.iter().enumerate() {
        check_fields::<T>(&child_pointer(path, &i.to_string()), element, &[], reasons);
    }
}

fn shown(path: &str, value: &Value) -> String {
    if path.ends_with("key") && value.as_str() != Some("") {
        return "(hidden)".to_owned();
    }
    let text = value.to_string();
    if text.chars().count() <= VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(VALUE_CHARS).collect();
    format!("{start}…")
}
