//! Bounded queue of waiting requests.
//!
//! Order: higher priority first; within a priority, callers take turns of
//! [`TURN_REQUESTS`] requests; within a turn, the earliest deadline first. A request
//! whose deadline cannot be met is refused on arrival with the time after
//! which it could be. When the queue is full, the request with the lowest
//! product of priority plus one and worth goes, the newcomer included.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::service_interval::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, ServiceInterval};
use crate::clock::Moment;
use crate::error::Kind;

/// Requests of one caller in one turn.
pub const TURN_REQUESTS: u64 = 4;
/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
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

impl QueuedRequest {
    /// Value by which the queue sheds.
    pub fn value(&self) -> f64 {
        (f64::from(self.priority) + 1.0) * self.worth
    }
}

/// A refusal on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// [`Kind::DeadlineUnreachable`], [`Kind::DeadlineExpired`] or
    /// [`Kind::QueueFull`].
    pub kind: Kind,
    /// When to come back.
    pub retry_after: Duration,
}

/// What became of an offered ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum EnqueueResult {
    /// It waits.
    Queued,
    /// A ticket with this id waits already.
    Duplicate,
    /// It waits in the place of a ticket that is refused with `refused`.
    Displaced {
        /// The ticket that had to go.
        request: QueuedRequest,
        /// Refusal for it.
        refusal: QueueRefusal,
    },
    /// It does not wait.
    Refused(QueueRefusal),
}

/// Place in the queue; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// Complement of the priority.
    rank: u8,
    turn: u64,
    deadline: Moment,
    seq: u64,
}

/// Requests of one caller at one priority.
#[derive(Clone, Debug, Default)]
struct CallerTurns {
    /// Number of the next request, counted from the turn that it may join.
    next_number: u64,
    /// Requests that wait.
    waiting: u32,
}

/// Key of an [`CallerTurns`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CallerKey {
    caller: Arc<str>,
    rank: u8,
}

/// Bounded queue of one model, or of whatever shares one pace.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    /// Most tickets that wait.
    capacity: usize,
    requests: BTreeMap<QueuePosition, QueuedRequest>,
    positions: HashMap<Arc<str>, QueuePosition>,
    caller_turns: HashMap<CallerKey, CallerTurns>,
    /// Turn that is being served, by rank.
    turns: BTreeMap<u8, u64>,
    service_interval: ServiceInterval,
    seq: u64,
}

impl AdmissionQueue {
    /// An empty queue of at most `bound` tickets.
    pub fn new(capacity: usize) -> Self {
        AdmissionQueue {
            capacity: capacity.max(1),
            requests: BTreeMap::new(),
            positions: HashMap::new(),
            caller_turns: HashMap::new(),
            turns: BTreeMap::new(),
            service_interval: ServiceInterval::default(),
            seq: 0,
        }
    }

    /// Tickets that wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The measured pace.
    pub fn service_interval(&self) -> &ServiceInterval {
        &self.service_interval
    }

