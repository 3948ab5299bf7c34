//! Plans the pins of models to engines ahead of demand. A pin is the record that
//! allows a model to be loaded on an engine.
//!
//! Rules, in order of priority:
//!
//! 1. A model has at most as many pins as its limit; surplus pins are removed.
//! 2. Every model has a usable pin: one on an available engine and, for an adapter,
//!    on an engine where its base model is pinned too. If the limit is reached,
//!    an unusable pin is moved.
//! 3. Further pins are added up to the limit, preferably in other failure domains.
//!
//! On engines that ignore fencing tokens, the memory of all pins stays within the
//! memory of the engine. On engines that honor them, the pins may exceed it, but
//! each model must fit, an adapter together with its base model. Among engines in
//! failure domains with equally many pins of the model, the one with the lowest
//! sum over its pins of demand times the share of the engine's memory is chosen. A
//! loaded model is drained before its pin is removed; a doubtful pin stays.

use super::pin_layout::{EngineFilter, PinLayout, PinLocation};
use super::routing::Domain;

/// A model or adapter to pin.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PinModel {
    /// Memory, MB.
    pub memory: u64,
    /// Maximum number of pins.
    pub limit: u32,
    /// Index of the base model of an adapter.
    pub base: Option<usize>,
    /// Expected cold starts, in any unit that all models share.
    pub demand: f64,
}

/// Whether an engine can take pins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineAvailability {
    /// It responds and is not leaving.
    #[default]
    Available,
    /// It is leaving, so its pins are moved.
    Leaving,
    /// It does not respond: unused pins are moved, the others are left in place.
    Unresponsive,
}

/// An engine that holds pins.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PinEngine {
    /// Whether it can take pins.
    pub availability: EngineAvailability,
    /// It rejects orders with an old fencing token.
    pub fencing: bool,
    /// Failure domain.
    pub domain: Domain,
    /// Memory, MB.
    pub memory: u64,
}

/// Whether a pin can be removed now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PinState {
    /// The model is not loaded and no order is outstanding.
    #[default]
    Unused,
    /// The model is loaded or loading.
    Loaded,
    /// A load or unload order sent under the pin may still take effect.
    Doubtful,
}

/// An existing pin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pin {
    /// Index of the model.
    pub model: usize,
    /// Index of the engine.
    pub engine: usize,
    /// Whether it can be removed now.
    pub state: PinState,
}

/// One change of the pins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PinChange {
    /// Add a pin.
    Add {
        /// Index of the model.
        model: usize,
        /// Index of the engine.
        engine: usize,
    },
    /// Remove one pin and add another in the same transaction.
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
    /// Finish the running requests and unload the model, so that the pin can be
    /// removed in a later round.
    Drain {
        /// Index of the model.
        model: usize,
        /// Index of the engine.
        engine: usize,
    },
}

/// Result of one planning round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PinChanges {
    /// Changes in order of priority.
    pub changes: Vec<PinChange>,
    /// Models that fit on no engine in addition to the current pins. Spare pins of other
    /// models are removed for them where that makes enough room.
    pub unplaced: Vec<usize>,
}

/// Plans at most `max_changes` changes towards pins that satisfy the rules above.
///
/// The changes of one call may be applied in any order. Memory freed by a
/// removal becomes available in the next call.
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

/// Returns the models with base models first, then by descending demand.
fn planning_order(models: &[PinModel]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..models.len()).collect();
    order.sort_by(|a, b| {
        let is_adapter = |i: usize| models[i].base.is_some();
        let demand = models[*b].demand.total_cmp(&models[*a].demand);
        is_adapter(*a).cmp(&is_adapter(*b)).then(demand)
    });
    order
}

/// Removes surplus pins, unusable and unused ones first.
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

/// Adds or moves a pin so that the model has a usable one.
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

/// Adds a further pin to a model that has a usable one.
fn add_replica_pin(layout: &mut PinLayout, model: usize, out: &mut PinChanges) {
    let limit = layout.models[model].limit as usize;
    if layout.pin_count(model) >= limit || layout.usable_count(model) == 0 {
        return;
    }
    // Leaves free memory to the models that could not be placed.
    let filter = if out.unplaced.is_empty() {
        EngineFilter::Any
    } else {
        EngineFilter::Fenced
    };
    if let Some(engine) = layout.best_engine(model, filter) {
        out.changes.push(layout.add_pin(model, engine));
    }
}

/// Removes an unused pin, or drains the model of a loaded one on an engine that responds.
fn release_pin(layout: &mut PinLayout, model: usize, location: PinLocation, out: &mut PinChanges) {
    let engine = location.engine;
    match location.state {
        PinState::Unused => out.changes.push(layout.remove_pin(model, engine)),
        PinState::Loaded
            if layout.engines[engine].availability != EngineAvailability::Unresponsive =>
        {
            out.changes.push(PinChange::Drain { model, engine });
        }
        PinState::Loaded | PinState::Doubtful => {}
    }
}
