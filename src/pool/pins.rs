//! Pins: which to record ahead of need, and which to move or release.

use std::collections::BTreeSet;

use crate::config::{Model, Name};
use crate::decide::sleep::History;
use crate::protocol::ownership::{
    EnginePins, PinDenied, PinRelease, PinRequest, PoolPins, check_pin,
};

use super::replica::Replica;
use super::{Action, Context, PinWrite, Pool, Side};

/// Most pins that one write adds, so that its record and its time stay bounded.
const BATCH: usize = 256;

impl Pool {
    /// Records pins for models without one, releases surplus ones, and moves
    /// those of adapters that have none beside their base.
    pub(super) fn pin_ahead(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        if !ctx.table {
            return;
        }
        self.release_surplus(ctx, out);
        let mut all = self.pool_pins();
        let mut changed: Vec<Name> = Vec::new();
        let mut added = 0;
        for (name, model) in &ctx.config.models {
            if model.pool != self.name || model.limit == 0 || added >= BATCH {
                continue;
            }
            if all.values().any(|p| p.pins.contains_key(name)) {
                continue;
            }
            let Some(engine) = self.roomiest(name, model, &all, ctx) else {
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
            self.write(vec![(engine, pins)], out);
        }
        self.rejoin(ctx, out);
    }

    /// Moves pins of adapters to pins of their base, in one transaction: where
    /// the base has lost its pin, the adapter cannot wake without a write, and
    /// a pin in doubt could not move any more.
    fn rejoin(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut all = self.pool_pins();
        let mut changed: BTreeSet<Name> = BTreeSet::new();
        let mut moved = 0;
        for (name, model) in &ctx.config.models {
            if model.pool != self.name || moved >= BATCH || !apart(&all, name, model) {
                continue;
            }
            let Some(from) = self.releasable(name) else {
                continue;
            };
            let before = all[&from].clone();
            all.insert(from.clone(), before.without_pin(name));
            let Some(to) = self.roomiest(name, model, &all, ctx) else {
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
        self.write(records.collect(), out);
    }

    /// The engine with the least pinned memory that may get the pin; an
    /// adapter goes beside its base.
    fn roomiest(
        &self,
        name: &Name,
        model: &Model,
        all: &PoolPins,
        ctx: &Context<'_>,
    ) -> Option<Name> {
        let mut best: Option<(u64, &Name)> = None;
        for (engine, side) in &self.sides {
            if side.writing() || side.leaving() || side.ledger.is_none() {
                continue;
            }
            let empty = EnginePins::default();
            let record = all.get(engine).unwrap_or(&empty);
            if let Some(base) = &model.base
                && !record.pins.contains_key(base)
            {
                continue;
            }
            if check_pin(all, &ask(name, model, engine), side.room).is_err() {
                continue;
            }
            let size = ctx
                .config
                .engines
                .get(engine)
                .map_or(1, |e| e.memory.max(1));
            let fill = record.memory() * 1_000 / size;
            if best.is_none_or(|(least, _)| fill < least) {
                best = Some((fill, engine));
            }
        }
        best.map(|(_, engine)| engine.clone())
    }

    /// Whether a pin of the model may be added, or one moved.
    pub(super) fn may_move(&self, name: &Name, model: &Model) -> bool {
        let pins = self
            .sides
            .values()
            .filter(|s| s.pins.pins.contains_key(name));
        if pins.count() < model.limit as usize {
            return true;
        }
        self.releasable(name).is_some()
    }

    /// An engine whose pin of `name` may be removed now.
    fn releasable(&self, name: &Name) -> Option<Name> {
        for (engine, side) in &self.sides {
            if side.writing() || !side.pins.pins.contains_key(name) {
                continue;
            }
            if side.replicas.contains_key(name) {
                continue;
            }
            let Some(ledger) = &side.ledger else {
                continue;
            };
            let release = PinRelease {
                model: name,
                restarted: false,
                host_removed: side.gone,
                ledger,
            };
            if release.allowed() {
                return Some(engine.clone());
            }
        }
        None
    }

    /// Whether the pin of `name` at an engine ties it to nothing.
    fn vacant(&self, side: &Side, name: &Name) -> bool {
        let ledger = side.ledger.as_ref();
        !side.replicas.contains_key(name) && ledger.is_some_and(|l| l.is_unloaded(name))
    }

    /// Memory for a new pin at an engine that ignores tokens, once the pins
    /// of models that sleep or are being unloaded there are released, MB.
    pub(super) fn pinnable(&self, side: &Side) -> u64 {
        let mut tied = 0;
        for (name, pin) in &side.pins.pins {
            let going = side.replicas.get(name).is_some_and(Replica::going);
            if !going && !self.vacant(side, name) {
                tied += pin.memory;
            }
        }
        side.room.memory.saturating_sub(tied)
    }

    /// Models without a replica at an engine whose pins may be released for
    /// another model, the one asked for longest ago first.
    fn sleepers(&self, engine: &Name) -> Vec<Name> {
        let side = &self.sides[engine];
        let mut sleepers = Vec::new();
        for name in side.pins.pins.keys() {
            let asked = self.waiting.count(name) > 0 || self.queued(name) > 0;
            if !asked && self.vacant(side, name) {
                sleepers.push(name.clone());
            }
        }
        sleepers.sort_by_key(|name| self.histories.get(name).and_then(History::last));
        sleepers
    }

    /// Records a pin of `name` at `engine` now, moving one where the limit
    /// leaves no other way and releasing those of sleeping models where the
    /// memory leaves none. Answers whether nothing stands in its way.
    pub(super) fn pin_now(
        &mut self,
        name: &Name,
        model: &Model,
        engine: &Name,
        ctx: &Context<'_>,
        out: &mut Vec<Action>,
    ) -> bool {
        if !ctx.table || self.sides[engine].writing() {
            return true;
        }
        let mut all = self.pool_pins();
        let mut writes = Vec::new();
        let room = self.sides[engine].room;
        let ask = ask(name, model, engine);
        if matches!(check_pin(&all, &ask, room), Err(PinDenied::Limit { .. })) {
            let Some(from) = self.releasable(name) else {
                return true;
            };
            let record = all.entry(from.clone()).or_default();
            *record = record.without_pin(name);
            writes.push((from.clone(), record.clone()));
        }
        for sleeper in self.sleepers(engine) {
            if check_pin(&all, &ask, room).is_ok() {
                break;
            }
            let record = all.entry(engine.clone()).or_default();
            *record = record.without_pin(&sleeper);
        }
        if check_pin(&all, &ask, room).is_err() {
            return false;
        }
        let record = all.entry(engine.clone()).or_default();
        writes.push((
            engine.clone(),
            record.with_pin(name, model.memory, self.epoch),
        ));
        self.write(writes, out);
        true
    }

    /// Releases pins above the limit, and those of models that are no longer
    /// configured or have changed their memory.
    fn release_surplus(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut writes: Vec<(Name, EnginePins)> = Vec::new();
        for (engine, side) in &self.sides {
            if side.writing() {
                continue;
            }
            for (name, pin) in &side.pins.pins {
                let model = ctx.config.models.get(name);
                let limit = model.map_or(0, |m| m.limit) as usize;
                let resized = model.is_some_and(|m| m.memory != pin.memory);
                let held = self
                    .sides
                    .values()
                    .filter(|s| s.pins.pins.contains_key(name));
                if held.count() <= limit && !resized {
                    continue;
                }
                if self.releasable(name).as_ref() != Some(engine) {
                    continue;
                }
                writes.push((engine.clone(), side.pins.without_pin(name)));
                break;
            }
        }
        for write in writes {
            self.write(vec![write], out);
        }
    }

    fn write(&mut self, records: Vec<(Name, EnginePins)>, out: &mut Vec<Action>) {
        let mut writes = Vec::new();
        for (engine, pins) in records {
            let Some(side) = self.sides.get_mut(&engine) else {
                continue;
            };
            side.pending = Some(pins.clone());
            writes.push(PinWrite {
                engine,
                pins,
                item: side.item,
            });
        }
        if !writes.is_empty() {
            out.push(Action::Write(writes));
        }
    }
}

/// Whether an adapter has pins, but none beside a pin of its base.
fn apart(all: &PoolPins, name: &Name, model: &Model) -> bool {
    let Some(base) = &model.base else {
        return false;
    };
    let mut pinned = false;
    for record in all.values() {
        let here = record.pins.contains_key(name);
        if here && record.pins.contains_key(base) {
            return false;
        }
        pinned |= here;
    }
    pinned
}

fn ask<'a>(name: &'a Name, model: &Model, engine: &'a Name) -> PinRequest<'a> {
    PinRequest {
        model: name,
        engine,
        memory: model.memory,
        limit: model.limit,
    }
}
