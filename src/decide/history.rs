//! Arrival history of a model.
//!
//! The lengths of the gaps between arrivals are kept on a logarithmic scale,
//! as in the histogram policy of Shahrad et al., "Serverless in the Wild"
//! (USENIX ATC 2020), but as a life table: for each bucket, how many gaps
//! ended in it and how many went beyond. The survival function is the product
//! of the buckets' shares (Kaplan and Meier, "Nonparametric estimation from
//! incomplete observations", JASA 1958). A bucket forgets only when a gap
//! reaches it, so that the many short gaps of a burst leave the few long ones
//! between bursts in place. Each bucket starts with [`PRIOR`] gaps that would
//! make the lengths log-uniform, so that few samples decide little.

use std::time::Duration;

use crate::clock::Moment;

/// Buckets of the table: bucket `k` holds gaps from 2^(k-1) to 2^k times
/// [`UNIT_MS`], the last one all longer ones (above three days).
pub const BUCKETS: usize = 23;
/// Width of the first bucket, ms.
pub const UNIT_MS: u64 = 125;
/// Factor by which a gap loses weight with each later one that reaches its
/// bucket.
pub const DECAY: f32 = 0.97;
/// Weight below which a gap is forgotten; far above the subnormal numbers,
/// with which processors are slow.
pub const FADED: f32 = 1e-4;
/// Weight of the prior in each bucket, gaps.
pub const PRIOR: f64 = 0.5;
/// Gaps shorter than this belong to one burst and are not sampled.
pub const BURST: Duration = Duration::from_millis(250);

/// Gaps that reached one bucket, with decayed weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Reached {
    /// Ended in it.
    ended: f32,
    /// Went beyond it.
    beyond: f32,
}

impl Reached {
    fn fade(&mut self) {
        for weight in [&mut self.ended, &mut self.beyond] {
            *weight = if *weight < FADED {
                0.0
            } else {
                *weight * DECAY
            };
        }
    }

    /// Share of the gaps that end in bucket `k`, the prior included.
    fn share(&self, k: usize) -> f64 {
        let ended = f64::from(self.ended);
        let all = ended + f64::from(self.beyond);
        let usual = 1.0 / (BUCKETS - k) as f64;
        (ended + PRIOR * usual) / (all + PRIOR)
    }
}

/// Arrival history of one model; of constant size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct History {
    gaps: [Reached; BUCKETS],
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
        let end = bucket(gap);
        for reached in &mut self.gaps[..end] {
            reached.fade();
            reached.beyond += 1.0;
        }
        self.gaps[end].fade();
        self.gaps[end].ended += 1.0;
    }

    /// Moment of the last arrival.
    pub fn last(&self) -> Option<Moment> {
        self.last
    }

    /// Decayed number of gaps seen.
    pub fn samples(&self) -> f32 {
        self.gaps[0].ended + self.gaps[0].beyond
    }

    /// Probability that a gap is longer than `age` seconds; linear within a
    /// bucket.
    pub fn beyond(&self, age: f64) -> f64 {
        let mut longer = 1.0;
        for (k, reached) in self.gaps.iter().enumerate() {
            if age <= floor(k) {
                break;
            }
            let part = (age - floor(k)) / (edge(k) - floor(k));
            longer *= 1.0 - reached.share(k) * part.min(1.0);
        }
        longer
    }

    /// Probabilities that a gap is longer than the upper edge of each bucket.
    pub fn tails(&self) -> [f64; BUCKETS] {
        let mut tails = [0.0; BUCKETS];
        let mut longer = 1.0;
        for (k, reached) in self.gaps.iter().enumerate() {
            longer *= 1.0 - reached.share(k);
            tails[k] = longer;
        }
        tails
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
