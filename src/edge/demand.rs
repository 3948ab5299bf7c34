//! Demand for each model, as exponentially decaying sums.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::request_headers::Prompt;
use super::routing::{self, ModelSlowdown};
use super::settings::EngineSettings;
use crate::clock::Moment;

/// Time constant of the request rate, s; long enough to register rarely used models.
const RATE_DECAY_S: f64 = 12.0;
/// Time constant of the work, s; short enough to register a burst within seconds.
const WORK_DECAY_S: f64 = 2.5;
/// Rate below which a model counts as idle, requests per second.
const IDLE_RATE_PER_S: f64 = 0.001;

/// Weight of the time in a slot against time in which the engine does nothing else: a slot
/// that is taken delays others only when few are left.
const SLOT_WEIGHT: f64 = 0.6;
/// Minimum engine time per output token, in a large batch.
const TIME_PER_OUTPUT_TOKEN: Duration = Duration::from_micros(100);

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second.
    pub rate: f64,
    /// Requests per second whose objective leaves no time for a load.
    pub tight: f64,
    /// Engine time that the requests need, seconds per second.
    pub work: f64,
}

impl std::ops::AddAssign for Demand {
    fn add_assign(&mut self, other: Demand) {
        self.rate += other.rate;
        self.tight += other.tight;
        self.work += other.work;
    }
}

/// Demand as of a moment; without further requests it decays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingDemand {
    /// Demand at that moment.
    pub demand: Demand,
    /// The moment.
    pub updated_at: Moment,
}

impl DecayingDemand {
    /// Returns what is left of it.
    pub fn decayed(&self, now: Moment) -> Demand {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-age / RATE_DECAY_S).exp();
        Demand {
            rate: self.demand.rate * decay,
            tight: self.demand.tight * decay,
            work: self.demand.work * (-age / WORK_DECAY_S).exp(),
        }
    }
}

/// A model of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelKey {
    /// Service.
    pub service: Arc<str>,
    /// Model.
    pub model: Arc<str>,
}

impl ModelKey {
    /// Creates the key of a model of a service.
    pub fn new(service: &Arc<str>, model: &Arc<str>) -> Self {
        ModelKey {
            service: service.clone(),
            model: model.clone(),
        }
    }
}

/// Measures demand and slowdown of each model at this daemon.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    sums: HashMap<ModelKey, DecayingDemand>,
    slowdowns: HashMap<ModelKey, ModelSlowdown>,
}

impl DemandMeter {
    /// Records the predicted and the measured time to a first event.
    pub fn record_first_event(&mut self, key: ModelKey, predicted: Duration, measured: Duration) {
        self.slowdowns
            .entry(key)
            .or_default()
            .record(predicted, measured);
    }

    /// Returns how much slower a model is than the settings say.
    pub fn slowdown(&self, key: &ModelKey) -> f64 {
        self.slowdowns
            .get(key)
            .copied()
            .unwrap_or_default()
            .factor()
    }

    /// Records a prompt with the engine time that it needs, which grows with the
    /// slowdown of its model. An output token takes a step of one of the engine's `slots`
    /// (0 when unknown), or its part of a large batch.
    pub fn record_prompt(
        &mut self,
        key: ModelKey,
        prompt: &Prompt,
        engines: &EngineSettings,
        slots: u32,
        tight: bool,
        now: Moment,
    ) {
        let own = prompt.own_tokens();
        let step = Duration::from_secs_f64(engines.step_ms / 1_000.0);
        let slot_time = step.checked_div(slots).unwrap_or_default();
        let token_time = TIME_PER_OUTPUT_TOKEN.max(slot_time.mul_f64(SLOT_WEIGHT));
        let work = routing::prefill_time(own, engines) + token_time * prompt.output_tokens;
        self.record_request(key.clone(), work.mul_f64(self.slowdown(&key)), tight, now);
    }

    /// Records further engine time that a request needs: its engine has to read shared parts
    /// of the prompt, too.
    pub fn add_work(&mut self, key: ModelKey, work: Duration, now: Moment) {
        let sum = self.sums.entry(key).or_default();
        let mut demand = sum.decayed(now);
        demand.work += work.as_secs_f64() / WORK_DECAY_S;
        *sum = DecayingDemand {
            demand,
            updated_at: now,
        };
    }

    /// Records a request that needs `work` of engine time; it is `tight` when its
    /// objective leaves no time for a load.
    pub fn record_request(&mut self, key: ModelKey, work: Duration, tight: bool, now: Moment) {
        let sum = self.sums.entry(key).or_default();
        let mut demand = sum.decayed(now);
        demand.rate += 1.0 / RATE_DECAY_S;
        if tight {
            demand.tight += 1.0 / RATE_DECAY_S;
        }
        demand.work += work.as_secs_f64() / WORK_DECAY_S;
        *sum = DecayingDemand {
            demand,
            updated_at: now,
        };
    }

    /// Returns the current demand for the models requested since `since`.
    pub fn demand_since(&self, since: Moment, now: Moment) -> Vec<(ModelKey, Demand)> {
        let recent = self.sums.iter().filter(|(_, sum)| sum.updated_at >= since);
        recent
            .map(|(key, sum)| (key.clone(), sum.decayed(now)))
            .collect()
    }

    /// Returns the current demand, and removes idle models.
    pub fn current_demand(&mut self, now: Moment) -> Vec<(ModelKey, Demand)> {
        self.sums
            .retain(|_, sum| sum.decayed(now).rate > IDLE_RATE_PER_S);
        let current = |(key, sum): (&ModelKey, &DecayingDemand)| (key.clone(), sum.decayed(now));
        self.sums.iter().map(current).collect()
    }
}
