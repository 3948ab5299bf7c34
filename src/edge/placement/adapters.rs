//! Placement of adapters: which engine loads one, and which adapter it evicts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::engine_view::{EngineView, Replica};
use super::{ModelTarget, PlacementInput, Placer};
use crate::clock::Moment;
use crate::edge::desired::Hosting;
use crate::edge::orders::Verb;
use crate::edge::upstream::Upstream;

/// Requests by which two engines may differ and still count as equally busy,
/// so that an adapter usually returns to the same engine.
const REQUEST_TOLERANCE: u32 = 4;
/// Maximum number of adapters that one engine loads at the same time.
const MAX_LOADING_ADAPTERS: usize = 4;

/// Adapters that each engine should load, by engine.
pub(super) type AdapterLoads<'a> = HashMap<Arc<str>, Vec<&'a ModelTarget>>;

impl Placer {
    /// Chooses an engine for each adapter that requests wait for: among those that serve
    /// the model, the one with the fewest requests in progress. One that can take an order
    /// now goes before one that cannot.
    pub(super) fn assign_adapters<'a>(&self, input: &'a PlacementInput<'_>) -> AdapterLoads<'a> {
        let mut loads = AdapterLoads::new();
        let wanted: Vec<_> = input
            .waiting
            .keys()
            .filter(|t| t.adapter.is_some())
            .collect();
        if wanted.is_empty() {
            return loads;
        }
        let models: BTreeSet<_> = wanted.iter().map(|t| &*t.model).collect();
        let mut serving: BTreeMap<&str, Vec<(&Upstream, &EngineView)>> = BTreeMap::new();
        for (engine, view) in self.known_engines(input) {
            if !engine.breaker.allows(input.now) {
                continue;
            }
            for (model, replica) in &view.replicas {
                if replica.ready && models.contains(&**model) {
                    serving.entry(model).or_default().push((engine, view));
                }
            }
        }
        for target in wanted {
            let candidates = serving.get(&*target.model).into_iter().flatten();
            let paused = &input.waiting[target].paused;
            let candidates = candidates.filter(|(e, _)| {
                e.entry.service == target.service
                    && !paused.contains(&e.entry.id)
                    && target.matches(e)
            });
            if candidates.clone().any(|(_, view)| view.has_adapter(target)) {
                continue;
            }
            let rank = |(engine, view): &&(&Upstream, &EngineView)| {
                let busy = engine.running(input.now) / REQUEST_TOLERANCE;
                (view.is_blocked(input.now), busy, engine.entry.id.clone())
            };
            if let Some((engine, _)) = candidates.min_by_key(rank) {
                let id = engine.entry.id.clone();
                loads.entry(id).or_default().push(target);
            }
        }
        loads
    }
}

/// Returns the next adapter order for one engine that should load `targets`: verb, model
/// and adapter.
pub(super) fn next_adapter_order(
    view: &EngineView,
    engine: &Upstream,
    hosting: &Hosting,
    input: &PlacementInput<'_>,
    targets: &[&ModelTarget],
) -> Option<(Verb, Arc<str>, Arc<str>)> {
    let now = input.now;
    for target in targets {
        let Some(adapter) = &target.adapter else {
            continue;
        };
        if view.has_adapter(target) {
            continue;
        }
        let count_loading = |r: &Replica| r.adapters.values().filter(|a| a.ready_at > now).count();
        let loading: usize = view.replicas.values().map(count_loading).sum();
        if loading >= MAX_LOADING_ADAPTERS {
            return None;
        }
        let Some(spec) = hosting.models.get(&target.model) else {
            continue;
        };
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

/// Returns the least recently used adapter that no request uses or waits for.
fn idle_adapter(
    view: &EngineView,
    engine: &Upstream,
    input: &PlacementInput<'_>,
) -> Option<(Arc<str>, Arc<str>)> {
    let used: BTreeSet<_> = engine
        .requests(input.now)
        .map(|(target, _)| &**target)
        .collect();
    let mut oldest: Option<(Moment, &Arc<str>, &Arc<str>)> = None;
    for (model, replica) in &view.replicas {
        for (name, adapter) in &replica.adapters {
            let target = ModelTarget {
                service: engine.entry.service.clone(),
                model: model.clone(),
                adapter: Some(name.clone()),
                software: None,
            };
            let needed = used.contains(&*target.name()) || is_waited_for(&target, engine, input);
            if needed || adapter.ready_at > input.now {
                continue;
            }
            if oldest.is_none_or(|o| adapter.last_used < o.0) {
                oldest = Some((adapter.last_used, model, name));
            }
        }
    }
    oldest.map(|(_, model, name)| (model.clone(), name.clone()))
}

/// Returns whether requests wait for a target that an engine holds, at any version or at its own.
fn is_waited_for(target: &ModelTarget, engine: &Upstream, input: &PlacementInput<'_>) -> bool {
    let at_version = ModelTarget {
        software: Some(engine.entry.software.clone()),
        ..target.clone()
    };
    input.waiting.contains_key(target) || input.waiting.contains_key(&at_version)
}
