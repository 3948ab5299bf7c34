//! Requests that crash upstreams.
//!
//! Every request in progress at an engine that crashes gets a crash report for
//! that engine instance. After one report the next attempt runs as a trial,
//! apart from other suspects; after two the request is held until an operator
//! releases it. Reports and releases are sets that only grow, so that messages
//! merge to the same state in any order and any number of times.

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

/// Number of crash reports after which a request is held.
pub const HOLD_AFTER_CRASHES: usize = 2;

/// Limits of the recorded crash reports.
#[derive(Clone, Copy, Debug)]
pub struct SuspectSettings {
    /// Maximum number of fingerprints that are kept.
    pub max_requests: usize,
    /// Maximum number of engine instances that are kept for one fingerprint.
    pub max_instances: usize,
    /// Time after the last report after which a request that is not held is
    /// removed.
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
    /// The request may run like any other.
    #[strum(serialize = "free")]
    Unrestricted,
    /// The request may run only as a trial, apart from other suspects.
    #[strum(serialize = "alone")]
    TrialOnly,
    /// The request may not run until an operator releases it.
    Held,
}

/// Held request, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRequest {
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// Model of the request.
    pub model: Name,
    /// Engine instances that crashed while they ran it.
    pub instances: Vec<Name>,
    /// Time of the last crash report.
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

    /// Adds an instance to one of the sets and returns whether it is new. Once
    /// that set has `max` instances, released ones are dropped; a peer that
    /// still reports them can only get the request held again, never released.
    fn add(&mut self, instance: &str, released: bool, max: usize) -> bool {
        if self.instances_mut(released).contains(instance) {
            return false;
        }
        if self.instances_mut(released).len() >= max {
            self.crashed = self.crashes().cloned().collect();
            self.released.clear();
        }
        // A set that is still full has far more reports than it takes to hold
        // the request.
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

/// Crash reports of all requests that this daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    settings: SuspectSettings,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Returns an empty set of suspects.
    pub fn new(settings: SuspectSettings) -> Self {
        Suspects {
            settings,
            suspects: BTreeMap::new(),
        }
    }

    /// Returns how the next attempt of a request may run.
    pub fn run_policy(&self, fingerprint: &str) -> RunPolicy {
        let suspect = self.suspects.get(fingerprint);
        suspect.map_or(RunPolicy::Unrestricted, Suspect::run_policy)
    }

    /// Records that `instance` crashed while it ran the request; returns the
    /// report for all peers.
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

    /// Merges the report of a peer; returns whether it changed anything.
    pub fn merge(&mut self, report: &CrashReport, now: Moment) -> bool {
        let fingerprint: Fingerprint = report.fingerprint.as_str().into();
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_oldest();
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

    /// Releases all crash reports of a request, after it completed in a trial
    /// or by an operator's decision; returns the message for all peers, or
    /// `None` if there is no report.
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

    /// Returns the held requests.
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

    /// Returns the reports and releases that a newly linked peer needs.
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

    /// Removes old requests that are not held.
    pub fn expire(&mut self, now: Moment) {
        let retention = self.settings.retention;
        self.suspects.retain(|_, s| {
            s.run_policy() == RunPolicy::Held || now.saturating_sub(s.updated) < retention
        });
    }

    /// Removes the oldest request when full; a held one only when all are held.
    fn evict_oldest(&mut self) {
        if self.suspects.len() < self.settings.max_requests {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, s)| (s.run_policy() == RunPolicy::Held, s.updated));
        if let Some((fingerprint, _)) = oldest {
            let fingerprint = fingerprint.clone();
            log::warn!(
                "dropped the crash reports of request {fingerprint}: too many requests have reports"
            );
            self.suspects.remove(&fingerprint);
        }
    }
}
