//! Which model is loaded next, where, and what makes way for it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::engine_view::{EngineView, Stage, Task, model_size_mb};
use super::{PlacementInput, Placer};
use crate::edge::demand::ModelKey;
use crate::edge::desired::Hosting;
use crate::edge::fleet::Upstream;

/// Time for which a loaded model is not a victim.
const MIN_RESIDENCE: Duration = Duration::from_secs(2);
/// Weight of an engine's busy share when a place for a load is chosen, s.
const UTILIZATION_COST_S: f64 = 1.0;
/// Part of the work at which a model is hot from which it is looked at.
const HOT_SCAN_SHARE: f64 = 0.25;
/// Loss for each engine second a second by which the other replicas of a
/// victim would be over the work at which they are hot, s.
const OVERLOAD_LOSS_S: f64 = 20.0;
/// Models of one engine among which victims are sought; all sets of them are
/// looked at.
const MAX_VICTIM_OPTIONS: usize = 8;
/// Period at which models that nobody serves or keeps are looked for; nobody
/// waits for them.
const UNSERVED_CHECK_PERIOD: Duration = Duration::from_millis(200);

impl Placer {
    /// Plans loads: first what requests wait for, then further replicas of
    /// models under heavy work, then copies of models that have none.
    pub(super) fn plan(&mut self, input: &PlacementInput<'_>) {
        self.count_replicas(input);
        let mut needs = Vec::new();
        for (target, want) in input.waiting {
            if self.replicas(&ModelKey::new(&target.service, &target.model)) == 0 {
                needs.push((want.priority, u32::MAX - want.waiting, target));
            }
        }
        needs.sort();
        for (_, _, target) in needs {
            let key = ModelKey::new(&target.service, &target.model);
            self.load(input, &key, LoadReason::Waiting);
        }
        let mut hot: Vec<_> = input.demand.iter().collect();
        hot.sort_by(|a, b| b.1.work.total_cmp(&a.1.work));
        for (key, demand) in hot {
            if demand.work < self.weights.hot_work * HOT_SCAN_SHARE {
                break;
            }
            if self.least_utilization(input, key) > self.weights.hot_work {
                self.load(input, key, LoadReason::Hot);
            }
        }
        if input.now.saturating_sub(self.unserved_checked) >= UNSERVED_CHECK_PERIOD {
            self.unserved_checked = input.now;
            let with_copies = self.models_with_copies(input);
            self.prefetch(input, &with_copies);
            self.load_unserved(input, &with_copies);
        }
    }

    /// Counts who holds what.
    fn count_replicas(&mut self, input: &PlacementInput<'_>) {
        let mut replica_counts: HashMap<ModelKey, usize> = HashMap::new();
        for (engine, view) in self.known_engines(input) {
            let planned = view.task.iter().map(|t| &t.model);
            let new = planned.filter(|m| !view.replicas.contains_key(*m));
            for model in view.replicas.keys().chain(new) {
                if !view.will_hold(model) {
                    continue;
                }
                let key = ModelKey::new(&engine.entry.service, model);
                *replica_counts.entry(key).or_default() += 1;
            }
        }
        self.replica_counts = replica_counts;
    }

    /// Loads one model that no engine holds or keeps a copy of.
    fn prefetch(&mut self, input: &PlacementInput<'_>, with_copies: &HashSet<ModelKey>) {
        for service in input.desired.services.values() {
            let Some(hosting) = &service.hosting else {
                continue;
            };
            let mut names: Vec<_> = hosting.models.keys().collect();
            names.sort();
            for name in names {
                let key = ModelKey::new(&service.name, name);
                if !with_copies.contains(&key) {
                    self.load(input, &key, LoadReason::Prefetch);
                }
            }
        }
    }

    /// Loads models that nobody serves where that makes less loss than their
    /// absence; the largest first, as they fit fewest engines.
    fn load_unserved(&mut self, input: &PlacementInput<'_>, with_copies: &HashSet<ModelKey>) {
        for service in input.desired.services.values() {
            let Some(hosting) = &service.hosting else {
                continue;
            };
            let mut models: Vec<_> = hosting.models.iter().collect();
            models.sort_by(|a, b| b.1.memory_mb.total_cmp(&a.1.memory_mb).then(a.0.cmp(b.0)));
            for (name, _) in models {
                let key = ModelKey::new(&service.name, name);
                if self.replicas(&key) == 0 && with_copies.contains(&key) {
                    self.load(input, &key, LoadReason::Unserved);
                }
            }
        }
    }

