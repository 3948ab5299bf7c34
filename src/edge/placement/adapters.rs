//! Adapters: which engine gets one, and which makes way.

use std::sync::Arc;

use super::book::{Book, Replica};
use super::{Scene, Target};
use crate::clock::Moment;
use crate::edge::desired::Hosting;
use crate::edge::fleet::Upstream;
use crate::edge::orders::Verb;

/// Requests by which two engines may differ and still count as equally busy,
/// so that an adapter mostly goes to the same one.
const ALIKE: u32 = 4;
/// Adapters on their way to one engine at once.
const INCOMING: usize = 4;

/// The next order for an adapter at one engine.
pub(super) fn next_adapter(
    book: &Book,
    engine: &Upstream,
    hosting: &Hosting,
    scene: &Scene<'_>,
) -> Option<(Verb, Arc<str>, Arc<str>)> {
    let now = scene.now;
    for target in scene.wants.keys() {
        let Some(adapter) = &target.adapter else {
            continue;
        };
        if target.service != engine.entry.service || !book.serves(&target.model) {
            continue;
        }
        let replica = book.replicas.get(&target.model)?;
        if replica.adapters.contains_key(adapter) || !first_choice(scene, engine, target) {
            continue;
        }
        let incoming = |r: &Replica| r.adapters.values().filter(|a| a.ready > now).count();
        let incoming: usize = book.replicas.values().map(incoming).sum();
        if incoming >= INCOMING {
            return None;
        }
        let spec = hosting.models.get(&target.model)?;
        let full = book.adapters() >= hosting.adapter_slots as usize
            || book.taken(hosting) + spec.adapter_mb > hosting.memory_mb;
        if !full {
            return Some((Verb::Load, target.model.clone(), adapter.clone()));
        }
        let (model, name) = idle_adapter(book, engine, scene)?;
        return Some((Verb::Unload, model, name));
    }
    None
}

/// Whether this engine is the one that should get a wanted adapter: of those
/// that serve the model, the one with the least in progress.
fn first_choice(scene: &Scene<'_>, engine: &Upstream, target: &Target) -> bool {
    let now = scene.now;
    let serving = scene
        .fleet
        .usable(&target.service)
        .filter(|e| e.holds(&target.model, None, now) && e.breaker.allows(now));
    let best = serving.min_by_key(|e| (e.running(now) / ALIKE, e.entry.id.clone()));
    best.is_none_or(|b| b.entry.id == engine.entry.id)
}

/// The adapter that was not asked for the longest, and that nobody uses.
fn idle_adapter(book: &Book, engine: &Upstream, scene: &Scene<'_>) -> Option<(Arc<str>, Arc<str>)> {
    let mut oldest: Option<(Moment, &Arc<str>, &Arc<str>)> = None;
    for (model, replica) in &book.replicas {
        for (name, adapter) in &replica.adapters {
            let target = format!("{model}/{name}");
            let wanted = scene
                .wants
                .keys()
                .any(|t| t.model == *model && t.adapter.as_ref() == Some(name));
            if wanted || adapter.ready > scene.now || engine.using(&target, scene.now) > 0 {
                continue;
            }
            if oldest.is_none_or(|o| adapter.used < o.0) {
                oldest = Some((adapter.used, model, name));
            }
        }
    }
    oldest.map(|(_, model, name)| (model.clone(), name.clone()))
}
