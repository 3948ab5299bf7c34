//! Choice of the models to load next and of their engines.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::config::{Config, Model, Name};
use crate::decide::placement::place_model;
use crate::decide::placement_types::{
    BaseState, EvictionCandidate, ModelIndex, PlacementOptions, PlacementPlan, PlacementRequest,
    PlacementTarget, TierLoadRatios, Weights,
};
use crate::decide::routing::Domain;
use crate::decide::sleep::{ModelFacts, preload_reason, reload_cost};
use crate::outside::Tier;

use super::replica::Replica;
use super::{Action, Context, OwnedEngine, Pool};

/// Assigns consecutive indices to names within one decision.
#[derive(Default)]
struct NameIndex {
    names: Vec<Name>,
    indices: BTreeMap<Name, u32>,
}

impl NameIndex {
    fn index_of(&mut self, name: &Name) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len() as u32;
        self.names.push(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }
}

impl Pool {
    /// Plans replicas for the models of waiting requests, highest value density first.
    pub(super) fn plan_waiting_models(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut wanted: Vec<Name> = Vec::new();
        for (model, _) in self.tickets.by_model() {
            wanted.push(model.clone());
        }
        wanted.sort_by(|a, b| {
            let densities = (
                self.value_density(b, ctx.config, ctx.now),
                self.value_density(a, ctx.config, ctx.now),
            );
            densities.0.total_cmp(&densities.1)
        });
        for model in wanted {
            if self.usable_count(&model) > 0 && !self.is_avoided_everywhere(&model) {
                continue;
            }
            self.plan_replica(&model, ctx, out);
        }
        self.scale_out(ctx, out);
    }

    /// Returns whether a waiting request must avoid every replica of `model`.
    fn is_avoided_everywhere(&self, model: &Name) -> bool {
        let engines: Vec<&Name> = self.usable_engines(model).collect();
        let mut tickets = self.tickets.by_model().filter(|(name, _)| *name == model);
        let Some((_, mut tickets)) = tickets.next() else {
            return false;
        };
        tickets.any(|t| engines.iter().all(|engine| self.is_avoided(t, engine)))
    }

    /// Iterates over the engines with a replica of `model` that is ready, planned or loading.
    fn usable_engines<'a>(&'a self, model: &'a Name) -> impl Iterator<Item = &'a Name> {
        let engines = self.engines.iter().filter(|(_, state)| {
            let replica = state.replicas.get(model);
            state.is_reachable()
                && !state.is_leaving()
                && replica.is_some_and(|r| !r.is_unloading())
        });
        engines.map(|(engine, _)| engine)
    }

    /// Returns the number of replicas of `model` that are ready, planned or loading.
    pub(super) fn usable_count(&self, model: &Name) -> usize {
        self.usable_engines(model).count()
    }

    /// Returns the number of replicas of `model` that count against its limit, including those
    /// being unloaded.
    pub(super) fn replica_count(&self, model: &Name) -> usize {
        let engines = self.engines.values();
        engines.filter(|s| s.replicas.contains_key(model)).count()
    }

    /// Plans another replica of models whose requests wait for a slot.
    fn scale_out(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        for name in &self.queued_models() {
            let Some(model) = ctx.config.models.get(name) else {
                continue;
            };
            let usable = self.usable_count(name);
            let pending = self
                .engines
                .values()
                .any(|s| s.replicas.get(name).is_some_and(Replica::is_pending));
            if usable == 0 || pending || usable >= model.limit as usize {
                continue;
            }
            self.plan_replica(name, ctx, out);
        }
    }

    /// Plans one more replica of `name` and returns whether one was planned.
    ///
    /// Starts the pin write or the evictions that it needs first; an adapter whose base model is
    /// pinned nowhere has its base model planned instead.
    pub(super) fn plan_replica(
        &mut self,
        name: &Name,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(model) = ctx.config.models.get(name) else {
            return false;
        };
        if self.replica_count(name) >= model.limit as usize {
            return false;
        }
        let Some(choice) = self.choose_engine(name, model, ctx) else {
            let base = model
                .base
                .as_ref()
                .filter(|base| !self.is_pinned_anywhere(base));
            return base.is_some_and(|base| self.plan_replica(base, ctx, out));
        };
        log::debug!(
            "planning {name} at engine {}, evicting {:?}",
            choice.engine,
            choice.evict
        );
        if !self.is_pinned(&choice.engine, name) {
            if !self.write_pin(name, model, &choice.engine, ctx, out) {
                self.evict(&choice, ctx.now);
            }
            return false;
        }
        self.evict(&choice, ctx.now);
        if choice.load_base {
            let base = model.base.clone().unwrap_or_default();
            self.add_replica(&base, &choice.engine, ctx);
        }
        self.add_replica(name, &choice.engine, ctx);
        true
    }

    fn is_pinned(&self, engine: &Name, model: &Name) -> bool {
        self.engines[engine].is_pinned(model)
    }

