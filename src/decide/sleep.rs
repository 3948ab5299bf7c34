//! When to unload an idle model and when to load it ahead of need.
//!
//! Each model keeps a histogram of the gaps between its arrivals (see
//! [`super::history`]). Let `a` be the present idle time, `G` the next gap, `i` the cost of one idle second, and `w` the cost
//! of a wake. The model is kept until the idle time `T >= a` that minimises
//!
//! ```text
//! i * E[min(G, T) - a | G > a] + w * P(G > T | G > a)
//! ```
//!
//! and is unloaded when that is `a` itself. Without a sample the model is kept for the break-even time
//! `w / i`, which costs at most twice the optimum (Karlin, Manasse, McGeoch
//! and Owicki, "Competitive randomized algorithms for nonuniform problems",
//! Algorithmica 1994).

use std::time::Duration;

pub use super::history::History;
use super::history::{BUCKETS, edge};
use crate::clock::Moment;
use crate::config::{Policy, Strategy, Window};

/// Least idle time before an unload, so that a burst's pause is no reason.
pub const KEEP_LEAST: Duration = Duration::from_secs(1);
/// Longest time that one verdict stands.
pub const VERDICT_MOST: Duration = Duration::from_secs(300);
/// Time over which the next arrival of an eviction candidate counts, in its
/// own load times.
pub const HORIZON_LOADS: u32 = 60;
/// Share of the wake cost that loading ahead must save before it is done.
pub const AHEAD: f64 = 0.25;
/// Gaps that must have been seen before loading ahead of a pattern.
pub const AHEAD_GAPS: f32 = 8.0;
/// Time by which a declared window is met early, beyond the load time.
pub const WINDOW_MARGIN: Duration = Duration::from_secs(5);

/// What is known about a resident model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Facts {
    /// Requests in progress or waiting.
    pub busy: bool,
    /// An adapter is loaded beside it, or it must be kept warm.
    pub needed: bool,
    /// Moment since when it is loaded and idle.
    pub idle_since: Moment,
    /// Accelerators that it keeps from sleep or other use.
    pub accelerators: f64,
    /// Time to load it again.
    pub load: Duration,
    /// Worth of one completion.
    pub worth: f64,
}

impl Default for Facts {
    fn default() -> Self {
        Facts {
            busy: false,
            needed: false,
            idle_since: Moment::ZERO,
            accelerators: 1.0,
            load: Duration::from_secs(10),
            worth: 1.0,
        }
    }
}

/// What to do with a resident model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Keep it; ask again at `until` or after the next arrival.
    Keep {
        /// Moment of the next question.
        until: Moment,
    },
    /// Unload it.
    Unload,
}

/// Cost of one idle second of `accelerators` accelerators.
fn idle_cost(policy: &Policy, accelerators: f64) -> f64 {
    policy.idle_weight * accelerators / 3_600.0
}

/// Cost of one wake: seconds of cold start, weighted.
fn tail_cost(policy: &Policy, load: Duration, worth: f64) -> f64 {
    policy.tail_weight * load.as_secs_f64() * worth
}

/// Decides whether a resident model stays loaded.
pub fn verdict(history: &History, facts: &Facts, policy: &Policy, now: Moment) -> Verdict {
    if facts.busy || facts.needed {
        return keep(now, VERDICT_MOST);
    }
    let idle = now.saturating_sub(facts.idle_since);
    let left = match policy.strategy {
        Strategy::Never => VERDICT_MOST,
        Strategy::KeepAlive | Strategy::Solo | Strategy::FirstFit => {
            Duration::from_millis(policy.keepalive_ms).saturating_sub(idle)
        }
        Strategy::Adaptive => {
            let age = now.saturating_sub(history.last().unwrap_or(facts.idle_since));
            let best = best_keep(history, facts, policy, age);
            let least = KEEP_LEAST.saturating_sub(idle);
            best.saturating_sub(age).max(least)
        }
    };
    if left.is_zero() {
        return Verdict::Unload;
    }
    keep(now, left)
}

fn keep(now: Moment, left: Duration) -> Verdict {
    Verdict::Keep {
        until: now + left.min(VERDICT_MOST),
    }
}

/// Idle time until which keeping is cheapest; at most `age` when it is cheapest to
/// unload now.
fn best_keep(history: &History, facts: &Facts, policy: &Policy, age: Duration) -> Duration {
    let idle = idle_cost(policy, facts.accelerators);
    let wake = tail_cost(policy, facts.load, facts.worth);
    if idle <= 0.0 {
        return age + VERDICT_MOST;
    }
    if history.samples() <= 0.0 {
        let even = (wake / idle).min(edge(BUCKETS));
        return Duration::from_secs_f64(even);
    }
    let mut at = age.as_secs_f64();
    let mut start = history.beyond(at);
    if start <= 0.0 {
        return age;
    }
    let mut best = age;
    let mut least = wake * start;
    let mut spent = 0.0;
    for (k, end) in history.tails().into_iter().enumerate() {
        let until = edge(k);
        if until <= at {
            continue;
        }
        // Survival is linear within a bucket: the trapezoid is exact.
        spent += idle * (until - at) * (start + end) / 2.0;
        at = until;
        start = end;
        let cost = spent + wake * end;
        if cost < least {
            least = cost;
            best = Duration::from_secs_f64(until);
        }
    }
    best
}

/// Expected cost of waking a model again after an eviction now, weighted
/// seconds: probability of an arrival within [`HORIZON_LOADS`] load times,
/// multiplied by the wake cost.
pub fn wake_cost(history: &History, facts: &Facts, policy: &Policy, now: Moment) -> f64 {
    let age = now.saturating_sub(history.last().unwrap_or(facts.idle_since));
    history.chance(age, facts.load * HORIZON_LOADS) * tail_cost(policy, facts.load, facts.worth)
}

/// Why a sleeping model is loaded ahead of need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ahead {
    /// A declared window, open or opening within the load time.
    Window(Window),
    /// Its own pattern of arrivals.
    Pattern,
}

/// The declared window that is open, or opens within `load` and
/// [`WINDOW_MARGIN`], at `unix` seconds since the Unix epoch.
pub fn window(windows: &[Window], load: Duration, unix: u64) -> Option<Window> {
    let lead = (load + WINDOW_MARGIN).as_secs_f64().ceil() as u64;
    for w in windows {
        if w.from <= unix + lead && unix < w.until {
            return Some(*w);
        }
    }
    None
}

/// Whether a sleeping model should be loaded now, ahead of need.
///
/// A pattern counts only under [`Strategy::Adaptive`], after [`AHEAD_GAPS`]
/// gaps, and where loading saves at least the share [`AHEAD`] of a wake.
pub fn ahead(
    history: &History,
    windows: &[Window],
    facts: &Facts,
    policy: &Policy,
    now: Moment,
    unix: u64,
) -> Option<Ahead> {
    if let Some(w) = window(windows, facts.load, unix) {
        return Some(Ahead::Window(w));
    }
    if policy.strategy != Strategy::Adaptive || history.samples() < AHEAD_GAPS {
        return None;
    }
    let age = now.saturating_sub(history.last()?) + facts.load;
    let wake = tail_cost(policy, facts.load, facts.worth);
    let best = best_keep(history, facts, policy, age);
    let span = best.checked_sub(age).filter(|s| !s.is_zero())?;
    let chance = history.chance(age, span);
    let spent = idle_cost(policy, facts.accelerators) * span.as_secs_f64();
    (chance * wake - spent > AHEAD * wake).then_some(Ahead::Pattern)
}
