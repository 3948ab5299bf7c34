//! State machine of the daemon that owns a pool of engines: pins, orders and waiting requests.
//!
//! A [`Pool`] does no I/O: it takes events with the present moment and returns [`Action`]s.

mod advance;
mod owned_engine;
mod pins;
mod placement;
mod publish;
mod replica;
pub mod ticket_queue;
mod tickets;
mod usage;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::decide::history::ArrivalHistory;
use crate::outside::{EngineError, HostState, Hosts, Order, Report};
use crate::peer::wire::{Body, ReplicaReply};
use crate::protocol::ownership::{EnginePins, Grant, PoolPins, Recorded, Sent};
use crate::suspects::Trials;

pub use owned_engine::OwnedEngine;
use publish::Published;
pub use replica::{Phase, Replica};
use ticket_queue::{Ticket, TicketQueue};
use usage::HostUsage;

/// Environment of one step of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Configuration in force.
    pub config: &'a Config,
    /// Hosts of daemons that may have requests in progress, this one included.
    pub hosts: &'a [Name],
    /// Whether the table answers.
    pub table_available: bool,
    /// The present moment.
    pub now: Moment,
    /// Wall-clock time, seconds since the Unix epoch.
    pub unix_time: u64,
}

/// Action that the daemon carries out for a pool.
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
        /// Grant that permits sending the order once.
        grant: Grant<Recorded>,
        /// The order.
        order: Order,
    },
    /// Request a permit for a load from the weight store.
    RequestPermit {
        /// Id of the load.
        load: Name,
        /// Whether an adapter is loaded, as opposed to a model.
        adapter: bool,
        /// Worth of the waiting requests per second of slack; the highest is served first.
        value_density: f64,
        /// Whether the load is running already.
        running: bool,
    },
    /// Release a permit, or withdraw the request for it.
    ReleasePermit {
        /// Id of the load.
        load: Name,
    },
    /// Write pin records in one transaction.
    WritePins(Vec<PinWrite>),
    /// Count a finished load in the metrics.
    Loaded {
        /// Model or adapter.
        model: Name,
        /// Time from sending the order to its answer.
        duration: Duration,
    },
    /// Count a finished unload in the metrics.
    Unloaded,
}

/// Write of the pin record of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PinWrite {
    /// Engine.
    pub engine: Name,
    /// New record.
    pub pins: EnginePins,
    /// Table version of the item to replace; 0 when it does not exist.
    pub item_version: u64,
}

/// Data read from the table when the pool was claimed.
#[derive(Clone, Debug)]
pub struct ClaimedPool {
    /// Epoch of this owner.
    pub epoch: u64,
    /// Table version of the pool's item.
    pub item_version: u64,
    /// Whether the previous owner handed the pool over, as opposed to losing it.
    pub clean_handover: bool,
    /// Pin record of each engine with the table version of its item.
    pub pins: BTreeMap<Name, (EnginePins, u64)>,
}

/// State of one pool at its owner.
#[derive(Debug)]
pub struct Pool {
    /// Name.
    pub name: Name,
    /// Epoch of this owner.
    pub epoch: u64,
    /// Table version of the pool's item; every pin write is conditional on it.
    pub item_version: u64,
    clean_handover: bool,
    id_prefix: String,
    engines: BTreeMap<Name, OwnedEngine>,
    unconfigured_pins: BTreeMap<Name, (EnginePins, u64)>,
    tickets: TicketQueue,
    histories: HashMap<Name, ArrivalHistory>,
    load_times: HashMap<Name, Duration>,
    usage: HashMap<Name, HostUsage>,
    trials: Trials,
    hosts: Vec<Name>,
    departed: HashMap<Name, Moment>,
    seq: u64,
    dirty: bool,
    published: Published,
    last_planning: Option<Moment>,
    load_count: u64,
    releasing: bool,
}

impl Pool {
    /// Creates the state of pool `name` after a claim; `prefix` makes load ids unique.
    pub fn new(name: &Name, claimed: ClaimedPool, prefix: &str, config: &Config) -> Self {
        let mut pool = Pool {
            name: name.clone(),
            epoch: claimed.epoch,
            item_version: claimed.item_version,
            clean_handover: claimed.clean_handover,
            id_prefix: format!("{prefix}-{name}-{}", claimed.epoch),
            engines: BTreeMap::new(),
            unconfigured_pins: claimed.pins,
            tickets: TicketQueue::default(),
            histories: HashMap::new(),
            load_times: HashMap::new(),
            usage: HashMap::new(),
            trials: Trials::default(),
            hosts: Vec::new(),
            departed: HashMap::new(),
            seq: 0,
            dirty: true,
            published: Published::default(),
            last_planning: None,
            load_count: 0,
            releasing: false,
        };
        pool.reconfigure(config);
        pool
    }

