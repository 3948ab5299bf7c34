//! Bounded queue of waiting requests.
//!
//! Order: higher priority first; within a priority, callers take turns of
//! [`TURN`] requests; within a turn, the earliest deadline first. A request
//! whose deadline cannot be met is refused on arrival with the time after
//! which it could be. When the queue is full, the request with the lowest
//! product of priority plus one and worth goes, the newcomer included.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::pace::{Pace, RETRY_LEAST, RETRY_MOST};
use crate::clock::Moment;
use crate::error::Kind;

/// Requests of one caller in one turn.
pub const TURN: u64 = 4;
/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Id, unique over all hosts and restarts.
    pub id: Arc<str>,
    /// Caller, for fairness.
    pub caller: Arc<str>,
    /// Priority; higher first.
    pub priority: u8,
    /// Moment until which it must have been served.
    pub deadline: Moment,
    /// Worth of its completion.
    pub worth: f64,
}

impl Ticket {
    /// Value by which the queue sheds.
    pub fn value(&self) -> f64 {
        (f64::from(self.priority) + 1.0) * self.worth
    }
}

/// A refusal on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// [`Kind::DeadlineUnreachable`], [`Kind::DeadlineExpired`] or
    /// [`Kind::QueueFull`].
    pub kind: Kind,
    /// When to come back.
    pub retry: Duration,
}

/// What became of an offered ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// It waits.
    Queued,
    /// A ticket with this id waits already.
    Known,
    /// It waits in the place of a ticket that is refused with `refused`.
    Displaced {
        /// The ticket that had to go.
        ticket: Ticket,
        /// Refusal for it.
        refused: Refused,
    },
    /// It does not wait.
    Refused(Refused),
}

/// Place in the queue; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// Complement of the priority.
    rank: u8,
    turn: u64,
    deadline: Moment,
    seq: u64,
}

/// Requests of one caller at one priority.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Number of the next request, counted from the turn that it may join.
    next: u64,
    /// Requests that wait.
    waiting: u32,
}

/// Key of an [`Account`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Party {
    caller: Arc<str>,
    rank: u8,
}

/// Bounded queue of one model, or of whatever shares one pace.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Most tickets that wait.
    bound: usize,
    tickets: BTreeMap<Place, Ticket>,
    places: HashMap<Arc<str>, Place>,
    accounts: HashMap<Party, Account>,
    /// Turn that is being served, by rank.
    turns: BTreeMap<u8, u64>,
    pace: Pace,
    seq: u64,
}

impl Queue {
    /// An empty queue of at most `bound` tickets.
    pub fn new(bound: usize) -> Self {
        Queue {
            bound: bound.max(1),
            tickets: BTreeMap::new(),
            places: HashMap::new(),
            accounts: HashMap::new(),
            turns: BTreeMap::new(),
            pace: Pace::default(),
            seq: 0,
        }
    }

    /// Tickets that wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// The measured pace.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Waiting tickets, first to be served first.
    pub fn iter(&self) -> impl Iterator<Item = &Ticket> {
        self.tickets.values()
    }

    /// Offers a ticket. `ready` is the time until the first service can
    /// begin: what is left of a load, zero for a loaded model.
    pub fn offer(&mut self, ticket: Ticket, ready: Duration, now: Moment) -> Offer {
        if self.places.contains_key(&ticket.id) {
            return Offer::Known;
        }
        let Some(left) = ticket.deadline.checked_sub(now).filter(|l| !l.is_zero()) else {
            return Offer::Refused(self.refused(Kind::DeadlineExpired, ready));
        };
        let place = self.place(&ticket);
        let ahead = self.tickets.range(..place).count();
        let wait = ready + self.pace.time(ahead);
        if wait > left {
            return Offer::Refused(Refused {
                kind: Kind::DeadlineUnreachable,
                retry: (wait - left).clamp(RETRY_LEAST, RETRY_MOST),
            });
        }
        if self.tickets.len() < self.bound {
            self.insert(place, ticket);
            return Offer::Queued;
        }
        let refused = self.refused(Kind::QueueFull, ready);
        let Some(lowest) = self.lowest(ticket.value()) else {
            return Offer::Refused(refused);
        };
        let shed = self.remove(lowest);
        self.insert(place, ticket);
        match shed {
            Some(ticket) => Offer::Displaced { ticket, refused },
            None => Offer::Queued,
        }
    }

