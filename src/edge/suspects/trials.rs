//! Trials of held features: single requests that are sent to find out whether engines answer
//! them. The store counts those of all daemons together.

use std::collections::HashMap;
use std::time::Duration;

use super::Feature;
use crate::clock::Moment;

/// Time from the last crash to the first trial of a feature.
const FIRST_DELAY: Duration = Duration::from_millis(500);
/// Time from a trial to the next; it doubles with each.
const NEXT_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of times that it doubles.
const MAX_DOUBLINGS: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Number of trials so far.
    count: u32,
    last_at: Moment,
}

/// Trials of held features, as far as this daemon knows.
#[derive(Debug, Default)]
pub struct Trials(HashMap<Feature, Trial>);

impl Trials {
    /// Returns the number of trials of a feature.
    pub fn count(&self, feature: Feature) -> u32 {
        self.0.get(&feature).map_or(0, |t| t.count)
    }

    /// Records that there were `count` trials of a feature, the last one now, unless more are
    /// known; returns whether that is news.
    pub fn record(&mut self, feature: Feature, count: u32, now: Moment) -> bool {
        if count <= self.count(feature) {
            return false;
        }
        let trial = Trial {
            count,
            last_at: now,
        };
        self.0.insert(feature, trial);
        true
    }

    /// Takes back a trial that did not take place.
    pub fn withdraw(&mut self, feature: Feature) {
        if let Some(trial) = self.0.get_mut(&feature) {
            trial.count = trial.count.saturating_sub(1);
        }
    }

    /// Returns the time until the next trial, at least.
    pub fn due_in(&self, feature: Feature, last_crash: Moment, now: Moment) -> Duration {
        let due_at = match self.0.get(&feature) {
            Some(Trial { count, last_at }) if *count > 0 => {
                let delay = NEXT_DELAY * 2_u32.pow((count - 1).min(MAX_DOUBLINGS));
                last_crash.max(*last_at) + delay
            }
            _ => last_crash + FIRST_DELAY,
        };
        due_at.saturating_sub(now)
    }

    /// Forgets a feature that is no longer held.
    pub fn forget(&mut self, feature: Feature) {
        self.0.remove(&feature);
    }
}
