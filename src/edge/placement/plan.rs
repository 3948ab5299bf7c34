//! Planning of loads: which model is loaded next, on which engine, and which
//! models are evicted for it.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::engine_view::{EngineView, LoadTask, TaskStage, model_size_mb};
use super::{ModelTarget, PlacementInput, Placer, headroom};
use crate::edge::demand::ModelKey;
use crate::edge::desired::Hosting;
use crate::edge::upstream::Upstream;

/// Time after its load for which a model is not evicted, except for waiting
/// requests.
const MIN_RESIDENCE: Duration = Duration::from_secs(2);
/// Cost of an engine's utilization when the engine for a load is chosen, seconds
/// at full utilization.
const UTILIZATION_COST_S: f64 = 1.0;
/// Share of the hot threshold from which a model's replicas are examined.
const HOT_SCAN_SHARE: f64 = 0.25;
/// Cost of evicting one replica when the others then exceed the hot threshold:
/// seconds for each engine second per second over it.
const OVERLOAD_COST_S: f64 = 20.0;
/// Cost of a load on an engine that has named a rate, s; more than any load takes.
const LIMITED_COST_S: f64 = 15.0;
/// Part of an engine's rate that the demand for a model may need before the model is loaded on
/// another engine too.
const RATE_UTILIZATION: f64 = 0.7;
/// Maximum number of models of one engine that are considered as victims; all
/// their subsets are tried.
const MAX_VICTIM_OPTIONS: usize = 8;
/// Period of the check for models without a replica or a copy; no request waits
/// for them.
const UNSERVED_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Period of planning loads while no further target is waited for.
const PLAN_PERIOD: Duration = Duration::from_millis(45);

impl Placer {
    /// Plans loads when requests wait for a further target, and otherwise every
    /// [`PLAN_PERIOD`].
    pub(super) fn plan_if_due(&mut self, input: &PlacementInput<'_>) {
        let known = |target| self.waited_since.contains_key(target);
        let elapsed = input.now.saturating_sub(self.planned_at);
        if input.waiting.keys().all(known) && elapsed < PLAN_PERIOD {
            return;
        }
        self.planned_at = input.now;
        self.waited_since
            .retain(|target, _| input.waiting.contains_key(target));
        for target in input.waiting.keys() {
            if !self.waited_since.contains_key(target) {
                self.waited_since.insert(target.clone(), input.now);
            }
        }
        self.plan(input);
    }

    /// Plans loads: first for waiting requests, then additional replicas of hot
    /// models, then models without a copy or a replica.
    fn plan(&mut self, input: &PlacementInput<'_>) {
        self.update_speeds(input);
        self.index_requests(input);
        self.index_headroom(input);
        self.index_replicas(input);
        let missing = self.missing_models(input);
        for target in &missing {
            self.plan_load(input, target, LoadReason::Waiting);
        }
        self.forecast_loads(input, &missing);
        let mut hot: Vec<_> = input.demand.iter().collect();
        hot.sort_by(|a, b| b.1.work.total_cmp(&a.1.work));
        for (key, demand) in hot {
            let hot_work = self.hot_work(&key.service);
            if demand.work < hot_work * HOT_SCAN_SHARE {
                continue;
            }
            if self.least_utilization(input, key) > hot_work {
                self.plan_load(input, &ModelTarget::of_model(key), LoadReason::Hot);
            }
        }
        for key in self.limited_models(input) {
            if self.least_utilization(input, &key) > RATE_UTILIZATION {
                self.plan_load(input, &ModelTarget::of_model(&key), LoadReason::Hot);
            }
        }
        if input.now.saturating_sub(self.unserved_checked) >= UNSERVED_CHECK_PERIOD {
            self.unserved_checked = input.now;
            let with_copies = self.models_with_copies(input);
            self.plan_prefetches(input, &with_copies);
            self.plan_unserved(input, &with_copies);
            self.plan_spares(input);
        }
    }

    /// Returns the models that requests wait for and no engine serves, in the order in which
    /// they are loaded: by priority, and then the longest waited for first, so that a
    /// forecast holds.
    fn missing_models(&self, input: &PlacementInput<'_>) -> Vec<ModelTarget> {
        let mut missing = Vec::new();
        for (target, requests) in input.waiting {
            let model = ModelTarget {
                adapter: None,
                ..target.clone()
            };
            if !self.is_served(input, &model, &requests.paused) {
                let since = self.waited_since.get(target).copied();
                missing.push((requests.priority, since.unwrap_or(input.now), model));
            }
        }
        missing.sort();
        let mut seen = HashSet::new();
        let models = missing.into_iter().map(|(_, _, model)| model);
        models.filter(|model| seen.insert(model.clone())).collect()
    }

