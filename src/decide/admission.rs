//! Bounded queue of waiting requests.
//!
//! Requests are served in descending order of priority. Within a priority,
//! callers take turns of [`TURN_REQUESTS`] requests; within a turn, the earliest
//! deadline is served first. A request whose deadline cannot be met is refused on
//! arrival, with the time after which it could be met. When the queue is full,
//! the request with the lowest (priority + 1) * worth is refused, be it the new
//! one or one that waits.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::service_interval::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, ServiceInterval};
use crate::clock::Moment;
use crate::error::Kind;

/// Number of requests of one caller in one turn.
pub const TURN_REQUESTS: u64 = 4;

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Id, unique across hosts and restarts.
    pub id: Arc<str>,
    /// Caller, for fairness.
    pub caller: Arc<str>,
    /// Priority; higher first.
    pub priority: u8,
    /// Time by which it must have been served.
    pub deadline: Moment,
    /// Value of its completion, as configured.
    pub worth: f64,
}

impl QueuedRequest {
    /// Returns the worth weighted by priority; a full queue refuses the request for
    /// which it is lowest.
    pub fn weighted_worth(&self) -> f64 {
        (f64::from(self.priority) + 1.0) * self.worth
    }
}

/// Refusal of a request by the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// [`Kind::DeadlineUnreachable`], [`Kind::DeadlineExpired`] or
    /// [`Kind::QueueFull`].
    pub kind: Kind,
    /// Time after which to retry.
    pub retry_after: Duration,
}

/// Result of [`AdmissionQueue::enqueue`].
#[derive(Clone, Debug, PartialEq)]
pub enum EnqueueResult {
    /// The request waits.
    Queued,
    /// A request with this id already waits.
    Duplicate,
    /// The request waits, and one of lower weighted worth was removed for it.
    Displaced {
        /// The removed request.
        request: QueuedRequest,
        /// Refusal of the removed request.
        refusal: QueueRefusal,
    },
    /// The request is refused.
    Refused(QueueRefusal),
}

/// Position in the queue; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// Bitwise complement of the priority, so that the highest sorts first.
    rank: u8,
    turn: u64,
    deadline: Moment,
    seq: u64,
}

/// Turns of one caller at one priority.
#[derive(Clone, Debug, Default)]
struct CallerTurns {
    /// Index of the caller's next request at this priority; its turn is this
    /// divided by [`TURN_REQUESTS`].
    next_index: u64,
    /// Number of waiting requests.
    waiting: u32,
}

/// Key of a [`CallerTurns`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CallerKey {
    caller: Arc<str>,
    rank: u8,
}

/// Bounded queue of requests that are served at one rate, such as those of a model.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    /// Maximum number of waiting requests.
    capacity: usize,
    requests: BTreeMap<QueuePosition, QueuedRequest>,
    /// Positions by request id.
    positions: HashMap<Arc<str>, QueuePosition>,
    caller_turns: HashMap<CallerKey, CallerTurns>,
    /// Turn that is being served, by [`QueuePosition::rank`].
    current_turns: BTreeMap<u8, u64>,
    service_interval: ServiceInterval,
    seq: u64,
}

impl AdmissionQueue {
    /// Creates an empty queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        AdmissionQueue {
            capacity: capacity.max(1),
            requests: BTreeMap::new(),
            positions: HashMap::new(),
            caller_turns: HashMap::new(),
            current_turns: BTreeMap::new(),
            service_interval: ServiceInterval::default(),
            seq: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the measured service interval.
    pub fn service_interval(&self) -> &ServiceInterval {
        &self.service_interval
    }

