//! When to unload an idle model and when to preload it before a request.
//!
//! Each model keeps a histogram of the gaps between its arrivals (see
//! [`super::history`]). Let `a` be the current idle time, `G` the next gap, `i`
//! the cost of one idle second, and `w` the cost of a cold start. The model is
//! kept until the idle time `T >= a` that minimizes
//!
//! ```text
//! i * E[min(G, T) - a | G > a] + w * P(G > T | G > a)
//! ```
//!
//! and is unloaded when that is `a` itself. Without any recorded gap the model is
//! kept for the break-even time `w / i`, which costs at most twice the optimum
//! (Karlin, Manasse, McGeoch and Owicki, "Competitive randomized algorithms for
//! nonuniform problems", Algorithmica 1994).

use std::time::Duration;

pub use super::history::ArrivalHistory;
use super::history::{BUCKET_COUNT, upper_edge};
use crate::clock::Moment;
use crate::config::{Policy, Strategy, Window};

/// Minimum idle time before an unload, so that a pause within a burst causes none.
pub const MIN_KEEP: Duration = Duration::from_secs(1);
/// Maximum time until a decision to keep a model is reconsidered.
pub const MAX_KEEP_STEP: Duration = Duration::from_secs(300);
/// Horizon within which the next arrival of an eviction candidate counts, in
/// load times of that model.
pub const RELOAD_HORIZON_LOADS: u32 = 60;
/// Share of the cold-start cost that a preload must be expected to save.
pub const MIN_PRELOAD_SAVING: f64 = 0.25;
/// Recorded gaps that are required before a model is preloaded by its pattern.
pub const MIN_PRELOAD_GAPS: f32 = 8.0;
/// Time before a declared window, beyond the load time, at which preloading starts.
pub const WINDOW_MARGIN: Duration = Duration::from_secs(5);

/// Inputs of the decisions about one model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelFacts {
    /// It has requests in progress or waiting.
    pub busy: bool,
    /// It must not be unloaded: one of its adapters is loaded on the engine, or it
    /// is to be kept warm.
    pub must_keep: bool,
    /// Time since which it has been loaded and idle.
    pub idle_since: Moment,
    /// Accelerators that can neither sleep nor be used otherwise while it is loaded.
    pub accelerators: f64,
    /// Time to load it again.
    pub load_time: Duration,
    /// Value of one completion, as configured.
    pub worth: f64,
}

impl Default for ModelFacts {
    fn default() -> Self {
        ModelFacts {
            busy: false,
            must_keep: false,
            idle_since: Moment::ZERO,
            accelerators: 1.0,
            load_time: Duration::from_secs(10),
            worth: 1.0,
        }
    }
}

/// Whether to unload a loaded model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnloadDecision {
    /// Keep it, and decide again at `until` or after the next arrival.
    Keep {
        /// Time of the next decision.
        until: Moment,
    },
    /// Unload it.
    Unload,
}

/// Returns the cost of one idle second of `accelerators` accelerators.
fn idle_cost(policy: &Policy, accelerators: f64) -> f64 {
    policy.idle_weight * accelerators / 3_600.0
}

/// Returns the cost of one cold start, weighted seconds.
fn cold_start_cost(policy: &Policy, load_time: Duration, worth: f64) -> f64 {
    policy.tail_weight * load_time.as_secs_f64() * worth
}

/// Decides whether a loaded model is kept or unloaded.
pub fn decide_unload(
    history: &ArrivalHistory,
    facts: &ModelFacts,
    policy: &Policy,
    now: Moment,
) -> UnloadDecision {
    if facts.busy || facts.must_keep {
        return keep_for(MAX_KEEP_STEP, now);
    }
    let idle = now.saturating_sub(facts.idle_since);
    let keep_time = match policy.strategy {
        Strategy::Never => MAX_KEEP_STEP,
        Strategy::KeepAlive | Strategy::Solo | Strategy::FirstFit => {
            Duration::from_millis(policy.keepalive_ms).saturating_sub(idle)
        }
        Strategy::Adaptive => {
            let age = now.saturating_sub(history.last_arrival().unwrap_or(facts.idle_since));
            let best = optimal_keep(history, facts, policy, age);
            let min_keep = MIN_KEEP.saturating_sub(idle);
            best.saturating_sub(age).max(min_keep)
        }
    };
    if keep_time.is_zero() {
        return UnloadDecision::Unload;
    }
    keep_for(keep_time, now)
}

