//! The pools that this daemon owns, and what they want done.

use crate::clock::{Clock, Moment};
use crate::config::Name;
use crate::outside::{EngineError, Report};
use crate::peer::wire::Body;
use crate::pool::{Action, Context, Pool};
use crate::protocol::ownership::{Grant, Sent};

use super::{Act, Control, Seat};

impl Control {
    /// One step of each pool that this daemon owns.
    pub(super) fn tick_pools(&mut self, now: Moment) {
        let names: Vec<Name> = self.seats.keys().cloned().collect();
        for name in names {
            let mut superseded = None;
            self.with_pool(&name, now, |pool, ctx, out| {
                superseded = pool.superseded().then_some(pool.epoch);
                pool.tick(ctx, out);
            });
            if let Some(epoch) = superseded {
                self.lost(&name, epoch, now);
            }
        }
    }

    /// Runs `step` on a pool that this daemon owns.
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
            table: self.table,
            now,
            unix: Clock::unix(),
        };
        let Some(Seat::Held(pool)) = self.seats.get_mut(name) else {
            return;
        };
        let mut out = Vec::new();
        step(pool, &ctx, &mut out);
        let (epoch, item) = (pool.epoch, pool.item);
        self.carry_out(name, epoch, item, out);
    }

    /// Turns the actions of a pool into acts.
    fn carry_out(&mut self, name: &Name, epoch: u64, item: u64, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send { to, body } => self.send(&to, body),
                Action::Broadcast(body) => {
                    self.inbox.push_back(body.clone());
                    self.acts.push(Act::Broadcast(body));
                }
                Action::Order {
                    engine,
                    grant,
                    order,
                } => self.acts.push(Act::Order {
                    pool: name.clone(),
                    epoch,
                    engine,
                    grant,
                    order,
                }),
                Action::Ask {
                    load,
                    adapter,
                    stake,
                    running,
                } => self.ask_permit(&load, adapter, stake, running),
                Action::Done { load } => self.return_permit(&load),
                Action::Write(writes) => self.acts.push(Act::WritePins {
                    pool: name.clone(),
                    epoch,
                    item,
                    writes,
                }),
                Action::Loaded { model, took } => self.acts.push(Act::Loaded { model, took }),
                Action::Unloaded => self.acts.push(Act::Unloaded),
            }
        }
    }

    /// Sends a message, to this daemon itself through its inbox.
    pub(super) fn send(&mut self, to: &Name, body: Body) {
        if *to == self.me.host {
            self.inbox.push_back(body);
            return;
        }
        self.acts.push(Act::Send {
            to: to.clone(),
            body,
        });
    }

    pub(super) fn polled(
        &mut self,
        pool: &Name,
        engine: &Name,
        result: Result<Report, EngineError>,
        asked: Moment,
        now: Moment,
    ) {
        self.with_pool(pool, now, |pool, _, _| {
            pool.polled(engine, result, asked, now);
        });
    }

    pub(super) fn ordered(
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
                pool.ordered(engine, grant, result, now, out);
            }
        });
    }
}
