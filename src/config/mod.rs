//! The shared, versioned configuration that operators change with patches.

pub mod check;
pub mod entry;
pub mod field_error;
pub mod jsonc;
pub mod ledger;
pub mod patch;
pub mod rules;
pub mod state;
pub mod validate;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Shared string for names, keys, addresses and other short texts.
pub type Name = Arc<str>;

/// The configuration document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Base models and adapters by name.
    pub models: BTreeMap<Name, Model>,
    /// Engines by name.
    pub engines: BTreeMap<Name, Engine>,
    /// Plain services by name.
    pub services: BTreeMap<Name, Service>,
    /// Callers by name.
    pub callers: BTreeMap<Name, Caller>,
    /// Operators by name.
    pub operators: BTreeMap<Name, Operator>,
    /// Policy of the whole deployment.
    pub policy: Policy,
}

/// A base model or an adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Model {
    /// Version of the weights.
    pub version: Name,
    /// Base model; set for adapters only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub base: Option<Name>,
    /// Pool of engines that may load it; an adapter uses the pool of its base.
    pub pool: Name,
    /// Team that owns it.
    pub team: Name,
    /// Memory of one replica, MB.
    pub memory: u64,
    /// Maximum number of loaded replicas.
    pub limit: u32,
    /// Number of replicas kept loaded even when idle.
    pub warm: u32,
    /// Expected load time from the weight store, ms.
    pub load_ms: u64,
    /// Default deadline of a request, ms.
    pub deadline_ms: u64,
    /// Value of one completion.
    pub worth: f64,
    /// Default priority of a request; higher is served first.
    pub priority: u8,
    /// Windows in which the model is kept loaded.
    pub windows: Vec<Window>,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            version: "1".into(),
            base: None,
            pool: "default".into(),
            team: "default".into(),
            memory: 1_000,
            limit: 1,
            warm: 0,
            load_ms: 10_000,
            deadline_ms: 60_000,
            worth: 1.0,
            priority: 5,
            windows: Vec::new(),
        }
    }
}

/// A time window, seconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Start.
    pub from: u64,
    /// End.
    pub until: u64,
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Engine {
    /// Address, `ip:port`.
    pub addr: Name,
    /// Pool that it serves.
    pub pool: Name,
    /// Failure domain.
    pub domain: Name,
    /// Memory for weights, MB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Whether it rejects orders with an old fencing token.
    pub fenced: bool,
    /// API key that it requires; empty for none.
    pub key: Name,
}

impl Default for Engine {
    fn default() -> Self {
        Engine {
            addr: "".into(),
            pool: "default".into(),
            domain: "default".into(),
            memory: 80_000,
            accelerators: 4,
            slots: 16,
            fenced: true,
            key: "".into(),
        }
    }
}

/// A plain service, whose upstreams are HTTP servers and not model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Addresses of its upstreams, `ip:port`.
    pub addrs: Vec<Name>,
    /// Team that owns it.
    pub team: Name,
    /// Routes whose calls run at most once.
    pub once: Vec<Route>,
    /// Default deadline of a call, ms.
    pub deadline_ms: u64,
    /// Retention of the record of an at-most-once call, seconds.
    pub keep_s: u64,
    /// API key sent to the upstreams; empty for none.
    pub key: Name,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            addrs: Vec::new(),
            team: "default".into(),
            once: Vec::new(),
            deadline_ms: 10_000,
            keep_s: 86_400,
            key: "".into(),
        }
    }
}

/// A method and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method.
    pub method: Name,
    /// Prefix of the path below the service.
    pub path: Name,
}

/// A caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Caller {
    /// SHA-256 of its key, hex.
    pub key_sha256: Name,
    /// Team that it belongs to.
    pub team: Name,
    /// Highest priority that it may request.
    pub priority: u8,
    /// Maximum requests per second over all hosts.
    pub rate: f64,
    /// Maximum number of requests in progress at one host.
    pub streams: u32,
    /// Teams whose models and services it may use; `*` for all.
    pub teams: Vec<Name>,
}

impl Default for Caller {
    fn default() -> Self {
        Caller {
            key_sha256: "".into(),
            team: "default".into(),
            priority: 5,
            rate: 1_000.0,
            streams: 1_000,
            teams: vec!["*".into()],
        }
    }
}

/// A permission of an operator.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Read configuration and status.
    Read,
    /// Change the configuration.
    Change,
    /// Drain hosts.
    Drain,
}

/// An operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// SHA-256 of its key, hex.
    pub key_sha256: Name,
    /// Permissions.
    pub roles: Vec<Role>,
    /// Teams whose objects it may change; `*` for all teams and the shared sections.
    pub teams: Vec<Name>,
}

/// Policy of the whole deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Cost of one second of tail latency caused by cold starts.
    pub tail_weight: f64,
    /// Cost of one idle accelerator-hour.
    pub idle_weight: f64,
    /// Maximum loads from the weight store started per second.
    pub store_rate: f64,
    /// Number of concurrent weight-store loads that run at full speed.
    pub store_parallel: u32,
    /// Number of concurrent adapter transfers that run at full speed.
    pub adapter_parallel: u32,
    /// Maximum number of requests queued for one model at one host.
    pub queue: u32,
    /// Time that callers may cache an entry response, which lists the hosts that they may
    /// use, seconds.
    pub entry_keep_s: u64,
    /// Strategy for placing and unloading models.
    pub strategy: Strategy,
    /// Idle time before an unload with [`Strategy::KeepAlive`], ms.
    pub keepalive_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            tail_weight: 1.0,
            idle_weight: 1.0,
            store_rate: 1.5,
            store_parallel: 4,
            adapter_parallel: 30,
            queue: 512,
            entry_keep_s: 10,
            strategy: Strategy::Adaptive,
            keepalive_ms: 600_000,
        }
    }
}

/// Strategy for placing and unloading models; all but `Adaptive` are baselines for
/// comparison.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Strategy {
    /// Decides by cost, from the arrival history of each model.
    Adaptive,
    /// Each daemon loads models independently of the others.
    Solo,
    /// Unloads after a fixed idle time.
    KeepAlive,
    /// Never unloads.
    Never,
    /// Loads on the first engine with enough free memory.
    FirstFit,
}
