//! Which models to load next, and where.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::config::{Config, Model, Name};
use crate::decide::placement::place;
use crate::decide::rooms::{Base, Idle, ModelId, Placing, Plan, Room, TierShares, Wanted, Weights};
use crate::decide::routing::Domain;
use crate::decide::sleep::{Facts, ahead, wake_cost};
use crate::outside::Tier;

use super::replica::Replica;
use super::{Action, Context, OwnedEngine, Pool};

/// Numbers for names within one decision.
#[derive(Default)]
struct Numbers {
    names: Vec<Name>,
    known: BTreeMap<Name, u32>,
}

impl Numbers {
    fn of(&mut self, name: &Name) -> u32 {
        if let Some(number) = self.known.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.names.push(name.clone());
        self.known.insert(name.clone(), number);
        number
    }
}

impl Pool {
    /// Plans replicas for the models that requests wait for.
    pub(super) fn wake(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut wanted: Vec<Name> = Vec::new();
        for (model, _) in self.waiting.models() {
            wanted.push(model.clone());
        }
        wanted.sort_by(|a, b| {
            let stakes = (
                self.stake(b, ctx.config, ctx.now),
                self.stake(a, ctx.config, ctx.now),
            );
            stakes.0.total_cmp(&stakes.1)
        });
        for model in wanted {
            if self.usable(&model) > 0 && !self.avoided(&model) {
                continue;
            }
            self.plan(&model, ctx, out);
        }
        self.scale_out(ctx, out);
    }

    /// Whether a waiting request avoids every replica of `model`.
    fn avoided(&self, model: &Name) -> bool {
        let at: Vec<&Name> = self.holders(model).collect();
        let mut tickets = self.waiting.models().filter(|(name, _)| *name == model);
        let Some((_, mut tickets)) = tickets.next() else {
            return false;
        };
        tickets.any(|t| at.iter().all(|engine| self.avoids(t, engine)))
    }

    /// Engines with a replica of `model` that is ready or on its way.
    fn holders<'a>(&'a self, model: &'a Name) -> impl Iterator<Item = &'a Name> {
        let sides = self.sides.iter().filter(|(_, side)| {
            let replica = side.replicas.get(model);
            side.reachable() && !side.leaving() && replica.is_some_and(|r| !r.going())
        });
        sides.map(|(engine, _)| engine)
    }

    /// Replicas that take work or will.
    pub(super) fn usable(&self, model: &Name) -> usize {
        self.holders(model).count()
    }

    /// Replicas of `model` that count against its limit.
    pub(super) fn replicas(&self, model: &Name) -> usize {
        let sides = self.sides.values();
        sides.filter(|s| s.replicas.contains_key(model)).count()
    }

    /// Plans another replica for models whose requests wait for a slot.
    fn scale_out(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        for name in &self.queued_models() {
            let Some(model) = ctx.config.models.get(name) else {
                continue;
            };
            let have = self.usable(name);
            let coming = self
                .sides
                .values()
                .any(|s| s.replicas.get(name).is_some_and(Replica::coming));
            if have == 0 || coming || have >= model.limit as usize {
                continue;
            }
            self.plan(name, ctx, out);
        }
    }

    /// Plans one more replica of `model`; false when there is no room now.
    pub(super) fn plan(&mut self, name: &Name, ctx: &Context<'_>, out: &mut Vec<Action>) -> bool {
        let Some(model) = ctx.config.models.get(name) else {
            return false;
        };
        if self.replicas(name) >= model.limit as usize {
            return false;
        }
        let Some(choice) = self.choose(name, model, ctx) else {
            let base = model.base.as_ref().filter(|base| !self.pinned_at_all(base));
            return base.is_some_and(|base| self.plan(base, ctx, out));
        };
        log::debug!(
            "plan {name} at {} without {:?}",
            choice.engine,
            choice.evict
        );
        if !self.pinned(&choice.engine, name) {
            if !self.pin_now(name, model, &choice.engine, ctx, out) {
                self.clear(&choice, ctx.now);
            }
            return false;
        }
        self.clear(&choice, ctx.now);
        if choice.base {
            let base = model.base.clone().unwrap_or_default();
            self.add(&base, &choice.engine, ctx);
        }
        self.add(name, &choice.engine, ctx);
        true
    }

    fn pinned(&self, engine: &Name, model: &Name) -> bool {
        self.sides[engine].pinned(model)
    }

