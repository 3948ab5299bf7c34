//! Steps of the pools that this daemon owns, and the actions they request.

use crate::clock::{Clock, Moment};
use crate::config::Name;
use crate::outside::{EngineError, Report};
use crate::peer::wire::Body;
use crate::pool::{Action, Context, Pool};
use crate::protocol::ownership::{Grant, Sent};

use super::{Control, Effect, PoolOwnership};

impl Control {
    /// Runs one step of each pool that this daemon owns.
    pub(super) fn tick_pools(&mut self, now: Moment) {
        let names: Vec<Name> = self.pools.keys().cloned().collect();
        for name in names {
            let mut superseded = None;
            self.with_pool(&name, now, |pool, ctx, out| {
                superseded = pool.is_superseded().then_some(pool.epoch);
                pool.tick(ctx, out);
            });
            if let Some(epoch) = superseded {
                self.lose_pool(&name, epoch, now);
            }
        }
    }

    /// Runs `step` on a pool if this daemon owns it, and applies its actions.
    pub(super) fn with_pool(
        &mut self,
        name: &Name,
        now: Moment,
        step: impl FnOnce(&mut Pool, &Context<'_>, &mut Vec<Action>),
    ) {
        let hosts = self.members.present_hosts(now);
        let config = self.config.clone();
        let ctx = Context {
            config: &config,
            hosts: &hosts,
            table_available: self.table_available,
            now,
            unix_time: Clock::unix_seconds(),
        };
        let Some(PoolOwnership::Owned(pool)) = self.pools.get_mut(name) else {
            return;
        };
        let mut actions = Vec::new();
        step(pool, &ctx, &mut actions);
        let (epoch, item_version) = (pool.epoch, pool.item_version);
        self.apply_actions(name, epoch, item_version, actions);
    }

    /// Converts the actions of a pool to effects.
    fn apply_actions(&mut self, name: &Name, epoch: u64, item_version: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, body } => self.send(&to, body),
                Action::Broadcast(body) => {
                    self.inbox.push_back(body.clone());
                    self.effects.push(Effect::Broadcast(body));
                }
                Action::Order {
                    engine,
                    grant,
                    order,
                } => self.effects.push(Effect::SendOrder {
                    pool: name.clone(),
                    epoch,
                    engine,
                    grant,
                    order,
                }),
                Action::RequestPermit {
                    load,
                    adapter,
                    value_density,
                    running,
                } => self.request_permit(&load, adapter, value_density, running),
                Action::ReleasePermit { load } => self.return_permit(&load),
                Action::WritePins(writes) => self.effects.push(Effect::WritePins {
                    pool: name.clone(),
                    epoch,
                    item_version,
                    writes,
                }),
                Action::Loaded { model, duration } => self.effects.push(Effect::RecordLoad {
                    model,
                    took: duration,
                }),
                Action::Unloaded => self.effects.push(Effect::RecordUnload),
            }
        }
    }

    /// Sends a message; one to this daemon itself goes to its inbox.
    pub(super) fn send(&mut self, to: &Name, body: Body) {
        if *to == self.identity.host {
            self.inbox.push_back(body);
            return;
        }
        self.effects.push(Effect::Send {
            to: to.clone(),
            body,
        });
    }

    pub(super) fn handle_poll_result(
        &mut self,
        pool: &Name,
        engine: &Name,
        result: Result<Report, EngineError>,
        requested_at: Moment,
        now: Moment,
    ) {
        self.with_pool(pool, now, |pool, _, _| {
            pool.record_poll(engine, result, requested_at, now);
        });
    }

    pub(super) fn handle_order_result(
        &mut self,
        pool: &Name,
        epoch: u64,
        engine: &Name,
        grant: Grant<Sent>,
        result: Result<Report, EngineError>,
        now: Moment,
    ) {
        self.with_pool(pool, now, |pool, _, out| {
            if pool.epoch == epoch {
                pool.finish_order(engine, grant, result, now, out);
            }
        });
    }
}
