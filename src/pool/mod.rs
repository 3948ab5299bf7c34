//! Ownership of a pool of engines: pins, orders and waiting requests.
//!
//! A [`Pool`] is the state of one pool at the daemon that owns it. It is pure:
//! events and the moment go in, [`Action`]s come out.

mod advance;
mod pins;
mod place;
mod publish;
mod replica;
mod side;
mod tickets;
mod usage;
pub mod waiting;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::decide::history::History;
use crate::outside::{EngineError, HostState, Hosts, Order, Report};
use crate::peer::wire::{Body, Verdict};
use crate::protocol::ownership::{EnginePins, Grant, PoolPins, Recorded, Sent};
use crate::suspects::Trials;

use publish::Published;
pub use replica::{Phase, Replica};
pub use side::Side;
use usage::UsageView;
use waiting::{Ticket, Waiting};

/// What the owner of a pool knows of its surroundings.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Configuration in force.
    pub config: &'a Config,
    /// Hosts of daemons that may have requests in progress, this one included.
    pub hosts: &'a [Name],
    /// The table answers.
    pub table: bool,
    /// The present moment.
    pub now: Moment,
    /// Wall-clock time, seconds since the Unix epoch.
    pub unix: u64,
}

/// What the owner of a pool wants done.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a daemon.
    Send {
        /// Host of the daemon.
        to: Name,
        /// Message.
        body: Body,
    },
    /// Send a message to all daemons, this one included.
    Broadcast(Body),
    /// Send an order to an engine.
    Order {
        /// Engine.
        engine: Name,
        /// Permission to send it once.
        grant: Grant<Recorded>,
        /// The order.
        order: Order,
    },
    /// Ask for a weight-store permit.
    Ask {
        /// Id of the load.
        load: Name,
        /// An adapter, as opposed to a model.
        adapter: bool,
        /// Stake; higher first.
        stake: f64,
        /// The load is running already.
        running: bool,
    },
    /// Give a permit back, or withdraw its request.
    Done {
        /// Id of the load.
        load: Name,
    },
    /// Write pin records in one transaction.
    Write(Vec<PinWrite>),
    /// A load ended; for metrics.
    Loaded {
        /// Model or adapter.
        model: Name,
        /// From the order to the answer.
        took: Duration,
    },
    /// An unload ended; for metrics.
    Unloaded,
}

/// A write of one pin record.
#[derive(Clone, Debug, PartialEq)]
pub struct PinWrite {
    /// Engine.
    pub engine: Name,
    /// New record.
    pub pins: EnginePins,
    /// Version of the item that is replaced; 0 when absent.
    pub item: u64,
}

/// What a claim brought.
#[derive(Clone, Debug)]
pub struct Claimed {
    /// Epoch of this owner.
    pub epoch: u64,
    /// Version of the pool's item.
    pub item: u64,
    /// The predecessor handed over cleanly.
    pub clean: bool,
    /// Pin records with the versions of their items.
    pub pins: BTreeMap<Name, (EnginePins, u64)>,
}

/// One pool at its owner.
#[derive(Debug)]
pub struct Pool {
    /// Name.
    pub name: Name,
    /// Epoch of this owner.
    pub epoch: u64,
    /// Version of the pool's item; pin writes check it.
    pub item: u64,
    clean: bool,
    prefix: String,
    sides: BTreeMap<Name, Side>,
    orphans: BTreeMap<Name, (EnginePins, u64)>,
    waiting: Waiting,
    histories: HashMap<Name, History>,
    took: HashMap<Name, Duration>,
    usage: HashMap<Name, UsageView>,
    trials: Trials,
    hosts: Vec<Name>,
    departed: HashMap<Name, Moment>,
    seq: u64,
    dirty: bool,
    published: Published,
    planned: Option<Moment>,
    loads: u64,
    stopping: bool,
}

impl Pool {
    /// The pool `name` after a claim; `prefix` makes load ids unique.
    pub fn new(name: &Name, claimed: Claimed, prefix: &str, config: &Config) -> Self {
        let mut pool = Pool {
            name: name.clone(),
            epoch: claimed.epoch,
            item: claimed.item,
            clean: claimed.clean,
            prefix: format!("{prefix}-{name}-{}", claimed.epoch),
            sides: BTreeMap::new(),
            orphans: claimed.pins,
            waiting: Waiting::default(),
            histories: HashMap::new(),
            took: HashMap::new(),
            usage: HashMap::new(),
            trials: Trials::default(),
            hosts: Vec::new(),
            departed: HashMap::new(),
            seq: 0,
            dirty: true,
            published: Published::default(),
            planned: None,
            loads: 0,
            stopping: false,
        };
        pool.reconfigure(config);
        pool
    }

