//! Applies and creates JSON Merge Patches (RFC 7396) of the configuration.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::field_error::{FieldError, MUST_BE_OBJECT, check_fields, child_pointer};
use super::rules::{ALL_TEAMS, REDACTED_KEY};
use super::{Caller, Config, Name};

const SECTION_RULE: &str = "unknown section, expected one of \
    `models`, `engines`, `services`, `callers`, `operators`, `policy`";

/// Applies `patch` and returns the new configuration; parses only the objects that
/// the patch names.
///
/// # Errors
///
/// All fields of the wrong type or with an unknown name.
pub fn apply_patch(config: &Config, patch: &Value) -> Result<Config, Vec<FieldError>> {
    let Value::Object(sections) = patch else {
        return Err(vec![FieldError::new("", patch, MUST_BE_OBJECT)]);
    };
    let mut config = config.clone();
    let mut errors = Vec::new();
    for (name, section_patch) in sections {
        let path = child_pointer("", name);
        match name.as_str() {
            "models" => merge_section(&mut config.models, &path, section_patch, &mut errors),
            "engines" => merge_section(&mut config.engines, &path, section_patch, &mut errors),
            "services" => merge_section(&mut config.services, &path, section_patch, &mut errors),
            "callers" => merge_section(&mut config.callers, &path, section_patch, &mut errors),
            "operators" => merge_section(&mut config.operators, &path, section_patch, &mut errors),
            "policy" => merge_object(&mut config.policy, &path, section_patch, &mut errors),
            _ => errors.push(FieldError::new(&path, section_patch, SECTION_RULE)),
        }
    }
    if errors.is_empty() {
        Ok(config)
    } else {
        Err(errors)
    }
}

fn merge_section<T>(
    objects: &mut BTreeMap<Name, T>,
    path: &str,
    section_patch: &Value,
    errors: &mut Vec<FieldError>,
) where
    T: Clone + Default + Serialize + DeserializeOwned,
{
    let object_patches = match section_patch {
        Value::Null => return objects.clear(),
        Value::Object(object_patches) => object_patches,
        _ => return errors.push(FieldError::new(path, section_patch, MUST_BE_OBJECT)),
    };
    for (name, object_patch) in object_patches {
        if object_patch.is_null() {
            objects.remove(name.as_str());
            continue;
        }
        let mut changed = objects.get(name.as_str()).cloned().unwrap_or_default();
        merge_object(
            &mut changed,
            &child_pointer(path, name),
            object_patch,
            errors,
        );
        objects.insert(name.as_str().into(), changed);
    }
}

fn merge_object<T>(target: &mut T, path: &str, patch: &Value, errors: &mut Vec<FieldError>)
where
    T: Default + Serialize + DeserializeOwned,
{
    if patch.is_null() {
        *target = T::default();
        return;
    }
    let mut value = serde_json::to_value(&*target).unwrap_or_default();
    json_patch::merge(&mut value, patch);
    match serde_json::from_value(value.clone()) {
        Ok(changed) => *target = changed,
        Err(_) => check_fields::<T>(path, &value, &[], errors),
    }
}

/// Returns the merge patch that turns `old` into `new`; empty when they are equal.
pub fn create_patch(old: &Value, new: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (old, new) else {
        return new.clone();
    };
    let mut patch = Map::new();
    for (name, value) in new {
        match old.get(name) {
            Some(before) if before == value => {}
            Some(before) => {
                patch.insert(name.clone(), create_patch(before, value));
            }
            None => {
                patch.insert(name.clone(), value.clone());
            }
        }
    }
    for name in old.keys() {
        if !new.contains_key(name) {
            patch.insert(name.clone(), Value::Null);
        }
    }
    Value::Object(patch)
}

/// Returns the teams whose permission a change from `old` to `new` requires; `*` for the
/// shared sections engines, operators and policy.
pub fn affected_teams(old: &Config, new: &Config) -> BTreeSet<Name> {
    let mut teams = BTreeSet::new();
    add_changed_teams(
        &old.models,
        &new.models,
        |m| vec![m.team.clone()],
        &mut teams,
    );
    add_changed_teams(
        &old.services,
        &new.services,
        |s| vec![s.team.clone()],
        &mut teams,
    );
    add_changed_teams(&old.callers, &new.callers, caller_teams, &mut teams);
    let shared_equal =
        old.engines == new.engines && old.operators == new.operators && old.policy == new.policy;
    if !shared_equal {
        teams.insert(ALL_TEAMS.into());
    }
    teams
}

/// Returns the team of a caller and all teams whose models it may use.
fn caller_teams(caller: &Caller) -> Vec<Name> {
    let mut teams = caller.teams.clone();
    teams.push(caller.team.clone());
    teams
}

fn add_changed_teams<T: PartialEq>(
    old: &BTreeMap<Name, T>,
    new: &BTreeMap<Name, T>,
    teams_of: impl Fn(&T) -> Vec<Name>,
    teams: &mut BTreeSet<Name>,
) {
    for (name, after) in new {
        let before = old.get(name);
        if before == Some(after) {
            continue;
        }
        teams.extend(teams_of(after));
        teams.extend(before.map(&teams_of).unwrap_or_default());
    }
    for (name, before) in old {
        if !new.contains_key(name) {
            teams.extend(teams_of(before));
        }
    }
}

/// Returns whether an operator with the teams `own` may change objects of `team`.
pub fn covers_team(operator_teams: &[Name], team: &str) -> bool {
    operator_teams
        .iter()
        .any(|t| **t == *ALL_TEAMS || **t == *team)
}

/// Returns a copy of the configuration with the keys of engines and services
/// redacted.
pub fn redact_config(config: &Config) -> Config {
    let mut config = config.clone();
    let engines = config.engines.values_mut().map(|e| &mut e.key);
    let services = config.services.values_mut().map(|s| &mut s.key);
    for key in engines.chain(services) {
        if !key.is_empty() {
            *key = REDACTED_KEY.into();
        }
    }
    config
}

/// Redacts the keys of engines and services in a patch.
pub fn redact_patch(patch: &mut Value) {
    for section in ["engines", "services"] {
        let Some(Value::Object(objects)) = patch.get_mut(section) else {
            continue;
        };
        for object in objects.values_mut() {
            let Some(key) = object.get_mut("key") else {
                continue;
            };
            if key.as_str() != Some("") {
                *key = REDACTED_KEY.into();
            }
        }
    }
}
