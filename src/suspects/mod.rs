//! Requests that crash upstreams.
//!
//! Every request in progress at an engine that crashes gets a crash report for that engine
//! instance, and so do its messages. An answer takes the reports back of all that the request
//! holds. After one report the next attempt runs as a trial, apart from other suspects; after
//! further ones it waits first, the longer the more the crashes single the request out. Messages
//! that crashes single out are held together: only requests with all of them, but for trials.
//!
//! Nothing is held for good. The pauses between trials bound the upstreams that one request, or
//! one group of messages, costs in an hour.
//!
//! Reports and releases are sets that only grow, so that messages
//! merge to the same state in any order and any number of times.

mod abandoned;
mod answered;
mod evidence;
mod fingerprint;
mod in_flight;
mod suspect;
mod trials;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::peer::wire::CrashReport;

use abandoned::AbandonedRuns;
use answered::AnsweredMessages;
use evidence::{HeldGroup, Verdicts};

pub use fingerprint::{Fingerprint, RequestFingerprints, fingerprint};
pub use in_flight::InFlightRequests;
use suspect::{Suspect, SuspectKind};
pub use trials::{Trial, TrialCandidate, TrialRequest, Trials};

/// Maximum number of engine instances whose ends are remembered.
const MAX_ENDS: usize = 1_024;
/// Factor by which the pause is longer before a trial with a request that may have another reason
/// to crash engines: it would tell less.
const DOUBTFUL_FACTOR: u32 = 2;

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

/// How the next attempt of a request may run, given all its fingerprints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunDecision {
    /// It may run like any other.
    Unrestricted,
    /// It may run as a trial of these fingerprints, with spaces between them.
    Trial(Fingerprint),
    /// It may not run.
    Held {
        /// Fingerprint that is held.
        fingerprint: Fingerprint,
        /// Time until a trial is allowed.
        trial_in: Duration,
    },
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

/// Returns the report of one crash.
fn crash_report(fingerprint: &str, model: &str, instance: &str) -> CrashReport {
    CrashReport {
        fingerprint: fingerprint.into(),
        instances: vec![instance.into()],
        model: model.into(),
        ..CrashReport::default()
    }
}

/// Crash reports of all requests that this daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    settings: SuspectSettings,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When engine instances crashed.
    ends: BTreeMap<Name, Moment>,
    answered: AnsweredMessages,
    abandoned: AbandonedRuns,
    verdicts: Verdicts,
    /// Whether `verdicts` are out of date.
    changed: bool,
}

impl Suspects {
    /// Returns an empty set of suspects.
    pub fn new(settings: SuspectSettings) -> Self {
        Suspects {
            settings,
            ..Suspects::default()
        }
    }

    /// Returns how the next attempt of a request may run: as a trial once all that it holds may
    /// be tried.
    pub fn decide(&mut self, fingerprints: &RequestFingerprints, now: Moment) -> RunDecision {
        self.update_verdicts(now);
        if self.verdicts.is_empty() {
            return RunDecision::Unrestricted;
        }
        let mut due = self.group_trials(fingerprints);
        let request = &fingerprints.request;
        if let Some(verdict) = self.verdicts.requests.get(request) {
            due.push((verdict.trial_at(now), request.clone()));
        }
        let latest = due.iter().max_by_key(|(trial_at, _)| *trial_at);
        if let Some((trial_at, fingerprint)) = latest.filter(|(at, _)| *at > now) {
            return RunDecision::Held {
                fingerprint: fingerprint.clone(),
                trial_in: *trial_at - now,
            };
        }
        if due.is_empty() {
            return RunDecision::Unrestricted;
        }
        // Copies of a request are never tried at once, whatever else is held.
        let mut names: BTreeSet<_> = due.iter().map(|(_, name)| &**name).collect();
        names.insert(request);
        RunDecision::Trial(Vec::from_iter(names).join(" ").into())
    }

    /// Returns the held groups that a request has, by their names, and when it may run as a trial.
    fn group_trials(&self, fingerprints: &RequestFingerprints) -> Vec<(Moment, Fingerprint)> {
        let messages: BTreeSet<_> = fingerprints.messages.iter().collect();
        let mut due = Vec::new();
        for group in &self.verdicts.groups {
            let Some(name) = group.name() else {
                continue;
            };
            if group.messages.iter().all(|m| messages.contains(m)) {
                due.push((self.trial_at(group, fingerprints), name.clone()));
            }
        }
        due
    }

