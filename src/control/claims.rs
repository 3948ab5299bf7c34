//! Which daemon owns each pool: claims, losses and handovers.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::pool::{Claimed, PinWrite, Pool};
use crate::protocol::ownership::Owner;

use super::event::TableEnd;
use super::{Act, Control};

/// Wait of each further candidate before it tries to claim.
const STAGGER: Duration = Duration::from_millis(300);
/// Time after its start before a daemon takes a pool from a recorded owner:
/// until then it cannot tell that the owner is not alive.
const GRACE: Duration = Duration::from_secs(3);
/// Pause between two tries of one candidate.
const PAUSE: Duration = Duration::from_millis(500);

/// What this daemon knows of the owner of a pool.
#[derive(Debug)]
pub enum Seat {
    /// Another daemon owns the pool, or none does.
    Elsewhere {
        /// Owner, if known.
        owner: Option<Owner>,
        /// Its epoch.
        epoch: u64,
        /// No claim before this moment; `None` while the owner is alive.
        due: Option<Moment>,
    },
    /// A claim is under way.
    Claiming {
        /// Highest epoch seen.
        epoch: u64,
    },
    /// This daemon owns the pool.
    Held(Box<Pool>),
    /// The handover is being written.
    Releasing,
}

impl Seat {
    fn vacant(epoch: u64, due: Moment) -> Self {
        Seat::Elsewhere {
            owner: None,
            epoch,
            due: Some(due),
        }
    }
}

impl Control {
    /// Tries to claim pools whose owner is not alive.
    pub(super) fn seek_claims(&mut self, now: Moment) {
        self.add_seats(now);
        self.release_pools(now);
        if self.leaving {
            return;
        }
        let alive = self.members.alive_incarnations(now);
        let names: Vec<Name> = self.seats.keys().cloned().collect();
        for name in names {
            let rank = self.members.rank(&name, now);
            self.seek(&name, &alive, rank, now);
        }
    }

    fn add_seats(&mut self, now: Moment) {
        let config = self.config.clone();
        for engine in config.engines.values() {
            if !self.seats.contains_key(&engine.pool) {
                self.seats.insert(engine.pool.clone(), Seat::vacant(0, now));
            }
        }
    }

    fn seek(&mut self, name: &Name, alive: &[Owner], rank: Option<usize>, now: Moment) {
        let Some(Seat::Elsewhere { owner, epoch, due }) = self.seats.get_mut(name) else {
            return;
        };
        if owner.as_ref().is_some_and(|o| alive.contains(o)) {
            *due = None;
            return;
        }
        let Some(rank) = rank else {
            return;
        };
        let moment = *due.get_or_insert(now + STAGGER * rank as u32);
        if now < moment {
            return;
        }
        let epoch = *epoch;
        self.seats.insert(name.clone(), Seat::Claiming { epoch });
        self.acts.push(Act::Claim {
            pool: name.clone(),
            alive: alive.to_vec(),
            take: now >= self.started + GRACE,
        });
    }

    /// Takes the end of a job at the table.
    pub(super) fn table_end(&mut self, end: TableEnd, now: Moment) {
        self.table = !matches!(end, TableEnd::Failed { .. });
        match end {
            TableEnd::Claimed { pool, claimed } => self.claimed(&pool, claimed, now),
            TableEnd::Owned { pool, record } => {
                let epoch = record.epoch;
                if !matches!(self.seats.get(&pool), Some(Seat::Claiming { .. })) {
                    return;
                }
                let due = Some(now + PAUSE);
                let owner = record.owner;
                self.seats
                    .insert(pool.clone(), Seat::Elsewhere { owner, epoch, due });
                self.send_tickets(&pool, now);
            }
            TableEnd::Failed { pool } => {
                if let Some(Seat::Claiming { epoch }) = self.seats.get(&pool) {
                    let seat = Seat::vacant(*epoch, now + PAUSE);
                    self.seats.insert(pool, seat);
                }
            }
            TableEnd::Written {
                pool,
                epoch,
                writes,
                versions,
            } => self.written(&pool, epoch, writes, versions, now),
            TableEnd::Lost { pool, epoch } => self.lost(&pool, epoch, now),
            TableEnd::Released { pool } => {
                let seat = Seat::vacant(0, now + PAUSE);
                self.seats.insert(pool, seat);
            }
        }
    }

