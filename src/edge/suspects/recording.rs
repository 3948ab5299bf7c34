//! What follows from the held features: log lines, and which requests may be sent.

use std::time::Duration;

use super::rows::{Claim, claim_trial};
use super::{Feature, HeldChange};
use crate::edge::clock;
use crate::edge::state::Edge;

/// Time after which a caller may return whose request is held for good.
const HELD_RETURN: Duration = Duration::from_secs(600);

/// Why a request may not be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The held feature.
    pub feature: Feature,
    /// Time after which the caller may return.
    pub retry_after: Duration,
}

impl Edge {
    /// Checks whether a request with these features may go on for now. Whether it may be sent
    /// is decided by [`Edge::admit`].
    pub fn check_held(&self, features: &[Feature]) -> Result<(), Hold> {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let trials = state.suspects.trials_in(features, now);
        for (feature, _) in &trials {
            state.suspects.record_seen(*feature, now);
        }
        drop(state);
        let waits = trials.into_iter().map(|(feature, wait)| Hold {
            feature,
            retry_after: wait.unwrap_or(HELD_RETURN),
        });
        let longest = waits.max_by_key(|hold| hold.retry_after);
        match longest.filter(|hold| !hold.retry_after.is_zero()) {
            Some(hold) => Err(hold),
            None => Ok(()),
        }
    }

    /// Checks whether a request with these features may be sent now. One with a held feature may
    /// only as a trial, which is taken for it; returns whether it is one.
    pub async fn admit(&self, features: &[Feature]) -> Result<bool, Hold> {
        self.check_held(features)?;
        let held = self.state.borrow().suspects.held_among(features);
        for feature in &held {
            self.claim(*feature).await?;
        }
        Ok(!held.is_empty())
    }

    /// Takes a trial of a held feature.
    async fn claim(&self, feature: Feature) -> Result<(), Hold> {
        let claim = claim_trial(self, feature).await;
        let outcome: &'static str = claim.into();
        self.metrics.record_trial(outcome);
        log::info!(feature:%, outcome; "trial of a held feature");
        if claim == Claim::Granted {
            return Ok(());
        }
        let state = self.state.borrow();
        let wait = state.suspects.trial_in(feature, clock::now());
        Err(Hold {
            feature,
            retry_after: wait.unwrap_or(HELD_RETURN),
        })
    }

    /// Records that an engine has answered a request with these features.
    pub fn record_answered(&self, features: &[Feature]) {
        let mut state = self.state.borrow_mut();
        let change = state.suspects.record_answered(features, clock::now());
        let has_news = state.suspects.has_news();
        drop(state);
        self.record_held_change(&change);
        if has_news {
            self.send_wake.notify_one();
        }
    }

    /// Releases the features that the settings name, at all hosts.
    pub fn release_features(&self) {
        let settings = self.settings();
        if !settings.released.is_empty() {
            self.record_answered(&settings.released);
        }
    }

    /// Logs a change of the held features, and wakes the task that keeps their rows.
    pub fn record_held_change(&self, change: &HeldChange) {
        if change.is_empty() {
            return;
        }
        let state = self.state.borrow();
        let count = state.suspects.held().count() as u64;
        self.metrics.set_held_features(count);
        for feature in &change.held {
            let ends = state.suspects.crashes_by(*feature);
            let engines: Vec<_> = ends.map(|(id, _)| &*id.lifetime.engine).collect();
            let engines = engines.join(",");
            log::warn!(feature:%, engines; "feature held: engines crash on requests with it");
        }
        for feature in &change.released {
            log::info!(feature:%; "feature released");
        }
        drop(state);
        self.hold_wake.notify_one();
        self.notify_waiting();
    }
}
