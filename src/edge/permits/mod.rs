//! Permits to send requests to engines that have named a rate.
//!
//! The rate is one figure for all hosts together. Every host has an equal share of it, and lends
//! its share to the host that it follows, the allocator. The allocator grants single permits, to
//! the most urgent request of all hosts first, and refuses at once those that would wait too
//! long. A permit is spent at the first byte of its request.

mod allocator;
mod holder;
pub mod packets;
mod returns;
mod round;

use std::sync::Arc;
use std::time::Duration;

pub use allocator::{Allocator, Applicant};
pub use holder::{PermitGuard, PermitState, Permits, REPEAT_PERIOD};
pub use returns::Returns;
pub use round::Allocation;

/// Fractional parts of its multiples are spread evenly, whatever their number (golden ratio).
const SPREAD_STEP: f64 = 0.618_033_988_75;

/// How urgently a request needs a permit; the lowest comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u32);

impl Rank {
    /// Rank of a request whose caller has a part of the answer, or that has been at an engine.
    pub const GOES_ON: Rank = Rank(0);

    /// Returns the rank of a new request of this priority, where 0 is the highest.
    pub fn new_request(priority: u8) -> Self {
        Rank(1 + u32::from(priority))
    }

    /// Converts from the number in a datagram.
    pub fn from_number(number: u32) -> Self {
        Rank(number)
    }

    /// Returns the number for a datagram.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// A host's application for one permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Application {
    /// Number at its host.
    pub number: u64,
    /// Engines of which any will do.
    pub engines: Vec<Arc<str>>,
    /// Rank of the request.
    pub rank: Rank,
    /// Time for which it can wait for the permit.
    pub patience: Duration,
}

/// Returns the most urgent applications, `limit` at most.
fn most_urgent(mut all: Vec<Application>, limit: usize) -> Vec<Application> {
    all.sort_by_key(|a| (a.rank, a.patience, a.number));
    all.truncate(limit);
    all
}

/// Returns a value from 0 to 1; those of successive numbers are spread evenly.
pub(super) fn spread(number: u64) -> f64 {
    (number as f64 * SPREAD_STEP).fract()
}

/// The allocator's decision on an application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// One request may be sent to this engine.
    Granted(Arc<str>),
    /// No permit will be there in time; the caller may return after this time.
    Refused(Duration),
}
