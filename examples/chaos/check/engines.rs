//! Replicas, memory, planned unloads and work at engines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mastichinge::config::entry::Entry;
use mastichinge::fakes::engine::{Residency, StreamEnd};
use mastichinge::outside::{Verb, WriteOp};
use serde::Deserialize;

use super::{Findings, Invariant};
use crate::callers::number;
use crate::env::Env;
use crate::record::Plan;

/// Time after which a lowered limit counts as reached: until it is in force
/// everywhere, and for the end of streams in progress.
const REACHED: Duration = Duration::from_secs(15);
/// Time after which a leaving engine gets no new work.
const NO_WORK: Duration = Duration::from_secs(3);

/// A limit and when it was accepted.
#[derive(Clone, Copy, Debug)]
struct Limit {
    at: Instant,
    limit: usize,
}

/// Checks all engines.
pub fn check(env: &Env, plan: &Plan, findings: &mut Findings) {
    replicas(env, findings);
    for (i, engine) in env.site.engines.iter().enumerate() {
        let journal = engine.journal();
        for used in &journal.overcommits {
            findings.violate(Invariant::Memory, format!("e{}: {used} MB", i + 1));
        }
        for model in &journal.interrupted {
            findings.violate(Invariant::Cut, format!("{model} at e{}", i + 1));
        }
        for served in &journal.streams {
            findings.count(format!("engine streams: {:?}", served.end), 1);
            late_work(plan, i, &served.request_id, served.arrived_at, findings);
        }
        for received in &journal.orders {
            let load = received.order.verb == Verb::Load && received.refusal.is_none();
            findings.count("engine loads", usize::from(load));
        }
        let crashed = journal
            .streams
            .iter()
            .filter(|s| s.end == StreamEnd::Crashed);
        findings.count("streams that met a crash", crashed.count());
    }
}

/// Work that reached an engine too long after it left. Time in which its
/// sender was paused or could not read the platform's list does not count.
fn late_work(plan: &Plan, engine: usize, request: &str, at: Instant, findings: &mut Findings) {
    let host = request.split('-').next().and_then(number);
    for window in plan.left.of(engine) {
        if !window.meets(at, at) {
            continue;
        }
        let paused = host.map_or(Duration::ZERO, |h| plan.frozen.shared(h, window.from, at));
        let blind = plan.outages.shared(0, window.from, at);
        let late = (at - window.from).saturating_sub(paused + blind);
        if late > NO_WORK {
            let what = format!("e{}: {request} {late:?} after it left", engine + 1);
            findings.violate(Invariant::WorkAfterLeaving, what);
        }
    }
}

fn replicas(env: &Env, findings: &mut Findings) {
    let limits = limits(env);
    let mut stays: BTreeMap<String, Vec<Residency>> = BTreeMap::new();
    for engine in &env.site.engines {
        for stay in engine.journal().residencies {
            let model = stay.resident.model.to_string();
            stays.entry(model).or_default().push(stay);
        }
    }
    for (model, stays) in &stays {
        let all = limits.get(model).cloned().unwrap_or_default();
        let starts = stays.iter().map(|s| s.load_start);
        let reached = all.iter().map(|l| l.at + REACHED);
        for at in starts.chain(reached) {
            let held = stays.iter().filter(|s| holds(s, at)).count();
            let most = allowed(&all, at, env.site.settings.replica_limit as usize);
            if held > most {
                let what = format!("{model}: {held} replicas, limit {most}");
                findings.violate(Invariant::ReplicaLimit, what);
            }
        }
        findings.count("replicas loaded", stays.len());
    }
}

fn holds(stay: &Residency, at: Instant) -> bool {
    stay.load_start <= at && stay.released_at.is_none_or(|end| end > at)
}

/// Highest limit in force at `at` or within [`REACHED`] before.
fn allowed(limits: &[Limit], at: Instant, first: usize) -> usize {
    let mut most = first;
    for limit in limits {
        if limit.at > at {
            break;
        }
        // The one in force when the span began replaces all before it.
        let before = limit.at + REACHED <= at;
        most = if before {
            limit.limit
        } else {
            most.max(limit.limit)
        };
    }
    most
}

/// Accepted limits by model, in order.
fn limits(env: &Env) -> BTreeMap<String, Vec<Limit>> {
    let mut all: BTreeMap<String, Vec<Limit>> = BTreeMap::new();
    for commit in env.site.platform.state.get().commits {
        for write in &commit.writes {
            let WriteOp::Put(value) = &write.op else {
                continue;
            };
            if !write.key.starts_with("config/log/") {
                continue;
            }
            let entry = Entry::deserialize(value).expect("a readable log entry");
            let models = entry.patch["models"].as_object().cloned();
            for (model, fields) in models.unwrap_or_default() {
                let Some(limit) = fields["limit"].as_u64() else {
                    continue;
                };
                all.entry(model).or_default().push(Limit {
                    at: commit.committed_at,
                    limit: limit as usize,
                });
            }
        }
    }
    all
}
