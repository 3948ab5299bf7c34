//! Pins: recorded permissions to load a model on an engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Ledger;
use crate::clock::Moment;
use crate::config::Name;

/// Permission to load one model on one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PinRecord {
    /// Memory of the model, MB.
    pub memory: u64,
    /// Epoch of the owner that recorded the pin.
    pub epoch: u64,
    /// Whether an order under this pin may still take effect at the recorded
    /// instance of the engine; written at a handover.
    #[serde(default)]
    pub doubt: bool,
}

/// Table item `pin/<pool>/<engine>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EnginePins {
    /// The only instance of the engine that orders may address; empty before
    /// the first.
    pub instance: Name,
    /// Pins by model.
    pub pins: BTreeMap<Name, PinRecord>,
}

/// Pins of a pool by engine.
pub type PoolPins = BTreeMap<Name, EnginePins>;

impl EnginePins {
    /// Returns the memory of all pins, MB.
    pub fn memory(&self) -> u64 {
        self.pins.values().map(|p| p.memory).sum()
    }

    /// Returns whether a report of `instance` proves that the recorded instance
    /// has ended. `learned_at` is when this daemon learned the recorded instance,
    /// `requested_at` when it requested the report; a report requested earlier may
    /// come from an instance before the recorded one.
    pub fn proves_restart(&self, learned_at: Moment, instance: &str, requested_at: Moment) -> bool {
        requested_at > learned_at && instance != self.instance.as_ref()
    }

    /// Returns the record for a new instance of the engine. Call only after
    /// [`EnginePins::proves_restart`] or with the first instance ever seen.
    /// Orders to an instance may be sent only after this record is committed
    /// on condition of the owner record: a superseded owner then never sends
    /// one to it, even if it has seen the instance.
    pub fn adopt(&self, instance: &Name) -> EnginePins {
        let mut next = self.clone();
        next.instance = instance.clone();
        for pin in next.pins.values_mut() {
            pin.doubt = false;
        }
        next
    }

    /// Returns the record with a pin added; call only after [`check_pin`].
    pub fn with_pin(&self, model: &Name, memory: u64, epoch: u64) -> EnginePins {
        let mut next = self.clone();
        let pin = PinRecord {
            memory,
            epoch,
            doubt: false,
        };
        next.pins.insert(model.clone(), pin);
        next
    }

    /// Returns the record without a pin; call only after
    /// [`PinRelease::allowed`].
    pub fn without_pin(&self, model: &str) -> EnginePins {
        let mut next = self.clone();
        next.pins.remove(model);
        next
    }

    /// Returns the pins that are in either record. They count against limits
    /// while a write from one record to the other has no answer.
    pub fn union(&self, other: &EnginePins) -> EnginePins {
        let mut next = self.clone();
        for (model, pin) in &other.pins {
            next.pins
                .entry(model.clone())
                .or_insert_with(|| pin.clone());
        }
        next
    }

    /// Returns the pins that are in both records. Only they may be loaded
    /// while a write from one record to the other has no answer.
    pub fn intersection(&self, other: &EnginePins) -> EnginePins {
        let mut next = self.clone();
        next.pins.retain(|model, _| other.pins.contains_key(model));
        next
    }

    /// Returns the record as a claimant inherits it at an engine that ignores
    /// tokens: without a clean handover every pin is in doubt.
    pub fn inherit(&self, clean: bool) -> EnginePins {
        let mut next = self.clone();
        for pin in next.pins.values_mut() {
            pin.doubt |= !clean;
        }
        next
    }
}

/// Pin to be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PinRequest<'a> {
    /// Model.
    pub model: &'a str,
    /// Engine.
    pub engine: &'a str,
    /// Memory of the model, MB.
    pub memory: u64,
    /// Replica limit of the model.
    pub limit: u32,
}

/// Memory and fencing of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EngineSpec {
    /// Memory for weights, MB.
    pub memory: u64,
    /// Whether the engine refuses orders with an old token.
    pub fenced: bool,
}

/// Reason why a pin may not be recorded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PinDenied {
    /// The model has all the pins that its limit allows.
    #[error("model {model} has {pins} pins of at most {limit}")]
    Limit {
        /// Model.
        model: Name,
        /// Number of pins of the model.
        pins: u32,
        /// Replica limit of the model.
        limit: u32,
    },
    /// The pins of the engine would exceed its memory.
    #[error("engine {engine} has {left} MB left to pin")]
    Memory {
        /// Engine.
        engine: Name,
        /// Unpinned memory, MB.
        left: u64,
    },
}

/// Checks whether a pin may be recorded. At an engine that ignores tokens all
/// pins together must fit its memory, so that a late order under any pin does
/// no harm; at one that honours them each pin must fit by itself.
pub fn check_pin(pool: &PoolPins, request: &PinRequest, spec: EngineSpec) -> Result<(), PinDenied> {
    let mut others = 0;
    for (name, record) in pool {
        if name.as_ref() != request.engine && record.pins.contains_key(request.model) {
            others += 1;
        }
    }
    if others >= request.limit {
        return Err(PinDenied::Limit {
            model: request.model.into(),
            pins: others,
            limit: request.limit,
        });
    }
    let pinned = match pool.get(request.engine) {
        Some(record) if !spec.fenced => record.without_pin(request.model).memory(),
        _ => 0,
    };
    let left = spec.memory.saturating_sub(pinned);
    if request.memory > left {
        return Err(PinDenied::Memory {
            engine: request.engine.into(),
            left,
        });
    }
    Ok(())
}

/// Facts that decide whether a pin may be removed.
#[derive(Clone, Copy, Debug)]
pub struct PinRelease<'a> {
    /// Model.
    pub model: &'a str,
    /// Whether the recorded instance has ended
    /// ([`EnginePins::proves_restart`]).
    pub restarted: bool,
    /// Whether the engine's host was removed from the platform's list.
    pub host_removed: bool,
    /// Orders to the recorded instance.
    pub ledger: &'a Ledger,
}

impl PinRelease<'_> {
    /// Returns whether no order under the pin can still take effect and the
    /// model is not loaded.
    pub fn allowed(&self) -> bool {
        self.restarted || self.host_removed || self.ledger.is_unloaded(self.model)
    }
}
