//! Checks of configuration versions and host lists.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{CheckReport, Invariant};
use crate::callers::parse_index;
use crate::env::Env;
use crate::history::{Event, FaultLog, PatchRecord, PollRecord};

/// Time within which an accepted version must be in force on every host.
const APPLY_TIMEOUT: Duration = Duration::from_secs(11);
/// Time after which no host may list a leaving host.
const UNLIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Checks all polls and patches.
pub fn check(env: &Env, fault_log: &FaultLog, events: &[Event], report: &mut CheckReport) {
    let mut patches = Vec::new();
    let mut polls: BTreeMap<usize, Vec<&PollRecord>> = BTreeMap::new();
    for event in events {
        match event {
            Event::Patch(patch) => patches.push(patch),
            Event::PatchFailed(status) => {
                report.add_count(format!("patches not accepted: status {status}"), 1);
            }
            Event::Poll(poll) => polls.entry(poll.host).or_default().push(poll),
            _ => {}
        }
    }
    report.add_count("patches accepted", patches.len());
    check_lost_versions(env, &patches, report);
    for polls in polls.values() {
        report.add_count("looks at hosts", polls.len());
        check_version_order(polls, report);
        for poll in polls {
            check_apply_delay(fault_log, poll, &patches, report);
            check_listed_hosts(fault_log, poll, report);
        }
    }
}

/// Checks that no two accepted patches have the same version and that no accepted
/// version is missing at the end.
fn check_lost_versions(env: &Env, patches: &[&PatchRecord], report: &mut CheckReport) {
    let mut accepted: BTreeMap<u64, &PatchRecord> = BTreeMap::new();
    for patch in patches {
        let other = accepted.insert(patch.version, patch);
        if other.is_some_and(|o| o.attempt != patch.attempt) {
            report.add_violation(Invariant::VersionLost, format!("{patch:?} {other:?}"));
        }
    }
    let latest = accepted.keys().last().copied().unwrap_or(0);
    for host in 0..env.hosts.len() {
        let version = env.config_version(host);
        if version < latest {
            let detail = format!("h{}: {version} at the end, {latest} accepted", host + 1);
            report.add_violation(Invariant::VersionLost, detail);
        }
    }
}

/// Checks that the version of a host never decreases, restarts included.
fn check_version_order(polls: &[&PollRecord], report: &mut CheckReport) {
    for pair in polls.windows(2) {
        if pair[1].version < pair[0].version {
            report.add_violation(Invariant::VersionBack, format!("{pair:?}"));
        }
    }
}

fn check_apply_delay(
    fault_log: &FaultLog,
    poll: &PollRecord,
    patches: &[&PatchRecord],
    report: &mut CheckReport,
) {
    for patch in patches {
        if patch.version <= poll.version || patch.at > poll.at {
            continue;
        }
        let paused = fault_log.frozen_hosts.overlap(poll.host, patch.at, poll.at);
        if poll.at - patch.at > APPLY_TIMEOUT + paused {
            report.add_violation(Invariant::VersionSlow, format!("{patch:?} {poll:?}"));
        }
    }
}

/// Checks that no host is listed too long after it began to leave. Time in which the
/// polled host was paused or could not read the platform's list does not count.
fn check_listed_hosts(fault_log: &FaultLog, poll: &PollRecord, report: &mut CheckReport) {
    for name in &poll.listed {
        let Some(host) = parse_index(name) else {
            continue;
        };
        for window in fault_log.leaving_hosts.get(host) {
            if !window.overlaps(poll.at, poll.at) {
                continue;
            }
            let late = listed_delay(fault_log, poll, window.from);
            if late > UNLIST_TIMEOUT {
                let detail = format!("{name} at h{} after {late:?}", poll.host + 1);
                report.add_violation(Invariant::NamedAfterLeaving, detail);
            }
        }
    }
}

fn listed_delay(fault_log: &FaultLog, poll: &PollRecord, from: Instant) -> Duration {
    let outage = fault_log.platform_outages.overlap(0, from, poll.at);
    let paused = fault_log.frozen_hosts.overlap(poll.host, from, poll.at);
    (poll.at - from).saturating_sub(outage + paused)
}