    /// Takes in a new configuration.
    pub fn reconfigure(&mut self, config: &Config) {
        for (name, engine) in &config.engines {
            if engine.pool != self.name {
                continue;
            }
            if let Some(side) = self.sides.get_mut(name) {
                side.room.memory = engine.memory;
                side.retired = false;
                continue;
            }
            let (pins, item) = self.orphans.remove(name).unwrap_or_default();
            let side = Side::new(engine, self.epoch, self.clean, pins, item);
            self.sides.insert(name.clone(), side);
        }
        // The side stays: a later engine of this name goes on with its orders.
        for (name, side) in &mut self.sides {
            side.retired = !config.engines.contains_key(name);
        }
        self.dirty = true;
    }

    /// Takes in the platform's host list.
    pub fn listed(&mut self, hosts: &Hosts) {
        for (name, side) in &mut self.sides {
            let entry = hosts.hosts.iter().find(|h| h.name == *name);
            let leaving = entry.is_some_and(|h| h.state == HostState::Leaving);
            side.listed |= entry.is_some();
            let gone = side.listed && entry.is_none() && !side.reachable();
            if gone && !side.gone {
                log::warn!("engine {name} is gone from the platform's list");
                side.replicas.clear();
                self.dirty = true;
            }
            side.gone = gone;
            if leaving != side.listed_leaving {
                side.listed_leaving = leaving;
                self.dirty = true;
            }
        }
    }

    /// Takes the end of a poll that was asked for at `asked`.
    pub fn polled(
        &mut self,
        engine: &Name,
        result: Result<Report, EngineError>,
        asked: Moment,
        now: Moment,
    ) {
        let Some(side) = self.sides.get_mut(engine) else {
            return;
        };
        let was = (side.leaving(), side.reachable());
        let changed = match result {
            Ok(report) => side.reported(report, asked, now),
            Err(_) => side.missed(),
        };
        self.dirty |= changed || was != (side.leaving(), side.reachable());
    }

    /// Takes the end of an order.
    pub fn ordered(
        &mut self,
        engine: &Name,
        grant: Grant<Sent>,
        result: Result<Report, EngineError>,
        now: Moment,
        out: &mut Vec<Action>,
    ) {
        let Some(side) = self.sides.get_mut(engine) else {
            return;
        };
        if let Err(e) = &result {
            log::info!("order {:?} {} at {engine}: {e}", grant.verb, grant.model);
        }
        let model = grant.model.clone();
        let before = side.replicas.get(&model).cloned();
        side.ended(grant, result, now);
        self.dirty = true;
        let Some(before) = before else {
            return;
        };
        let after = self.sides[engine].replicas.get(&model);
        match before.phase {
            replica::Phase::Loading => {
                out.push(Action::Done { load: before.id });
                if after.is_some_and(replica::Replica::ready) {
                    let took = now.saturating_sub(before.since);
                    self.took.insert(model.clone(), took);
                    out.push(Action::Loaded { model, took });
                }
            }
            replica::Phase::Unloading if after.is_none() => out.push(Action::Unloaded),
            _ => {}
        }
    }

    /// Whether this owner asked for the permit of `load`.
    pub fn asked_for(&self, load: &str) -> bool {
        let rest = load.strip_prefix(&self.prefix);
        rest.is_some_and(|rest| rest.starts_with('-'))
    }

    /// Takes a granted permit.
    pub fn permitted(&mut self, load: &str, now: Moment, out: &mut Vec<Action>) {
        for side in self.sides.values_mut() {
            for replica in side.replicas.values_mut() {
                if &*replica.id != load {
                    continue;
                }
                if replica.phase == replica::Phase::Asked {
                    replica.enter(replica::Phase::Permitted, now);
                }
                return;
            }
        }
        out.push(Action::Done { load: load.into() });
    }

