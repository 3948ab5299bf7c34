//! Pin records: which pins to add in advance, to move and to release.

use std::collections::BTreeSet;

use crate::config::{Model, Name};
use crate::decide::sleep::ArrivalHistory;
use crate::protocol::ownership::{
    EnginePins, PinDenied, PinRelease, PinRequest, PoolPins, check_pin,
};

use super::replica::Replica;
use super::{Action, Context, OwnedEngine, PinWrite, Pool};

/// Most pins that one write adds, which bounds its size and duration.
const MAX_PINS_PER_WRITE: usize = 256;

impl Pool {
    /// Adds pins for models without one, releases surplus pins, and moves pins of adapters to an
    /// engine where their base model is pinned.
    pub(super) fn maintain_pins(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        if !ctx.table_available {
            return;
        }
        self.release_surplus_pins(ctx, out);
        let mut all = self.pool_pins();
        let mut changed: Vec<Name> = Vec::new();
        let mut added = 0;
        for (name, model) in &ctx.config.models {
            if model.pool != self.name || model.limit == 0 || added >= MAX_PINS_PER_WRITE {
                continue;
            }
            if all.values().any(|p| p.pins.contains_key(name)) {
                continue;
            }
            let Some(engine) = self.least_pinned_engine(name, model, &all, ctx) else {
                continue;
            };
            let record = all.entry(engine.clone()).or_default();
            *record = record.with_pin(name, model.memory, self.epoch);
            added += 1;
            if !changed.contains(&engine) {
                changed.push(engine);
            }
        }
        for engine in changed {
            let pins = all[&engine].clone();
            self.write_pins(vec![(engine, pins)], out);
        }
        self.move_adapter_pins(ctx, out);
    }

    /// Moves pins of adapters to engines where their base model is pinned, in one transaction.
    ///
    /// The pins are moved ahead of need: an adapter whose base model is not pinned on the same
    /// engine can be loaded only after another pin write, and a pin in doubt can no longer be moved.
    fn move_adapter_pins(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut all = self.pool_pins();
        let mut changed: BTreeSet<Name> = BTreeSet::new();
        let mut moved = 0;
        for (name, model) in &ctx.config.models {
            if model.pool != self.name
                || moved >= MAX_PINS_PER_WRITE
                || !is_apart_from_base(&all, name, model)
            {
                continue;
            }
            let Some(from) = self.releasable_engine(name) else {
                continue;
            };
            let before = all[&from].clone();
            all.insert(from.clone(), before.without_pin(name));
            let Some(to) = self.least_pinned_engine(name, model, &all, ctx) else {
                all.insert(from, before);
                continue;
            };
            let record = all[&to].with_pin(name, model.memory, self.epoch);
            all.insert(to.clone(), record);
            changed.extend([from, to]);
            moved += 1;
        }
        let records = changed.into_iter().map(|engine| {
            let pins = all[&engine].clone();
            (engine, pins)
        });
        self.write_pins(records.collect(), out);
    }

    /// Returns the engine with the smallest share of pinned memory that may get the pin; an adapter
    /// needs a pin of its base model there.
    fn least_pinned_engine(
        &self,
        name: &Name,
        model: &Model,
        all: &PoolPins,
        ctx: &Context<'_>,
    ) -> Option<Name> {
        let mut best: Option<(u64, &Name)> = None;
        for (engine, state) in &self.engines {
            if state.is_writing() || state.is_leaving() || state.ledger.is_none() {
                continue;
            }
            let no_pins = EnginePins::default();
            let record = all.get(engine).unwrap_or(&no_pins);
            if let Some(base) = &model.base
                && !record.pins.contains_key(base)
            {
                continue;
            }
            if check_pin(all, &pin_request(name, model, engine), state.spec).is_err() {
                continue;
            }
            let size = ctx
                .config
                .engines
                .get(engine)
                .map_or(1, |e| e.memory.max(1));
            let fill_permille = record.memory() * 1_000 / size;
            if best.is_none_or(|(least, _)| fill_permille < least) {
                best = Some((fill_permille, engine));
            }
        }
        best.map(|(_, engine)| engine.clone())
    }

    /// Returns whether a pin of the model may be added, or an existing one moved.
    pub(super) fn can_pin(&self, name: &Name, model: &Model) -> bool {
        let pins = self
            .engines
            .values()
            .filter(|s| s.pins.pins.contains_key(name));
        if pins.count() < model.limit as usize {
            return true;
        }
        self.releasable_engine(name).is_some()
    }

    /// Returns an engine whose pin of `name` may be removed now.
    fn releasable_engine(&self, name: &Name) -> Option<Name> {
        for (engine, state) in &self.engines {
            if state.is_writing() || !state.pins.pins.contains_key(name) {
                continue;
            }
            if state.replicas.contains_key(name) {
                continue;
            }
            let Some(ledger) = &state.ledger else {
                continue;
            };
            let release = PinRelease {
                model: name,
                restarted: false,
                host_removed: state.host_removed,
                ledger,
            };
            if release.allowed() {
                return Some(engine.clone());
            }
        }
        None
    }

