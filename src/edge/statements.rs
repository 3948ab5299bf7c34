//! What engines have said of themselves in their responses.
//!
//! A statement applies to one lifetime of its engine. It is kept while the engine is not
//! listed, because its entry may be back later, or older.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;

/// Number of engines that leave from which those that are not listed are forgotten.
const MAX_LEAVING: usize = 10_000;

/// What an engine says of itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Whether it is about to stop.
    pub leaves: bool,
    /// For how long it wants no requests of this host.
    pub pause: Option<Duration>,
}

/// Statements of engines, by their ids.
#[derive(Debug, Default)]
pub struct Statements {
    /// Start times of the engines that leave.
    leaving: HashMap<Arc<str>, u64>,
    pauses: HashMap<Arc<str>, Pause>,
}

/// Time in which an engine wants no requests of this host.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// Start time of the engine that asked for it.
    incarnation: u64,
    until: Moment,
}

impl Statements {
    /// Records that the engine that started at `incarnation` leaves; returns whether that is
    /// news. `is_listed` tells which engines to remember when there are too many.
    pub fn record_leaving(
        &mut self,
        id: &Arc<str>,
        incarnation: u64,
        is_listed: impl Fn(&str) -> bool,
    ) -> bool {
        if self.is_leaving(id, incarnation) {
            return false;
        }
        if self.leaving.len() >= MAX_LEAVING {
            self.leaving.retain(|id, _| is_listed(id));
        }
        self.leaving.insert(id.clone(), incarnation);
        true
    }

    /// Returns whether the engine that started at `incarnation` leaves.
    pub fn is_leaving(&self, id: &str, incarnation: u64) -> bool {
        self.leaving.get(id).is_some_and(|at| incarnation <= *at)
    }

    /// Records that the engine that started at `incarnation` wants no requests of this host
    /// for `pause`.
    pub fn record_pause(&mut self, id: &Arc<str>, incarnation: u64, pause: Duration, now: Moment) {
        self.pauses.retain(|_, p| p.until > now);
        let pause_left = self.pause_left(id, incarnation, now).unwrap_or_default();
        let until = now.saturating_add(pause.max(pause_left));
        self.pauses.insert(id.clone(), Pause { incarnation, until });
    }

    /// Returns how long the engine that started at `incarnation` still wants no requests of
    /// this host.
    pub fn pause_left(&self, id: &str, incarnation: u64, now: Moment) -> Option<Duration> {
        let pause = self.pauses.get(id)?;
        let in_force = pause.incarnation == incarnation && pause.until > now;
        in_force.then(|| pause.until - now)
    }
}
