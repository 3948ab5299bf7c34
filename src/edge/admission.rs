//! Whether a request that could be sent, or that waits for a load, can still be
//! served; what cannot is refused at once with a time to come back.
//!
//! Pattern: overload. A caller that hears at once that it is too late comes back
//! when the engine is free again; one that waits in vain only leaves, and its
//! prompt is read for nobody.

use std::time::Duration;

use super::desired::{Kind, Route};

/// Silence after which callers leave a stream: the longest of this, and of so
/// many objectives and pauses, by the platform's rules for callers.
const SILENCE: Duration = Duration::from_secs(2);
const SILENT_OBJECTIVES: u32 = 4;
const SILENT_GAPS: u32 = 8;
/// Part of the predicted time that a first event takes at least: the fifth
/// percentile of what was seen over what was predicted (docs/MEASUREMENTS.md).
const SURE: f64 = 0.4;
/// Shortest time to come back after.
const SOON: Duration = Duration::from_millis(50);
/// Part of the time left up to which callers heed a time to come back.
const HEEDED: f64 = 1.0 / 3.0;

/// Time from a request's arrival until its caller leaves without a first event.
pub fn patience(route: &Route) -> Duration {
    match route.kind {
        Kind::Stream => SILENCE
            .max(route.objective * SILENT_OBJECTIVES)
            .max(route.gap * SILENT_GAPS),
        Kind::Idempotent | Kind::Once => Duration::MAX,
    }
}

/// What is asked when a request is to be sent or goes on waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Predicted time to the first event, or to the end of a load.
    pub first: Duration,
    /// Time in which the first event must come.
    pub until: Duration,
    /// Time left for the whole answer.
    pub left: Duration,
    /// The route's objective.
    pub objective: Duration,
}

impl Outlook {
    /// The time to come back after where an engine surely has no time for the
    /// request; `None` where it may.
    pub fn overloaded(&self) -> Option<Duration> {
        let sure = self.first.mul_f64(SURE);
        (sure >= self.until).then(|| self.back(self.first))
    }

    /// The same where a model cannot be loaded in time.
    pub fn unloaded(&self) -> Option<Duration> {
        (self.first >= self.until).then(|| self.back(self.first))
    }

    /// When a later try meets its objective, as far as callers wait for that.
    fn back(&self, ready: Duration) -> Duration {
        let wished = ready.saturating_sub(self.objective / 2);
        wished.min(self.left.mul_f64(HEEDED)).max(SOON)
    }
}
