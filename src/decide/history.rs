//! Distribution of the gaps between the arrivals of a model.
//!
//! The lengths of the gaps between arrivals are kept on a logarithmic scale,
//! as in the histogram policy of Shahrad et al., "Serverless in the Wild"
//! (USENIX ATC 2020), but as a life table: for each bucket, how many gaps
//! ended in it and how many went beyond. The survival function is the product
//! of the shares of the buckets (Kaplan and Meier, "Nonparametric estimation from
//! incomplete observations", JASA 1958). A bucket decays only when a gap
//! reaches it, so that the many short gaps of a burst do not erase the few long
//! ones between bursts. Each bucket starts with a prior of [`PRIOR_WEIGHT`] gaps
//! that makes the lengths log-uniform, so that few samples have little effect.

use std::time::Duration;

use crate::clock::Moment;

/// Number of buckets: the first one holds gaps shorter than [`FIRST_BUCKET_MS`],
/// bucket `k` those from 2^(k-1) to 2^k times that, and the last one all longer
/// gaps (above three days).
pub const BUCKET_COUNT: usize = 23;
/// Width of the first bucket, ms.
pub const FIRST_BUCKET_MS: u64 = 125;
/// Factor applied to the weights of a bucket by each gap that reaches it.
pub const WEIGHT_DECAY: f32 = 0.97;
/// Weights below this become zero; it is far above the subnormal numbers, on
/// which processors are slow.
pub const MIN_WEIGHT: f32 = 1e-4;
/// Weight of the prior in each bucket, gaps.
pub const PRIOR_WEIGHT: f64 = 0.5;
/// Gaps shorter than this belong to a burst and are not recorded.
pub const BURST_GAP: Duration = Duration::from_millis(250);

/// Decayed counts of the gaps that reached one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct BucketCounts {
    /// Gaps that ended in it.
    ended: f32,
    /// Gaps that were longer.
    beyond: f32,
}

impl BucketCounts {
    fn decay(&mut self) {
        for weight in [&mut self.ended, &mut self.beyond] {
            *weight = if *weight < MIN_WEIGHT {
                0.0
            } else {
                *weight * WEIGHT_DECAY
            };
        }
    }

    /// Returns the share of the gaps reaching bucket `k` that end in it, with the prior.
    fn hazard(&self, k: usize) -> f64 {
        let ended = f64::from(self.ended);
        let all = ended + f64::from(self.beyond);
        let prior_hazard = 1.0 / (BUCKET_COUNT - k) as f64;
        (ended + PRIOR_WEIGHT * prior_hazard) / (all + PRIOR_WEIGHT)
    }
}

/// Arrival history of one model, of constant size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalHistory {
    buckets: [BucketCounts; BUCKET_COUNT],
    last: Option<Moment>,
}

impl ArrivalHistory {
    /// Records an arrival.
    pub fn record_arrival(&mut self, now: Moment) {
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let gap = now.saturating_sub(last);
        if gap < BURST_GAP {
            return;
        }
        let end = bucket(gap);
        for counts in &mut self.buckets[..end] {
            counts.decay();
            counts.beyond += 1.0;
        }
        self.buckets[end].decay();
        self.buckets[end].ended += 1.0;
    }

    /// Returns the time of the last arrival.
    pub fn last_arrival(&self) -> Option<Moment> {
        self.last
    }

    /// Returns the decayed number of recorded gaps.
    pub fn samples(&self) -> f32 {
        self.buckets[0].ended + self.buckets[0].beyond
    }

    /// Returns the probability that a gap is longer than `age` seconds, linear
    /// within a bucket.
    pub fn survival(&self, age: f64) -> f64 {
        let mut survival = 1.0;
        for (k, counts) in self.buckets.iter().enumerate() {
            if age <= lower_edge(k) {
                break;
            }
            let part = (age - lower_edge(k)) / (upper_edge(k) - lower_edge(k));
            survival *= 1.0 - counts.hazard(k) * part.min(1.0);
        }
        survival
    }

    /// Returns the probability that a gap is longer than the upper edge, for each bucket.
    pub fn bucket_survival(&self) -> [f64; BUCKET_COUNT] {
        let mut bucket_survival = [0.0; BUCKET_COUNT];
        let mut survival = 1.0;
        for (k, counts) in self.buckets.iter().enumerate() {
            survival *= 1.0 - counts.hazard(k);
            bucket_survival[k] = survival;
        }
        bucket_survival
    }

    /// Returns the probability that the next arrival comes within `horizon`, given
    /// that the last one was `age` ago.
    pub fn arrival_probability(&self, age: Duration, horizon: Duration) -> f64 {
        let now = self.survival(age.as_secs_f64());
        let later = self.survival((age + horizon).as_secs_f64());
        if now <= 0.0 {
            return 0.0;
        }
        1.0 - later / now
    }
}

/// Returns the bucket of a gap.
fn bucket(gap: Duration) -> usize {
    let units = gap.as_millis() as u64 / FIRST_BUCKET_MS;
    let bits = (u64::BITS - units.leading_zeros()) as usize;
    bits.min(BUCKET_COUNT - 1)
}

/// Returns the upper edge of a bucket, seconds.
pub fn upper_edge(k: usize) -> f64 {
    (FIRST_BUCKET_MS << k) as f64 / 1_000.0
}

/// Returns the lower edge of a bucket, seconds.
fn lower_edge(k: usize) -> f64 {
    if k == 0 { 0.0 } else { upper_edge(k - 1) }
}