    /// Whether any engine has a pin of `model`.
    fn pinned_at_all(&self, model: &Name) -> bool {
        let mut sides = self.sides.values();
        sides.any(|side| side.pins.pins.contains_key(model))
    }

    /// Begins to unload what stands in the way of a choice.
    fn clear(&mut self, choice: &Choice, now: Moment) {
        for victim in &choice.evict {
            self.evict(&choice.engine, victim, now);
        }
    }

    fn add(&mut self, name: &Name, engine: &Name, ctx: &Context<'_>) {
        let Some(model) = ctx.config.models.get(name) else {
            return;
        };
        let remote = self.load_time(name, ctx.config);
        self.loads += 1;
        let id: Name = format!("{}-{}", self.prefix, self.loads).into();
        let Some(side) = self.sides.get_mut(engine) else {
            return;
        };
        let load = TierShares::default().time(remote, side.tier(name));
        let replica = Replica::planned(&model.version, model.memory, load, id, ctx.now);
        side.replicas.insert(name.clone(), replica);
    }

    fn choose(&self, name: &Name, model: &Model, ctx: &Context<'_>) -> Option<Choice> {
        let mut numbers = Numbers::default();
        let wanted = self.wanted(name, model, ctx.config, &mut numbers);
        let mut domains = Numbers::default();
        let mut taken: Vec<u32> = Vec::new();
        let engines: Vec<&Name> = self.sides.keys().collect();
        let mut idles = Vec::new();
        for engine in &engines {
            idles.push(self.idles(engine, ctx, &mut numbers));
        }
        let mut rooms = Vec::new();
        for (engine, idle) in engines.iter().zip(&idles) {
            let Some(told) = ctx.config.engines.get(*engine) else {
                continue;
            };
            let side = &self.sides[*engine];
            let domain = domains.of(&told.domain) as Domain;
            taken.resize(domains.names.len(), 0);
            if side.replicas.get(name).is_some_and(|r| !r.going()) {
                taken[usize::from(domain)] += 1;
            }
            rooms.push(Room {
                open: self.takes(engine, side, name, ctx),
                held: side.replicas.contains_key(name),
                pinned: side.pinned(name),
                domain,
                free: match side.room.fenced || side.pinned(name) {
                    true => side.free(),
                    false => self.pinnable(side),
                },
                tier: side.tier(name),
                base: base_at(side, model),
                load: side.report.running + side.report.waiting,
                slots: told.slots,
                idle,
            });
        }
        let mut how = Placing::from(&ctx.config.policy);
        how.pinned_only = !ctx.table || !self.may_move(name, model);
        let plan = place(&wanted, &rooms, &taken, &how)?;
        Some(Choice::new(&plan, &engines, &numbers))
    }

    /// Whether an engine may get a load of `model` now.
    fn takes(&self, engine: &Name, side: &OwnedEngine, model: &Name, ctx: &Context<'_>) -> bool {
        let avoided = self
            .waiting
            .models()
            .any(|(name, mut tickets)| name == model && tickets.all(|t| self.avoids(t, engine)));
        side.open(ctx.now) && !side.leaving() && !avoided
    }

    fn wanted(&self, name: &Name, model: &Model, config: &Config, numbers: &mut Numbers) -> Wanted {
        let base = model.base.as_ref().and_then(|base| {
            let known = config.models.get(base)?;
            Some(Weights {
                model: numbers.of(base),
                memory: known.memory,
                load: self.load_time(base, config),
            })
        });
        Wanted {
            weights: Weights {
                model: numbers.of(name),
                memory: model.memory,
                load: self.load_time(name, config),
            },
            base,
            worth: model.worth,
        }
    }

    /// Idle residents of an engine that may be evicted, cheapest first.
    fn idles(&self, engine: &Name, ctx: &Context<'_>, numbers: &mut Numbers) -> Vec<Idle> {
        let side = &self.sides[engine];
        let mut idles = Vec::new();
        for (name, replica) in &side.replicas {
            if !replica.ready() || !self.spare(engine, name, ctx) {
                continue;
            }
            let history = self.histories.get(name).copied().unwrap_or_default();
            let facts = self.facts(engine, name, replica, ctx);
            idles.push(Idle {
                model: numbers.of(name),
                memory: replica.memory,
                cost: wake_cost(&history, &facts, &ctx.config.policy, ctx.now),
            });
        }
        idles.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        idles
    }

