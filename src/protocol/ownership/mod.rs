//! Ownership of a pool: the right to order loads and unloads at its engines.
//!
//! The table holds one [`OwnerRecord`] per pool and one [`EnginePins`] per
//! engine. Each write of an [`EnginePins`] also checks the version of the
//! [`OwnerRecord`], so that only the recorded owner changes pins. A
//! [`Ledger`] tracks the orders that the owner sent to one engine and the
//! models loaded there.

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

/// Incarnation of a daemon that may own pools.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Host of the daemon.
    pub host: Name,
    /// Incarnation number, new with every start of the daemon.
    pub incarnation: u64,
}

/// Table item `pool/<pool>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Current owner; none after a handover.
    pub owner: Option<Owner>,
    /// Epoch of the owner; increases by one with each claim.
    pub epoch: u64,
    /// Whether the last owner had no order in flight when it handed the pool
    /// over.
    pub clean: bool,
}

impl OwnerRecord {
    /// Returns whether `me` owns the pool. A claim whose answer was lost is
    /// read back and checked with this.
    pub fn is_owned_by(&self, me: &Owner) -> bool {
        self.owner.as_ref() == Some(me)
    }
}

/// Returns the record that `claimant` writes to claim the pool, on condition
/// that the item still has the version of `record` (absent for `None`).
///
/// No claim is refused: whether another owner is alive only decides when a
/// daemon tries to claim.
pub fn claim(record: Option<&OwnerRecord>, claimant: &Owner) -> OwnerRecord {
    OwnerRecord {
        owner: Some(claimant.clone()),
        epoch: record.map_or(0, |r| r.epoch) + 1,
        clean: false,
    }
}

/// Returns whether a claimant of `record` inherits pins under which no previous
/// owner has an order in flight or may still send one.
pub fn inherits_clean(record: Option<&OwnerRecord>) -> bool {
    record.is_none_or(|r| r.clean && r.owner.is_none())
}

/// Returns the record that hands the pool over.
///
/// Before this write the owner stops sending orders and waits until none is in
/// flight ([`Ledger::is_idle`]). It never resumes, not even if the write fails
/// or gets no answer. The doubts of its ledgers
/// ([`Ledger::with_doubts`]) are written in the same transaction.
pub fn handover(record: &OwnerRecord) -> OwnerRecord {
    OwnerRecord {
        owner: None,
        epoch: record.epoch,
        clean: true,
    }
}
