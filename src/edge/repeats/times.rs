//! Times to the answers of one route, by a histogram whose counts decay.

use std::time::Duration;

use crate::clock::Moment;

/// Number of buckets; with [`BUCKET_RATIO`] they reach beyond the longest time limit, 60 s.
const BUCKETS: usize = 80;
/// Upper bound of the first bucket, s.
const FIRST_BOUND_S: f64 = 0.001;
/// Ratio of the upper bounds of two buckets in a row: a time is known to 15%.
const BUCKET_RATIO: f64 = 1.15;
/// Time in which counts fall to a half, so that the times follow the load within a minute.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Minimum time between two decays of the counts.
const DECAY_PERIOD: Duration = Duration::from_secs(1);

/// Times to recent answers.
#[derive(Clone, Debug)]
pub struct AnswerTimes {
    counts: [f64; BUCKETS],
    total: f64,
    decayed_at: Moment,
}

impl AnswerTimes {
    /// Returns a histogram without samples.
    pub fn new(now: Moment) -> Self {
        AnswerTimes {
            counts: [0.0; BUCKETS],
            total: 0.0,
            decayed_at: now,
        }
    }

    /// Records one time.
    pub fn record(&mut self, time: Duration, now: Moment) {
        self.decay(now);
        self.counts[bucket(time)] += 1.0;
        self.total += 1.0;
    }

    /// Lets the counts decay until now, and returns how many samples are left.
    pub fn decay(&mut self, now: Moment) -> f64 {
        let passed = now.saturating_sub(self.decayed_at);
        if passed >= DECAY_PERIOD {
            let factor = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
            self.counts.iter_mut().for_each(|c| *c *= factor);
            self.total = self.counts.iter().sum();
            self.decayed_at = now;
        }
        self.total
    }

    /// Returns the time within which this part of the answers came.
    pub fn quantile(&self, part: f64) -> Duration {
        self.nth(0, part * self.total)
    }

    /// Returns how long a request still takes, by the median, that has taken this long; if none
    /// took longer, as long again.
    pub fn left_after(&self, elapsed: Duration) -> Duration {
        let first = bucket(elapsed) + 1;
        let longer: f64 = self.counts[first.min(BUCKETS)..].iter().sum();
        if longer < 1.0 {
            return elapsed;
        }
        self.nth(first, longer / 2.0).saturating_sub(elapsed)
    }

    /// Returns the upper bound of the bucket in which this many samples are reached, counted from
    /// the bucket `first`.
    fn nth(&self, first: usize, number: f64) -> Duration {
        let mut seen = 0.0;
        for (index, count) in self.counts.iter().enumerate().skip(first) {
            seen += count;
            if seen >= number {
                return bound(index);
            }
        }
        bound(BUCKETS - 1)
    }
}

/// Returns the bucket of a time.
fn bucket(time: Duration) -> usize {
    let steps = (time.as_secs_f64() / FIRST_BOUND_S).max(1.0).ln() / BUCKET_RATIO.ln();
    (steps.ceil() as usize).min(BUCKETS - 1)
}

/// Returns the upper bound of a bucket.
fn bound(index: usize) -> Duration {
    Duration::from_secs_f64(FIRST_BOUND_S * BUCKET_RATIO.powi(index as i32))
}
