//! The model of an engine that requests are routed by.
//!
//! An engine reads prompts one after the other at a fixed rate, in pieces
//! between the steps of its batch. The time to a request's first event is thus
//! the prompt work ahead, the request's own prompt work after what the engine
//! keeps, a step that grows with the batch, and the wait for a place in it.
//! How much slower than that a model or an engine is shows in first events.

use std::time::Duration;

use crate::clock::Moment;

/// Weight of one first event in the pace of its engine.
const ENGINE_WEIGHT: f64 = 0.2;
/// Weight of one first event in the pace of its model.
const MODEL_WEIGHT: f64 = 0.06;
/// Bounds of one observation, and of a pace.
const PACE_BOUNDS: (f64, f64) = (0.3, 6.0);
/// Time constant by which an engine is taken to have its usual pace again.
const PACE_DECAY_S: f64 = 15.0;
/// Predicted time under which a first event says little about the pace.
const MIN_PREDICTED: Duration = Duration::from_millis(15);

/// Added to engines in another failure domain, so that equals stay near.
const REMOTE_DOMAIN_COST: Duration = Duration::from_millis(1);
/// Added for each running request: a fuller batch makes slower steps.
const COST_PER_RUNNING: Duration = Duration::from_micros(400);
/// Added for each failure lately: what a request loses there on average.
const COST_PER_FAILURE: Duration = Duration::from_millis(300);

/// An engine that could run the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests in progress there.
    pub running: u32,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Prompt work ahead.
    pub backlog: Duration,
    /// Prompt work of this request there.
    pub prefill: Duration,
    /// Time that one request holds a slot.
    pub slot_time: Duration,
    /// In the failure domain of this daemon.
    pub same_domain: bool,
    /// Failures lately.
    pub failures: f64,
    /// Breaks ties, so that daemons spread differently.
    pub tie_break: u64,
}

impl Candidate {
    /// Predicted time to the first event.
    pub fn first_event(&self) -> Duration {
        let mut wait = self.backlog + self.prefill + COST_PER_RUNNING * self.running;
        if let Some(ahead) = self.running.checked_sub(self.slots) {
            let turns = f64::from(ahead + 1) / f64::from(self.slots.max(1));
            wait += self.slot_time.mul_f64(turns);
        }
        wait
    }

    /// What sending it there costs: the predicted time, and what is to be
    /// feared from its failures.
    fn cost(&self) -> Duration {
        let mut cost = self.first_event() + COST_PER_FAILURE.mul_f64(self.failures);
        if !self.same_domain {
            cost += REMOTE_DOMAIN_COST;
        }
        cost
    }
}

/// Index of the best candidate; `None` where there is none.
pub fn choose(candidates: &[Candidate]) -> Option<usize> {
    let key = |c: &Candidate| (c.cost(), c.tie_break);
    (0..candidates.len()).min_by_key(|i| key(&candidates[*i]))
}

/// How much slower than usual a model is: the geometric mean, fading, of what
/// first events took over what was predicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace(f64);

impl Default for Pace {
    fn default() -> Self {
        Pace(1.0)
    }
}

impl Pace {
    /// Time over the usual one.
    pub fn factor(&self) -> f64 {
        self.0
    }

    /// Notes a first event that was predicted, with this pace, after
    /// `predicted`.
    pub fn note(&mut self, predicted: Duration, seen: Duration) {
        self.weigh(predicted, seen, MODEL_WEIGHT);
    }

    fn weigh(&mut self, predicted: Duration, seen: Duration, weight: f64) {
        if predicted < MIN_PREDICTED {
            return;
        }
        let ratio = seen.as_secs_f64() / predicted.as_secs_f64();
        let ratio = ratio.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.0 = (self.0 * ratio.powf(weight)).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
    }
}

/// How much slower than others an engine is; it fades.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EnginePace {
    pace: Pace,
    at: Moment,
}

impl EnginePace {
    /// Time over the usual one.
    pub fn factor(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.pace.0.powf((-age / PACE_DECAY_S).exp())
    }

    /// Notes a first event that was predicted, with this pace, after
    /// `predicted`.
    pub fn note(&mut self, predicted: Duration, seen: Duration, now: Moment) {
        self.pace = Pace(self.factor(now));
        self.at = now;
        self.pace.weigh(predicted, seen, ENGINE_WEIGHT);
    }
}
