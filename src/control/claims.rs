//! Ownership of pools: claims, losses and handovers.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::pool::{ClaimedPool, PinWrite, Pool};
use crate::protocol::ownership::Owner;

use super::event::TableJobResult;
use super::{Control, Effect};

/// Delay before a candidate tries to claim a pool, per rank.
const CLAIM_STAGGER: Duration = Duration::from_millis(300);
/// Time after its start before a daemon may supersede a recorded owner: until
/// then it cannot tell whether the owner is alive.
const TAKEOVER_GRACE: Duration = Duration::from_secs(3);
/// Delay before a candidate retries a claim.
const CLAIM_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What this daemon knows about the ownership of a pool.
#[derive(Debug)]
pub enum PoolOwnership {
    /// Another daemon, or none, owns the pool.
    NotOwned {
        /// Owner, if known.
        owner: Option<Owner>,
        /// Epoch of the owner.
        epoch: u64,
        /// Earliest moment of a claim; `None` while the owner is alive.
        claim_at: Option<Moment>,
    },
    /// A claim by this daemon is in progress.
    Claiming {
        /// Highest epoch seen.
        epoch: u64,
    },
    /// This daemon owns the pool.
    Owned(Box<Pool>),
    /// This daemon is writing the handover.
    Releasing,
}

impl PoolOwnership {
    fn without_owner(epoch: u64, claim_at: Moment) -> Self {
        PoolOwnership::NotOwned {
            owner: None,
            epoch,
            claim_at: Some(claim_at),
        }
    }
}

impl Control {
    /// Tries to claim pools whose owner is not alive.
    pub(super) fn claim_pools(&mut self, now: Moment) {
        self.add_configured_pools(now);
        self.release_pools(now);
        if self.leaving {
            return;
        }
        let alive = self.members.alive_incarnations(now);
        let names: Vec<Name> = self.pools.keys().cloned().collect();
        for name in names {
            let rank = self.members.rank(&name, now);
            self.try_claim_pool(&name, &alive, rank, now);
        }
    }

    fn add_configured_pools(&mut self, now: Moment) {
        let config = self.config.clone();
        for engine in config.engines.values() {
            if !self.pools.contains_key(&engine.pool) {
                self.pools
                    .insert(engine.pool.clone(), PoolOwnership::without_owner(0, now));
            }
        }
    }

    fn try_claim_pool(&mut self, name: &Name, alive: &[Owner], rank: Option<usize>, now: Moment) {
        let Some(PoolOwnership::NotOwned {
            owner,
            epoch,
            claim_at,
        }) = self.pools.get_mut(name)
        else {
            return;
        };
        if owner.as_ref().is_some_and(|o| alive.contains(o)) {
            *claim_at = None;
            return;
        }
        let Some(rank) = rank else {
            return;
        };
        let claim_at = *claim_at.get_or_insert(now + CLAIM_STAGGER * rank as u32);
        if now < claim_at {
            return;
        }
        let epoch = *epoch;
        self.pools
            .insert(name.clone(), PoolOwnership::Claiming { epoch });
        self.effects.push(Effect::ClaimPool {
            pool: name.clone(),
            alive: alive.to_vec(),
            may_supersede: now >= self.started_at + TAKEOVER_GRACE,
        });
    }

    /// Handles the result of a job on the table.
    pub(super) fn handle_table_result(&mut self, result: TableJobResult, now: Moment) {
        self.table_available = !matches!(result, TableJobResult::ClaimFailed { .. });
        match result {
            TableJobResult::Claimed { pool, claimed } => self.handle_claimed(&pool, claimed, now),
            TableJobResult::OwnedElsewhere { pool, record } => {
                let epoch = record.epoch;
                if !matches!(self.pools.get(&pool), Some(PoolOwnership::Claiming { .. })) {
                    return;
                }
                let claim_at = Some(now + CLAIM_RETRY_PAUSE);
                let owner = record.owner;
                self.pools.insert(
                    pool.clone(),
                    PoolOwnership::NotOwned {
                        owner,
                        epoch,
                        claim_at,
                    },
                );
                self.send_waiting(&pool, now);
            }
            TableJobResult::ClaimFailed { pool } => {
                if let Some(PoolOwnership::Claiming { epoch }) = self.pools.get(&pool) {
                    let ownership = PoolOwnership::without_owner(*epoch, now + CLAIM_RETRY_PAUSE);
                    self.pools.insert(pool, ownership);
                }
            }
            TableJobResult::PinsWritten {
                pool,
                epoch,
                writes,
                versions,
            } => self.handle_written(&pool, epoch, writes, versions, now),
            TableJobResult::OwnershipLost { pool, epoch } => self.lose_pool(&pool, epoch, now),
            TableJobResult::Released { pool } => {
                let ownership = PoolOwnership::without_owner(0, now + CLAIM_RETRY_PAUSE);
                self.pools.insert(pool, ownership);
            }
        }
    }