    /// Returns when a request may run as a trial of a group. It comes later if something else that
    /// the request holds was at crashes.
    fn trial_at(&self, group: &HeldGroup, fingerprints: &RequestFingerprints) -> Moment {
        let is_suspect = |f: &Fingerprint| {
            let suspect = self.suspects.get(f);
            !group.messages.contains(f) && suspect.is_some_and(|s| s.crashes().next().is_some())
        };
        let others = std::iter::once(&fingerprints.request);
        match others.chain(&fingerprints.messages).any(is_suspect) {
            true => group.trial_at + group.pause * (DOUBTFUL_FACTOR - 1),
            false => group.trial_at,
        }
    }

    /// Weighs the crashes again if something has changed.
    fn update_verdicts(&mut self, now: Moment) {
        let is_stale = self.verdicts.stale_at.is_some_and(|at| at <= now);
        if !self.changed && !is_stale {
            return;
        }
        let is_known = |message: &str| self.answered.last(message).is_some();
        self.verdicts = Verdicts::weigh(&self.suspects, &self.ends, is_known, now);
        self.changed = false;
    }

    /// Records that `instance` crashed while it ran a request, as a trial of `trial` if it was
    /// one; returns the reports for all peers, that of the whole request last.
    pub fn report_request_crash(
        &mut self,
        fingerprints: &RequestFingerprints,
        model: &str,
        instance: &str,
        trial: Option<&str>,
        now: Moment,
    ) -> (Vec<CrashReport>, CrashReport) {
        let groups = self.verdicts.groups.iter();
        let is_tried =
            |name: &Fingerprint| trial.is_some_and(|t| t.split(' ').any(|n| *n == **name));
        let tried = groups.filter(|g| g.name().is_some_and(is_tried));
        let tried: BTreeSet<_> = tried.flat_map(|g| &g.messages).cloned().collect();
        let mut messages = Vec::new();
        for message in &fingerprints.messages {
            let mut report = crash_report(message, model, instance);
            report.trial = tried.contains(message);
            report.requests = vec![fingerprints.request.to_string()];
            self.merge(&report, now);
            messages.push(report);
        }
        let request = self.report_crash(&fingerprints.request, model, instance, now);
        (messages, request)
    }

    /// Records that an engine has answered a request; returns the releases for all peers.
    pub fn record_answered(
        &mut self,
        fingerprints: &RequestFingerprints,
        now: Moment,
    ) -> Vec<CrashReport> {
        self.abandoned.remove(&fingerprints.request);
        let mut releases = Vec::new();
        releases.extend(self.release(&fingerprints.request, now));
        for message in &fingerprints.messages {
            releases.extend(self.release(message, now));
            self.answered.record(message, now);
        }
        releases
    }

    /// Returns the release for all peers if an engine has answered a message since the crashes
    /// of a report.
    pub fn refute(&mut self, report: &CrashReport, now: Moment) -> Option<CrashReport> {
        let answered_at = self.answered.last(&report.fingerprint)?;
        let ends = report.instances.iter().map(|i| self.ends.get(i.as_str()));
        let last_end = ends.flatten().max()?;
        if report.released || answered_at <= *last_end {
            return None;
        }
        self.release(&report.fingerprint, now)
    }

    /// Records that a request was given up at an instance that did not answer it, and that may
    /// have ended because of it.
    pub fn record_abandoned(
        &mut self,
        fingerprints: &RequestFingerprints,
        model: &Name,
        instance: &Name,
        now: Moment,
    ) {
        self.abandoned.record(instance, fingerprints, model, now);
    }

