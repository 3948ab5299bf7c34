//! What callers, operators and the fault plan write down for the checker.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::env::{BookingReply, CompletionReply};

/// A request for an answer of a model.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Host that it went to.
    pub host: usize,
    /// Prompt.
    pub prompt: String,
    /// The caller hung up in mid-stream.
    pub hung: bool,
    /// The prompt crashes engines.
    pub poison: bool,
    /// Time allowed for the first token.
    pub deadline: Duration,
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
    /// Answer as the caller saw it.
    pub answer: CompletionReply,
}

/// One sending of a booking.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Idempotency key.
    pub key: String,
    /// Host that it went to.
    pub host: usize,
    /// Time allowed until its start.
    pub deadline: Duration,
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
    /// Answer as the caller saw it.
    pub booked: BookingReply,
}

/// An accepted patch of the configuration.
#[derive(Clone, Debug)]
pub struct Patched {
    /// Version that it made.
    pub version: u64,
    /// Attempt id.
    pub attempt: String,
    /// When the operator had the answer.
    pub at: Instant,
}

/// A look at a host.
#[derive(Clone, Debug)]
pub struct Look {
    /// The host.
    pub host: usize,
    /// Start of the look.
    pub at: Instant,
    /// Configuration version in force.
    pub version: u64,
    /// Hosts that it names to callers.
    pub entry: Vec<String>,
}

/// One line of the record.
#[derive(Clone, Debug)]
pub enum Note {
    /// A request ended.
    Asked(Asked),
    /// A booking was answered.
    Sent(Sent),
    /// A patch was accepted.
    Patched(Patched),
    /// An operator's request got another answer, or none.
    Unpatched(u16),
    /// A host was looked at.
    Look(Look),
}

/// A time that may still go on.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Option<Instant>,
}

impl Window {
    /// A window that starts now.
    pub fn open() -> Window {
        Window {
            from: Instant::now(),
            until: None,
        }
    }

    /// Time that this window shares with `from..until`.
    pub fn shared(&self, from: Instant, until: Instant) -> Duration {
        let end = self.until.unwrap_or(until).min(until);
        end.saturating_duration_since(self.from.max(from))
    }

    /// Whether this window has an instant within `from..=until`.
    pub fn meets(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// Windows by the number of a host or an engine.
#[derive(Clone, Debug, Default)]
pub struct Windows(BTreeMap<usize, Vec<Window>>);

impl Windows {
    /// Opens a window.
    pub fn open(&mut self, number: usize) {
        self.0.entry(number).or_default().push(Window::open());
    }

    /// Closes the last window.
    pub fn close(&mut self, number: usize) {
        if let Some(last) = self.0.entry(number).or_default().last_mut() {
            last.until.get_or_insert_with(Instant::now);
        }
    }

    /// Windows of a number.
    pub fn of(&self, number: usize) -> &[Window] {
        self.0.get(&number).map_or(&[], Vec::as_slice)
    }

    /// Time of `from..until` that lies in windows of `number`.
    pub fn shared(&self, number: usize, from: Instant, until: Instant) -> Duration {
        let windows = self.of(number).iter();
        windows.map(|w| w.shared(from, until)).sum()
    }

    /// Whether a window of `number` meets `from..=until`.
    pub fn meets(&self, number: usize, from: Instant, until: Instant) -> bool {
        self.of(number).iter().any(|w| w.meets(from, until))
    }
}

/// What the fault plan did.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// From a kill to the start of the next daemon, by host.
    pub killed: Windows,
    /// From SIGSTOP to SIGCONT, by host.
    pub frozen: Windows,
    /// From the listing as leaving to the start of the next daemon, by host.
    pub leaving: Windows,
    /// From the word of leaving to the restart, by engine.
    pub left: Windows,
    /// Platform down or slow; number 0.
    pub outages: Windows,
    /// Drained daemons whose exit code was not 0.
    pub exits: Vec<String>,
    /// Crashes of engines that the plan did not bring about.
    pub crashes: usize,
    /// Faults by name.
    pub faults: BTreeMap<String, usize>,
}
