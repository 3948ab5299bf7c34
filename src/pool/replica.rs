//! Lifecycle of one replica at its engine.

use std::time::Duration;

use strum::IntoStaticStr;

use crate::clock::Moment;
use crate::config::Name;

/// Phase in the lifecycle of a replica.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Engine chosen; waits for memory or for its base model.
    Planned,
    /// Waits for a permit to load from the weight store.
    #[strum(serialize = "asked")]
    PermitRequested,
    /// May load; the load order is sent next.
    Permitted,
    /// The load order is in flight.
    Loading,
    /// Accepts requests.
    Ready,
    /// Gets no new requests; unloads once every daemon has acknowledged the pool state `seq`.
    Draining {
        /// Number of the first pool state without this replica.
        seq: u64,
    },
    /// The unload order is in flight.
    Unloading,
}

/// Replica of a model or adapter at one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Phase in its lifecycle.
    pub phase: Phase,
    /// Version of the weights.
    pub version: Name,
    /// Memory, MB.
    pub memory: u64,
    /// Moment at which the present phase began.
    pub phase_since: Moment,
    /// Moment since which no request has used it.
    pub idle_since: Moment,
    /// Expected duration of its load.
    pub load_time: Duration,
    /// Id of its load at the permit holder; empty when it was not loaded by this owner.
    pub load_id: Name,
}

impl Replica {
    /// Creates a replica that is to be loaded.
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

    /// Creates a ready replica for weights that an engine already holds.
    pub fn resident(version: &Name, memory: u64, now: Moment) -> Self {
        Replica {
            phase: Phase::Ready,
            ..Replica::planned(version, memory, Duration::ZERO, "".into(), now)
        }
    }

    /// Changes the phase.
    pub fn set_phase(&mut self, phase: Phase, now: Moment) {
        self.phase = phase;
        self.phase_since = now;
    }

    /// Returns whether it accepts requests.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns whether it is planned or loading.
    pub fn is_pending(&self) -> bool {
        matches!(
            self.phase,
            Phase::Planned | Phase::PermitRequested | Phase::Permitted | Phase::Loading
        )
    }

    /// Returns whether it is draining or unloading.
    pub fn is_unloading(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. } | Phase::Unloading)
    }

    /// Returns whether memory is reserved for it although its load order has not been sent.
    pub fn is_reserved(&self) -> bool {
        matches!(
            self.phase,
            Phase::Planned | Phase::PermitRequested | Phase::Permitted
        )
    }

    /// Returns the expected time until it accepts requests.
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
