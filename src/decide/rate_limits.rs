//! Token buckets and the request rate limits of callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;

/// Burst size of a caller, in seconds of its rate.
pub const BURST_S: f64 = 1.0;
/// Number of buckets from which on full buckets are removed before another is added.
pub const PRUNE_CALLERS: usize = 4_096;
/// Maximum wait that is returned, also at a rate of zero.
pub const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// A token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Refill rate, tokens a second.
    rate: f64,
    /// Capacity, tokens.
    burst: f64,
    /// Tokens at `refilled_at`.
    tokens: f64,
    /// Time of the last refill.
    refilled_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket. A burst below one token counts as one, because such a
    /// bucket would never hold a whole token.
    pub fn new(rate: f64, burst: f64, now: Moment) -> Self {
        let burst = burst.max(1.0);
        TokenBucket {
            rate: rate.max(0.0),
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Creates an empty bucket that holds no tokens until its limits are set.
    pub fn empty(now: Moment) -> Self {
        TokenBucket {
            rate: 0.0,
            burst: 0.0,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the rate, tokens a second, and the capacity from `now` on. Tokens beyond the
    /// capacity are lost.
    pub fn set_limits(&mut self, rate: f64, burst: f64, now: Moment) {
        self.refill_to(burst, now);
        self.rate = rate.max(0.0);
        self.burst = burst;
    }

    /// Changes the rate, tokens a second, from `now` on.
    pub fn set_rate(&mut self, rate: f64, now: Moment) {
        self.refill(now);
        self.rate = rate.max(0.0);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// The time until a token is available.
    pub fn take(&mut self, now: Moment) -> Result<(), Duration> {
        let wait = self.wait(now);
        if !wait.is_zero() {
            return Err(wait);
        }
        self.force_take(now);
        Ok(())
    }

    /// Takes one token even if none is left, so that later requests wait longer.
    pub fn force_take(&mut self, now: Moment) {
        self.add(-1.0, now);
    }

    /// Adds this many tokens, or takes them if the number is negative, even if they are not
    /// there. Tokens beyond the capacity are lost.
    pub fn add(&mut self, tokens: f64, now: Moment) {
        self.refill(now);
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Returns the number of tokens; negative after more were taken than there were.
    pub fn level(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Returns the time until a token is available, zero if one is.
    pub fn wait(&mut self, now: Moment) -> Duration {
        self.wait_behind(0, now)
    }

    /// Returns the time until a token is available after `ahead` others were taken.
    pub fn wait_behind(&mut self, ahead: u32, now: Moment) -> Duration {
        self.wait_for(f64::from(ahead) + 1.0, now)
    }

    /// Returns the time until this many tokens are available.
    pub fn wait_for(&mut self, tokens: f64, now: Moment) -> Duration {
        self.refill(now);
        let missing = tokens - self.tokens;
        // `tokens` accumulates rounding errors.
        if missing <= 1e-9 {
            return Duration::ZERO;
        }
        if self.rate <= 0.0 {
            return MAX_WAIT;
        }
        let wait = (missing / self.rate).min(MAX_WAIT.as_secs_f64());
        Duration::from_secs_f64(wait).max(Duration::from_nanos(1))
    }

    /// Returns whether the bucket is full.
    pub fn is_full(&mut self, now: Moment) -> bool {
        self.refill(now);
        self.tokens >= self.burst
    }

    fn refill(&mut self, now: Moment) {
        self.refill_to(self.burst, now);
    }

    fn refill_to(&mut self, burst: f64, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Rate limits of callers, one bucket each.
#[derive(Clone, Debug, Default)]
pub struct CallerLimits {
    buckets: HashMap<Arc<str>, TokenBucket>,
}

impl CallerLimits {
    /// Admits one request of `caller` at `rate` requests a second at this host.
    ///
    /// The configured rate applies to all hosts together, so `rate` must be the
    /// share of this host.
    ///
    /// # Errors
    ///
    /// The time after which to retry.
    pub fn take(&mut self, caller: &Arc<str>, rate: f64, now: Moment) -> Result<(), Duration> {
        if let Some(bucket) = self.buckets.get_mut(caller) {
            bucket.set_rate(rate, now);
            return bucket.take(now);
        }
        if self.buckets.len() >= PRUNE_CALLERS {
            self.buckets.retain(|_, b| !b.is_full(now));
        }
        let mut bucket = TokenBucket::new(rate, rate * BURST_S, now);
        let taken = bucket.take(now);
        self.buckets.insert(caller.clone(), bucket);
        taken
    }
}
