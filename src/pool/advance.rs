//! The next step of each replica, and which replicas have to go.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::decide::sleep::{Verdict, verdict};
use crate::outside::{Order, Verb};
use crate::protocol::ownership::{Grant, Recorded};

use super::place::{PERIOD, remote};
use super::replica::{Phase, Replica};
use super::{Action, Context, PinWrite, Pool};

/// Age of a plan from which on it needs somebody who waits for it.
const STALE: Duration = Duration::from_secs(5);

impl Pool {
    /// Whether the decisions that are not urgent are due.
    pub(super) fn due(&mut self, now: Moment) -> bool {
        let due = self
            .planned
            .is_none_or(|last| now.saturating_sub(last) >= PERIOD);
        if due {
            self.planned = Some(now);
        }
        due
    }

    /// Records the new instance of each engine that restarted.
    pub(super) fn adopt(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        if !ctx.table {
            return;
        }
        for (engine, side) in &mut self.sides {
            if !side.must_adopt() {
                continue;
            }
            let pins = side.pins.adopt(&side.report.instance);
            side.pending = Some(pins.clone());
            out.push(Action::Write(vec![PinWrite {
                engine: engine.clone(),
                pins,
                item: side.item,
            }]));
        }
    }

    /// Raises the fencing token where it is due.
    pub(super) fn fence(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        for (engine, side) in &mut self.sides {
            if !side.reachable() || ctx.now < side.paused {
                continue;
            }
            if let Some(grant) = side.fence() {
                out.push(order(engine, grant, None, ctx.config));
            }
        }
    }

    /// Takes each replica one step further.
    pub(super) fn advance(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let engines: Vec<Name> = self.sides.keys().cloned().collect();
        for engine in engines {
            let models: Vec<Name> = self.sides[&engine].replicas.keys().cloned().collect();
            for model in models {
                self.step(&engine, &model, ctx, out);
            }
        }
    }

    fn step(&mut self, engine: &Name, model: &Name, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let side = &self.sides[engine];
        if !side.open(ctx.now) {
            return;
        }
        match side.replicas[model].phase {
            Phase::Planned => self.ask(engine, model, ctx, out),
            Phase::Permitted => self.load(engine, model, ctx, out),
            Phase::Draining { seq } if self.drained(engine, model, seq) => {
                self.unload(engine, model, ctx, out);
            }
            _ => {}
        }
    }

    /// Whether no daemon uses the replica or will start to.
    fn drained(&self, engine: &Name, model: &Name, seq: u64) -> bool {
        self.seen(seq) && self.running(model, engine) == 0 && self.abandoned(engine)
    }

    /// Asks for a permit once there is room and the base model is ready.
    fn ask(&mut self, engine: &Name, model: &Name, ctx: &Context<'_>, out: &mut Vec<Action>) {
        if !self.fits(engine, model) || !self.base_ready(engine, model, ctx.config) {
            return;
        }
        let stake = self.stake(model, ctx.config, ctx.now);
        let adapter = self.base_of(model, ctx.config).is_some();
        let Some(side) = self.sides.get_mut(engine) else {
            return;
        };
        let store = remote(side, model);
        let Some(replica) = side.replicas.get_mut(model) else {
            return;
        };
        if !store {
            replica.enter(Phase::Permitted, ctx.now);
            self.load(engine, model, ctx, out);
            return;
        }
        replica.enter(Phase::Asked, ctx.now);
        out.push(Action::Ask {
            load: replica.id.clone(),
            adapter,
            stake,
            running: false,
        });
    }

    /// Whether the engine has memory for the planned replica.
    fn fits(&self, engine: &Name, model: &Name) -> bool {
        let side = &self.sides[engine];
        let Some(ledger) = &side.ledger else {
            return false;
        };
        if !side.room.fenced || ledger.is_resident(model) {
            return true;
        }
        let under_way: u64 = side
            .replicas
            .iter()
            .filter(|(name, r)| {
                matches!(r.phase, Phase::Asked | Phase::Permitted) && !ledger.is_resident(name)
            })
            .map(|(_, r)| r.memory)
            .sum();
        ledger.memory() + under_way + side.replicas[model].memory <= side.room.memory
    }

    fn base_ready(&self, engine: &Name, model: &Name, config: &Config) -> bool {
        let Some(base) = self.base_of(model, config) else {
            return true;
        };
        let replica = self.sides[engine].replicas.get(base);
        replica.is_some_and(Replica::ready)
    }

    fn load(&mut self, engine: &Name, model: &Name, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let Some(side) = self.sides.get_mut(engine) else {
            return;
        };
        let grant = match side.load(model) {
            Ok(grant) => grant,
            Err(e) => {
                log::debug!("load of {model} at {engine} waits: {e}");
                return;
            }
        };
        if let Some(replica) = side.replicas.get_mut(model) {
            replica.enter(Phase::Loading, ctx.now);
        }
        out.push(order(engine, grant, Some(model), ctx.config));
    }

