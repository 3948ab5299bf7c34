//! One model's arrivals against the decision on sleep.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::config::Policy;
use mastichinge::decide::history::ArrivalHistory;
use mastichinge::decide::sleep::{ModelFacts, UnloadDecision, decide_unload, preload_reason};

/// Load time of the model.
const LOAD: Duration = Duration::from_secs(10);
/// Time of one request.
const SERVICE: Duration = Duration::from_secs(2);
/// Accelerators that the model keeps busy while loaded.
const ACCELERATORS: f64 = 0.5;
/// Pause between questions whether to load ahead.
const PAUSE: Duration = Duration::from_secs(30);

/// What a policy led to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Requests.
    pub requests: u32,
    /// Requests that found the model asleep.
    pub cold: u32,
    /// Idle accelerator seconds.
    pub idle: f64,
    /// Weighted cost.
    pub cost: f64,
    /// Least weighted cost, with the arrivals known.
    pub least: f64,
}

impl Outcome {
    /// Adds the outcome of another model.
    pub fn add(&mut self, other: &Outcome) {
        self.requests += other.requests;
        self.cold += other.cold;
        self.idle += other.idle;
        self.cost += other.cost;
        self.least += other.least;
    }
}

/// Runs one model's arrivals.
pub fn run(arrivals: &[Moment], policy: &Policy) -> Outcome {
    let mut out = Outcome::default();
    let mut history = ArrivalHistory::default();
    let wake = policy.tail_weight * LOAD.as_secs_f64();
    let rate = policy.idle_weight * ACCELERATORS / 3_600.0;
    let mut last: Option<Moment> = None;
    for at in arrivals {
        out.requests += 1;
        let idle = last.map(|end| gap(&history, policy, end, *at));
        let cold = idle.is_none_or(|i| !i.ready);
        let spent = idle.map_or(Duration::ZERO, |i| i.idle).as_secs_f64();
        let whole = last.map_or(Duration::MAX, |end| at.saturating_sub(end));
        out.cold += u32::from(cold);
        out.idle += spent * ACCELERATORS;
        out.cost += spent * rate + if cold { wake } else { 0.0 };
        out.least += wake.min(whole.as_secs_f64() * rate);
        history.record_arrival(*at);
        let ready = if cold { *at + LOAD } else { *at };
        last = Some(last.unwrap_or_default().max(ready + SERVICE));
    }
    out
}

/// State of the model at the next arrival.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// Loaded at the arrival.
    ready: bool,
    /// Idle time since the last one.
    idle: Duration,
}

/// Lets the policy decide from `end`, the end of the last work, to `next`.
fn gap(history: &ArrivalHistory, policy: &Policy, end: Moment, next: Moment) -> Gap {
    let mut idle = Duration::ZERO;
    let mut now = end;
    loop {
        let stop = asleep(history, policy, now, next);
        idle += stop.saturating_sub(now);
        if stop >= next {
            return Gap { ready: true, idle };
        }
        let Some(woken) = woken(history, policy, stop, next) else {
            return Gap { ready: false, idle };
        };
        now = woken;
    }
}

/// Moment of the unload of a model that is idle since `since`; at most `next`.
fn asleep(history: &ArrivalHistory, policy: &Policy, since: Moment, next: Moment) -> Moment {
    let facts = ModelFacts {
        idle_since: since,
        ..facts()
    };
    let mut now = since;
    while now < next {
        match decide_unload(history, &facts, policy, now) {
            UnloadDecision::Keep { until } => now = until,
            UnloadDecision::Unload => return now,
        }
    }
    next
}

/// Moment at which the model is loaded ahead of `next`, if it is.
fn woken(history: &ArrivalHistory, policy: &Policy, from: Moment, next: Moment) -> Option<Moment> {
    let facts = facts();
    let mut now = from;
    while now + LOAD < next {
        if preload_reason(history, &[], &facts, policy, now, 0).is_some() {
            return Some(now + LOAD);
        }
        now += PAUSE;
    }
    None
}

fn facts() -> ModelFacts {
    ModelFacts {
        accelerators: ACCELERATORS,
        load_time: LOAD,
        ..ModelFacts::default()
    }
}
