//! Messages in the datagrams between daemons.

use prost::Message;

use super::caps::notes::{CapAnswer, CapLevel, ChargeNote};
pub use super::engine_load::EngineNewsNote;

/// Content of one datagram to other daemons: a heartbeat once per period, reports of load,
/// demand and waiting requests when they are due, and notes that are sent at once.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Host of the sender.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Start number of the sender's process; higher with each start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of this packet since that start.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Sign of life; absent in urgent packets.
    #[prost(message, optional, tag = "9")]
    pub heartbeat: Option<Heartbeat>,
    /// All requests in progress of the sender.
    #[prost(message, optional, tag = "10")]
    pub load: Option<LoadReport>,
    /// Demand at the sender; only to the leader.
    #[prost(message, optional, tag = "11")]
    pub demand: Option<DemandReport>,
    /// All requests of the sender that wait for a model; only to the leader.
    #[prost(message, optional, tag = "12")]
    pub waiting: Option<WaitingReport>,
    /// Models that engines have loaded; only from the leader.
    #[prost(message, repeated, tag = "13")]
    pub announcements: Vec<AnnouncedModelsNote>,
    /// Whether the recipient passes announcements and prompts on to its failure domain.
    #[prost(bool, tag = "14")]
    pub relay: bool,
    /// Ends of engines with requests in progress.
    #[prost(message, repeated, tag = "19")]
    pub crashes: Vec<CrashNote>,
    /// Prompts that were sent to engines.
    #[prost(message, repeated, tag = "8")]
    pub sent_prompts: Vec<PromptNote>,
    /// Engines that have said that they leave.
    #[prost(message, repeated, tag = "15")]
    pub leaving: Vec<LeavingNote>,
    /// What engines have said of their rates.
    #[prost(message, repeated, tag = "16")]
    pub rates: Vec<RateNote>,
    /// Applications for permits; only to the allocator that the sender follows.
    #[prost(message, repeated, tag = "17")]
    pub applications: Vec<ApplicationNote>,
    /// Verdicts on applications of the recipient.
    #[prost(message, repeated, tag = "18")]
    pub verdicts: Vec<VerdictNote>,
    /// Streams that begin at the sender.
    #[prost(message, repeated, tag = "20")]
    pub stream_notes: Vec<StreamNote>,
    /// What the sender knows of streams that the recipient told or asked about.
    #[prost(message, repeated, tag = "21")]
    pub stream_replies: Vec<StreamReply>,
    /// Ids of streams about which the sender asks.
    #[prost(bytes = "vec", repeated, tag = "22")]
    pub stream_questions: Vec<Vec<u8>>,
    /// Charges to customers' caps; only to the allocator that the sender follows.
    #[prost(message, repeated, tag = "23")]
    pub charges: Vec<ChargeNote>,
    /// Answers to charges of the recipient.
    #[prost(message, repeated, tag = "24")]
    pub cap_answers: Vec<CapAnswer>,
    /// What the sender says of its buckets of customers' caps.
    #[prost(message, repeated, tag = "25")]
    pub cap_levels: Vec<CapLevel>,
    /// Load and speed of engines.
    #[prost(message, repeated, tag = "26")]
    pub engine_news: Vec<EngineNewsNote>,
}

impl Packet {
    /// Returns whether it has notes that are of use to daemons that are alive.
    pub fn is_for_alive(&self) -> bool {
        !self.sent_prompts.is_empty() || !self.engine_news.is_empty()
    }

    /// Returns whether it has notes that every daemon should get, also a silent one.
    pub fn is_for_all(&self) -> bool {
        !self.crashes.is_empty() || !self.leaving.is_empty() || !self.rates.is_empty()
    }
}

/// What an engine has said of its rate in one answer.
#[derive(Clone, PartialEq, Message)]
pub struct RateNote {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Start time of the engine, ms since the Unix epoch; 0 when unknown.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Random number of the answer.
    #[prost(fixed64, tag = "3")]
    pub number: u64,
    /// Requests a second; absent when it names no rate any more.
    #[prost(double, optional, tag = "4")]
    pub rate: Option<f64>,
    /// Time since the request was sent, µs.
    #[prost(uint64, tag = "5")]
    pub asked_us: u64,
    /// Time since the answer arrived, µs.
    #[prost(uint64, tag = "6")]
    pub heard_us: u64,
}

