//! Caps of customers over all hosts.
//!
//! One host, the allocator, keeps a token bucket for each customer. Each request of a capped
//! customer is charged there once, before its first send. A host may spend a part of a bucket, its
//! room, before the allocator has answered. docs/design/customer-caps.md has the reasons.

mod account;
mod charging;
mod ledger;
pub mod notes;
pub mod packets;
mod round;

use std::sync::Arc;
use std::time::Duration;

pub use account::{Accounts, ChargeState};
pub use charging::ChargeGuard;
pub use ledger::Ledger;

use crate::edge::customers::Cap;
use crate::edge::permits::Rank;

/// What the platform allows beyond the caps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapRules {
    /// Window in which it counts.
    pub window: Duration,
    /// Part of what a cap allows in a window that may be used beyond it.
    pub excess: f64,
    /// Units that may be used beyond that.
    pub slack: f64,
}

impl CapRules {
    /// Returns the units that may be used beyond a cap in a window.
    pub fn allowance(&self, cap: &Cap) -> f64 {
        self.excess * (cap.rate * self.window.as_secs_f64() + cap.burst) + self.slack
    }
}

/// Units that a request uses of its customer's cap.
#[derive(Clone, Debug, PartialEq)]
pub struct Charge {
    /// Number at its host.
    pub number: u64,
    /// Customer.
    pub customer: Arc<str>,
    /// Units; negative if they are given back.
    pub units: f64,
    /// Rank of the request.
    pub rank: Rank,
    /// Time for which it can wait.
    pub patience: Duration,
    /// Whether the host has spent them.
    pub spent: bool,
}

/// The allocator's answer to a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The units are deducted.
    Granted,
    /// They will not be there in time; the caller may return after this time.
    Refused(Duration),
}
