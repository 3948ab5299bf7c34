//! Placement of adapters: which engine loads one, and which adapter it evicts.

use std::sync::Arc;

use super::engine_view::{EngineView, Replica};
use super::{ModelTarget, PlacementInput};
use crate::clock::Moment;
use crate::edge::desired::Hosting;
use crate::edge::fleet::Upstream;
use crate::edge::orders::Verb;

/// Requests by which two engines may differ and still count as equally busy,
/// so that an adapter usually returns to the same engine.
const REQUEST_TOLERANCE: u32 = 4;
/// Maximum number of adapters that one engine loads at the same time.
const MAX_LOADING_ADAPTERS: usize = 4;

/// Returns the next adapter order for one engine: verb, model and adapter.
pub(super) fn next_adapter_order(
    view: &EngineView,
    engine: &Upstream,
    hosting: &Hosting,
    input: &PlacementInput<'_>,
) -> Option<(Verb, Arc<str>, Arc<str>)> {
    let now = input.now;
    for target in input.waiting.keys() {
        let Some(adapter) = &target.adapter else {
            continue;
        };
        if target.service != engine.entry.service || !view.serves(&target.model) {
            continue;
        }
        let replica = view.replicas.get(&target.model)?;
        if replica.adapters.contains_key(adapter) || !is_preferred(input, engine, target) {
            continue;
        }
        let count_loading = |r: &Replica| r.adapters.values().filter(|a| a.ready_at > now).count();
        let loading: usize = view.replicas.values().map(count_loading).sum();
        if loading >= MAX_LOADING_ADAPTERS {
            return None;
        }
        let spec = hosting.models.get(&target.model)?;
        let full = view.adapter_count() >= hosting.adapter_slots as usize
            || view.used_mb(hosting) + spec.adapter_mb > hosting.memory_mb;
        if !full {
            return Some((Verb::Load, target.model.clone(), adapter.clone()));
        }
        let (model, name) = idle_adapter(view, engine, input)?;
        return Some((Verb::Unload, model, name));
    }
    None
}

/// Returns whether this engine should load a requested adapter: among those
/// that serve the model, it is the one with the fewest requests in progress.
fn is_preferred(input: &PlacementInput<'_>, engine: &Upstream, target: &ModelTarget) -> bool {
    let now = input.now;
    let serving = input
        .fleet
        .usable_engines(&target.service)
        .filter(|e| e.has_model(&target.model, None, now) && e.breaker.allows(now));
    let best = serving.min_by_key(|e| (e.running(now) / REQUEST_TOLERANCE, e.entry.id.clone()));
    best.is_none_or(|b| b.entry.id == engine.entry.id)
}

/// Returns the least recently used adapter that no request uses or waits for.
fn idle_adapter(
    view: &EngineView,
    engine: &Upstream,
    input: &PlacementInput<'_>,
) -> Option<(Arc<str>, Arc<str>)> {
    let mut oldest: Option<(Moment, &Arc<str>, &Arc<str>)> = None;
    for (model, replica) in &view.replicas {
        for (name, adapter) in &replica.adapters {
            let target = format!("{model}/{name}");
            let requested = input
                .waiting
                .keys()
                .any(|t| t.model == *model && t.adapter.as_ref() == Some(name));
            if requested
                || adapter.ready_at > input.now
                || engine.requests_for(&target, input.now) > 0
            {
                continue;
            }
            if oldest.is_none_or(|o| adapter.last_used < o.0) {
                oldest = Some((adapter.last_used, model, name));
            }
        }
    }
    oldest.map(|(_, model, name)| (model.clone(), name.clone()))
}