/// A stream that begins at the sender.
#[derive(Clone, PartialEq, Message)]
pub struct StreamNote {
    /// Id of the stream.
    #[prost(bytes = "vec", tag = "1")]
    pub stream: Vec<u8>,
    /// Service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Version of the engine's software.
    #[prost(string, tag = "3")]
    pub software: String,
    /// Whether the sender cannot write its row and waits for a reply: the recipient writes it.
    #[prost(bool, tag = "4")]
    pub unwritten: bool,
}

/// What a daemon knows of a stream.
#[derive(Clone, PartialEq, Message)]
pub struct StreamReply {
    /// Id of the stream.
    #[prost(bytes = "vec", tag = "1")]
    pub stream: Vec<u8>,
    /// Version of the engine's software that began it; empty if it is not known.
    #[prost(string, tag = "2")]
    pub software: String,
}

/// An application for a permit.
#[derive(Clone, PartialEq, Message)]
pub struct ApplicationNote {
    /// Number at its host.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Ids of the engines of which any will do.
    #[prost(string, repeated, tag = "2")]
    pub engines: Vec<String>,
    /// Rank of the request; the lowest comes first.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Time for which the request can wait, ms.
    #[prost(uint64, tag = "4")]
    pub patience_ms: u64,
}

/// A verdict on an application.
#[derive(Clone, PartialEq, Message)]
pub struct VerdictNote {
    /// Number of the application at its host.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Engine to which one request may be sent; empty if the application is refused.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// Time after which a refused caller may return, ms.
    #[prost(uint64, tag = "3")]
    pub return_ms: u64,
}

/// An engine that has said that it leaves.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingNote {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Start time of the engine, ms since the Unix epoch; 0 when unknown.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// A daemon's sign of life.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Address for callers.
    #[prost(string, tag = "1")]
    pub callers: String,
    /// Whether it serves callers.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// Whether the store answers it.
    #[prost(bool, tag = "4")]
    pub store: bool,
    /// Its leadership, if it is the leader.
    #[prost(message, optional, tag = "5")]
    pub leadership: Option<LeadershipNote>,
    /// Host from which it gets its permits.
    #[prost(string, tag = "6")]
    pub allocator: String,
}

/// Requests of a daemon in progress.
#[derive(Clone, PartialEq, Message)]
pub struct LoadReport {
    /// By engine.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<LoadNote>,
}

/// Demand at a daemon.
#[derive(Clone, PartialEq, Message)]
pub struct DemandReport {
    /// Whether models that are not listed have no demand; else theirs is as reported
    /// before.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// By model.
    #[prost(message, repeated, tag = "2")]
    pub models: Vec<DemandNote>,
}

/// Requests of a daemon that wait for models and adapters.
#[derive(Clone, PartialEq, Message)]
pub struct WaitingReport {
    /// By model or adapter.
    #[prost(message, repeated, tag = "1")]
    pub targets: Vec<WaitingNote>,
}

/// State of a daemon's leadership.
#[derive(Clone, PartialEq, Message)]
pub struct LeadershipNote {
    /// Fencing number.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Version of the leader row at its last write.
    #[prost(uint64, tag = "2")]
    pub row: u64,
    /// Whether it offers the leadership to others.
    #[prost(bool, tag = "3")]
    pub offered: bool,
    /// Time since the last order from which a successor must keep its distance, ms.
    #[prost(uint64, tag = "4")]
    pub idle_ms: u64,
    /// Time since the leader row was last renewed, ms.
    #[prost(uint64, tag = "5")]
    pub renewed_ms: u64,
    /// Time until the leader may send its first order, ms.
    #[prost(uint64, tag = "6")]
    pub wait_ms: u64,
    /// Starts of loads from the weight store within the window of the rate limit.
    #[prost(message, repeated, tag = "7")]
    pub load_starts: Vec<LoadStart>,
    /// Forecasts of further loads from the weight store.
    #[prost(message, repeated, tag = "8")]
    pub forecasts: Vec<ForecastNote>,
}

/// Forecast of a service's loads from the weight store.
#[derive(Clone, PartialEq, Message)]
pub struct ForecastNote {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Time until the load of a model that is not listed can start, ms.
    #[prost(uint64, tag = "2")]
    pub start_ms: u64,
    /// Models that are loading or queued.
    #[prost(message, repeated, tag = "3")]
    pub models: Vec<ReadyNote>,
    /// Loads at once that the weight store serves at full speed; 0 if it is not told.
    #[prost(uint32, tag = "4")]
    pub parallel: u32,
}

