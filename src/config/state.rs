//! The configuration version in force at one daemon.

use std::sync::Arc;

use serde_json::Value;

use super::Config;
use super::entry::Entry;
use super::field_error::{FieldError, format_errors};
use super::patch::apply_patch;

/// The version in force; it only rises.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Version; 0 before the first change.
    pub version: u64,
    /// Content.
    pub config: Arc<Config>,
}

/// What became of an entry or snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in force now.
    Applied,
    /// The version in force is as new or newer.
    AlreadyApplied,
    /// Versions in between are missing.
    Gap,
}

/// An entry or snapshot that this program cannot read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "configuration version {version} cannot be read:{}",
    format_errors(reasons)
)]
pub struct ApplyError {
    /// Version.
    pub version: u64,
    /// Fields that cannot be read.
    pub reasons: Vec<FieldError>,
}

impl ActiveConfig {
    /// Applies the next version; anything else changes nothing.
    pub fn apply(&mut self, entry: &Entry) -> Result<ApplyOutcome, ApplyError> {
        if entry.version <= self.version {
            return Ok(ApplyOutcome::AlreadyApplied);
        }
        if entry.version != self.version + 1 {
            return Ok(ApplyOutcome::Gap);
        }
        let config = read(&self.config, &entry.patch, entry.version)?;
        self.raise(entry.version, config);
        Ok(ApplyOutcome::Applied)
    }

    /// Takes a whole document if it is newer.
    pub fn restore(&mut self, version: u64, document: &Value) -> Result<ApplyOutcome, ApplyError> {
        if version <= self.version {
            return Ok(ApplyOutcome::AlreadyApplied);
        }
        let config = read(&Config::default(), document, version)?;
        self.raise(version, config);
        Ok(ApplyOutcome::Applied)
    }

    /// Takes a whole document given as JSON text if it is newer.
    ///
    /// Needs far less memory than [`ActiveConfig::restore`] at full size.
    pub fn restore_text(&mut self, version: u64, text: &str) -> Result<ApplyOutcome, ApplyError> {
        if version <= self.version {
            return Ok(ApplyOutcome::AlreadyApplied);
        }
        if let Ok(config) = serde_json::from_str(text) {
            self.raise(version, config);
            return Ok(ApplyOutcome::Applied);
        }
        let document = serde_json::from_str(text).unwrap_or_default();
        self.restore(version, &document)
    }

    /// The whole document, with the keys of upstreams.
    pub fn document(&self) -> Value {
        serde_json::to_value(&*self.config).unwrap_or_default()
    }

    /// The whole document as JSON text, with the keys of upstreams.
    pub fn document_text(&self) -> String {
        serde_json::to_string(&*self.config).unwrap_or_default()
    }

    fn raise(&mut self, version: u64, config: Config) {
        self.version = version;
        self.config = Arc::new(config);
    }
}

fn read(config: &Config, patch: &Value, version: u64) -> Result<Config, ApplyError> {
    apply_patch(config, patch).map_err(|reasons| ApplyError { version, reasons })
}
