//! Generated inputs of the decisions at a given size, from a fixed seed.

pub mod crashes;
pub mod fleet;
pub mod selection;

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::decide::history::ArrivalHistory;
use mastichinge::decide::permits::{PermitRequest, Permits, StoreLimits};
use mastichinge::decide::pinning::{Pin, PinEngine, PinModel, PinState};
use mastichinge::decide::placement_types::{
    BaseState, EvictionCandidate, PlacementRequest, PlacementTarget, Weights,
};
use mastichinge::decide::routing::Candidate;
use mastichinge::outside::Tier;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seed of all generated inputs.
pub const SEED: u64 = 7;
/// Number of failure domains.
pub const DOMAIN_COUNT: u16 = 14;
/// Memory of an engine, MB.
pub const ENGINE_MB: u64 = 320_000;
/// Memory of a base model, MB.
pub const MODEL_MB: u64 = 40_000;
/// Memory of an adapter, MB.
pub const ADAPTER_MB: u64 = 200;

/// Size of a deployment or of one pool.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Name in benchmark ids.
    pub name: &'static str,
    /// Engines.
    pub engines: usize,
    /// Base models.
    pub models: usize,
    /// Adapters.
    pub adapters: usize,
}

/// Size of the larger current deployment.
pub const TODAY: Size = Size {
    name: "today",
    engines: 16,
    models: 30,
    adapters: 65,
};

/// One of the 46 pools of the design size.
pub const POOL: Size = Size {
    name: "pool",
    engines: 50,
    models: 4,
    adapters: 587,
};

/// Design size as a single pool.
pub const FULL: Size = Size {
    name: "full",
    engines: 2_300,
    models: 140,
    adapters: 27_000,
};

/// Returns the random generator, newly seeded.
pub fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(SEED)
}

/// Returns replicas with random loads.
pub fn replicas(count: usize) -> Vec<Candidate> {
    let mut rng = rng();
    let mut replicas = Vec::new();
    for _ in 0..count {
        replicas.push(Candidate {
            running: rng.random_range(0..16),
            waiting: rng.random_range(0..4),
            sent: rng.random_range(0..4),
            slots: 16,
            cached_tokens: rng.random_range(0..1_000),
            domain: rng.random_range(0..DOMAIN_COUNT),
            ..Default::default()
        });
    }
    replicas
}

/// Returns the idle replicas of each engine, in ascending order of cost.
pub fn residents(size: &Size) -> Vec<Vec<EvictionCandidate>> {
    let mut rng = rng();
    let residents_each = (size.models + size.adapters).div_ceil(size.engines);
    let mut all = Vec::new();
    for _ in 0..size.engines {
        let mut own = Vec::new();
        for _ in 0..residents_each {
            own.push(eviction_candidate(&mut rng));
        }
        own.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        all.push(own);
    }
    all
}

fn eviction_candidate(rng: &mut impl Rng) -> EvictionCandidate {
    EvictionCandidate {
        model: rng.random_range(1..30_000),
        memory: ADAPTER_MB,
        cost: rng.random_range(0.0..10.0),
    }
}

/// Returns engines without free memory, so that each has to evict.
pub fn targets(residents: &[Vec<EvictionCandidate>]) -> Vec<PlacementTarget<'_>> {
    let mut rng = rng();
    let mut targets = Vec::new();
    for own in residents {
        targets.push(PlacementTarget {
            domain: rng.random_range(0..DOMAIN_COUNT),
            free_memory: 0,
            tier: tier(&mut rng),
            base: BaseState::Loaded,
            in_flight: rng.random_range(0..16),
            slots: 16,
            pinned: rng.random_bool(0.5),
            evictable: own,
            ..Default::default()
        });
    }
    targets
}

fn tier(rng: &mut impl Rng) -> Tier {
    match rng.random_range(0..10) {
        0 => Tier::Memory,
        1..4 => Tier::Disk,
        _ => Tier::Remote,
    }
}

/// Returns a request for an adapter that takes the memory of two others.
pub fn placement_request() -> PlacementRequest {
    let weights = |model, memory| Weights {
        model,
        memory,
        load_time: Duration::from_secs(10),
    };
    PlacementRequest {
        weights: weights(0, 2 * ADAPTER_MB),
        base: Some(weights(30_001, MODEL_MB)),
        worth: 1.0,
    }
}

/// Returns the models, then the adapters of a deployment.
pub fn pin_models(size: &Size) -> Vec<PinModel> {
    let mut rng = rng();
    let mut models = Vec::new();
    for i in 0..size.models + size.adapters {
        let adapter = i >= size.models;
        models.push(PinModel {
            memory: if adapter { ADAPTER_MB } else { MODEL_MB },
            limit: if adapter { 1 } else { 4 },
            base: adapter.then(|| rng.random_range(0..size.models)),
            demand: rng.random_range(0.0..1.0),
        });
    }
    models
}

/// Returns the engines of a deployment; every fourth ignores fencing tokens.
pub fn pin_engines(size: &Size) -> Vec<PinEngine> {
    let mut engines = Vec::new();
    for i in 0..size.engines {
        engines.push(PinEngine {
            fencing: i % 4 != 0,
            domain: (i % usize::from(DOMAIN_COUNT)) as u16,
            memory: ENGINE_MB,
            ..Default::default()
        });
    }
    engines
}

/// Returns pins that satisfy the rules, except that those of the last model are missing.
pub fn pins(models: &[PinModel], engines: &[PinEngine]) -> Vec<Pin> {
    use mastichinge::decide::pinning::{PinChange, plan_changes};
    let mut pins = Vec::new();
    for _ in 0..8 {
        let out = plan_changes(models, engines, &pins, usize::MAX);
        if out.changes.is_empty() {
            break;
        }
        for change in out.changes {
            if let PinChange::Add { model, engine } = change {
                pins.push(Pin {
                    model,
                    engine,
                    state: PinState::Unused,
                });
            }
        }
    }
    pins.retain(|p| p.model + 1 != models.len());
    pins
}

/// Returns permits with `count` waiting loads.
pub fn permits(count: usize) -> Permits {
    let mut permits = Permits::new(StoreLimits::default(), Moment::ZERO);
    for i in 0..count {
        permits.request(PermitRequest {
            load: format!("entry-0460-1764800000000-{i}").into(),
            host: format!("entry-{:04}", i % 460).into(),
            adapter: false,
            value_density: i as f64,
            running: false,
        });
    }
    permits
}

/// Returns a permit request that is granted before all of [`permits`].
pub fn permit_request() -> PermitRequest {
    PermitRequest {
        load: "load".into(),
        host: "host".into(),
        adapter: false,
        value_density: 1e9,
        running: false,
    }
}

/// Returns a history with gaps on every scale and the time of its last arrival.
pub fn history() -> (ArrivalHistory, Moment) {
    let mut rng = rng();
    let mut history = ArrivalHistory::default();
    let mut now = Moment::ZERO;
    for _ in 0..100 {
        now += Duration::from_secs(1 << rng.random_range(0..17));
        history.record_arrival(now);
    }
    (history, now)
}
