//! Reads and validates the settings file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{
    ClientLimits, ListenAddresses, LogSettings, PeerAddress, PlatformAddresses, Settings, check,
};
use crate::config::field_error::{self, FieldError, check_fields, child_pointer, format_errors};
use crate::config::jsonc;

/// Error reading or validating settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings file {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// I/O error.
        source: io::Error,
    },
    /// The text is not JSON with comments.
    #[error("the settings are not JSON with comments: {0}")]
    Malformed(String),
    /// One or more fields are invalid; all of them are listed.
    #[error("wrong settings:{}", format_errors(.0))]
    Invalid(Vec<FieldError>),
}

/// Reads and validates the settings file at `path`.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    parse(&read_file(path)?)
}

/// Returns the text of the settings file at `path`.
pub fn read_file(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

/// Validates settings given as JSON with comments.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    parse_validated(text, type_errors, check::violations)
}

/// Parses and validates settings of any type given as JSON with comments.
///
/// `type_errors` returns the fields of the wrong type or with an unknown name. If
/// there are none, `violations` returns the rules that the settings break.
pub fn parse_validated<T: DeserializeOwned>(
    text: &str,
    type_errors: fn(&Value) -> Vec<FieldError>,
    violations: fn(&T, &Value) -> Vec<FieldError>,
) -> Result<T, SettingsError> {
    let value = jsonc::parse(text).map_err(SettingsError::Malformed)?;
    let mut errors = type_errors(&value);
    if errors.is_empty() {
        let settings = serde_json::from_value(value.clone())
            .map_err(|err| SettingsError::Malformed(err.to_string()))?;
        errors = violations(&settings, &value);
        if errors.is_empty() {
            return Ok(settings);
        }
    }
    Err(SettingsError::Invalid(errors))
}

/// Returns an error for each field of the wrong type or with an unknown name.
fn type_errors(value: &Value) -> Vec<FieldError> {
    const SECTIONS: [&str; 5] = ["listen", "platform", "peers", "log", "limits"];
    let mut errors = Vec::new();
    check_fields::<Settings>("", value, &SECTIONS, &mut errors);
    let Value::Object(object) = value else {
        return errors;
    };
    for (name, section) in object {
        let path = child_pointer("", name);
        match name.as_str() {
            "listen" => check_fields::<ListenAddresses>(&path, section, &[], &mut errors),
            "platform" => check_fields::<PlatformAddresses>(&path, section, &[], &mut errors),
            "log" => check_fields::<LogSettings>(&path, section, &[], &mut errors),
            "limits" => check_fields::<ClientLimits>(&path, section, &[], &mut errors),
            "peers" => field_error::check_elements::<PeerAddress>(&path, section, &mut errors),
            _ => {}
        }
    }
    errors
}