    /// Returns the waiting requests in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.requests.values()
    }

    /// Adds a request unless it is refused.
    ///
    /// `time_to_ready` is the time until the first service can start: the remaining
    /// time of a load, or zero for a loaded model.
    pub fn enqueue(
        &mut self,
        request: QueuedRequest,
        time_to_ready: Duration,
        now: Moment,
    ) -> EnqueueResult {
        if self.positions.contains_key(&request.id) {
            return EnqueueResult::Duplicate;
        }
        let Some(time_left) = request.deadline.checked_sub(now).filter(|l| !l.is_zero()) else {
            return EnqueueResult::Refused(self.refusal(Kind::DeadlineExpired, time_to_ready));
        };
        let position = self.assign_position(&request);
        let ahead = self.requests.range(..position).count();
        let wait = time_to_ready + self.service_interval.expected_time(ahead);
        if wait > time_left {
            return EnqueueResult::Refused(QueueRefusal {
                kind: Kind::DeadlineUnreachable,
                retry_after: (wait - time_left).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            });
        }
        if self.requests.len() < self.capacity {
            self.insert(position, request);
            return EnqueueResult::Queued;
        }
        let refusal = self.refusal(Kind::QueueFull, time_to_ready);
        let Some(displaced_position) = self.find_displaced(request.weighted_worth()) else {
            return EnqueueResult::Refused(refusal);
        };
        let displaced = self.remove(displaced_position);
        self.insert(position, request);
        match displaced {
            Some(request) => EnqueueResult::Displaced { request, refusal },
            None => EnqueueResult::Queued,
        }
    }

    /// Removes and returns the first request whose deadline has not passed.
    pub fn dequeue(&mut self, now: Moment) -> Option<QueuedRequest> {
        let position = self.first_unexpired(now)?;
        let request = self.remove(position);
        self.current_turns.insert(position.rank, position.turn);
        self.service_interval.record_service(now);
        if self.requests.is_empty() {
            self.service_interval.record_idle();
            self.current_turns.clear();
            self.caller_turns.clear();
        }
        request
    }

    /// Returns the request that [`AdmissionQueue::dequeue`] would return.
    pub fn peek(&self, now: Moment) -> Option<&QueuedRequest> {
        let position = self.first_unexpired(now)?;
        self.requests.get(&position)
    }

    /// Removes a request.
    pub fn cancel(&mut self, id: &str) -> Option<QueuedRequest> {
        let position = *self.positions.get(id)?;
        self.remove(position)
    }

    /// Removes and returns the requests whose deadline has passed.
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

    /// Returns the earliest deadline of the waiting requests.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.requests.keys().map(|p| p.deadline).min()
    }

    /// Builds a refusal whose retry time is the expected time to serve the whole queue.
    fn refusal(&self, kind: Kind, time_to_ready: Duration) -> QueueRefusal {
        let wait = time_to_ready + self.service_interval.expected_time(self.requests.len());
        QueueRefusal {
            kind,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    fn first_unexpired(&self, now: Moment) -> Option<QueuePosition> {
        for (position, request) in &self.requests {
            if request.deadline > now {
                return Some(*position);
            }
        }
        None
    }

    /// Returns the position for a new request, with the next sequence number.
    fn assign_position(&mut self, request: &QueuedRequest) -> QueuePosition {
        self.seq += 1;
        let rank = !request.priority;
        let current_turn = self.current_turns.get(&rank).copied().unwrap_or(0);
        let key = CallerKey {
            caller: request.caller.clone(),
            rank,
        };
        let next_index = self.caller_turns.get(&key).map_or(0, |t| t.next_index);
        QueuePosition {
            rank,
            turn: (next_index / TURN_REQUESTS).max(current_turn),
            deadline: request.deadline,
            seq: self.seq,
        }
    }

    /// Returns the position of the request with the lowest weighted worth below
    /// `limit`, the last among equals.
    fn find_displaced(&self, limit: f64) -> Option<QueuePosition> {
        let mut lowest = None;
        let mut lowest_worth = limit;
        for (position, request) in &self.requests {
            let worth = request.weighted_worth();
            if worth < lowest_worth || (worth == lowest_worth && lowest.is_some()) {
                lowest_worth = worth;
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
        let caller_turns = self.caller_turns.entry(key).or_default();
        caller_turns.next_index = caller_turns.next_index.max(position.turn * TURN_REQUESTS) + 1;
        caller_turns.waiting += 1;
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
        if let Some(caller_turns) = self.caller_turns.get_mut(&key) {
            caller_turns.waiting -= 1;
            let current_turn = self.current_turns.get(&position.rank).copied().unwrap_or(0);
            // Without this entry the caller's next request gets the same position.
            if caller_turns.waiting == 0 && caller_turns.next_index <= current_turn * TURN_REQUESTS
            {
                self.caller_turns.remove(&key);
            }
        }
        Some(request)
    }
}
