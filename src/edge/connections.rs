//! Callers' connections of one listener: what each is doing, and which have to end.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::clock;
use super::desired::RequestLimits;
use crate::clock::Moment;

/// Time for which an idle connection stays open beyond the idle limit: callers may know
/// a raised limit before this host does, and a request may be on its way.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time for which a connection must be idle before another may take its place: the
/// request of a caller that has just connected may be on its way.
const MIN_REPLACED_IDLE: Duration = Duration::from_secs(1);

/// Time for which a connection stays idle once the listener has closed: the request of a
/// caller that has just connected may be on its way.
const CLOSING_IDLE: Duration = Duration::from_millis(300);

/// Time for which the rest of a request is discarded after its refusal.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a request.
    #[default]
    Idle,
    /// The head of a request is arriving.
    Head,
    /// A request is being handled.
    Request,
    /// The end of a response is being written.
    Response,
    /// The rest of a request that was answered is being discarded.
    Discard,
}

/// Why this host ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndCause {
    /// No request arrived within the idle limit.
    Idle,
    /// The head of a request did not arrive within its time limit.
    UnfinishedHead,
    /// The caller did not read the response.
    UnreadResponse,
    /// The caller went on sending a request that was refused.
    UnreadRequest,
    /// Another connection took its place.
    Replaced,
    /// The process exits.
    Exit,
    /// A larger head is allowed than when its buffer was set up.
    LargerHeads,
}

/// How long a connection may stay in a phase.
#[derive(Clone, Copy, Debug)]
pub struct PhaseLimits {
    idle: Duration,
    /// Why an idle connection ends.
    idle_cause: EndCause,
    head: Duration,
    /// Maximum size of a request head, bytes.
    head_bytes: usize,
    response: Duration,
    /// Limit on writing nothing of a response whose end has not been reached.
    blocked: Duration,
}

impl PhaseLimits {
    /// Returns the limits of a listener that accepts connections.
    pub fn accepting(limits: &RequestLimits) -> Self {
        PhaseLimits {
            idle: limits.idle.saturating_add(IDLE_MARGIN),
            idle_cause: EndCause::Idle,
            head: limits.head_time,
            head_bytes: limits.head,
            response: limits.idle,
            blocked: limits.idle,
        }
    }

    /// Returns these limits where a caller may take nothing for `unread` while as much is held
    /// for callers as may be.
    pub fn with_unread(self, unread: Duration, is_full: bool) -> Self {
        let (response, blocked) = match is_full {
            true => (self.response.min(unread), unread),
            false => (self.response, self.blocked.max(unread)),
        };
        PhaseLimits {
            response,
            blocked,
            ..self
        }
    }

    /// Returns the limits once the listener has closed.
    pub fn closing(limits: &RequestLimits) -> Self {
        PhaseLimits {
            idle: CLOSING_IDLE,
            idle_cause: EndCause::Exit,
            ..PhaseLimits::accepting(limits)
        }
    }
}

/// State of one connection, shared by its task, its stream and its listener.
#[derive(Debug)]
pub struct Connection {
    phase: Cell<Phase>,
    since: Cell<Moment>,
    /// Whether the phase was too long at the last check.
    expired: Cell<bool>,
    /// Whether the request was answered before its end.
    cut_short: Cell<bool>,
    /// Whether only the end of the connection marks the end of the response.
    ends_response: Cell<bool>,
    /// Limit of a request head that the buffer allows, bytes.
    head_bytes: Cell<usize>,
    /// Since when no byte of the response could be written.
    blocked_at: Cell<Option<Moment>>,
    end: Cell<Option<EndCause>>,
    end_wake: Notify,
}

impl Connection {
    fn new(head_bytes: usize) -> Self {
        Connection {
            phase: Cell::default(),
            since: Cell::new(clock::now()),
            expired: Cell::default(),
            cut_short: Cell::default(),
            ends_response: Cell::default(),
            head_bytes: Cell::new(head_bytes),
            blocked_at: Cell::default(),
            end: Cell::default(),
            end_wake: Notify::new(),
        }
    }

    /// Returns what the connection is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns for how long it has been doing that.
    pub fn age(&self) -> Duration {
        clock::now().saturating_sub(self.since.get())
    }

    /// Starts a phase; a decision to end the connection in the one before is void.
    pub fn start(&self, phase: Phase) {
        self.phase.set(phase);
        self.restart();
    }

    /// Records the limit of a request head that the buffer allows, bytes.
    pub fn set_head_bytes(&self, bytes: usize) {
        self.head_bytes.set(bytes);
    }

    /// Records that the request is answered before its end.
    pub fn cut_short(&self) {
        self.cut_short.set(true);
    }

