//! Lower bound on the cold-start times under the limits of the weight store.

use std::collections::BTreeMap;

/// Limits of the weight store, and load times in real seconds.
#[derive(Clone, Copy, Debug)]
pub struct StoreParameters {
    /// Loads started per second.
    pub rate: f64,
    /// Concurrent loads at full speed.
    pub parallel: usize,
    /// Load time of a model from the store.
    pub load_time: f64,
    /// Load time of a model from the memory of the host.
    pub cached_time: f64,
    /// Load time of an adapter.
    pub adapter_time: f64,
    /// Time from a loaded model to the first token.
    pub token_time: f64,
}

/// A request whose model was not loaded when it arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdRequest {
    /// Arrival, seconds.
    pub arrival: f64,
    /// Base model of an adapter, or the model itself.
    pub weights: String,
    /// Whether its model is an adapter.
    pub is_adapter: bool,
    /// Whether the base model was loaded.
    pub base_loaded: bool,
}

/// Returns the time to the first token of each of `requests`, which are in order of
/// arrival, if every load starts in that order, as early as the limits allow, and
/// always has enough free memory.
pub fn least_waits(requests: &[ColdRequest], store: &StoreParameters) -> Vec<f64> {
    let window = store.parallel as f64 / store.rate;
    let mut starts: Vec<f64> = Vec::new();
    let mut ready: BTreeMap<&str, f64> = BTreeMap::new();
    let mut waits = Vec::new();
    for request in requests {
        let adapter_time = if request.is_adapter {
            store.adapter_time
        } else {
            0.0
        };
        if request.is_adapter && request.base_loaded {
            waits.push(adapter_time + store.token_time);
            continue;
        }
        let last_ready = ready.get(request.weights.as_str()).copied();
        let ready_at = match last_ready {
            Some(ready_at) if ready_at >= request.arrival => ready_at,
            Some(_) => request.arrival + store.cached_time,
            None => {
                let start = earliest_start(&starts, request.arrival, store, window);
                starts.push(start);
                start + store.load_time
            }
        };
        ready.insert(&request.weights, ready_at);
        waits.push(ready_at - request.arrival + adapter_time + store.token_time);
    }
    waits
}

/// Returns the earliest start of another load at or after `at`.
fn earliest_start(starts: &[f64], at: f64, store: &StoreParameters, window: f64) -> f64 {
    let Some(index) = starts.len().checked_sub(store.parallel) else {
        return at;
    };
    at.max(starts[index] + window.max(store.load_time))
}