    /// Takes the first ticket whose deadline has not passed.
    pub fn take(&mut self, now: Moment) -> Option<Ticket> {
        let place = self.first(now)?;
        let ticket = self.remove(place);
        self.turns.insert(place.rank, place.turn);
        self.pace.served(now);
        if self.tickets.is_empty() {
            self.pace.paused();
            self.turns.clear();
            self.accounts.clear();
        }
        ticket
    }

    /// The ticket that [`Queue::take`] would take.
    pub fn peek(&self, now: Moment) -> Option<&Ticket> {
        let place = self.first(now)?;
        self.tickets.get(&place)
    }

    /// Withdraws a ticket.
    pub fn cancel(&mut self, id: &str) -> Option<Ticket> {
        let place = *self.places.get(id)?;
        self.remove(place)
    }

    /// Removes and returns the tickets whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<Ticket> {
        let mut places = Vec::new();
        for (place, ticket) in &self.tickets {
            if ticket.deadline <= now {
                places.push(*place);
            }
        }
        let mut expired = Vec::new();
        for place in places {
            expired.extend(self.remove(place));
        }
        expired
    }

    /// Earliest deadline of a waiting ticket.
    pub fn deadline(&self) -> Option<Moment> {
        self.tickets.keys().map(|p| p.deadline).min()
    }

    /// A refusal of `kind` with the time in which the whole queue is served.
    fn refused(&self, kind: Kind, ready: Duration) -> Refused {
        let wait = ready + self.pace.time(self.tickets.len());
        Refused {
            kind,
            retry: wait.clamp(RETRY_LEAST, RETRY_MOST),
        }
    }

    fn first(&self, now: Moment) -> Option<Place> {
        for (place, ticket) in &self.tickets {
            if ticket.deadline > now {
                return Some(*place);
            }
        }
        None
    }

    fn place(&mut self, ticket: &Ticket) -> Place {
        self.seq += 1;
        let rank = !ticket.priority;
        let turn = self.turns.get(&rank).copied().unwrap_or(0);
        let party = Party {
            caller: ticket.caller.clone(),
            rank,
        };
        let next = self.accounts.get(&party).map_or(0, |a| a.next);
        Place {
            rank,
            turn: (next / TURN).max(turn),
            deadline: ticket.deadline,
            seq: self.seq,
        }
    }

    /// Place of the ticket of least value below `value`; the last of equals.
    fn lowest(&self, value: f64) -> Option<Place> {
        let mut lowest = None;
        let mut least = value;
        for (place, ticket) in &self.tickets {
            let value = ticket.value();
            if value < least || (value == least && lowest.is_some()) {
                least = value;
                lowest = Some(*place);
            }
        }
        lowest
    }

    fn insert(&mut self, place: Place, ticket: Ticket) {
        let party = Party {
            caller: ticket.caller.clone(),
            rank: place.rank,
        };
        let account = self.accounts.entry(party).or_default();
        account.next = account.next.max(place.turn * TURN) + 1;
        account.waiting += 1;
        self.places.insert(ticket.id.clone(), place);
        self.tickets.insert(place, ticket);
    }

    fn remove(&mut self, place: Place) -> Option<Ticket> {
        let ticket = self.tickets.remove(&place)?;
        self.places.remove(&ticket.id);
        let party = Party {
            caller: ticket.caller.clone(),
            rank: place.rank,
        };
        if let Some(account) = self.accounts.get_mut(&party) {
            account.waiting -= 1;
            let turn = self.turns.get(&place.rank).copied().unwrap_or(0);
            // An account that lies in the past gives no place any more.
            if account.waiting == 0 && account.next <= turn * TURN {
                self.accounts.remove(&party);
            }
        }
        Some(ticket)
    }
}
