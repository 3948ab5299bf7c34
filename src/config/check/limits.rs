//! Limits that contradict each other.

use super::access::Access;
use super::{FindingKind, Findings, pointer};
use crate::config::rules::{ALL_TEAMS, MAX_DEADLINE_MS};
use crate::config::{Caller, Config, Model, Name};

/// Finds limits of a configuration that contradict each other.
pub(super) fn find(config: &Config, findings: &mut Findings) {
    let access = Access::of(config);
    for (name, model) in &config.models {
        find_replicas(config, name, model, findings);
        let path = |field| pointer("/models", name, field);
        if model.warm == 0 && model.deadline_ms < model.load_ms {
            let (deadline, load) = (model.deadline_ms, model.load_ms);
            let message = format!(
                "a request waits {deadline} ms at most, and a load from the store takes {load} ms"
            );
            findings.add(FindingKind::DeadlineBelowLoad, path("deadline_ms"), message);
        }
        let highest = access.priority(&model.team);
        if let Some(highest) = highest.filter(|p| *p < model.priority) {
            let priority = model.priority;
            let message = format!("{priority} is above {highest}, the highest of its callers");
            findings.add(FindingKind::PriorityAboveCallers, path("priority"), message);
        }
    }
    for (name, caller) in &config.callers {
        find_caller_limits(config, name, caller, findings);
    }
}

/// Finds more replicas than can be loaded; an engine holds one of a model.
fn find_replicas(config: &Config, name: &Name, model: &Model, findings: &mut Findings) {
    let path = pointer("/models", name, "limit");
    let limit = model.limit;
    let base = model.base.as_ref().and_then(|b| config.models.get(b));
    if let Some(base) = base.filter(|b| b.limit < limit && b.limit > 0) {
        let message = format!("{limit} is above {}, the limit of its base", base.limit);
        findings.add(FindingKind::LimitAboveBase, &*path, message);
    }
    let needed = model.memory.saturating_add(base.map_or(0, |b| b.memory));
    let engines = config.engines.values();
    let fitting = engines.filter(|e| e.pool == model.pool && e.memory >= needed);
    let count = fitting.count();
    // Without any, a rule is broken.
    if count > 0 && (limit as usize) > count {
        let pool = &model.pool;
        let message =
            format!("{limit} is above {count}, the engines of the pool {pool} that it fits into");
        findings.add(FindingKind::LimitAboveEngines, path, message);
    }
}

fn find_caller_limits(config: &Config, name: &Name, caller: &Caller, findings: &mut Findings) {
    if caller.rate > 0.0 && caller.rate * (MAX_DEADLINE_MS as f64) < 1_000.0 {
        let rate = caller.rate;
        let message =
            format!("at {rate} a second a request is refused for longer than any deadline");
        findings.add(
            FindingKind::RateBelowOne,
            pointer("/callers", name, "rate"),
            message,
        );
    }
    let may_use = |team: &Name| caller.teams.iter().any(|t| **t == *ALL_TEAMS || t == team);
    // Calls of plain services have no slots.
    if config.services.values().any(|s| may_use(&s.team)) {
        return;
    }
    let used: Vec<&Model> = config
        .models
        .values()
        .filter(|m| may_use(&m.team))
        .collect();
    let engines = config.engines.values();
    let engines = engines.filter(|e| used.iter().any(|m| m.pool == e.pool));
    let slots: u64 = engines.map(|e| u64::from(e.slots)).sum();
    let queue = u64::from(config.policy.queue).saturating_mul(used.len() as u64);
    let room = slots.saturating_add(queue);
    if used.is_empty() || u64::from(caller.streams) <= room {
        return;
    }
    let streams = caller.streams;
    let message =
        format!("{streams} is above {room}, the slots and queues of the models that it may use");
    findings.add(
        FindingKind::StreamsAboveRoom,
        pointer("/callers", name, "streams"),
        message,
    );
}
