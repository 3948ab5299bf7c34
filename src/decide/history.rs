//! Arrival history of a model.
//!
//! A decayed histogram of the gaps between arrivals on a logarithmic scale, as
//! in the hybrid histogram policy of Shahrad et al., "Serverless in the Wild"
//! (USENIX ATC 2020). It is mixed with a prior of [`PRIOR`] gaps, log-uniform
//! over the scale, so that few samples decide little.

use std::time::Duration;

use crate::clock::Moment;

/// Buckets of the histogram: bucket `k` holds gaps from 2^(k-1) to 2^k times
/// [`UNIT_MS`], the last one all longer ones (above three days).
pub const BUCKETS: usize = 23;
/// Width of the first bucket, ms.
pub const UNIT_MS: u64 = 125;
/// Factor by which a sample loses weight with each later one.
pub const DECAY: f32 = 0.97;
/// Weight below which a sample is forgotten; far above the subnormal numbers,
/// with which processors are slow.
pub const FADED: f32 = 1e-4;
/// Weight of the prior, gaps.
pub const PRIOR: f64 = 2.0;
/// Gaps shorter than this belong to one burst and are not sampled.
pub const BURST: Duration = Duration::from_millis(250);
/// Arrival history of one model; of constant size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct History {
    gaps: [f32; BUCKETS],
    last: Option<Moment>,
}

impl History {
    /// Notes an arrival.
    pub fn arrived(&mut self, now: Moment) {
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let gap = now.saturating_sub(last);
        if gap < BURST {
            return;
        }
        for g in &mut self.gaps {
            *g = if *g < FADED { 0.0 } else { *g * DECAY };
        }
        self.gaps[bucket(gap)] += 1.0;
    }

    /// Moment of the last arrival.
    pub fn last(&self) -> Option<Moment> {
        self.last
    }

    /// Decayed number of gaps seen.
    pub fn samples(&self) -> f32 {
        self.gaps.iter().sum()
    }

    /// Probability that a gap is longer than `age`, the prior included.
    pub fn beyond(&self, age: f64) -> f64 {
        let prior = PRIOR / BUCKETS as f64;
        let mut longer = 0.0;
        let mut all = 0.0;
        for (k, gap) in self.gaps.iter().enumerate() {
            let weight = f64::from(*gap) + prior;
            all += weight;
            longer += weight * share_beyond(k, age);
        }
        longer / all
    }

    /// Probabilities that a gap is longer than the upper edge of each bucket.
    pub fn tails(&self) -> [f64; BUCKETS] {
        let prior = PRIOR / BUCKETS as f64;
        let mut tails = [0.0; BUCKETS];
        let mut longer = 0.0;
        for k in (0..BUCKETS).rev() {
            tails[k] = longer;
            longer += f64::from(self.gaps[k]) + prior;
        }
        tails.map(|t| t / longer)
    }

    /// Probability that the next arrival comes within `horizon`, given that
    /// none has come for `age`.
    pub fn chance(&self, age: Duration, horizon: Duration) -> f64 {
        let now = self.beyond(age.as_secs_f64());
        let later = self.beyond((age + horizon).as_secs_f64());
        if now <= 0.0 {
            return 0.0;
        }
        1.0 - later / now
    }
}

/// Bucket of a gap.
fn bucket(gap: Duration) -> usize {
    let units = gap.as_millis() as u64 / UNIT_MS;
    let bits = (u64::BITS - units.leading_zeros()) as usize;
    bits.min(BUCKETS - 1)
}

/// Upper edge of a bucket, seconds.
pub fn edge(k: usize) -> f64 {
    (UNIT_MS << k) as f64 / 1_000.0
}

/// Lower edge of a bucket, seconds.
fn floor(k: usize) -> f64 {
    if k == 0 { 0.0 } else { edge(k - 1) }
}

/// Share of a bucket's gaps, uniform within it, that are longer than `age`.
fn share_beyond(k: usize, age: f64) -> f64 {
    let (low, high) = (floor(k), edge(k));
    ((high - age) / (high - low)).clamp(0.0, 1.0)
}
