//! JSON Merge Patches (RFC 7396) on the configuration.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::field_error::{FieldError, MUST_BE_OBJECT, check_fields, child_pointer};
use super::rules::{ALL_TEAMS, REDACTED_KEY};
use super::{Caller, Config, Name};

const SECTIONS: &str = "unknown section, expected one of \
    `models`, `engines`, `services`, `callers`, `operators`, `policy`";

/// The configuration after `patch`; only objects that it names are read anew.
///
/// Fails with every field of the wrong type or of an unknown name.
pub fn apply_patch(config: &Config, patch: &Value) -> Result<Config, Vec<FieldError>> {
    let Value::Object(sections) = patch else {
        return Err(vec![FieldError::new("", patch, MUST_BE_OBJECT)]);
    };
    let mut config = config.clone();
    let mut reasons = Vec::new();
    for (name, part) in sections {
        let path = child_pointer("", name);
        match name.as_str() {
            "models" => section(&mut config.models, &path, part, &mut reasons),
            "engines" => section(&mut config.engines, &path, part, &mut reasons),
            "services" => section(&mut config.services, &path, part, &mut reasons),
            "callers" => section(&mut config.callers, &path, part, &mut reasons),
            "operators" => section(&mut config.operators, &path, part, &mut reasons),
            "policy" => object(&mut config.policy, &path, part, &mut reasons),
            _ => reasons.push(FieldError::new(&path, part, SECTIONS)),
        }
    }
    if reasons.is_empty() {
        Ok(config)
    } else {
        Err(reasons)
    }
}

fn section<T>(
    objects: &mut BTreeMap<Name, T>,
    path: &str,
    part: &Value,
    reasons: &mut Vec<FieldError>,
) where
    T: Clone + Default + Serialize + DeserializeOwned,
{
    let members = match part {
        Value::Null => return objects.clear(),
        Value::Object(members) => members,
        _ => return reasons.push(FieldError::new(path, part, MUST_BE_OBJECT)),
    };
    for (name, member) in members {
        if member.is_null() {
            objects.remove(name.as_str());
            continue;
        }
        let mut changed = objects.get(name.as_str()).cloned().unwrap_or_default();
        object(&mut changed, &child_pointer(path, name), member, reasons);
        objects.insert(name.as_str().into(), changed);
    }
}

fn object<T>(target: &mut T, path: &str, part: &Value, reasons: &mut Vec<FieldError>)
where
    T: Default + Serialize + DeserializeOwned,
{
    if part.is_null() {
        *target = T::default();
        return;
    }
    let mut value = serde_json::to_value(&*target).unwrap_or_default();
    json_patch::merge(&mut value, part);
    match serde_json::from_value(value.clone()) {
        Ok(changed) => *target = changed,
        Err(_) => check_fields::<T>(path, &value, &[], reasons),
    }
}

/// The merge patch that leads from `old` to `new`; empty when they are equal.
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

/// Teams whose agreement a change from `old` to `new` needs; `*` for shared
/// parts: engines, operators and policy.
pub fn affected_teams(old: &Config, new: &Config) -> BTreeSet<Name> {
    let mut teams = BTreeSet::new();
    owners(
        &old.models,
        &new.models,
        |m| vec![m.team.clone()],
        &mut teams,
    );
    owners(
        &old.services,
        &new.services,
        |s| vec![s.team.clone()],
        &mut teams,
    );
    owners(&old.callers, &new.callers, reach, &mut teams);
    let same =
        old.engines == new.engines && old.operators == new.operators && old.policy == new.policy;
    if !same {
        teams.insert(ALL_TEAMS.into());
    }
    teams
}

/// A caller concerns its own team and every team whose models it may use.
fn reach(caller: &Caller) -> Vec<Name> {
    let mut teams = caller.teams.clone();
    teams.push(caller.team.clone());
    teams
}

fn owners<T: PartialEq>(
    old: &BTreeMap<Name, T>,
    new: &BTreeMap<Name, T>,
    of: impl Fn(&T) -> Vec<Name>,
    teams: &mut BTreeSet<Name>,
) {
    for (name, after) in new {
        let before = old.get(name);
        if before == Some(after) {
            continue;
        }
        teams.extend(of(after));
        teams.extend(before.map(&of).unwrap_or_default());
    }
    for (name, before) in old {
        if !new.contains_key(name) {
            teams.extend(of(before));
        }
    }
}

/// Whether an operator of `own` teams may touch objects of `team`.
pub fn covers_team(own: &[Name], team: &str) -> bool {
    own.iter().any(|o| **o == *ALL_TEAMS || **o == *team)
}

/// The configuration without the keys of engines and services.
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

/// Replaces the keys of engines and services in a patch.
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
