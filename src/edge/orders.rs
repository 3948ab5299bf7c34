//! Orders to model engines, and what engines say of themselves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::fleet::{Copies, Held};

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Verb {
    /// Load a model or an adapter.
    Load,
    /// Unload it.
    Unload,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// What to do.
    pub verb: Verb,
    /// Model.
    pub model: Arc<str>,
    /// Adapter of that model; absent when the order is for the model itself.
    pub adapter: Option<Arc<str>>,
    /// Number of orders that the engine must have accepted before this one.
    pub expected: Option<u64>,
    /// Host that gives the order.
    pub leader: Arc<str>,
    /// Fencing number of the leadership.
    pub fence: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or the engine has accepted another number
    /// of orders.
    Busy,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another engine has the address.
    Replaced,
    /// The engine refused it for another reason.
    Refused,
    /// No answer came; it may still be carried out.
    Unanswered,
}

/// An engine's report about itself, some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Models that it holds, with their adapters.
    pub held: Held,
    /// Adapters on their way, as `model/adapter`.
    pub incoming: BTreeSet<Arc<str>>,
    /// Whether an order for a model is under way.
    pub busy: bool,
    /// Number of orders that it accepted since its start.
    pub orders: u64,
    /// Its start, ms since the Unix epoch; 0 when unknown.
    pub born: u64,
    /// Requests in its batch.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Copies of weights that it keeps, where it says so.
    pub copies: Option<Copies>,
}

impl Report {
    /// Age of what a report says; the platform's pages give some hundred ms.
    pub const LAG: Duration = Duration::from_millis(250);
}
