//! Requests that were given up at engines that did not answer them.

use std::collections::HashMap;
use std::time::Duration;

use super::{Fingerprint, RequestFingerprints};
use crate::clock::Moment;
use crate::config::Name;

/// Time for which such a request is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Maximum number of requests that are remembered of one instance.
const MAX_RUNS: usize = 64;
/// Maximum number of instances.
const MAX_INSTANCES: usize = 64;

/// Request that was given up.
#[derive(Clone, Debug)]
pub struct AbandonedRun {
    /// Its fingerprints.
    pub fingerprints: RequestFingerprints,
    /// Its model.
    pub model: Name,
    /// When it was given up.
    pub at: Moment,
}

/// Requests that were given up, by the engine instance. Nobody learns from a connection whether
/// the instance ended; it is known once the engine has another one.
#[derive(Clone, Debug, Default)]
pub struct AbandonedRuns(HashMap<Name, Vec<AbandonedRun>>);

impl AbandonedRuns {
    /// Records a request; the earliest ones make room.
    pub fn record(
        &mut self,
        instance: &Name,
        fingerprints: &RequestFingerprints,
        model: &Name,
        now: Moment,
    ) {
        if self.0.len() >= MAX_INSTANCES && !self.0.contains_key(instance) {
            self.remove_oldest();
        }
        let runs = self.0.entry(instance.clone()).or_default();
        if runs.len() >= MAX_RUNS {
            runs.remove(0);
        }
        runs.push(AbandonedRun {
            fingerprints: fingerprints.clone(),
            model: model.clone(),
            at: now,
        });
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .0
            .iter()
            .min_by_key(|(_, runs)| runs.first().map(|r| r.at));
        if let Some(instance) = oldest.map(|(name, _)| name.clone()) {
            self.0.remove(&instance);
        }
    }

    /// Forgets a request, which was answered elsewhere.
    pub fn remove(&mut self, request: &Fingerprint) {
        self.0.retain(|_, runs| {
            runs.retain(|r| r.fingerprints.request != *request);
            !runs.is_empty()
        });
    }

    /// Removes and returns the requests of an instance.
    pub fn take(&mut self, instance: &str) -> Vec<AbandonedRun> {
        self.0.remove(instance).unwrap_or_default()
    }

    /// Forgets old requests.
    pub fn expire(&mut self, now: Moment) {
        self.0.retain(|_, runs| {
            runs.retain(|r| now.saturating_sub(r.at) < MEMORY);
            !runs.is_empty()
        });
    }
}