    /// Records that the response has neither a length nor chunks.
    pub fn end_response_by_close(&self) {
        self.ends_response.set(true);
    }

    /// Returns whether only the end of the connection marks the end of the response.
    pub fn ends_response(&self) -> bool {
        self.ends_response.get()
    }

    /// Returns whether the caller may still be sending a request that was answered.
    pub fn has_rest(&self) -> bool {
        self.cut_short.get() || self.phase.get() == Phase::Head
    }

    /// Starts the current phase again.
    pub fn restart(&self) {
        self.since.set(clock::now());
        self.expired.set(false);
        self.end.set(None);
    }

    /// Records that nothing can be written now.
    pub fn record_blocked(&self) {
        if self.blocked_at.get().is_none() {
            self.blocked_at.set(Some(clock::now()));
        }
    }

    /// Records that bytes of a response were written.
    pub fn record_written(&self) {
        if self.blocked_at.take().is_some() {
            self.expired.set(false);
        }
        if self.phase() == Phase::Response {
            self.restart();
        }
    }

    /// Voids a decision to end the connection.
    pub fn clear_end(&self) {
        self.end.set(None);
    }

    /// Waits until the connection has to end.
    pub async fn ended(&self) -> EndCause {
        loop {
            if let Some(cause) = self.end.get() {
                return cause;
            }
            self.end_wake.notified().await;
        }
    }

    /// Returns whether another connection may take its place.
    fn is_replaceable(&self) -> bool {
        self.phase.get() == Phase::Idle && self.age() >= MIN_REPLACED_IDLE
    }

    /// Ends the connection.
    pub fn end(&self, cause: EndCause) {
        self.end.set(Some(cause));
        self.end_wake.notify_one();
    }

    /// Returns for how long nothing could be written.
    fn blocked_age(&self) -> Duration {
        let at = self.blocked_at.get();
        at.map_or(Duration::ZERO, |at| clock::now().saturating_sub(at))
    }

    /// Ends the connection if its phase is too long, which takes two checks: after a
    /// suspension of the process, bytes that have arrived are read between them.
    fn check(&self, limits: &PhaseLimits) {
        if self.phase.get() == Phase::Idle && self.head_bytes.get() < limits.head_bytes {
            self.end(EndCause::LargerHeads);
            return;
        }
        let (limit, cause) = match self.phase.get() {
            Phase::Idle => (limits.idle, limits.idle_cause),
            Phase::Head => (limits.head, EndCause::UnfinishedHead),
            Phase::Request => (limits.blocked, EndCause::UnreadResponse),
            Phase::Response => (limits.response, EndCause::UnreadResponse),
            Phase::Discard => (DISCARD_TIME, EndCause::UnreadRequest),
        };
        let age = match self.phase.get() {
            Phase::Request => self.blocked_age(),
            _ => self.age(),
        };
        if age <= limit {
            return;
        }
        if self.expired.replace(true) && self.end.get().is_none() {
            self.end(cause);
        }
    }
}

/// Connections of one listener.
#[derive(Debug, Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last_id: Cell<u64>,
    removed: Notify,
}

/// Entry of an open connection; dropping it removes the connection.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Rc<Connections>,
    id: u64,
    /// State of the connection.
    pub state: Rc<Connection>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
        self.connections.removed.notify_one();
    }
}

impl Connections {
    /// Adds a connection whose buffer allows heads of `head_bytes`.
    pub fn add(self: &Rc<Self>, head_bytes: usize) -> OpenConnection {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let state = Rc::new(Connection::new(head_bytes));
        self.open.borrow_mut().insert(id, state.clone());
        OpenConnection {
            connections: self.clone(),
            id,
            state,
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Waits until a connection has been removed.
    pub async fn removed(&self) {
        self.removed.notified().await;
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Returns whether there is room for one more connection within `max`. Ends the
    /// connections that have been idle longest as far as that is needed.
    pub fn make_room(&self, max: usize) -> bool {
        let open = self.open.borrow();
        if open.len() < max {
            return true;
        }
        let staying = open.values().filter(|c| c.end.get().is_none());
        let staying: Vec<_> = staying.collect();
        let idle = staying.iter().filter(|c| c.is_replaceable());
        let mut idle: Vec<_> = idle.collect();
        idle.sort_by_key(|c| c.since.get());
        idle.truncate((staying.len() + 1).saturating_sub(max));
        for connection in &idle {
            connection.end(EndCause::Replaced);
        }
        staying.len() - idle.len() < max
    }

    /// Ends the connections that exceed the limits.
    pub fn check(&self, limits: &PhaseLimits) {
        for connection in self.open.borrow().values() {
            connection.check(limits);
        }
    }
}
