//! What placement sees of models and engines.

use std::time::Duration;

use super::routing::Domain;
use crate::config::{Policy, Strategy};
use crate::outside::Tier;

/// Index of a model; the caller keeps the names.
pub type ModelId = u32;

/// Share of the load time from the weight store that a cache tier takes.
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
    /// Expected time of a load from `tier`, given the one from the store.
    pub fn load_time(&self, remote: Duration, tier: Tier) -> Duration {
        match tier {
            Tier::Memory => remote.mul_f64(self.memory),
            Tier::Disk => remote.mul_f64(self.disk),
            Tier::Remote => remote,
        }
    }
}

/// What must be loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Index of the model.
    pub model: ModelId,
    /// Memory, MB.
    pub memory: u64,
    /// Load time from the weight store.
    pub load_time: Duration,
}

/// The model to wake.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Its own weights.
    pub weights: Weights,
    /// Weights of the base model of an adapter.
    pub base: Option<Weights>,
    /// Worth of one completion.
    pub worth: f64,
}

/// The base model of the wanted adapter on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BaseState {
    /// Neither loaded nor pinned there.
    #[default]
    Absent,
    /// Pinned there and cached in this tier; it is loaded first.
    Pinned(Tier),
    /// Loaded there.
    Loaded,
}

/// An idle resident that may be evicted: no work, no loaded adapter beside
/// it, not kept warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvictionCandidate {
    /// Index of the model.
    pub model: ModelId,
    /// Memory, MB.
    pub memory: u64,
    /// Cost of waking it again, weighted seconds.
    pub cost: f64,
}

/// One engine as placement sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementTarget<'a> {
    /// It answers, is not leaving, and takes orders.
    pub schedulable: bool,
    /// The wanted model is loaded, loading or doubtful there.
    pub holds_model: bool,
    /// The wanted model has a pin there.
    pub pinned: bool,
    /// Failure domain.
    pub domain: Domain,
    /// Memory less what is loaded, loading or doubtful, MB.
    pub free: u64,
    /// Where the wanted weights are cached.
    pub tier: Tier,
    /// The wanted adapter's base model there.
    pub base: BaseState,
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests that it batches at once; 0 counts as 1.
    pub slots: u32,
    /// Residents that may be evicted, in ascending order of cost.
    pub evictable: &'a [EvictionCandidate],
}

impl Default for PlacementTarget<'_> {
    fn default() -> Self {
        PlacementTarget {
            schedulable: true,
            holds_model: false,
            pinned: true,
            domain: 0,
            free: 0,
            tier: Tier::Remote,
            base: BaseState::Absent,
            in_flight: 0,
            slots: 1,
            evictable: &[],
        }
    }
}

/// How to place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// Strategy of the policy.
    pub strategy: Strategy,
    /// Cost of one second of cold-start tail.
    pub tail_weight: f64,
    /// Load times by cache tier.
    pub tiers: TierLoadRatios,
    /// Only engines with a pin: the table takes no writes now, or the model
    /// has as many pins as replicas are allowed.
    pub pinned_only: bool,
    /// Engine at which [`Strategy::Solo`] starts to look, so that daemons differ.
    pub start: usize,
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
            tiers: TierLoadRatios::default(),
            pinned_only: false,
            start: 0,
        }
    }
}

/// Where to load and what goes first.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPlan {
    /// Index of the engine's room.
    pub engine: usize,
    /// Models to unload there before.
    pub evict: Vec<ModelId>,
    /// The base model must be loaded there first.
    pub load_base: bool,
    /// Expected time of all loads.
    pub load_time: Duration,
}
