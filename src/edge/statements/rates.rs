//! Rates that engines name: the requests a second that they take from all hosts together.
//!
//! An engine names its rate in each answer for as long as it applies, so the latest answer of
//! all that any host has heard decides. An answer was made between the sending of its request
//! and its arrival. Where these times of two answers overlap, either may be the later one, and
//! the lower rate applies.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;

/// Time for which it is remembered that an engine names no rate any more; longer than a host
/// that is still listed may be silent.
const END_RETENTION: Duration = Duration::from_secs(15);
/// Time for which the rate of an engine that is not listed is remembered.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Rate at which an engine gets requests that named a lower one, once its answer to a check
/// names none: answers to checks may name no rate at all, and the first answer to a request
/// decides. Requests a second.
const PROBE_RATE: f64 = 0.2;
/// Minimum time between two checks of an engine, and since its last statement.
const CHECK_PERIOD: Duration = Duration::from_secs(5);
/// Age of a statement from which on a request is sent for a new one, though another engine is
/// free; the same as that of a check.
const RENEWAL_AGE: Duration = CHECK_PERIOD;

/// What an engine has said of its rate in one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStatement {
    /// Random number of the answer, by which hosts know one that they have been told before.
    pub number: u64,
    /// Start time under which the engine was addressed, ms since the Unix epoch; 0 when unknown.
    pub incarnation: u64,
    /// Requests a second; absent when it names no rate any more.
    pub rate: Option<f64>,
    /// When the request was sent, before which the answer was not made.
    pub asked_at: Moment,
    /// When the answer arrived.
    pub heard_at: Moment,
}

impl RateStatement {
    /// Returns whether this statement applies in place of `known`.
    fn supersedes(&self, known: &RateStatement) -> bool {
        let is_known = self.number == known.number;
        // An answer to a lifetime that has ended since says nothing of the end of a limit.
        let is_outdated = self.rate.is_none() && self.incarnation < known.incarnation;
        if is_known || is_outdated {
            return false;
        }
        if self.asked_at >= known.heard_at {
            return true;
        }
        let (own, other) = (self.bound(), known.bound());
        let overlaps = self.heard_at > known.asked_at;
        overlaps && (own < other || own == other && self.heard_at > known.heard_at)
    }

    /// Returns the rate, without limit if there is none.
    fn bound(&self) -> f64 {
        self.rate.unwrap_or(f64::INFINITY)
    }
}

/// Change of the rate that applies to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateChange {
    /// Rate before, requests a second.
    pub before: Option<f64>,
    /// Rate now.
    pub after: Option<f64>,
}

/// The latest statements of engines about their rates, by engine.
#[derive(Debug, Default)]
pub struct NamedRates {
    statements: HashMap<Arc<str>, RateStatement>,
    /// When engines were asked last whether they still take so little.
    checked: HashMap<Arc<str>, Moment>,
    /// When this host last wanted to send a request for a new statement.
    renewed: HashMap<Arc<str>, Moment>,
}

impl NamedRates {
    /// Returns whether nothing is known of any rate.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Returns the rate that applies to an engine, requests a second.
    pub fn rate(&self, id: &str) -> Option<f64> {
        self.statements.get(id)?.rate
    }

    /// Returns what an engine has said of its rate.
    pub fn statement(&self, id: &str) -> Option<&RateStatement> {
        self.statements.get(id)
    }

    /// Returns what is known of rates, also of those that have ended lately.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &RateStatement)> {
        self.statements.iter()
    }

    /// Returns the engines that have named a rate, with that rate.
    pub fn limited(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let named = self.statements.iter();
        named.filter_map(|(id, statement)| Some((id, statement.rate?)))
    }

    /// Records a statement; returns the change of the rate that applies, if it has changed.
    pub fn record(&mut self, id: &Arc<str>, statement: RateStatement) -> Option<RateChange> {
        let Some(known) = self.statements.get_mut(id) else {
            // Most engines never name a rate.
            statement.rate?;
            self.statements.insert(id.clone(), statement);
            return Some(RateChange {
                before: None,
                after: statement.rate,
            });
        };
        if !statement.supersedes(known) {
            return None;
        }
        let before = known.rate;
        *known = RateStatement {
            incarnation: statement.incarnation.max(known.incarnation),
            ..statement
        };
        let after = known.rate;
        (before != after).then_some(RateChange { before, after })
    }

    /// Returns the engines that are to be asked now whether they still take so few requests that
    /// no answer may say otherwise for long.
    pub fn take_checks(&mut self, now: Moment) -> Vec<Arc<str>> {
        let mut due = Vec::new();
        for (id, statement) in &self.statements {
            let last = self.checked.get(id).copied().unwrap_or_default();
            let is_recent = now.saturating_sub(last.max(statement.heard_at)) < CHECK_PERIOD;
            if is_recent || statement.rate.is_none_or(|r| r >= PROBE_RATE) {
                continue;
            }
            due.push(id.clone());
        }
        for id in &due {
            self.checked.insert(id.clone(), now);
        }
        due
    }

    /// Returns whether a request is to be sent to an engine now because its statement is old: only
    /// the answer to a request can say that its rate has ended. Holds for one request at a time.
    pub fn take_renewal(&mut self, id: &Arc<str>, now: Moment) -> bool {
        let Some(statement) = self.statements.get(id).filter(|s| s.rate.is_some()) else {
            return false;
        };
        let last = self.renewed.get(id).copied().unwrap_or_default();
        let is_due = now.saturating_sub(last.max(statement.heard_at)) >= RENEWAL_AGE;
        if is_due {
            self.renewed.insert(id.clone(), now);
        }
        is_due
    }

    /// Records that an engine has answered a check of `asked_at`; if its answer named no rate,
    /// returns the statement that it takes more now.
    pub fn statement_after_check(
        &self,
        id: &str,
        asked_at: Moment,
        now: Moment,
    ) -> Option<RateStatement> {
        let known = self.statements.get(id)?;
        let has_spoken = known.heard_at >= asked_at;
        let is_low = known.rate.is_some_and(|r| r < PROBE_RATE);
        (is_low && !has_spoken).then(|| RateStatement {
            number: rand::random(),
            rate: Some(PROBE_RATE),
            asked_at,
            heard_at: now,
            ..*known
        })
    }

    /// Forgets rates that ended long ago, and those of engines that are no longer listed.
    pub fn drop_expired(&mut self, is_listed: impl Fn(&str) -> bool, now: Moment) {
        self.statements.retain(|id, statement| {
            let age = now.saturating_sub(statement.heard_at);
            match statement.rate {
                Some(_) => is_listed(id) || age < UNLISTED_RETENTION,
                None => age < END_RETENTION,
            }
        });
        let statements = &self.statements;
        self.checked.retain(|id, _| statements.contains_key(id));
        self.renewed.retain(|id, _| statements.contains_key(id));
    }

    /// Returns whether the rate of an engine was kept under an earlier start than `incarnation`.
    pub(super) fn is_of_earlier(&self, id: &str, incarnation: u64) -> bool {
        let statement = self.statements.get(id);
        statement.is_some_and(|s| s.rate.is_some() && s.incarnation < incarnation)
    }

    /// Forgets the rate of an engine.
    pub(super) fn remove(&mut self, id: &str) {
        self.statements.remove(id);
    }
}
