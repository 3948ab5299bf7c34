//! Stand-in for the rate-limited weight store: how long its loads take.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Longest step after which the speed of a load is looked at again.
const STEP: Duration = Duration::from_millis(5);

/// Limits within which loads run at full speed.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Models started a second; a burst of `parallel` is within it.
    pub rate: f64,
    /// Models at once.
    pub parallel: u32,
    /// Adapters at once.
    pub adapters: u32,
    /// Factor on the time of every load.
    pub slowness: f64,
    /// Real seconds for each second of the rate.
    pub scale: f64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        StoreSettings {
            rate: 1.5,
            parallel: 4,
            adapters: 30,
            slowness: 1.0,
            scale: 1.0,
        }
    }
}

/// Loads so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounts {
    /// Models.
    pub models: u64,
    /// Adapters.
    pub adapters: u64,
    /// Most models at once.
    pub model_peak: usize,
    /// Most adapters at once.
    pub adapter_peak: usize,
    /// Loads that a limit slowed down from their start.
    pub slowed: u64,
}

#[derive(Debug, Default)]
struct State {
    settings: StoreSettings,
    counts: StoreCounts,
    models: usize,
    adapters: usize,
    starts: VecDeque<Instant>,
}

/// The weight store, shared by the engines of a deployment.
#[derive(Clone, Debug, Default)]
pub struct FakeWeights {
    state: Arc<Mutex<State>>,
}

impl FakeWeights {
    /// A store with these limits.
    pub fn new(settings: StoreSettings) -> Self {
        let store = FakeWeights::default();
        store.lock().settings = settings;
        store
    }

    /// Changes the limits.
    pub fn change(&self, change: impl FnOnce(&mut StoreSettings)) {
        change(&mut self.lock().settings);
    }

    /// Loads so far.
    pub fn counts(&self) -> StoreCounts {
        self.lock().counts
    }

    /// Blocks for a load that takes `full` at full speed, or until `proceed`
    /// is false; answers whether the load was completed.
    pub fn load(&self, adapter: bool, full: Duration, proceed: impl Fn() -> bool) -> bool {
        self.lock().enter(adapter);
        let mut left = full.as_secs_f64();
        while left > 0.0 && proceed() {
            let start = Instant::now();
            let speed = self.lock().speed(adapter);
            thread::sleep(STEP.min(Duration::from_secs_f64(left / speed)));
            left -= start.elapsed().as_secs_f64() * speed;
        }
        self.lock().leave(adapter);
        left <= 0.0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn enter(&mut self, adapter: bool) {
        let counts = &mut self.counts;
        if adapter {
            self.adapters += 1;
            counts.adapters += 1;
            counts.adapter_peak = counts.adapter_peak.max(self.adapters);
        } else {
            self.models += 1;
            counts.models += 1;
            counts.model_peak = counts.model_peak.max(self.models);
            self.starts.push_back(Instant::now());
        }
        let slowed = self.crowd(adapter) > 1.0;
        self.counts.slowed += u64::from(slowed);
    }

    fn leave(&mut self, adapter: bool) {
        let count = if adapter {
            &mut self.adapters
        } else {
            &mut self.models
        };
        *count -= 1;
    }

    /// Load on the store as a multiple of what it serves at full speed.
    fn crowd(&mut self, adapter: bool) -> f64 {
        let limits = self.settings;
        if adapter {
            return self.adapters as f64 / f64::from(limits.adapters);
        }
        let parallel = f64::from(limits.parallel);
        let window = Duration::from_secs_f64(parallel / limits.rate * limits.scale);
        self.starts.retain(|start| start.elapsed() < window);
        self.models.max(self.starts.len()) as f64 / parallel
    }

    fn speed(&mut self, adapter: bool) -> f64 {
        1.0 / (self.crowd(adapter).max(1.0) * self.settings.slowness)
    }
}
