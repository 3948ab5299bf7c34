//! Attempts of one request, and when it may be sent once more.

use std::sync::Arc;
use std::time::Duration;

use super::RoutedRequest;
use crate::edge::clock;

/// Minimum time left for a request to be sent.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Attempts of a request so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Number of times it was sent and may have run.
    pub sent: u32,
    /// Number of times it was not sent, or an engine rejected it without running it.
    pub not_run: u32,
    /// Engines that failed it.
    pub avoid: Vec<Arc<str>>,
    /// Whether it may have run with an unknown outcome.
    pub uncertain: bool,
    /// Id of the event after which the stream is resumed.
    pub last_event: Option<u64>,
    /// Whether it waited for a load.
    pub load_waited: bool,
    /// Time from its arrival to the last time it was sent.
    pub waited: Duration,
    /// Predicted time from the last time it was sent to its first event.
    pub predicted: Duration,
    /// Time from its arrival to its first event, or to the whole response.
    pub first_event: Duration,
}

impl Attempts {
    /// Returns whether the route allows another attempt of a request that may have run.
    pub(super) fn route_allows_retry(&self, routed: &RoutedRequest) -> bool {
        routed.route.is_repeatable() && self.sent < routed.route.attempts
    }

    /// Excludes an engine while there are others.
    pub(super) fn avoid_engine(&mut self, engine: &Arc<str>) {
        if !self.avoid.contains(engine) {
            self.avoid.push(engine.clone());
        }
    }
}

/// Returns whether a request that may have run may be sent once more, apart from the
/// retry budget.
pub(super) fn can_retry(routed: &RoutedRequest, attempts: &Attempts) -> bool {
    attempts.route_allows_retry(routed) && routed.time_left() > MIN_TIME_LEFT
}

/// Excludes an engine that failed the request, and takes a retry out of the retry budget.
/// Returns whether the request may be sent again.
pub(super) fn start_retry(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    engine: &Arc<str>,
    cause: &str,
) -> bool {
    attempts.avoid_engine(engine);
    let allowed = take_retry(routed, attempts, engine, cause);
    if !allowed {
        let request = &*routed.headers.id;
        let tries = attempts.sent;
        log::info!(request, engine = &**engine, cause, tries, allowed; "request retry");
    }
    allowed
}

/// Takes a retry of a request that may have run out of the retry budget. Returns whether
/// the request may be sent again, to another engine than this.
pub(super) fn take_retry(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    engine: &Arc<str>,
    cause: &str,
) -> bool {
    if !can_retry(routed, attempts) || !routed.edge.try_retry(&routed.service) {
        return false;
    }
    attempts.avoid_engine(engine);
    routed.edge.metrics.record_retry();
    let request = &*routed.headers.id;
    let tries = attempts.sent;
    log::info!(request, engine = &**engine, cause, tries, allowed = true; "request retry");
    true
}

/// Records that an engine failed while it may have run the request.
pub(super) fn report_crash(routed: &RoutedRequest, engine: &Arc<str>) {
    let mut state = routed.edge.state.borrow_mut();
    let fingerprint = routed.fingerprint;
    if state
        .suspects
        .record_crash(fingerprint, engine, clock::now())
    {
        state.crash_reports.push((fingerprint, engine.clone()));
        drop(state);
        routed.edge.send_wake.notify_one();
    }
}
