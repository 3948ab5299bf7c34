//! Messages between daemons.

use prost::{Message, Oneof};
use xxhash_rust::xxh3::xxh3_64;

/// Version of the messages; both sides must use the same one.
pub const WIRE_VERSION: u32 = 1;

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Content; absent in a keepalive frame, or when the receiver does not know the
    /// message type.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19"
    )]
    pub body: Option<Body>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame of each side.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Response to the nonce of the other side.
    #[prost(message, tag = "2")]
    Proof(Proof),
    /// Periodic state of the sender.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// Replicas of a pool.
    #[prost(message, tag = "4")]
    Pool(PoolState),
    /// Request for a replica.
    #[prost(message, tag = "5")]
    ReplicaRequest(ReplicaRequest),
    /// Reply to a replica request.
    #[prost(message, tag = "6")]
    ReplicaReply(ReplicaReply),
    /// Withdrawal of a replica request.
    #[prost(message, tag = "7")]
    Cancel(Cancel),
    /// Accepted configuration change.
    #[prost(message, tag = "8")]
    Change(Change),
    /// Request for configuration changes.
    #[prost(message, tag = "9")]
    ChangesRequest(ChangesRequest),
    /// Whole configuration.
    #[prost(message, tag = "10")]
    Snapshot(Snapshot),
    /// Query about an at-most-once call.
    #[prost(message, tag = "11")]
    CallQuery(CallQuery),
    /// Reply to a call query.
    #[prost(message, tag = "12")]
    CallReply(CallReply),
    /// Request for a weight-store permit.
    #[prost(message, tag = "13")]
    PermitAcquire(PermitAcquire),
    /// Grant of a permit.
    #[prost(message, tag = "14")]
    Permit(Permit),
    /// Release of a permit.
    #[prost(message, tag = "15")]
    PermitRelease(PermitRelease),
    /// Engine crashes during a request.
    #[prost(message, tag = "16")]
    CrashReport(CrashReport),
    /// Usage of a pool's replicas, sent to its owner.
    #[prost(message, tag = "17")]
    Usage(Usage),
    /// Acknowledgement of a crash report.
    #[prost(message, tag = "18")]
    CrashReportAck(CrashReportAck),
    /// Loads of a pool's engines.
    #[prost(message, tag = "19")]
    EngineLoads(EngineLoads),
}

/// First frame of each side.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// [`WIRE_VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub wire: u32,
    /// Firm that the sender serves.
    #[prost(string, tag = "2")]
    pub firm: String,
    /// Host name of the sender.
    #[prost(string, tag = "3")]
    pub host: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Random bytes that the proof of the receiver covers.
    #[prost(bytes = "vec", tag = "5")]
    pub nonce: Vec<u8>,
}

/// Response to a nonce.
#[derive(Clone, PartialEq, Message)]
pub struct Proof {
    /// HMAC-SHA-256 of both hellos under the shared key.
    #[prost(bytes = "vec", tag = "1")]
    pub mac: Vec<u8>,
}

/// Periodic state of the sender, which also shows that it is alive.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// The sender accepts no new callers.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// The sender has a configuration and serves requests.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// Configuration version of the sender.
    #[prost(uint64, tag = "4")]
    pub config: u64,
    /// Requests in progress.
    #[prost(uint32, tag = "5")]
    pub streams: u32,
    /// Address for callers, `ip:port`.
    #[prost(string, tag = "6")]
    pub addr: String,
    /// Failure domain.
    #[prost(string, tag = "7")]
    pub domain: String,
}

/// One engine of a pool.
#[derive(Clone, PartialEq, Message)]
pub struct EngineState {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Id of the engine instance.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Models that are loaded and accept requests.
    #[prost(string, repeated, tag = "3")]
    pub ready: Vec<String>,
    /// Requests in progress as of the last report.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// Requests in the engine's own queue as of the last report.
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
    /// The engine accepts no new requests.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Age of the last report, ms.
    #[prost(uint32, tag = "7")]
    pub age_ms: u32,
    /// Fingerprints of the versions of the weights of those models, in their order.
    #[prost(fixed32, repeated, tag = "8")]
    pub weights: Vec<u32>,
}

/// Returns the fingerprint of a version of a model's weights.
pub fn weights_fingerprint(version: &str) -> u32 {
    xxh3_64(version.as_bytes()) as u32
}

/// Replicas of a pool, sent by its owner.
#[derive(Clone, PartialEq, Message)]
pub struct PoolState {
    /// Pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Epoch of the owner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sequence number of this state within the epoch.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// All engines of the pool, or those that changed since `base`.
    #[prost(message, repeated, tag = "4")]
    pub engines: Vec<EngineState>,
    /// Sequence number of the state that this one changes; 0 for a full state.
    #[prost(uint64, tag = "5")]
    pub base: u64,
}

/// Loads of a pool's engines, in the order of the last full state.
#[derive(Clone, PartialEq, Message)]
pub struct EngineLoads {
    /// Pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Epoch of the owner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sequence number of the state that the loads belong to.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Requests in progress.
    #[prost(uint32, repeated, tag = "4")]
    pub running: Vec<u32>,
    /// Requests in the engines' own queues.
    #[prost(uint32, repeated, tag = "5")]
    pub waiting: Vec<u32>,
}

