//! Reading of the settings file.

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

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings file {}: {source}", path.display())]
    Unreadable {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The text is not JSON with comments.
    #[error("the settings are not JSON with comments: {0}")]
    Malformed(String),
    /// Fields are wrong; all of them are listed.
    #[error("wrong settings:{}", format_errors(.0))]
    Invalid(Vec<FieldError>),
}

/// Reads and validates the settings file at `path`.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    parse(&text(path)?)
}

/// Reads the text of the settings file at `path`.
pub fn text(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

/// Validates settings given as JSON with comments.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    parse_validated(text, misread, check::violations)
}

/// Settings of any kind given as JSON with comments. `misread` names fields of
/// the wrong type or of an unknown name, `violations` the rules that the rest breaks.
pub fn parse_validated<T: DeserializeOwned>(
    text: &str,
    misread: fn(&Value) -> Vec<FieldError>,
    violations: fn(&T, &Value) -> Vec<FieldError>,
) -> Result<T, SettingsError> {
    let value = jsonc::parse(text).map_err(SettingsError::Malformed)?;
    let mut reasons = misread(&value);
    if reasons.is_empty() {
        let settings = serde_json::from_value(value.clone())
            .map_err(|err| SettingsError::Malformed(err.to_string()))?;
        reasons = violations(&settings, &value);
        if reasons.is_empty() {
            return Ok(settings);
        }
    }
    Err(SettingsError::Invalid(reasons))
}

/// Every field of the wrong type or of an unknown name.
fn misread(value: &Value) -> Vec<FieldError> {
    const SECTIONS: [&str; 5] = ["listen", "platform", "peers", "log", "limits"];
    let mut reasons = Vec::new();
    check_fields::<Settings>("", value, &SECTIONS, &mut reasons);
    let Value::Object(object) = value else {
        return reasons;
    };
    for (name, section) in object {
        let path = child_pointer("", name);
        match name.as_str() {
            "listen" => check_fields::<ListenAddresses>(&path, section, &[], &mut reasons),
            "platform" => check_fields::<PlatformAddresses>(&path, section, &[], &mut reasons),
            "log" => check_fields::<LogSettings>(&path, section, &[], &mut reasons),
            "limits" => check_fields::<ClientLimits>(&path, section, &[], &mut reasons),
            "peers" => field_error::check_elements::<PeerAddress>(&path, section, &mut reasons),
            _ => {}
        }
    }
    reasons
}
