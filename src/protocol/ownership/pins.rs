//! Recorded permissions to load a model on an engine.

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
    /// An order under this pin may still take effect at the recorded
    /// instance of the engine; written at a handover.
    #[serde(default)]
    pub doubt: bool,
}

/// Content of `pin/<pool>/<engine>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EnginePins {
    /// The only instance of the engine that orders may be meant for; empty
    /// before the first.
    pub instance: Name,
    /// Pins by model.
    pub pins: BTreeMap<Name, PinRecord>,
}

/// Pins of a pool by engine.
pub type PoolPins = BTreeMap<Name, EnginePins>;

impl EnginePins {
    /// Memory of all pins, MB.
    pub fn memory(&self) -> u64 {
        self.pins.values().map(|p| p.memory).sum()
    }

    /// Whether a report proves that the recorded instance has ended. `known` is
    /// when this daemon learnt the recorded instance, `asked` when it began to
    /// ask for the report; one asked for earlier may come from an instance
    /// before the recorded one.
    pub fn proves_restart(&self, known: Moment, seen: &str, asked: Moment) -> bool {
        asked > known && seen != self.instance.as_ref()
    }

    /// The record for a new instance of the engine; call only after
    /// [`EnginePins::proves_restart`] or with the first instance ever seen. No order may be sent to an
    /// instance before this is committed under the check of the owner record:
    /// a superseded owner then never reaches it, whatever it sees of it.
    pub fn adopt(&self, instance: &Name) -> EnginePins {
        let mut next = self.clone();
        next.instance = instance.clone();
        for pin in next.pins.values_mut() {
            pin.doubt = false;
        }
        next
    }

    /// The record with a pin added; call only after [`check_pin`].
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

    /// The record without a pin; call only after [`PinRelease::allowed`].
    pub fn without_pin(&self, model: &str) -> EnginePins {
        let mut next = self.clone();
        next.pins.remove(model);
        next
    }

    /// Pins in this or the other record: what counts against limits while a
    /// write that turns one into the other has no answer.
    pub fn union(&self, other: &EnginePins) -> EnginePins {
        let mut next = self.clone();
        for (model, pin) in &other.pins {
            next.pins
                .entry(model.clone())
                .or_insert_with(|| pin.clone());
        }
        next
    }

    /// Pins in both records: what may be loaded while a write that turns one
    /// into the other has no answer.
    pub fn intersection(&self, other: &EnginePins) -> EnginePins {
        let mut next = self.clone();
        next.pins.retain(|model, _| other.pins.contains_key(model));
        next
    }

    /// The record as a claimant takes it over at an engine that ignores
    /// tokens: without a clean handover every pin is in doubt.
    pub fn inherit(&self, clean: bool) -> EnginePins {
        let mut next = self.clone();
        for pin in next.pins.values_mut() {
            pin.doubt |= !clean;
        }
        next
    }
}

/// What a new pin asks for.
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

/// What the engine has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EngineSpec {
    /// Memory for weights, MB.
    pub memory: u64,
    /// It refuses orders with an old token.
    pub fenced: bool,
}

/// Why a pin may not be recorded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PinDenied {
    /// The model has all the pins that its limit allows.
    #[error("model {model} has {pins} pins of at most {limit}")]
    Limit {
        /// Model.
        model: Name,
        /// Pins that it has.
        pins: u32,
        /// Its replica limit.
        limit: u32,
    },
    /// The pins of the engine would exceed what it holds.
    #[error("engine {engine} has {left} MB left to pin")]
    Memory {
        /// Engine.
        engine: Name,
        /// Unpinned memory, MB.
        left: u64,
    },
}

/// Whether a pin may be recorded. At an engine that ignores tokens all pins
/// fit its memory together, so that every order under any pin is harmless; at
/// one that honours them each pin alone must fit.
pub fn check_pin(
    pool: &PoolPins,
    request: &PinRequest,
    engine: EngineSpec,
) -> Result<(), PinDenied> {
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
        Some(record) if !engine.fenced => record.without_pin(request.model).memory(),
        _ => 0,
    };
    let left = engine.memory.saturating_sub(pinned);
    if request.memory > left {
        return Err(PinDenied::Memory {
            engine: request.engine.into(),
            left,
        });
    }
    Ok(())
}

/// What is known about a pin that is to be removed.
#[derive(Clone, Copy, Debug)]
pub struct PinRelease<'a> {
    /// Model.
    pub model: &'a str,
    /// The recorded instance has ended ([`EnginePins::proves_restart`]).
    pub restarted: bool,
    /// The platform's list has dropped the engine's host.
    pub host_removed: bool,
    /// Orders to the recorded instance.
    pub ledger: &'a Ledger,
}

impl PinRelease<'_> {
    /// Whether no order under the pin can still take effect and the model is
    /// not loaded.
    pub fn allowed(&self) -> bool {
        self.restarted || self.host_removed || self.ledger.is_unloaded(self.model)
    }
}