    /// Records that an instance has ended, and returns the reports for all peers: of the requests
    /// that were given up there, as far as they were not answered since.
    pub fn record_ended(&mut self, instance: &str, now: Moment) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for run in self.abandoned.take(instance) {
            for message in &run.fingerprints.messages {
                let answered_at = self.answered.last(message);
                if answered_at.is_none_or(|at| at < run.at) {
                    let mut report = crash_report(message, &run.model, instance);
                    report.requests = vec![run.fingerprints.request.to_string()];
                    self.merge(&report, now);
                    reports.push(report);
                }
            }
            let request = &run.fingerprints.request;
            reports.push(self.report_crash(request, &run.model, instance, now));
        }
        reports
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
        let report = crash_report(fingerprint, model, instance);
        self.merge(&report, now);
        report
    }

    /// Merges the report of a peer; returns whether it changed anything.
    pub fn merge(&mut self, report: &CrashReport, now: Moment) -> bool {
        let fingerprint: Fingerprint = report.fingerprint.as_str().into();
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_oldest();
        }
        if !report.released {
            self.record_ends(report, now);
        }
        let kind = SuspectKind::of(&fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            kind,
            model: report.model.as_str().into(),
            crashed: BTreeSet::new(),
            released: BTreeSet::new(),
            trials: BTreeSet::new(),
            requests: BTreeSet::new(),
            updated: now,
        });
        let mut changed = false;
        let max = self.settings.max_instances;
        for instance in &report.instances {
            changed |= suspect.add(instance, report.released, max);
            if report.trial {
                changed |= suspect.trials.insert(instance.as_str().into());
            }
        }
        changed |= suspect.add_requests(&report.requests);
        suspect.limit_crashes(&self.ends, max);
        if changed {
            suspect.updated = now;
            self.changed = true;
        }
        changed
    }

    /// Records when the instances of a report crashed.
    fn record_ends(&mut self, report: &CrashReport, now: Moment) {
        for (index, instance) in report.instances.iter().enumerate() {
            let age_ms = report.ages_ms.get(index).copied().unwrap_or(0);
            let at = now.saturating_sub(Duration::from_millis(age_ms));
            let end = self.ends.entry(instance.as_str().into()).or_insert(at);
            *end = at.min(*end);
        }
        while self.ends.len() > MAX_ENDS {
            let Some((earliest, _)) = self.ends.iter().min_by_key(|(_, at)| **at) else {
                return;
            };
            let earliest = earliest.clone();
            self.ends.remove(&earliest);
        }
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
            ..CrashReport::default()
        };
        self.merge(&report, now);
        Some(report)
    }

    /// Releases a fingerprint, and the messages that are held together with it, by an operator's
    /// decision; returns the messages for all peers.
    pub fn release_held(&mut self, fingerprint: &str, now: Moment) -> Vec<CrashReport> {
        self.update_verdicts(now);
        let groups = self.verdicts.groups.iter();
        let groups = groups.filter(|g| g.messages.contains(fingerprint));
        let mut released: BTreeSet<Fingerprint> =
            groups.flat_map(|g| &g.messages).cloned().collect();
        released.insert(fingerprint.into());
        let releases = released.iter().map(|f| self.release(f, now));
        releases.flatten().collect()
    }

    /// Returns the held requests, and one message of each held group.
    pub fn held_requests(&mut self, now: Moment) -> Vec<HeldRequest> {
        self.update_verdicts(now);
        let groups = self.verdicts.groups.iter().filter_map(HeldGroup::name);
        let requests = self.verdicts.requests.iter();
        let requests = requests.filter(|(_, v)| v.singled_out || v.trial_at(now) > now);
        let held = requests.map(|(fingerprint, _)| fingerprint).chain(groups);
        let held = held.filter_map(|fingerprint| {
            let suspect = self.suspects.get(fingerprint)?;
            Some(HeldRequest {
                fingerprint: fingerprint.clone(),
                model: suspect.model.clone(),
                instances: suspect.crashes().cloned().collect(),
                updated: suspect.updated,
            })
        });
        held.collect()
    }

    /// Returns the reports and releases that a newly linked peer needs.
    pub fn crash_reports(&self, now: Moment) -> Vec<CrashReport> {
        let age_ms = |name: &Name| {
            let end = self.ends.get(name).copied().unwrap_or_default();
            now.saturating_sub(end).as_millis() as u64
        };
        let mut reports = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            // Releases first, so that a sound message is not held in between.
            let sets = [
                (&suspect.released, true, false),
                (&suspect.trials, false, true),
                (&suspect.crashed, false, false),
            ];
            for (set, released, trial) in sets {
                if set.is_empty() {
                    continue;
                }
                reports.push(CrashReport {
                    fingerprint: fingerprint.to_string(),
                    instances: set.iter().map(|name| name.to_string()).collect(),
                    released,
                    model: suspect.model.to_string(),
                    ages_ms: set.iter().map(age_ms).collect(),
                    trial,
                    requests: suspect.requests.iter().map(|r| r.to_string()).collect(),
                });
            }
        }
        reports
    }

    /// Removes what is old: of requests that were at no more than one crash.
    pub fn expire(&mut self, now: Moment) {
        let retention = self.settings.retention;
        let is_old = |at: Moment| now.saturating_sub(at) >= retention;
        let before = self.suspects.len();
        self.suspects
            .retain(|_, s| s.crashes().nth(1).is_some() || !is_old(s.updated));
        self.changed |= self.suspects.len() != before;
        let kept: BTreeSet<_> = self.suspects.values().flat_map(|s| &s.crashed).collect();
        self.ends
            .retain(|name, at| !is_old(*at) || kept.contains(name));
        self.abandoned.expire(now);
    }

    /// Removes the oldest request when full; one that was at several crashes only when all were.
    fn evict_oldest(&mut self) {
        if self.suspects.len() < self.settings.max_requests {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, s)| (s.crashes().nth(1).is_some(), s.updated));
        if let Some((fingerprint, _)) = oldest {
            let fingerprint = fingerprint.clone();
            log::warn!(
                "dropped the crash reports of request {fingerprint}: too many requests have reports"
            );
            self.suspects.remove(&fingerprint);
            self.changed = true;
        }
    }
}