/// A model that is loading or queued.
#[derive(Clone, PartialEq, Message)]
pub struct ReadyNote {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Time until it is expected to be ready, ms.
    #[prost(uint64, tag = "2")]
    pub ready_ms: u64,
    /// Whether it is loading.
    #[prost(bool, tag = "3")]
    pub loading: bool,
}

/// Start of a load from the weight store.
#[derive(Clone, PartialEq, Message)]
pub struct LoadStart {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Time since the load was ordered, ms.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Requests of a daemon in progress at one engine.
#[derive(Clone, PartialEq, Message)]
pub struct LoadNote {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Number of requests in progress.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests in progress by target; only to the leader.
    #[prost(message, repeated, tag = "4")]
    pub targets: Vec<TargetCount>,
}

/// A number of requests for one target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetCount {
    /// Model or `model/adapter`.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Number of requests.
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
pub struct WaitingNote {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Model or `model/adapter`.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Number of requests that wait.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Highest priority (lowest number) among them.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// Engine that reported the target missing although it was listed as loaded;
    /// empty for none.
    #[prost(string, tag = "5")]
    pub missing_at: String,
    /// Engines that hold the target and want no requests of the sender.
    #[prost(string, repeated, tag = "6")]
    pub paused: Vec<String>,
    /// Software version of the engine that is to hold the target; empty for any.
    #[prost(string, tag = "7")]
    pub software: String,
}

/// Models that an engine has loaded.
#[derive(Clone, PartialEq, Message)]
pub struct AnnouncedModelsNote {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Start time of the engine, ms since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Fencing number of the leadership.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
    /// Number of the announcement within the leadership.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Models that may be requested from it.
    #[prost(message, repeated, tag = "6")]
    pub models: Vec<ModelNote>,
}

/// A model that an engine has loaded.
#[derive(Clone, PartialEq, Message)]
pub struct ModelNote {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Its adapters that may be requested.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

/// A prompt that was sent to an engine.
#[derive(Clone, PartialEq, Message)]
pub struct PromptNote {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Model or `model/adapter`.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Time that the engine needs to process the prompt, ms.
    #[prost(uint32, tag = "3")]
    pub prefill_ms: u32,
    /// Tokens that are not in the engine's cache.
    #[prost(uint32, tag = "4")]
    pub uncached: u32,
    /// Keys of the prompt's prefixes.
    #[prost(fixed64, repeated, tag = "5")]
    pub prefix_keys: Vec<u64>,
    /// Host that sent it to the engine, where another daemon passes it on; else empty.
    #[prost(string, tag = "6")]
    pub sender: String,
    /// Priority of the request; 0 is the most urgent.
    #[prost(uint32, tag = "7")]
    pub priority: u32,
}

/// The end of an engine with requests in progress, or requests that it broke off.
#[derive(Clone, PartialEq, Message)]
pub struct CrashNote {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Start time of the engine, ms since the Unix epoch; 0 when unknown.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Time since the end, ms.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Time since a request came that is held because of it, or since the end, ms.
    #[prost(uint64, tag = "4")]
    pub seen_ms: u64,
    /// Whether the engine ended.
    #[prost(bool, tag = "6")]
    pub ended: bool,
    /// Features of the requests.
    #[prost(message, repeated, tag = "5")]
    pub features: Vec<FeatureNote>,
}

/// What is known of a feature of requests at the end of an engine.
#[derive(Clone, PartialEq, Message)]
pub struct FeatureNote {
    /// Id of the part, or hash of the request.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Whether it is a whole request.
    #[prost(bool, tag = "2")]
    pub is_request: bool,
    /// Whether an answer to a request with it had just begun.
    #[prost(bool, tag = "3")]
    pub begun: bool,
    /// Whether an engine had answered a request with it before.
    #[prost(bool, tag = "4")]
    pub known: bool,
    /// Whether an engine has answered a request with it since.
    #[prost(bool, tag = "5")]
    pub cleared: bool,
    /// Whether a daemon saw a request with it break off at another crash before.
    #[prost(bool, tag = "6")]
    pub repeated: bool,
}
