//! What engines have said of themselves in their responses.
//!
//! A statement is kept under the id of its engine and the start time that was known when the
//! engine was addressed. When the engine is listed with a later start, its new lifetime may
//! have made the statement before its entry was read. A pause then applies to its end, that the
//! engine leaves applies until it has answered a check, and a rate until an answer names none;
//! all for [`DOUBT_TIME`] at most.
//! Statements are kept while the engine is not listed, because its entry may be back later, or
//! older.

mod rates;
mod recording;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub use rates::{NamedRates, RateChange, RateStatement};

use super::reopening::Reopening;
use crate::clock::Moment;

/// Number of engines that leave from which those that are not listed are forgotten.
const MAX_LEAVING: usize = 10_000;
/// Time for which a statement may apply to a later start than it was kept under; an engine that
/// leaves is seldom there for longer.
const DOUBT_TIME: Duration = Duration::from_secs(15);
/// Minimum time between two checks of an engine.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// What an engine says of itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Whether it is about to stop.
    pub leaves: bool,
    /// For how long it wants no requests of this host.
    pub pause: Option<Duration>,
    /// How many requests it takes from all hosts together.
    pub rate: RateHeader,
}

/// What the head of a response says of the requests that its engine takes from all hosts
/// together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateHeader {
    /// Nothing: the engine has no limit.
    #[default]
    Absent,
    /// Nothing that can be read.
    Invalid,
    /// Requests a second.
    Named(f64),
}

/// How this daemon knows that an engine leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// The engine has said it to this daemon.
    Response,
    /// Another daemon has passed it on, for the lifetime that it names only.
    Note,
}

/// Statements of engines, by their ids.
#[derive(Debug, Default)]
pub struct Statements {
    leaving: HashMap<Arc<str>, Leaving>,
    pauses: HashMap<Arc<str>, Pause>,
    rates: NamedRates,
    doubts: HashMap<Arc<str>, Doubt>,
}

/// Statement that an engine leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// Start time of the engine.
    incarnation: u64,
    source: Source,
}

/// Time in which an engine wants no requests of this host.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// Start time of the engine that asked for it.
    incarnation: u64,
    /// Its end, and what follows.
    reopening: Reopening,
}

/// An engine that is listed with a later start than its statement was kept under.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// Start time of the listed engine.
    incarnation: u64,
    since: Moment,
    /// When it was last asked whether it leaves.
    asked_at: Option<Moment>,
    /// Whether it has answered that.
    answered: bool,
}

impl Statements {
    /// Records that the engine that started at `incarnation` leaves; returns whether that is
    /// news. `is_listed` tells which engines to remember when there are too many.
    pub fn record_leaving(
        &mut self,
        id: &Arc<str>,
        incarnation: u64,
        source: Source,
        is_listed: impl Fn(&str) -> bool,
    ) -> bool {
        let leaving = Leaving {
            incarnation,
            source,
        };
        match self.leaving.get(id) {
            Some(known) if known.incarnation > incarnation => return false,
            Some(known) if known.incarnation == incarnation => {
                if source == Source::Response {
                    self.leaving.insert(id.clone(), leaving);
                }
                return false;
            }
            _ => {}
        }
        if self.leaving.len() >= MAX_LEAVING {
            self.leaving.retain(|id, _| is_listed(id));
        }
        self.leaving.insert(id.clone(), leaving);
        true
    }

    /// Returns whether the engine that started at `incarnation` leaves, or may leave.
    pub fn may_leave(&self, id: &str, incarnation: u64) -> bool {
        let heard = |l: &Leaving| l.source == Source::Response;
        self.leaves(id, incarnation)
            || self.leaving.get(id).is_some_and(heard) && !self.has_answered(id, incarnation)
    }

    /// Returns whether the engine that started at `incarnation` leaves for certain.
    pub fn leaves(&self, id: &str, incarnation: u64) -> bool {
        let leaving = self.leaving.get(id);
        leaving.is_some_and(|l| incarnation <= l.incarnation)
    }

    /// Records that the engine that started at `incarnation` wants no requests of this host
    /// for `pause`.
    pub fn record_pause(&mut self, id: &Arc<str>, incarnation: u64, pause: Duration, now: Moment) {
        self.pauses.retain(|_, p| !p.reopening.is_over(now));
        let end = now.saturating_add(pause);
        let known = self.pauses.entry(id.clone()).or_insert(Pause {
            incarnation,
            reopening: Reopening::new(end),
        });
        known.incarnation = known.incarnation.max(incarnation);
        known.reopening.extend(end);
    }