    /// Returns whether an engine other than those in `paused` serves or will serve a model.
    fn is_served(
        &self,
        input: &PlacementInput<'_>,
        target: &ModelTarget,
        paused: &BTreeSet<Arc<str>>,
    ) -> bool {
        if paused.is_empty() && target.software.is_none() {
            return self.replica_count(&target.key()) > 0;
        }
        let mut engines = self.service_engines(input, &target.service);
        engines.any(|(e, view)| {
            view.will_serve(&target.model) && !paused.contains(&e.entry.id) && target.matches(e)
        })
    }

    /// Plans loads of models that no engine holds or keeps a copy of.
    fn plan_prefetches(&mut self, input: &PlacementInput<'_>, with_copies: &HashSet<ModelKey>) {
        for service in input.desired.services.values() {
            let Some(hosting) = &service.hosting else {
                continue;
            };
            let mut names: Vec<_> = hosting.models.keys().collect();
            names.sort();
            for name in names {
                let key = ModelKey::new(&service.name, name);
                if !with_copies.contains(&key) {
                    self.plan_load(input, &ModelTarget::of_model(&key), LoadReason::Prefetch);
                }
            }
        }
    }

    /// Plans loads of models without a replica where the eviction costs less than
    /// their absence; the largest first, as they fit the fewest engines.
    fn plan_unserved(&mut self, input: &PlacementInput<'_>, with_copies: &HashSet<ModelKey>) {
        for service in input.desired.services.values() {
            let Some(hosting) = &service.hosting else {
                continue;
            };
            let mut models: Vec<_> = hosting.models.iter().collect();
            models.sort_by(|a, b| b.1.memory_mb.total_cmp(&a.1.memory_mb).then(a.0.cmp(b.0)));
            for (name, _) in models {
                let key = ModelKey::new(&service.name, name);
                if self.replica_count(&key) == 0 && with_copies.contains(&key) {
                    self.plan_load(input, &ModelTarget::of_model(&key), LoadReason::Unserved);
                }
            }
        }
    }

