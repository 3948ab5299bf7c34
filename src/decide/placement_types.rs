//! Input and output types of placement.

use std::time::Duration;

use super::routing::Domain;
use crate::config::{Policy, Strategy};
use crate::outside::Tier;

/// Index of a model, assigned by the code that uses this module.
pub type ModelIndex = u32;

/// Load times from the cache tiers, relative to a load from the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TierLoadRatios {
    /// From host memory.
    pub memory: f64,
    /// From local disk.
    pub disk: f64,
}

impl Default for TierLoadRatios {
    fn default() -> Self {
        TierLoadRatios {
            memory: 0.1,
            disk: 0.4,
        }
    }
}

impl TierLoadRatios {
    /// Returns the expected time of a load from `tier`, given that of a load from
    /// the store.
    pub fn load_time(&self, remote: Duration, tier: Tier) -> Duration {
        match tier {
            Tier::Memory => remote.mul_f64(self.memory),
            Tier::Disk => remote.mul_f64(self.disk),
            Tier::Remote => remote,
        }
    }
}

/// Weights of a model or adapter that are to be loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Index of the model.
    pub model: ModelIndex,
    /// Memory, MB.
    pub memory: u64,
    /// Load time from the weight store.
    pub load_time: Duration,
}

/// A model or adapter that needs a further replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Its own weights.
    pub weights: Weights,
    /// Weights of the base model, for an adapter.
    pub base: Option<Weights>,
    /// Value of one completion, as configured.
    pub worth: f64,
}

/// State of the requested adapter's base model on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BaseState {
    /// Neither loaded nor pinned there.
    #[default]
    Absent,
    /// Pinned but not loaded there, cached in this tier; it must be loaded first.
    Pinned(Tier),
    /// Loaded there.
    Loaded,
}

/// An idle replica that may be evicted: it has no requests and no loaded
/// adapter, and is not kept warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvictionCandidate {
    /// Index of the model.
    pub model: ModelIndex,
    /// Memory, MB.
    pub memory: u64,
    /// Expected cost of loading it again, weighted seconds.
    pub cost: f64,
}

/// One engine that may receive the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementTarget<'a> {
    /// It answers, is not leaving, and accepts orders.
    pub schedulable: bool,
    /// The requested model is loaded, loading or doubtful there.
    pub holds_model: bool,
    /// The requested model has a pin there.
    pub pinned: bool,
    /// Failure domain.
    pub domain: Domain,
    /// Memory not used by models that are loaded, loading or doubtful, MB.
    pub free_memory: u64,
    /// Fastest tier in which the requested weights are cached.
    pub tier: Tier,
    /// State of the requested adapter's base model there.
    pub base: BaseState,
    /// Requests in progress.
    pub in_flight: u32,
    /// Maximum batch size; 0 counts as 1.
    pub slots: u32,
    /// Replicas that may be evicted, in ascending order of cost.
    pub evictable: &'a [EvictionCandidate],
}

impl Default for PlacementTarget<'_> {
    fn default() -> Self {
        PlacementTarget {
            schedulable: true,
            holds_model: false,
            pinned: true,
            domain: 0,
            free_memory: 0,
            tier: Tier::Remote,
            base: BaseState::Absent,
            in_flight: 0,
            slots: 1,
            evictable: &[],
        }
    }
}

/// Options of placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// Strategy of the policy.
    pub strategy: Strategy,
    /// Cost of one second of cold start.
    pub tail_weight: f64,
    /// Relative load times by cache tier.
    pub tier_ratios: TierLoadRatios,
    /// Use only engines with a pin, because no pin can be written now or the model
    /// already has a pin for every allowed replica.
    pub pinned_only: bool,
    /// Engine at which [`Strategy::Solo`] starts its search; it differs by daemon.
    pub first_engine: usize,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        PlacementOptions::from(&Policy::default())
    }
}

impl From<&Policy> for PlacementOptions {
    fn from(policy: &Policy) -> Self {
        PlacementOptions {
            strategy: policy.strategy,
            tail_weight: policy.tail_weight,
            tier_ratios: TierLoadRatios::default(),
            pinned_only: false,
            first_engine: 0,
        }
    }
}

/// Engine that was chosen and what must happen there.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPlan {
    /// Index of the engine among the targets.
    pub engine: usize,
    /// Models to unload there first.
    pub evict: Vec<ModelIndex>,
    /// The base model must be loaded there first.
    pub load_base: bool,
    /// Expected time of all loads.
    pub load_time: Duration,
}