    /// Engines with their books.
    fn known_engines<'a>(
        &'a self,
        input: &'a PlacementInput<'_>,
    ) -> impl Iterator<Item = (&'a Upstream, &'a EngineView)> {
        let engines = &input.fleet.engines;
        let with = |(id, view)| engines.get(id).map(|engine| (engine, view));
        self.views.iter().filter_map(with)
    }

    /// Those of one service.
    fn service_engines<'a>(
        &'a self,
        input: &'a PlacementInput<'_>,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Upstream, &'a EngineView)> {
        let engines = self.known_engines(input);
        engines.filter(move |(engine, _)| &*engine.entry.service == service)
    }

    /// Engines that hold a model or are about to.
    fn replicas(&self, key: &ModelKey) -> usize {
        self.replica_counts.get(key).copied().unwrap_or(0)
    }

    /// Models that some engine holds or keeps a copy of.
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

    /// Engine time for each second that all models ask of one engine.
    fn utilization(&self, input: &PlacementInput<'_>, engine: &Upstream, view: &EngineView) -> f64 {
        let service = &engine.entry.service;
        let mut share = 0.0;
        for model in view.replicas.keys() {
            let key = ModelKey::new(service, model);
            let Some(demand) = input.demand.get(&key) else {
                continue;
            };
            let replicas = self.replicas(&key).max(1);
            share += demand.work / replicas as f64;
        }
        share * engine.pace.factor(input.now)
    }

    /// The least busy share among the engines that serve a model; zero when
    /// none does, or another is about to.
    fn least_utilization(&self, input: &PlacementInput<'_>, key: &ModelKey) -> f64 {
        let mut least = f64::INFINITY;
        for (engine, view) in self.service_engines(input, &key.service) {
            if !view.will_hold(&key.model) {
                continue;
            }
            if !view.serves(&key.model) {
                return 0.0;
            }
            least = least.min(self.utilization(input, engine, view));
        }
        match least.is_finite() {
            true => least,
            false => 0.0,
        }
    }

    /// Loads from the weight store that are planned or under way.
    fn store_loads(&self, input: &PlacementInput<'_>, service: &str) -> u32 {
        let from_store = |b: &EngineView| b.task.as_ref().is_some_and(|t| t.from_store);
        self.service_engines(input, service)
            .filter(|(_, b)| from_store(b))
            .count() as u32
    }

    /// Plans a load of a model where it costs least.
    fn load(&mut self, input: &PlacementInput<'_>, key: &ModelKey, reason: LoadReason) {
        let ModelKey { service, model } = key;
        let Some(hosting) = input.desired.hosting(service) else {
            return;
        };
        let Some(spec) = hosting.models.get(model) else {
            return;
        };
        let room = self.store_loads(input, service) < self.engines.store_parallel;
        let max_loss = self.max_loss(input, key, reason);
        let mut best: Option<LoadPlan> = None;
        for (engine, view) in self.service_engines(input, service) {
            if view.foreign_order || view.replicas.contains_key(model) {
                continue;
            }
            if !engine.breaker.allows(input.now) {
                continue;
            }
            let (load_time, from_store) = view.load_time(model, spec);
            if from_store && !room {
                continue;
            }
            if reason == LoadReason::Unserved && (from_store || view.task.is_some()) {
                continue;
            }
            let missing = spec.memory_mb - (hosting.memory_mb - view.used_mb(hosting));
            let Some((victims, loss)) =
                self.choose_victims(input, hosting, engine, view, missing, reason)
            else {
                continue;
            };
            if loss > max_loss {
                continue;
            }
            let utilization_cost = self.utilization(input, engine, view) * UTILIZATION_COST_S;
            let delay = view.task_remaining(input.now).as_secs_f64();
            let cost = load_time.as_secs_f64() + delay + loss + utilization_cost;
            if best.as_ref().is_none_or(|b| cost < b.cost) {
                best = Some(LoadPlan {
                    cost,
                    engine: engine.entry.id.clone(),
                    victims,
                    from_store,
                    load_time,
                });
            }
        }
        let Some(LoadPlan {
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
            // It is worth waiting for.
            return;
        }
        let reason: &'static str = reason.into();
        let victim_list = victims.join(",");
        log::info!(engine = &*id, model = &**model, how = reason, cost, victims = victim_list.as_str(),
            remote = from_store; "load planned");
        view.task = Some(Task {
            model: model.clone(),
            victims,
            stage: Stage::Ready,
            from_store,
            load_time,
            planned_at: input.now,
        });
        view.advance_task(input.now);
        self.count_replicas(input);
    }

    /// Models to unload for `missing` MB of room, and the loss; `None` when
    /// there is no way.
    fn choose_victims(
        &self,
        input: &PlacementInput<'_>,
        hosting: &Hosting,
        engine: &Upstream,
        view: &EngineView,
        missing: f64,
        reason: LoadReason,
    ) -> Option<(Vec<Arc<str>>, f64)> {
        if missing <= 0.0 {
            return Some((Vec::new(), 0.0));
        }
        let mut options = Vec::new();
        for (name, replica) in &view.replicas {
            let settled = input.now.saturating_sub(replica.loaded_at) >= MIN_RESIDENCE;
            let wanted = input.waiting.keys().any(|t| t.model == *name);
            if !replica.ready || wanted || (!settled && reason != LoadReason::Waiting) {
                continue;
            }
            let running = engine.using(name, input.now);
            let key = ModelKey::new(&engine.entry.service, name);
            let loss = self.unload_cost(input, &key, running);
            options.push((
                loss,
                model_size_mb(hosting, name, replica.adapters.len()),
                name,
            ));
        }
        // Few models fit an engine, so all sets are looked at.
        let mut best: Option<(f64, u32)> = None;
        let count = options.len().min(MAX_VICTIM_OPTIONS);
        for set in 1u32..1 << count {
            let chosen = |i: &usize| set & (1 << i) != 0;
            let room: f64 = (0..count).filter(chosen).map(|i| options[i].1).sum();
            let loss: f64 = (0..count).filter(chosen).map(|i| options[i].0).sum();
            if room >= missing && best.is_none_or(|b| loss < b.0) {
                best = Some((loss, set));
            }
        }
        let (loss, set) = best?;
        let chosen = (0..count).filter(|i| set & (1 << i) != 0);
        Some((chosen.map(|i| options[i].2.clone()).collect(), loss))
    }

    /// Largest loss by unloading that a load may cause, seconds.
    fn max_loss(&self, input: &PlacementInput<'_>, key: &ModelKey, reason: LoadReason) -> f64 {
        match reason {
            LoadReason::Waiting => f64::INFINITY,
            LoadReason::Unserved => {
                (self.absence_cost(input, key) - self.weights.unload_loss).max(0.0)
            }
            LoadReason::Hot => self.weights.hot_loss,
            LoadReason::Prefetch => self.weights.ahead_loss,
        }
    }

    /// What it costs that nobody serves a model, seconds of waiting: each
    /// request that comes meets a load, and the next victim's.
    fn absence_cost(&self, input: &PlacementInput<'_>, key: &ModelKey) -> f64 {
        let demand = input.demand.get(key).copied().unwrap_or_default();
        let hosting = input.desired.hosting(&key.service);
        let Some(spec) = hosting.and_then(|h| h.models.get(&key.model)) else {
            return 0.0;
        };
        let weights = &self.weights;
        let loose = (demand.rate - demand.tight).max(0.0);
        let rate = (demand.tight + loose * weights.loose_part).max(weights.least_rate);
        // Once held, a model is on an engine's disk.
        rate * spec.disk.as_secs_f64() * weights.rate_loss
    }

    /// What unloading a model from an engine costs, seconds of waiting.
    fn unload_cost(&self, input: &PlacementInput<'_>, key: &ModelKey, running: u32) -> f64 {
        let demand = input.demand.get(key).copied().unwrap_or_default();
        let others = self.replicas(key).saturating_sub(1);
        let weights = &self.weights;
        let mut loss = weights.unload_loss + f64::from(running) * weights.running_loss;
        if others == 0 {
            loss += self.absence_cost(input, key);
        } else {
            let overload = (demand.work / others as f64 - weights.hot_work).max(0.0);
            loss += demand.work + overload * OVERLOAD_LOSS_S;
        }
        loss
    }
}

/// Where a load may go.
#[derive(Clone, Debug)]
struct LoadPlan {
    /// Time and loss, s.
    cost: f64,
    engine: Arc<str>,
    /// Models that make way.
    victims: Vec<Arc<str>>,
    /// The load comes from the weight store.
    from_store: bool,
    /// How long the load should take.
    load_time: Duration,
}

/// Why a load is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum LoadReason {
    /// Requests wait for it.
    Waiting,
    /// Its replicas are under heavy work.
    Hot,
    /// Nobody has a copy.
    #[strum(serialize = "ahead")]
    Prefetch,
    /// Nobody serves it, and nobody waits for it yet.
    #[strum(serialize = "cover")]
    Unserved,
}
