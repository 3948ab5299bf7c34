//! Prediction of the time to a request's first event, by which requests are routed.
//!
//! An engine reads prompts one after the other at a fixed rate, in chunks between
//! the steps of its batch. The time to the first event is the sum of the queued
//! prefill, the request's own prefill without its cached prefix, a batch step that
//! grows with the batch, and the wait for a slot. How much slower than that a model
//! or an engine is gets measured from first events.

use std::time::Duration;

use crate::clock::Moment;

/// Weight of one first event in the moving average of its engine's slowdown.
const ENGINE_WEIGHT: f64 = 0.2;
/// Weight of one first event in the moving average of its model's slowdown.
const MODEL_WEIGHT: f64 = 0.06;
/// Bounds of each measured ratio and of their average.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.3, 6.0);
/// Time constant by which an engine's slowdown decays to 1, s.
const SLOWDOWN_DECAY_S: f64 = 15.0;
/// Minimum predicted time of a first event that counts; shorter ones say little
/// about the slowdown.
const MIN_PREDICTED: Duration = Duration::from_millis(15);

/// Cost of an engine in another failure domain; among equal engines the one in the
/// same domain wins.
const REMOTE_DOMAIN_COST: Duration = Duration::from_millis(1);
/// Cost of each running request: a larger batch has slower steps.
const COST_PER_RUNNING: Duration = Duration::from_micros(400);
/// Cost of each recent failure: the average time that a request loses there.
const COST_PER_FAILURE: Duration = Duration::from_millis(300);

/// An engine that can run the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineCandidate {
    /// Requests in progress.
    pub running: u32,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Requests that wait for a slot and that it goes before.
    pub passed: u32,
    /// Prefill time of the queued prompts.
    pub backlog: Duration,
    /// Prefill time of this request, with the batch steps until its first event.
    pub prefill: Duration,
    /// Time that one request occupies a slot.
    pub slot_time: Duration,
    /// Whether it is in the failure domain of this daemon.
    pub same_domain: bool,
    /// Recent failures; decays over time.
    pub failures: f64,
    /// Breaks ties, so that daemons spread requests differently.
    pub tie_break: u64,
}

impl EngineCandidate {
    /// Returns the predicted time to the first event.
    pub fn first_event(&self) -> Duration {
        let mut wait = self.backlog + self.prefill + COST_PER_RUNNING * self.running;
        if let Some(ahead) = self.running.checked_sub(self.slots) {
            let ahead = ahead.saturating_sub(self.passed);
            let rounds = f64::from(ahead + 1) / f64::from(self.slots.max(1));
            wait += self.slot_time.mul_f64(rounds);
        }
        wait
    }

    /// Returns the cost of sending the request there: the predicted time and the
    /// expected loss from failures.
    fn cost(&self) -> Duration {
        let mut cost = self.first_event() + COST_PER_FAILURE.mul_f64(self.failures);
        if !self.same_domain {
            cost += REMOTE_DOMAIN_COST;
        }
        cost
    }
}

/// Returns the index of the best candidate; `None` when there is none.
pub fn best_candidate(candidates: &[EngineCandidate]) -> Option<usize> {
    let key = |c: &EngineCandidate| (c.cost(), c.tie_break);
    (0..candidates.len()).min_by_key(|i| key(&candidates[*i]))
}

/// How much slower than usual a model is: the decaying geometric mean of the ratio
/// of measured to predicted times of first events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelSlowdown(f64);

impl Default for ModelSlowdown {
    fn default() -> Self {
        ModelSlowdown(1.0)
    }
}

impl ModelSlowdown {
    /// Returns the ratio of the current time to the usual one.
    pub fn factor(&self) -> f64 {
        self.0
    }

    /// Records the measured time to a first event and the time that was predicted with
    /// this slowdown.
    pub fn record(&mut self, predicted: Duration, measured: Duration) {
        self.update_average(predicted, measured, MODEL_WEIGHT);
    }

    fn update_average(&mut self, predicted: Duration, measured: Duration, weight: f64) {
        if predicted < MIN_PREDICTED {
            return;
        }
        let ratio = measured.as_secs_f64() / predicted.as_secs_f64();
        let ratio = ratio.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.0 = (self.0 * ratio.powf(weight)).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
    }
}

/// How much slower than others an engine is; decays over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineSlowdown {
    slowdown: ModelSlowdown,
    updated_at: Moment,
}

impl EngineSlowdown {
    /// Returns the ratio of the current time to the usual one.
    pub fn factor(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.slowdown.0.powf((-age / SLOWDOWN_DECAY_S).exp())
    }

    /// Records the measured time to a first event and the time that was predicted with
    /// this slowdown.
    pub fn record(&mut self, predicted: Duration, measured: Duration, now: Moment) {
        self.slowdown = ModelSlowdown(self.factor(now));
        self.updated_at = now;
        self.slowdown
            .update_average(predicted, measured, ENGINE_WEIGHT);
    }
}