    /// Applies a new configuration.
    pub fn reconfigure(&mut self, config: &Config) {
        for (name, engine) in &config.engines {
            if engine.pool != self.name {
                continue;
            }
            if let Some(state) = self.engines.get_mut(name) {
                state.spec.memory = engine.memory;
                state.unconfigured = false;
                continue;
            }
            let (pins, item_version) = self.unconfigured_pins.remove(name).unwrap_or_default();
            let state =
                OwnedEngine::new(engine, self.epoch, self.clean_handover, pins, item_version);
            self.engines.insert(name.clone(), state);
        }
        // The state of a removed engine is kept: an engine configured later under the same name
        // continues its orders.
        for (name, state) in &mut self.engines {
            state.unconfigured = !config.engines.contains_key(name);
        }
        self.dirty = true;
    }

    /// Applies the platform's host list.
    pub fn update_host_list(&mut self, hosts: &Hosts) {
        for (name, state) in &mut self.engines {
            let entry = hosts.hosts.iter().find(|h| h.name == *name);
            let leaving = entry.is_some_and(|h| h.state == HostState::Leaving);
            state.was_listed |= entry.is_some();
            let host_removed = state.was_listed && entry.is_none() && !state.is_reachable();
            if host_removed && !state.host_removed {
                log::warn!(
                    "engine {name} is unreachable and was removed from the platform's host list"
                );
                state.replicas.clear();
                self.dirty = true;
            }
            state.host_removed = host_removed;
            if leaving != state.listed_leaving {
                state.listed_leaving = leaving;
                self.dirty = true;
            }
        }
    }

    /// Records the result of a poll that was sent at `requested_at`.
    pub fn record_poll(
        &mut self,
        engine: &Name,
        result: Result<Report, EngineError>,
        requested_at: Moment,
        now: Moment,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let before = (state.is_leaving(), state.is_reachable());
        let changed = match result {
            Ok(report) => state.record_report(report, requested_at, now),
            Err(_) => state.record_failed_poll(),
        };
        self.dirty |= changed || before != (state.is_leaving(), state.is_reachable());
    }

    /// Records the result of an order.
    pub fn finish_order(
        &mut self,
        engine: &Name,
        grant: Grant<Sent>,
        result: Result<Report, EngineError>,
        now: Moment,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        if let Err(e) = &result {
            log::info!(
                "order {:?} for {} at engine {engine} failed: {e}",
                grant.verb,
                grant.model
            );
        }
        let model = grant.model.clone();
        let before = state.replicas.get(&model).cloned();
        state.finish_order(grant, result, now);
        self.dirty = true;
        let Some(before) = before else {
            return;
        };
        let after = self.engines[engine].replicas.get(&model);
        match before.phase {
            replica::Phase::Loading => {
                out.push(Action::ReleasePermit {
                    load: before.load_id,
                });
                if after.is_some_and(replica::Replica::is_ready) {
                    let duration = now.saturating_sub(before.phase_since);
                    self.load_times.insert(model.clone(), duration);
                    out.push(Action::Loaded { model, duration });
                }
            }
            replica::Phase::Unloading if after.is_none() => out.push(Action::Unloaded),
            _ => {}
        }
    }

    /// Returns whether `load` is the id of a load of this owner.
    pub fn owns_load(&self, load: &str) -> bool {
        let rest = load.strip_prefix(&self.id_prefix);
        rest.is_some_and(|rest| rest.starts_with('-'))
    }

    /// Records that the permit of `load` was granted; releases it when no replica needs it.
    pub fn record_permit(&mut self, load: &str, now: Moment, out: &mut Vec<Action>) {
        for state in self.engines.values_mut() {
            for replica in state.replicas.values_mut() {
                if &*replica.load_id != load {
                    continue;
                }
                if replica.phase == replica::Phase::PermitRequested {
                    replica.set_phase(replica::Phase::Permitted, now);
                }
                return;
            }
        }
        out.push(Action::ReleasePermit { load: load.into() });
    }

    /// Requests all permits again after another daemon has become the permit holder.
    pub fn resend_permit_requests(&mut self, config: &Config, now: Moment, out: &mut Vec<Action>) {
        for (engine, state) in &self.engines {
            for (model, replica) in &state.replicas {
                let running = match replica.phase {
                    replica::Phase::PermitRequested => false,
                    replica::Phase::Permitted | replica::Phase::Loading => true,
                    _ => continue,
                };
                if replica.load_id.is_empty() || state.tier(model) != crate::outside::Tier::Remote {
                    continue;
                }
                let adapter = config.models.get(model).is_some_and(|m| m.base.is_some());
                log::debug!("requesting the permit to load {model} at engine {engine} again");
                out.push(Action::RequestPermit {
                    load: replica.load_id.clone(),
                    adapter,
                    value_density: self.value_density(model, config, now),
                    running,
                });
            }
        }
    }