    fn handle_claimed(&mut self, name: &Name, claimed: ClaimedPool, now: Moment) {
        if !matches!(self.pools.get(name), Some(PoolOwnership::Claiming { .. })) {
            return;
        }
        log::info!("claimed pool {name} in epoch {}", claimed.epoch);
        let prefix = format!("{}-{:x}", self.identity.host, self.identity.incarnation);
        let mut pool = Pool::new(name, claimed, &prefix, &self.config);
        pool.record_known_hosts(self.members.known_hosts().cloned());
        self.pools
            .insert(name.clone(), PoolOwnership::Owned(Box::new(pool)));
        self.send_waiting(name, now);
    }

    fn handle_written(
        &mut self,
        name: &Name,
        epoch: u64,
        writes: Vec<PinWrite>,
        versions: Vec<u64>,
        now: Moment,
    ) {
        self.with_pool(name, now, |pool, _, _| {
            if pool.epoch == epoch {
                pool.record_pin_write(writes, versions);
            }
        });
    }

    /// Gives up a pool that this daemon owns in `epoch`, because the pool has another
    /// owner or a write of its pin records was rejected.
    pub(super) fn lose_pool(&mut self, name: &Name, epoch: u64, now: Moment) {
        let Some(PoolOwnership::Owned(pool)) = self.pools.get(name) else {
            return;
        };
        if pool.epoch != epoch {
            return;
        }
        log::warn!("lost ownership of pool {name} in epoch {epoch}");
        let ownership = PoolOwnership::without_owner(epoch, now + CLAIM_RETRY_PAUSE);
        self.pools.insert(name.clone(), ownership);
        self.mark_unsent(name);
    }

    /// Records `from` as the owner that publishes the pool under `epoch`; returns
    /// false when a newer epoch is known or the sender's incarnation is unknown.
    pub(super) fn record_owner(
        &mut self,
        name: &Name,
        from: &Name,
        epoch: u64,
        now: Moment,
    ) -> bool {
        if *from == self.identity.host {
            return true;
        }
        if let Some(PoolOwnership::Owned(pool)) = self.pools.get(name) {
            if pool.epoch >= epoch {
                return false;
            }
            let owned_epoch = pool.epoch;
            self.lose_pool(name, owned_epoch, now);
        }
        let Some(incarnation) = self.members.incarnation(from) else {
            return false;
        };
        let sender = Owner {
            host: from.clone(),
            incarnation,
        };
        let Some(PoolOwnership::NotOwned {
            owner,
            epoch: known,
            claim_at,
        }) = self.pools.get_mut(name)
        else {
            return true;
        };
        if epoch < *known {
            return false;
        }
        let is_new_claim = epoch > *known;
        let changed = is_new_claim || owner.as_ref() != Some(&sender);
        *owner = Some(sender);
        *known = epoch;
        *claim_at = None;
        if is_new_claim {
            // Requests that were sent to an earlier claim of the same daemon are lost.
            self.mark_unsent(name);
        }
        if changed {
            self.send_waiting(name, now);
        }
        true
    }

    /// Returns the host that owns a pool, if known.
    pub(super) fn pool_owner(&self, name: &Name) -> Option<Name> {
        match self.pools.get(name)? {
            PoolOwnership::Owned(_) => Some(self.identity.host.clone()),
            PoolOwnership::NotOwned { owner, .. } => owner.as_ref().map(|o| o.host.clone()),
            PoolOwnership::Claiming { .. } | PoolOwnership::Releasing => None,
        }
    }

    /// Starts draining this daemon.
    pub(super) fn start_drain(&mut self) {
        if self.leaving {
            return;
        }
        log::info!("draining");
        self.leaving = true;
        self.members.leave();
        self.last_heartbeat = None;
    }

    /// Hands over the pools of a leaving daemon once none of their orders and pin
    /// writes is in progress. While the table is unavailable no daemon could take
    /// them over, so this daemon keeps serving them. If no other daemon is alive, it
    /// also keeps them until its own requests have ended.
    fn release_pools(&mut self, now: Moment) {
        if !self.leaving || !self.table_available {
            return;
        }
        let alone = self.members.alive_hosts(now).len() < 2;
        let busy = !self.waiting.is_empty() || self.router.running() > 0;
        if alone && busy {
            return;
        }
        let names: Vec<Name> = self.pools.keys().cloned().collect();
        for name in names {
            let Some(PoolOwnership::Owned(pool)) = self.pools.get_mut(&name) else {
                continue;
            };
            pool.begin_release();
            let Some(writes) = pool.handover_writes() else {
                continue;
            };
            let (epoch, item_version) = (pool.epoch, pool.item_version);
            self.pools.insert(name.clone(), PoolOwnership::Releasing);
            self.effects.push(Effect::ReleasePool {
                pool: name,
                epoch,
                item_version,
                writes,
            });
        }
    }

    /// Returns whether this daemon is leaving, neither owns nor hands over a pool and
    /// has no waiting request.
    pub fn is_drained(&self) -> bool {
        let is_held = |ownership: &PoolOwnership| {
            matches!(
                ownership,
                PoolOwnership::Owned(_) | PoolOwnership::Releasing
            )
        };
        let owns_pools = self.pools.values().any(is_held);
        self.leaving && !owns_pools && self.waiting.is_empty()
    }
}
