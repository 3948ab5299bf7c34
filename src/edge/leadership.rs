//! Who gives the orders to engines: a row in the store names the holder.
//!
//! A holder renews its row all the time. One that cannot renew it while another
//! daemon reaches the store offers the orders; with the store away from
//! everybody nobody can take over, and it goes on. A takeover is a conditional
//! write of the row, allowed once the holder has offered the orders or its row
//! stands still. The new holder's first order comes a lease after the last that
//! the one before it can have given while the store served it.
//!
//! Where engines refuse old fencing numbers, a holder that offered the orders
//! goes on until it hears that its successor gives them: whatever it orders
//! late is refused. Where they do not, it stops when it offers them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;

/// Period at which a holder renews its row.
pub const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Age of the last renewal at which a holder stops its orders.
const ORDER_LIMIT: Duration = Duration::from_millis(1_700);
/// Time over [`RENEW`] for which a row must stand still to show that its
/// holder does not renew it: a slow answer of the store.
const RENEWAL_SLACK: Duration = Duration::from_millis(450);
/// Delay between the attempts of candidates, so that one goes first.
const CANDIDATE_DELAY: Duration = Duration::from_millis(400);

/// Content of the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Host that holds the orders.
    pub host: Arc<str>,
    /// Lifetime of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Fencing number of the tenure.
    pub fence: u64,
    /// Number of the renewal.
    pub renewal: u64,
    /// Time from this writing until its first order, ms.
    #[serde(rename = "wait")]
    pub wait_ms: u64,
    /// The holder gave the orders up, this long after its last order, ms.
    #[serde(rename = "released")]
    pub released_ms: Option<u64>,
}

impl LeaderRecord {
    /// Whether both are the same writing; one that was repeated differs in the
    /// time that is left to wait.
    pub fn same(&self, other: &LeaderRecord) -> bool {
        let key = |r: &LeaderRecord| {
            (
                r.host.clone(),
                r.incarnation,
                r.fence,
                r.renewal,
                r.released_ms.is_some(),
            )
        };
        key(self) == key(other)
    }
}

/// The row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRow {
    /// Version; 0 when there is no row.
    pub version: u64,
    /// Content; absent when there is none or it cannot be read.
    pub record: Option<LeaderRecord>,
    /// Since when this version is known to stand.
    pub unchanged_since: Moment,
}

/// A tenure of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Content of its row.
    pub record: LeaderRecord,
    /// Version of the row.
    pub version: u64,
    /// First moment at which orders may go out.
    pub orders_from: Moment,
    /// When the last renewal that was done was sent.
    pub renewed_at: Moment,
    /// When the last order was given.
    pub last_order: Option<Moment>,
    /// When the renewal that is under way was first sent.
    pub renewal_sent: Option<Moment>,
}

/// What other daemons say, as far as it bears on a tenure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerReach {
    /// Others are heard.
    pub heard: bool,
    /// One of those heard is served by the store.
    pub served: bool,
}

impl Leadership {
    /// Whether this daemon may give an order at `now`. `fences` tells whether
    /// engines refuse old fencing numbers.
    pub fn may_order(&self, peers: PeerReach, fences: bool, now: Moment) -> bool {
        if now < self.orders_from {
            return false;
        }
        let fresh = now.saturating_sub(self.renewed_at) < ORDER_LIMIT;
        // A successor would be heard of.
        fresh || (fences && peers.heard)
    }

    /// Begins a renewal, or sends the last one again: the row's new content.
    pub fn begin_renewal(&mut self, now: Moment) -> LeaderRecord {
        self.renewal_sent.get_or_insert(now);
        LeaderRecord {
            renewal: self.record.renewal + 1,
            wait_ms: self.orders_from.saturating_sub(now).as_millis() as u64,
            ..self.record.clone()
        }
    }

    /// Notes that the row was renewed by a writing sent at `now`.
    pub fn record_renewal(&mut self, record: LeaderRecord, version: u64, now: Moment) {
        self.record = record;
        self.version = version;
        self.renewed_at = now;
        self.renewal_sent = None;
    }

    /// Notes that the row is found renewed: an earlier sending was done, and
    /// the row has stood still since then.
    pub fn confirm_renewal(&mut self, record: LeaderRecord, version: u64) {
        let since = self.renewal_sent.unwrap_or(self.renewed_at);
        self.record_renewal(record, version, since);
    }

