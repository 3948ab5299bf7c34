//! Token buckets, by caller and for shared resources.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;

/// Seconds of its rate that a caller may spend at once.
pub const BURST_S: f64 = 1.0;
/// Callers remembered at once; beyond it full buckets are forgotten.
pub const MAX_CALLERS: usize = 4_096;
/// Longest wait that a bucket answers; stands for never.
pub const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// A token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Tokens gained a second.
    rate: f64,
    /// Most tokens held.
    burst: f64,
    /// Tokens held at `filled`.
    tokens: f64,
    /// Moment of the last change.
    refilled_at: Moment,
}

impl TokenBucket {
    /// A full bucket; a burst below one token could never pay, so it counts as one.
    pub fn new(rate: f64, burst: f64, now: Moment) -> Self {
        let burst = burst.max(1.0);
        TokenBucket {
            rate: rate.max(0.0),
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Changes the rate, tokens a second, from `now` on.
    pub fn set_rate(&mut self, rate: f64, now: Moment) {
        self.refill(now);
        self.rate = rate.max(0.0);
    }

    /// Takes one token, or answers the wait until there is one.
    pub fn take(&mut self, now: Moment) -> Result<(), Duration> {
        let wait = self.wait(now);
        if !wait.is_zero() {
            return Err(wait);
        }
        self.spend(now);
        Ok(())
    }

    /// Takes one token even where none is left, so that the next has to wait.
    pub fn spend(&mut self, now: Moment) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Time until a token is there; zero when there is one.
    pub fn wait(&mut self, now: Moment) -> Duration {
        self.refill(now);
        let missing = 1.0 - self.tokens;
        // Tokens are a sum of rounded products.
        if missing <= 1e-9 {
            return Duration::ZERO;
        }
        if self.rate <= 0.0 {
            return MAX_WAIT;
        }
        let wait = (missing / self.rate).min(MAX_WAIT.as_secs_f64());
        Duration::from_secs_f64(wait).max(Duration::from_nanos(1))
    }

    /// Whether nothing was taken lately.
    pub fn is_full(&mut self, now: Moment) -> bool {
        self.refill(now);
        self.tokens >= self.burst
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// One bucket for each caller.
#[derive(Clone, Debug, Default)]
pub struct CallerLimits {
    buckets: HashMap<Arc<str>, TokenBucket>,
}

impl CallerLimits {
    /// Takes one request of `caller` at `rate` requests a second at this host,
    /// or answers when to come back.
    ///
    /// The rate of the configuration holds for all hosts: pass its share.
    pub fn take(&mut self, caller: &Arc<str>, rate: f64, now: Moment) -> Result<(), Duration> {
        if let Some(bucket) = self.buckets.get_mut(caller) {
            bucket.set_rate(rate, now);
            return bucket.take(now);
        }
        if self.buckets.len() >= MAX_CALLERS {
            self.buckets.retain(|_, b| !b.is_full(now));
        }
        let mut bucket = TokenBucket::new(rate, rate * BURST_S, now);
        let taken = bucket.take(now);
        self.buckets.insert(caller.clone(), bucket);
        taken
    }
}
