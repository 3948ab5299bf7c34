//! Leadership: which daemon sends orders to the engines. A row in the store names
//! the leader.
//!
//! The leader renews its row periodically. When it cannot renew the row while
//! another daemon reaches the store, it offers the leadership. When no daemon
//! reaches the store, none can take over, and the leader continues. A takeover is a
//! conditional write of the row, allowed once the leader offers the leadership or
//! the row has not changed for longer than the renewal period. The new leader sends
//! its first order one lease after the last order that its predecessor can have sent
//! while the store served it.
//!
//! The store may come back from an older copy, in a new era. Fencing numbers of a later era are
//! higher than all of an earlier one, and a row of an earlier era, or none, says nothing of who
//! leads now. The leader then writes its row again under a new number; a candidate waits as for
//! a silent leader.
//!
//! Where engines refuse old fencing numbers, a leader that offers the leadership
//! continues until it hears that its successor sends orders: its late orders are
//! refused. Where engines do not, it stops when it offers the leadership.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;

/// Period at which the leader renews its row.
pub const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Age of the last renewal at which a leader stops sending orders.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(1_700);
/// Time over [`RENEW_PERIOD`] without a change after which a row counts as not
/// renewed; covers a slow answer of the store.
const RENEWAL_SLACK: Duration = Duration::from_millis(450);
/// Delay between the takeover attempts of candidates of successive rank, so that
/// one goes first.
const CANDIDATE_DELAY: Duration = Duration::from_millis(400);

/// Number of fencing numbers of each era of the store; more than can be used up.
pub const FENCES_PER_ERA: u64 = 1 << 32;

/// Era of a store that has never come back from an older copy.
const FIRST_ERA: u64 = 1;

/// Era of the store, as a daemon knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreEra {
    /// Its number; 0 if the store names none.
    pub number: u64,
    /// Since when it is known; absent if no other was known before.
    pub since: Option<Moment>,
}

impl StoreEra {
    /// Returns the lowest fencing number of the era.
    pub fn min_fence(&self) -> u64 {
        self.number.saturating_mul(FENCES_PER_ERA)
    }
}

/// Content of the leader's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Host of the leader.
    pub host: Arc<str>,
    /// Incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Fencing number of the leadership.
    pub fence: u64,
    /// Number of renewals so far.
    pub renewal: u64,
    /// Time from this write until the leader's first order, ms.
    #[serde(rename = "wait")]
    pub wait_ms: u64,
    /// Time from the last order to the release of the leadership, ms; absent
    /// before the release.
    #[serde(rename = "released")]
    pub released_ms: Option<u64>,
}

impl LeaderRecord {
    /// Returns whether both are the same write; a repeated write differs in
    /// `wait_ms`.
    pub fn is_same_write(&self, other: &LeaderRecord) -> bool {
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

/// The leader's row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRow {
    /// Version; 0 when there is no row.
    pub version: u64,
    /// Content; absent when there is none or it cannot be read.
    pub record: Option<LeaderRecord>,
    /// Earliest moment since which this version is known to be unchanged.
    pub unchanged_since: Moment,
}

/// A leadership of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Content of the row.
    pub record: LeaderRecord,
    /// Version of the row.
    pub version: u64,
    /// Earliest moment at which orders may be sent.
    pub orders_from: Moment,
    /// When the last successful renewal was sent.
    pub renewed_at: Moment,
    /// When the last order was sent.
    pub last_order: Option<Moment>,
    /// When the pending renewal was first sent.
    pub renewal_sent: Option<Moment>,
}

/// Reachability of the other daemons, and of the store from them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerReach {
    /// Whether other daemons are heard.
    pub heard: bool,
    /// Whether the store serves one of those heard.
    pub served: bool,
}

impl Leadership {
    /// Returns whether this daemon may send an order at `now`. `fences` tells
    /// whether engines refuse old fencing numbers.
    pub fn may_order(&self, peers: PeerReach, fences: bool, now: Moment) -> bool {
        if now < self.orders_from {
            return false;
        }
        let fresh = now.saturating_sub(self.renewed_at) < MAX_RENEWAL_AGE;
        // Engines refuse orders of a superseded leader, and a successor would be heard.
        fresh || (fences && peers.heard)
    }

    /// Starts a renewal, or repeats the pending one; returns the row's new content.
    pub fn begin_renewal(&mut self, now: Moment) -> LeaderRecord {
        self.renewal_sent.get_or_insert(now);
        LeaderRecord {
            renewal: self.record.renewal + 1,
            wait_ms: self.orders_from.saturating_sub(now).as_millis() as u64,
            ..self.record.clone()
        }
    }

    /// Records a renewal by a write that was sent at `now`.
    pub fn record_renewal(&mut self, record: LeaderRecord, version: u64, now: Moment) {
        self.record = record;
        self.version = version;
        self.renewed_at = now;
        self.renewal_sent = None;
    }

    /// Records a renewal by an earlier write whose answer was lost: the row has
    /// been unchanged since that write was sent.
    pub fn confirm_renewal(&mut self, record: LeaderRecord, version: u64) {
        let since = self.renewal_sent.unwrap_or(self.renewed_at);
        self.record_renewal(record, version, since);
    }

