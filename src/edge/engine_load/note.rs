//! Note of an engine's load and speed, as daemons send it to each other.

use prost::Message;

/// Load of an engine by its own word, and a time to a first event there.
#[derive(Clone, PartialEq, Message)]
pub struct EngineNewsNote {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Start time of the engine, ms since the Unix epoch; 0 when unknown.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Requests that it runs.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests that wait there.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Requests that it runs at the same time.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Time that work takes there, percent of the usual time.
    #[prost(uint32, optional, tag = "6")]
    pub slowness_percent: Option<u32>,
    /// Time since the report, ms.
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
    /// Measured time to a first event, percent of that of an engine of usual speed.
    #[prost(uint32, optional, tag = "8")]
    pub ratio_percent: Option<u32>,
    /// Host that heard it, where another daemon passes it on; else empty.
    #[prost(string, tag = "9")]
    pub sender: String,
}
