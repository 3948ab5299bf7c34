//! Stand-in for the rate-limited weight store: how long its loads take.

use std::thread;
use std::time::{Duration, Instant};

use super::shared::Shared;

/// Longest step after which the speed of a load is looked at again.
const SPEED_UPDATE_INTERVAL: Duration = Duration::from_millis(5);

/// Limits within which loads run at full speed.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Models started a second; a burst of `parallel_models` is within it.
    pub models_per_s: f64,
    /// Models at once.
    pub parallel_models: f64,
    /// Adapters at once.
    pub parallel_adapters: f64,
    /// Factor on the time of every load.
    pub slowdown: f64,
    /// Real seconds for each second of the rate.
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

/// LoadCounts of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// In transit.
    pub running: u32,
    /// Begun so far.
    pub total: u64,
    /// Most in transit at once.
    pub peak: u32,
    /// Begun beyond the limits.
    pub slowed: u64,
}

/// The store's limits and loads.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Limits.
    pub settings: StoreSettings,
    /// LoadCounts of models.
    pub models: LoadCounts,
    /// LoadCounts of adapters.
    pub adapters: LoadCounts,
    starts: Vec<Instant>,
}

/// The weight store, shared by the engines of a deployment.
#[derive(Clone, Debug, Default)]
pub struct FakeWeights {
    /// Limits and loads.
    pub state: Shared<State>,
}

impl FakeWeights {
    /// A store with these limits.
    pub fn new(settings: StoreSettings) -> Self {
        let store = FakeWeights::default();
        store.state.change(|s| s.settings = settings);
        store
    }

    /// Blocks for a load that takes `full_time` at full speed, or until it is not
    /// `is_wanted` any more; answers whether it was completed.
    pub fn load(&self, adapter: bool, full_time: Duration, is_wanted: &dyn Fn() -> bool) -> bool {
        self.state.change(|s| s.record_start(adapter));
        let mut remaining_s = full_time.as_secs_f64();
        while remaining_s > 0.0 && is_wanted() {
            let start = Instant::now();
            let speed = self.state.change(|s| s.load_speed(adapter));
            thread::sleep(SPEED_UPDATE_INTERVAL.min(Duration::from_secs_f64(remaining_s / speed)));
            remaining_s -= start.elapsed().as_secs_f64() * speed;
        }
        self.state.change(|s| s.counts(adapter).running -= 1);
        remaining_s <= 0.0
    }
}

impl State {
    fn counts(&mut self, adapter: bool) -> &mut LoadCounts {
        match adapter {
            true => &mut self.adapters,
            false => &mut self.models,
        }
    }

    fn record_start(&mut self, adapter: bool) {
        self.starts.extend((!adapter).then(Instant::now));
        let counts = self.counts(adapter);
        counts.total += 1;
        counts.running += 1;
        counts.peak = counts.peak.max(counts.running);
        let slowed = self.load_ratio(adapter) > 1.0;
        self.counts(adapter).slowed += u64::from(slowed);
    }

    /// Load on the store as a multiple of what it serves at full speed.
    fn load_ratio(&mut self, adapter: bool) -> f64 {
        let limits = self.settings;
        if adapter {
            return f64::from(self.adapters.running) / limits.parallel_adapters;
        }
        let window = Duration::from_secs_f64(
            limits.parallel_models / limits.models_per_s * limits.time_scale,
        );
        self.starts.retain(|start| start.elapsed() < window);
        let active = f64::from(self.models.running).max(self.starts.len() as f64);
        active / limits.parallel_models
    }

    fn load_speed(&mut self, adapter: bool) -> f64 {
        1.0 / (self.load_ratio(adapter).max(1.0) * self.settings.slowdown)
    }
}