    /// Returns whether `name` is certainly not loaded at an engine.
    fn is_unloaded(&self, state: &OwnedEngine, name: &Name) -> bool {
        let ledger = state.ledger.as_ref();
        !state.replicas.contains_key(name) && ledger.is_some_and(|l| l.is_unloaded(name))
    }

    /// Returns the memory in MB for a new pin at an engine that ignores fencing tokens, once the
    /// pins of models that are unloaded or unloading there are released.
    pub(super) fn pinnable_memory(&self, state: &OwnedEngine) -> u64 {
        let mut in_use = 0;
        for (name, pin) in &state.pins.pins {
            let unloading = state.replicas.get(name).is_some_and(Replica::is_unloading);
            if !unloading && !self.is_unloaded(state, name) {
                in_use += pin.memory;
            }
        }
        state.spec.memory.saturating_sub(in_use)
    }

    /// Returns the models without a replica at an engine whose pins may be released for another
    /// model, least recently requested first.
    fn releasable_models(&self, engine: &Name) -> Vec<Name> {
        let state = &self.engines[engine];
        let mut releasable = Vec::new();
        for name in state.pins.pins.keys() {
            let requested = self.tickets.count_for(name) > 0 || self.queued_requests(name) > 0;
            if !requested && self.is_unloaded(state, name) {
                releasable.push(name.clone());
            }
        }
        releasable.sort_by_key(|name| {
            self.histories
                .get(name)
                .and_then(ArrivalHistory::last_arrival)
        });
        releasable
    }

    /// Writes a pin of `name` at `engine`; returns false if replicas must first be unloaded there
    /// to free memory for it.
    ///
    /// Moves an existing pin if the model has reached its limit, and releases pins of unloaded
    /// models if these take up the memory.
    pub(super) fn write_pin(
        &mut self,
        name: &Name,
        model: &Model,
        engine: &Name,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) -> bool {
        if !ctx.table_available || self.engines[engine].is_writing() {
            return true;
        }
        let mut all = self.pool_pins();
        let mut writes = Vec::new();
        let spec = self.engines[engine].spec;
        let request = pin_request(name, model, engine);
        if matches!(
            check_pin(&all, &request, spec),
            Err(PinDenied::Limit { .. })
        ) {
            let Some(from) = self.releasable_engine(name) else {
                return true;
            };
            let record = all.entry(from.clone()).or_default();
            *record = record.without_pin(name);
            writes.push((from.clone(), record.clone()));
        }
        for candidate in self.releasable_models(engine) {
            if check_pin(&all, &request, spec).is_ok() {
                break;
            }
            let record = all.entry(engine.clone()).or_default();
            *record = record.without_pin(&candidate);
        }
        if check_pin(&all, &request, spec).is_err() {
            return false;
        }
        let record = all.entry(engine.clone()).or_default();
        writes.push((
            engine.clone(),
            record.with_pin(name, model.memory, self.epoch),
        ));
        self.write_pins(writes, out);
        true
    }

    /// Releases pins above the limit of their model, and pins of models that are no longer
    /// configured or whose memory has changed.
    fn release_surplus_pins(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut writes: Vec<(Name, EnginePins)> = Vec::new();
        for (engine, state) in &self.engines {
            if state.is_writing() {
                continue;
            }
            for (name, pin) in &state.pins.pins {
                let model = ctx.config.models.get(name);
                let limit = model.map_or(0, |m| m.limit) as usize;
                let resized = model.is_some_and(|m| m.memory != pin.memory);
                let pinned = self
                    .engines
                    .values()
                    .filter(|s| s.pins.pins.contains_key(name));
                if pinned.count() <= limit && !resized {
                    continue;
                }
                if self.releasable_engine(name).as_ref() != Some(engine) {
                    continue;
                }
                writes.push((engine.clone(), state.pins.without_pin(name)));
                break;
            }
        }
        for write in writes {
            self.write_pins(vec![write], out);
        }
    }

    fn write_pins(&mut self, records: Vec<(Name, EnginePins)>, out: &mut Vec<Action>) {
        let mut writes = Vec::new();
        for (engine, pins) in records {
            let Some(state) = self.engines.get_mut(&engine) else {
                continue;
            };
            state.pending_pins = Some(pins.clone());
            writes.push(PinWrite {
                engine,
                pins,
                item_version: state.item_version,
            });
        }
        if !writes.is_empty() {
            out.push(Action::WritePins(writes));
        }
    }
}

/// Returns whether an adapter has pins, but none at an engine where its base model is pinned.
fn is_apart_from_base(all: &PoolPins, name: &Name, model: &Model) -> bool {
    let Some(base) = &model.base else {
        return false;
    };
    let mut pinned = false;
    for record in all.values() {
        let pinned_here = record.pins.contains_key(name);
        if pinned_here && record.pins.contains_key(base) {
            return false;
        }
        pinned |= pinned_here;
    }
    pinned
}

fn pin_request<'a>(name: &'a Name, model: &Model, engine: &'a Name) -> PinRequest<'a> {
    PinRequest {
        model: name,
        engine,
        memory: model.memory,
        limit: model.limit,
    }
}