    /// Returns the listed engines with their views.
    pub(super) fn known_engines<'a>(
        &'a self,
        input: &'a PlacementInput<'_>,
    ) -> impl Iterator<Item = (&'a Upstream, &'a EngineView)> {
        let engines = &input.fleet.engines;
        let with = |(id, view)| engines.get(id).map(|engine| (engine, view));
        self.views.iter().filter_map(with)
    }

    /// Returns the engines of one service with their views.
    pub(super) fn service_engines<'a>(
        &'a self,
        input: &'a PlacementInput<'_>,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Upstream, &'a EngineView)> {
        let engines = self.known_engines(input);
        engines.filter(move |(engine, _)| &*engine.entry.service == service)
    }

    /// Returns the number of engines that serve or will serve a model.
    pub(super) fn replica_count(&self, key: &ModelKey) -> usize {
        self.index.replicas.get(key).copied().unwrap_or(0)
    }

    /// Returns the models that any engine holds, loads or keeps a copy of.
    fn models_with_copies(&self, input: &PlacementInput<'_>) -> HashSet<ModelKey> {
        let mut with_copies = HashSet::new();
        for (engine, view) in self.known_engines(input) {
            let planned = view.task.iter().map(|t| &t.model);
            let copies = view.copies.memory.iter().chain(&view.copies.disk);
            for model in view.replicas.keys().chain(planned).chain(copies) {
                with_copies.insert(ModelKey::new(&engine.entry.service, model));
            }
        }
        with_copies
    }

    /// Returns the utilization of an engine as last indexed.
    fn indexed_utilization(&self, engine: &Upstream) -> f64 {
        let utilization = self.index.utilization.get(&engine.entry.id);
        utilization.copied().unwrap_or(0.0)
    }

    /// Returns the lowest utilization among the engines that serve a model; zero
    /// when none does, or when another replica is planned.
    fn least_utilization(&self, input: &PlacementInput<'_>, key: &ModelKey) -> f64 {
        let mut least = f64::INFINITY;
        for (engine, view) in self.service_engines(input, &key.service) {
            if !view.will_serve(&key.model) {
                continue;
            }
            if !view.serves(&key.model) {
                return 0.0;
            }
            least = least.min(self.indexed_utilization(engine));
        }
        match least.is_finite() {
            true => least,
            false => 0.0,
        }
    }

    /// Plans a load of a model on the engine where it costs least.
    pub(super) fn plan_load(
        &mut self,
        input: &PlacementInput<'_>,
        target: &ModelTarget,
        reason: LoadReason,
    ) {
        let ModelTarget { service, model, .. } = target;
        let Some(hosting) = input.desired.hosting(service) else {
            return;
        };
        let Some(spec) = hosting.models.get(model) else {
            return;
        };
        let max_loads = self.max_store_loads(service, spec.store_load, reason);
        let store_available = self.store_load_count(input, service) < max_loads
            && !self.is_inherited(service, model, input.now);
        if reason == LoadReason::Prefetch && !store_available {
            return;
        }
        let max_eviction_cost = self.max_eviction_cost(input, &target.key(), reason);
        let mut best: Option<LoadOption> = None;
        for (engine, view) in self.service_engines(input, service) {
            if view.foreign_order || view.replicas.contains_key(model) || !target.matches(engine) {
                continue;
            }
            let wants_none = input.fleet.pause_left(engine, input.now).is_some();
            if wants_none || !engine.breaker.allows(input.now) {
                continue;
            }
            let (load_time, from_store) = view.load_time(model, spec);
            if from_store && !store_available {
                continue;
            }
            if reason == LoadReason::Unserved && (from_store || view.task.is_some()) {
                continue;
            }
            let missing_mb = spec.memory_mb - (hosting.memory_mb - view.used_mb(hosting));
            let Some((victims, eviction_cost)) =
                self.choose_victims(input, hosting, engine, view, missing_mb, reason)
            else {
                continue;
            };
            if eviction_cost > max_eviction_cost {
                continue;
            }
            let utilization_cost = self.indexed_utilization(engine) * UTILIZATION_COST_S;
            let delay = view.task_remaining(input.now).as_secs_f64();
            let rate_cost = match input.fleet.rates().rate(&engine.entry.id) {
                Some(_) => LIMITED_COST_S,
                None => 0.0,
            };
            let cost =
                load_time.as_secs_f64() + delay + eviction_cost + utilization_cost + rate_cost;
            if best.as_ref().is_none_or(|b| cost < b.cost) {
                best = Some(LoadOption {
                    cost,
                    engine: engine.entry.id.clone(),
                    victims,
                    from_store,
                    load_time,
                });
            }
        }
        let Some(LoadOption {
            cost,
            engine: id,
            victims,
            from_store,
            load_time,
        }) = best
        else {
            return;
        };
        let Some(view) = self.views.get_mut(&id) else {
            return;
        };
        if view.task.is_some() {
            // The best engine is busy: waiting for it costs less than loading on
            // another.
            return;
        }
        let reason: &'static str = reason.into();
        let victim_list = victims.join(",");
        log::info!(engine = &*id, model = &**model, how = reason, cost, victims = victim_list.as_str(),
            remote = from_store; "load planned");
        view.task = Some(LoadTask {
            model: model.clone(),
            victims,
            stage: TaskStage::Ready,
            from_store,
            load_time,
            planned_at: input.now,
        });
        view.advance_task(input.now);
        self.index_replicas(input);
    }

    /// Returns the models to unload to free `missing_mb`, and the cost; `None`
    /// when they cannot free that much.
    fn choose_victims(
        &self,
        input: &PlacementInput<'_>,
        hosting: &Hosting,
        engine: &Upstream,
        view: &EngineView,
        missing_mb: f64,
        reason: LoadReason,
    ) -> Option<(Vec<Arc<str>>, f64)> {
        if missing_mb <= 0.0 {
            return Some((Vec::new(), 0.0));
        }
        let mut options = Vec::new();
        for (name, replica) in &view.replicas {
            let resident = input.now.saturating_sub(replica.loaded_at) >= MIN_RESIDENCE;
            let key = ModelKey::new(&engine.entry.service, name);
            let requested = self.index.waited.contains(&key);
            if !replica.ready || requested || (!resident && reason != LoadReason::Waiting) {
                continue;
            }
            let requests = self.index.requests.get(&engine.entry.id);
            let running = requests.and_then(|r| r.get(name)).copied().unwrap_or(0);
            let is_limited = input.fleet.rates().rate(&engine.entry.id).is_some();
            let others = match is_limited {
                true => self.unlimited_count(&key),
                false => self.unlimited_count(&key).saturating_sub(1),
            };
            let cost = self.unload_cost(input, &key, others, running)
                + self.spare_cost(input, &key, engine);
            options.push((
                cost,
                model_size_mb(hosting, name, replica.adapters.len()),
                name,
            ));
        }
        // Few models fit on an engine, so all subsets are tried.
        let mut best: Option<(f64, u32)> = None;
        let count = options.len().min(MAX_VICTIM_OPTIONS);
        for subset in 1u32..1 << count {
            let chosen = |i: &usize| subset & (1 << i) != 0;
            let freed_mb: f64 = (0..count).filter(chosen).map(|i| options[i].1).sum();
            let cost: f64 = (0..count).filter(chosen).map(|i| options[i].0).sum();
            if freed_mb >= missing_mb && best.is_none_or(|b| cost < b.0) {
                best = Some((cost, subset));
            }
        }
        let (cost, subset) = best?;
        let chosen = (0..count).filter(|i| subset & (1 << i) != 0);
        Some((chosen.map(|i| options[i].2.clone()).collect(), cost))
    }

    /// Returns the maximum eviction cost that a load may cause, s.
    fn max_eviction_cost(
        &self,
        input: &PlacementInput<'_>,
        key: &ModelKey,
        reason: LoadReason,
    ) -> f64 {
        match reason {
            LoadReason::Waiting => f64::INFINITY,
            LoadReason::Unserved => {
                (self.absence_cost(input, key) - self.settings.unload_loss).max(0.0)
            }
            LoadReason::Hot => {
                let utilization = self.least_utilization(input, key);
                let early = self.hot_work(&key.service);
                self.settings.hot_loss
                    * headroom::urgency(utilization, early, self.settings.hot_work)
            }
            LoadReason::Prefetch => self.settings.ahead_loss,
            LoadReason::Spare => 0.0,
        }
    }

    /// Returns the cost of having no replica of a model, in seconds of waiting:
    /// each new request waits for a load, and so do those of the evicted model.
    pub(super) fn absence_cost(&self, input: &PlacementInput<'_>, key: &ModelKey) -> f64 {
        let demand = input.demand.get(key).copied().unwrap_or_default();
        let hosting = input.desired.hosting(&key.service);
        let Some(spec) = hosting.and_then(|h| h.models.get(&key.model)) else {
            return 0.0;
        };
        let settings = &self.settings;
        let loose = (demand.rate - demand.tight).max(0.0);
        let rate = (demand.tight + loose * settings.loose_part).max(settings.least_rate);
        // A model that was once loaded stays on an engine's disk.
        rate * spec.disk_load.as_secs_f64() * settings.rate_loss
    }

    /// Returns the cost of unloading a model from an engine, in seconds of waiting. `others`
    /// serve it without a rate.
    fn unload_cost(
        &self,
        input: &PlacementInput<'_>,
        key: &ModelKey,
        others: usize,
        running: u32,
    ) -> f64 {
        let demand = input.demand.get(key).copied().unwrap_or_default();
        let settings = &self.settings;
        let mut cost = settings.unload_loss + f64::from(running) * settings.running_loss;
        if others == 0 {
            cost += self.absence_cost(input, key);
        } else {
            let overload = (demand.work / others as f64 - self.hot_work(&key.service)).max(0.0);
            cost += demand.work + overload * OVERLOAD_COST_S;
        }
        cost
    }
}

/// An engine that a load may go to, and what it takes.
#[derive(Clone, Debug)]
struct LoadOption {
    /// Load time, delay, eviction and utilization cost, s.
    cost: f64,
    engine: Arc<str>,
    /// Models to evict.
    victims: Vec<Arc<str>>,
    /// Whether the weights come from the weight store.
    from_store: bool,
    /// Expected load time.
    load_time: Duration,
}

/// Why a load is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum LoadReason {
    /// Requests wait for the model.
    Waiting,
    /// Its replicas are under heavy load.
    Hot,
    /// No engine has a copy.
    #[strum(serialize = "ahead")]
    Prefetch,
    /// No engine serves it, and no request waits for it yet.
    #[strum(serialize = "cover")]
    Unserved,
    /// One engine of a version alone holds it.
    Spare,
}
