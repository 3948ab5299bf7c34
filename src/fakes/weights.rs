//! Stand-in for the rate-limited weight store: how long its loads take.

use std::thread;
use std::time::{Duration, Instant};

use super::shared::Shared;

/// Longest step after which the speed of a load is looked at again.
const STEP: Duration = Duration::from_millis(5);

/// Limits within which loads run at full speed.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Models started a second; a burst of `parallel` is within it.
    pub rate: f64,
    /// Models at once.
    pub parallel: f64,
    /// Adapters at once.
    pub adapters: f64,
    /// Factor on the time of every load.
    pub slowness: f64,
    /// Real seconds for each second of the rate.
    pub scale: f64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        StoreSettings {
            rate: 1.5,
            parallel: 4.0,
            adapters: 30.0,
            slowness: 1.0,
            scale: 1.0,
        }
    }
}

/// Loads of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loads {
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
    /// Loads of models.
    pub models: Loads,
    /// Loads of adapters.
    pub adapters: Loads,
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

    /// Blocks for a load that takes `full` at full speed, or until it is not
    /// `wanted` any more; answers whether it was completed.
    pub fn load(&self, adapter: bool, full: Duration, wanted: &dyn Fn() -> bool) -> bool {
        self.state.change(|s| s.enter(adapter));
        let mut left = full.as_secs_f64();
        while left > 0.0 && wanted() {
            let start = Instant::now();
            let speed = self.state.change(|s| s.speed(adapter));
            thread::sleep(STEP.min(Duration::from_secs_f64(left / speed)));
            left -= start.elapsed().as_secs_f64() * speed;
        }
        self.state.change(|s| s.loads(adapter).running -= 1);
        left <= 0.0
    }
}

impl State {
    fn loads(&mut self, adapter: bool) -> &mut Loads {
        match adapter {
            true => &mut self.adapters,
            false => &mut self.models,
        }
    }

    fn enter(&mut self, adapter: bool) {
        self.starts.extend((!adapter).then(Instant::now));
        let loads = self.loads(adapter);
        loads.total += 1;
        loads.running += 1;
        loads.peak = loads.peak.max(loads.running);
        let slowed = self.excess(adapter) > 1.0;
        self.loads(adapter).slowed += u64::from(slowed);
    }

    /// Load on the store as a multiple of what it serves at full speed.
    fn excess(&mut self, adapter: bool) -> f64 {
        let limits = self.settings;
        if adapter {
            return f64::from(self.adapters.running) / limits.adapters;
        }
        let window = Duration::from_secs_f64(limits.parallel / limits.rate * limits.scale);
        self.starts.retain(|start| start.elapsed() < window);
        let crowd = f64::from(self.models.running).max(self.starts.len() as f64);
        crowd / limits.parallel
    }

    fn speed(&mut self, adapter: bool) -> f64 {
        1.0 / (self.excess(adapter).max(1.0) * self.settings.slowness)
    }
}
