//! The configuration version that a daemon uses.

use std::sync::Arc;

use serde_json::Value;

use super::Config;
use super::entry::Entry;
use super::field_error::{FieldError, format_errors};
use super::patch::apply_patch;

/// The active configuration; its version only increases.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Version number; 0 before the first change.
    pub version: u64,
    /// Configuration of this version.
    pub config: Arc<Config>,
}

/// Result of applying a log entry or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Its version is now active.
    Applied,
    /// The active version is the same or newer.
    AlreadyApplied,
    /// Versions between the active one and this one are missing.
    Gap,
}

/// Error applying a log entry or a snapshot whose patch or document is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "configuration version {version} cannot be read:{}",
    format_errors(errors)
)]
pub struct ApplyError {
    /// Version of the entry or snapshot.
    pub version: u64,
    /// Invalid fields.
    pub errors: Vec<FieldError>,
}

impl ActiveConfig {
    /// Applies `entry` if it is the next version; ignores any other.
    pub fn apply(&mut self, entry: &Entry) -> Result<ApplyOutcome, ApplyError> {
        if entry.version <= self.version {
            return Ok(ApplyOutcome::AlreadyApplied);
        }
        if entry.version != self.version + 1 {
            return Ok(ApplyOutcome::Gap);
        }
        let config = parse_patched(&self.config, &entry.patch, entry.version)?;
        self.activate(entry.version, config);
        Ok(ApplyOutcome::Applied)
    }

    /// Replaces the configuration with `document` if its version is newer.
    pub fn restore(&mut self, version: u64, document: &Value) -> Result<ApplyOutcome, ApplyError> {
        if version <= self.version {
            return Ok(ApplyOutcome::AlreadyApplied);
        }
        let config = parse_patched(&Config::default(), document, version)?;
        self.activate(version, config);
        Ok(ApplyOutcome::Applied)
    }

    /// Replaces the configuration with a document in JSON if its version is newer.
    ///
    /// Uses far less memory than [`ActiveConfig::restore`] for a large configuration.
    pub fn restore_text(&mut self, version: u64, text: &str) -> Result<ApplyOutcome, ApplyError> {
        if version <= self.version {
            return Ok(ApplyOutcome::AlreadyApplied);
        }
        if let Ok(config) = serde_json::from_str(text) {
            self.activate(version, config);
            return Ok(ApplyOutcome::Applied);
        }
        let document = serde_json::from_str(text).unwrap_or_default();
        self.restore(version, &document)
    }

    /// Returns the whole document, with the keys of engines and services.
    pub fn document(&self) -> Value {
        serde_json::to_value(&*self.config).unwrap_or_default()
    }

    /// Returns the whole document as JSON text, with the keys of engines and services.
    pub fn document_text(&self) -> String {
        serde_json::to_string(&*self.config).unwrap_or_default()
    }

    fn activate(&mut self, version: u64, config: Config) {
        self.version = version;
        self.config = Arc::new(config);
    }
}

fn parse_patched(config: &Config, patch: &Value, version: u64) -> Result<Config, ApplyError> {
    apply_patch(config, patch).map_err(|errors| ApplyError { version, errors })
}