    /// Returns how long an engine still wants no requests of this host, or may want none.
    pub fn pause_left(&self, id: &str, now: Moment) -> Option<Duration> {
        self.reopening(id)?.pause_left(now)
    }

    /// Returns how the requests to an engine are taken up again after its pause.
    pub fn reopening(&self, id: &str) -> Option<&Reopening> {
        self.pauses.get(id).map(|p| &p.reopening)
    }

    /// Returns the same, to be changed.
    pub fn reopening_mut(&mut self, id: &str) -> Option<&mut Reopening> {
        self.pauses.get_mut(id).map(|p| &mut p.reopening)
    }

    /// Returns the rates that engines have named.
    pub fn rates(&self) -> &NamedRates {
        &self.rates
    }

    /// Returns the same, to be changed.
    pub fn rates_mut(&mut self) -> &mut NamedRates {
        &mut self.rates
    }

    fn has_answered(&self, id: &str, incarnation: u64) -> bool {
        let doubt = self.doubts.get(id);
        doubt.is_some_and(|d| d.incarnation == incarnation && d.answered)
    }

    /// Records that an engine is listed with the start time `incarnation`.
    pub fn record_listed(&mut self, id: &Arc<str>, incarnation: u64, now: Moment) {
        if self.leaving.is_empty() && self.pauses.is_empty() && self.rates.is_empty() {
            return;
        }
        let leaving = self.leaving.get(id);
        let may_leave =
            leaving.is_some_and(|l| l.incarnation < incarnation && l.source == Source::Response);
        let pause = self.pauses.get(id);
        let may_pause = pause
            .is_some_and(|p| p.incarnation < incarnation && p.reopening.pause_left(now).is_some());
        let may_limit = self.rates.is_of_earlier(id, incarnation);
        if !may_leave && !may_pause && !may_limit {
            self.doubts.remove(id);
            return;
        }
        let doubt = Doubt {
            incarnation,
            since: now,
            asked_at: None,
            answered: false,
        };
        let known = self.doubts.entry(id.clone()).or_insert(doubt);
        if known.incarnation != incarnation {
            *known = doubt;
        }
        if now.saturating_sub(known.since) >= DOUBT_TIME {
            self.forget_earlier(id, incarnation);
        }
    }

    /// Returns the engines that are to be asked now whether they leave, with their start times.
    /// One that may want no requests is asked once only.
    pub fn take_checks(&mut self, now: Moment) -> Vec<(Arc<str>, u64)> {
        let mut due = Vec::new();
        for (id, doubt) in &mut self.doubts {
            let is_doubtful =
                |l: &Leaving| l.source == Source::Response && l.incarnation < doubt.incarnation;
            if doubt.answered || !self.leaving.get(id).is_some_and(is_doubtful) {
                continue;
            }
            let pause = self.pauses.get(id);
            let is_paused = pause.is_some_and(|p| p.reopening.pause_left(now).is_some());
            let is_recent = |at: Moment| is_paused || now.saturating_sub(at) < CHECK_PERIOD;
            if doubt.asked_at.is_some_and(is_recent) {
                continue;
            }
            doubt.asked_at = Some(now);
            due.push((id.clone(), doubt.incarnation));
        }
        due
    }

    /// Records that the engine that started at `incarnation` has answered whether it leaves:
    /// only what it says itself applies from now on.
    pub fn record_answer(&mut self, id: &str, incarnation: u64) {
        if let Some(doubt) = self.doubts.get_mut(id) {
            doubt.answered |= doubt.incarnation == incarnation;
        }
    }

    /// Forgets what was kept under earlier starts than `incarnation`.
    fn forget_earlier(&mut self, id: &str, incarnation: u64) {
        if self
            .leaving
            .get(id)
            .is_some_and(|l| l.incarnation < incarnation)
        {
            self.leaving.remove(id);
        }
        if self
            .pauses
            .get(id)
            .is_some_and(|p| p.incarnation < incarnation)
        {
            self.pauses.remove(id);
        }
        if self.rates.is_of_earlier(id, incarnation) {
            self.rates.remove(id);
        }
        self.doubts.remove(id);
    }
}
