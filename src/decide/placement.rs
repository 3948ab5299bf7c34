//! Choice of the engine that wakes a model.
//!
//! The cost of an engine is in weighted seconds of cold start; the lowest
//! wins:
//!
//! ```text
//! cost = worth * tail_weight * load time from the engine's cache tier
//!      + cost of the evictions that make room
//!      + SHARED * worth * tail_weight * remote load time
//!            for each replica in the same failure domain
//!      + BUSY * worth * tail_weight * remote load time * fill of its slots
//!      + UNPINNED * worth * tail_weight without a pin
//! ```
//!
//! An eviction costs what waking the evicted model again is expected to cost
//! (see [`super::sleep::wake_cost`]): probability of an arrival within the
//! horizon, times its load time, tail weight and worth.

use std::time::Duration;

use super::eviction::{choose_evictions, eviction_cost, must_load_base, required_memory};
pub use super::placement_types::{
    BaseState, EvictionCandidate, ModelId, PlacementOptions, PlacementPlan, PlacementRequest,
    PlacementTarget, TierLoadRatios, Weights,
};
use crate::config::Strategy;

/// Remote load times that a replica in the same failure domain weighs.
pub const SHARED_DOMAIN_PENALTY: f64 = 0.2;
/// Remote load times that an engine whose slots are all taken weighs.
pub const BUSY_PENALTY: f64 = 0.1;
/// Seconds for the table write that a new pin needs.
pub const UNPINNED_PENALTY_S: f64 = 0.05;
/// Cost of a remaining MB of free memory, so that the tightest of equals wins.
pub const FREE_MEMORY_COST_PER_MB: f64 = 1e-9;

/// Places `wanted`, or answers `None` when no room can hold it.
///
/// `taken` counts, by failure domain, the replicas that it has already.
pub fn place_model(
    request: &PlacementRequest,
    targets: &[PlacementTarget],
    replicas_by_domain: &[u32],
    options: &PlacementOptions,
) -> Option<PlacementPlan> {
    let engine = match options.strategy {
        Strategy::FirstFit => first_fit(request, targets, 0, options),
        Strategy::Solo => first_fit(request, targets, options.start, options),
        Strategy::Adaptive | Strategy::KeepAlive | Strategy::Never => {
            cheapest(request, targets, replicas_by_domain, options)
        }
    }?;
    let target = targets.get(engine)?;
    Some(PlacementPlan {
        engine,
        evict: choose_evictions(request, target)?,
        load_base: must_load_base(request, target),
        load_time: load_time(request, target, options),
    })
}

/// Baseline: the first engine with free memory, else the first where
/// evictions make room, looking from `start` on.
fn first_fit(
    request: &PlacementRequest,
    targets: &[PlacementTarget],
    start: usize,
    options: &PlacementOptions,
) -> Option<usize> {
    let mut fallback = None;
    for i in 0..targets.len() {
        let index = (start + i) % targets.len();
        let target = &targets[index];
        if !is_feasible(request, target, options) {
            continue;
        }
        if target.free >= required_memory(request, target) {
            return Some(index);
        }
        if fallback.is_none() && eviction_cost(request, target, f64::INFINITY).is_some() {
            fallback = Some(index);
        }
    }
    fallback
}

fn cheapest(
    request: &PlacementRequest,
    targets: &[PlacementTarget],
    replicas_by_domain: &[u32],
    options: &PlacementOptions,
) -> Option<usize> {
    let weight = (options.tail_weight * request.worth).max(f64::MIN_POSITIVE);
    let mut best = None;
    let mut lowest_cost = f64::INFINITY;
    for (i, target) in targets.iter().enumerate() {
        if !is_feasible(request, target, options) {
            continue;
        }
        let cost = weight * startup_seconds(request, target, replicas_by_domain, options)
            + FREE_MEMORY_COST_PER_MB * target.free as f64;
        if cost >= lowest_cost {
            continue;
        }
        let Some(evict) = eviction_cost(request, target, lowest_cost - cost) else {
            continue;
        };
        if cost + evict < lowest_cost {
            lowest_cost = cost + evict;
            best = Some(i);
        }
    }
    best
}

fn is_feasible(
    request: &PlacementRequest,
    target: &PlacementTarget,
    options: &PlacementOptions,
) -> bool {
    target.schedulable
        && !target.holds_model
        && (target.pinned || !options.pinned_only)
        && (request.base.is_none() || target.base != BaseState::Absent)
}

/// Cost of the room without evictions, seconds.
fn startup_seconds(
    request: &PlacementRequest,
    target: &PlacementTarget,
    replicas_by_domain: &[u32],
    options: &PlacementOptions,
) -> f64 {
    let shared = replicas_by_domain
        .get(usize::from(target.domain))
        .copied()
        .unwrap_or(0);
    let utilization = f64::from(target.in_flight) / f64::from(target.slots.max(1));
    let remote = request.weights.load_time.as_secs_f64();
    let unpinned = if target.pinned {
        0.0
    } else {
        UNPINNED_PENALTY_S
    };
    load_time(request, target, options).as_secs_f64()
        + remote * (SHARED_DOMAIN_PENALTY * f64::from(shared) + BUSY_PENALTY * utilization.min(1.0))
        + unpinned
}

fn load_time(
    request: &PlacementRequest,
    target: &PlacementTarget,
    options: &PlacementOptions,
) -> Duration {
    let own = options
        .tiers
        .load_time(request.weights.load_time, target.tier);
    match (request.base, target.base) {
        (Some(base), BaseState::Pinned(tier)) => {
            own + options.tiers.load_time(base.load_time, tier)
        }
        _ => own,
    }
}
