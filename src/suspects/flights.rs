//! Requests of this daemon that an engine may be running, by fingerprint.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::Fingerprint;

/// Requests that an engine may be running.
#[derive(Clone, Debug, Default)]
pub struct Flights {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    open: HashMap<Fingerprint, u32>,
    awaited: HashSet<Fingerprint>,
}

impl Flights {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request begins.
    pub fn begin(&self, print: &Fingerprint) {
        *self.lock().open.entry(print.clone()).or_default() += 1;
    }

    /// A request ended; answers whether somebody waits for the last of its
    /// fingerprint and this was it.
    pub fn end(&self, print: &Fingerprint) -> bool {
        let mut state = self.lock();
        let Some(open) = state.open.get_mut(print) else {
            return false;
        };
        *open -= 1;
        if *open > 0 {
            return false;
        }
        state.open.remove(print);
        state.awaited.remove(print)
    }

    /// Whether none is open; otherwise [`Flights::end`] tells of the last.
    pub fn settled(&self, print: &Fingerprint) -> bool {
        let mut state = self.lock();
        if !state.open.contains_key(print) {
            return true;
        }
        state.awaited.insert(print.clone());
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_last_end_is_told_to_whom_waits() {
        let flights = Flights::default();
        let print = Fingerprint::from("p");
        flights.begin(&print);
        flights.begin(&print);
        assert!(!flights.settled(&print));
        assert!(!flights.end(&print));
        assert!(flights.end(&print));
        assert!(flights.settled(&print));
        flights.begin(&print);
        assert!(!flights.end(&print), "nobody waits for this one");
    }
}
