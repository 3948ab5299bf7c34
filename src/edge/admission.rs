//! Admission control: sends a request, holds it, or refuses it when it can no longer
//! be served in time.
//!
//! A refusal names the time after which to retry. A caller that is refused at once
//! retries when the engine is free again; one that waits in vain gives up, and the
//! engine has read its prompt for nothing. A request that will miss its objective
//! anyway is not sent before those that can still meet theirs: it is held until its
//! engine has little left to read, or until it has to be sent.

use std::time::Duration;

use super::desired::{Route, RouteKind};
use super::placement::ModelTarget;
use super::routing::{PausedEngine, SelectedEngine, Selection};
use super::settings::AdmissionSettings;
use crate::error::Kind as ErrorKind;

/// Minimum silence after which callers abandon a stream. By the platform's rules for
/// callers it is the longest of this, [`SILENCE_PER_OBJECTIVE`] times the route's
/// objective and [`SILENCE_PER_GAP`] times its gap between events.
const MIN_SILENCE: Duration = Duration::from_secs(2);
/// Multiple of a route's objective in the same rule.
const SILENCE_PER_OBJECTIVE: u32 = 4;
/// Multiple of a route's gap in the same rule.
const SILENCE_PER_GAP: u32 = 8;
/// Share of the forecast time until a load has ended that it takes at least.
const FORECAST_SHARE: f64 = 0.9;
/// Maximum wait for a permit of a request that another engine serves late.
const LATE_PERMIT_WAIT: Duration = Duration::from_millis(50);
/// Shortest retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Share of the time left up to which callers honour a retry delay.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// Returns the time from a request's arrival after which its caller gives up without
/// a first event.
pub fn silence_limit(route: &Route) -> Duration {
    match route.kind {
        RouteKind::Stream => MIN_SILENCE
            .max(route.objective * SILENCE_PER_OBJECTIVE)
            .max(route.gap * SILENCE_PER_GAP),
        RouteKind::Idempotent | RouteKind::Once => Duration::MAX,
    }
}

/// What to do with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Send it to this engine.
    Send(SelectedEngine),
    /// Wait for a load of this model or adapter.
    WaitForLoad(ModelTarget),
    /// Wait until its engine has less to read.
    Hold,
    /// Wait for this time, until an engine takes requests of this host again.
    Pause(Duration),
    /// Refuse it until this engine takes requests of this host again.
    ReturnLater(PausedEngine),
    /// Refuse it: the engines that could serve it have named a rate, and it has no permit.
    NoPermit,
    /// No usable engine of its service is known.
    NoEngine,
    /// Refuse it.
    Refuse {
        /// Kind of the refusal.
        kind: ErrorKind,
        /// Cause, for the log.
        cause: &'static str,
        /// Time after which to retry.
        retry_after: Duration,
        /// Model or adapter to load until then.
        load: Option<ModelTarget>,
    },
}

impl AdmissionDecision {
    /// Refuses a request whose tokens fit into the memory of no engine.
    pub fn too_large() -> Self {
        AdmissionDecision::Refuse {
            kind: ErrorKind::NoCapacity,
            cause: "larger than the memory of an engine for tokens",
            retry_after: MIN_RETRY_AFTER,
            load: None,
        }
    }
}

/// Time limits of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeBudget {
    /// Time since it started to look for an engine.
    pub waited: Duration,
    /// Time left for the first event.
    pub event_left: Duration,
    /// Time left for the whole answer.
    pub left: Duration,
    /// Time left until its objective.
    pub objective_left: Duration,
    /// The route's objective.
    pub objective: Duration,
}

impl TimeBudget {
    /// Creates the time limits of a request of this `age` that has looked for an
    /// engine for `waited`, with `left` for the whole answer. A `resumed` stream
    /// already had its first event: its caller's limit restarts where it broke.
    pub fn new(
        route: &Route,
        age: Duration,
        waited: Duration,
        left: Duration,
        resumed: bool,
    ) -> Self {
        let silence = match resumed {
            true => waited,
            false => age,
        };
        let objective_left = match route.kind {
            RouteKind::Stream if !resumed => route.objective.saturating_sub(age),
            RouteKind::Stream | RouteKind::Idempotent | RouteKind::Once => left,
        };
        TimeBudget {
            waited,
            event_left: silence_limit(route).saturating_sub(silence).min(left),
            left,
            objective_left,
            objective: route.objective,
        }
    }

