//! Interfaces to outside systems: the platform's table, object store and host
//! list, and the model engines.

pub mod client;
pub mod engine_http;
pub mod escape;
pub mod hosts_http;
pub mod http;
pub mod objects_http;
pub mod sse;
pub mod table_http;

pub use client::Timeouts;
pub use engine_http::HttpEngine;
pub use hosts_http::HttpHosts;
pub use http::HttpPlatform;
pub use objects_http::HttpObjects;
pub use table_http::HttpTable;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A versioned item of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the item.
    pub key: Arc<str>,
    /// Version: 1 for the first item with this key, larger after each write, and larger than that of
    /// all items with this key that were deleted. Otherwise, a write by a host that was paused could
    /// replace an item that it has not read.
    pub version: u64,
    /// Content of the item.
    pub value: serde_json::Value,
}

/// Condition on the item's state before a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Precondition {
    /// Any state.
    Any,
    /// The item does not exist.
    Absent,
    /// The item has this version.
    Version(u64),
}

/// Effect of a write on its item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOp {
    /// Replaces the content.
    Put(serde_json::Value),
    /// Deletes the item.
    Delete,
    /// Leaves the item as it is and only checks the precondition.
    Check,
}

/// One conditional write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the item.
    pub key: Arc<str>,
    /// Precondition.
    pub expect: Precondition,
    /// Effect.
    pub op: WriteOp,
}

/// Error of a call to the table, the object store or the host list.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TableError {
    /// A precondition failed; nothing was written.
    #[error("a condition on {key} did not hold")]
    Conflict {
        /// Key whose precondition failed.
        key: Arc<str>,
        /// Current state of the item.
        current: Option<Item>,
    },
    /// No response arrived: a write may or may not have taken effect.
    #[error("the table did not answer: {0}")]
    Unavailable(String),
    /// The request was malformed; nothing was written.
    #[error("the table refused the request: {0}")]
    Refused(String),
}

/// The transactional table service.
pub trait Table: Send + Sync + 'static {
    /// Reads one item.
    fn get(&self, key: &str) -> Result<Option<Item>, TableError>;
    /// Reads all items whose key starts with `prefix`, in key order.
    fn scan(&self, prefix: &str) -> Result<Vec<Item>, TableError>;
    /// Commits all writes or none; returns the new version of each item
    /// (the unchanged one for a check, 0 for a delete).
    fn commit(&self, writes: &[Write]) -> Result<Vec<u64>, TableError>;
}

/// The object store.
pub trait Objects: Send + Sync + 'static {
    /// Reads an object.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, TableError>;
    /// Writes or replaces an object.
    fn put(&self, name: &str, body: &[u8]) -> Result<(), TableError>;
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// Will be reclaimed soon.
    Leaving,
}

/// One entry of the host list; removed hosts are not listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name: a daemon's host name or an engine's name.
    pub name: Arc<str>,
    /// State that the platform reports.
    pub state: HostState,
    /// Revision of the list in which this entry last changed.
    pub revision: u64,
}

/// Content of the host list at one revision; it may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hosts {
    /// Revision of the list; never decreases.
    pub revision: u64,
    /// Listed hosts.
    pub hosts: Vec<HostEntry>,
}

/// The platform's list of hosts.
pub trait HostList: Send + Sync + 'static {
    /// Reads the list.
    fn read(&self) -> Result<Hosts, TableError>;
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verb {
    /// Load the weights.
    Load,
    /// Unload the weights.
    Unload,
    /// Only raise the fencing token.
    Fence,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Kind.
    pub verb: Verb,
    /// Model or adapter; empty for [`Verb::Fence`].
    pub model: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Base model of an adapter.
    pub base: Option<Arc<str>>,
    /// Memory, MB.
    pub memory: u64,
    /// Fencing token of the owner.
    pub token: u64,
    /// Instance id that the order is meant for.
    pub instance: Arc<str>,
}

/// Storage tier from which an engine can load weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// In host memory.
    Memory,
    /// On local disk.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// One entry of an engine's repository index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resident {
    /// Model or adapter.
    pub model: Arc<str>,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Whether it is loaded; false while it is loading.
    pub ready: bool,
    /// Memory, MB.
    pub memory: u64,
}

/// An engine's report of its state; it may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Instance id; new with every start of the engine process.
    pub instance: Arc<str>,
    /// Highest fencing token seen; 0 if the engine ignores tokens.
    pub token: u64,
    /// Number of the last order that the engine executed.
    pub orders: u64,
    /// Loaded or loading models and adapters.
    pub residents: Vec<Resident>,
    /// Cached weights: model and tier.
    pub cached: Vec<(Arc<str>, Tier)>,
    /// Requests in progress.
    pub running: u32,
    /// Requests in the engine's queue.
    pub waiting: u32,
    /// Whether the engine rejects new work.
    pub leaving: bool,
}

/// Error of an engine call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// No byte of the request was sent.
    #[error("no connection to the engine: {0}")]
    Unreachable(String),
    /// The request was sent; the connection was lost before the response ended.
    #[error("the connection to the engine broke: {0}")]
    ConnectionLost(String),
    /// The request was sent and timed out; the engine may still be running it.
    #[error("the engine is silent: {0}")]
    TimedOut(String),
    /// The engine rejected the order: its fencing token is older than `current`.
    #[error("the engine has a newer fencing token: {current}")]
    Fenced {
        /// Highest token that the engine has seen.
        current: u64,
    },
    /// The engine rejected the order: it restarted with another instance id.
    #[error("the engine restarted as instance {current}")]
    Restarted {
        /// Instance id of the engine.
        current: Arc<str>,
    },
    /// The engine returned an error status.
    #[error("the engine answered {status}: {detail}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// Start of the body.
        detail: String,
    },
}

/// Event of a response stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Chunk {
    /// JSON text of a server-sent event.
    Data(String),
    /// Regular end of the stream.
    Done,
}

/// A response stream; dropping it cancels the request at the engine.
pub trait ChunkStream: Send {
    /// Blocks until the next chunk arrives.
    fn next(&mut self) -> Result<Chunk, EngineError>;
}

/// Address, credentials and timeouts of an engine call.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Address of the engine, `ip:port`.
    pub addr: Arc<str>,
    /// API key of the engine; empty for none.
    pub key: Arc<str>,
    /// Id of the request and attempt.
    pub request_id: Arc<str>,
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// Timeout of one read of the response.
    pub read_timeout: Duration,
}

/// A model engine.
pub trait Engine: Send + Sync + 'static {
    /// Response stream of this engine.
    type ChunkStream: ChunkStream;
    /// Sends a request to `path`; the body must request a stream.
    fn stream(
        &self,
        call: &CallOptions,
        path: &str,
        body: &[u8],
    ) -> Result<Self::ChunkStream, EngineError>;
    /// Sends an order and waits until the engine has executed it.
    fn order(&self, call: &CallOptions, order: &Order) -> Result<Report, EngineError>;
    /// Reads the engine's report.
    fn report(&self, call: &CallOptions) -> Result<Report, EngineError>;
}

/// The outside systems that a daemon uses.
pub trait Platform: Send + Sync + 'static {
    /// Table service.
    type Table: Table;
    /// Object store.
    type Objects: Objects;
    /// Host list.
    type Hosts: HostList;
    /// Model engines.
    type Engine: Engine;

    /// Returns the table service.
    fn table(&self) -> &Self::Table;
    /// Returns the object store.
    fn objects(&self) -> &Self::Objects;
    /// Returns the host list.
    fn hosts(&self) -> &Self::Hosts;
    /// Returns the client of the model engines.
    fn engine(&self) -> &Self::Engine;
}