    /// Returns whether any engine has a pin of `model`.
    fn is_pinned_anywhere(&self, model: &Name) -> bool {
        let mut engines = self.engines.values();
        engines.any(|state| state.pins.pins.contains_key(model))
    }

    /// Starts to unload the replicas that a choice evicts.
    fn evict(&mut self, choice: &PlacementChoice, now: Moment) {
        for victim in &choice.evict {
            self.begin_unload(&choice.engine, victim, now);
        }
    }

    /// Adds a planned replica of `name` at an engine.
    fn add_replica(&mut self, name: &Name, engine: &Name, ctx: &Context<'_>) {
        let Some(model) = ctx.config.models.get(name) else {
            return;
        };
        let remote_time = self.load_time(name, ctx.config);
        self.load_count += 1;
        let load_id: Name = format!("{}-{}", self.id_prefix, self.load_count).into();
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let load_time = TierLoadRatios::default().load_time(remote_time, state.tier(name));
        let replica = Replica::planned(&model.version, model.memory, load_time, load_id, ctx.now);
        state.replicas.insert(name.clone(), replica);
    }

    /// Chooses the engine for one more replica of `name`.
    fn choose_engine(
        &self,
        name: &Name,
        model: &Model,
        ctx: &Context<'_>,
    ) -> Option<PlacementChoice> {
        let mut model_index = NameIndex::default();
        let request = self.placement_request(name, model, ctx.config, &mut model_index);
        let mut domain_index = NameIndex::default();
        let mut domain_counts: Vec<u32> = Vec::new();
        let engines: Vec<&Name> = self.engines.keys().collect();
        let mut candidates = Vec::new();
        for engine in &engines {
            candidates.push(self.eviction_candidates(engine, ctx, &mut model_index));
        }
        let mut targets = Vec::new();
        for (engine, evictable) in engines.iter().zip(&candidates) {
            let Some(engine_config) = ctx.config.engines.get(*engine) else {
                continue;
            };
            let state = &self.engines[*engine];
            let domain = domain_index.index_of(&engine_config.domain) as Domain;
            domain_counts.resize(domain_index.names.len(), 0);
            if state.replicas.get(name).is_some_and(|r| !r.is_unloading()) {
                domain_counts[usize::from(domain)] += 1;
            }
            targets.push(PlacementTarget {
                schedulable: self.accepts_load(engine, state, name, ctx),
                holds_model: state.replicas.contains_key(name),
                pinned: state.is_pinned(name),
                domain,
                free_memory: match state.spec.fenced || state.is_pinned(name) {
                    true => state.free_memory(),
                    false => self.pinnable_memory(state),
                },
                tier: state.tier(name),
                base: base_state(state, model),
                in_flight: state.report.running + state.report.waiting,
                slots: engine_config.slots,
                evictable,
            });
        }
        let mut options = PlacementOptions::from(&ctx.config.policy);
        options.pinned_only = !ctx.table_available || !self.can_pin(name, model);
        let plan = place_model(&request, &targets, &domain_counts, &options)?;
        Some(PlacementChoice::new(&plan, &engines, &model_index))
    }

    /// Returns whether an engine may get a load of `model` now.
    fn accepts_load(
        &self,
        engine: &Name,
        state: &OwnedEngine,
        model: &Name,
        ctx: &Context<'_>,
    ) -> bool {
        let avoided = self.tickets.by_model().any(|(name, mut tickets)| {
            name == model && tickets.all(|t| self.is_avoided(t, engine))
        });
        state.accepts_orders(ctx.now) && !state.is_leaving() && !avoided
    }

    fn placement_request(
        &self,
        name: &Name,
        model: &Model,
        config: &Config,
        model_index: &mut NameIndex,
    ) -> PlacementRequest {
        let base = model.base.as_ref().and_then(|base| {
            let known = config.models.get(base)?;
            Some(Weights {
                model: model_index.index_of(base),
                memory: known.memory,
                load_time: self.load_time(base, config),
            })
        });
        PlacementRequest {
            weights: Weights {
                model: model_index.index_of(name),
                memory: model.memory,
                load_time: self.load_time(name, config),
            },
            base,
            worth: model.worth,
        }
    }

    /// Returns the idle replicas of an engine that may be evicted, cheapest to reload first.
    fn eviction_candidates(
        &self,
        engine: &Name,
        ctx: &Context<'_>,
        model_index: &mut NameIndex,
    ) -> Vec<EvictionCandidate> {
        let state = &self.engines[engine];
        let mut candidates = Vec::new();
        for (name, replica) in &state.replicas {
            if !replica.is_ready() || !self.is_evictable(engine, name, ctx) {
                continue;
            }
            let history = self.histories.get(name).copied().unwrap_or_default();
            let facts = self.model_facts(engine, name, replica, ctx);
            candidates.push(EvictionCandidate {
                model: model_index.index_of(name),
                memory: replica.memory,
                cost: reload_cost(&history, &facts, &ctx.config.policy, ctx.now),
            });
        }
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        candidates
    }

