//! Who may order loads and unloads at the engines of a pool.
//!
//! The table holds one [`OwnerRecord`] a pool and one [`EnginePins`] an
//! engine. Each write of an [`EnginePins`] also checks the version of the
//! [`OwnerRecord`], so that only the recorded owner changes pins. A
//! [`Ledger`] holds what the owner sent to one engine and what it knows of it.

mod ledger;
mod order;
mod pins;
mod token;

use serde::{Deserialize, Serialize};

use crate::config::Name;

pub use ledger::Ledger;
pub use order::{Grant, OrderDenied, OrderOutcome, Recorded, ResidentModels, Sent};
pub use pins::{
    EnginePins, EngineSpec, PinDenied, PinRecord, PinRelease, PinRequest, PoolPins, check_pin,
};
pub use token::{FencingToken, SEQ_BITS};

/// One run of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Name of its host.
    pub host: Name,
    /// Incarnation of the daemon; new with every start.
    pub incarnation: u64,
}

/// Content of `pool/<pool>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Present owner; none after a handover.
    pub owner: Option<Owner>,
    /// Raised by one with each claim.
    pub epoch: u64,
    /// The last owner had no order in flight when it gave the pool up.
    pub clean: bool,
}

impl OwnerRecord {
    /// Whether `me` holds the pool; the question asked on reading back a
    /// claim whose answer was lost.
    pub fn is_owned_by(&self, me: &Owner) -> bool {
        self.owner.as_ref() == Some(me)
    }
}

/// The record that `me` writes to claim the pool, with the condition that the
/// item still has the version of `record` (absent for `None`).
///
/// The claim is refused to nobody: whether another owner is alive decides
/// only when a daemon tries.
pub fn claim(record: Option<&OwnerRecord>, claimant: &Owner) -> OwnerRecord {
    OwnerRecord {
        owner: Some(claimant.clone()),
        epoch: record.map_or(0, |r| r.epoch) + 1,
        clean: false,
    }
}

/// Whether the pins that a claimant of `record` inherits are free of orders
/// that its predecessors may still send or have in flight.
pub fn inherits_clean(record: Option<&OwnerRecord>) -> bool {
    record.is_none_or(|r| r.clean && r.owner.is_none())
}

/// The record that gives the pool up.
///
/// The owner sends no order from before this write on, whatever its answer,
/// and waits until none is in flight ([`Ledger::is_idle`]); the doubts of its
/// ledgers ([`Ledger::with_doubts`]) are written in the same transaction.
pub fn handover(record: &OwnerRecord) -> OwnerRecord {
    OwnerRecord {
        owner: None,
        epoch: record.epoch,
        clean: true,
    }
}