    /// Waiting tickets, first to be served first.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.requests.values()
    }

    /// Offers a ticket. `ready` is the time until the first service can
    /// begin: what is left of a load, zero for a loaded model.
    pub fn enqueue(
        &mut self,
        request: QueuedRequest,
        ready: Duration,
        now: Moment,
    ) -> EnqueueResult {
        if self.positions.contains_key(&request.id) {
            return EnqueueResult::Duplicate;
        }
        let Some(left) = request.deadline.checked_sub(now).filter(|l| !l.is_zero()) else {
            return EnqueueResult::Refused(self.refusal(Kind::DeadlineExpired, ready));
        };
        let position = self.position(&request);
        let ahead = self.requests.range(..position).count();
        let wait = ready + self.service_interval.expected_time(ahead);
        if wait > left {
            return EnqueueResult::Refused(QueueRefusal {
                kind: Kind::DeadlineUnreachable,
                retry_after: (wait - left).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            });
        }
        if self.requests.len() < self.capacity {
            self.insert(position, request);
            return EnqueueResult::Queued;
        }
        let refusal = self.refusal(Kind::QueueFull, ready);
        let Some(lowest_value) = self.lowest_value(request.value()) else {
            return EnqueueResult::Refused(refusal);
        };
        let shed = self.remove(lowest_value);
        self.insert(position, request);
        match shed {
            Some(request) => EnqueueResult::Displaced { request, refusal },
            None => EnqueueResult::Queued,
        }
    }

    /// Takes the first ticket whose deadline has not passed.
    pub fn dequeue(&mut self, now: Moment) -> Option<QueuedRequest> {
        let position = self.first(now)?;
        let request = self.remove(position);
        self.turns.insert(position.rank, position.turn);
        self.service_interval.record_service(now);
        if self.requests.is_empty() {
            self.service_interval.record_idle();
            self.turns.clear();
            self.caller_turns.clear();
        }
        request
    }

    /// The ticket that [`AdmissionQueue::take`] would take.
    pub fn peek(&self, now: Moment) -> Option<&QueuedRequest> {
        let position = self.first(now)?;
        self.requests.get(&position)
    }

    /// Withdraws a ticket.
    pub fn cancel(&mut self, id: &str) -> Option<QueuedRequest> {
        let position = *self.positions.get(id)?;
        self.remove(position)
    }

    /// Removes and returns the tickets whose deadline has passed.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<QueuedRequest> {
        let mut positions = Vec::new();
        for (position, request) in &self.requests {
            if request.deadline <= now {
                positions.push(*position);
            }
        }
        let mut expired = Vec::new();
        for position in positions {
            expired.extend(self.remove(position));
        }
        expired
    }

    /// Earliest deadline of a waiting ticket.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.requests.keys().map(|p| p.deadline).min()
    }

    /// A refusal of `kind` with the time in which the whole queue is served.
    fn refusal(&self, kind: Kind, ready: Duration) -> QueueRefusal {
        let wait = ready + self.service_interval.expected_time(self.requests.len());
        QueueRefusal {
            kind,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    fn first(&self, now: Moment) -> Option<QueuePosition> {
        for (position, request) in &self.requests {
            if request.deadline > now {
                return Some(*position);
            }
        }
        None
    }

    fn position(&mut self, request: &QueuedRequest) -> QueuePosition {
        self.seq += 1;
        let rank = !request.priority;
        let turn = self.turns.get(&rank).copied().unwrap_or(0);
        let key = CallerKey {
            caller: request.caller.clone(),
            rank,
        };
        let next_number = self.caller_turns.get(&key).map_or(0, |t| t.next_number);
        QueuePosition {
            rank,
            turn: (next_number / TURN_REQUESTS).max(turn),
            deadline: request.deadline,
            seq: self.seq,
        }
    }

    /// Place of the ticket of least value below `value`; the last of equals.
    fn lowest_value(&self, value: f64) -> Option<QueuePosition> {
        let mut lowest = None;
        let mut least_value = value;
        for (position, request) in &self.requests {
            let value = request.value();
            if value < least_value || (value == least_value && lowest.is_some()) {
                least_value = value;
                lowest = Some(*position);
            }
        }
        lowest
    }

    fn insert(&mut self, position: QueuePosition, request: QueuedRequest) {
        let key = CallerKey {
            caller: request.caller.clone(),
            rank: position.rank,
        };
        let turns = self.caller_turns.entry(key).or_default();
        turns.next_number = turns.next_number.max(position.turn * TURN_REQUESTS) + 1;
        turns.waiting += 1;
        self.positions.insert(request.id.clone(), position);
        self.requests.insert(position, request);
    }

    fn remove(&mut self, position: QueuePosition) -> Option<QueuedRequest> {
        let request = self.requests.remove(&position)?;
        self.positions.remove(&request.id);
        let key = CallerKey {
            caller: request.caller.clone(),
            rank: position.rank,
        };
        if let Some(turns) = self.caller_turns.get_mut(&key) {
            turns.waiting -= 1;
            let turn = self.turns.get(&position.rank).copied().unwrap_or(0);
            // An account that lies in the past gives no place any more.
            if turns.waiting == 0 && turns.next_number <= turn * TURN_REQUESTS {
                self.caller_turns.remove(&key);
            }
        }
        Some(request)
    }
}
