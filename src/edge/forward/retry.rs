//! Attempts of one request, and when it may be sent once more.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::RoutedRequest;
use super::evidence::Exposure;
use super::response::{Refusal, Unknown};
use crate::clock::Moment;
use crate::edge::caps::ChargeGuard;
use crate::edge::clock;
use crate::edge::origins::{Allowed, Recording, StreamId};
use crate::edge::permits::{PermitGuard, PermitState, Rank};
use crate::edge::suspects::Progress;
use crate::edge::upstream::Lifetime;
use crate::error::Kind;

/// Minimum time left for a request to be sent.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Maximum number of parts in a log line.
const MAX_LOGGED_PARTS: usize = 16;
/// Interval at which a request that waits for a retry asks the retry budget.
const BUDGET_INTERVAL: Duration = Duration::from_millis(100);

/// Attempts of a request so far.
///
/// An engine that failed or rejected the request is avoided. One whose silent run was
/// abandoned is avoided too, but it may take the request again, also when the route allows
/// no further engine.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Number of times it was sent and may have run, with the attempt in progress.
    pub sent: u32,
    /// Number of times it was not sent, or an engine rejected it without running it.
    pub not_run: u32,
    /// Lifetime of the engine to which it was last sent.
    pub lifetime: Lifetime,
    /// Engines that failed it.
    pub avoid: Vec<Arc<str>>,
    /// Address to which it was last sent.
    pub addr: Option<SocketAddr>,
    /// Engines whose silent run was abandoned and that may still serve it.
    pub abandoned: Vec<Arc<str>>,
    /// Whether a silent run was ever abandoned.
    pub has_abandoned: bool,
    /// Whether it may have run.
    pub exposure: Exposure,
    /// Version of the software that began the stream, once the caller has its first event in this
    /// answer or an earlier one.
    pub software: Option<Arc<str>>,
    /// Id of the event after which the stream is resumed.
    pub last_event: Option<u64>,
    /// Whether it is a trial of a feature that is held, which has not run.
    pub is_trial: bool,
    /// Whether it is in progress at two engines, so that no run is abandoned for its silence.
    pub is_raced: Rc<Cell<bool>>,
    /// Whether it waited for a load.
    pub load_waited: bool,
    /// Its charge to its customer's cap.
    pub charge: Option<ChargeGuard>,
    /// Its application for a permit to be sent next.
    pub permit: Option<PermitGuard>,
    /// Whether that is to learn whether the engine still names its rate.
    pub renews: bool,
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

    /// Records for its charge whether it may have run.
    pub(super) fn record_exposure(&mut self, may_have_run: bool) {
        if let Some(charge) = &mut self.charge {
            charge.set_may_have_run(may_have_run);
        }
    }

    /// Returns its refusal as `kind` if it has not run; else its outcome is unknown.
    pub(super) fn refuse(&self, kind: Kind) -> Refusal {
        match self.exposure.promise() {
            Some(promise) => Refusal::not_run(promise, kind),
            None => Refusal::may_have_run(Unknown::Outcome),
        }
    }

    /// Returns whether it was not sent before.
    pub(super) fn is_first(&self) -> bool {
        self.sent == 0 && self.not_run == 0
    }

    /// Returns whether the request goes on until its deadline, whatever engines and retry
    /// budget allow now: its stream has begun, or a run was abandoned that might have ended well.
    pub(super) fn persists(&self) -> bool {
        self.has_abandoned || !self.first_event.is_zero()
    }

    /// Returns the stream that the next event begins, if its caller can take that up by name.
    pub(super) fn begins(&self, routed: &RoutedRequest) -> Option<StreamId> {
        routed.stream.filter(|_| self.software.is_none())
    }

    /// Returns the software versions at which it may run next.
    pub(super) fn allowed(&self, routed: &RoutedRequest) -> Allowed {
        if !routed.can_be_resumed() {
            return Allowed::Any;
        }
        if let Some(software) = &self.software {
            return Allowed::Only(software.clone());
        }
        let recording = match routed.edge.store_available() {
            true => Recording::Store,
            false if routed.edge.can_tell() => Recording::Hosts,
            false => Recording::Absent,
        };
        let state = routed.edge.state.borrow();
        let is_usable = |software: &str| state.fleet.has_usable(&routed.service, software);
        let versions = &state.origins.services;
        versions.allowed_to_begin(&routed.service, recording, is_usable)
    }

    /// Returns whether it may be sent to an engine that it was not sent to before.
    pub(super) fn may_use_others(&self, routed: &RoutedRequest) -> bool {
        self.sent == 0 || self.route_allows_retry(routed)
    }

    /// Takes the permit to be sent to `engine`. One for another engine is given back.
    pub(super) fn take_permit(&mut self, engine: &str, now: Moment) -> Option<PermitGuard> {
        let is_for_engine = self.permitted_engine(now).as_deref() == Some(engine);
        self.permit.take().filter(|_| is_for_engine)
    }

    /// Returns the engine for which the request has a permit.
    pub(super) fn permitted_engine(&self, now: Moment) -> Option<Arc<str>> {
        match self.permit.as_ref()?.state(now) {
            PermitState::Granted(engine) => Some(engine),
            PermitState::Waiting | PermitState::Refused(_) => None,
        }
    }

    /// Returns the rank of its application for a permit.
    pub(super) fn rank(&self, routed: &RoutedRequest) -> Rank {
        match self.persists() || routed.takes_up() {
            true => Rank::GOES_ON,
            false => Rank::new_request(routed.priority()),
        }
    }

    /// Records that the silent run at an engine was abandoned. Another run there counts as
    /// no further engine.
    pub(super) fn abandon(&mut self, engine: &Arc<str>) {
        self.abandoned.push(engine.clone());
        self.has_abandoned = true;
    }

    /// Returns whether an engine whose run was abandoned may take it again: it holds the model
    /// still, as far as is known.
    pub(super) fn may_return(&self, routed: &RoutedRequest) -> bool {
        let now = clock::now();
        let state = routed.edge.state.borrow();
        let prompt = routed.headers.prompt.as_ref();
        let holds = |id: &Arc<str>| {
            let engine = state.fleet.engines.get(id);
            // The entry of an engine may be missing for a while.
            let (Some(engine), Some(prompt)) = (engine, prompt) else {
                return true;
            };
            engine.has_model(&prompt.model, prompt.adapter.as_deref(), now)
        };
        self.abandoned.iter().any(holds)
    }

    /// Returns whether the run at this engine was abandoned, and forgets that.
    pub(super) fn return_to(&mut self, engine: &Arc<str>) -> bool {
        let count = self.abandoned.len();
        self.abandoned.retain(|e| e != engine);
        self.abandoned.len() < count
    }

    /// Takes the last attempt back, of which nothing was sent.
    pub(super) fn cancel_send(&mut self, engine: &Arc<str>, was_abandoned: bool) {
        self.sent -= 1;
        if was_abandoned {
            self.abandoned.push(engine.clone());
        }
    }

    /// Records that the last attempt did not run; `was_abandoned` tells whether an earlier run
    /// at its engine was abandoned.
    pub(super) fn record_not_run(&mut self, engine: &Arc<str>, was_abandoned: bool) {
        self.cancel_send(engine, was_abandoned);
        self.not_run += 1;
        self.avoid_engine(engine);
    }

    /// Excludes an engine while there are others.
    pub(super) fn avoid_engine(&mut self, engine: &Arc<str>) {
        if !self.avoid.contains(engine) {
            self.avoid.push(engine.clone());
        }
    }
}