    fn unload(&mut self, engine: &Name, model: &Name, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let Some(side) = self.sides.get_mut(engine) else {
            return;
        };
        let Ok(grant) = side.unload(model) else {
            return;
        };
        if let Some(replica) = side.replicas.get_mut(model) {
            replica.enter(Phase::Unloading, ctx.now);
        }
        out.push(order(engine, grant, Some(model), ctx.config));
    }

    /// Begins to unload what is idle, outdated, surplus or unknown, and gives
    /// up plans that have become pointless.
    pub(super) fn retire(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        self.give_up(ctx, out);
        let mut due = Vec::new();
        for (engine, side) in &self.sides {
            for (model, replica) in &side.replicas {
                if replica.ready() && self.must_go(engine, model, replica, ctx) {
                    due.push((engine.clone(), model.clone()));
                }
            }
        }
        for (engine, model) in due {
            if self.has_adapters(&engine, &model, ctx.config) {
                continue;
            }
            self.evict(&engine, &model, ctx.now);
        }
    }

    /// Drops plans that nobody waits for any more, whose pin is gone, or whose
    /// base model does not come.
    fn give_up(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut dropped = Vec::new();
        for (engine, side) in &self.sides {
            for (model, replica) in &side.replicas {
                let waits = matches!(replica.phase, Phase::Planned | Phase::Asked);
                let lost = replica.reserved() && !side.pinned(model);
                let alone = waits && self.base_going(engine, self.base_of(model, ctx.config), ctx);
                let old = ctx.now.saturating_sub(replica.since) >= STALE;
                let pointless = old && !self.wanted_now(model, ctx);
                if lost || alone || (waits && pointless) {
                    dropped.push((engine.clone(), model.clone(), replica.id.clone()));
                }
            }
        }
        for (engine, model, load) in dropped {
            if let Some(side) = self.sides.get_mut(&engine) {
                side.replicas.remove(&model);
            }
            out.push(Action::Done { load });
        }
    }

    /// Whether requests wait for a model or an adapter of it, or it is kept warm.
    fn wanted_now(&self, model: &Name, ctx: &Context<'_>) -> bool {
        let warm = ctx.config.models.get(model).map_or(0, |m| m.warm) > 0;
        let waits = |name: &Name| self.waiting.count(name) > 0 || self.queued(name) > 0;
        let mut replicas = self.sides.values().flat_map(|s| s.replicas.keys());
        let beside = replicas.any(|r| self.base_of(r, ctx.config) == Some(model));
        warm || beside || waits(model)
    }

    fn has_adapters(&self, engine: &Name, model: &Name, config: &Config) -> bool {
        let mut replicas = self.sides[engine].replicas.keys();
        replicas.any(|other| self.base_of(other, config) == Some(model))
    }

    fn must_go(&self, engine: &Name, name: &Name, replica: &Replica, ctx: &Context<'_>) -> bool {
        let Some(model) = ctx.config.models.get(name) else {
            return true;
        };
        if model.version != replica.version || self.replicas(name) > model.limit as usize {
            return true;
        }
        if self.base_going(engine, model.base.as_ref(), ctx) {
            return true;
        }
        if self.sides[engine].leaving() {
            return self.replaced(name, model.limit, ctx);
        }
        if crate::decide::sleep::window(&model.windows, replica.load, ctx.unix).is_some() {
            return false;
        }
        let facts = self.facts(engine, name, replica, ctx);
        let history = self.histories.get(name).copied().unwrap_or_default();
        verdict(&history, &facts, &ctx.config.policy, ctx.now) == Verdict::Unload
    }

    /// Whether a replica at a leaving engine may go: another one is ready, none
    /// is needed, or the limit leaves no room for one before it goes.
    fn replaced(&self, name: &Name, limit: u32, ctx: &Context<'_>) -> bool {
        let other = !self.ready_at(name).is_empty();
        other || self.replicas(name) >= limit as usize || !self.wanted_now(name, ctx)
    }

    /// Whether the base model beside an adapter is outdated or surplus.
    fn base_going(&self, engine: &Name, base: Option<&Name>, ctx: &Context<'_>) -> bool {
        let Some(base) = base else {
            return false;
        };
        let Some(replica) = self.sides[engine].replicas.get(base) else {
            return true;
        };
        let Some(model) = ctx.config.models.get(base) else {
            return true;
        };
        model.version != replica.version || self.replicas(base) > model.limit as usize
    }
}

/// The order that belongs to `grant`.
fn order(engine: &Name, grant: Grant<Recorded>, model: Option<&Name>, config: &Config) -> Action {
    let told = model.and_then(|m| config.models.get(m));
    let order = Order {
        verb: grant.verb,
        model: model.cloned().unwrap_or_default(),
        version: told.map_or_else(Name::default, |m| m.version.clone()),
        base: told.and_then(|m| m.base.clone()),
        memory: match grant.verb {
            Verb::Load => told.map_or(0, |m| m.memory),
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
