//! The bounded queue of outgoing frames of one link.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;

use super::LinkLimits;
use super::wire::Body;

/// Kind of a frame, which decides what it replaces in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Any other frame; replaces nothing.
    Other,
    /// A heartbeat; replaces a queued older one.
    Heartbeat,
}

impl FrameKind {
    /// Returns the kind of `body`.
    pub fn of(body: &Body) -> Self {
        match body {
            Body::Heartbeat(_) => FrameKind::Heartbeat,
            _ => FrameKind::Other,
        }
    }
}

/// An encoded frame.
#[derive(Clone, Debug)]
pub struct QueuedFrame {
    /// Kind of the frame.
    pub kind: FrameKind,
    /// Bytes with the length prefix.
    pub bytes: Bytes,
}

/// Why a frame was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushError {
    /// The queue is full.
    Full,
    /// The queue was closed.
    Closed,
}

/// Result of waiting for the next frame.
#[derive(Debug, PartialEq, Eq)]
pub enum PopResult {
    /// Bytes of the next frame.
    Frame(Bytes),
    /// No frame was queued within the timeout.
    Idle,
    /// The queue was closed and is empty.
    Closed,
}

#[derive(Default)]
struct QueueState {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
    closed: bool,
}

/// The bounded queue of outgoing frames of one link.
pub struct SendQueue {
    state: Mutex<QueueState>,
    not_empty: Condvar,
    limits: LinkLimits,
}

impl SendQueue {
    /// Creates an empty queue.
    pub fn new(limits: LinkLimits) -> Self {
        SendQueue {
            state: Mutex::default(),
            not_empty: Condvar::new(),
            limits,
        }
    }

    /// Queues a frame without blocking. A heartbeat replaces a queued older one
    /// and keeps its position.
    pub fn push(&self, frame: QueuedFrame) -> Result<(), PushError> {
        let mut state = self.lock();
        if state.closed {
            return Err(PushError::Closed);
        }
        if frame.kind != FrameKind::Other {
            let mut queued = state.frames.iter_mut();
            if let Some(old) = queued.find(|f| f.kind == frame.kind) {
                let old = std::mem::replace(old, frame.clone());
                state.bytes = state.bytes - old.bytes.len() + frame.bytes.len();
                return Ok(());
            }
        }
        let bytes = state.bytes + frame.bytes.len();
        if state.frames.len() >= self.limits.queue_frames || bytes > self.limits.queue_bytes {
            return Err(PushError::Full);
        }
        state.bytes = bytes;
        state.frames.push_back(frame);
        self.not_empty.notify_one();
        Ok(())
    }

    /// Removes the next frame; waits for it at most `timeout`.
    pub fn pop(&self, timeout: Duration) -> PopResult {
        let must_wait = |s: &mut QueueState| s.frames.is_empty() && !s.closed;
        let state = self.lock();
        let result = self.not_empty.wait_timeout_while(state, timeout, must_wait);
        let (mut state, _) = result.unwrap_or_else(PoisonError::into_inner);
        let Some(frame) = state.frames.pop_front() else {
            return if state.closed {
                PopResult::Closed
            } else {
                PopResult::Idle
            };
        };
        state.bytes -= frame.bytes.len();
        PopResult::Frame(frame.bytes)
    }

    /// Rejects further frames; the queued ones are still returned.
    pub fn close(&self) {
        self.lock().closed = true;
        self.not_empty.notify_all();
    }

    /// Drops the queued frames and rejects further ones.
    pub fn clear(&self) {
        self.lock().frames.clear();
        self.close();
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NO_WAIT: Duration = Duration::ZERO;

    fn frame(kind: FrameKind, bytes: &'static str) -> QueuedFrame {
        let bytes = Bytes::from_static(bytes.as_bytes());
        QueuedFrame { kind, bytes }
    }

    fn small_queue() -> SendQueue {
        SendQueue::new(LinkLimits {
            queue_frames: 2,
            queue_bytes: 8,
            ..LinkLimits::default()
        })
    }

    #[test]
    fn newer_heartbeat_replaces_the_queued_one_and_other_frames_stay() {
        let queue = small_queue();
        queue.push(frame(FrameKind::Heartbeat, "old")).unwrap();
        queue.push(frame(FrameKind::Other, "data")).unwrap();
        queue.push(frame(FrameKind::Heartbeat, "new")).unwrap();
        let full = queue.push(frame(FrameKind::Other, "s"));
        assert_eq!(full, Err(PushError::Full));
        assert_eq!(queue.pop(NO_WAIT), PopResult::Frame("new".into()));
        assert_eq!(queue.pop(NO_WAIT), PopResult::Frame("data".into()));
        assert_eq!(queue.pop(NO_WAIT), PopResult::Idle);
    }

    #[test]
    fn queued_bytes_are_bounded() {
        let queue = small_queue();
        queue.push(frame(FrameKind::Other, "12345678")).unwrap();
        assert_eq!(
            queue.push(frame(FrameKind::Other, "9")),
            Err(PushError::Full)
        );
        queue.pop(NO_WAIT);
        queue.push(frame(FrameKind::Other, "9")).unwrap();
    }

    #[test]
    fn closed_queue_returns_the_queued_frames() {
        let queue = small_queue();
        queue.push(frame(FrameKind::Other, "last")).unwrap();
        queue.close();
        let late = queue.push(frame(FrameKind::Other, "x"));
        assert_eq!(late, Err(PushError::Closed));
        assert_eq!(queue.pop(NO_WAIT), PopResult::Frame("last".into()));
        assert_eq!(queue.pop(NO_WAIT), PopResult::Closed);
    }
}
