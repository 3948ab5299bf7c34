//! Features of requests that engines have answered.

use std::collections::HashMap;
use std::time::Duration;

use super::Feature;
use crate::clock::Moment;

/// Time for which an answer is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Number of features of each kind from which the older ones are forgotten.
const MAX_FEATURES: usize = 16_384;

/// When engines answered requests with a feature, relative to a crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answered {
    /// Before it, not long ago.
    pub before: bool,
    /// After it.
    pub since: bool,
}

/// When engines last answered requests with each feature.
#[derive(Debug, Default)]
pub struct SoundFeatures {
    /// Separate from parts, as nearly every request has another fingerprint.
    requests: HashMap<u64, Moment>,
    parts: HashMap<u64, Moment>,
}

impl SoundFeatures {
    /// Records an answer.
    pub fn record(&mut self, feature: Feature, now: Moment) {
        let (times, id) = match feature {
            Feature::Request(hash) => (&mut self.requests, hash),
            Feature::Part(id) => (&mut self.parts, id),
        };
        if times.len() >= MAX_FEATURES && !times.contains_key(&id) {
            forget_older_half(times);
        }
        times.insert(id, now);
    }

    /// Returns when requests with a feature were answered, relative to a crash.
    pub fn answered(&self, feature: Feature, crash_at: Moment) -> Answered {
        let last = match feature {
            Feature::Request(hash) => self.requests.get(&hash),
            Feature::Part(id) => self.parts.get(&id),
        };
        let Some(last) = last else {
            return Answered::default();
        };
        let since = *last > crash_at;
        Answered {
            before: !since && crash_at - *last < MEMORY,
            since,
        }
    }
}

fn forget_older_half(times: &mut HashMap<u64, Moment>) {
    let mut sorted: Vec<_> = times.values().copied().collect();
    let middle = sorted.len() / 2;
    let (_, median, _) = sorted.select_nth_unstable(middle);
    let median = *median;
    times.retain(|_, at| *at > median);
}
