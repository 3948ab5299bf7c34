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

use super::board::{Board, Place, Room};
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
pub enum Access {
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
    pub access: Access,
    /// It refuses old fencing tokens.
    pub fenced: bool,
    /// Failure domain.
    pub domain: Domain,
    /// Memory, MB.
    pub memory: u64,
}

/// What ties a pin to its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tie {
    /// Nothing: not loaded, no order outstanding.
    #[default]
    Free,
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
    pub tie: Tie,
}

/// One change of the pins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
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
pub struct Outcome {
    /// Changes, most urgent first.
    pub changes: Vec<Change>,
    /// Models that no engine can hold beside the present pins; spare pins of
    /// others are removed for them where that helps.
    pub unplaced: Vec<usize>,
}

/// Answers at most `most` changes that bring `pins` nearer to the rules.
///
/// Changes of one answer are independent of each other's order. Memory freed
/// by a removal counts from the next call on.
pub fn changes(models: &[PinModel], engines: &[PinEngine], pins: &[Pin], most: usize) -> Outcome {
    let mut board = Board::new(models, engines, pins);
    let mut out = Outcome::default();
    let order = order(models);
    for model in &order {
        trim(&mut board, *model, &mut out);
    }
    for model in &order {
        if out.changes.len() >= most {
            break;
        }
        secure(&mut board, *model, &mut out);
    }
    for model in &order {
        if out.changes.len() >= most {
            break;
        }
        widen(&mut board, *model, &mut out);
    }
    out.changes.truncate(most);
    out
}

/// Base models before adapters, then by falling demand.
fn order(models: &[PinModel]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..models.len()).collect();
    order.sort_by(|a, b| {
        let key = |i: usize| models[i].base.is_some();
        let demand = models[*b].demand.total_cmp(&models[*a].demand);
        key(*a).cmp(&key(*b)).then(demand)
    });
    order
}

/// Removes surplus pins: unsound and free ones first.
fn trim(board: &mut Board, model: usize, out: &mut Outcome) {
    let limit = board.models[model].limit as usize;
    let surplus = board.count(model).saturating_sub(limit);
    if surplus == 0 {
        return;
    }
    let mut places: Vec<Place> = board.places(model).to_vec();
    places.sort_by_key(|p| (board.sound(model, p.engine), p.tie));
    for place in places.iter().take(surplus) {
        give_up(board, model, *place, out);
    }
}

/// Gives the model a sound pin.
fn secure(board: &mut Board, model: usize, out: &mut Outcome) {
    let limit = board.models[model].limit as usize;
    if limit == 0 || board.sound_count(model) > 0 {
        return;
    }
    let Some(to) = board.best(model, Room::Any) else {
        out.unplaced.push(model);
        for spare in board.spare(model) {
            out.changes.push(board.drop_pin(spare.model, spare.engine));
        }
        return;
    };
    if board.count(model) < limit {
        out.changes.push(board.add(model, to));
        return;
    }
    let mut places: Vec<Place> = board.places(model).to_vec();
    places.sort_by_key(|p| p.tie);
    let Some(place) = places.first() else {
        return;
    };
    if place.tie == Tie::Free {
        out.changes.push(board.relocate(model, place.engine, to));
        return;
    }
    give_up(board, model, *place, out);
}

/// Adds a further pin.
fn widen(board: &mut Board, model: usize, out: &mut Outcome) {
    let limit = board.models[model].limit as usize;
    if board.count(model) >= limit || board.sound_count(model) == 0 {
        return;
    }
    // Memory that a model without a pin waits for must not be taken.
    let room = if out.unplaced.is_empty() {
        Room::Any
    } else {
        Room::Fenced
    };
    if let Some(engine) = board.best(model, room) {
        out.changes.push(board.add(model, engine));
    }
}

/// Removes a free pin, or drains a loaded one on an engine that answers.
fn give_up(board: &mut Board, model: usize, place: Place, out: &mut Outcome) {
    let engine = place.engine;
    match place.tie {
        Tie::Free => out.changes.push(board.drop_pin(model, engine)),
        Tie::Loaded if board.engines[engine].access != Access::Silent => {
            out.changes.push(Change::Drain { model, engine });
        }
        Tie::Loaded | Tie::Doubtful => {}
    }
}
