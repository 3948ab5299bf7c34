//! Datagrams between daemons.

use prost::Message;

/// What one daemon tells the others: a whole state every period, or only what
/// is urgent.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Host of the sender.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Lifetime of the sender's process; higher with each start.
    #[prost(uint64, tag = "2")]
    pub life: u64,
    /// Number of this packet in that lifetime.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The whole state; absent in urgent packets.
    #[prost(message, optional, tag = "4")]
    pub beat: Option<Beat>,
    /// Requests that wait for a model.
    #[prost(message, repeated, tag = "5")]
    pub wants: Vec<WantNote>,
    /// What engines hold; only from the holder of orders.
    #[prost(message, repeated, tag = "6")]
    pub told: Vec<ToldNote>,
    /// Requests whose engines broke off.
    #[prost(message, repeated, tag = "7")]
    pub crash_reports: Vec<CrashReport>,
    /// Prompts that were sent to engines.
    #[prost(message, repeated, tag = "8")]
    pub sent: Vec<SentNote>,
}

/// A daemon's state.
#[derive(Clone, PartialEq, Message)]
pub struct Beat {
    /// Address for callers.
    #[prost(string, tag = "1")]
    pub callers: String,
    /// Failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// It takes callers.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// The store serves it.
    #[prost(bool, tag = "4")]
    pub store: bool,
    /// Its leadership.
    #[prost(message, optional, tag = "5")]
    pub leadership: Option<LeadershipNote>,
    /// What it has in progress at engines.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<LoadNote>,
    /// Demand that it sees.
    #[prost(message, repeated, tag = "7")]
    pub demand: Vec<DemandNote>,
}

/// A daemon's leadership as the giver of orders.
#[derive(Clone, PartialEq, Message)]
pub struct LeadershipNote {
    /// Fencing number.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Version of its row when that was last written.
    #[prost(uint64, tag = "2")]
    pub row: u64,
    /// It offers the orders to others.
    #[prost(bool, tag = "3")]
    pub offered: bool,
    /// Time since the last order that a successor has to keep away from, ms.
    #[prost(uint64, tag = "4")]
    pub idle_ms: u64,
    /// Time since the row was last renewed, ms.
    #[prost(uint64, tag = "5")]
    pub renewed_ms: u64,
    /// Time until its first order, ms.
    #[prost(uint64, tag = "6")]
    pub wait_ms: u64,
    /// Loads from the weight store within the ceiling's window.
    #[prost(message, repeated, tag = "7")]
    pub loads: Vec<LoadStart>,
}

/// A load from the weight store.
#[derive(Clone, PartialEq, Message)]
pub struct LoadStart {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Time since it was ordered, ms.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// What a daemon has in progress at one engine.
#[derive(Clone, PartialEq, Message)]
pub struct LoadNote {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests in progress by target.
    #[prost(message, repeated, tag = "4")]
    pub targets: Vec<Count>,
}

/// A number of requests for one target.
#[derive(Clone, PartialEq, Message)]
pub struct Count {
    /// Model or `model/adapter`.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// Demand for one model.
#[derive(Clone, PartialEq, Message)]
pub struct DemandNote {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Requests a second.
    #[prost(float, tag = "3")]
    pub rate: f32,
    /// Engine time, seconds a second.
    #[prost(float, tag = "4")]
    pub work: f32,
    /// Requests a second whose objective leaves no time for a load.
    #[prost(float, tag = "5")]
    pub tight: f32,
}

/// Requests that wait for a model or an adapter.
#[derive(Clone, PartialEq, Message)]
pub struct WantNote {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Model or `model/adapter`.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Requests that wait.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Most urgent rank among them.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// Engine that said it lacks the target although it was believed to hold
    /// it; empty for none.
    #[prost(string, tag = "5")]
    pub absent: String,
}

/// What an engine holds.
#[derive(Clone, PartialEq, Message)]
pub struct ToldNote {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Start of its lifetime, ms since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Fencing number of the leadership.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
    /// Number within the leadership.
    #[prost(uint64, tag = "4")]
    pub turn: u64,
    /// Models and `model/adapter`s that may be asked of it.
    #[prost(string, repeated, tag = "5")]
    pub targets: Vec<String>,
}

/// A prompt was sent to an engine.
#[derive(Clone, PartialEq, Message)]
pub struct SentNote {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Model or `model/adapter`.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Prompt work, ms.
    #[prost(uint32, tag = "3")]
    pub work_ms: u32,
    /// Tokens that the engine has to read.
    #[prost(uint32, tag = "4")]
    pub fresh: u32,
    /// Keys of the prompt's chains.
    #[prost(fixed64, repeated, tag = "5")]
    pub chains: Vec<u64>,
}

/// An engine broke off while it ran a request.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReport {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Id of the engine.
    #[prost(string, tag = "2")]
    pub engine: String,
}
