//! The least cold-start times that the weight store's limits allow.

use std::collections::BTreeMap;

/// Limits of the store, and times of loads in real seconds.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    /// Loads started a second.
    pub rate: f64,
    /// Loads at once at full speed.
    pub parallel: usize,
    /// A load of a model from the store.
    pub load: f64,
    /// A load of a model from the memory of the host.
    pub cached: f64,
    /// A load of an adapter.
    pub adapter: f64,
    /// From a loaded model to the first token.
    pub first: f64,
}

/// A request that found its model asleep.
#[derive(Clone, Debug, PartialEq)]
pub struct Cold {
    /// Arrival, seconds.
    pub at: f64,
    /// Base model, or the model itself.
    pub weights: String,
    /// Whether it asks for an adapter.
    pub adapter: bool,
    /// Whether the base model was loaded.
    pub base: bool,
}

/// Time to the first token of each of `colds`, which are in order of arrival,
/// when every load begins as early as the limits allow, in that order, and
/// there is always room for it.
pub fn least(colds: &[Cold], store: &Store) -> Vec<f64> {
    let window = store.parallel as f64 / store.rate;
    let mut starts: Vec<f64> = Vec::new();
    let mut ready: BTreeMap<&str, f64> = BTreeMap::new();
    let mut waits = Vec::new();
    for cold in colds {
        let own = if cold.adapter { store.adapter } else { 0.0 };
        if cold.adapter && cold.base {
            waits.push(own + store.first);
            continue;
        }
        let known = ready.get(cold.weights.as_str()).copied();
        let done = match known {
            Some(done) if done >= cold.at => done,
            Some(_) => cold.at + store.cached,
            None => {
                let start = earliest(&starts, cold.at, store, window);
                starts.push(start);
                start + store.load
            }
        };
        ready.insert(&cold.weights, done);
        waits.push(done - cold.at + own + store.first);
    }
    waits
}

/// Earliest start of a further load at or after `at`.
fn earliest(starts: &[f64], at: f64, store: &Store, window: f64) -> f64 {
    let Some(nth) = starts.len().checked_sub(store.parallel) else {
        return at;
    };
    at.max(starts[nth] + window.max(store.load))
}