    /// Decides what to do with a request, given the selected engine.
    pub fn decide(&self, selection: Selection, limits: &AdmissionSettings) -> AdmissionDecision {
        let refuse = |cause, retry_after| AdmissionDecision::Refuse {
            kind: ErrorKind::DeadlineUnreachable,
            cause,
            retry_after,
            load: None,
        };
        match selection {
            Selection::NoEngine => AdmissionDecision::NoEngine,
            Selection::Limited => AdmissionDecision::NoPermit,
            // Another host may send to these engines, so that the caller had better return.
            Selection::Paused(paused)
                if self.waited.saturating_add(paused.ready_in) > self.objective =>
            {
                AdmissionDecision::ReturnLater(paused)
            }
            Selection::Paused(paused) => AdmissionDecision::Pause(paused.ready_in),
            Selection::UnknownModel => AdmissionDecision::Refuse {
                kind: ErrorKind::UnknownModel,
                cause: "unknown model",
                retry_after: MIN_RETRY_AFTER,
                load: None,
            },
            Selection::Engine(choice)
                if choice.first_event.mul_f64(limits.sure_part) >= self.event_left =>
            {
                refuse(
                    "no engine can start the answer in time",
                    self.retry_after(choice.first_event),
                )
            }
            Selection::Engine(choice) if self.should_hold(&choice, limits) => {
                AdmissionDecision::Hold
            }
            Selection::Engine(choice) => AdmissionDecision::Send(choice),
            Selection::NotLoaded {
                target,
                load_time,
                ready_in,
                ..
            } => {
                let remaining = match ready_in {
                    Some(forecast) => forecast.mul_f64(FORECAST_SHARE),
                    None => load_time.saturating_sub(self.waited),
                };
                match remaining >= self.event_left {
                    true => AdmissionDecision::Refuse {
                        kind: ErrorKind::DeadlineUnreachable,
                        cause: "the model cannot be loaded in time",
                        retry_after: self.retry_after(remaining),
                        load: Some(target),
                    },
                    false => AdmissionDecision::WaitForLoad(target),
                }
            }
        }
    }

    /// Refuses a request that gets no first event in time behind the prompts `ahead` of it, if it
    /// is sent now or when its model is loaded.
    pub fn refuse_behind(
        &self,
        selection: &Selection,
        ahead: Duration,
        limits: &AdmissionSettings,
    ) -> Option<AdmissionDecision> {
        let (ready, surely) = match selection {
            Selection::Engine(choice) => {
                let ready = choice.first_event + ahead;
                (ready, ready.mul_f64(limits.sure_part))
            }
            Selection::NotLoaded {
                load_time,
                ready_in,
                ..
            } => {
                let loaded = ready_in.unwrap_or(*load_time);
                let sure = loaded.mul_f64(FORECAST_SHARE) + ahead.mul_f64(limits.sure_part);
                (loaded + ahead, sure)
            }
            _ => return None,
        };
        (surely >= self.event_left).then(|| AdmissionDecision::Refuse {
            kind: ErrorKind::DeadlineUnreachable,
            cause: "not in time behind the requests ahead",
            retry_after: self.retry_after(ready),
            load: match selection {
                Selection::NotLoaded { target, .. } => Some(target.clone()),
                _ => None,
            },
        })
    }

    /// Returns whether a request has to be sent now to get a first event before its caller gives
    /// up.
    pub fn is_urgent(&self, choice: &SelectedEngine, limits: &AdmissionSettings) -> bool {
        choice.first_event + Duration::from_millis(limits.reserve_ms) >= self.event_left
    }

    /// Returns whether the selected engine meets the request's objective.
    pub fn is_on_time(&self, selection: &Selection) -> bool {
        matches!(selection, Selection::Engine(choice) if choice.first_event <= self.objective_left)
    }

    /// Returns how long a request can wait for a permit, given what it is to do without one.
    /// Where an engine serves it late, it waits only for a permit that is there at once.
    pub fn permit_patience(&self, selection: &Selection, goes_on: bool) -> Duration {
        match selection {
            Selection::Engine(_) => LATE_PERMIT_WAIT.min(self.event_left),
            _ if goes_on => self.event_left,
            _ => self
                .objective
                .saturating_sub(self.waited)
                .min(self.event_left),
        }
    }

    /// Returns whether a request that misses its objective waits behind those that can
    /// still meet theirs.
    fn should_hold(&self, choice: &SelectedEngine, limits: &AdmissionSettings) -> bool {
        let late = choice.first_event > self.objective_left;
        let is_urgent = self.is_urgent(choice, limits);
        late && choice.backlog > Duration::from_millis(limits.slack_ms) && !is_urgent
    }

    /// Returns the delay after which a retry meets its objective, limited to what
    /// callers honour.
    fn retry_after(&self, ready: Duration) -> Duration {
        let delay = ready.saturating_sub(self.objective / 2);
        delay
            .min(self.left.mul_f64(HONOURED_SHARE))
            .max(MIN_RETRY_AFTER)
    }
}
