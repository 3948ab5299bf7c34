//! How much work each model is asked for: exponentially decaying sums.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::call::Prompt;
use super::routing::{self, Pace};
use super::settings::Engines;
use crate::clock::Moment;

/// Time constant of the request rate; rare models show at all.
const RATE_S: f64 = 12.0;
/// Time constant of the work; a burst shows within seconds.
const WORK_S: f64 = 2.5;
/// Rate below which a model counts as idle, requests a second.
const IDLE: f64 = 0.001;

/// Engine time of one token of an answer in a well-filled batch.
const PER_TOKEN: Duration = Duration::from_micros(100);

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second.
    pub rate: f64,
    /// Those of them whose objective leaves no time for a load.
    pub tight: f64,
    /// Engine time that they ask for, seconds a second.
    pub work: f64,
}

impl std::ops::AddAssign for Demand {
    fn add_assign(&mut self, other: Demand) {
        self.rate += other.rate;
        self.tight += other.tight;
        self.work += other.work;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    demand: Demand,
    at: Moment,
}

impl Sum {
    fn decayed(&self, now: Moment) -> Demand {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let fade = (-age / RATE_S).exp();
        Demand {
            rate: self.demand.rate * fade,
            tight: self.demand.tight * fade,
            work: self.demand.work * (-age / WORK_S).exp(),
        }
    }
}

/// A model of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Which {
    /// Service.
    pub service: Arc<str>,
    /// Model.
    pub model: Arc<str>,
}

impl Which {
    /// The model of this name at a service.
    pub fn new(service: &Arc<str>, model: &Arc<str>) -> Self {
        Which {
            service: service.clone(),
            model: model.clone(),
        }
    }
}

/// Demand at this daemon by model.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    sums: HashMap<Which, Sum>,
    paces: HashMap<Which, Pace>,
}

impl Meter {
    /// Notes a first event that was predicted after `predicted`.
    pub fn observe(&mut self, which: Which, predicted: Duration, seen: Duration) {
        self.paces.entry(which).or_default().note(predicted, seen);
    }

    /// How much slower a model is than the settings say.
    pub fn pace(&self, which: &Which) -> f64 {
        self.paces.get(which).copied().unwrap_or_default().factor()
    }

    /// Notes a prompt, with the engine time that it asks for at the pace of its
    /// model.
    pub fn note_prompt(
        &mut self,
        which: Which,
        prompt: &Prompt,
        engines: &Engines,
        tight: bool,
        now: Moment,
    ) {
        let own = prompt.parts.last().map_or(prompt.input, |p| p.tokens);
        let work = routing::reading(own, engines) + PER_TOKEN * prompt.output;
        self.note(which.clone(), work.mul_f64(self.pace(&which)), tight, now);
    }

    /// Notes a request that asks for `work` of an engine's time; it is `tight`
    /// when its objective leaves no time for a load.
    pub fn note(&mut self, which: Which, work: Duration, tight: bool, now: Moment) {
        let sum = self.sums.entry(which).or_default();
        let mut demand = sum.decayed(now);
        demand.rate += 1.0 / RATE_S;
        if tight {
            demand.tight += 1.0 / RATE_S;
        }
        demand.work += work.as_secs_f64() / WORK_S;
        *sum = Sum { demand, at: now };
    }

    /// Demand now; idle models are forgotten.
    pub fn now(&mut self, now: Moment) -> Vec<(Which, Demand)> {
        self.sums.retain(|_, sum| sum.decayed(now).rate > IDLE);
        let current = |(which, sum): (&Which, &Sum)| (which.clone(), sum.decayed(now));
        self.sums.iter().map(current).collect()
    }
}
