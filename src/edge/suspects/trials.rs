//! Trials of held features: single requests that are sent to find out whether engines answer
//! them. The store counts those of all daemons together.
//!
//! The first trials follow the crashes at once. Later ones are few, ever: each may cost an
//! engine.

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
/// Time before each late trial without an answer or a crash.
const LATE_DELAYS: [Duration; 3] = [
    Duration::from_secs(3),
    Duration::from_secs(60),
    Duration::from_secs(1_000),
];
/// Maximum number of late crashes that count as late trials: it may only have been near.
const MAX_LATE_CRASHES: u32 = 1;
/// Crashes on a request after which its sendings count.
const REQUEST_CRASHES: usize = 3;
/// Crashes on a part after which sendings of requests with it count.
const PART_CRASHES: usize = 5;
/// Time after these crashes from which they count: the platform's default bound for hosts in
/// touch to know of something.
const CONTACT_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    /// Number of trials so far.
    count: u32,
    /// Number of late ones among them.
    late: u32,
    /// Whether the time of the crashes is not known.
    is_old: bool,
    last_at: Moment,
}

/// Crashes of a held feature, as far as its trials depend on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashTimes {
    /// The last one.
    pub last: Moment,
    /// End of the time in which trials do not count.
    pub counted_from: Option<Moment>,
    /// Number of crashes since.
    pub late: u32,
}

impl CrashTimes {
    /// Returns what matters of the crashes of a feature.
    pub fn new(feature: Feature, mut times: Vec<Moment>) -> Self {
        times.sort_unstable();
        let count = match feature {
            Feature::Request(_) => REQUEST_CRASHES,
            Feature::Part(_) => PART_CRASHES,
        };
        let counted_from = times.get(count - 1).map(|at| *at + CONTACT_TIME);
        let late = counted_from.map_or(0, |from| times.iter().filter(|at| **at > from).count());
        CrashTimes {
            last: times.last().copied().unwrap_or_default(),
            counted_from,
            late: late as u32,
        }
    }
}

/// Trials of held features, as far as this daemon knows.
#[derive(Debug, Default)]
pub struct Trials(HashMap<Feature, Trial>);

impl Trials {
    /// Returns the number of trials of a feature.
    pub fn count(&self, feature: Feature) -> u32 {
        self.0.get(&feature).map_or(0, |t| t.count)
    }

    /// Returns the number of late trials of a feature.
    pub fn late_count(&self, feature: Feature) -> u32 {
        self.0.get(&feature).map_or(0, |t| t.late)
    }

    /// Returns when the last trial of a feature began, if there was one.
    pub fn last_at(&self, feature: Feature) -> Option<Moment> {
        let trial = self.0.get(&feature).filter(|t| t.count > 0)?;
        Some(trial.last_at)
    }

    /// Records that there were `count` trials of a feature, the last one now, unless more are
    /// known; returns whether that is news.
    pub fn record(&mut self, feature: Feature, count: u32, now: Moment) -> bool {
        if count <= self.count(feature) {
            return false;
        }
        let trial = self.0.entry(feature).or_default();
        trial.count = count;
        trial.last_at = now;
        true
    }

    /// Records that a trial begins now; returns whether it is a late one.
    pub fn begin(&mut self, feature: Feature, crashes: &CrashTimes, now: Moment) -> bool {
        let is_late = self.is_late(feature, crashes, now);
        let trial = self.0.entry(feature).or_default();
        trial.count += 1;
        trial.last_at = now;
        if is_late {
            trial.late = trial.late.max(crashes.late.min(MAX_LATE_CRASHES)) + 1;
        }
        is_late
    }

    /// Records that there were `count` late trials, unless more are known.
    pub fn record_late(&mut self, feature: Feature, count: u32) {
        if count > self.late_count(feature) {
            self.0.entry(feature).or_default().late = count;
        }
    }

    /// Records that the crashes of a feature happened long ago.
    pub fn mark_old(&mut self, feature: Feature) {
        self.0.entry(feature).or_default().is_old = true;
    }

    /// Takes back a trial that did not take place, late if `was_late`.
    pub fn withdraw(&mut self, feature: Feature, was_late: bool) {
        if let Some(trial) = self.0.get_mut(&feature) {
            trial.count = trial.count.saturating_sub(1);
            trial.late = trial.late.saturating_sub(u32::from(was_late));
        }
    }

    /// Returns whether a trial now is a late one.
    pub fn is_late(&self, feature: Feature, crashes: &CrashTimes, now: Moment) -> bool {
        let is_old = self.0.get(&feature).is_some_and(|t| t.is_old);
        is_old || crashes.counted_from.is_some_and(|from| now > from)
    }

    /// Returns the time until the next trial, at least; `None` if there is no further one. A
    /// request that `is_doubtful` has to leave time to others, which tell more.
    pub fn due_in(
        &self,
        feature: Feature,
        crashes: &CrashTimes,
        is_doubtful: bool,
        now: Moment,
    ) -> Option<Duration> {
        let trial = self.0.get(&feature).copied().unwrap_or_default();
        let due_after = |from: Moment, delay: Duration| match is_doubtful {
            true => from + delay + delay.max(NEXT_DELAY),
            false => from + delay,
        };
        let last_at = crashes.last.max(trial.last_at);
        let soon_at = match trial.count {
            0 => due_after(crashes.last, FIRST_DELAY),
            n => due_after(last_at, NEXT_DELAY * 2_u32.pow((n - 1).min(MAX_DOUBLINGS))),
        };
        if !self.is_late(feature, crashes, now.max(soon_at)) {
            return Some(soon_at.saturating_sub(now));
        }
        let delay = LATE_DELAYS.get(trial.late as usize)?;
        Some(due_after(last_at, *delay).saturating_sub(now))
    }

    /// Forgets a feature that is no longer held.
    pub fn forget(&mut self, feature: Feature) {
        self.0.remove(&feature);
    }
}
