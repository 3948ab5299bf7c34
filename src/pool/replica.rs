//! Life of one replica at its engine.

use std::time::Duration;

use strum::IntoStaticStr;

use crate::clock::Moment;
use crate::config::Name;

/// Where a replica is in its life.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Chosen; waits for memory or for its base model.
    Planned,
    /// Waits for a permit of the weight store.
    Asked,
    /// Holds a permit; the order comes next.
    Permitted,
    /// The load order is out.
    Loading,
    /// Takes work.
    Ready,
    /// Takes no new work; every daemon must have seen the state `seq`.
    Draining {
        /// Number of the first pool state without this replica.
        seq: u64,
    },
    /// The unload order is out.
    Unloading,
}

/// A replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Where it is in its life.
    pub phase: Phase,
    /// Version of the weights.
    pub version: Name,
    /// Memory, MB.
    pub memory: u64,
    /// Start of the present phase.
    pub since: Moment,
    /// Moment since when no request uses it.
    pub idle: Moment,
    /// Expected time of its load.
    pub load: Duration,
    /// Id of its load at the permit holder.
    pub id: Name,
}

impl Replica {
    /// A replica that is to be loaded.
    pub fn planned(version: &Name, memory: u64, load: Duration, id: Name, now: Moment) -> Self {
        Replica {
            phase: Phase::Planned,
            version: version.clone(),
            memory,
            since: now,
            idle: now,
            load,
            id,
        }
    }

    /// A replica that an engine already holds.
    pub fn found(version: &Name, memory: u64, now: Moment) -> Self {
        Replica {
            phase: Phase::Ready,
            ..Replica::planned(version, memory, Duration::ZERO, "".into(), now)
        }
    }

    /// Enters another phase.
    pub fn enter(&mut self, phase: Phase, now: Moment) {
        self.phase = phase;
        self.since = now;
    }

    /// Whether it takes work.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Whether it is on its way to take work.
    pub fn coming(&self) -> bool {
        matches!(
            self.phase,
            Phase::Planned | Phase::Asked | Phase::Permitted | Phase::Loading
        )
    }

    /// Whether it is on its way out.
    pub fn going(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. } | Phase::Unloading)
    }

    /// Whether memory is set aside for it that the engine does not hold yet.
    pub fn reserved(&self) -> bool {
        matches!(self.phase, Phase::Planned | Phase::Asked | Phase::Permitted)
    }

    /// Time until it takes work.
    pub fn eta(&self, now: Moment) -> Duration {
        match self.phase {
            Phase::Ready => Duration::ZERO,
            Phase::Loading => self.load.saturating_sub(now.saturating_sub(self.since)),
            _ => self.load,
        }
    }
}
