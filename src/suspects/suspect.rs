//! Crashes of one fingerprint.

use std::collections::{BTreeMap, BTreeSet};

use super::Fingerprint;
use super::fingerprint::MESSAGE_PREFIX;
use crate::clock::Moment;
use crate::config::Name;

/// Maximum number of requests that are kept with a message, enough to tell which messages are
/// always in the same requests.
const MAX_HOLDERS: usize = 8;

/// What a fingerprint stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectKind {
    /// A whole request.
    Request,
    /// A message.
    Message,
}

impl SuspectKind {
    /// Returns the kind of a fingerprint.
    pub fn of(fingerprint: &str) -> Self {
        match fingerprint.starts_with(MESSAGE_PREFIX) {
            true => SuspectKind::Message,
            false => SuspectKind::Request,
        }
    }
}

/// Crashes of one fingerprint.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// What it stands for.
    pub kind: SuspectKind,
    /// Model of the request.
    pub model: Name,
    /// Instances that crashed while they ran it.
    pub crashed: BTreeSet<Name>,
    /// Those of them that no longer count.
    pub released: BTreeSet<Name>,
    /// Those that crashed at a trial of it.
    pub trials: BTreeSet<Name>,
    /// The first requests, by order, that had the message at a crash.
    pub requests: BTreeSet<Fingerprint>,
    /// When it last changed.
    pub updated: Moment,
}

impl Suspect {
    /// Returns the crashes that count.
    pub fn crashes(&self) -> impl Iterator<Item = &Name> {
        self.crashed.difference(&self.released)
    }

    fn instances_mut(&mut self, released: bool) -> &mut BTreeSet<Name> {
        match released {
            true => &mut self.released,
            false => &mut self.crashed,
        }
    }

    /// Adds an instance to one of the sets and returns whether it is new. Once
    /// that set has `max` instances, released ones are dropped; a peer that
    /// still reports them can only get the request suspected again, never released.
    pub fn add(&mut self, instance: &str, released: bool, max: usize) -> bool {
        if self.instances_mut(released).contains(instance) {
            return false;
        }
        if self.instances_mut(released).len() >= max {
            self.crashed = self.crashes().cloned().collect();
            self.released.clear();
        }
        self.instances_mut(released).insert(instance.into())
    }

    /// Adds requests that had the message; returns whether any is new.
    pub fn add_requests(&mut self, requests: &[String]) -> bool {
        let mut changed = false;
        for request in requests {
            changed |= self.requests.insert(request.as_str().into());
            if self.requests.len() > MAX_HOLDERS {
                let last = self.requests.pop_last();
                changed &= last.is_none_or(|last| *last != **request);
            }
        }
        changed
    }

    /// Removes the earliest crashes beyond `max`.
    pub fn limit_crashes(&mut self, ends: &BTreeMap<Name, Moment>, max: usize) {
        while self.crashed.len() > max {
            let earliest = self.crashed.iter().min_by_key(|name| ends.get(*name));
            let Some(earliest) = earliest.cloned() else {
                return;
            };
            self.crashed.remove(&earliest);
        }
        self.trials.retain(|name| self.crashed.contains(name));
    }
}
