//! Which models are pinned to which engines ahead of need.
//!
//! Rules, in the order in which they are served:
//!
//! 1. A model has at most as many pins as its limit; surplus pins go.
//! 2. Every model has a sound pin: on an open engine, an adapter beside a pin
//!    of its base model. Where the limit is reached, an unsound pin moves.
//! 3. Further pins up to the limit, in other failure domains first.
//!
//! On engines that ignore fencing tokens the memory of all pins stays within
//! the memory of the engine; on others each model must fit beside its base.
//! A pin is added where the demand per memory of the pins is least. A pin
//! whose model is loaded is drained first, a doubtful one stays.

use super::pin_layout::{EngineFilter, PinLayout, PinLocation};
use super::routing::Domain;

/// A model or adapter to pin.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PinModel {
    /// Memory, MB.
    pub memory: u64,
    /// Most pins.
    pub limit: u32,
    /// Index of the base model of an adapter.
    pub base: Option<usize>,
    /// Expected wakes, in any unit that all models share.
    pub demand: f64,
}

/// Whether an engine can take pins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineAccess {
    /// It answers and stays.
    #[default]
    Open,
    /// It is leaving: its pins move.
    Leaving,
    /// It does not answer: its unloaded pins move, the others wait.
    Silent,
}

/// An engine that holds pins.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PinEngine {
    /// Whether it can take pins.
    pub access: EngineAccess,
    /// It refuses old fencing tokens.
    pub fencing: bool,
    /// Failure domain.
    pub domain: Domain,
    /// Memory, MB.
    pub memory: u64,
}

/// What ties a pin to its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PinState {
    /// Nothing: not loaded, no order outstanding.
    #[default]
    Unused,
    /// The model is loaded or loading.
    Loaded,
    /// An order under the pin may still take effect.
    Doubtful,
}

/// A present pin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pin {
    /// Index of the model.
    pub model: usize,
    /// Index of the engine.
    pub engine: usize,
    /// What ties it there.
    pub state: PinState,
}

/// One change of the pins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PinChange {
    /// Record a pin.
    Add {
        /// Index of the model.
        model: usize,
        /// Index of the engine.
        engine: usize,
    },
    /// Remove one pin and record another in the same transaction.
    Move {
        /// Index of the model.
        model: usize,
        /// Index of the engine that loses it.
        from: usize,
        /// Index of the engine that gains it.
        to: usize,
    },
    /// Remove a pin.
    Remove {
        /// Index of the model.
        model: usize,
        /// Index of the engine.
        engine: usize,
    },
    /// Let the model finish its work there and unload it; the pin can go after.
    Drain {
        /// Index of the model.
        model: usize,
        /// Index of the engine.
        engine: usize,
    },
}

/// What to change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PinChanges {
    /// Changes, most urgent first.
    pub changes: Vec<PinChange>,
    /// Models that no engine can hold beside the present pins; spare pins of
    /// others are removed for them where that helps.
    pub unplaced: Vec<usize>,
}

/// Answers at most `most` changes that bring `pins` nearer to the rules.
///
/// Changes of one answer are independent of each other's order. Memory freed
/// by a removal counts from the next call on.
pub fn plan_changes(
    models: &[PinModel],
    engines: &[PinEngine],
    pins: &[Pin],
    max_changes: usize,
) -> PinChanges {
    let mut layout = PinLayout::new(models, engines, pins);
    let mut out = PinChanges::default();
    let order = planning_order(models);
    for model in &order {
        remove_surplus(&mut layout, *model, &mut out);
    }
    for model in &order {
        if out.changes.len() >= max_changes {
            break;
        }
        ensure_usable_pin(&mut layout, *model, &mut out);
    }
    for model in &order {
        if out.changes.len() >= max_changes {
            break;
        }
        add_replica_pin(&mut layout, *model, &mut out);
    }
    out.changes.truncate(max_changes);
    out
}

/// Base models before adapters, then by falling demand.
fn planning_order(models: &[PinModel]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..models.len()).collect();
    order.sort_by(|a, b| {
        let key = |i: usize| models[i].base.is_some();
        let demand = models[*b].demand.total_cmp(&models[*a].demand);
        key(*a).cmp(&key(*b)).then(demand)
    });
    order
}

/// Removes surplus pins: unsound and free ones first.
fn remove_surplus(layout: &mut PinLayout, model: usize, out: &mut PinChanges) {
    let limit = layout.models[model].limit as usize;
    let surplus = layout.pin_count(model).saturating_sub(limit);
    if surplus == 0 {
        return;
    }
    let mut locations: Vec<PinLocation> = layout.locations(model).to_vec();
    locations.sort_by_key(|p| (layout.is_usable(model, p.engine), p.state));
    for location in locations.iter().take(surplus) {
        release_pin(layout, model, *location, out);
    }
}

/// Gives the model a sound pin.
fn ensure_usable_pin(layout: &mut PinLayout, model: usize, out: &mut PinChanges) {
    let limit = layout.models[model].limit as usize;
    if limit == 0 || layout.usable_count(model) > 0 {
        return;
    }
    let Some(to) = layout.best_engine(model, EngineFilter::Any) else {
        out.unplaced.push(model);
        for spare in layout.find_spare_pins(model) {
            out.changes
                .push(layout.remove_pin(spare.model, spare.engine));
        }
        return;
    };
    if layout.pin_count(model) < limit {
        out.changes.push(layout.add_pin(model, to));
        return;
    }
    let mut locations: Vec<PinLocation> = layout.locations(model).to_vec();
    locations.sort_by_key(|p| p.state);
    let Some(location) = locations.first() else {
        return;
    };
    if location.state == PinState::Unused {
        out.changes
            .push(layout.move_pin(model, location.engine, to));
        return;
    }
    release_pin(layout, model, *location, out);
}

/// Adds a further pin.
fn add_replica_pin(layout: &mut PinLayout, model: usize, out: &mut PinChanges) {
    let limit = layout.models[model].limit as usize;
    if layout.pin_count(model) >= limit || layout.usable_count(model) == 0 {
        return;
    }
    // Memory that a model without a pin waits for must not be taken.
    let filter = if out.unplaced.is_empty() {
        EngineFilter::Any
    } else {
        EngineFilter::Fenced
    };
    if let Some(engine) = layout.best_engine(model, filter) {
        out.changes.push(layout.add_pin(model, engine));
    }
}

/// Removes a free pin, or drains a loaded one on an engine that answers.
fn release_pin(layout: &mut PinLayout, model: usize, location: PinLocation, out: &mut PinChanges) {
    let engine = location.engine;
    match location.state {
        PinState::Unused => out.changes.push(layout.remove_pin(model, engine)),
        PinState::Loaded if layout.engines[engine].access != EngineAccess::Silent => {
            out.changes.push(PinChange::Drain { model, engine });
        }
        PinState::Loaded | PinState::Doubtful => {}
    }
}