    /// Returns whether it offers the leadership: it cannot renew its row while the
    /// store serves another daemon.
    pub fn is_offering(&self, peers: PeerReach, now: Moment) -> bool {
        let fresh = now.saturating_sub(self.renewed_at) < RENEW_PERIOD + RENEWAL_SLACK;
        peers.served && !fresh
    }

    /// Returns whether the row was written in an earlier era of the store, so that it may be
    /// lost.
    pub fn is_earlier(&self, era: &StoreEra) -> bool {
        self.record.fence < era.min_fence()
    }

    /// Returns the content with which the leader writes its row again in a new era, given that
    /// it now is `row`; `None` if another daemon has taken over in that era.
    pub fn retake(
        &self,
        row: Option<&LeaderRecord>,
        era: &StoreEra,
        now: Moment,
    ) -> Option<LeaderRecord> {
        let taken_over = row.is_some_and(|r| r.fence >= era.min_fence());
        let record = LeaderRecord {
            fence: era.min_fence().max(self.record.fence + 1),
            renewal: 0,
            wait_ms: self.orders_from.saturating_sub(now).as_millis() as u64,
            ..self.record.clone()
        };
        (!taken_over).then_some(record)
    }

    /// Returns whether a leadership with number `fence`, whose first order comes
    /// after `wait`, ends this one.
    pub fn superseded_by(&self, fence: u64, wait: Duration, fences: bool) -> bool {
        fence > self.record.fence && (wait.is_zero() || !fences)
    }

    /// Returns the time since the order from which a successor counts the lease:
    /// the last order, or with fences the last one that was sent while the store
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

/// What is heard from the leader that the row names, or from any if it names none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderStatus {
    /// Nothing is heard from it.
    Silent,
    /// It is the leader.
    Active,
    /// It offers the leadership; a successor counts the lease from this moment, see
    /// [`Leadership::since_last_order`].
    Offering(Moment),
}

/// Next step of a candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Leave the row unchanged.
    Wait,
    /// Write `record` on condition that the row has `version`.
    Acquire {
        /// Expected version of the row.
        version: u64,
        /// New content.
        record: LeaderRecord,
        /// Earliest moment at which orders may be sent.
        orders_from: Moment,
    },
}

/// This daemon as a candidate for the leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// This host.
    pub host: Arc<str>,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Rank among the candidates.
    pub rank: u32,
    /// Minimum time between the orders of two leaders.
    pub lease: Duration,
    /// Whether engines refuse old fencing numbers.
    pub fences: bool,
    /// Era of the store.
    pub era: StoreEra,
}

impl Candidate {
    /// Returns the next step, given the row and the status of the leader that it
    /// names.
    pub fn next_step(&self, row: &ObservedRow, status: LeaderStatus, now: Moment) -> ElectionStep {
        let unchanged_for = now.saturating_sub(row.unchanged_since);
        let min_fence = self.era.min_fence();
        let is_earlier = |r: &LeaderRecord| r.fence < min_fence;
        let is_lost = match &row.record {
            Some(record) => is_earlier(record),
            None => self.era.since.is_some() || self.era.number > FIRST_ERA,
        };
        let (fence, min_unchanged, orders_from) = match &row.record {
            _ if is_lost && status == LeaderStatus::Active => return ElectionStep::Wait,
            // Whoever led in the earlier era may not have seen the new one yet.
            _ if is_lost => (
                min_fence,
                RENEW_PERIOD + RENEWAL_SLACK,
                row.unchanged_since + MAX_RENEWAL_AGE + self.lease,
            ),
            None if status == LeaderStatus::Active => return ElectionStep::Wait,
            // An unreadable row names no leader. Versions of the store are
            // higher than every fencing number.
            None => (row.version + 1, Duration::ZERO, now),
            // The host stays the same, so for the engines the leader does not
            // change. It waits again for the time that was left to wait.
            Some(current) if current.host == self.host => {
                let orders_from = now + Duration::from_millis(current.wait_ms);
                (current.fence + 1, Duration::ZERO, orders_from)
            }
            Some(current) => {
                let (min_unchanged, orders_from) = match (current.released_ms, status) {
                    (Some(ms), _) => {
                        let last_order = row
                            .unchanged_since
                            .saturating_sub(Duration::from_millis(ms));
                        (Duration::ZERO, last_order + self.lease)
                    }
                    (None, LeaderStatus::Active) => return ElectionStep::Wait,
                    (None, LeaderStatus::Offering(last_order)) => {
                        (Duration::ZERO, last_order + self.lease)
                    }
                    (None, LeaderStatus::Silent) => {
                        // With fences, only orders sent while the store served
                        // the leader count, and it renewed its row then.
                        let last = match self.fences {
                            true => RENEW_PERIOD,
                            false => MAX_RENEWAL_AGE,
                        };
                        (
                            RENEW_PERIOD + RENEWAL_SLACK,
                            row.unchanged_since + last + self.lease,
                        )
                    }
                };
                (current.fence + 1, min_unchanged, orders_from)
            }
        };
        let fence = fence.max(min_fence);
        let own = row.record.as_ref().is_some_and(|r| r.host == self.host);
        let delay = match own {
            true => Duration::ZERO,
            false => CANDIDATE_DELAY * self.rank,
        };
        if unchanged_for < min_unchanged + delay {
            return ElectionStep::Wait;
        }
        ElectionStep::Acquire {
            version: row.version,
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