    /// Records the end of a write of pin records; `versions` are the new versions of their items.
    pub fn record_pin_write(&mut self, writes: Vec<PinWrite>, versions: Vec<u64>) {
        for (i, write) in writes.into_iter().enumerate() {
            let Some(state) = self.engines.get_mut(&write.engine) else {
                continue;
            };
            state.pending_pins = None;
            let Some(version) = versions.get(i) else {
                continue;
            };
            let adopted = write.pins.instance != state.pins.instance;
            state.pins = write.pins;
            state.item_version = *version;
            if adopted {
                state.finish_adoption();
            }
            self.dirty = true;
        }
    }

    /// Starts to release the pool: no further orders are sent.
    pub fn begin_release(&mut self) {
        self.releasing = true;
    }

    /// Returns the pin records to write with the handover, or `None` while an order or a write of
    /// pins is in flight.
    pub fn handover_writes(&self) -> Option<Vec<PinWrite>> {
        let mut writes = Vec::new();
        for (engine, state) in &self.engines {
            if state.is_writing() {
                return None;
            }
            if state.ledger.as_ref().is_some_and(|l| !l.is_idle()) {
                return None;
            }
            let pins = match &state.ledger {
                Some(ledger) => ledger.with_doubts(&state.pins),
                None => state.pins.clone(),
            };
            // Pins in doubt since the claim are not yet marked so in the table.
            if !pins.pins.values().any(|p| p.doubt) {
                continue;
            }
            writes.push(PinWrite {
                engine: engine.clone(),
                pins,
                item_version: state.item_version,
            });
        }
        Some(writes)
    }

    /// Returns whether an engine has reported the fencing token of a later owner.
    pub fn is_superseded(&self) -> bool {
        self.engines.values().any(|s| s.superseded)
    }

    /// Returns the engines whose poll is due at `now` and marks them as polled.
    pub fn take_due_polls(&mut self, now: Moment) -> Vec<Name> {
        let mut due = Vec::new();
        for (engine, state) in &mut self.engines {
            if state.take_due_poll(now) {
                due.push(engine.clone());
            }
        }
        due
    }

    /// Iterates over the engines, for status.
    pub fn engines(&self) -> impl Iterator<Item = (&Name, &OwnedEngine)> {
        self.engines.iter()
    }

    /// Counts the accelerators of engines that have a replica but no running request.
    pub fn idle_accelerators(&self, config: &Config) -> u32 {
        let mut idle = 0;
        for (engine, state) in &self.engines {
            if state.replicas.is_empty() || state.report.running > 0 {
                continue;
            }
            idle += config.engines.get(engine).map_or(0, |e| e.accelerators);
        }
        idle
    }

    /// Returns the number of requests that wait for a replica.
    pub fn waiting_count(&self) -> usize {
        self.tickets.len()
    }

    /// Returns all pins that may be recorded in the table.
    fn pool_pins(&self) -> PoolPins {
        let engines = self
            .engines
            .iter()
            .map(|(e, s)| (e.clone(), s.possible_pins()));
        let unconfigured_pins = self
            .unconfigured_pins
            .iter()
            .map(|(e, (p, _))| (e.clone(), p.clone()));
        engines.chain(unconfigured_pins).collect()
    }

    /// Performs everything that is due at `ctx.now`.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        self.update_hosts(ctx.hosts, ctx.now);
        self.trials.expire(ctx.now);
        for state in self.engines.values_mut() {
            state.set_learned_at(ctx.now);
        }
        self.expire_tickets(ctx, out);
        self.assign_tickets(ctx, out);
        if !self.releasing {
            self.adopt_instances(ctx, out);
            self.raise_tokens(ctx, out);
            self.plan_waiting_models(ctx, out);
            if self.take_due_planning(ctx.now) {
                self.maintain_pins(ctx, out);
                self.plan_preloads(ctx, out);
                self.unload_unneeded(ctx, out);
            }
            self.advance_replicas(ctx, out);
        }
        self.assign_tickets(ctx, out);
        self.publish(ctx, out);
    }
}

/// Builds the message that refuses a ticket.
fn refusal(ticket: &Ticket, kind: crate::error::Kind, retry: Duration) -> Action {
    Action::Send {
        to: ticket.host.clone(),
        body: Body::ReplicaReply(ReplicaReply {
            ticket: ticket.id.to_string(),
            engine: String::new(),
            kind: kind.to_string(),
            retry_ms: retry.as_millis() as u64,
        }),
    }
}
