//! Who gives the orders to engines: a row in the store names the holder.
//!
//! A takeover is a conditional write of that row. The new holder waits until
//! the one before it has certainly stopped; that one stops when it can no
//! longer confirm its row, unless the store is away for every daemon it hears,
//! as nobody can take over then.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;

/// Period at which a holder confirms its row.
pub const CONFIRM: Duration = Duration::from_millis(1_000);
/// Age of the last confirmation at which a holder stops its orders.
const CONFIRMED: Duration = Duration::from_millis(1_700);
/// Delay between the attempts of candidates, so that one goes first.
const STAGGER: Duration = Duration::from_millis(400);

/// Content of the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Host that holds the orders.
    pub host: Arc<str>,
    /// Lifetime of its process.
    pub life: u64,
    /// Fencing number of the tenure.
    pub fence: u64,
    /// The holder gave the orders up by itself and has stopped.
    pub released: bool,
}

/// The row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Version; 0 when there is no row.
    pub version: u64,
    /// Content; absent when there is none or it cannot be read.
    pub record: Option<Record>,
    /// When this version was first seen.
    pub since: Moment,
}

/// A tenure of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing number.
    pub fence: u64,
    /// Version of the row that proves it.
    pub version: u64,
    /// First moment at which orders may go out.
    pub from: Moment,
    /// When the row was last confirmed; the moment before that call was sent.
    pub confirmed: Moment,
}

/// What other daemons say, as far as it bears on a tenure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Others are heard.
    pub heard: bool,
    /// One of those heard is served by the store.
    pub served: bool,
}

impl Tenure {
    /// Whether this daemon may give an order at `now`. `fences` tells whether
    /// engines refuse old fencing numbers.
    pub fn may_order(&self, peers: Peers, fences: bool, now: Moment) -> bool {
        if now < self.from {
            return false;
        }
        let fresh = now.saturating_sub(self.confirmed) < CONFIRMED;
        // With the store away from everybody the row cannot change.
        let alone = fences && peers.heard && !peers.served;
        fresh || alone
    }
}

/// What a candidate should do about the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Leave it.
    Wait,
    /// Write `record` under the condition of `version`; orders may start
    /// `pause` after that.
    Take {
        /// Version that the row must have.
        version: u64,
        /// New content.
        record: Record,
        /// Time until the first order.
        pause: Duration,
    },
}

/// This daemon as a candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Own host.
    pub host: Arc<str>,
    /// Lifetime of the own process.
    pub life: u64,
    /// Place among the candidates.
    pub rank: u32,
    /// Least time between orders of two holders.
    pub lease: Duration,
}

impl Candidate {
    /// What to do, given the row and whether its holder was heard within the
    /// time of a lease.
    pub fn step(&self, seen: &Seen, heard: bool, now: Moment) -> Step {
        let record = |fence| Record {
            host: self.host.clone(),
            life: self.life,
            fence,
            released: false,
        };
        let standing = now.saturating_sub(seen.since);
        let Some(held) = &seen.record else {
            // A row that cannot be read is replaced as well; it names nobody.
            return self.take(
                seen,
                record(seen.version + 1),
                Duration::ZERO,
                standing,
                Duration::ZERO,
            );
        };
        let next = record(held.fence + 1);
        if held.host == self.host {
            // The machine stays the same, so the engines see no turn.
            return self.take(seen, next, Duration::ZERO, standing, Duration::ZERO);
        }
        if held.released {
            return self.take(seen, next, self.lease, standing, Duration::ZERO);
        }
        if heard {
            return Step::Wait;
        }
        // The holder confirms its row all the time it gives orders.
        let pause = CONFIRMED + self.lease;
        self.take(seen, next, pause, standing, self.lease)
    }

    fn take(
        &self,
        seen: &Seen,
        record: Record,
        pause: Duration,
        standing: Duration,
        after: Duration,
    ) -> Step {
        if standing < after + STAGGER * self.rank {
            return Step::Wait;
        }
        Step::Take {
            version: seen.version,
            record,
            pause,
        }
    }
}
