//! Validation errors, each for one field of a document.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::config::Name;

/// Maximum length of a quoted value, in characters.
const MAX_VALUE_CHARS: usize = 60;

/// Rule for a value that must be an object.
pub const MUST_BE_OBJECT: &str = "must be an object";

/// An invalid field of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// JSON pointer (RFC 6901) of the field.
    pub path: Name,
    /// The value as JSON, cut to 60 characters; redacted when the field holds a key.
    pub value: Name,
    /// Rule that the value breaks.
    pub allowed: Name,
}

impl FieldError {
    /// Creates the error for `value` at `path`, which breaks the rule `allowed`.
    pub fn new(path: &str, value: &Value, allowed: impl Into<Name>) -> Self {
        FieldError {
            path: path.into(),
            value: quoted_value(path, value).into(),
            allowed: allowed.into(),
        }
    }
}

/// Collects the errors of several checks.
#[derive(Debug, Default)]
pub struct FieldErrors(pub Vec<FieldError>);

impl FieldErrors {
    /// Adds an error unless `valid`.
    pub fn check(&mut self, valid: bool, path: &str, value: &impl Serialize, allowed: &str) {
        if valid {
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

/// Formats errors, each on an indented line of its own.
pub fn format_errors(errors: &[FieldError]) -> String {
    let mut text = String::new();
    for error in errors {
        text.push_str("\n  ");
        text.push_str(&error.to_string());
    }
    text
}

/// Returns the JSON pointer of the field `name` of the object at `path`, escaped
/// as in RFC 6901.
pub fn child_pointer(path: &str, name: &str) -> String {
    let name = name.replace('~', "~0").replace('/', "~1");
    format!("{path}/{name}")
}

/// Deserializes each field of `value` separately, so that all invalid fields are
/// reported.
///
/// `T` must accept an object with any of its fields missing. The fields in `skip`
/// are not checked; the caller checks them with their own types.
pub fn check_fields<T: DeserializeOwned>(
    path: &str,
    value: &Value,
    skip: &[&str],
    errors: &mut Vec<FieldError>,
) {
    let Value::Object(object) = value else {
        errors.push(FieldError::new(path, value, MUST_BE_OBJECT));
        return;
    };
    for (name, field) in object {
        if skip.contains(&name.as_str()) {
            continue;
        }
        let single = Map::from_iter([(name.clone(), field.clone())]);
        let Err(err) = serde_json::from_value::<T>(Value::Object(single)) else {
            continue;
        };
        errors.push(FieldError::new(
            &child_pointer(path, name),
            field,
            err.to_string(),
        ));
    }
}

/// Checks each element of an array with [`check_fields`].
pub fn check_elements<T: DeserializeOwned>(
    path: &str,
    value: &Value,
    errors: &mut Vec<FieldError>,
) {
    let Value::Array(array) = value else {
        errors.push(FieldError::new(path, value, "must be an array"));
        return;
    };
    for (i, element) in array.iter().enumerate() {
        check_fields::<T>(&child_pointer(path, &i.to_string()), element, &[], errors);
    }
}

fn quoted_value(path: &str, value: &Value) -> String {
    if path.ends_with("key") && value.as_str() != Some("") {
        return "(hidden)".to_owned();
    }
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}…")
}
