//! Entries that have no effect.

use std::collections::BTreeSet;

use serde_json::Value;

use super::access::Access;
use super::{FindingKind, Findings, pointer};
use crate::config::field_error::child_pointer;
use crate::config::rules::ALL_TEAMS;
use crate::config::{Config, Name, Policy, Role, Route, Service, Strategy, Window};

/// Finds objects that `patch` removes and `base` does not have.
pub(super) fn find_removals(base: &Config, patch: &Value, findings: &mut Findings) {
    let document = serde_json::to_value(base).unwrap_or_default();
    for (section, objects) in patch.as_object().into_iter().flatten() {
        for (name, object) in objects.as_object().into_iter().flatten() {
            if !object.is_null() || document[section].get(name).is_some() {
                continue;
            }
            let path = child_pointer(&child_pointer("", section), name);
            let message = format!("{name} is removed and is not there");
            findings.add(FindingKind::RemovesNothing, path, message);
        }
    }
}

/// Finds entries of a configuration that have no effect.
pub(super) fn find(config: &Config, findings: &mut Findings) {
    find_unused_objects(config, findings);
    find_teams(config, findings);
    for (name, service) in &config.services {
        find_shadowed_routes(name, service, findings);
    }
    for (name, model) in &config.models {
        let path = pointer("/models", name, "windows");
        find_shadowed_windows(&path, &model.windows, findings);
    }
    find_policy(&config.policy, findings);
}

/// Finds engines without models, and models and services without callers.
fn find_unused_objects(config: &Config, findings: &mut Findings) {
    let pools: BTreeSet<&Name> = config.models.values().map(|m| &m.pool).collect();
    for (name, engine) in &config.engines {
        if !pools.contains(&engine.pool) {
            let message = format!("no model is in the pool {}", engine.pool);
            let path = pointer("/engines", name, "pool");
            findings.add(FindingKind::UnusedEngine, path, message);
        }
    }
    for (name, model) in &config.models {
        let base = model.base.as_ref().and_then(|b| config.models.get(b));
        let message = match base {
            _ if model.limit == 0 => "the model may have no replica".to_owned(),
            Some(base) if base.limit == 0 => "its base may have no replica".to_owned(),
            _ => continue,
        };
        let path = pointer("/models", name, "limit");
        findings.add(FindingKind::NeverLoaded, path, message);
    }
    if config.callers.is_empty() {
        if !config.models.is_empty() || !config.services.is_empty() {
            let message = "no caller may use the models and services".to_owned();
            findings.add(FindingKind::NoCallers, "/callers", message);
        }
        return;
    }
    let access = Access::of(config);
    // An adapter is used by its name, and so may its base be without callers.
    let bases: BTreeSet<&Name> = config.models.values().flat_map(|m| &m.base).collect();
    let models = config
        .models
        .iter()
        .filter(|(name, _)| !bases.contains(name));
    let models = models.map(|(name, model)| ("/models", name, &model.team));
    let services = config.services.iter();
    let services = services.map(|(name, service)| ("/services", name, &service.team));
    for (section, name, team) in models.chain(services) {
        if access.priority(team).is_none() {
            let message = format!("no caller may use the team {team}");
            findings.add(
                FindingKind::NoAccess,
                pointer(section, name, "team"),
                message,
            );
        }
    }
}

/// Finds callers and operators without teams, and teams without objects.
fn find_teams(config: &Config, findings: &mut Findings) {
    let models = config.models.values().map(|m| &m.team);
    let known: BTreeSet<&Name> = models
        .chain(config.services.values().map(|s| &s.team))
        .collect();
    // Operators change callers of a team, too.
    let owned: BTreeSet<&Name> = config.callers.values().map(|c| &c.team).collect();
    let callers = config.callers.iter();
    let callers = callers.map(|(name, c)| ("/callers", name, &c.teams, true));
    let operators = config.operators.iter();
    let operators = operators.map(|(name, o)| {
        (
            "/operators",
            name,
            &o.teams,
            o.roles.contains(&Role::Change),
        )
    });
    for (section, name, teams, needs_team) in callers.chain(operators) {
        let path = pointer(section, name, "teams");
        if teams.is_empty() && needs_team {
            let message = "no team is named, and so nothing is allowed".to_owned();
            findings.add(FindingKind::NoTeams, &*path, message);
        }
        for team in teams {
            let is_owned = section == "/operators" && owned.contains(team);
            if **team == *ALL_TEAMS || known.contains(team) || is_owned {
                continue;
            }
            let message = format!("the team {team} has neither models nor services");
            findings.add(FindingKind::UnknownTeam, &*path, message);
        }
    }
}

/// Finds routes whose calls match another route anyway.
fn find_shadowed_routes(name: &Name, service: &Service, findings: &mut Findings) {
    let routes = &service.once;
    let covers = |a: &Route, b: &Route| {
        a.method.eq_ignore_ascii_case(&b.method) && b.path.starts_with(&*a.path)
    };
    for (i, route) in routes.iter().enumerate() {
        let mut others = routes.iter().enumerate();
        // Of two that are the same the second is superfluous.
        let other =
            others.find(|(j, o)| *j != i && covers(o, route) && (*j < i || !covers(route, o)));
        let Some((_, other)) = other else {
            continue;
        };
        let path = child_pointer(&pointer("/services", name, "once"), &i.to_string());
        let (method, path_prefix) = (&route.method, &route.path);
        let message = format!(
            "{method} {path_prefix} is a part of {method} {}",
            other.path
        );
        findings.add(FindingKind::ShadowedRoute, path, message);
    }
}

/// Finds windows within another one.
fn find_shadowed_windows(path: &str, windows: &[Window], findings: &mut Findings) {
    let covers = |a: &Window, b: &Window| a.from <= b.from && b.until <= a.until;
    for (i, window) in windows.iter().enumerate() {
        let mut others = windows.iter().enumerate();
        let is_shadowed =
            others.any(|(j, o)| j != i && covers(o, window) && (j < i || o != window));
        if !is_shadowed {
            continue;
        }
        let message = format!(
            "{} to {} is a part of another window",
            window.from, window.until
        );
        let path = child_pointer(path, &i.to_string());
        findings.add(FindingKind::ShadowedWindow, path, message);
    }
}

/// Finds fields that the strategy does not use, and that are not at their defaults.
fn find_policy(policy: &Policy, findings: &mut Findings) {
    let default = Policy::default();
    let strategy = policy.strategy;
    let mut add = |field: &str| {
        let message = format!("the strategy {strategy} does not use it");
        let path = child_pointer("/policy", field);
        findings.add(FindingKind::UnusedPolicy, path, message);
    };
    let keeps = matches!(strategy, Strategy::Adaptive | Strategy::Never);
    if keeps && policy.keepalive_ms != default.keepalive_ms {
        add("keepalive_ms");
    }
    if strategy != Strategy::Adaptive && policy.idle_weight != default.idle_weight {
        add("idle_weight");
    }
}
