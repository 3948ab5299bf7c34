//! Configuration versions and entry answers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Findings, Invariant};
use crate::callers::number;
use crate::env::Env;
use crate::record::{Look, Note, Patched, Plan};

/// Time by which an accepted version is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(11);
/// Time after which a leaving host is in nobody's entry answer.
const UNNAMED: Duration = Duration::from_secs(3);

/// Checks all looks and patches.
pub fn check(env: &Env, plan: &Plan, notes: &[Note], findings: &mut Findings) {
    let mut patches = Vec::new();
    let mut looks: BTreeMap<usize, Vec<&Look>> = BTreeMap::new();
    for note in notes {
        match note {
            Note::Patched(patched) => patches.push(patched),
            Note::Unpatched(status) => {
                findings.count(format!("patches not accepted: status {status}"), 1);
            }
            Note::Look(look) => looks.entry(look.host).or_default().push(look),
            _ => {}
        }
    }
    findings.count("patches accepted", patches.len());
    lost(env, &patches, findings);
    for looks in looks.values() {
        findings.count("looks at hosts", looks.len());
        back(looks, findings);
        for look in looks {
            slow(plan, look, &patches, findings);
            named(plan, look, findings);
        }
    }
}

/// Two accepted patches of one version, or an accepted one that is missing at
/// the end.
fn lost(env: &Env, patches: &[&Patched], findings: &mut Findings) {
    let mut made: BTreeMap<u64, &Patched> = BTreeMap::new();
    for patched in patches {
        let other = made.insert(patched.version, patched);
        if other.is_some_and(|o| o.attempt != patched.attempt) {
            findings.violate(Invariant::VersionLost, format!("{patched:?} {other:?}"));
        }
    }
    let most = made.keys().last().copied().unwrap_or(0);
    for host in 0..env.hosts.len() {
        let version = env.config_version(host);
        if version < most {
            let what = format!("h{}: {version} at the end, {most} accepted", host + 1);
            findings.violate(Invariant::VersionLost, what);
        }
    }
}

/// A version that goes back at one host, restarts included.
fn back(looks: &[&Look], findings: &mut Findings) {
    for pair in looks.windows(2) {
        if pair[1].version < pair[0].version {
            findings.violate(Invariant::VersionBack, format!("{pair:?}"));
        }
    }
}

fn slow(plan: &Plan, look: &Look, patches: &[&Patched], findings: &mut Findings) {
    for patched in patches {
        if patched.version <= look.version || patched.at > look.at {
            continue;
        }
        let paused = plan.frozen.shared(look.host, patched.at, look.at);
        if look.at - patched.at > IN_FORCE + paused {
            findings.violate(Invariant::VersionSlow, format!("{patched:?} {look:?}"));
        }
    }
}

/// A host that is named long after it began to leave. Time in which the named
/// host or the naming one was paused, or the list could not be read, does not
/// count.
fn named(plan: &Plan, look: &Look, findings: &mut Findings) {
    for name in &look.entry {
        let Some(host) = number(name) else {
            continue;
        };
        for window in plan.leaving.of(host) {
            if !window.meets(look.at, look.at) {
                continue;
            }
            let late = unseen(plan, look, window.from);
            if late > UNNAMED {
                let what = format!("{name} at h{} after {late:?}", look.host + 1);
                findings.violate(Invariant::NamedAfterLeaving, what);
            }
        }
    }
}

fn unseen(plan: &Plan, look: &Look, from: Instant) -> Duration {
    let blind = plan.outages.shared(0, from, look.at);
    let paused = plan.frozen.shared(look.host, from, look.at);
    (look.at - from).saturating_sub(blind + paused)
}
