//! Index of the replicas, requests and utilization that the planning of loads looks up.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use super::engine_view::EngineView;
use super::spares::VersionIndex;
use super::{PlacementInput, Placer, headroom};
use crate::edge::demand::ModelKey;
use crate::edge::request_headers::split_target;
use crate::edge::upstream::Upstream;

/// Rate, requests a second, at which the utilization of an engine with a lower one is computed.
const MIN_RATE: f64 = 1e-3;
/// Maximum utilization for the reason of a rate.
const MAX_UTILIZATION: f64 = 10.0;

/// What the planning of loads looks up again and again; computed once for each planning
/// and after each planned load.
#[derive(Debug, Default)]
pub(super) struct PlanIndex {
    /// Number of engines that serve or will serve each model.
    pub(super) replicas: HashMap<ModelKey, usize>,
    /// The same without engines that have named a rate.
    pub(super) unlimited: HashMap<ModelKey, usize>,
    /// Engine time per second that the demand for an engine's models needs, by engine.
    pub(super) utilization: HashMap<Arc<str>, f64>,
    /// Requests in progress at each engine, by model.
    pub(super) requests: HashMap<Arc<str>, HashMap<Arc<str>, u32>>,
    /// Engines and replicas at each version of the software.
    pub(super) versions: VersionIndex,
    /// Models that requests wait for.
    pub(super) waited: HashSet<ModelKey>,
    /// Engine time per second above which a model gets another replica, by service.
    hot_work: HashMap<Arc<str>, f64>,
}

impl Placer {
    /// Indexes what requests wait for and where requests are in progress.
    pub(super) fn index_requests(&mut self, input: &PlacementInput<'_>) {
        let waited = input.waiting.keys();
        self.index.waited = waited
            .map(|t| ModelKey::new(&t.service, &t.model))
            .collect();
        self.index.requests.clear();
        for (id, engine) in &input.fleet.engines {
            let mut by_model: HashMap<Arc<str>, u32> = HashMap::new();
            for (target, count) in engine.requests(input.now) {
                let (model, _) = split_target(target);
                match by_model.get_mut(model) {
                    Some(sum) => *sum += count,
                    None => {
                        by_model.insert(model.into(), count);
                    }
                }
            }
            self.index.requests.insert(id.clone(), by_model);
        }
    }

    /// Indexes how busy the engines of each service may be.
    pub(super) fn index_headroom(&mut self, input: &PlacementInput<'_>) {
        self.index.hot_work.clear();
        for service in input
            .desired
            .services
            .values()
            .filter(|s| s.hosting.is_some())
        {
            let engines = input.fleet.usable_engines(&service.name);
            let hot_work = headroom::hot_work(self.settings.hot_work, engines);
            self.index.hot_work.insert(service.name.clone(), hot_work);
        }
    }

    /// Returns the engine time per second above which a model gets another replica.
    pub(super) fn hot_work(&self, service: &str) -> f64 {
        let indexed = self.index.hot_work.get(service);
        indexed.copied().unwrap_or(self.settings.hot_work)
    }

    /// Indexes the engines that serve or will serve each model, and how busy they are.
    pub(super) fn index_replicas(&mut self, input: &PlacementInput<'_>) {
        let mut replicas: HashMap<ModelKey, usize> = HashMap::new();
        let mut unlimited: HashMap<ModelKey, usize> = HashMap::new();
        for (engine, view) in self.known_engines(input) {
            let is_limited = input.fleet.rates().rate(&engine.entry.id).is_some();
            for model in view.servable() {
                let key = ModelKey::new(&engine.entry.service, model);
                if !is_limited {
                    *unlimited.entry(key.clone()).or_default() += 1;
                }
                *replicas.entry(key).or_default() += 1;
            }
        }
        self.index.replicas = replicas;
        self.index.unlimited = unlimited;
        let mut utilization = HashMap::with_capacity(self.views.len());
        for (engine, view) in self.known_engines(input) {
            let id = engine.entry.id.clone();
            utilization.insert(id, self.utilization(input, engine, view));
        }
        self.index.utilization = utilization;
        self.index_versions(input);
    }

    /// Returns the models that only engines with a rate serve.
    pub(super) fn limited_models(&self, input: &PlacementInput<'_>) -> Vec<ModelKey> {
        let mut models = BTreeSet::new();
        for (id, _) in input.fleet.rates().limited() {
            let (Some(engine), Some(view)) = (input.fleet.engines.get(id), self.views.get(id))
            else {
                continue;
            };
            for model in view.replicas.keys() {
                models.insert(ModelKey::new(&engine.entry.service, model));
            }
        }
        models.retain(|key| self.unlimited_count(key) == 0);
        models.into_iter().collect()
    }

    /// Returns the number of engines that serve or will serve a model and have named no rate.
    pub(super) fn unlimited_count(&self, key: &ModelKey) -> usize {
        self.index.unlimited.get(key).copied().unwrap_or(0)
    }

    /// Returns the utilization of an engine: the engine time per second that the
    /// demand for its models needs, or the part of the rate that it has named, if that is more.
    fn utilization(&self, input: &PlacementInput<'_>, engine: &Upstream, view: &EngineView) -> f64 {
        let service = &engine.entry.service;
        let (mut utilization, mut requests) = (0.0, 0.0);
        for model in view.replicas.keys() {
            let key = ModelKey::new(service, model);
            let Some(demand) = input.demand.get(&key) else {
                continue;
            };
            let replicas = self.replica_count(&key).max(1);
            utilization += demand.work / replicas as f64;
            requests += demand.rate / replicas as f64;
        }
        let utilization = utilization * engine.lasting_slowdown(input.now);
        match input.fleet.rates().rate(&engine.entry.id) {
            Some(rate) => utilization.max((requests / rate.max(MIN_RATE)).min(MAX_UTILIZATION)),
            None => utilization,
        }
    }
}
