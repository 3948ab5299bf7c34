//! What operators see of a deployment.

use serde::{Deserialize, Serialize};

use crate::config::Name;

/// One daemon as it sees itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostStatus {
    /// Name of the host.
    pub host: Name,
    /// Firm that it serves.
    pub firm: Name,
    /// Failure domain.
    pub domain: Name,
    /// Version of the program.
    pub program: Name,
    /// Configuration version in force.
    pub config: u64,
    /// It serves callers.
    pub ready: bool,
    /// It drains.
    pub leaving: bool,
    /// Requests of callers in progress.
    pub streams: u32,
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Pools that it owns.
    pub pools: Vec<Name>,
    /// Time since its start, seconds.
    pub uptime_s: u64,
}

/// One daemon as another sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// Name of the host.
    pub host: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address for callers, `ip:port`.
    pub addr: Name,
    /// Configuration version that it last told.
    pub config: u64,
    /// It serves callers.
    pub ready: bool,
    /// It drains, or the platform lists it as leaving.
    pub leaving: bool,
    /// Requests in progress that it last told.
    pub streams: u32,
    /// Time since its last sign of life, ms.
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
    /// A load order is under way.
    #[default]
    Loading,
    /// It takes work.
    Ready,
    /// It finishes its work before an unload.
    Draining,
    /// Whether it is loaded is unknown; it counts as loaded.
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
    /// Requests that wait for it at the answering host.
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
    /// Instance id; empty when it never reported.
    pub instance: Name,
    /// Memory for weights, MB.
    pub memory: u64,
    /// Memory in use or promised, MB.
    pub used: u64,
    /// Models loaded or loading.
    pub models: Vec<Name>,
    /// Requests in progress by its last report.
    pub running: u32,
    /// Requests in its own queue by its last report.
    pub waiting: u32,
    /// It takes no new work.
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
    /// Engine instances that died under it.
    pub instances: Vec<Name>,
}
