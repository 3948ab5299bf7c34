//! Planned shutdown of the daemon: which requests it still accepts, and its deadlines.

use std::time::Duration;

use super::desired::RouteKind;
use crate::clock::Moment;

/// Time after the signal for which streams are still accepted. A stream may last
/// seconds, and the platform counts one that starts later as lost if the process exits
/// before its end.
const STREAM_ACCEPT_TIME: Duration = Duration::from_millis(2_700);
/// Share of the grace period for which new connections are accepted; callers cache entry
/// responses for at most six seconds.
const ACCEPT_SHARE: f64 = 0.78;
/// Share of the grace period after which the process exits, whatever is in progress.
const EXIT_SHARE: f64 = 0.94;
/// Time before the exit at which requests that were not sent are refused.
const REJECT_MARGIN: Duration = Duration::from_millis(600);
/// Time before the exit at which requests in progress are answered with a failure, so
/// that the answers are sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// A planned shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When the signal was seen.
    pub started_at: Moment,
    /// Earliest time at which it may have arrived. The grace period may have begun then, so
    /// new requests are accepted only as far as that leaves time.
    pub signaled_at: Moment,
    /// Grace period, after which the process is killed.
    pub grace: Duration,
}

impl Shutdown {
    /// Returns whether a request of this kind is still accepted.
    pub fn accepts(&self, kind: RouteKind, now: Moment) -> bool {
        let age = now.saturating_sub(self.signaled_at);
        match kind {
            RouteKind::Stream => age < STREAM_ACCEPT_TIME.min(self.grace / 3),
            RouteKind::Idempotent | RouteKind::Once => now < self.reject_at(),
        }
    }

    /// Returns whether a request may still be sent to an engine. One that has `begun`, with
    /// a part of its answer passed on or a run given up, may be sent until the exit.
    pub fn allows_send(&self, begun: bool, now: Moment) -> bool {
        begun || now < self.reject_at()
    }

    /// Returns when the listener closes.
    pub fn close_at(&self) -> Moment {
        self.signaled_at + self.grace.mul_f64(ACCEPT_SHARE)
    }

    /// Returns when requests that were not sent are refused.
    pub fn reject_at(&self) -> Moment {
        let exit_at = self.signaled_at + self.grace.mul_f64(EXIT_SHARE);
        exit_at.saturating_sub(REJECT_MARGIN)
    }

    /// Returns when requests in progress are answered with a failure.
    pub fn answer_at(&self) -> Moment {
        self.exit_at().saturating_sub(ANSWER_MARGIN)
    }

    /// Returns when the process exits, whatever is in progress.
    pub fn exit_at(&self) -> Moment {
        self.started_at + self.grace.mul_f64(EXIT_SHARE)
    }
}