    /// Whether a ready replica is neither in use nor needed.
    fn spare(&self, engine: &Name, model: &Name, ctx: &Context<'_>) -> bool {
        let facts = self.facts(engine, model, &self.sides[engine].replicas[model], ctx);
        !facts.busy && !facts.needed
    }

    /// What the decision to sleep needs to know of a ready replica.
    pub(super) fn facts(
        &self,
        engine: &Name,
        name: &Name,
        replica: &Replica,
        ctx: &Context<'_>,
    ) -> Facts {
        let side = &self.sides[engine];
        let mut adapters = side.replicas.iter();
        let beside = adapters.any(|(other, r)| {
            self.base_of(other, ctx.config) == Some(name)
                && r.phase != super::replica::Phase::Unloading
        });
        let model = ctx.config.models.get(name);
        let told = ctx.config.engines.get(engine);
        let accelerators = told.map_or(1.0, |e| f64::from(e.accelerators));
        let share = replica.memory as f64 / side.room.memory.max(1) as f64;
        let warm = model.map_or(0, |m| m.warm) as usize;
        Facts {
            busy: self.running(name, engine) > 0
                || self.queued(name) > 0
                || self.waiting.count(name) > 0,
            needed: beside || (warm > 0 && self.replicas(name) <= warm),
            idle_since: replica.idle,
            accelerators: accelerators * share,
            load: self.load_time(name, ctx.config),
            worth: model.map_or(1.0, |m| m.worth),
        }
    }

    /// Plans replicas that are kept warm or expected to be needed.
    pub(super) fn load_ahead(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (name, model) in &ctx.config.models {
            if model.pool != self.name || model.limit == 0 {
                continue;
            }
            let have = self.usable(name);
            if have < model.warm as usize || (have == 0 && self.expected(name, model, ctx)) {
                due.push(name.clone());
            }
        }
        for name in due {
            self.plan(&name, ctx, out);
        }
    }

    fn expected(&self, name: &Name, model: &Model, ctx: &Context<'_>) -> bool {
        let history = self.histories.get(name).copied().unwrap_or_default();
        let facts = Facts {
            accelerators: self.typical_share(model, ctx.config),
            load: self.load_time(name, ctx.config),
            worth: model.worth,
            ..Facts::default()
        };
        let policy = &ctx.config.policy;
        ahead(&history, &model.windows, &facts, policy, ctx.now, ctx.unix).is_some()
    }

    /// Accelerators that a replica of `model` takes on an engine of the pool.
    fn typical_share(&self, model: &Model, config: &Config) -> f64 {
        let mut engines = config.engines.values().filter(|e| e.pool == self.name);
        let told = engines.next();
        told.map_or(1.0, |e| {
            f64::from(e.accelerators) * model.memory as f64 / e.memory.max(1) as f64
        })
    }

    /// Begins to unload a ready replica.
    pub(super) fn evict(&mut self, engine: &Name, model: &Name, now: Moment) {
        let seq = self.seq + 1;
        let side = self.sides.get_mut(engine);
        let Some(replica) = side.and_then(|s| s.replicas.get_mut(model)) else {
            return;
        };
        replica.enter(super::replica::Phase::Draining { seq }, now);
        self.dirty = true;
    }
}

/// Where a model goes.
struct Choice {
    engine: Name,
    evict: Vec<Name>,
    base: bool,
}

impl Choice {
    fn new(plan: &Plan, engines: &[&Name], numbers: &Numbers) -> Self {
        let name = |id: &ModelId| numbers.names[*id as usize].clone();
        Choice {
            engine: engines[plan.engine].clone(),
            evict: plan.evict.iter().map(name).collect(),
            base: plan.base,
        }
    }
}

/// The base model of an adapter at one engine.
fn base_at(side: &OwnedEngine, model: &Model) -> Base {
    let Some(base) = &model.base else {
        return Base::Absent;
    };
    match side.replicas.get(base) {
        Some(replica) if !replica.going() => Base::Loaded,
        Some(_) => Base::Absent,
        None if side.pinned(base) => Base::Pinned(side.tier(base)),
        None => Base::Absent,
    }
}

/// Whether the weights come from the weight store.
pub(super) fn remote(side: &OwnedEngine, model: &str) -> bool {
    side.tier(model) == Tier::Remote
}

/// Period of the decisions that are not urgent.
pub(super) const PERIOD: Duration = Duration::from_millis(200);
