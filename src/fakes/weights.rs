//! Fake of the rate-limited weight store: it simulates how long loads take.

use std::thread;
use std::time::{Duration, Instant};

use super::shared::Shared;

/// Longest interval between two updates of the speed of a load.
const SPEED_UPDATE_INTERVAL: Duration = Duration::from_millis(5);

/// Limits of the weight store; loads within them run at full speed.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Model loads started per second; a burst of `parallel_models` is within the limit.
    pub models_per_s: f64,
    /// Number of concurrent model loads.
    pub parallel_models: f64,
    /// Number of concurrent adapter loads.
    pub parallel_adapters: f64,
    /// Factor by which the time of every load is multiplied.
    pub slowdown: f64,
    /// Real seconds per simulated second of `models_per_s`.
    pub time_scale: f64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        StoreSettings {
            models_per_s: 1.5,
            parallel_models: 4.0,
            parallel_adapters: 30.0,
            slowdown: 1.0,
            time_scale: 1.0,
        }
    }
}

/// Counters of model loads or of adapter loads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Loads in progress.
    pub running: u32,
    /// Loads started so far.
    pub total: u64,
    /// Highest number of concurrent loads so far.
    pub peak: u32,
    /// Loads started while the limits were exceeded.
    pub slowed: u64,
}

/// Limits and load counters of the store.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Limits of the store.
    pub settings: StoreSettings,
    /// Model loads.
    pub models: LoadCounts,
    /// Adapter loads.
    pub adapters: LoadCounts,
    model_starts: Vec<Instant>,
}

/// A fake weight store, shared by the engines of a deployment.
#[derive(Clone, Debug, Default)]
pub struct FakeWeights {
    /// Limits and load counters.
    pub state: Shared<State>,
}

impl FakeWeights {
    /// Creates a store with these limits.
    pub fn new(settings: StoreSettings) -> Self {
        let store = FakeWeights::default();
        store.state.change(|s| s.settings = settings);
        store
    }

    /// Blocks for the duration of a load that takes `full_time` at full speed, or
    /// until `is_wanted` returns false. Returns whether the load was completed.
    pub fn load(
        &self,
        is_adapter: bool,
        full_time: Duration,
        is_wanted: &dyn Fn() -> bool,
    ) -> bool {
        self.state.change(|s| s.record_start(is_adapter));
        let mut remaining_s = full_time.as_secs_f64();
        while remaining_s > 0.0 && is_wanted() {
            let start = Instant::now();
            let speed = self.state.change(|s| s.load_speed(is_adapter));
            thread::sleep(SPEED_UPDATE_INTERVAL.min(Duration::from_secs_f64(remaining_s / speed)));
            remaining_s -= start.elapsed().as_secs_f64() * speed;
        }
        self.state.change(|s| s.counts(is_adapter).running -= 1);
        remaining_s <= 0.0
    }
}

impl State {
    fn counts(&mut self, is_adapter: bool) -> &mut LoadCounts {
        match is_adapter {
            true => &mut self.adapters,
            false => &mut self.models,
        }
    }

    fn record_start(&mut self, is_adapter: bool) {
        self.model_starts.extend((!is_adapter).then(Instant::now));
        let counts = self.counts(is_adapter);
        counts.total += 1;
        counts.running += 1;
        counts.peak = counts.peak.max(counts.running);
        let slowed = self.load_ratio(is_adapter) > 1.0;
        self.counts(is_adapter).slowed += u64::from(slowed);
    }

    /// Returns the load on the store as a multiple of what it serves at full speed.
    fn load_ratio(&mut self, is_adapter: bool) -> f64 {
        let limits = self.settings;
        if is_adapter {
            return f64::from(self.adapters.running) / limits.parallel_adapters;
        }
        let window = Duration::from_secs_f64(
            limits.parallel_models / limits.models_per_s * limits.time_scale,
        );
        self.model_starts.retain(|start| start.elapsed() < window);
        let active = f64::from(self.models.running).max(self.model_starts.len() as f64);
        active / limits.parallel_models
    }

    fn load_speed(&mut self, is_adapter: bool) -> f64 {
        1.0 / (self.load_ratio(is_adapter).max(1.0) * self.settings.slowdown)
    }
}
