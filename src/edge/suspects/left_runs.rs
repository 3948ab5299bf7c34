//! Runs that ended without a word of their engine: it fell silent, or the caller left first.
//!
//! A sound engine may be silent for a while and go on, so that a silence alone is no crash. Once
//! the engine says anything again in the same lifetime, its runs are forgotten. If the lifetime
//! turns out to have ended instead, they are possible causes of the crash.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Feature, Progress};
use crate::clock::Moment;
use crate::edge::fleet::Fleet;
use crate::edge::upstream::{EnginePhase, Lifetime};

/// Time for which runs are remembered; longer than an engine takes to start again.
const MEMORY: Duration = Duration::from_secs(20);
/// Time after which an entry in the list of engines was written after a run was left, not before.
const ENTRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of lifetimes whose runs are remembered.
const MAX_LIFETIMES: usize = 256;
/// Maximum number of features of one lifetime; more than a crash keeps.
const MAX_FEATURES: usize = 64;

/// Features of requests, with the progress of the answers.
pub type RunFeatures = Vec<(Feature, Progress)>;

/// The runs that were left at one lifetime of an engine since it was last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Left {
    /// When the first of them was left.
    pub since: Moment,
    /// Features of their requests.
    pub features: RunFeatures,
    /// When the last of them was left.
    last: Moment,
    addr: SocketAddr,
    /// Number of the engine's entry then.
    sequence: u64,
    /// Whether the engine is being asked what became of it.
    is_watched: bool,
}

/// What the list of engines says of a lifetime at which runs were left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// Another lifetime of the engine is listed.
    Restarted,
    /// Its entry is missing, or another engine has its address.
    Missing,
}

/// The runs that were left at engines.
#[derive(Debug, Default)]
pub struct LeftRuns(HashMap<Lifetime, Left>);

impl LeftRuns {
    /// Records that a run with these features was left.
    pub fn record(
        &mut self,
        lifetime: &Lifetime,
        addr: SocketAddr,
        features: impl IntoIterator<Item = (Feature, Progress)>,
        (sequence, now): (u64, Moment),
    ) {
        self.0
            .retain(|_, left| now.saturating_sub(left.last) < MEMORY);
        if self.0.len() >= MAX_LIFETIMES && !self.0.contains_key(lifetime) {
            log::warn!(engine = &*lifetime.engine; "run not remembered: too many silent engines");
            return;
        }
        let left = self.0.entry(lifetime.clone()).or_insert_with(|| Left {
            since: now,
            features: Vec::new(),
            last: now,
            addr,
            sequence,
            is_watched: false,
        });
        left.last = now;
        left.sequence = sequence;
        for (feature, progress) in features {
            if let Some((_, known)) = left.features.iter_mut().find(|(f, _)| *f == feature) {
                // An answer that had just begun says most.
                if progress == Progress::Begun {
                    *known = progress;
                }
                continue;
            }
            if left.features.len() < MAX_FEATURES {
                left.features.push((feature, progress));
            }
        }
    }

    /// Records that an engine was heard in this lifetime.
    pub fn record_heard(&mut self, lifetime: &Lifetime) {
        if !self.0.is_empty() {
            self.0.remove(lifetime);
        }
    }

    /// Returns whether runs were left at a lifetime.
    pub fn contains(&self, lifetime: &Lifetime) -> bool {
        self.0.contains_key(lifetime)
    }

    /// Removes and returns the runs that were left at a lifetime.
    pub fn take(&mut self, lifetime: &Lifetime) -> Option<Left> {
        self.0.remove(lifetime)
    }

    /// Returns the address of an engine that is to be asked what became of it, unless that has
    /// begun.
    pub fn start_watch(&mut self, lifetime: &Lifetime) -> Option<SocketAddr> {
        let left = self.0.get_mut(lifetime).filter(|l| !l.is_watched)?;
        left.is_watched = true;
        Some(left.addr)
    }

    /// Records that the engine is no longer asked; it may be later.
    pub fn end_watch(&mut self, lifetime: &Lifetime) {
        if let Some(left) = self.0.get_mut(lifetime) {
            left.is_watched = false;
        }
    }

    /// Returns the lifetimes that the list of engines shows to have ended, or not to be known any
    /// more. Those that are heard by it, or that leave, are forgotten.
    pub fn compare(&mut self, fleet: &Fleet, now: Moment) -> Vec<(Lifetime, Listed)> {
        let mut ended = Vec::new();
        self.0.retain(|lifetime, left| {
            let Some(engine) = fleet.engines.get(&lifetime.engine) else {
                ended.push((lifetime.clone(), Listed::Missing));
                return true;
            };
            let entry = &engine.entry;
            if entry.incarnation > lifetime.incarnation {
                ended.push((lifetime.clone(), Listed::Restarted));
                return true;
            }
            if engine.replaced {
                ended.push((lifetime.clone(), Listed::Missing));
                return true;
            }
            let was_heard =
                entry.sequence > left.sequence && now.saturating_sub(left.last) >= ENTRY_DELAY;
            let leaves = engine.leaves || entry.phase == EnginePhase::Draining;
            !was_heard && !leaves
        });
        ended
    }
}
