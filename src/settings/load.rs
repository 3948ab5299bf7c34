//! Reading of the settings file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{Addresses, Limits, Listen, Log, Peer, Settings, check};
use crate::config::jsonc;
use crate::config::reason::{self, Reason, below, fields, lines};

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
    #[error("wrong settings:{}", lines(.0))]
    Invalid(Vec<Reason>),
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
    validated(text, misread, check::broken)
}

/// Settings of any kind given as JSON with comments. `misread` names fields of
/// the wrong type or of an unknown name, `broken` the rules that the rest breaks.
pub fn validated<T: DeserializeOwned>(
    text: &str,
    misread: fn(&Value) -> Vec<Reason>,
    broken: fn(&T, &Value) -> Vec<Reason>,
) -> Result<T, SettingsError> {
    let value = jsonc::parse(text).map_err(SettingsError::Malformed)?;
    let mut reasons = misread(&value);
    if reasons.is_empty() {
        let settings = serde_json::from_value(value.clone())
            .map_err(|err| SettingsError::Malformed(err.to_string()))?;
        reasons = broken(&settings, &value);
        if reasons.is_empty() {
            return Ok(settings);
        }
    }
    Err(SettingsError::Invalid(reasons))
}

/// Every field of the wrong type or of an unknown name.
fn misread(value: &Value) -> Vec<Reason> {
    const SECTIONS: [&str; 5] = ["listen", "platform", "peers", "log", "limits"];
    let mut reasons = Vec::new();
    fields::<Settings>("", value, &SECTIONS, &mut reasons);
    let Value::Object(object) = value else {
        return reasons;
    };
    for (name, section) in object {
        let path = below("", name);
        match name.as_str() {
            "listen" => fields::<Listen>(&path, section, &[], &mut reasons),
            "platform" => fields::<Addresses>(&path, section, &[], &mut reasons),
            "log" => fields::<Log>(&path, section, &[], &mut reasons),
            "limits" => fields::<Limits>(&path, section, &[], &mut reasons),
            "peers" => reason::elements::<Peer>(&path, section, &mut reasons),
            _ => {}
        }
    }
    reasons
}
