//! Pins of a pool with their sums, while changes are worked out.

use super::pinning::{EngineAccess, Pin, PinChange, PinEngine, PinModel, PinState};

/// Cost of a pin in a failure domain that holds one of the model already.
const SHARED_DOMAIN_COST: f64 = 1_000.0;
/// Demand that a model without any counts as.
const MIN_DEMAND: f64 = 0.01;

/// Where a model is pinned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PinLocation {
    /// Index of the engine.
    pub engine: usize,
    /// What ties the pin there.
    pub state: PinState,
}

/// Which engines a further pin may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFilter {
    /// Any.
    Any,
    /// Those that honour fencing tokens: their pins may exceed their memory.
    Fenced,
}

/// A pin that its model can do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SparePin {
    /// Index of the model.
    pub model: usize,
    /// Index of the engine.
    pub engine: usize,
}

/// Pins of a pool with their sums.
#[derive(Clone, Debug)]
pub struct PinLayout<'a> {
    /// Models by index.
    pub models: &'a [PinModel],
    /// Engines by index.
    pub engines: &'a [PinEngine],
    locations: Vec<Vec<PinLocation>>,
    /// Models pinned on each engine.
    engine_models: Vec<Vec<usize>>,
    /// Memory of the pins of each engine, MB.
    used_memory: Vec<u64>,
    /// Demand times memory of the pins of each engine, by its memory.
    pressure: Vec<f64>,
}

impl<'a> PinLayout<'a> {
    /// The board of the present pins; those of unknown indices are ignored.
    pub fn new(models: &'a [PinModel], engines: &'a [PinEngine], pins: &[Pin]) -> Self {
        let mut layout = PinLayout {
            models,
            engines,
            locations: vec![Vec::new(); models.len()],
            engine_models: vec![Vec::new(); engines.len()],
            used_memory: vec![0; engines.len()],
            pressure: vec![0.0; engines.len()],
        };
        for pin in pins {
            if pin.model < models.len() && pin.engine < engines.len() {
                layout.insert(pin.model, pin.engine, pin.state);
            }
        }
        layout
    }

    /// Present pins of a model.
    pub fn locations(&self, model: usize) -> &[PinLocation] {
        &self.locations[model]
    }

    /// Number of pins of a model.
    pub fn pin_count(&self, model: usize) -> usize {
        self.locations[model].len()
    }

    /// Number of sound pins of a model.
    pub fn usable_count(&self, model: usize) -> usize {
        let locations = self.locations[model].iter();
        locations
            .filter(|p| self.is_usable(model, p.engine))
            .count()
    }

    /// Whether a pin of the model there is of use: the engine is open and
    /// holds a pin of the base model.
    pub fn is_usable(&self, model: usize, engine: usize) -> bool {
        self.engines[engine].access == EngineAccess::Open && self.has_base(model, engine)
    }

    /// The engine that should hold a further pin of the model; for
    /// [`EngineFilter::Fenced`], only among those that honour fencing tokens.
    pub fn best_engine(&self, model: usize, filter: EngineFilter) -> Option<usize> {
        let mut best = None;
        let mut lowest_cost = f64::INFINITY;
        for engine in self.candidates(model) {
            if filter == EngineFilter::Fenced && !self.engines[engine].fencing {
                continue;
            }
            if !self.can_add(model, engine) || !self.fits(model, engine) {
                continue;
            }
            let cost = self.pressure[engine]
                + SHARED_DOMAIN_COST * self.replicas_in_domain(model, engine) as f64;
            if cost < lowest_cost {
                lowest_cost = cost;
                best = Some(engine);
            }
        }
        best
    }

