//! Trials of suspects, managed by the owner of a pool.

use std::collections::BTreeMap;

use super::Fingerprint;
use crate::clock::Moment;
use crate::config::Name;

/// Request for a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialRequest {
    /// Ticket of the attempt.
    pub ticket: Name,
    /// Fingerprint that is tried, or several with spaces between them.
    pub fingerprint: Fingerprint,
    /// Host that has the request.
    pub host: Name,
    /// Time at which the trial is given up.
    pub deadline: Moment,
}

/// Attempt of a suspect that runs apart from other suspects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Request that the trial belongs to.
    pub request: TrialRequest,
    /// Engine that runs the attempt.
    pub engine: Name,
}

/// Engine that may run a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialCandidate {
    /// Engine.
    pub engine: Name,
    /// Number of running and queued requests.
    pub load: u32,
}

/// Trials in progress: at most one per fingerprint and per engine.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    trials: BTreeMap<Name, Trial>,
}

impl Trials {
    /// Starts a trial on the least loaded of `candidates`. Returns `None` while
    /// a trial of the same request is in progress or each candidate has one.
    /// Returns the existing trial of a ticket that already has one.
    pub fn start(
        &mut self,
        request: TrialRequest,
        candidates: &[TrialCandidate],
    ) -> Option<&Trial> {
        if self.trials.contains_key(&request.ticket) {
            return self.trials.get(&request.ticket);
        }
        let mut fingerprints = request.fingerprint.split(' ');
        let is_tried = |fingerprint: &str| {
            let mut trials = self.trials.values();
            trials.any(|t| t.request.fingerprint.split(' ').any(|f| f == fingerprint))
        };
        if fingerprints.any(is_tried) {
            return None;
        }
        let free = candidates.iter().filter(|c| !self.has_trial(&c.engine));
        let engine = free.min_by_key(|c| (c.load, &c.engine))?.engine.clone();
        let ticket = request.ticket.clone();
        let trial = Trial { request, engine };
        Some(self.trials.entry(ticket).or_insert(trial))
    }

    /// Returns whether a trial runs on `engine`, which should then get no other
    /// new work.
    pub fn has_trial(&self, engine: &str) -> bool {
        self.trials.values().any(|t| *t.engine == *engine)
    }

    /// Ends the trial of a ticket.
    pub fn end(&mut self, ticket: &str) -> Option<Trial> {
        self.trials.remove(ticket)
    }

    /// Ends the trial on an engine that crashed; its request gets a crash
    /// report.
    pub fn end_on_engine(&mut self, engine: &str) -> Option<Trial> {
        let mut trials = self.trials.values();
        let ticket = trials
            .find(|t| *t.engine == *engine)?
            .request
            .ticket
            .clone();
        self.end(&ticket)
    }

    /// Ends all trials of a removed host.
    pub fn end_for_host(&mut self, host: &str) {
        self.trials.retain(|_, t| *t.request.host != *host);
    }

    /// Ends all trials whose deadline has passed.
    pub fn expire(&mut self, now: Moment) {
        self.trials.retain(|_, t| now < t.request.deadline);
    }
}
