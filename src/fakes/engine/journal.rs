//! Record of the events at an engine, for checks in tests.

use std::sync::Arc;
use std::time::Instant;

use crate::outside::engine_http::OrderRefusal;
use crate::outside::{Order, Resident};

/// Events at an engine, over all its instances.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// Periods in which models used memory.
    pub residencies: Vec<Residency>,
    /// Orders received.
    pub orders: Vec<OrderRecord>,
    /// Streams that ended.
    pub streams: Vec<StreamRecord>,
    /// Memory in use after each load that exceeded the memory of the engine, MB.
    pub overcommits: Vec<u64>,
    /// Models that were unloaded while they had streams in progress.
    pub interrupted: Vec<Arc<str>>,
    /// Time at which the engine started to report that it is leaving.
    pub leaving_since: Option<Instant>,
}

/// Period in which a model used memory.
#[derive(Clone, Debug)]
pub struct Residency {
    /// Model or adapter.
    pub resident: Resident,
    /// Time at which the load started.
    pub load_start: Instant,
    /// Time at which the load finished.
    pub ready_at: Option<Instant>,
    /// Time of the unload or crash.
    pub released_at: Option<Instant>,
}

/// An order that the engine received.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// Time of arrival.
    pub received_at: Instant,
    /// Order as received.
    pub order: Order,
    /// Reason why the order was not executed, if it was refused.
    pub refusal: Option<OrderRefusal>,
}

/// Reason why a stream ended.
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
    /// Id of the request and attempt, as received.
    pub request_id: String,
    /// Model or adapter.
    pub model: String,
    /// Time of arrival.
    pub arrived_at: Instant,
    /// Time at which the stream ended.
    pub ended_at: Instant,
    /// Number of tokens sent.
    pub tokens: usize,
    /// Reason why the stream ended.
    pub end: StreamEnd,
}
