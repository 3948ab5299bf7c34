//! A planned stop: what is still taken, and when it ends.

use std::time::Duration;

use super::desired::RouteKind;
use crate::clock::Moment;

/// Time after the signal for which streams are still taken. They may last
/// seconds, and the platform counts those that came later as lost when the
/// process ends before them.
const STREAMS: Duration = Duration::from_millis(2_700);
/// Part of the time of a planned stop for which new callers are accepted;
/// entry answers are kept for six seconds at the most.
const ACCEPTING: f64 = 0.78;
/// Part of that time after which the process ends whatever is in progress.
const ENDING: f64 = 0.94;
/// Time before the end at which requests that were not sent are refused.
const REFUSING: Duration = Duration::from_millis(600);

/// A planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When it began.
    pub begun: Moment,
    /// Time until the process is killed.
    pub grace: Duration,
}

impl Leaving {
    /// Whether a request of this kind is still taken.
    pub fn takes(&self, kind: RouteKind, now: Moment) -> bool {
        let age = now.saturating_sub(self.begun);
        match kind {
            RouteKind::Stream => age < STREAMS.min(self.grace / 3),
            RouteKind::Idempotent | RouteKind::Once => now < self.refusing(),
        }
    }

    /// When the listener closes.
    pub fn closing(&self) -> Moment {
        self.begun + self.grace.mul_f64(ACCEPTING)
    }

    /// When requests that were not sent are refused.
    pub fn refusing(&self) -> Moment {
        self.ending().saturating_sub(REFUSING)
    }

    /// When the process ends, whatever is in progress.
    pub fn ending(&self) -> Moment {
        self.begun + self.grace.mul_f64(ENDING)
    }
}