    /// Free pins that other models can spare on one engine, enough to make
    /// room for `model` there; empty when no engine has so many.
    pub fn find_spare_pins(&self, model: usize) -> Vec<SparePin> {
        for engine in self.candidates(model) {
            if !self.can_add(model, engine) {
                continue;
            }
            let need = self.used_memory[engine] + self.models[model].memory;
            let mut shortfall = need.saturating_sub(self.engines[engine].memory);
            let mut spares = Vec::new();
            for other in self.engine_models[engine].iter().copied() {
                if shortfall == 0 {
                    break;
                }
                if !self.can_spare(other, engine, model) {
                    continue;
                }
                shortfall = shortfall.saturating_sub(self.models[other].memory);
                spares.push(SparePin {
                    model: other,
                    engine,
                });
            }
            if shortfall == 0 {
                return spares;
            }
        }
        Vec::new()
    }

    /// Records a pin.
    pub fn add_pin(&mut self, model: usize, engine: usize) -> PinChange {
        self.insert(model, engine, PinState::Unused);
        PinChange::Add { model, engine }
    }

    /// Removes a pin; its memory stays counted.
    pub fn remove_pin(&mut self, model: usize, engine: usize) -> PinChange {
        self.locations[model].retain(|p| p.engine != engine);
        self.engine_models[engine].retain(|m| *m != model);
        PinChange::Remove { model, engine }
    }

    /// Moves a pin.
    pub fn move_pin(&mut self, model: usize, from: usize, to: usize) -> PinChange {
        self.remove_pin(model, from);
        self.insert(model, to, PinState::Unused);
        PinChange::Move { model, from, to }
    }

    fn insert(&mut self, model: usize, engine: usize, state: PinState) {
        let m = &self.models[model];
        let memory_share = m.memory as f64 / self.engines[engine].memory.max(1) as f64;
        self.locations[model].push(PinLocation { engine, state });
        self.engine_models[engine].push(model);
        self.used_memory[engine] += m.memory;
        self.pressure[engine] += memory_share * (m.demand + MIN_DEMAND);
    }

    /// Engines to look at: those of the base model for an adapter.
    fn candidates(&self, model: usize) -> Box<dyn Iterator<Item = usize> + '_> {
        match self.models[model].base {
            Some(base) => Box::new(self.locations[base].iter().map(|p| p.engine)),
            None => Box::new(0..self.engines.len()),
        }
    }

    /// Whether a further pin there would be sound.
    fn can_add(&self, model: usize, engine: usize) -> bool {
        self.is_usable(model, engine) && !self.is_pinned(model, engine)
    }

    fn is_pinned(&self, model: usize, engine: usize) -> bool {
        self.locations[model].iter().any(|p| p.engine == engine)
    }

    fn has_base(&self, model: usize, engine: usize) -> bool {
        let base = self.models[model].base;
        base.is_none_or(|b| self.is_pinned(b, engine))
    }

    /// Memory of the model and its base, MB.
    fn memory_with_base(&self, model: usize) -> u64 {
        let m = &self.models[model];
        m.memory + m.base.map_or(0, |b| self.models[b].memory)
    }

    fn fits(&self, model: usize, engine: usize) -> bool {
        let e = &self.engines[engine];
        let required = if e.fencing {
            self.memory_with_base(model)
        } else {
            self.used_memory[engine] + self.models[model].memory
        };
        required <= e.memory
    }

    fn replicas_in_domain(&self, model: usize, engine: usize) -> usize {
        let domain = self.engines[engine].domain;
        let locations = self.locations[model].iter();
        locations
            .filter(|p| self.engines[p.engine].domain == domain)
            .count()
    }

    /// Whether `other` can do without its pin on the engine for `model`.
    fn can_spare(&self, other: usize, engine: usize, model: usize) -> bool {
        if self.models[model].base == Some(other) {
            return false;
        }
        let free = |p: &PinLocation| p.engine == engine && p.state == PinState::Unused;
        self.locations[other].iter().any(free)
            && self.usable_count(other) > 1
            && !self.has_adapter(other, engine)
    }

    /// Whether an adapter of `base` is pinned on the engine.
    fn has_adapter(&self, base: usize, engine: usize) -> bool {
        let models = self.engine_models[engine].iter();
        models.copied().any(|m| self.models[m].base == Some(base))
    }
}