    /// Whether it offers the orders to others: it cannot renew its row.
    pub fn is_offering(&self, peers: PeerReach, now: Moment) -> bool {
        let fresh = now.saturating_sub(self.renewed_at) < RENEW_PERIOD + RENEWAL_SLACK;
        peers.served && !fresh
    }

    /// Whether another tenure, whose first order comes after `wait`, ends this
    /// one.
    pub fn superseded_by(&self, fence: u64, wait: Duration, fences: bool) -> bool {
        fence > self.record.fence && (wait.is_zero() || !fences)
    }

    /// Time since the last order that a successor has to keep away from: the
    /// last one at all, or with fences the last that was given while the store
    /// served this host.
    pub fn since_last_order(&self, fences: bool, now: Moment) -> Duration {
        let last_order = self.last_order.unwrap_or(self.orders_from.min(now));
        let last = match fences {
            true => last_order.min(self.renewed_at + RENEW_PERIOD),
            false => last_order,
        };
        now.saturating_sub(last)
    }
}

/// What the holder says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderStatus {
    /// Nothing is heard of it.
    Silent,
    /// It holds the orders.
    Active,
    /// It offers them; the last order to keep away from was given before this
    /// moment.
    Offering(Moment),
}

/// What a candidate should do about the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Leave it.
    Wait,
    /// Write `record` under the condition of `version`.
    Acquire {
        /// Version that the row must have.
        version: u64,
        /// New content.
        record: LeaderRecord,
        /// First moment at which orders may go out.
        orders_from: Moment,
    },
}

/// This daemon as a candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Own host.
    pub host: Arc<str>,
    /// Lifetime of the own process.
    pub incarnation: u64,
    /// Place among the candidates.
    pub rank: u32,
    /// Least time between orders of two holders.
    pub lease: Duration,
    /// Whether engines refuse old fencing numbers.
    pub fences: bool,
}

impl Candidate {
    /// What to do, given the row and the word of the holder that it names.
    pub fn step(&self, seen: &ObservedRow, word: LeaderStatus, now: Moment) -> ElectionStep {
        let standing = now.saturating_sub(seen.unchanged_since);
        let (fence, after, orders_from) = match &seen.record {
            // A row that cannot be read names nobody; versions of the store
            // are above every fencing number.
            None => (seen.version + 1, Duration::ZERO, now),
            // The machine stays the same, so the engines see no turn; what it
            // had still to wait it waits again.
            Some(held) if held.host == self.host => {
                let orders_from = now + Duration::from_millis(held.wait_ms);
                (held.fence + 1, Duration::ZERO, orders_from)
            }
            Some(held) => {
                let (after, orders_from) = match (held.released_ms, word) {
                    (Some(ms), _) => {
                        let last_order = seen
                            .unchanged_since
                            .saturating_sub(Duration::from_millis(ms));
                        (Duration::ZERO, last_order + self.lease)
                    }
                    (None, LeaderStatus::Active) => return ElectionStep::Wait,
                    (None, LeaderStatus::Offering(last_order)) => {
                        (Duration::ZERO, last_order + self.lease)
                    }
                    (None, LeaderStatus::Silent) => {
                        // Behind fences only a holder that the store served
                        // counts, and it would have renewed its row.
                        let last = match self.fences {
                            true => RENEW_PERIOD,
                            false => ORDER_LIMIT,
                        };
                        (
                            RENEW_PERIOD + RENEWAL_SLACK,
                            seen.unchanged_since + last + self.lease,
                        )
                    }
                };
                (held.fence + 1, after, orders_from)
            }
        };
        let own = seen.record.as_ref().is_some_and(|r| r.host == self.host);
        let stagger = match own {
            true => Duration::ZERO,
            false => CANDIDATE_DELAY * self.rank,
        };
        if standing < after + stagger {
            return ElectionStep::Wait;
        }
        ElectionStep::Acquire {
            version: seen.version,
            record: LeaderRecord {
                host: self.host.clone(),
                incarnation: self.incarnation,
                fence,
                renewal: 0,
                wait_ms: orders_from.saturating_sub(now).as_millis() as u64,
                released_ms: None,
            },
            orders_from: orders_from.max(now),
        }
    }
}