    fn claimed(&mut self, name: &Name, claimed: Claimed, now: Moment) {
        if !matches!(self.seats.get(name), Some(Seat::Claiming { .. })) {
            return;
        }
        log::info!("own pool {name} in epoch {}", claimed.epoch);
        let prefix = format!("{}-{:x}", self.me.host, self.me.incarnation);
        let pool = Pool::new(name, claimed, &prefix, &self.config);
        self.seats.insert(name.clone(), Seat::Held(Box::new(pool)));
        self.send_tickets(name, now);
    }

    fn written(
        &mut self,
        name: &Name,
        epoch: u64,
        writes: Vec<PinWrite>,
        versions: Vec<u64>,
        now: Moment,
    ) {
        self.with_pool(name, now, |pool, _, _| {
            if pool.epoch == epoch {
                pool.written(writes, versions);
            }
        });
    }

    /// The pool has another owner.
    pub(super) fn lost(&mut self, name: &Name, epoch: u64, now: Moment) {
        let Some(Seat::Held(pool)) = self.seats.get(name) else {
            return;
        };
        if pool.epoch != epoch {
            return;
        }
        log::warn!("pool {name} was taken over from epoch {epoch}");
        let seat = Seat::vacant(epoch, now + PAUSE);
        self.seats.insert(name.clone(), seat);
        self.unsend_tickets(name);
    }

    /// Notes that `from` publishes the pool under `epoch`; false when that
    /// is older than what is known.
    pub(super) fn owned_by(&mut self, name: &Name, from: &Name, epoch: u64, now: Moment) -> bool {
        if *from == self.me.host {
            return true;
        }
        if let Some(Seat::Held(pool)) = self.seats.get(name) {
            if pool.epoch >= epoch {
                return false;
            }
            let held = pool.epoch;
            self.lost(name, held, now);
        }
        let Some(incarnation) = self.members.incarnation(from) else {
            return false;
        };
        let sender = Owner {
            host: from.clone(),
            incarnation,
        };
        let Some(Seat::Elsewhere {
            owner,
            epoch: known,
            due,
        }) = self.seats.get_mut(name)
        else {
            return true;
        };
        if epoch < *known {
            return false;
        }
        let changed = owner.as_ref() != Some(&sender);
        *owner = Some(sender);
        *known = epoch;
        *due = None;
        if changed {
            self.send_tickets(name, now);
        }
        true
    }

    /// The host that owns a pool, as far as known.
    pub(super) fn owner(&self, name: &Name) -> Option<Name> {
        match self.seats.get(name)? {
            Seat::Held(_) => Some(self.me.host.clone()),
            Seat::Elsewhere { owner, .. } => owner.as_ref().map(|o| o.host.clone()),
            Seat::Claiming { .. } | Seat::Releasing => None,
        }
    }

    /// Begins to leave.
    pub(super) fn drain(&mut self) {
        if self.leaving {
            return;
        }
        log::info!("draining");
        self.leaving = true;
        self.members.leave();
        self.beat = None;
    }

    /// Gives up the pools of a leaving daemon once they are quiet. While the
    /// table is down nobody could take them over, so it goes on with them.
    fn release_pools(&mut self, now: Moment) {
        if !self.leaving || !self.table {
            return;
        }
        let alone = self.members.alive_hosts(now).len() < 2;
        let busy = !self.tickets.is_empty() || self.router.running() > 0;
        if alone && busy {
            return;
        }
        let names: Vec<Name> = self.seats.keys().cloned().collect();
        for name in names {
            let Some(Seat::Held(pool)) = self.seats.get_mut(&name) else {
                continue;
            };
            pool.stop();
            let Some(writes) = pool.quiet() else {
                continue;
            };
            let (epoch, item) = (pool.epoch, pool.item);
            self.seats.insert(name.clone(), Seat::Releasing);
            self.acts.push(Act::Release {
                pool: name,
                epoch,
                item,
                writes,
            });
        }
    }

    /// Whether a leaving daemon has nothing left to do.
    pub fn drained(&self) -> bool {
        let held = |seat: &Seat| matches!(seat, Seat::Held(_) | Seat::Releasing);
        let pools = self.seats.values().any(held);
        self.leaving && !pools && self.tickets.is_empty()
    }
}
