//! History of requests, patches, polls and faults that the checker reads.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::env::{BookingReply, CompletionReply};

/// A completion request and its reply.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Host that received it.
    pub host: usize,
    /// Prompt.
    pub prompt: String,
    /// Whether the caller closed the stream before its end.
    pub disconnected: bool,
    /// Whether the prompt crashes engines.
    pub poison: bool,
    /// Time allowed for the first token.
    pub deadline: Duration,
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
    /// Reply that the caller received.
    pub reply: CompletionReply,
}

/// One attempt to send a booking.
#[derive(Clone, Debug)]
pub struct BookingRecord {
    /// Idempotency key.
    pub key: String,
    /// Host that received it.
    pub host: usize,
    /// Time allowed until the booking starts.
    pub deadline: Duration,
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
    /// Reply that the caller received.
    pub reply: BookingReply,
}

/// An accepted patch of the configuration.
#[derive(Clone, Debug)]
pub struct PatchRecord {
    /// Version that it created.
    pub version: u64,
    /// Attempt id.
    pub attempt: String,
    /// When the operator received the reply.
    pub at: Instant,
}

/// State of a host at one poll.
#[derive(Clone, Debug)]
pub struct PollRecord {
    /// Polled host.
    pub host: usize,
    /// Start of the poll.
    pub at: Instant,
    /// Configuration version in force.
    pub version: u64,
    /// Hosts that it lists for callers.
    pub listed: Vec<String>,
}

/// One event of the history.
#[derive(Clone, Debug)]
pub enum Event {
    /// A completion request ended.
    Request(RequestRecord),
    /// An attempt to send a booking ended.
    Booking(BookingRecord),
    /// A patch was accepted.
    Patch(PatchRecord),
    /// A patch failed with this status; 0 without a response.
    PatchFailed(u16),
    /// A host was polled.
    Poll(PollRecord),
}

/// A time interval that may still be open.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Option<Instant>,
}

impl Window {
    /// Returns a window that starts now.
    pub fn open() -> Window {
        Window {
            from: Instant::now(),
            until: None,
        }
    }

    /// Returns the time that this window has in common with `from..until`.
    pub fn overlap(&self, from: Instant, until: Instant) -> Duration {
        let end = self.until.unwrap_or(until).min(until);
        end.saturating_duration_since(self.from.max(from))
    }

    /// Returns whether this window has an instant within `from..=until`.
    pub fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// Windows by the index of a host or an engine.
#[derive(Clone, Debug, Default)]
pub struct WindowMap(BTreeMap<usize, Vec<Window>>);

impl WindowMap {
    /// Opens a window of `index`.
    pub fn open(&mut self, index: usize) {
        self.0.entry(index).or_default().push(Window::open());
    }

    /// Closes the last window of `index`.
    pub fn close(&mut self, index: usize) {
        if let Some(last) = self.0.entry(index).or_default().last_mut() {
            last.until.get_or_insert_with(Instant::now);
        }
    }

    /// Returns the windows of `index`.
    pub fn get(&self, index: usize) -> &[Window] {
        self.0.get(&index).map_or(&[], Vec::as_slice)
    }

    /// Returns the time of `from..until` that lies in windows of `index`.
    pub fn overlap(&self, index: usize, from: Instant, until: Instant) -> Duration {
        let windows = self.get(index).iter();
        windows.map(|w| w.overlap(from, until)).sum()
    }

    /// Returns whether a window of `index` has an instant within `from..=until`.
    pub fn overlaps(&self, index: usize, from: Instant, until: Instant) -> bool {
        self.get(index).iter().any(|w| w.overlaps(from, until))
    }
}

/// Log of the injected faults.
#[derive(Clone, Debug, Default)]
pub struct FaultLog {
    /// From SIGKILL to the next ready daemon, by host.
    pub killed_hosts: WindowMap,
    /// From SIGSTOP to SIGCONT, by host.
    pub frozen_hosts: WindowMap,
    /// From the listing as leaving, or SIGTERM, to the start of the next daemon, by host.
    pub leaving_hosts: WindowMap,
    /// From the announcement or listing as leaving to the restart, by engine.
    pub leaving_engines: WindowMap,
    /// Times when the platform was down or slow, all under index 0.
    pub platform_outages: WindowMap,
    /// Drained daemons whose exit code was not 0.
    pub failed_drains: Vec<String>,
    /// Engine crashes caused by requests instead of injected.
    pub request_crashes: usize,
    /// Number of injected faults by name.
    pub fault_counts: BTreeMap<String, usize>,
}