/// Request for a replica.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicaRequest {
    /// Ticket, unique over all hosts and restarts.
    #[prost(string, tag = "1")]
    pub ticket: String,
    /// Model or adapter.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Time until the deadline of the request, ms.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
    /// Priority; higher first.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// Fingerprint if the request is a suspect, or several with spaces between them; else empty.
    #[prost(string, tag = "5")]
    pub suspect: String,
    /// Engine instances to avoid.
    #[prost(string, repeated, tag = "6")]
    pub avoid: Vec<String>,
}

/// Reply to a replica request.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicaReply {
    /// Ticket.
    #[prost(string, tag = "1")]
    pub ticket: String,
    /// Engine that serves the request; empty on a refusal.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// Name of the error kind on a refusal.
    #[prost(string, tag = "3")]
    pub kind: String,
    /// Delay before a retry, ms.
    #[prost(uint64, tag = "4")]
    pub retry_ms: u64,
}

/// Withdrawal of a replica request, or the end of a suspect's trial.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    /// Ticket.
    #[prost(string, tag = "1")]
    pub ticket: String,
}

/// Accepted configuration change.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// New version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Log entry, JSON.
    #[prost(string, tag = "2")]
    pub entry: String,
}

/// Request for the changes after a version.
#[derive(Clone, PartialEq, Message)]
pub struct ChangesRequest {
    /// Version that the sender has.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Whole configuration.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Document, JSON.
    #[prost(string, tag = "2")]
    pub document: String,
}

/// Query about an at-most-once call.
#[derive(Clone, PartialEq, Message)]
pub struct CallQuery {
    /// Id of the query, unique at the sender.
    #[prost(uint64, tag = "1")]
    pub query_id: u64,
    /// Key of the record.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Id of the attempt; empty for any attempt of the call.
    #[prost(string, tag = "3")]
    pub attempt: String,
}

/// Reply to a call query.
#[derive(Clone, PartialEq, Message)]
pub struct CallReply {
    /// Id of the query that this replies to.
    #[prost(uint64, tag = "1")]
    pub query_id: u64,
    /// Record of the call, JSON; empty while the attempt is in progress.
    #[prost(string, tag = "2")]
    pub record: String,
    /// The sender does not know the attempt.
    #[prost(bool, tag = "3")]
    pub unknown: bool,
}

/// Request for a weight-store permit.
#[derive(Clone, PartialEq, Message)]
pub struct PermitAcquire {
    /// Id of the load, unique over all hosts and restarts.
    #[prost(string, tag = "1")]
    pub load: String,
    /// The load is of an adapter, not of a model.
    #[prost(bool, tag = "2")]
    pub adapter: bool,
    /// Value density of the load; higher first.
    #[prost(double, tag = "3")]
    pub value_density: f64,
    /// The load is already running.
    #[prost(bool, tag = "4")]
    pub running: bool,
}

/// Grant of a permit.
#[derive(Clone, PartialEq, Message)]
pub struct Permit {
    /// Id of the load.
    #[prost(string, tag = "1")]
    pub load: String,
}

/// Release of a permit.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRelease {
    /// Id of the load.
    #[prost(string, tag = "1")]
    pub load: String,
}

/// Engine crashes during a request.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReport {
    /// Fingerprint of model and body.
    #[prost(string, tag = "1")]
    pub fingerprint: String,
    /// Engine instances that crashed while they ran the request.
    #[prost(string, repeated, tag = "2")]
    pub instances: Vec<String>,
    /// An operator has released the request.
    #[prost(bool, tag = "3")]
    pub released: bool,
    /// Model of the request.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Times since the instances crashed, milliseconds, in their order; zero where missing.
    #[prost(uint64, repeated, tag = "5")]
    pub ages_ms: Vec<u64>,
    /// Whether they crashed at a trial of what the fingerprint stands for.
    #[prost(bool, tag = "6")]
    pub trial: bool,
    /// Fingerprints of requests that had the message, some of them.
    #[prost(string, repeated, tag = "7")]
    pub requests: Vec<String>,
}

/// Acknowledgement of a crash report.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReportAck {
    /// Fingerprint.
    #[prost(string, tag = "1")]
    pub fingerprint: String,
}

/// Usage of one replica by one daemon.
#[derive(Clone, PartialEq, Message)]
pub struct ReplicaUsage {
    /// Model or adapter.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Engine; empty for waiting requests.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// Requests that arrived since the last message.
    #[prost(uint32, tag = "3")]
    pub arrived: u32,
    /// Requests in progress, or waiting requests if `engine` is empty.
    #[prost(uint32, tag = "4")]
    pub running: u32,
}

/// Usage of a pool by one daemon; acknowledges the last pool state received.
#[derive(Clone, PartialEq, Message)]
pub struct Usage {
    /// Pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Epoch of the last state received.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sequence number of the last state received.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Replicas with arrivals or requests in progress.
    #[prost(message, repeated, tag = "4")]
    pub uses: Vec<ReplicaUsage>,
    /// Engines that failed a request since the last message.
    #[prost(string, repeated, tag = "5")]
    pub failed: Vec<String>,
}