/// Returns whether a request that may have run may be sent to a further engine, apart from
/// the retry budget.
pub(super) fn can_retry(routed: &RoutedRequest, attempts: &Attempts) -> bool {
    attempts.route_allows_retry(routed) && routed.time_left() > MIN_TIME_LEFT
}

/// Takes a retry at a further engine than this out of the retry budget. Returns whether
/// there was one.
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
    record_retry(routed, attempts, engine, cause, true);
    true
}

/// Excludes an engine that failed the request, and takes a retry out of the retry budget.
/// Returns whether the request may be sent again, to a further engine or to one whose
/// run was abandoned.
pub(super) async fn start_retry(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    engine: &Arc<str>,
    cause: &str,
) -> bool {
    attempts.avoid_engine(engine);
    attempts.return_to(engine);
    let possible = attempts.route_allows_retry(routed) || attempts.may_return(routed);
    let allowed = possible && await_budget(routed, attempts).await;
    record_retry(routed, attempts, engine, cause, allowed);
    allowed
}

/// Takes a retry out of the retry budget; a request that persists waits for one. Returns
/// whether there was one in time.
pub(super) async fn await_budget(routed: &RoutedRequest, attempts: &Attempts) -> bool {
    while routed.time_left() > MIN_TIME_LEFT {
        if routed.edge.try_retry(&routed.service) {
            return true;
        }
        if !attempts.persists() {
            return false;
        }
        sleep(BUDGET_INTERVAL.min(routed.time_left())).await;
    }
    false
}

fn record_retry(
    routed: &RoutedRequest,
    attempts: &Attempts,
    engine: &Arc<str>,
    cause: &str,
    allowed: bool,
) {
    if allowed {
        routed.edge.metrics.record_retry();
    }
    let request = &*routed.headers.id;
    let tries = attempts.sent;
    log::info!(request, engine = &**engine, cause, tries, allowed; "request retry");
}

/// Records that the connection broke on which the request was last sent, while it may have run.
pub(super) fn record_broken_run(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    progress: Progress,
) {
    log_broken_run(routed, attempts, progress);
    attempts.is_trial = false;
    let edge = &routed.edge;
    if progress == Progress::Settled {
        let (shared, _) = routed.split_features();
        edge.record_answered(shared);
    }
    if let Some(addr) = attempts.addr {
        edge.record_broken_off(&attempts.lifetime, addr, &routed.features, progress);
    }
}

/// Counts and logs a run whose connection broke, with the parts of its prompt that other
/// requests may share.
fn log_broken_run(routed: &RoutedRequest, attempts: &Attempts, progress: Progress) {
    let progress: &'static str = progress.into();
    routed.edge.metrics.record_broken_run(progress);
    let Lifetime {
        engine,
        incarnation,
    } = &attempts.lifetime;
    let ids = routed.headers.shared_parts.iter();
    let parts: Vec<_> = ids
        .take(MAX_LOGGED_PARTS)
        .map(|id| format!("{id:x}"))
        .collect();
    let request = &*routed.headers.id;
    let parts = parts.join(",");
    log::info!(request, engine = &**engine, life = *incarnation, progress, parts; "run broken off");
}