    /// Returns whether a ready replica is neither in use nor has to be kept.
    fn is_evictable(&self, engine: &Name, model: &Name, ctx: &Context<'_>) -> bool {
        let facts = self.model_facts(engine, model, &self.engines[engine].replicas[model], ctx);
        !facts.busy && !facts.must_keep
    }

    /// Collects the facts about a ready replica that the unload decision needs.
    pub(super) fn model_facts(
        &self,
        engine: &Name,
        name: &Name,
        replica: &Replica,
        ctx: &Context<'_>,
    ) -> ModelFacts {
        let state = &self.engines[engine];
        let mut adapters = state.replicas.iter();
        let has_adapter = adapters.any(|(other, r)| {
            self.base_of(other, ctx.config) == Some(name)
                && r.phase != super::replica::Phase::Unloading
        });
        let model = ctx.config.models.get(name);
        let engine_config = ctx.config.engines.get(engine);
        let accelerators = engine_config.map_or(1.0, |e| f64::from(e.accelerators));
        let share = replica.memory as f64 / state.spec.memory.max(1) as f64;
        let warm = model.map_or(0, |m| m.warm) as usize;
        ModelFacts {
            busy: self.running_requests(name, engine) > 0
                || self.queued_requests(name) > 0
                || self.tickets.count_for(name) > 0,
            must_keep: has_adapter || (warm > 0 && self.replica_count(name) <= warm),
            idle_since: replica.idle_since,
            accelerators: accelerators * share,
            load_time: self.load_time(name, ctx.config),
            worth: model.map_or(1.0, |m| m.worth),
        }
    }

    /// Plans replicas of models that are kept warm or expected to be requested soon.
    pub(super) fn plan_preloads(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (name, model) in &ctx.config.models {
            if model.pool != self.name || model.limit == 0 {
                continue;
            }
            let usable = self.usable_count(name);
            if usable < model.warm as usize
                || (usable == 0 && self.should_preload(name, model, ctx))
            {
                due.push(name.clone());
            }
        }
        for name in due {
            self.plan_replica(&name, ctx, out);
        }
    }

    fn should_preload(&self, name: &Name, model: &Model, ctx: &Context<'_>) -> bool {
        let history = self.histories.get(name).copied().unwrap_or_default();
        let facts = ModelFacts {
            accelerators: self.accelerator_share(model, ctx.config),
            load_time: self.load_time(name, ctx.config),
            worth: model.worth,
            ..ModelFacts::default()
        };
        let policy = &ctx.config.policy;
        preload_reason(
            &history,
            &model.windows,
            &facts,
            policy,
            ctx.now,
            ctx.unix_time,
        )
        .is_some()
    }

    /// Returns the accelerators that a replica of `model` occupies, by its share of the memory of
    /// the first engine of the pool.
    fn accelerator_share(&self, model: &Model, config: &Config) -> f64 {
        let mut engines = config.engines.values().filter(|e| e.pool == self.name);
        let engine_config = engines.next();
        engine_config.map_or(1.0, |e| {
            f64::from(e.accelerators) * model.memory as f64 / e.memory.max(1) as f64
        })
    }

    /// Starts to drain a replica, which is then unloaded.
    pub(super) fn begin_unload(&mut self, engine: &Name, model: &Name, now: Moment) {
        let seq = self.seq + 1;
        let state = self.engines.get_mut(engine);
        let Some(replica) = state.and_then(|s| s.replicas.get_mut(model)) else {
            return;
        };
        replica.set_phase(super::replica::Phase::Draining { seq }, now);
        self.dirty = true;
    }
}

/// Chosen engine for a replica, and the replicas to evict there.
struct PlacementChoice {
    engine: Name,
    evict: Vec<Name>,
    /// Whether the base model of an adapter must be loaded there too.
    load_base: bool,
}

impl PlacementChoice {
    fn new(plan: &PlacementPlan, engines: &[&Name], model_index: &NameIndex) -> Self {
        let name = |index: &ModelIndex| model_index.names[*index as usize].clone();
        PlacementChoice {
            engine: engines[plan.engine].clone(),
            evict: plan.evict.iter().map(name).collect(),
            load_base: plan.load_base,
        }
    }
}

/// Returns the state of an adapter's base model at one engine.
fn base_state(state: &OwnedEngine, model: &Model) -> BaseState {
    let Some(base) = &model.base else {
        return BaseState::Absent;
    };
    match state.replicas.get(base) {
        Some(replica) if !replica.is_unloading() => BaseState::Loaded,
        Some(_) => BaseState::Absent,
        None if state.is_pinned(base) => BaseState::Pinned(state.tier(base)),
        None => BaseState::Absent,
    }
}

/// Returns whether the weights come from the weight store.
pub(super) fn is_remote(state: &OwnedEngine, model: &str) -> bool {
    state.tier(model) == Tier::Remote
}

/// Period of preloads, unloads and pin changes, which are not urgent.
pub(super) const PLANNING_PERIOD: Duration = Duration::from_millis(200);
