//! The bounded queue of outgoing frames of one link.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;

use super::LinkLimits;
use super::wire::Body;

/// What a frame replaces when it is still queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Nothing.
    Event,
    /// An older heartbeat.
    Heartbeat,
}

impl Subject {
    /// The subject of `body`.
    pub fn of(body: &Body) -> Self {
        match body {
            Body::Heartbeat(_) => Subject::Heartbeat,
            _ => Subject::Event,
        }
    }
}

/// An encoded frame.
#[derive(Clone, Debug)]
pub struct Parcel {
    /// What it replaces.
    pub subject: Subject,
    /// Its bytes, length included.
    pub bytes: Bytes,
}

/// Why a frame was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The queue is full.
    Full,
    /// The queue was closed.
    Closed,
}

/// What the writer of a link does next.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// Write these bytes.
    Write(Bytes),
    /// Nothing was queued for the given time.
    Idle,
    /// The queue was closed and is empty.
    Closed,
}

#[derive(Default)]
struct State {
    parcels: VecDeque<Parcel>,
    bytes: usize,
    closed: bool,
}

/// The bounded queue of outgoing frames of one link.
pub struct OutQueue {
    state: Mutex<State>,
    filled: Condvar,
    limits: LinkLimits,
}

impl OutQueue {
    /// An empty queue.
    pub fn new(limits: LinkLimits) -> Self {
        OutQueue {
            state: Mutex::default(),
            filled: Condvar::new(),
            limits,
        }
    }

    /// Queues a frame; replaces a queued older one of the same subject in its
    /// place. Does not wait.
    pub fn push(&self, parcel: Parcel) -> Result<(), Refused> {
        let mut state = self.lock();
        if state.closed {
            return Err(Refused::Closed);
        }
        if parcel.subject != Subject::Event {
            let mut queued = state.parcels.iter_mut();
            if let Some(old) = queued.find(|p| p.subject == parcel.subject) {
                let old = std::mem::replace(old, parcel.clone());
                state.bytes = state.bytes - old.bytes.len() + parcel.bytes.len();
                return Ok(());
            }
        }
        let bytes = state.bytes + parcel.bytes.len();
        if state.parcels.len() >= self.limits.queue_frames || bytes > self.limits.queue_bytes {
            return Err(Refused::Full);
        }
        state.bytes = bytes;
        state.parcels.push_back(parcel);
        self.filled.notify_one();
        Ok(())
    }

    /// Waits at most `idle` for the next frame.
    pub fn next(&self, idle: Duration) -> Next {
        let empty = |s: &mut State| s.parcels.is_empty() && !s.closed;
        let state = self.lock();
        let waited = self.filled.wait_timeout_while(state, idle, empty);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        let Some(parcel) = state.parcels.pop_front() else {
            return if state.closed {
                Next::Closed
            } else {
                Next::Idle
            };
        };
        state.bytes -= parcel.bytes.len();
        Next::Write(parcel.bytes)
    }

    /// Takes no further frames; the queued ones are still handed out.
    pub fn close(&self) {
        self.lock().closed = true;
        self.filled.notify_all();
    }

    /// Takes no further frames and forgets the queued ones.
    pub fn clear(&self) {
        self.lock().parcels.clear();
        self.close();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Duration = Duration::ZERO;

    fn parcel(subject: Subject, bytes: &'static str) -> Parcel {
        let bytes = Bytes::from_static(bytes.as_bytes());
        Parcel { subject, bytes }
    }

    fn small() -> OutQueue {
        OutQueue::new(LinkLimits {
            queue_frames: 2,
            queue_bytes: 8,
            ..LinkLimits::default()
        })
    }

    #[test]
    fn newer_state_replaces_older_and_events_never_drop() {
        let queue = small();
        queue.push(parcel(Subject::Heartbeat, "old")).unwrap();
        queue.push(parcel(Subject::Event, "want")).unwrap();
        queue.push(parcel(Subject::Heartbeat, "new")).unwrap();
        let full = queue.push(parcel(Subject::Event, "s"));
        assert_eq!(full, Err(Refused::Full));
        assert_eq!(queue.next(NOW), Next::Write("new".into()));
        assert_eq!(queue.next(NOW), Next::Write("want".into()));
        assert_eq!(queue.next(NOW), Next::Idle);
    }

    #[test]
    fn bytes_are_bounded() {
        let queue = small();
        queue.push(parcel(Subject::Event, "12345678")).unwrap();
        assert_eq!(queue.push(parcel(Subject::Event, "9")), Err(Refused::Full));
        queue.next(NOW);
        queue.push(parcel(Subject::Event, "9")).unwrap();
    }

    #[test]
    fn closed_queue_hands_out_the_rest() {
        let queue = small();
        queue.push(parcel(Subject::Event, "last")).unwrap();
        queue.close();
        let late = queue.push(parcel(Subject::Event, "x"));
        assert_eq!(late, Err(Refused::Closed));
        assert_eq!(queue.next(NOW), Next::Write("last".into()));
        assert_eq!(queue.next(NOW), Next::Closed);
    }
}