fn keep_for(keep_time: Duration, now: Moment) -> UnloadDecision {
    UnloadDecision::Keep {
        until: now + keep_time.min(MAX_KEEP_STEP),
    }
}

/// Returns the idle time until which it is cheapest to keep the model; at most
/// `age` when it is cheapest to unload it now.
fn optimal_keep(
    history: &ArrivalHistory,
    facts: &ModelFacts,
    policy: &Policy,
    age: Duration,
) -> Duration {
    let idle_cost_per_s = idle_cost(policy, facts.accelerators);
    let cold_start = cold_start_cost(policy, facts.load_time, facts.worth);
    if idle_cost_per_s <= 0.0 {
        return age + MAX_KEEP_STEP;
    }
    if history.samples() <= 0.0 {
        let break_even_s = (cold_start / idle_cost_per_s).min(upper_edge(BUCKET_COUNT));
        return Duration::from_secs_f64(break_even_s);
    }
    let mut at = age.as_secs_f64();
    let mut start = history.survival(at);
    if start <= 0.0 {
        return age;
    }
    let mut best = age;
    let mut lowest_cost = cold_start * start;
    let mut spent = 0.0;
    for (k, end) in history.bucket_survival().into_iter().enumerate() {
        let until = upper_edge(k);
        if until <= at {
            continue;
        }
        // Survival is linear within a bucket: the trapezoid is exact.
        spent += idle_cost_per_s * (until - at) * (start + end) / 2.0;
        at = until;
        start = end;
        let cost = spent + cold_start * end;
        if cost < lowest_cost {
            lowest_cost = cost;
            best = Duration::from_secs_f64(until);
        }
    }
    best
}

/// Returns the expected cost of loading a model again if it is evicted now,
/// weighted seconds: the probability of an arrival within [`RELOAD_HORIZON_LOADS`]
/// load times, multiplied by the cost of a cold start.
pub fn reload_cost(
    history: &ArrivalHistory,
    facts: &ModelFacts,
    policy: &Policy,
    now: Moment,
) -> f64 {
    let age = now.saturating_sub(history.last_arrival().unwrap_or(facts.idle_since));
    history.arrival_probability(age, facts.load_time * RELOAD_HORIZON_LOADS)
        * cold_start_cost(policy, facts.load_time, facts.worth)
}

/// Why an unloaded model is loaded before a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreloadReason {
    /// A declared window, open or opening within the load time.
    Window(Window),
    /// The pattern of its arrivals.
    Pattern,
}

/// Returns the declared window that is open at `unix_s` seconds since the Unix
/// epoch, or opens within `load_time` plus [`WINDOW_MARGIN`].
pub fn upcoming_window(windows: &[Window], load_time: Duration, unix_s: u64) -> Option<Window> {
    let lead = (load_time + WINDOW_MARGIN).as_secs_f64().ceil() as u64;
    for w in windows {
        if w.from <= unix_s + lead && unix_s < w.until {
            return Some(*w);
        }
    }
    None
}

/// Returns why an unloaded model should be loaded now, or `None` if it should not.
///
/// The pattern counts only under [`Strategy::Adaptive`], after [`MIN_PRELOAD_GAPS`]
/// gaps, and where loading saves more than the share [`MIN_PRELOAD_SAVING`] of the
/// cost of a cold start.
pub fn preload_reason(
    history: &ArrivalHistory,
    windows: &[Window],
    facts: &ModelFacts,
    policy: &Policy,
    now: Moment,
    unix_s: u64,
) -> Option<PreloadReason> {
    if let Some(w) = upcoming_window(windows, facts.load_time, unix_s) {
        return Some(PreloadReason::Window(w));
    }
    if policy.strategy != Strategy::Adaptive || history.samples() < MIN_PRELOAD_GAPS {
        return None;
    }
    // Idle time at which a load that starts now has finished.
    let age = now.saturating_sub(history.last_arrival()?) + facts.load_time;
    let cold_start = cold_start_cost(policy, facts.load_time, facts.worth);
    let best = optimal_keep(history, facts, policy, age);
    let span = best.checked_sub(age).filter(|s| !s.is_zero())?;
    let chance = history.arrival_probability(age, span);
    let spent = idle_cost(policy, facts.accelerators) * span.as_secs_f64();
    (chance * cold_start - spent > MIN_PRELOAD_SAVING * cold_start)
        .then_some(PreloadReason::Pattern)
}
