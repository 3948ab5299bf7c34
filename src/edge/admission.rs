//! Whether a request that could be sent, or that waits for a load, can still be
//! served; what cannot is refused at once with a time to come back.
//!
//! Pattern: overload. A caller that hears at once that it is too late comes back
//! when the engine is free again; one that waits in vain only leaves, and its
//! prompt is read for nobody. A request that is late anyway does not go ahead of
//! those that can still be in time: it waits here until its engine has little to
//! read, or until it must go.

use std::time::Duration;

use super::desired::{Route, RouteKind};
use super::placement::ModelTarget;
use super::routing::{Choice, Selection};
use super::settings::Admission;
use crate::error::Kind as ErrorKind;

/// Silence after which callers leave a stream: the longest of this, and of so
/// many objectives and pauses, by the platform's rules for callers.
const MIN_SILENCE: Duration = Duration::from_secs(2);
const SILENT_OBJECTIVES: u32 = 4;
const SILENT_GAPS: u32 = 8;
/// Shortest time to come back after.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Part of the time left up to which callers heed a time to come back.
const HEEDED_SHARE: f64 = 1.0 / 3.0;

/// Time from a request's arrival until its caller leaves without a first event.
pub fn silence_limit(route: &Route) -> Duration {
    match route.kind {
        RouteKind::Stream => MIN_SILENCE
            .max(route.objective * SILENT_OBJECTIVES)
            .max(route.gap * SILENT_GAPS),
        RouteKind::Idempotent | RouteKind::Once => Duration::MAX,
    }
}

/// What is to be done with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Send it.
    Send(Choice),
    /// Wait for a load of this.
    WaitForLoad(ModelTarget),
    /// Wait for a moment at which an engine has little to do.
    Hold,
    /// No engine of its service is known.
    NoEngine,
    /// Refuse it.
    Refuse {
        /// Kind of the refusal.
        kind: ErrorKind,
        /// Cause, for the log.
        cause: &'static str,
        /// Time to come back after.
        retry_after: Duration,
        /// What is to be loaded until then.
        load: Option<ModelTarget>,
    },
}

/// The time that a request has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeBudget {
    /// Since it began to look for an engine.
    pub waited: Duration,
    /// In which the first event must come.
    pub first_event: Duration,
    /// For the whole answer.
    pub left: Duration,
    /// Until its objective.
    pub objective_left: Duration,
    /// The route's objective.
    pub objective: Duration,
}

impl TimeBudget {
    /// The time of a request of this `age` that has looked for an engine since
    /// `waited`, with `left` for the whole answer. A `resumed` stream has had its
    /// first event: its caller's patience begins anew where it broke.
    pub fn new(
        route: &Route,
        age: Duration,
        waited: Duration,
        left: Duration,
        resumed: bool,
    ) -> Self {
        let silent = match resumed {
            true => waited,
            false => age,
        };
        let objective_left = match route.kind {
            RouteKind::Stream if !resumed => route.objective.saturating_sub(age),
            RouteKind::Stream | RouteKind::Idempotent | RouteKind::Once => left,
        };
        TimeBudget {
            waited,
            first_event: silence_limit(route).saturating_sub(silent).min(left),
            left,
            objective_left,
            objective: route.objective,
        }
    }

    /// Judges what was picked for a request.
    pub fn decide(&self, selection: Selection, limits: &Admission) -> AdmissionDecision {
        let refuse = |cause, retry_after| AdmissionDecision::Refuse {
            kind: ErrorKind::DeadlineUnreachable,
            cause,
            retry_after,
            load: None,
        };
        match selection {
            Selection::NoEngine => AdmissionDecision::NoEngine,
            Selection::UnknownModel => AdmissionDecision::Refuse {
                kind: ErrorKind::UnknownModel,
                cause: "unknown model",
                retry_after: MIN_RETRY_AFTER,
                load: None,
            },
            Selection::Engine(choice)
                if choice.first_event.mul_f64(limits.sure_part) >= self.first_event =>
            {
                refuse(
                    "no engine has time for it",
                    self.retry_after(choice.first_event),
                )
            }
            Selection::Engine(choice) if self.should_hold(&choice, limits) => {
                AdmissionDecision::Hold
            }
            Selection::Engine(choice) => AdmissionDecision::Send(choice),
            Selection::NotLoaded { target, load_time } => {
                let load = load_time.saturating_sub(self.waited);
                match load >= self.first_event {
                    true => AdmissionDecision::Refuse {
                        kind: ErrorKind::DeadlineUnreachable,
                        cause: "the model cannot be loaded in time",
                        retry_after: self.retry_after(load),
                        load: Some(target),
                    },
                    false => AdmissionDecision::WaitForLoad(target),
                }
            }
        }
    }

    /// Whether a request makes way for those that can be in time.
    fn should_hold(&self, choice: &Choice, limits: &Admission) -> bool {
        let late = choice.first_event > self.objective_left;
        let reserve = Duration::from_millis(limits.reserve_ms);
        let presses = choice.first_event + reserve >= self.first_event;
        late && choice.backlog > Duration::from_millis(limits.slack_ms) && !presses
    }

    /// When a later try meets its objective, as far as callers wait for that.
    fn retry_after(&self, ready: Duration) -> Duration {
        let wished = ready.saturating_sub(self.objective / 2);
        wished
            .min(self.left.mul_f64(HEEDED_SHARE))
            .max(MIN_RETRY_AFTER)
    }
}
