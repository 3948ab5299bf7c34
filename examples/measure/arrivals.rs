//! Open-loop arrivals from a seed.

use std::time::Duration;

use mastichinge::config::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::firm::{DAEMONS, FirmPlan, INTERVAL, TOKENS};
use super::scenario::{OPENING, Scenario};

/// A request to come.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Duration,
    /// Host that is asked.
    pub host: usize,
    /// Model as the firm knows it.
    pub model: Name,
    /// Deadline after arrival.
    pub deadline: Duration,
}

/// Background requests a second.
const BACKGROUND: f64 = 3.0;
/// Exponent of the popularity of models by rank.
const TAIL: f64 = 1.1;
/// Models that wake in an opening, of each pool.
const OPENED: usize = 8;
/// First requests for each of them at each host.
const FIRST: u32 = 2;
/// Time in which they arrive.
const BURST_S: f64 = 0.3;
/// Requests a second for each of them afterwards.
const FOLLOWING: f64 = 1.0;
/// Time for which they follow.
const FOLLOWING_S: f64 = 4.0;
/// Models of each pool that take the load in an overload.
const HOT: usize = 6;
/// Requests as a multiple of what all slots serve.
const OVERLOAD: f64 = 2.0;
/// Deadline before scaling, seconds.
const DEADLINE_S: f64 = 80.0;
/// Deadline in an overload.
const SHORT: Duration = Duration::from_secs(3);

/// Arrivals of a scenario in order of time.
pub fn plan(scenario: Scenario, plan: &FirmPlan, seed: u64) -> Vec<Arrival> {
    let mut source = Source {
        rng: ChaCha8Rng::seed_from_u64(seed),
        all: Vec::new(),
        deadline: Duration::from_secs_f64(DEADLINE_S * plan.scale),
    };
    match scenario {
        Scenario::Overload => source.overload(plan, scenario.length()),
        Scenario::Quiet | Scenario::Warm => source.background(plan, &[], scenario.length()),
        _ => source.opening(plan, scenario.length()),
    }
    source.all.sort_by_key(|a| a.at);
    source.all
}

struct Source {
    rng: ChaCha8Rng,
    all: Vec<Arrival>,
    deadline: Duration,
}

impl Source {
    fn host(&mut self) -> usize {
        self.rng.random_range(0..usize::from(DAEMONS))
    }

    /// Next gap of a Poisson process, seconds.
    fn gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln() / rate
    }

    fn add(&mut self, at: f64, host: usize, model: &Name) {
        self.all.push(Arrival {
            at: Duration::from_secs_f64(at),
            host,
            model: model.clone(),
            deadline: self.deadline,
        });
    }

    fn shuffle(&mut self, names: &mut [Name]) {
        for i in (1..names.len()).rev() {
            let j = self.rng.random_range(0..=i);
            names.swap(i, j);
        }
    }

    /// Rare arrivals of all models but `without`, popular ones first.
    fn background(&mut self, plan: &FirmPlan, without: &[Name], length: Duration) {
        let mut names: Vec<Name> = Vec::new();
        for (name, model) in &plan.models {
            let weights = model.base.as_ref().unwrap_or(name);
            if !without.contains(weights) {
                names.push(name.clone());
            }
        }
        self.shuffle(&mut names);
        let mut sums = Vec::new();
        let mut sum = 0.0;
        for rank in 1..=names.len() {
            sum += (rank as f64).powf(-TAIL);
            sums.push(sum);
        }
        let mut at = self.gap(BACKGROUND);
        while at < length.as_secs_f64() {
            let pick = self.rng.random::<f64>() * sum;
            let rank = sums.partition_point(|s| *s < pick).min(names.len() - 1);
            let host = self.host();
            self.add(at, host, &names[rank]);
            at += self.gap(BACKGROUND);
        }
    }

    /// Base models of a pool in random order.
    fn bases(&mut self, plan: &FirmPlan, pool: &Name) -> Vec<Name> {
        let mut names = Vec::new();
        for (name, model) in &plan.models {
            if model.pool == *pool && model.base.is_none() {
                names.push(name.clone());
            }
        }
        self.shuffle(&mut names);
        names
    }

    fn opening(&mut self, plan: &FirmPlan, length: Duration) {
        let mut opened = Vec::new();
        for pool in plan.pools() {
            let names = self.bases(plan, &pool);
            opened.extend(names.into_iter().take(OPENED));
        }
        self.background(plan, &opened, length);
        let start = OPENING.as_secs_f64();
        for model in &opened {
            for host in 0..usize::from(DAEMONS) {
                for _ in 0..FIRST {
                    let at = start + self.rng.random::<f64>() * BURST_S;
                    self.add(at, host, model);
                }
            }
            let mut at = start + BURST_S + self.gap(FOLLOWING);
            while at < start + FOLLOWING_S {
                let host = self.host();
                self.add(at, host, model);
                at += self.gap(FOLLOWING);
            }
        }
    }

    /// A little load to wake the models, then twice what the slots serve.
    fn overload(&mut self, plan: &FirmPlan, length: Duration) {
        let service = (INTERVAL * TOKENS as u32).as_secs_f64();
        for pool in plan.pools() {
            let mut hot = self.bases(plan, &pool);
            hot.truncate(HOT);
            let engines = plan.config.engines.values().filter(|e| e.pool == pool);
            let slots: u32 = engines.map(|e| e.slots).sum();
            let rate = OVERLOAD * f64::from(slots) / service;
            let start = OPENING.as_secs_f64();
            let mut at = self.gap(HOT as f64);
            while at < length.as_secs_f64() {
                let pick = self.rng.random_range(0..hot.len());
                let host = self.host();
                self.deadline = if at < start { self.deadline } else { SHORT };
                self.add(at, host, &hot[pick]);
                at += self.gap(if at < start { HOT as f64 } else { rate });
            }
        }
    }
}
