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
    PermitRequested,
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
    pub phase_since: Moment,
    /// Moment since when no request uses it.
    pub idle_since: Moment,
    /// Expected time of its load.
    pub load_time: Duration,
    /// Id of its load at the permit holder.
    pub load_id: Name,
}

impl Replica {
    /// A replica that is to be loaded.
    pub fn planned(
        version: &Name,
        memory: u64,
        load_time: Duration,
        load_id: Name,
        now: Moment,
    ) -> Self {
        Replica {
            phase: Phase::Planned,
            version: version.clone(),
            memory,
            phase_since: now,
            idle_since: now,
            load_time,
            load_id,
        }
    }

    /// A replica that an engine already holds.
    pub fn resident(version: &Name, memory: u64, now: Moment) -> Self {
        Replica {
            phase: Phase::Ready,
            ..Replica::planned(version, memory, Duration::ZERO, "".into(), now)
        }
    }

    /// Enters another phase.
    pub fn set_phase(&mut self, phase: Phase, now: Moment) {
        self.phase = phase;
        self.phase_since = now;
    }

    /// Whether it takes work.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Whether it is on its way to take work.
    pub fn is_pending(&self) -> bool {
        matches!(
            self.phase,
            Phase::Planned | Phase::PermitRequested | Phase::Permitted | Phase::Loading
        )
    }

    /// Whether it is on its way out.
    pub fn is_unloading(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. } | Phase::Unloading)
    }

    /// Whether memory is set aside for it that the engine does not hold yet.
    pub fn is_reserved(&self) -> bool {
        matches!(
            self.phase,
            Phase::Planned | Phase::PermitRequested | Phase::Permitted
        )
    }

    /// Time until it takes work.
    pub fn time_to_ready(&self, now: Moment) -> Duration {
        match self.phase {
            Phase::Ready => Duration::ZERO,
            Phase::Loading => self
                .load_time
                .saturating_sub(now.saturating_sub(self.phase_since)),
            _ => self.load_time,
        }
    }
}
