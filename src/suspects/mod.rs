//! Requests that crash upstreams.
//!
//! Every request in progress at an engine that crashes gets a crash report for
//! that engine instance. After one report the next attempt runs as a trial,
//! apart from other suspects; after two the request is held until an operator
//! releases it.
//!
//! Its messages get crash reports too, unless an engine has answered them before:
//! other requests may have the message on which the engine crashed. After three, requests
//! with the message are held but for trials, until an engine answers one.
//!
//! Reports and releases are sets that only grow, so that messages
//! merge to the same state in any order and any number of times.

mod answered;
mod fingerprint;
mod in_flight;
mod trials;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::peer::wire::CrashReport;

use answered::AnsweredMessages;
use fingerprint::MESSAGE_PREFIX;
pub use fingerprint::{Fingerprint, RequestFingerprints, fingerprint};
pub use in_flight::InFlightRequests;
pub use trials::{Trial, TrialCandidate, TrialRequest, Trials};

/// Number of crash reports after which a request is held.
pub const HOLD_AFTER_CRASHES: usize = 2;
/// Number of crash reports after which requests with a message are held; a single request has at
/// most [`HOLD_AFTER_CRASHES`].
pub const HOLD_MESSAGE_AFTER_CRASHES: usize = 3;
/// Time from the crash report that holds a message to its trial; doubles with each further one.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(10);
/// Longest time to the next trial of a held message.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(3_600);

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

/// How the next attempt of a request may run, given all its fingerprints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunDecision {
    /// It may run like any other.
    Unrestricted,
    /// It may run as a trial of this fingerprint.
    Trial(Fingerprint),
    /// It may not run.
    Held {
        /// Fingerprint that is held.
        fingerprint: Fingerprint,
        /// Time until a trial is allowed; `None` if only an operator can release it.
        trial_in: Option<Duration>,
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

/// What a fingerprint stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SuspectKind {
    Request,
    Message,
}

impl SuspectKind {
    fn of(fingerprint: &str) -> Self {
        match fingerprint.starts_with(MESSAGE_PREFIX) {
            true => SuspectKind::Message,
            false => SuspectKind::Request,
        }
    }
}

#[derive(Clone, Debug)]
struct Suspect {
    kind: SuspectKind,
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
        match (self.kind, self.crashes().count()) {
            (_, 0) => RunPolicy::Unrestricted,
            (SuspectKind::Request, n) if n < HOLD_AFTER_CRASHES => RunPolicy::TrialOnly,
            (SuspectKind::Message, n) if n < HOLD_MESSAGE_AFTER_CRASHES => RunPolicy::Unrestricted,
            _ => RunPolicy::Held,
        }
    }

    /// Returns the time until a trial of a held message is allowed; `None` once it has `max`
    /// crash reports.
    fn trial_in(&self, max: usize, now: Moment) -> Option<Duration> {
        let crashes = self.crashes().count();
        if crashes >= max {
            return None;
        }
        let further = crashes.saturating_sub(HOLD_MESSAGE_AFTER_CRASHES);
        let factor = 2_u32.saturating_pow(u32::try_from(further).unwrap_or(u32::MAX));
        let delay = FIRST_TRIAL_DELAY.saturating_mul(factor);
        let trial_at = self.updated + delay.min(MAX_TRIAL_DELAY);
        Some(trial_at.saturating_sub(now))
    }
}

/// Crash reports of all requests that this daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    settings: SuspectSettings,
    suspects: BTreeMap<Fingerprint, Suspect>,
    answered: AnsweredMessages,
}

impl Suspects {
    /// Returns an empty set of suspects.
    pub fn new(settings: SuspectSettings) -> Self {
        Suspects {
            settings,
            ..Suspects::default()
        }
    }

    /// Returns how the next attempt of a request may run.
    pub fn decide(&self, fingerprints: &RequestFingerprints, now: Moment) -> RunDecision {
        let request = &fingerprints.request;
        let policy = self.run_policy(request);
        if policy == RunPolicy::Held {
            return RunDecision::Held {
                fingerprint: request.clone(),
                trial_in: None,
            };
        }
        if let Some(decision) = self.decide_messages(&fingerprints.messages, now) {
            return decision;
        }
        match policy {
            RunPolicy::TrialOnly => RunDecision::Trial(request.clone()),
            _ => RunDecision::Unrestricted,
        }
    }

    /// Returns how a request with these messages may run if some are held: as a trial once each of
    /// them may be tried.
    fn decide_messages(&self, messages: &[Fingerprint], now: Moment) -> Option<RunDecision> {
        let mut longest: Option<(Duration, &Fingerprint)> = None;
        for message in messages {
            let Some(suspect) = self.suspects.get(message) else {
                continue;
            };
            if suspect.run_policy() != RunPolicy::Held {
                continue;
            }
            let Some(wait) = suspect.trial_in(self.settings.max_instances, now) else {
                return Some(RunDecision::Held {
                    fingerprint: message.clone(),
                    trial_in: None,
                });
            };
            longest = longest.max(Some((wait, message)));
        }
        let (wait, message) = longest?;
        let fingerprint = message.clone();
        Some(match wait.is_zero() {
            true => RunDecision::Trial(fingerprint),
            false => RunDecision::Held {
                fingerprint,
                trial_in: Some(wait),
            },
        })
    }

    /// Records that `instance` crashed while it ran a request; returns the reports for all
    /// peers, that of the whole request last.
    pub fn report_request_crash(
        &mut self,
        fingerprints: &RequestFingerprints,
        model: &str,
        instance: &str,
        now: Moment,
    ) -> (Vec<CrashReport>, CrashReport) {
        let mut messages = Vec::new();
        for message in &fingerprints.messages {
            if self.answered.contains(message) {
                continue;
            }
            messages.push(self.report_crash(message, model, instance, now));
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
        let mut releases = Vec::new();
        releases.extend(self.release(&fingerprints.request, now));
        for message in &fingerprints.messages {
            releases.extend(self.release(message, now));
            self.answered.record(message);
        }
        releases
    }

    /// Returns the release for all peers if a report is of a message that an engine has
    /// answered.
    pub fn refute(&mut self, report: &CrashReport, now: Moment) -> Option<CrashReport> {
        if report.released || !self.answered.contains(&report.fingerprint) {
            return None;
        }
        self.release(&report.fingerprint, now)
    }

    /// Returns how the next attempt of a request may run by this fingerprint alone.
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
        let kind = SuspectKind::of(&fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            kind,
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
