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
pub const RENEW: Duration = Duration::from_millis(1_000);
/// Age of the last renewal at which a holder stops its orders.
const RENEWED: Duration = Duration::from_millis(1_700);
/// Time over [`RENEW`] for which a row must stand still to show that its
/// holder does not renew it: a slow answer of the store.
const STANDING: Duration = Duration::from_millis(450);
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
    /// Number of the renewal.
    pub renewal: u64,
    /// Time from this writing until its first order, ms.
    pub wait: u64,
    /// The holder gave the orders up, this long after its last order, ms.
    pub released: Option<u64>,
}

impl Record {
    /// Whether both are the same writing; one that was repeated differs in the
    /// time that is left to wait.
    pub fn same(&self, other: &Record) -> bool {
        let key = |r: &Record| {
            (
                r.host.clone(),
                r.life,
                r.fence,
                r.renewal,
                r.released.is_some(),
            )
        };
        key(self) == key(other)
    }
}

/// The row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Version; 0 when there is no row.
    pub version: u64,
    /// Content; absent when there is none or it cannot be read.
    pub record: Option<Record>,
    /// Since when this version is known to stand.
    pub since: Moment,
}

/// A tenure of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Content of its row.
    pub record: Record,
    /// Version of the row.
    pub version: u64,
    /// First moment at which orders may go out.
    pub from: Moment,
    /// When the last renewal that was done was sent.
    pub renewed: Moment,
    /// When the last order was given.
    pub ordered: Option<Moment>,
    /// When the renewal that is under way was first sent.
    pub sent: Option<Moment>,
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
        let fresh = now.saturating_sub(self.renewed) < RENEWED;
        // A successor would be heard of.
        fresh || (fences && peers.heard)
    }

    /// Begins a renewal, or sends the last one again: the row's new content.
    pub fn renew(&mut self, now: Moment) -> Record {
        self.sent.get_or_insert(now);
        Record {
            renewal: self.record.renewal + 1,
            wait: self.from.saturating_sub(now).as_millis() as u64,
            ..self.record.clone()
        }
    }

    /// Notes that the row was renewed by a writing sent at `now`.
    pub fn renewed(&mut self, record: Record, version: u64, now: Moment) {
        self.record = record;
        self.version = version;
        self.renewed = now;
        self.sent = None;
    }

    /// Notes that the row is found renewed: an earlier sending was done, and
    /// the row has stood still since then.
    pub fn found(&mut self, record: Record, version: u64) {
        let since = self.sent.unwrap_or(self.renewed);
        self.renewed(record, version, since);
    }

    /// Whether it offers the orders to others: it cannot renew its row.
    pub fn offers(&self, peers: Peers, now: Moment) -> bool {
        let fresh = now.saturating_sub(self.renewed) < RENEW + STANDING;
        peers.served && !fresh
    }

    /// Whether another tenure, whose first order comes after `wait`, ends this
    /// one.
    pub fn ended_by(&self, fence: u64, wait: Duration, fences: bool) -> bool {
        fence > self.record.fence && (wait.is_zero() || !fences)
    }

    /// Time since the last order that a successor has to keep away from: the
    /// last one at all, or with fences the last that was given while the store
    /// served this host.
    pub fn idle(&self, fences: bool, now: Moment) -> Duration {
        let ordered = self.ordered.unwrap_or(self.from.min(now));
        let last = match fences {
            true => ordered.min(self.renewed + RENEW),
            false => ordered,
        };
        now.saturating_sub(last)
    }
}

/// What the holder says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Nothing is heard of it.
    Silent,
    /// It holds the orders.
    Holds,
    /// It offers them; the last order to keep away from was given before this
    /// moment.
    Offers(Moment),
}

/// What a candidate should do about the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Leave it.
    Wait,
    /// Write `record` under the condition of `version`.
    Take {
        /// Version that the row must have.
        version: u64,
        /// New content.
        record: Record,
        /// First moment at which orders may go out.
        from: Moment,
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
    /// Whether engines refuse old fencing numbers.
    pub fences: bool,
}

impl Candidate {
    /// What to do, given the row and the word of the holder that it names.
    pub fn step(&self, seen: &Seen, word: Word, now: Moment) -> Step {
        let standing = now.saturating_sub(seen.since);
        let (fence, after, from) = match &seen.record {
            // A row that cannot be read names nobody; versions of the store
            // are above every fencing number.
            None => (seen.version + 1, Duration::ZERO, now),
            // The machine stays the same, so the engines see no turn; what it
            // had still to wait it waits again.
            Some(held) if held.host == self.host => {
                let from = now + Duration::from_millis(held.wait);
                (held.fence + 1, Duration::ZERO, from)
            }
            Some(held) => {
                let (after, from) = match (held.released, word) {
                    (Some(ms), _) => {
                        let ordered = seen.since.saturating_sub(Duration::from_millis(ms));
                        (Duration::ZERO, ordered + self.lease)
                    }
                    (None, Word::Holds) => return Step::Wait,
                    (None, Word::Offers(ordered)) => (Duration::ZERO, ordered + self.lease),
                    (None, Word::Silent) => {
                        // Behind fences only a holder that the store served
                        // counts, and it would have renewed its row.
                        let last = match self.fences {
                            true => RENEW,
                            false => RENEWED,
                        };
                        (RENEW + STANDING, seen.since + last + self.lease)
                    }
                };
                (held.fence + 1, after, from)
            }
        };
        let own = seen.record.as_ref().is_some_and(|r| r.host == self.host);
        let stagger = match own {
            true => Duration::ZERO,
            false => STAGGER * self.rank,
        };
        if standing < after + stagger {
            return Step::Wait;
        }
        Step::Take {
            version: seen.version,
            record: Record {
                host: self.host.clone(),
                life: self.life,
                fence,
                renewal: 0,
                wait: from.saturating_sub(now).as_millis() as u64,
                released: None,
            },
            from: from.max(now),
        }
    }
}
