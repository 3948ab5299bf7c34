//! Open-loop arrivals generated from a seed.

use std::time::Duration;

use mastichinge::config::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::firm::{ANSWER_TOKENS, DAEMON_COUNT, FirmPlan, TOKEN_INTERVAL};
use super::scenario::{OPENING, Scenario};

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Duration,
    /// Host that receives the request.
    pub host: usize,
    /// Name of the model in the firm's sample configuration.
    pub model: Name,
    /// Deadline after arrival.
    pub deadline: Duration,
}

/// Background requests per second.
const BACKGROUND_RATE: f64 = 3.0;
/// Zipf exponent of the popularity of models by rank.
const POPULARITY_EXPONENT: f64 = 1.1;
/// Unloaded models of each pool that receive requests in an opening.
const OPENING_MODELS: usize = 8;
/// First requests for each opening model at each host.
const FIRST_REQUESTS: u32 = 2;
/// Time within which the first requests arrive, seconds.
const BURST_S: f64 = 0.3;
/// Requests per second for each opening model after the first requests.
const FOLLOWING_RATE: f64 = 1.0;
/// Time from the opening until the following requests end, seconds.
const FOLLOWING_S: f64 = 4.0;
/// Models of each pool that receive the requests of an overload.
const HOT_MODELS: usize = 6;
/// Request rate of an overload as a multiple of the capacity of all slots.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Deadline before scaling, seconds.
const DEADLINE_S: f64 = 80.0;
/// Deadline of requests during an overload.
const OVERLOAD_DEADLINE: Duration = Duration::from_secs(3);

/// Returns the arrivals of a scenario in order of time.
pub fn generate(scenario: Scenario, plan: &FirmPlan, seed: u64) -> Vec<Arrival> {
    let mut generator = ArrivalGenerator {
        rng: ChaCha8Rng::seed_from_u64(seed),
        arrivals: Vec::new(),
        deadline: Duration::from_secs_f64(DEADLINE_S * plan.scale),
    };
    match scenario {
        Scenario::Overload => generator.add_overload(plan, scenario.length()),
        Scenario::Quiet | Scenario::Warm => generator.add_background(plan, &[], scenario.length()),
        _ => generator.add_opening(plan, scenario.length()),
    }
    generator.arrivals.sort_by_key(|a| a.at);
    generator.arrivals
}

struct ArrivalGenerator {
    rng: ChaCha8Rng,
    arrivals: Vec<Arrival>,
    deadline: Duration,
}

impl ArrivalGenerator {
    fn random_host(&mut self) -> usize {
        self.rng.random_range(0..usize::from(DAEMON_COUNT))
    }

    /// Returns the next gap of a Poisson process, seconds.
    fn random_gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln() / rate
    }

    fn add(&mut self, at: f64, host: usize, model: &Name) {
        self.arrivals.push(Arrival {
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

    /// Adds rare requests for all models except `excluded`, with Zipf-distributed popularity.
    fn add_background(&mut self, plan: &FirmPlan, excluded: &[Name], length: Duration) {
        let mut names: Vec<Name> = Vec::new();
        for (name, model) in &plan.models {
            let weights = model.base.as_ref().unwrap_or(name);
            if !excluded.contains(weights) {
                names.push(name.clone());
            }
        }
        self.shuffle(&mut names);
        let mut sums = Vec::new();
        let mut sum = 0.0;
        for rank in 1..=names.len() {
            sum += (rank as f64).powf(-POPULARITY_EXPONENT);
            sums.push(sum);
        }
        let mut at = self.random_gap(BACKGROUND_RATE);
        while at < length.as_secs_f64() {
            let choice = self.rng.random::<f64>() * sum;
            let rank = sums.partition_point(|s| *s < choice).min(names.len() - 1);
            let host = self.random_host();
            self.add(at, host, &names[rank]);
            at += self.random_gap(BACKGROUND_RATE);
        }
    }

    /// Returns the base models of a pool in random order.
    fn base_models(&mut self, plan: &FirmPlan, pool: &Name) -> Vec<Name> {
        let mut names = Vec::new();
        for (name, model) in &plan.models {
            if model.pool == *pool && model.base.is_none() {
                names.push(name.clone());
            }
        }
        self.shuffle(&mut names);
        names
    }

    /// Adds first requests for unloaded models at all hosts, further requests for the same
    /// models, and background requests for the others.
    fn add_opening(&mut self, plan: &FirmPlan, length: Duration) {
        let mut opening = Vec::new();
        for pool in plan.pools() {
            let names = self.base_models(plan, &pool);
            opening.extend(names.into_iter().take(OPENING_MODELS));
        }
        self.add_background(plan, &opening, length);
        let start = OPENING.as_secs_f64();
        for model in &opening {
            for host in 0..usize::from(DAEMON_COUNT) {
                for _ in 0..FIRST_REQUESTS {
                    let at = start + self.rng.random::<f64>() * BURST_S;
                    self.add(at, host, model);
                }
            }
            let mut at = start + BURST_S + self.random_gap(FOLLOWING_RATE);
            while at < start + FOLLOWING_S {
                let host = self.random_host();
                self.add(at, host, model);
                at += self.random_gap(FOLLOWING_RATE);
            }
        }
    }

    /// Adds a low request rate that gets the models loaded, then twice the capacity of the slots.
    fn add_overload(&mut self, plan: &FirmPlan, length: Duration) {
        let service_s = (TOKEN_INTERVAL * ANSWER_TOKENS as u32).as_secs_f64();
        for pool in plan.pools() {
            let mut hot = self.base_models(plan, &pool);
            hot.truncate(HOT_MODELS);
            let engines = plan.config.engines.values().filter(|e| e.pool == pool);
            let slots: u32 = engines.map(|e| e.slots).sum();
            let rate = OVERLOAD_FACTOR * f64::from(slots) / service_s;
            let start = OPENING.as_secs_f64();
            let mut at = self.random_gap(HOT_MODELS as f64);
            while at < length.as_secs_f64() {
                let choice = self.rng.random_range(0..hot.len());
                let host = self.random_host();
                self.deadline = if at < start {
                    self.deadline
                } else {
                    OVERLOAD_DEADLINE
                };
                self.add(at, host, &hot[choice]);
                at += self.random_gap(if at < start { HOT_MODELS as f64 } else { rate });
            }
        }
    }
}
