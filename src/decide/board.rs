//! Pins of a pool with their sums, while changes are worked out.

use super::pinning::{Access, Change, Pin, PinEngine, PinModel, Tie};

/// Cost of a pin in a failure domain that holds one of the model already.
const SHARED: f64 = 1_000.0;
/// Demand that a model without any counts as.
const LEAST_DEMAND: f64 = 0.01;

/// Where a model is pinned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Index of the engine.
    pub engine: usize,
    /// What ties the pin there.
    pub tie: Tie,
}

/// Which engines a further pin may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// Any.
    Any,
    /// Those that honour fencing tokens: their pins may exceed their memory.
    Fenced,
}

/// A pin that its model can do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spare {
    /// Index of the model.
    pub model: usize,
    /// Index of the engine.
    pub engine: usize,
}

/// Pins of a pool with their sums.
#[derive(Clone, Debug)]
pub struct Board<'a> {
    /// Models by index.
    pub models: &'a [PinModel],
    /// Engines by index.
    pub engines: &'a [PinEngine],
    places: Vec<Vec<Place>>,
    /// Models pinned on each engine.
    held: Vec<Vec<usize>>,
    /// Memory of the pins of each engine, MB.
    used: Vec<u64>,
    /// Demand times memory of the pins of each engine, by its memory.
    pressure: Vec<f64>,
}

impl<'a> Board<'a> {
    /// The board of the present pins; those of unknown indices are ignored.
    pub fn new(models: &'a [PinModel], engines: &'a [PinEngine], pins: &[Pin]) -> Self {
        let mut board = Board {
            models,
            engines,
            places: vec![Vec::new(); models.len()],
            held: vec![Vec::new(); engines.len()],
            used: vec![0; engines.len()],
            pressure: vec![0.0; engines.len()],
        };
        for pin in pins {
            if pin.model < models.len() && pin.engine < engines.len() {
                board.put(pin.model, pin.engine, pin.tie);
            }
        }
        board
    }

    /// Present pins of a model.
    pub fn places(&self, model: usize) -> &[Place] {
        &self.places[model]
    }

    /// Number of pins of a model.
    pub fn count(&self, model: usize) -> usize {
        self.places[model].len()
    }

    /// Number of sound pins of a model.
    pub fn sound_count(&self, model: usize) -> usize {
        let places = self.places[model].iter();
        places.filter(|p| self.sound(model, p.engine)).count()
    }

    /// Whether a pin of the model there is of use: the engine is open and
    /// holds a pin of the base model.
    pub fn sound(&self, model: usize, engine: usize) -> bool {
        self.engines[engine].access == Access::Open && self.beside_base(model, engine)
    }

    /// The engine that should hold a further pin of the model; for
    /// [`Room::Fenced`], only among those that honour fencing tokens.
    pub fn best(&self, model: usize, room: Room) -> Option<usize> {
        let mut best = None;
        let mut least = f64::INFINITY;
        for engine in self.candidates(model) {
            if room == Room::Fenced && !self.engines[engine].fenced {
                continue;
            }
            if !self.addable(model, engine) || !self.fits(model, engine) {
                continue;
            }
            let cost = self.pressure[engine] + SHARED * self.shared(model, engine) as f64;
            if cost < least {
                least = cost;
                best = Some(engine);
            }
        }
        best
    }

    /// Free pins that other models can spare on one engine, enough to make
    /// room for `model` there; empty when no engine has so many.
    pub fn spare(&self, model: usize) -> Vec<Spare> {
        for engine in self.candidates(model) {
            if !self.addable(model, engine) {
                continue;
            }
            let need = self.used[engine] + self.models[model].memory;
            let mut lack = need.saturating_sub(self.engines[engine].memory);
            let mut spares = Vec::new();
            for other in self.held[engine].iter().copied() {
                if lack == 0 {
                    break;
                }
                if !self.spares(other, engine, model) {
                    continue;
                }
                lack = lack.saturating_sub(self.models[other].memory);
                spares.push(Spare {
                    model: other,
                    engine,
                });
            }
            if lack == 0 {
                return spares;
            }
        }
        Vec::new()
    }

    /// Records a pin.
    pub fn add(&mut self, model: usize, engine: usize) -> Change {
        self.put(model, engine, Tie::Free);
        Change::Add { model, engine }
    }

    /// Removes a pin; its memory stays counted.
    pub fn drop_pin(&mut self, model: usize, engine: usize) -> Change {
        self.places[model].retain(|p| p.engine != engine);
        self.held[engine].retain(|m| *m != model);
        Change::Remove { model, engine }
    }

    /// Moves a pin.
    pub fn relocate(&mut self, model: usize, from: usize, to: usize) -> Change {
        self.drop_pin(model, from);
        self.put(model, to, Tie::Free);
        Change::Move { model, from, to }
    }

    fn put(&mut self, model: usize, engine: usize, tie: Tie) {
        let m = &self.models[model];
        let share = m.memory as f64 / self.engines[engine].memory.max(1) as f64;
        self.places[model].push(Place { engine, tie });
        self.held[engine].push(model);
        self.used[engine] += m.memory;
        self.pressure[engine] += share * (m.demand + LEAST_DEMAND);
    }

    /// Engines to look at: those of the base model for an adapter.
    fn candidates(&self, model: usize) -> Box<dyn Iterator<Item = usize> + '_> {
        match self.models[model].base {
            Some(base) => Box::new(self.places[base].iter().map(|p| p.engine)),
            None => Box::new(0..self.engines.len()),
        }
    }

    /// Whether a further pin there would be sound.
    fn addable(&self, model: usize, engine: usize) -> bool {
        self.sound(model, engine) && !self.pinned(model, engine)
    }

    fn pinned(&self, model: usize, engine: usize) -> bool {
        self.places[model].iter().any(|p| p.engine == engine)
    }

    fn beside_base(&self, model: usize, engine: usize) -> bool {
        let base = self.models[model].base;
        base.is_none_or(|b| self.pinned(b, engine))
    }

    /// Memory of the model and its base, MB.
    fn alone(&self, model: usize) -> u64 {
        let m = &self.models[model];
        m.memory + m.base.map_or(0, |b| self.models[b].memory)
    }

    fn fits(&self, model: usize, engine: usize) -> bool {
        let e = &self.engines[engine];
        let used = if e.fenced {
            self.alone(model)
        } else {
            self.used[engine] + self.models[model].memory
        };
        used <= e.memory
    }

    fn shared(&self, model: usize, engine: usize) -> usize {
        let domain = self.engines[engine].domain;
        let places = self.places[model].iter();
        places
            .filter(|p| self.engines[p.engine].domain == domain)
            .count()
    }

    /// Whether `other` can do without its pin on the engine for `model`.
    fn spares(&self, other: usize, engine: usize, model: usize) -> bool {
        if self.models[model].base == Some(other) {
            return false;
        }
        let free = |p: &Place| p.engine == engine && p.tie == Tie::Free;
        self.places[other].iter().any(free)
            && self.sound_count(other) > 1
            && !self.carries(other, engine)
    }

    /// Whether an adapter of `base` is pinned on the engine.
    fn carries(&self, base: usize, engine: usize) -> bool {
        let held = self.held[engine].iter();
        held.copied().any(|m| self.models[m].base == Some(base))
    }
}
