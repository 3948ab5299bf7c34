//! One order of the requests of this host that wait for room, whatever they wait for.
//!
//! A request that finds room asks for its turn. Those that compete with it and stand ahead
//! look first, one after the other; it goes once they have gone or found that they cannot.

mod shares;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use self::shares::Shares;
use super::permits::Rank;
use crate::clock::Moment;

/// Age up to which it counts that a request has looked and found no room: the time in which an
/// engine reads less than a small prompt.
const LOOK_MAX_AGE: Duration = Duration::from_millis(5);

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WaitCause {
    /// An engine with less to read.
    Backlog,
    /// A load of its model or adapter.
    Load,
    /// An engine that takes requests of this host.
    Pause,
    /// A permit.
    Permit,
    /// Requests that stand ahead of it.
    Turn,
    /// Any engine.
    Engine,
}

/// A request that may have to wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applicant {
    /// Rank.
    pub rank: Rank,
    /// Name of its customer; empty without one.
    pub customer: Arc<str>,
    /// Service that handles it.
    pub service: Arc<str>,
    /// Model or `model/adapter`, if it is for one.
    pub target: Option<Arc<str>>,
    /// Time in which an engine reads its own part of the prompt.
    pub work: Duration,
    /// Time of its objective.
    pub objective_at: Moment,
}

/// What a request saw when it last looked for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Look {
    /// The engine that serves it first, if one holds its model.
    pub engine: Option<Arc<str>>,
    /// When its first event is expected there.
    pub first_at: Moment,
}

/// Whose turn it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// That of the request that asks.
    Own,
    /// That of the request with this number: it has to look first.
    Of(u64),
}

/// Where a request stands; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Standing {
    rank: Rank,
    /// Round of its customer by the fair shares within the rank.
    round: u64,
    /// Whether it misses its objective anyway.
    is_late: bool,
    objective_at: Moment,
    number: u64,
}

#[derive(Clone, Debug)]
struct Waiter {
    applicant: Applicant,
    look: Look,
    /// When it last found that it cannot be sent.
    found_none: Option<Moment>,
    /// Requests that wait until it has looked.
    askers: Vec<u64>,
}

impl Waiter {
    /// Returns whether it wants the room of a request of `other` at the engine of `look`.
    fn competes(&self, other: &Applicant, look: &Look) -> bool {
        let own = &self.applicant;
        let same_engine = look.engine.is_some() && self.look.engine == look.engine;
        own.service == other.service && (own.target == other.target || same_engine)
    }
}

/// The requests of this host that wait, with the order among them.
#[derive(Clone, Debug, Default)]
pub struct WaitingOrder {
    waiters: BTreeMap<u64, Waiter>,
    /// Shares of customers, by rank.
    shares: BTreeMap<Rank, Shares>,
    last: u64,
}

impl WaitingOrder {
    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Adds a request; returns its number.
    pub fn join(&mut self, applicant: Applicant, look: Look) -> u64 {
        let shares = self.shares.entry(applicant.rank).or_default();
        shares.add(&applicant.customer);
        self.last += 1;
        let waiter = Waiter {
            applicant,
            look,
            found_none: None,
            askers: Vec::new(),
        };
        self.waiters.insert(self.last, waiter);
        self.last
    }

    /// Returns whose turn it is when a request could be sent as `look` says. Another one is told
    /// later, by [`Self::pass`] or [`Self::leave`], that this one has asked.
    pub fn ask(&mut self, number: u64, look: Look, now: Moment) -> Turn {
        let Some(own) = self.waiters.get_mut(&number) else {
            return Turn::Own;
        };
        own.look = look;
        own.found_none = None;
        let own = &self.waiters[&number];
        let standing = self.standing(&own.applicant, &own.look, number);
        let has_looked = |at: Moment| now.saturating_sub(at) < LOOK_MAX_AGE;
        let mut first: Option<Standing> = None;
        for (other, waiter) in &self.waiters {
            if waiter.found_none.is_some_and(has_looked)
                || !waiter.competes(&own.applicant, &own.look)
            {
                continue;
            }
            let ahead = self.standing(&waiter.applicant, &waiter.look, *other);
            if ahead < first.unwrap_or(standing) {
                first = Some(ahead);
            }
        }
        let Some(first) = first else {
            return Turn::Own;
        };
        if let Some(waiter) = self.waiters.get_mut(&first.number)
            && !waiter.askers.contains(&number)
        {
            waiter.askers.push(number);
        }
        Turn::Of(first.number)
    }

    /// Records that a request has looked and cannot be sent; returns which of those that waited
    /// for that looks next.
    pub fn pass(&mut self, number: u64, look: Look, now: Moment) -> Option<u64> {
        let waiter = self.waiters.get_mut(&number)?;
        waiter.look = look;
        waiter.found_none = Some(now);
        let askers = std::mem::take(&mut waiter.askers);
        self.hand_on(askers)
    }

    /// Removes a request that was sent or has ended; returns which of those that waited for it to
    /// look does so next.
    pub fn leave(&mut self, number: u64, was_sent: bool) -> Option<u64> {
        let waiter = self.waiters.remove(&number)?;
        let own = waiter.applicant;
        if let Some(shares) = self.shares.get_mut(&own.rank) {
            shares.remove(&own.customer, was_sent.then_some(own.work));
            if shares.is_idle() {
                self.shares.remove(&own.rank);
            }
        }
        self.hand_on(waiter.askers)
    }

    /// Returns the first of these requests; the others wait until it has looked.
    fn hand_on(&mut self, mut askers: Vec<u64>) -> Option<u64> {
        let standing_of = |n: &u64| {
            let waiter = self.waiters.get(n);
            waiter.map(|w| self.standing(&w.applicant, &w.look, *n))
        };
        askers.retain(|n| self.waiters.contains_key(n));
        let first = askers.iter().copied().min_by_key(standing_of)?;
        let waiter = self.waiters.get_mut(&first)?;
        for asker in askers {
            if asker != first && !waiter.askers.contains(&asker) {
                waiter.askers.push(asker);
            }
        }
        Some(first)
    }

    /// Returns the work of those that would stand ahead of a new request for the engine of `look`.
    pub fn work_ahead(&self, applicant: &Applicant, look: &Look) -> Duration {
        let own = self.standing(applicant, look, u64::MAX);
        let mut work = Duration::ZERO;
        for (number, waiter) in &self.waiters {
            let at_engine = look.engine.is_some() && waiter.look.engine == look.engine;
            if at_engine && self.standing(&waiter.applicant, &waiter.look, *number) < own {
                work += waiter.applicant.work;
            }
        }
        work
    }

    fn standing(&self, applicant: &Applicant, look: &Look, number: u64) -> Standing {
        let shares = self.shares.get(&applicant.rank);
        Standing {
            rank: applicant.rank,
            round: shares.map_or(0, |s| s.round(&applicant.customer)),
            is_late: look.first_at > applicant.objective_at,
            objective_at: applicant.objective_at,
            number,
        }
    }
}
