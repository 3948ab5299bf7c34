//! Decision whether a request is sent to a second engine before the first has failed, so that
//! the slowest answers come sooner (docs/design/early-repeat.md).

mod times;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub use times::AnswerTimes;

use super::settings::RepeatSettings;
use crate::clock::Moment;

/// Minimum number of recent answers of a route: the 99th percentile rests on one of them.
const MIN_SAMPLES: f64 = 100.0;
/// Part of a route's objective after which a request is repeated while there are fewer answers: the
/// other half is left for the second engine.
const OBJECTIVE_PART: f64 = 0.5;
/// Minimum delay of a repeat; below it a repeat gains less than a new connection costs.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// Bounds of the part of the answers that must come before a repeat.
const PARTS: (f64, f64) = (0.95, 0.99);
/// Part of an engine's slots up to which it gets repeats.
const MAX_LOAD: f64 = 0.8;
/// Repeats that a host may have saved up for a service.
const MAX_CREDIT: f64 = 5.0;
/// Repeats that a host has at first for a service: many hosts have few requests each.
const FIRST_CREDIT: f64 = 1.0;
/// Time for which a refusal or a rejection shows that a service is short of engines.
const OVERLOAD_TIME: Duration = Duration::from_secs(2);
/// Number of samples below which a route's times are forgotten.
const FORGOTTEN: f64 = 0.01;

/// Why a request is not repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// The host shuts down.
    Draining,
    /// A part of the request is held, or may have crashed an engine.
    Suspect,
    /// The key of its caller has been taken away.
    KeyGone,
    /// The first engine has asked for a pause or named a rate, or the others have.
    Limited,
    /// Requests of the service wait, or were refused.
    Overload,
    /// No other engine is free.
    Busy,
    /// The other engine would not answer sooner.
    NotSooner,
    /// The operator's share is used up.
    Share,
    /// The retry budget is used up.
    Budget,
}

/// The engine that would get the repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Successor {
    /// Requests at it.
    pub running: u32,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Predicted wait there.
    pub wait: Duration,
}

/// What is known when the delay of a request has passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Facts {
    /// Time since it was sent.
    pub elapsed: Duration,
    /// Whether this host shuts down.
    pub draining: bool,
    /// Whether it is held, on trial, or may have crashed an engine.
    pub suspect: bool,
    /// Whether a customer still holds its caller's key, where one is needed.
    pub has_key: bool,
    /// Whether engines have asked for a pause or named a rate.
    pub limited: bool,
    /// Whether requests of its service wait.
    pub waiting: bool,
    /// The other engine, if there is one.
    pub successor: Option<Successor>,
}

/// Answer times, and the repeats that a host may send.
#[derive(Debug, Default)]
pub struct Repeats {
    /// Times by route.
    times: HashMap<Arc<str>, AnswerTimes>,
    /// Credit by service.
    credit: HashMap<Arc<str>, f64>,
    /// Last refusal by service.
    refused_at: HashMap<Arc<str>, Moment>,
}

impl Repeats {
    /// Records that a request is first sent to an engine of a service.
    pub fn record_send(&mut self, service: &Arc<str>, settings: &RepeatSettings) {
        let credit = self.credit.entry(service.clone()).or_insert(FIRST_CREDIT);
        *credit = (*credit + settings.share).min(MAX_CREDIT);
    }

    /// Records that a request of a service was refused, or rejected by an engine.
    pub fn record_refused(&mut self, service: &Arc<str>, now: Moment) {
        self.refused_at.insert(service.clone(), now);
    }

    /// Records the time to an answer, or the time for which a run had no answer when it was
    /// cancelled.
    pub fn record_answer(&mut self, route: &Arc<str>, time: Duration, now: Moment) {
        if !self.times.contains_key(route) {
            self.times.retain(|_, t| t.decay(now) >= FORGOTTEN);
        }
        let times = self.times.entry(route.clone());
        let times = times.or_insert_with(|| AnswerTimes::new(now));
        times.record(time, now);
    }

    /// Returns after which time without an answer a request is repeated, if repeats are on:
    /// a high quantile of recent answers of its route or, if they are few, a part of its objective.
    pub fn delay(
        &mut self,
        route: &str,
        objective: Duration,
        settings: &RepeatSettings,
        now: Moment,
    ) -> Option<Duration> {
        if !settings.is_on() {
            return None;
        }
        let few = objective.mul_f64(OBJECTIVE_PART).max(MIN_DELAY);
        let Some(times) = self.times.get_mut(route) else {
            return Some(few);
        };
        if times.decay(now) < MIN_SAMPLES {
            return Some(few);
        }
        let part = (1.0 - settings.share).clamp(PARTS.0, PARTS.1);
        Some(times.quantile(part).max(MIN_DELAY))
    }

    /// Returns why a request may not be repeated now.
    pub fn check(
        &self,
        route: &str,
        service: &str,
        facts: &Facts,
        now: Moment,
    ) -> Result<(), Denial> {
        if facts.draining {
            return Err(Denial::Draining);
        }
        if facts.suspect {
            return Err(Denial::Suspect);
        }
        if !facts.has_key {
            return Err(Denial::KeyGone);
        }
        if facts.limited {
            return Err(Denial::Limited);
        }
        let refused_at = self.refused_at.get(service);
        if facts.waiting || refused_at.is_some_and(|at| now.saturating_sub(*at) < OVERLOAD_TIME) {
            return Err(Denial::Overload);
        }
        let is_free = |s: &Successor| f64::from(s.running + 1) <= MAX_LOAD * f64::from(s.slots);
        let Some(successor) = facts.successor.filter(is_free) else {
            return Err(Denial::Busy);
        };
        let is_sooner = self.times.get(route).is_none_or(|times| {
            times.quantile(0.5) + successor.wait < times.left_after(facts.elapsed)
        });
        if !is_sooner {
            return Err(Denial::NotSooner);
        }
        if self.credit.get(service).is_none_or(|c| *c < 1.0) {
            return Err(Denial::Share);
        }
        Ok(())
    }

    /// Takes a repeat out of the credit of a service.
    pub fn record_repeat(&mut self, service: &str) {
        if let Some(credit) = self.credit.get_mut(service) {
            *credit -= 1.0;
        }
    }
}
