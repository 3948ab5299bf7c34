//! Replays the arrivals of one model through the unload and preload decisions.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::config::Policy;
use mastichinge::decide::history::ArrivalHistory;
use mastichinge::decide::sleep::{ModelFacts, UnloadDecision, decide_unload, preload_reason};

/// Load time of the model.
const LOAD_TIME: Duration = Duration::from_secs(10);
/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_secs(2);
/// Accelerators that the model occupies while loaded.
const ACCELERATORS: f64 = 0.5;
/// Interval between preload decisions.
const PRELOAD_PERIOD: Duration = Duration::from_secs(30);

/// Requests, cold starts and costs under a policy.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayResult {
    /// Number of requests.
    pub requests: u32,
    /// Requests that arrived while the model was not loaded.
    pub cold_starts: u32,
    /// Idle time, accelerator seconds.
    pub idle_seconds: f64,
    /// Weighted cost of idle time and cold starts.
    pub cost: f64,
    /// Minimum weighted cost if all arrivals were known in advance.
    pub optimal_cost: f64,
}

impl ReplayResult {
    /// Adds the result of another model.
    pub fn add(&mut self, other: &ReplayResult) {
        self.requests += other.requests;
        self.cold_starts += other.cold_starts;
        self.idle_seconds += other.idle_seconds;
        self.cost += other.cost;
        self.optimal_cost += other.optimal_cost;
    }
}

/// Replays one model's arrivals.
pub fn replay_arrivals(arrivals: &[Moment], policy: &Policy) -> ReplayResult {
    let mut result = ReplayResult::default();
    let mut history = ArrivalHistory::default();
    let cold_start_cost = policy.tail_weight * LOAD_TIME.as_secs_f64();
    // Cost per second of idle time; the weight is per accelerator hour.
    let idle_cost_rate = policy.idle_weight * ACCELERATORS / 3_600.0;
    let mut last_end: Option<Moment> = None;
    for at in arrivals {
        result.requests += 1;
        let idle_gap = last_end.map(|end| replay_gap(&history, policy, end, *at));
        let cold = idle_gap.is_none_or(|g| !g.ready);
        let idle_s = idle_gap.map_or(Duration::ZERO, |g| g.idle).as_secs_f64();
        let gap = last_end.map_or(Duration::MAX, |end| at.saturating_sub(end));
        result.cold_starts += u32::from(cold);
        result.idle_seconds += idle_s * ACCELERATORS;
        result.cost += idle_s * idle_cost_rate + if cold { cold_start_cost } else { 0.0 };
        result.optimal_cost += cold_start_cost.min(gap.as_secs_f64() * idle_cost_rate);
        history.record_arrival(*at);
        let ready = if cold { *at + LOAD_TIME } else { *at };
        last_end = Some(last_end.unwrap_or_default().max(ready + SERVICE_TIME));
    }
    result
}

/// State of the model at the next arrival.
#[derive(Clone, Copy, Debug)]
struct IdleGap {
    /// Whether the model is loaded at the arrival.
    ready: bool,
    /// Idle time since the last request ended.
    idle: Duration,
}

/// Applies the policy between `end`, the end of the last request, and the
/// arrival at `next`.
fn replay_gap(history: &ArrivalHistory, policy: &Policy, end: Moment, next: Moment) -> IdleGap {
    let mut idle = Duration::ZERO;
    let mut now = end;
    loop {
        let unloaded = unload_time(history, policy, now, next);
        idle += unloaded.saturating_sub(now);
        if unloaded >= next {
            return IdleGap { ready: true, idle };
        }
        let Some(loaded) = preload_time(history, policy, unloaded, next) else {
            return IdleGap { ready: false, idle };
        };
        now = loaded;
    }
}

/// Returns when a model idle since `since` is unloaded; at most `next`.
fn unload_time(history: &ArrivalHistory, policy: &Policy, since: Moment, next: Moment) -> Moment {
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

/// Returns when a preload ahead of `next` completes; `None` if there is none.
fn preload_time(
    history: &ArrivalHistory,
    policy: &Policy,
    from: Moment,
    next: Moment,
) -> Option<Moment> {
    let facts = facts();
    let mut now = from;
    while now + LOAD_TIME < next {
        // No load windows are configured, so the Unix time is not used.
        if preload_reason(history, &[], &facts, policy, now, 0).is_some() {
            return Some(now + LOAD_TIME);
        }
        now += PRELOAD_PERIOD;
    }
    None
}

fn facts() -> ModelFacts {
    ModelFacts {
        accelerators: ACCELERATORS,
        load_time: LOAD_TIME,
        ..ModelFacts::default()
    }
}
