//! Requests that crash upstreams.
//!
//! Every request in progress at an engine that dies gets a strike for that
//! engine instance. One strike: the next attempt runs alone, as a trial. Two:
//! the request is held until an operator releases it. Strikes and releases are
//! sets that only grow, so they merge to the same state in any order and any
//! number of times.

mod fingerprint;
mod in_flight;
mod trials;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::peer::wire::CrashReport;

pub use fingerprint::{Fingerprint, fingerprint};
pub use in_flight::InFlightRequests;
pub use trials::{Trial, TrialCandidate, TrialRequest, Trials};

/// Strikes after which a request is held.
pub const HOLD_AFTER_CRASHES: usize = 2;

/// Settings of the record of strikes.
#[derive(Clone, Copy, Debug)]
pub struct SuspectSettings {
    /// Most fingerprints that are remembered.
    pub max_requests: usize,
    /// Most engine instances that are remembered for one fingerprint.
    pub max_instances: usize,
    /// Time after its last strike after which a request that is not held is
    /// forgotten.
    pub retention: Duration,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        SuspectSettings {
            max_requests: 10_000,
            max_instances: 16,
            retention: Duration::from_secs(3_600),
        }
    }
}

/// How the next attempt of a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RunPolicy {
    /// As any other.
    #[strum(serialize = "free")]
    Unrestricted,
    /// Only as a trial, apart from other suspects.
    #[strum(serialize = "alone")]
    TrialOnly,
    /// Not at all.
    Held,
}

/// A held request, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRequest {
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// Model of the request.
    pub model: Name,
    /// Engine instances that died under it.
    pub instances: Vec<Name>,
    /// When the last strike came.
    pub updated: Moment,
}

#[derive(Clone, Debug)]
struct Suspect {
    model: Name,
    crashed: BTreeSet<Name>,
    released: BTreeSet<Name>,
    updated: Moment,
}

impl Suspect {
    fn crashes(&self) -> impl Iterator<Item = &Name> {
        self.crashed.difference(&self.released)
    }

    fn instances_mut(&mut self, released: bool) -> &mut BTreeSet<Name> {
        match released {
            true => &mut self.released,
            false => &mut self.crashed,
        }
    }

    /// Takes an instance into one of the sets; drops what was released once
    /// that set has `most`. A peer that still has it makes the request held
    /// again, never free.
    fn add(&mut self, instance: &str, released: bool, max: usize) -> bool {
        if self.instances_mut(released).contains(instance) {
            return false;
        }
        if self.instances_mut(released).len() >= max {
            self.crashed = self.crashes().cloned().collect();
            self.released.clear();
        }
        // A set that is still full holds strikes, far more than it needs.
        self.instances_mut(released).len() < max
            && self.instances_mut(released).insert(instance.into())
    }

    fn run_policy(&self) -> RunPolicy {
        match self.crashes().count() {
            0 => RunPolicy::Unrestricted,
            n if n < HOLD_AFTER_CRASHES => RunPolicy::TrialOnly,
            _ => RunPolicy::Held,
        }
    }
}

/// Strikes of all requests, as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    settings: SuspectSettings,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Knows no strike yet.
    pub fn new(settings: SuspectSettings) -> Self {
        Suspects {
            settings,
            suspects: BTreeMap::new(),
        }
    }

    /// How the next attempt of `fingerprint` may run.
    pub fn run_policy(&self, fingerprint: &str) -> RunPolicy {
        let suspect = self.suspects.get(fingerprint);
        suspect.map_or(RunPolicy::Unrestricted, Suspect::run_policy)
    }

    /// Records that `instance` died while it ran the request; answers the
    /// message for all peers.
    pub fn report_crash(
        &mut self,
        fingerprint: &Fingerprint,
        model: &str,
        instance: &str,
        now: Moment,
    ) -> CrashReport {
        let report = CrashReport {
            fingerprint: fingerprint.to_string(),
            instances: vec![instance.into()],
            released: false,
            model: model.into(),
        };
        self.merge(&report, now);
        report
    }

    /// Takes in a message of a peer; answers whether it was new.
    pub fn merge(&mut self, report: &CrashReport, now: Moment) -> bool {
        let fingerprint: Fingerprint = report.fingerprint.as_str().into();
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            model: report.model.as_str().into(),
            crashed: BTreeSet::new(),
            released: BTreeSet::new(),
            updated: now,
        });
        let mut changed = false;
        for instance in &report.instances {
            changed |= suspect.add(instance, report.released, self.settings.max_instances);
        }
        if changed {
            suspect.updated = now;
        }
        changed
    }

    /// Takes back all strikes of a request, because it completed in a trial or
    /// by an operator's decision; answers the message for all peers, or `None`
    /// if there is no report.
    pub fn release(&mut self, fingerprint: &str, now: Moment) -> Option<CrashReport> {
        let suspect = self.suspects.get(fingerprint)?;
        let instances: Vec<_> = suspect.crashes().map(|name| name.to_string()).collect();
        if instances.is_empty() {
            return None;
        }
        let report = CrashReport {
            fingerprint: fingerprint.into(),
            instances,
            released: true,
            model: suspect.model.to_string(),
        };
        self.merge(&report, now);
        Some(report)
    }

    /// The held requests.
    pub fn held_requests(&self) -> Vec<HeldRequest> {
        let all = self.suspects.iter();
        let held = all.filter(|(_, s)| s.run_policy() == RunPolicy::Held);
        held.map(|(fingerprint, s)| HeldRequest {
            fingerprint: fingerprint.clone(),
            model: s.model.clone(),
            instances: s.crashes().cloned().collect(),
            updated: s.updated,
        })
        .collect()
    }

    /// Messages that bring a newly linked peer up to date.
    pub fn crash_reports(&self) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            for (set, released) in [(&suspect.crashed, false), (&suspect.released, true)] {
                if set.is_empty() {
                    continue;
                }
                reports.push(CrashReport {
                    fingerprint: fingerprint.to_string(),
                    instances: set.iter().map(|name| name.to_string()).collect(),
                    released,
                    model: suspect.model.to_string(),
                });
            }
        }
        reports
    }

    /// Forgets old requests that are not held.
    pub fn expire(&mut self, now: Moment) {
        let retention = self.settings.retention;
        self.suspects.retain(|_, s| {
            s.run_policy() == RunPolicy::Held || now.saturating_sub(s.updated) < retention
        });
    }

    /// Forgets the oldest request when full; a held one only when all are.
    fn make_room(&mut self) {
        if self.suspects.len() < self.settings.max_requests {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, s)| (s.run_policy() == RunPolicy::Held, s.updated));
        if let Some((fingerprint, _)) = oldest {
            let fingerprint = fingerprint.clone();
            log::warn!("forgot the strikes of request {fingerprint}: too many requests have some");
            self.suspects.remove(&fingerprint);
        }
    }
}
