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
pub struct Shutdown {
    /// When it began.
    pub started_at: Moment,
    /// Time until the process is killed.
    pub grace: Duration,
}

impl Shutdown {
    /// Whether a request of this kind is still taken.
    pub fn accepts(&self, kind: RouteKind, now: Moment) -> bool {
        let age = now.saturating_sub(self.started_at);
        match kind {
            RouteKind::Stream => age < STREAMS.min(self.grace / 3),
            RouteKind::Idempotent | RouteKind::Once => now < self.reject_at(),
        }
    }

    /// When the listener closes.
    pub fn close_at(&self) -> Moment {
        self.started_at + self.grace.mul_f64(ACCEPTING)
    }

    /// When requests that were not sent are refused.
    pub fn reject_at(&self) -> Moment {
        self.exit_at().saturating_sub(REFUSING)
    }

    /// When the process ends, whatever is in progress.
    pub fn exit_at(&self) -> Moment {
        self.started_at + self.grace.mul_f64(ENDING)
    }
}
