//! Lifecycle steps of replicas, and the choice of replicas to unload.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::decide::sleep::{UnloadDecision, decide_unload};
use crate::outside::{Order, Verb};
use crate::protocol::ownership::{Grant, Recorded};

use super::placement::{PLANNING_PERIOD, is_remote};
use super::replica::{Phase, Replica};
use super::{Action, Context, PinWrite, Pool};

/// Age from which a plan is dropped unless requests still wait for it.
const PLAN_MAX_AGE: Duration = Duration::from_secs(5);

impl Pool {
    /// Returns whether the periodic planning is due at `now` and, if so, marks it as done.
    pub(super) fn take_due_planning(&mut self, now: Moment) -> bool {
        let due = self
            .last_planning
            .is_none_or(|last| now.saturating_sub(last) >= PLANNING_PERIOD);
        if due {
            self.last_planning = Some(now);
        }
        due
    }

    /// Writes the new instance of each engine that restarted to the table.
    pub(super) fn adopt_instances(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        if !ctx.table_available {
            return;
        }
        for (engine, state) in &mut self.engines {
            if !state.needs_adoption() {
                continue;
            }
            let pins = state.pins.adopt(&state.report.instance);
            state.pending_pins = Some(pins.clone());
            out.push(Action::WritePins(vec![PinWrite {
                engine: engine.clone(),
                pins,
                item_version: state.item_version,
            }]));
        }
    }

    /// Sends a fence order to each engine whose fencing token must be raised.
    pub(super) fn raise_tokens(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        for (engine, state) in &mut self.engines {
            if !state.is_reachable() || ctx.now < state.paused_until {
                continue;
            }
            if let Some(grant) = state.grant_fence() {
                out.push(order_action(engine, grant, None, ctx.config));
            }
        }
    }

    /// Takes the next lifecycle step of each replica.
    pub(super) fn advance_replicas(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let engines: Vec<Name> = self.engines.keys().cloned().collect();
        for engine in engines {
            let models: Vec<Name> = self.engines[&engine].replicas.keys().cloned().collect();
            for model in models {
                self.advance_replica(&engine, &model, ctx, out);
            }
        }
    }

    fn advance_replica(
        &mut self,
        engine: &Name,
        model: &Name,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) {
        let state = &self.engines[engine];
        if !state.accepts_orders(ctx.now) {
            return;
        }
        match state.replicas[model].phase {
            Phase::Planned => self.request_permit(engine, model, ctx, out),
            Phase::Permitted => self.order_load(engine, model, ctx, out),
            Phase::Draining { seq } if self.is_drained(engine, model, seq) => {
                self.order_unload(engine, model, ctx, out);
            }
            _ => {}
        }
    }

    /// Returns whether no daemon uses the replica and none will start to.
    fn is_drained(&self, engine: &Name, model: &Name, seq: u64) -> bool {
        self.all_acknowledged(seq)
            && self.running_requests(model, engine) == 0
            && self.no_departed_requests(engine)
    }

    /// Requests a permit once there is memory and the base model is ready; a load from the engine's
    /// own caches needs none and is ordered at once.
    fn request_permit(
        &mut self,
        engine: &Name,
        model: &Name,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) {
        if !self.has_memory_for(engine, model) || !self.is_base_ready(engine, model, ctx.config) {
            return;
        }
        let value_density = self.value_density(model, ctx.config, ctx.now);
        let adapter = self.base_of(model, ctx.config).is_some();
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let remote = is_remote(state, model);
        let Some(replica) = state.replicas.get_mut(model) else {
            return;
        };
        if !remote {
            replica.set_phase(Phase::Permitted, ctx.now);
            self.order_load(engine, model, ctx, out);
            return;
        }
        replica.set_phase(Phase::PermitRequested, ctx.now);
        out.push(Action::RequestPermit {
            load: replica.load_id.clone(),
            adapter,
            value_density,
            running: false,
        });
    }

    /// Returns whether the engine has memory for the planned replica.
    fn has_memory_for(&self, engine: &Name, model: &Name) -> bool {
        let state = &self.engines[engine];
        let Some(ledger) = &state.ledger else {
            return false;
        };
        if !state.spec.fenced || ledger.is_resident(model) {
            return true;
        }
        let reserved: u64 = state
            .replicas
            .iter()
            .filter(|(name, r)| {
                matches!(r.phase, Phase::PermitRequested | Phase::Permitted)
                    && !ledger.is_resident(name)
            })
            .map(|(_, r)| r.memory)
            .sum();
        ledger.memory() + reserved + state.replicas[model].memory <= state.spec.memory
    }

    fn is_base_ready(&self, engine: &Name, model: &Name, config: &Config) -> bool {
        let Some(base) = self.base_of(model, config) else {
            return true;
        };
        let replica = self.engines[engine].replicas.get(base);
        replica.is_some_and(Replica::is_ready)
    }

    fn order_load(
        &mut self,
        engine: &Name,
        model: &Name,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let grant = match state.grant_load(model) {
            Ok(grant) => grant,
            Err(e) => {
                log::debug!("load of {model} at engine {engine} must wait: {e}");
                return;
            }
        };
        if let Some(replica) = state.replicas.get_mut(model) {
            replica.set_phase(Phase::Loading, ctx.now);
        }
        out.push(order_action(engine, grant, Some(model), ctx.config));
    }

    fn order_unload(
        &mut self,
        engine: &Name,
        model: &Name,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let Ok(grant) = state.grant_unload(model) else {
            return;
        };
        if let Some(replica) = state.replicas.get_mut(model) {
            replica.set_phase(Phase::Unloading, ctx.now);
        }
        out.push(order_action(engine, grant, Some(model), ctx.config));
    }

