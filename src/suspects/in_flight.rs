//! Requests of this daemon that an engine may be running, counted by
//! fingerprint.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::Fingerprint;

/// Requests that an engine may be running.
#[derive(Clone, Debug, Default)]
pub struct InFlightRequests {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of requests in flight by fingerprint.
    running: HashMap<Fingerprint, u32>,
    /// Fingerprints whose last request is to be reported.
    watched: HashSet<Fingerprint>,
}

impl InFlightRequests {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that begins.
    pub fn begin(&self, fingerprint: &Fingerprint) {
        *self.lock().running.entry(fingerprint.clone()).or_default() += 1;
    }

    /// Removes a request that ended; returns whether it was the last of a
    /// fingerprint that [`InFlightRequests::idle_or_watch`] watches.
    pub fn end(&self, fingerprint: &Fingerprint) -> bool {
        let mut state = self.lock();
        let Some(running) = state.running.get_mut(fingerprint) else {
            return false;
        };
        *running -= 1;
        if *running > 0 {
            return false;
        }
        state.running.remove(fingerprint);
        state.watched.remove(fingerprint)
    }

    /// Returns whether no request of the fingerprint is in flight; if one is,
    /// watches the fingerprint so that [`InFlightRequests::end`] reports the
    /// last.
    pub fn idle_or_watch(&self, fingerprint: &Fingerprint) -> bool {
        let mut state = self.lock();
        if !state.running.contains_key(fingerprint) {
            return true;
        }
        state.watched.insert(fingerprint.clone());
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn end_reports_the_last_request_of_a_watched_fingerprint() {
        let requests = InFlightRequests::default();
        let fingerprint = Fingerprint::from("p");
        requests.begin(&fingerprint);
        requests.begin(&fingerprint);
        assert!(!requests.idle_or_watch(&fingerprint));
        assert!(!requests.end(&fingerprint));
        assert!(requests.end(&fingerprint));
        assert!(requests.idle_or_watch(&fingerprint));
        requests.begin(&fingerprint);
        assert!(!requests.end(&fingerprint), "this request is not watched");
    }
}
