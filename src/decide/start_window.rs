//! Sliding-window limit on the number of starts within any span of time.

use std::collections::VecDeque;
use std::time::Duration;

use super::rate_limits::MAX_WAIT;
use crate::clock::Moment;

/// Allows at most `count` starts within any span of `count / rate` seconds, so
/// that `count` of them may start at once after a pause.
#[derive(Clone, Debug)]
pub struct StartWindow {
    span: Duration,
    count: usize,
    /// Times at which the most recent starts leave the window, ascending.
    ends: VecDeque<Moment>,
}

impl StartWindow {
    /// Creates a full window, as if `count` starts had occurred at `rate` until `now`.
    pub fn new(rate: f64, count: u32, now: Moment) -> Self {
        let mut window = StartWindow {
            span: Duration::ZERO,
            count: 1,
            ends: VecDeque::new(),
        };
        window.set_limit(rate, count);
        let count = window.count as u32;
        for k in 1..=count {
            window.ends.push_back(now + window.span / count * k);
        }
        window
    }

    /// Creates a window that contains the given starts, in any order.
    pub fn from_starts(rate: f64, count: u32, starts: &[Moment]) -> Self {
        let mut window = StartWindow {
            span: Duration::ZERO,
            count: 1,
            ends: VecDeque::new(),
        };
        window.set_limit(rate, count);
        let mut ends: Vec<_> = starts.iter().map(|at| *at + window.span).collect();
        ends.sort();
        window.ends = ends.into();
        window
    }

    /// Changes the rate, starts a second, and the count. Starts recorded before leave
    /// the window at the same time as without the change.
    pub fn set_limit(&mut self, rate: f64, count: u32) {
        self.count = count.max(1) as usize;
        let span = self.count as f64 / rate.max(0.0);
        let span = Duration::try_from_secs_f64(span).unwrap_or(MAX_WAIT);
        self.span = span.min(MAX_WAIT);
    }

    /// Returns the time until a start is allowed, zero if one is allowed now.
    pub fn wait(&self, now: Moment) -> Duration {
        let Some(nth) = self.ends.len().checked_sub(self.count) else {
            return Duration::ZERO;
        };
        self.ends[nth].saturating_sub(now)
    }

    /// Returns the starts that are still in the window, ascending.
    pub fn starts(&self, now: Moment) -> impl Iterator<Item = Moment> {
        let current = self.ends.iter().filter(move |end| **end > now);
        current.map(|end| end.saturating_sub(self.span))
    }

    /// Records a start and drops those that have left the window.
    pub fn record_start(&mut self, now: Moment) {
        while self.ends.front().is_some_and(|end| *end <= now) {
            self.ends.pop_front();
        }
        self.ends.push_back(now + self.span);
    }
}
