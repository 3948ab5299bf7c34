//! What happened at an engine, over all its instances.

use std::sync::Arc;
use std::time::Instant;

use crate::outside::engine_http::Refusal;
use crate::outside::{Order, Resident};

/// What happened at an engine, over all its instances.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// Memory taken over time.
    pub residencies: Vec<Residency>,
    /// Orders.
    pub orders: Vec<OrderRecord>,
    /// Streams that ended.
    pub streams: Vec<StreamRecord>,
    /// Loads that took more memory than there is: memory taken, MB.
    pub overcommits: Vec<u64>,
    /// Models unloaded with streams in progress.
    pub interrupted: Vec<Arc<str>>,
    /// Since when the engine leaves.
    pub leaving_since: Option<Instant>,
}

/// Time during which the memory of a model was taken.
#[derive(Clone, Debug)]
pub struct Residency {
    /// The model or adapter.
    pub resident: Resident,
    /// Start of the load.
    pub load_start: Instant,
    /// End of the load.
    pub ready_at: Option<Instant>,
    /// Unload or crash.
    pub released_at: Option<Instant>,
}

/// An order that reached the engine.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// When.
    pub received_at: Instant,
    /// The order.
    pub order: Order,
    /// Why it was not executed.
    pub refusal: Option<Refusal>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// All tokens were sent.
    Finished,
    /// The client closed the connection.
    Cancelled,
    /// The engine crashed.
    Crashed,
}

/// A stream that ended.
#[derive(Clone, Debug)]
pub struct StreamRecord {
    /// Id of the request and attempt, as sent.
    pub request_id: String,
    /// Model or adapter.
    pub model: String,
    /// Arrival.
    pub arrived_at: Instant,
    /// End.
    pub ended_at: Instant,
    /// Tokens sent.
    pub tokens: usize,
    /// How it ended.
    pub end: StreamEnd,
}
