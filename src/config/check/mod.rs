//! Checks a patch of the configuration before it is sent: errors, entries without effect, limits
//! that contradict each other, and what it changes.

mod access;
mod limits;
mod unused;

use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::Value;

use super::field_error::{FieldError, child_pointer};
use super::patch::{apply_patch, create_patch, redact_patch};
use super::rules::REDACTED_KEY;
use super::validate::violations;
use super::{Config, Name};

/// How much a finding matters.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Level {
    /// The patch would be refused.
    Error,
    /// It would be accepted, and does not do what it says.
    Warning,
    /// It may be meant so.
    Note,
}

/// What was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FindingKind {
    /// A field breaks a rule.
    Invalid,
    /// An object is removed that is not there.
    RemovesNothing,
    /// The configuration stays the same.
    NoChange,
    /// There are models or services, and no callers.
    NoCallers,
    /// No caller may use a model or service.
    NoAccess,
    /// A team has neither models nor services.
    UnknownTeam,
    /// A caller may use no team, or an operator change none.
    NoTeams,
    /// An engine serves a pool without models.
    UnusedEngine,
    /// A model may not be loaded.
    NeverLoaded,
    /// A route is a part of another one.
    ShadowedRoute,
    /// A time window is a part of another one.
    ShadowedWindow,
    /// A field of the policy is not used by its strategy.
    UnusedPolicy,
    /// No caller may request the priority of a model.
    PriorityAboveCallers,
    /// More replicas than engines of the pool that they fit into.
    LimitAboveEngines,
    /// More replicas of an adapter than of its base.
    LimitAboveBase,
    /// A request cannot wait for the load of its model.
    DeadlineBelowLoad,
    /// A refused request cannot be admitted before any deadline.
    RateBelowOne,
    /// A caller may have more requests in progress than find room.
    StreamsAboveRoom,
}

impl FindingKind {
    /// Returns how much it matters.
    pub fn level(self) -> Level {
        match self {
            FindingKind::Invalid => Level::Error,
            FindingKind::NoChange
            | FindingKind::DeadlineBelowLoad
            | FindingKind::StreamsAboveRoom => Level::Note,
            _ => Level::Warning,
        }
    }
}

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// What was found.
    pub kind: FindingKind,
    /// How much it matters.
    pub level: Level,
    /// JSON pointer (RFC 6901) of the entry.
    pub path: Name,
    /// Sentence that names the values.
    pub message: String,
}

/// Result of a check.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Findings, errors first.
    pub findings: Vec<Finding>,
    /// Merge patch from the configuration before to that after, without keys of engines and
    /// services; fields with errors are left out.
    pub changes: Value,
}

impl Report {
    /// Returns the number of findings of a level.
    pub fn count(&self, level: Level) -> usize {
        self.findings.iter().filter(|f| f.level == level).count()
    }
}

/// Findings so far.
#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, kind: FindingKind, path: impl Into<Name>, message: String) {
        self.0.push(Finding {
            kind,
            level: kind.level(),
            path: path.into(),
            message,
        });
    }

    fn add_errors(&mut self, errors: Vec<FieldError>) {
        for error in errors {
            let message = format!("{}: {}", error.value, error.allowed);
            self.add(FindingKind::Invalid, error.path, message);
        }
    }
}

/// Checks `patch` as a change of `base`.
pub fn check_patch(base: &Config, patch: &Value) -> Report {
    let mut findings = Findings::default();
    let (config, invalid) = apply_valid_fields(base, patch);
    let paths: BTreeSet<Name> = invalid.iter().map(|e| e.path.clone()).collect();
    findings.add_errors(invalid);
    // A field of the wrong type is found once.
    let mut broken = violations(base, &config);
    broken.retain(|e| !paths.contains(&e.path));
    findings.add_errors(broken);
    unused::find_removals(base, patch, &mut findings);
    unused::find(&config, &mut findings);
    limits::find(&config, &mut findings);
    let document = |config| serde_json::to_value(config).unwrap_or_default();
    let mut changes = create_patch(&document(base), &document(&config));
    if changes.as_object().is_some_and(|c| c.is_empty()) && paths.is_empty() {
        let message = "the configuration stays the same".to_owned();
        findings.add(FindingKind::NoChange, "", message);
    }
    redact_patch(&mut changes);
    findings.0.sort_by_key(|f| f.level);
    Report {
        findings: findings.0,
        changes,
    }
}

/// Applies the fields of a patch that have the right type; returns errors for the others.
fn apply_valid_fields(base: &Config, patch: &Value) -> (Config, Vec<FieldError>) {
    let errors = match apply_patch(base, patch) {
        Ok(config) => return (config, Vec::new()),
        Err(errors) => errors,
    };
    let mut valid = patch.clone();
    for error in &errors {
        remove(&mut valid, &error.path);
    }
    let config = apply_patch(base, &valid).unwrap_or_else(|_| base.clone());
    (config, errors)
}

/// Removes the value at a JSON pointer.
fn remove(document: &mut Value, pointer: &str) {
    let Some((parent, name)) = pointer.rsplit_once('/') else {
        return;
    };
    let name = name.replace("~1", "/").replace("~0", "~");
    if let Some(Value::Object(object)) = document.pointer_mut(parent) {
        object.remove(&name);
    }
}

/// Removes the marks of hidden keys from a document that a host has sent.
pub fn remove_hidden_keys(document: &mut Value) {
    for section in ["engines", "services"] {
        let Some(Value::Object(objects)) = document.get_mut(section) else {
            continue;
        };
        for object in objects.values_mut().filter_map(Value::as_object_mut) {
            if object.get("key").and_then(Value::as_str) == Some(REDACTED_KEY) {
                object.remove("key");
            }
        }
    }
}

/// Returns the JSON pointer of a field of an object in a section.
fn pointer(section: &str, name: &str, field: &str) -> String {
    child_pointer(&child_pointer(section, name), field)
}
