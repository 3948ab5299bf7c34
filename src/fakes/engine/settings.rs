//! Settings of the fake engine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fakes::weights::FakeWeights;

/// Duration of a load by the tier of the weights.
#[derive(Clone, Copy, Debug)]
pub struct LoadTimes {
    /// From the weight store at full speed.
    pub remote: Duration,
    /// From disk.
    pub disk: Duration,
    /// From host memory.
    pub memory: Duration,
    /// Of an adapter, from any tier.
    pub adapter: Duration,
}

impl Default for LoadTimes {
    fn default() -> Self {
        LoadTimes {
            remote: Duration::from_secs(10),
            disk: Duration::from_secs(3),
            memory: Duration::from_millis(500),
            adapter: Duration::from_millis(7),
        }
    }
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the engine; instance ids start with it.
    pub name: String,
    /// Address on which the engine listens; port 0 selects a free port.
    pub addr: SocketAddr,
    /// Key that requests must carry; if empty, none is required.
    pub key: String,
    /// Memory for weights, MB.
    pub memory: u64,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Whether the engine refuses orders with an old fencing token.
    pub fenced: bool,
    /// Weight store from which the engine loads.
    pub weights: FakeWeights,
    /// Durations of loads.
    pub load_times: LoadTimes,
    /// Real seconds per second of load time.
    pub time_scale: f64,
    /// Time to the first token of a prompt that is not cached.
    pub prefill_time: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Maximum number of tokens in a completion; a request can set a lower limit.
    pub tokens: usize,
    /// Text that crashes the engine when a prompt contains it; if empty, none does.
    pub crash_text: String,
    /// Age of the published reports and cache events.
    pub report_lag: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            name: "engine".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            key: String::new(),
            memory: 80_000,
            slots: 16,
            fenced: true,
            weights: FakeWeights::default(),
            load_times: LoadTimes::default(),
            time_scale: 1.0,
            prefill_time: Duration::ZERO,
            token_interval: Duration::from_millis(20),
            tokens: 16,
            crash_text: String::new(),
            report_lag: Duration::from_millis(20),
        }
    }
}