    /// Starts to unload replicas that are idle, outdated, surplus or not configured, and drops
    /// plans that are no longer useful.
    pub(super) fn unload_unneeded(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        self.drop_stale_plans(ctx, out);
        let mut due = Vec::new();
        for (engine, state) in &self.engines {
            for (model, replica) in &state.replicas {
                if replica.is_ready() && self.should_unload(engine, model, replica, ctx) {
                    due.push((engine.clone(), model.clone()));
                }
            }
        }
        for (engine, model) in due {
            if self.has_adapters(&engine, &model, ctx.config) {
                continue;
            }
            self.begin_unload(&engine, &model, ctx.now);
        }
    }

    /// Drops plans that no request waits for any more, whose pin was removed, or whose base model
    /// is not usable.
    fn drop_stale_plans(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut dropped = Vec::new();
        for (engine, state) in &self.engines {
            for (model, replica) in &state.replicas {
                let is_unpermitted =
                    matches!(replica.phase, Phase::Planned | Phase::PermitRequested);
                let pin_lost = replica.is_reserved() && !state.is_pinned(model);
                let base_unusable = is_unpermitted
                    && self.is_base_unusable(engine, self.base_of(model, ctx.config), ctx);
                let expired = ctx.now.saturating_sub(replica.phase_since) >= PLAN_MAX_AGE;
                let is_stale = expired && !self.is_needed(model, ctx);
                if pin_lost || base_unusable || (is_unpermitted && is_stale) {
                    dropped.push((engine.clone(), model.clone(), replica.load_id.clone()));
                }
            }
        }
        for (engine, model, load) in dropped {
            if let Some(state) = self.engines.get_mut(&engine) {
                state.replicas.remove(&model);
            }
            out.push(Action::ReleasePermit { load });
        }
    }

    /// Returns whether requests wait for a model, an adapter of it has a replica, or it is kept
    /// warm.
    fn is_needed(&self, model: &Name, ctx: &Context<'_>) -> bool {
        let warm = ctx.config.models.get(model).map_or(0, |m| m.warm) > 0;
        let has_waiting =
            |name: &Name| self.tickets.count_for(name) > 0 || self.queued_requests(name) > 0;
        let mut replicas = self.engines.values().flat_map(|s| s.replicas.keys());
        let has_adapter = replicas.any(|r| self.base_of(r, ctx.config) == Some(model));
        warm || has_adapter || has_waiting(model)
    }

    fn has_adapters(&self, engine: &Name, model: &Name, config: &Config) -> bool {
        let mut replicas = self.engines[engine].replicas.keys();
        replicas.any(|other| self.base_of(other, config) == Some(model))
    }

    fn should_unload(
        &self,
        engine: &Name,
        name: &Name,
        replica: &Replica,
        ctx: &Context<'_>,
    ) -> bool {
        let Some(model) = ctx.config.models.get(name) else {
            return true;
        };
        if model.version != replica.version || self.replica_count(name) > model.limit as usize {
            return true;
        }
        if self.is_base_unusable(engine, model.base.as_ref(), ctx) {
            return true;
        }
        if self.engines[engine].is_leaving() {
            return self.can_unload_leaving(name, model.limit, ctx);
        }
        if crate::decide::sleep::upcoming_window(&model.windows, replica.load_time, ctx.unix_time)
            .is_some()
        {
            return false;
        }
        let facts = self.model_facts(engine, name, replica, ctx);
        let history = self.histories.get(name).copied().unwrap_or_default();
        decide_unload(&history, &facts, &ctx.config.policy, ctx.now) == UnloadDecision::Unload
    }

    /// Returns whether a replica at a leaving engine may be unloaded: another one is ready, none is
    /// needed, or the replica limit permits another one only after this one is unloaded.
    fn can_unload_leaving(&self, name: &Name, limit: u32, ctx: &Context<'_>) -> bool {
        let ready_elsewhere = !self.ready_engines(name).is_empty();
        ready_elsewhere || self.replica_count(name) >= limit as usize || !self.is_needed(name, ctx)
    }

    /// Returns whether the base model that an adapter needs at an engine is missing, outdated or
    /// surplus.
    fn is_base_unusable(&self, engine: &Name, base: Option<&Name>, ctx: &Context<'_>) -> bool {
        let Some(base) = base else {
            return false;
        };
        let Some(replica) = self.engines[engine].replicas.get(base) else {
            return true;
        };
        let Some(model) = ctx.config.models.get(base) else {
            return true;
        };
        model.version != replica.version || self.replica_count(base) > model.limit as usize
    }
}

/// Builds the action that sends the order of `grant`.
fn order_action(
    engine: &Name,
    grant: Grant<Recorded>,
    model: Option<&Name>,
    config: &Config,
) -> Action {
    let model_config = model.and_then(|m| config.models.get(m));
    let order = Order {
        verb: grant.verb,
        model: model.cloned().unwrap_or_default(),
        version: model_config.map_or_else(Name::default, |m| m.version.clone()),
        base: model_config.and_then(|m| m.base.clone()),
        memory: match grant.verb {
            Verb::Load => model_config.map_or(0, |m| m.memory),
            Verb::Unload | Verb::Fence => 0,
        },
        token: grant.token.0,
        instance: grant.instance.clone(),
    };
    Action::Order {
        engine: engine.clone(),
        grant,
        order,
    }
}
