//! Working copy of a pool's pins, with per-engine sums, while changes are planned.

use super::pinning::{EngineAvailability, Pin, PinChange, PinEngine, PinModel, PinState};

/// Cost of a pin for each other pin of the model in the same failure domain, in
/// the unit of [`PinLayout::pressure`].
const SHARED_DOMAIN_COST: f64 = 1_000.0;
/// Demand added to that of every model, so that one without any still counts.
const MIN_DEMAND: f64 = 0.01;

/// One pin of a given model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PinLocation {
    /// Index of the engine.
    pub engine: usize,
    /// Whether it can be removed now.
    pub state: PinState,
}

/// Which engines are considered for a pin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFilter {
    /// All engines.
    Any,
    /// Engines that honor fencing tokens; the pins there may exceed their memory.
    Fenced,
}

/// A pin that can be removed because its model has another usable one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SparePin {
    /// Index of the model.
    pub model: usize,
    /// Index of the engine.
    pub engine: usize,
}

/// Pins of a pool, indexed by model and by engine.
#[derive(Clone, Debug)]
pub struct PinLayout<'a> {
    /// Models by index.
    pub models: &'a [PinModel],
    /// Engines by index.
    pub engines: &'a [PinEngine],
    locations: Vec<Vec<PinLocation>>,
    /// Models pinned on each engine.
    engine_models: Vec<Vec<usize>>,
    /// Memory of all pins of each engine, MB.
    used_memory: Vec<u64>,
    /// Sum over the pins of each engine of demand times the share of its memory.
    pressure: Vec<f64>,
}

impl<'a> PinLayout<'a> {
    /// Builds the layout of the current pins; pins with unknown indices are ignored.
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

    /// Returns the current pins of a model.
    pub fn locations(&self, model: usize) -> &[PinLocation] {
        &self.locations[model]
    }

    /// Returns the number of pins of a model.
    pub fn pin_count(&self, model: usize) -> usize {
        self.locations[model].len()
    }

    /// Returns the number of usable pins of a model.
    pub fn usable_count(&self, model: usize) -> usize {
        let locations = self.locations[model].iter();
        locations
            .filter(|p| self.is_usable(model, p.engine))
            .count()
    }

    /// Returns whether a pin of the model on the engine is usable: the engine is
    /// available and, for an adapter, the base model is pinned there too.
    pub fn is_usable(&self, model: usize, engine: usize) -> bool {
        self.engines[engine].availability == EngineAvailability::Available
            && self.has_base(model, engine)
    }

    /// Returns the engine on which a further pin of the model costs least.
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
                + SHARED_DOMAIN_COST * self.pins_in_domain(model, engine) as f64;
            if cost < lowest_cost {
                lowest_cost = cost;
                best = Some(engine);
            }
        }
        best
    }

    /// Returns unused pins of other models on one engine that can be removed to
    /// make room for `model`, or nothing when no engine has enough of them.
    pub fn find_spare_pins(&self, model: usize) -> Vec<SparePin> {
        for engine in self.candidates(model) {
            if !self.can_add(model, engine) {
                continue;
            }
            let required = self.used_memory[engine] + self.models[model].memory;
            let mut shortfall = required.saturating_sub(self.engines[engine].memory);
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

    /// Adds a pin and returns the change.
    pub fn add_pin(&mut self, model: usize, engine: usize) -> PinChange {
        self.insert(model, engine, PinState::Unused);
        PinChange::Add { model, engine }
    }

    /// Removes a pin and returns the change. Its memory stays counted until the next
    /// planning round.
    pub fn remove_pin(&mut self, model: usize, engine: usize) -> PinChange {
        self.locations[model].retain(|p| p.engine != engine);
        self.engine_models[engine].retain(|m| *m != model);
        PinChange::Remove { model, engine }
    }

    /// Moves a pin to another engine and returns the change.
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

    /// Returns the engines to consider: for an adapter, those of its base model.
    fn candidates(&self, model: usize) -> Box<dyn Iterator<Item = usize> + '_> {
        match self.models[model].base {
            Some(base) => Box::new(self.locations[base].iter().map(|p| p.engine)),
            None => Box::new(0..self.engines.len()),
        }
    }

    /// Returns whether a further pin on the engine would be usable.
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

    /// Returns the memory of the model and its base model, MB.
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

    fn pins_in_domain(&self, model: usize, engine: usize) -> usize {
        let domain = self.engines[engine].domain;
        let locations = self.locations[model].iter();
        locations
            .filter(|p| self.engines[p.engine].domain == domain)
            .count()
    }

    /// Returns whether the pin of `other` on the engine can be removed for `model`.
    fn can_spare(&self, other: usize, engine: usize, model: usize) -> bool {
        if self.models[model].base == Some(other) {
            return false;
        }
        let is_unused = |p: &PinLocation| p.engine == engine && p.state == PinState::Unused;
        self.locations[other].iter().any(is_unused)
            && self.usable_count(other) > 1
            && !self.has_adapter(other, engine)
    }

    /// Returns whether an adapter of `base` is pinned on the engine.
    fn has_adapter(&self, base: usize, engine: usize) -> bool {
        let models = self.engine_models[engine].iter();
        models.copied().any(|m| self.models[m].base == Some(base))
    }
}
