//! Choice of the engine on which a model is loaded.
//!
//! The engine with the lowest cost is chosen, in weighted seconds of cold start:
//!
//! ```text
//! cost = worth * tail_weight * load time from the engine's cache tier
//!      + cost of the evictions that free enough memory
//!      + SHARED_DOMAIN_PENALTY * worth * tail_weight * remote load time
//!            for each replica in the same failure domain
//!      + BUSY_PENALTY * worth * tail_weight * remote load time * utilization
//!      + UNPINNED_PENALTY_S * worth * tail_weight if there is no pin
//!      + FREE_MEMORY_COST_PER_MB * free memory
//! ```
//!
//! An eviction costs the expected cost of loading the evicted model again (see
//! [`super::sleep::reload_cost`]): the probability of an arrival within the
//! horizon, times its load time, tail weight and worth.

use std::time::Duration;

use super::eviction::{choose_evictions, eviction_cost, must_load_base, required_memory};
pub use super::placement_types::{
    BaseState, EvictionCandidate, ModelIndex, PlacementOptions, PlacementPlan, PlacementRequest,
    PlacementTarget, TierLoadRatios, Weights,
};
use crate::config::Strategy;

/// Cost of a replica in the same failure domain, in remote load times.
pub const SHARED_DOMAIN_PENALTY: f64 = 0.2;
/// Cost of an engine with all slots in use, in remote load times.
pub const BUSY_PENALTY: f64 = 0.1;
/// Time of the write that adds a pin, seconds.
pub const UNPINNED_PENALTY_S: f64 = 0.05;
/// Cost of each MB of free memory, which selects the best fit among equal engines.
pub const FREE_MEMORY_COST_PER_MB: f64 = 1e-9;

/// Chooses an engine for `request`, or returns `None` if no target can hold it.
///
/// `replicas_by_domain` counts the existing replicas of the model by failure domain.
pub fn place_model(
    request: &PlacementRequest,
    targets: &[PlacementTarget],
    replicas_by_domain: &[u32],
    options: &PlacementOptions,
) -> Option<PlacementPlan> {
    let engine = match options.strategy {
        Strategy::FirstFit => first_fit(request, targets, 0, options),
        Strategy::Solo => first_fit(request, targets, options.first_engine, options),
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

/// Baseline strategy: chooses the first engine from `start` on with enough free
/// memory, else the first one where evictions free enough.
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
        if target.free_memory >= required_memory(request, target) {
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
        let cost = weight * placement_seconds(request, target, replicas_by_domain, options)
            + FREE_MEMORY_COST_PER_MB * target.free_memory as f64;
        if cost >= lowest_cost {
            continue;
        }
        let Some(evictions) = eviction_cost(request, target, lowest_cost - cost) else {
            continue;
        };
        if cost + evictions < lowest_cost {
            lowest_cost = cost + evictions;
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

/// Returns the cost of the target without evictions, in seconds of cold start.
fn placement_seconds(
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
        .tier_ratios
        .load_time(request.weights.load_time, target.tier);
    match (request.base, target.base) {
        (Some(base), BaseState::Pinned(tier)) => {
            own + options.tier_ratios.load_time(base.load_time, tier)
        }
        _ => own,
    }
}
