//! Orders to model engines, and the engines' reports.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::upstream::{LoadedModels, WeightCopies};

/// Operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Verb {
    /// Loads a model or an adapter.
    Load,
    /// Unloads a model or an adapter.
    Unload,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Operation.
    pub verb: Verb,
    /// Model.
    pub model: Arc<str>,
    /// Adapter of that model; absent when the order applies to the model itself.
    pub adapter: Option<Arc<str>>,
    /// Number of orders that the engine must have accepted before this one; absent
    /// for no condition.
    pub expected_count: Option<u64>,
    /// Host of the leader that sends the order.
    pub leader: Arc<str>,
    /// Fencing number of the leadership.
    pub fence: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine has accepted the order and carries it out.
    Accepted,
    /// The engine is in the requested state already.
    #[strum(serialize = "holds")]
    AlreadyDone,
    /// Another order is in progress, or the engine has accepted a different number of
    /// orders.
    Busy,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// A different engine has the address.
    Replaced,
    /// The engine refused the order for another reason.
    Refused,
    /// No answer came; the order may still be carried out.
    Unanswered,
}

/// An engine's report of its state, some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Models that it has loaded, with their adapters.
    pub models: LoadedModels,
    /// Adapters that are loading, as `model/adapter`.
    pub loading_adapters: BTreeSet<Arc<str>>,
    /// Whether an order for a model is in progress.
    pub busy: bool,
    /// Number of orders that it has accepted since its start.
    pub order_count: u64,
    /// Start time of the engine, ms since the Unix epoch; 0 when unknown.
    pub incarnation: u64,
    /// Number of requests in its batch.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Models whose weights it caches in memory or on disk, if reported.
    pub copies: Option<WeightCopies>,
}

impl EngineReport {
    /// Assumed age of a report's content; the platform documents some hundred ms.
    pub const LAG: Duration = Duration::from_millis(250);
}