    /// Asks again for all permits, after a change of their holder.
    pub fn ask_again(&mut self, config: &Config, now: Moment, out: &mut Vec<Action>) {
        for (engine, side) in &self.sides {
            for (model, replica) in &side.replicas {
                let running = match replica.phase {
                    replica::Phase::Asked => false,
                    replica::Phase::Permitted | replica::Phase::Loading => true,
                    _ => continue,
                };
                if replica.id.is_empty() || side.tier(model) != crate::outside::Tier::Remote {
                    continue;
                }
                let adapter = config.models.get(model).is_some_and(|m| m.base.is_some());
                log::debug!("permit for {model} at {engine} is asked for again");
                out.push(Action::Ask {
                    load: replica.id.clone(),
                    adapter,
                    stake: self.stake(model, config, now),
                    running,
                });
            }
        }
    }

    /// Takes the end of a write of pin records.
    pub fn written(&mut self, writes: Vec<PinWrite>, versions: Vec<u64>) {
        for (i, write) in writes.into_iter().enumerate() {
            let Some(side) = self.sides.get_mut(&write.engine) else {
                continue;
            };
            side.pending = None;
            let Some(version) = versions.get(i) else {
                continue;
            };
            let adopted = write.pins.instance != side.pins.instance;
            side.pins = write.pins;
            side.item = *version;
            if adopted {
                side.adopted();
            }
            self.dirty = true;
        }
    }

    /// Begins to give the pool up: no further orders.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// The pin records to write with the handover, once no order is in flight.
    pub fn quiet(&self) -> Option<Vec<PinWrite>> {
        let mut writes = Vec::new();
        for (engine, side) in &self.sides {
            if side.writing() {
                return None;
            }
            if side.ledger.as_ref().is_some_and(|l| !l.is_idle()) {
                return None;
            }
            let pins = match &side.ledger {
                Some(ledger) => ledger.with_doubts(&side.pins),
                None => side.pins.clone(),
            };
            // Doubts that were inherited are not in the table yet.
            if !pins.pins.values().any(|p| p.doubt) {
                continue;
            }
            writes.push(PinWrite {
                engine: engine.clone(),
                pins,
                item: side.item,
            });
        }
        Some(writes)
    }

    /// Whether an engine has a token of a later owner.
    pub fn superseded(&self) -> bool {
        self.sides.values().any(|s| s.superseded)
    }

    /// Engines whose poll is due at `now`; they count as polled.
    pub fn due_polls(&mut self, now: Moment) -> Vec<Name> {
        let mut due = Vec::new();
        for (engine, side) in &mut self.sides {
            if side.poll_due(now) {
                due.push(engine.clone());
            }
        }
        due
    }

    /// The sides, for status.
    pub fn sides(&self) -> impl Iterator<Item = (&Name, &Side)> {
        self.sides.iter()
    }

    /// Accelerators of engines that hold weights without a request.
    pub fn idle(&self, config: &Config) -> u32 {
        let mut idle = 0;
        for (engine, side) in &self.sides {
            if side.replicas.is_empty() || side.report.running > 0 {
                continue;
            }
            idle += config.engines.get(engine).map_or(0, |e| e.accelerators);
        }
        idle
    }

    /// Requests that wait for a replica.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// All pins that may stand in the table.
    fn pool_pins(&self) -> PoolPins {
        let sides = self.sides.iter().map(|(e, s)| (e.clone(), s.possible()));
        let orphans = self
            .orphans
            .iter()
            .map(|(e, (p, _))| (e.clone(), p.clone()));
        sides.chain(orphans).collect()
    }

    /// One step of all that is due at `ctx.now`.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        self.hosts = ctx.hosts.to_vec();
        self.note_departures(ctx.now);
        self.trials.expire(ctx.now);
        for side in self.sides.values_mut() {
            side.learnt(ctx.now);
        }
        self.expire(ctx, out);
        self.answer(ctx, out);
        if !self.stopping {
            self.adopt(ctx, out);
            self.fence(ctx, out);
            self.wake(ctx, out);
            if self.due(ctx.now) {
                self.pin_ahead(ctx, out);
                self.load_ahead(ctx, out);
                self.retire(ctx, out);
            }
            self.advance(ctx, out);
        }
        self.answer(ctx, out);
        self.publish(ctx, out);
    }
}

/// The refusal of a ticket.
fn refusal(ticket: &Ticket, kind: crate::error::Kind, retry: Duration) -> Action {
    Action::Send {
        to: ticket.host.clone(),
        body: Body::Verdict(Verdict {
            ticket: ticket.id.to_string(),
            engine: String::new(),
            kind: kind.to_string(),
            retry_ms: retry.as_millis() as u64,
        }),
    }
}
