//! Second copies of models at a version of the engines' software.
//!
//! A stream that may be resumed goes on at the version that began it only. If one engine alone
//! holds its model there and crashes, a load takes longer than the callers of such streams wait.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::plan::LoadReason;
use super::{ModelTarget, PlacementInput, Placer};
use crate::edge::demand::ModelKey;
use crate::edge::upstream::Upstream;

/// Number of engines of each version, by version.
type VersionCounts = BTreeMap<Arc<str>, usize>;

/// Engines and replicas at each version, for services at which several versions serve.
#[derive(Debug, Default)]
pub(super) struct VersionIndex {
    /// Number of engines of each version, by service.
    engines: HashMap<Arc<str>, VersionCounts>,
    /// Number of engines of each version that serve or will serve a model.
    replicas: HashMap<ModelKey, VersionCounts>,
}

impl VersionIndex {
    /// Returns how many engines of a version serve or will serve a model.
    fn replica_count(&self, key: &ModelKey, software: &str) -> usize {
        let counts = self.replicas.get(key);
        counts.and_then(|c| c.get(software)).copied().unwrap_or(0)
    }

    /// Returns whether another engine of a version could hold a second copy, while several
    /// versions serve.
    fn may_double(&self, service: &str, software: &str) -> bool {
        let counts = self.engines.get(service);
        counts.is_some_and(|c| c.len() > 1 && c.get(software).is_some_and(|n| *n > 1))
    }
}

impl Placer {
    /// Indexes which versions serve, and which models they hold.
    pub(super) fn index_versions(&mut self, input: &PlacementInput<'_>) {
        let mut index = VersionIndex::default();
        for (engine, _) in self.known_engines(input) {
            let entry = &engine.entry;
            let versions = index.engines.entry(entry.service.clone()).or_default();
            *versions.entry(entry.software.clone()).or_default() += 1;
        }
        index.engines.retain(|_, versions| versions.len() > 1);
        if index.engines.is_empty() {
            self.index.versions = index;
            return;
        }
        for (engine, view) in self.known_engines(input) {
            let entry = &engine.entry;
            if !index.engines.contains_key(&entry.service) {
                continue;
            }
            for model in view.servable() {
                let key = ModelKey::new(&entry.service, model);
                let versions = index.replicas.entry(key).or_default();
                *versions.entry(entry.software.clone()).or_default() += 1;
            }
        }
        self.index.versions = index;
    }

    /// Plans a second copy of each model that one engine of a version alone holds, while several
    /// versions serve and streams may be resumed; the most requested first. No request has to wait
    /// for such a load, and no model is evicted for it.
    pub(super) fn plan_spares(&mut self, input: &PlacementInput<'_>) {
        if !input.waiting.is_empty() {
            return;
        }
        let mut sole = Vec::new();
        for (key, versions) in &self.index.versions.replicas {
            if !has_resumable_streams(input, &key.service) {
                continue;
            }
            let rate = input.demand.get(key).map_or(0.0, |d| d.tight);
            for (software, count) in versions {
                if *count == 1 && self.index.versions.may_double(&key.service, software) {
                    sole.push((rate, key.clone(), software.clone()));
                }
            }
        }
        sole.sort_by(|a, b| b.0.total_cmp(&a.0).then((&a.1, &a.2).cmp(&(&b.1, &b.2))));
        for (_, key, software) in sole {
            let target = ModelTarget {
                software: Some(software),
                ..ModelTarget::of_model(&key)
            };
            self.plan_load(input, &target, LoadReason::Spare);
        }
    }

    /// Returns the additional cost of unloading the only copy of a model at a version while several
    /// serve, s: streams of the version then wait as if no engine had a copy.
    pub(super) fn spare_cost(
        &self,
        input: &PlacementInput<'_>,
        key: &ModelKey,
        engine: &Upstream,
    ) -> f64 {
        let software = &engine.entry.software;
        let versions = &self.index.versions;
        let is_sole = versions.may_double(&key.service, software)
            && versions.replica_count(key, software) <= 1;
        let is_needed = is_sole
            && has_resumable_streams(input, &key.service)
            && self.has_tight_demand(input, key);
        match is_needed {
            true => self.absence_cost(input, key),
            false => 0.0,
        }
    }

    /// Returns whether requests for a model leave no time for a load.
    fn has_tight_demand(&self, input: &PlacementInput<'_>, key: &ModelKey) -> bool {
        let demand = input.demand.get(key);
        demand.is_some_and(|d| d.tight >= self.settings.least_rate)
    }
}

/// Returns whether streams of a service may be resumed.
fn has_resumable_streams(input: &PlacementInput<'_>, service: &Arc<str>) -> bool {
    let mut routes = input.desired.routes.values().flatten();
    routes.any(|route| {
        let is_target = route.targets.iter().any(|t| t.service == *service);
        is_target && route.has_resumable_streams()
    })
}
