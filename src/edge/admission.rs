//! Whether a request that could be sent, or that waits for a load, can still be
//! served; what cannot is refused at once with a time to come back.
//!
//! Pattern: overload. A caller that hears at once that it is too late comes back
//! when the engine is free again; one that waits in vain only leaves, and its
//! prompt is read for nobody. A request that is late anyway does not go ahead of
//! those that can still be in time: it waits here until its engine has little to
//! read, or until it must go.

use std::time::Duration;

use super::desired::{Kind, Route};
use super::placement::Target;
use super::routing::{Choice, Pick};
use super::settings::Admission;
use crate::error::Kind as ErrorKind;

/// Silence after which callers leave a stream: the longest of this, and of so
/// many objectives and pauses, by the platform's rules for callers.
const SILENCE: Duration = Duration::from_secs(2);
const SILENT_OBJECTIVES: u32 = 4;
const SILENT_GAPS: u32 = 8;
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

/// What is to be done with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Send it.
    Send(Choice),
    /// Wait for a load of this.
    Wait(Target),
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
        back: Duration,
        /// What is to be loaded until then.
        want: Option<Target>,
    },
}

/// The time that a request has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Time {
    /// Since it began to look for an engine.
    pub waited: Duration,
    /// In which the first event must come.
    pub until: Duration,
    /// For the whole answer.
    pub left: Duration,
    /// Until its objective.
    pub early: Duration,
    /// The route's objective.
    pub objective: Duration,
}

impl Time {
    /// The time of a request of this `age` that has looked for an engine since
    /// `waited`, with `left` for the whole answer. A `resumed` stream has had its
    /// first event: its caller's patience begins anew where it broke.
    pub fn of(
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
        let early = match route.kind {
            Kind::Stream if !resumed => route.objective.saturating_sub(age),
            Kind::Stream | Kind::Idempotent | Kind::Once => left,
        };
        Time {
            waited,
            until: patience(route).saturating_sub(silent).min(left),
            left,
            early,
            objective: route.objective,
        }
    }

    /// Judges what was picked for a request.
    pub fn judge(&self, pick: Pick, limits: &Admission) -> Verdict {
        let refuse = |cause, back| Verdict::Refuse {
            kind: ErrorKind::DeadlineUnreachable,
            cause,
            back,
            want: None,
        };
        match pick {
            Pick::NoEngine => Verdict::NoEngine,
            Pick::Unknown => Verdict::Refuse {
                kind: ErrorKind::UnknownModel,
                cause: "unknown model",
                back: SOON,
                want: None,
            },
            Pick::Go(choice) if choice.first.mul_f64(limits.sure_part) >= self.until => {
                refuse("no engine has time for it", self.back(choice.first))
            }
            Pick::Go(choice) if self.yields(&choice, limits) => Verdict::Hold,
            Pick::Go(choice) => Verdict::Send(choice),
            Pick::NotHeld { target, least } => {
                let load = least.saturating_sub(self.waited);
                match load >= self.until {
                    true => Verdict::Refuse {
                        kind: ErrorKind::DeadlineUnreachable,
                        cause: "the model cannot be loaded in time",
                        back: self.back(load),
                        want: Some(target),
                    },
                    false => Verdict::Wait(target),
                }
            }
        }
    }

    /// Whether a request makes way for those that can be in time.
    fn yields(&self, choice: &Choice, limits: &Admission) -> bool {
        let late = choice.first > self.early;
        let reserve = Duration::from_millis(limits.reserve_ms);
        let presses = choice.first + reserve >= self.until;
        late && choice.ahead > Duration::from_millis(limits.slack_ms) && !presses
    }

    /// When a later try meets its objective, as far as callers wait for that.
    fn back(&self, ready: Duration) -> Duration {
        let wished = ready.saturating_sub(self.objective / 2);
        wished.min(self.left.mul_f64(HEEDED)).max(SOON)
    }
}
