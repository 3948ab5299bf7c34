//! Estimated queue of the prompts that an engine still has to read.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Time over the predicted one after which a prompt counts as read without
/// confirmation.
const OVERDUE: Duration = Duration::from_millis(500);

/// A prompt that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QueuedPrompt {
    /// Number of the request at this daemon; absent for requests of other daemons.
    serial: Option<u64>,
    sent: Moment,
    prefill_time: Duration,
}

/// Queue of prompts in the order in which the engine reads them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrefillQueue {
    prompts: VecDeque<QueuedPrompt>,
    /// When the last prompt that is known to be read was read.
    read_until: Moment,
}

impl PrefillQueue {
    /// Adds a prompt that takes `prefill_time` to read.
    pub fn push(&mut self, serial: Option<u64>, prefill_time: Duration, now: Moment) {
        self.drop_overdue(now);
        self.prompts.push_back(QueuedPrompt {
            serial,
            sent: now,
            prefill_time,
        });
    }

    /// Removes a prompt of this daemon that was read, and those queued before it.
    pub fn mark_read(&mut self, serial: u64, now: Moment) {
        let own = |p: &QueuedPrompt| p.serial == Some(serial);
        if let Some(at) = self.prompts.iter().position(own) {
            self.prompts.drain(..=at);
            self.read_until = now;
        }
    }

    /// Removes a prompt of this daemon that the engine will not read.
    pub fn remove(&mut self, serial: u64) {
        self.prompts.retain(|p| p.serial != Some(serial));
    }

    /// Returns the time until all queued prompts are read.
    pub fn backlog(&self, now: Moment) -> Duration {
        let mut read_until = self.read_until;
        for prompt in &self.prompts {
            read_until = read_until.max(prompt.sent) + prompt.prefill_time;
        }
        read_until.saturating_sub(now)
    }

    fn drop_overdue(&mut self, now: Moment) {
        while let Some(first) = self.prompts.front() {
            let end = self.read_until.max(first.sent) + first.prefill_time;
            if end + OVERDUE >= now {
                break;
            }
            self.read_until = end;
            self.prompts.pop_front();
        }
    }
}
