//! Estimated queue of the prompts that an engine still has to read.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;
use crate::edge::engine_load::QueueAhead;

/// Time over the predicted one after which a prompt counts as read without
/// confirmation.
const OVERDUE: Duration = Duration::from_millis(500);

/// Time to an engine and back: a report that arrives sooner after a prompt was sent does not count
/// it.
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// Number of the latest prompts whose mean stands for one that waits.
const RECENT_PROMPTS: usize = 8;

/// A prompt that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QueuedPrompt {
    /// Number of the request at this daemon; absent for requests of other daemons.
    serial: Option<u64>,
    priority: u8,
    sent: Moment,
    prefill_time: Duration,
}

/// Queue of prompts in the order in which the engine reads them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrefillQueue {
    prompts: VecDeque<QueuedPrompt>,
    /// When the last prompt that is known to be read was read.
    read_until: Moment,
    /// Priorities and times of the latest prompts.
    recent: VecDeque<(u8, Duration)>,
}

impl PrefillQueue {
    /// Adds a prompt that takes `prefill_time` to read.
    pub fn push(&mut self, serial: Option<u64>, priority: u8, prefill_time: Duration, now: Moment) {
        self.drop_overdue(now);
        if self.recent.len() == RECENT_PROMPTS {
            self.recent.pop_front();
        }
        self.recent.push_back((priority, prefill_time));
        self.prompts.push_back(QueuedPrompt {
            serial,
            priority,
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
        self.time_for(now, |_| true)
    }

    /// Returns what is queued before a prompt of this priority, with what was sent since an
    /// engine's report of the time `reported_at`.
    pub fn ahead(&self, priority: u8, reported_at: Moment, now: Moment) -> QueueAhead {
        let before = |p: &QueuedPrompt| p.priority <= priority;
        let is_new = |p: &QueuedPrompt| p.sent + ROUND_TRIP > reported_at;
        let recent = self.recent.iter().filter(|(p, _)| *p <= priority);
        let recent: Duration = recent.map(|(_, time)| *time).sum();
        QueueAhead {
            known: self.time_for(now, before),
            since: self.time_for(now, |p| before(p) && is_new(p)),
            each: recent / self.recent.len().max(1) as u32,
        }
    }

    /// Returns the share of the latest prompts that an engine reads after one of this priority.
    pub fn share_after(&self, priority: u8) -> f64 {
        let after = self.recent.iter().filter(|(p, _)| *p > priority).count();
        after as f64 / self.recent.len().max(1) as f64
    }

    fn time_for(&self, now: Moment, counts: impl Fn(&QueuedPrompt) -> bool) -> Duration {
        let mut read_until = self.read_until;
        for prompt in self.prompts.iter().filter(|p| counts(p)) {
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
