//! Settings of the engine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fakes::weights::FakeWeights;

/// Time of a load by the tier where the weights are.
#[derive(Clone, Copy, Debug)]
pub struct LoadTimes {
    /// From the weight store at full speed.
    pub remote: Duration,
    /// From disk.
    pub disk: Duration,
    /// From host memory.
    pub memory: Duration,
    /// An adapter, from any tier.
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
    /// Name; instance ids start with it.
    pub name: String,
    /// Address; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Key that it checks; empty for none.
    pub key: String,
    /// Memory for weights, MB.
    pub memory: u64,
    /// Requests that it batches at once.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing token.
    pub fenced: bool,
    /// Weight store.
    pub weights: FakeWeights,
    /// Time of loads.
    pub load_times: LoadTimes,
    /// Real seconds for each second of load time.
    pub time_scale: f64,
    /// Time before the first token of a prompt that is not cached.
    pub prefill_time: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Tokens of an answer that sets no limit.
    pub tokens: usize,
    /// Prompts that contain this text crash it; empty for none.
    pub crash_text: String,
    /// Age of the reports and cache events that it publishes.
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
