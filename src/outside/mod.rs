//! The outside world behind small interfaces: the platform's table, object
//! store and host list, and the model engines.

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
    /// Version, at least 1, raised by one with each write of the item.
    pub version: u64,
    /// Content of the item.
    pub value: serde_json::Value,
}

/// What a write expects of the item before it.
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

/// What a write does to its item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOp {
    /// Replaces the content.
    Put(serde_json::Value),
    /// Deletes the item.
    Delete,
    /// Only checks the condition.
    Check,
}

/// One conditional write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the item.
    pub key: Arc<str>,
    /// Condition.
    pub expect: Precondition,
    /// Effect.
    pub op: WriteOp,
}

/// Why a table call failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TableError {
    /// A condition did not hold; nothing was written.
    #[error("a condition on {key} did not hold")]
    Conflict {
        /// Key whose condition failed.
        key: Arc<str>,
        /// The item as it stands.
        current: Option<Item>,
    },
    /// No answer came: a write may or may not have taken effect.
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
    /// Commits all writes or none; answers the new version of each item
    /// (the unchanged one for a check, 0 for a delete).
    fn commit(&self, writes: &[Write]) -> Result<Vec<u64>, TableError>;
}

/// The object store.
pub trait Objects: Send + Sync + 'static {
    /// Reads an object.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, TableError>;
    /// Writes an object whole.
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

/// One entry of the host list; hosts that are gone are not listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name: a daemon's host name or an engine's name.
    pub name: Arc<str>,
    /// State as the platform saw it.
    pub state: HostState,
    /// Revision of the list in which this entry last changed.
    pub revision: u64,
}

/// The lagging host list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hosts {
    /// Revision of the whole list; only rises.
    pub revision: u64,
    /// Listed hosts.
    pub hosts: Vec<HostEntry>,
}

/// The platform's list of hosts.
pub trait HostList: Send + Sync + 'static {
    /// Reads the list.
    fn read(&self) -> Result<Hosts, TableError>;
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verb {
    /// Load the weights.
    Load,
    /// Unload the weights.
    Unload,
    /// Raise the fencing token only.
    Fence,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// What to do.
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

/// Where weights are cached on an engine.
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
    /// Loaded and ready, as opposed to still loading.
    pub ready: bool,
    /// Memory, MB.
    pub memory: u64,
}

/// An engine's report about itself; lags behind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Instance id; new with every start of the engine process.
    pub instance: Arc<str>,
    /// Highest fencing token seen; 0 where tokens are ignored.
    pub token: u64,
    /// Number of the last order that the engine executed.
    pub orders: u64,
    /// Loaded or loading models and adapters.
    pub residents: Vec<Resident>,
    /// Cached weights: model and tier.
    pub cached: Vec<(Arc<str>, Tier)>,
    /// Requests in progress.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub waiting: u32,
    /// The engine takes no new work.
    pub leaving: bool,
}

/// Why an engine call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// No byte of the request was sent.
    #[error("no connection to the engine: {0}")]
    Unreachable(String),
    /// The request was sent; the connection broke before the answer ended.
    #[error("the connection to the engine broke: {0}")]
    ConnectionLost(String),
    /// The request was sent; the engine is silent but not known to be dead.
    #[error("the engine is silent: {0}")]
    TimedOut(String),
    /// The engine refused a fencing token older than `current`.
    #[error("the engine has a newer fencing token: {current}")]
    Fenced {
        /// Token that the engine holds.
        current: u64,
    },
    /// The engine runs under another instance id.
    #[error("the engine restarted as instance {current}")]
    Restarted {
        /// Present instance id.
        current: Arc<str>,
    },
    /// The engine answered with an error status.
    #[error("the engine answered {status}: {detail}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// Start of the body.
        detail: String,
    },
}

/// Events of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Chunk {
    /// One server-sent event's JSON text.
    Data(String),
    /// The stream ended as it should.
    Done,
}

/// A streamed answer; dropping it cancels the work at the engine.
pub trait ChunkStream: Send {
    /// Blocks for the next chunk.
    fn next(&mut self) -> Result<Chunk, EngineError>;
}

/// What an engine call needs besides its body.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Address of the engine, `ip:port`.
    pub addr: Arc<str>,
    /// Key that the engine checks; empty where it checks none.
    pub key: Arc<str>,
    /// Id of the request and attempt.
    pub request_id: Arc<str>,
    /// Time limit for connecting.
    pub connect_timeout: Duration,
    /// Longest silence between two reads.
    pub read_timeout: Duration,
}

/// A model engine.
pub trait Engine: Send + Sync + 'static {
    /// Streamed answer of this engine.
    type ChunkStream: ChunkStream;
    /// Sends a request to `path`; the body must ask for a stream.
    fn stream(
        &self,
        call: &CallOptions,
        path: &str,
        body: &[u8],
    ) -> Result<Self::ChunkStream, EngineError>;
    /// Carries out an order; returns when the engine has finished it.
    fn order(&self, call: &CallOptions, order: &Order) -> Result<Report, EngineError>;
    /// Reads the engine's report.
    fn report(&self, call: &CallOptions) -> Result<Report, EngineError>;
}

/// The outside systems that a daemon runs on.
pub trait Platform: Send + Sync + 'static {
    /// Table service.
    type Table: Table;
    /// Object store.
    type Objects: Objects;
    /// Host list.
    type Hosts: HostList;
    /// Model engines.
    type Engine: Engine;

    /// The table service.
    fn table(&self) -> &Self::Table;
    /// The object store.
    fn objects(&self) -> &Self::Objects;
    /// The host list.
    fn hosts(&self) -> &Self::Hosts;
    /// The model engines.
    fn engine(&self) -> &Self::Engine;
}
