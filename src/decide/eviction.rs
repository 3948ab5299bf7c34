//! Choice of the idle replicas to evict from an engine.

use super::placement_types::{
    BaseState, EvictionCandidate, ModelIndex, PlacementRequest, PlacementTarget,
};

/// Returns whether the base model of an adapter must be loaded first.
pub fn must_load_base(request: &PlacementRequest, target: &PlacementTarget) -> bool {
    request.base.is_some() && matches!(target.base, BaseState::Pinned(_))
}

/// Returns the memory needed for all loads, MB.
pub fn required_memory(request: &PlacementRequest, target: &PlacementTarget) -> u64 {
    let base = match request.base {
        Some(base) if must_load_base(request, target) => base.memory,
        _ => 0,
    };
    request.weights.memory + base
}

/// Returns the memory that evictions must free, MB.
fn shortfall(request: &PlacementRequest, target: &PlacementTarget) -> u64 {
    required_memory(request, target).saturating_sub(target.free_memory)
}

/// Returns whether the candidate may be evicted: it is not the base model of the request.
fn is_evictable(request: &PlacementRequest, candidate: &EvictionCandidate) -> bool {
    request.base.is_none_or(|b| b.model != candidate.model)
}

/// Returns the cost of evicting the cheapest candidates until enough memory is
/// free, or `None` if there are too few or they cost more than `max_cost`.
pub fn eviction_cost(
    request: &PlacementRequest,
    target: &PlacementTarget,
    max_cost: f64,
) -> Option<f64> {
    let mut shortfall = shortfall(request, target);
    let mut cost = 0.0;
    for candidate in target.evictable {
        if shortfall == 0 {
            break;
        }
        if !is_evictable(request, candidate) {
            continue;
        }
        cost += candidate.cost;
        if cost > max_cost {
            return None;
        }
        shortfall = shortfall.saturating_sub(candidate.memory);
    }
    (shortfall == 0).then_some(cost)
}

/// Returns the models to evict.
///
/// Chooses the cheapest candidates until enough memory is free, then drops those
/// whose memory is not needed after all, from the most expensive on.
pub fn choose_evictions(
    request: &PlacementRequest,
    target: &PlacementTarget,
) -> Option<Vec<ModelIndex>> {
    let shortfall = shortfall(request, target);
    let mut freed = 0;
    let mut chosen = Vec::new();
    for candidate in target.evictable {
        if freed >= shortfall {
            break;
        }
        if is_evictable(request, candidate) {
            freed += candidate.memory;
            chosen.push(*candidate);
        }
    }
    if freed < shortfall {
        return None;
    }
    let mut evict = Vec::new();
    for candidate in chosen.iter().rev() {
        if freed - candidate.memory >= shortfall {
            freed -= candidate.memory;
            continue;
        }
        evict.push(candidate.model);
    }
    Some(evict)
}
