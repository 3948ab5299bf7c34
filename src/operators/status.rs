//! Status of hosts, models and engines in the operators' API.

use serde::{Deserialize, Serialize};

use crate::config::Name;

/// Status of a daemon, reported by itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostStatus {
    /// Name of the host.
    pub host: Name,
    /// Firm that the host serves.
    pub firm: Name,
    /// Failure domain.
    pub domain: Name,
    /// Version of the program.
    pub program: Name,
    /// Active configuration version.
    pub config: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is draining.
    pub leaving: bool,
    /// Requests of callers in progress.
    pub streams: u32,
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Pools that the host owns.
    pub pools: Vec<Name>,
    /// Time since the start of the daemon, seconds.
    pub uptime_s: u64,
}

/// Status of a daemon, reported by another daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// Name of the host.
    pub host: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address for callers, `ip:port`.
    pub addr: Name,
    /// Configuration version that it last reported.
    pub config: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is draining or the platform lists it as leaving.
    pub leaving: bool,
    /// Requests in progress that it last reported.
    pub streams: u32,
    /// Time since its last heartbeat, ms.
    pub silent_ms: u64,
}

/// State of a replica.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ReplicaState {
    /// A load order is in progress.
    #[default]
    Loading,
    /// It accepts requests.
    Ready,
    /// It finishes its requests before an unload.
    Draining,
    /// Whether it is loaded is unknown; it is counted as loaded.
    Doubtful,
}

/// One replica of a model.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaStatus {
    /// Engine.
    pub engine: Name,
    /// State.
    pub state: ReplicaState,
}

/// One model or adapter.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ModelStatus {
    /// Name of the model.
    pub model: Name,
    /// Base model of an adapter.
    pub base: Option<Name>,
    /// Pool.
    pub pool: Name,
    /// Team that owns it.
    pub team: Name,
    /// Host that owns the pool; empty when unknown.
    pub owner: Name,
    /// Most replicas.
    pub limit: u32,
    /// Replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Requests that wait for the model at the answering host.
    pub waiting: u32,
}

/// One engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineStatus {
    /// Name of the engine.
    pub engine: Name,
    /// Pool.
    pub pool: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address, `ip:port`.
    pub addr: Name,
    /// Instance id; empty before the first report.
    pub instance: Name,
    /// Memory for weights, MB.
    pub memory: u64,
    /// Memory in use or reserved, MB.
    pub used: u64,
    /// Models loaded or loading.
    pub models: Vec<Name>,
    /// Requests in progress in the last report.
    pub running: u32,
    /// Requests in the engine's queue in the last report.
    pub waiting: u32,
    /// Whether the engine rejects new work.
    pub leaving: bool,
}

/// A request that is held because engines crashed while running it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HeldStatus {
    /// Fingerprint of model and body.
    pub fingerprint: Name,
    /// Model.
    pub model: Name,
    /// Engine instances that crashed while running it.
    pub instances: Vec<Name>,
}
