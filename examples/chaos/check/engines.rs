//! Checks of replica limits, memory, planned unloads and work on leaving engines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mastichinge::config::entry::Entry;
use mastichinge::fakes::engine::{Residency, StreamEnd};
use mastichinge::outside::{Verb, WriteOp};
use serde::Deserialize;

use super::{CheckReport, Invariant};
use crate::callers::parse_index;
use crate::env::Env;
use crate::history::FaultLog;

/// Time after which a lowered limit must be met: the limit must take effect on every
/// host and the streams in progress must end first.
const LIMIT_GRACE: Duration = Duration::from_secs(15);
/// Time after which a leaving engine receives no new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// A change of a replica limit and when it was accepted.
#[derive(Clone, Copy, Debug)]
struct LimitChange {
    accepted_at: Instant,
    limit: usize,
}

/// Checks the journals of all engines.
pub fn check(env: &Env, fault_log: &FaultLog, report: &mut CheckReport) {
    check_replica_limits(env, report);
    for (i, engine) in env.site.engines.iter().enumerate() {
        let journal = engine.journal();
        for used in &journal.overcommits {
            report.add_violation(Invariant::Memory, format!("e{}: {used} MB", i + 1));
        }
        for model in &journal.interrupted {
            report.add_violation(Invariant::Cut, format!("{model} at e{}", i + 1));
        }
        for stream in &journal.streams {
            report.add_count(format!("engine streams: {:?}", stream.end), 1);
            check_work_after_leaving(fault_log, i, &stream.request_id, stream.arrived_at, report);
        }
        for record in &journal.orders {
            let load = record.order.verb == Verb::Load && record.refusal.is_none();
            report.add_count("engine loads", usize::from(load));
        }
        let crashed = journal
            .streams
            .iter()
            .filter(|s| s.end == StreamEnd::Crashed);
        report.add_count("streams that met a crash", crashed.count());
    }
}

/// Checks that a request did not reach an engine too long after it began to leave.
/// Time in which the sender was paused or could not read the platform's list does not count.
fn check_work_after_leaving(
    fault_log: &FaultLog,
    engine: usize,
    request_id: &str,
    at: Instant,
    report: &mut CheckReport,
) {
    let host = request_id.split('-').next().and_then(parse_index);
    for window in fault_log.leaving_engines.get(engine) {
        if !window.overlaps(at, at) {
            continue;
        }
        let paused = host.map_or(Duration::ZERO, |h| {
            fault_log.frozen_hosts.overlap(h, window.from, at)
        });
        let outage = fault_log.platform_outages.overlap(0, window.from, at);
        let delay = (at - window.from).saturating_sub(paused + outage);
        if delay > LEAVING_GRACE {
            let detail = format!("e{}: {request_id} {delay:?} after it left", engine + 1);
            report.add_violation(Invariant::WorkAfterLeaving, detail);
        }
    }
}

fn check_replica_limits(env: &Env, report: &mut CheckReport) {
    let limits = accepted_limits(env);
    let mut residencies: BTreeMap<String, Vec<Residency>> = BTreeMap::new();
    for engine in &env.site.engines {
        for residency in engine.journal().residencies {
            let model = residency.resident.model.to_string();
            residencies.entry(model).or_default().push(residency);
        }
    }
    for (model, residencies) in &residencies {
        let changes = limits.get(model).cloned().unwrap_or_default();
        let starts = residencies.iter().map(|s| s.load_start);
        let enforced = changes.iter().map(|l| l.accepted_at + LIMIT_GRACE);
        for at in starts.chain(enforced) {
            let replicas = residencies.iter().filter(|s| is_resident(s, at)).count();
            let limit = highest_limit(&changes, at, env.site.settings.replica_limit as usize);
            if replicas > limit {
                let detail = format!("{model}: {replicas} replicas, limit {limit}");
                report.add_violation(Invariant::ReplicaLimit, detail);
            }
        }
        report.add_count("replicas loaded", residencies.len());
    }
}

fn is_resident(residency: &Residency, at: Instant) -> bool {
    residency.load_start <= at && residency.released_at.is_none_or(|end| end > at)
}

/// Returns the highest limit in force at `at` or within [`LIMIT_GRACE`] before.
fn highest_limit(changes: &[LimitChange], at: Instant, initial: usize) -> usize {
    let mut limit = initial;
    for change in changes {
        if change.accepted_at > at {
            break;
        }
        // The limit in force when the grace period began replaces all earlier ones.
        let in_force = change.accepted_at + LIMIT_GRACE <= at;
        limit = if in_force {
            change.limit
        } else {
            limit.max(change.limit)
        };
    }
    limit
}

/// Returns the accepted limit changes by model, in order.
fn accepted_limits(env: &Env) -> BTreeMap<String, Vec<LimitChange>> {
    let mut changes: BTreeMap<String, Vec<LimitChange>> = BTreeMap::new();
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
                changes.entry(model).or_default().push(LimitChange {
                    accepted_at: commit.committed_at,
                    limit: limit as usize,
                });
            }
        }
    }
    changes
}
