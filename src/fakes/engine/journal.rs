//! What happened at an engine, over all its instances.

use std::sync::Arc;
use std::time::Instant;

use crate::outside::engine_http::OrderRefusal;
use crate::outside::{Order, Resident};

/// What happened at an engine, over all its instances.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// Memory taken over time.
    pub stays: Vec<Stay>,
    /// Orders.
    pub orders: Vec<Received>,
    /// Streams that ended.
    pub served: Vec<Served>,
    /// Loads that took more memory than there is: memory taken, MB.
    pub overcommits: Vec<u64>,
    /// Models unloaded with streams in progress.
    pub cuts: Vec<Arc<str>>,
    /// Since when the engine leaves.
    pub left: Option<Instant>,
}

/// Time during which the memory of a model was taken.
#[derive(Clone, Debug)]
pub struct Stay {
    /// The model or adapter.
    pub resident: Resident,
    /// Start of the load.
    pub from: Instant,
    /// End of the load.
    pub ready: Option<Instant>,
    /// Unload or crash.
    pub until: Option<Instant>,
}

/// An order that reached the engine.
#[derive(Clone, Debug)]
pub struct Received {
    /// When.
    pub at: Instant,
    /// The order.
    pub order: Order,
    /// Why it was not executed.
    pub refusal: Option<OrderRefusal>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All tokens were sent.
    Finished,
    /// The client closed the connection.
    Cancelled,
    /// The engine crashed.
    Crashed,
}

/// A stream that ended.
#[derive(Clone, Debug)]
pub struct Served {
    /// Id of the request and attempt, as sent.
    pub request: String,
    /// Model or adapter.
    pub model: String,
    /// Arrival.
    pub from: Instant,
    /// End.
    pub until: Instant,
    /// Tokens sent.
    pub tokens: usize,
    /// How it ended.
    pub end: End,
}
