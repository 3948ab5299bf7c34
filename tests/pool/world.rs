//! Two daemons with their pools, a table, engines and the messages in flight
//! between them.

mod fake_engine;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::config::{Config, Engine, Model, Name, Policy, Strategy};
use mastichinge::outside::{EngineError, Order, Report, Verb};
use mastichinge::peer::wire::{Body, ReplicaReply, Usage};
use mastichinge::pool::ticket_queue::Ticket;
use mastichinge::pool::{Action, ClaimedPool, Context, PinWrite, Pool};
use mastichinge::protocol::ownership::{
    EnginePins, Grant, Owner, OwnerRecord, Sent, claim, handover, inherits_clean,
};

use fake_engine::FakeEngine;

/// Number of engines: the first checks fencing tokens, the other ignores them.
pub const ENGINES: usize = 2;
/// Number of models.
pub const MODELS: usize = 3;
/// Memory of each engine; there is room for one model.
const ENGINE_MEMORY_MB: u64 = 10;
/// Memory of each model.
const MODEL_MEMORY_MB: u64 = 6;

pub fn engine(e: usize) -> Name {
    format!("e{e}").into()
}

pub fn model(m: usize) -> Name {
    format!("m{m}").into()
}

/// Returns the configuration, in which each model may have one replica.
pub fn config() -> Config {
    let mut config = Config {
        policy: Policy {
            strategy: Strategy::KeepAlive,
            keepalive_ms: 1,
            ..Policy::default()
        },
        ..Config::default()
    };
    for e in 0..ENGINES {
        let engine_config = Engine {
            memory: ENGINE_MEMORY_MB,
            fenced: e == 0,
            ..Engine::default()
        };
        config.engines.insert(engine(e), engine_config);
    }
    for m in 0..MODELS {
        let model_config = Model {
            memory: MODEL_MEMORY_MB,
            load_ms: 1,
            ..Model::default()
        };
        config.models.insert(model(m), model_config);
    }
    config
}

/// A host that is known and has no link to the owner.
const ABSENT_HOST: &str = "away";

/// Order in flight, or executed with its answer in flight.
#[derive(Debug)]
struct SentOrder {
    daemon: usize,
    epoch: u64,
    engine: usize,
    order: Order,
    /// `None` once the sender knows the outcome.
    grant: Option<Grant<Sent>>,
    answer: Option<Result<Report, EngineError>>,
}

/// Pin write in flight, or done with its result in flight.
#[derive(Debug)]
struct PinWriteJob {
    daemon: usize,
    epoch: u64,
    item_version: u64,
    writes: Vec<PinWrite>,
    /// `None` until the write was tried; then the new versions, or `None` if it failed.
    result: Option<Option<Vec<u64>>>,
}

/// Report in flight.
#[derive(Debug)]
struct SentReport {
    daemon: usize,
    engine: usize,
    requested_at: Moment,
    report: Report,
}

/// Simulated daemons, table and engines, and the messages in flight.
pub struct World {
    config: Arc<Config>,
    now: Moment,
    record: OwnerRecord,
    item_version: u64,
    pins: BTreeMap<Name, (EnginePins, u64)>,
    engines: Vec<FakeEngine>,
    pools: Vec<Option<Pool>>,
    orders: Vec<SentOrder>,
    pin_jobs: Vec<PinWriteJob>,
    reports: Vec<SentReport>,
    /// Engine instance that each ticket must avoid.
    avoided: HashMap<Name, Option<Name>>,
    /// Number of assignments of tickets that avoid an instance.
    pub avoidances: u64,
    /// Number of loads that engines executed.
    pub loads: u64,
    /// Number of removed pins.
    pub released_pins: u64,
    /// Number of adopted instances.
    pub adopted_instances: u64,
    /// Number of written handovers.
    pub handovers: u64,
}

impl Default for World {
    fn default() -> Self {
        World {
            config: Arc::new(config()),
            now: Duration::from_secs(1),
            record: OwnerRecord::default(),
            item_version: 0,
            pins: BTreeMap::new(),
            engines: (0..ENGINES).map(FakeEngine::new).collect(),
            pools: vec![None, None],
            orders: Vec::new(),
            pin_jobs: Vec::new(),
            reports: Vec::new(),
            avoided: HashMap::new(),
            avoidances: 0,
            loads: 0,
            released_pins: 0,
            adopted_instances: 0,
            handovers: 0,
        }
    }
}

impl World {
    fn step_pool(
        &mut self,
        d: usize,
        step: impl FnOnce(&mut Pool, &Context<'_>, &mut Vec<Action>),
    ) {
        let Some(mut pool) = self.pools[d].take() else {
            return;
        };
        let config = self.config.clone();
        let hosts = [Name::from("h")];
        let ctx = Context {
            config: &config,
            hosts: &hosts,
            table_available: true,
            now: self.now,
            unix_time: 0,
        };
        let mut out = Vec::new();
        step(&mut pool, &ctx, &mut out);
        while let Some(action) = out.pop() {
            self.perform(d, &mut pool, action, &mut out);
        }
        if !pool.is_superseded() {
            self.pools[d] = Some(pool);
        }
    }

    fn perform(&mut self, d: usize, pool: &mut Pool, action: Action, out: &mut Vec<Action>) {
        match action {
            Action::Order {
                engine,
                grant,
                order,
            } => self.orders.push(SentOrder {
                daemon: d,
                epoch: pool.epoch,
                engine: self.engine_index(&engine),
                order,
                grant: Some(grant.send()),
                answer: None,
            }),
            Action::WritePins(writes) => self.pin_jobs.push(PinWriteJob {
                daemon: d,
                epoch: pool.epoch,
                item_version: pool.item_version,
                writes,
                result: None,
            }),
            Action::RequestPermit { load, .. } => pool.record_permit(&load, self.now, out),
            Action::Broadcast(Body::Pool(state)) => {
                let usage = Usage {
                    epoch: state.epoch,
                    seq: state.seq,
                    ..Usage::default()
                };
                pool.record_usage(&"h".into(), &usage, self.now);
            }
            Action::Send {
                body: Body::ReplicaReply(reply),
                ..
            } if !reply.engine.is_empty() => self.check_assignment(pool, &reply),
            _ => {}
        }
    }

    /// Fails if a ticket is assigned to the instance that it must avoid, as far as the pool knows.
    fn check_assignment(&mut self, pool: &Pool, reply: &ReplicaReply) {
        let Some(avoided) = &self.avoided[reply.ticket.as_str()] else {
            return;
        };
        let assigned = pool.engines().find(|(name, _)| ***name == *reply.engine);
        let (_, state) = assigned.expect("an engine of the pool");
        assert_ne!(state.report.instance, *avoided, "ticket {}", reply.ticket);
        self.avoidances += 1;
    }

    fn engine_index(&self, name: &Name) -> usize {
        (0..ENGINES).find(|e| engine(*e) == *name).unwrap()
    }

    /// Advances the clock by `ms` milliseconds and steps the pool of daemon `d`.
    pub fn tick(&mut self, d: usize, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.step_pool(d, |pool, ctx, out| pool.tick(ctx, out));
    }

    /// Queues a request for model `m` that must not run on the present instance of engine `avoid`.
    pub fn enqueue(&mut self, d: usize, m: usize, avoid: Option<usize>) {
        let avoid = avoid.map(|e| self.engines[e].instance_id());
        let id = Name::from(format!("t{}", self.avoided.len()));
        self.avoided.insert(id.clone(), avoid.clone());
        let ticket = Ticket {
            id,
            host: "h".into(),
            model: model(m),
            deadline: self.now + Duration::from_secs(2),
            priority: 5,
            suspect: None,
            avoid: avoid.into_iter().collect(),
        };
        self.step_pool(d, |pool, ctx, out| pool.enqueue(ticket, ctx, out));
    }

    /// Lets daemon `d` claim the pool and read the pins.
    pub fn claim(&mut self, d: usize) {
        let me = Owner {
            host: format!("d{d}").into(),
            incarnation: self.item_version,
        };
        let clean = inherits_clean(Some(&self.record).filter(|_| self.item_version > 0));
        self.record = claim(Some(&self.record), &me);
        self.item_version += 1;
        let claimed = ClaimedPool {
            epoch: self.record.epoch,
            item_version: self.item_version,
            clean_handover: clean,
            pins: self.pins.clone(),
        };
        let mut pool = Pool::new(&"default".into(), claimed, "p", &self.config);
        pool.record_known_hosts(["h".into(), ABSENT_HOST.into()]);
        self.pools[d] = Some(pool);
    }

    /// Kills daemon `d` with everything that it has in flight.
    pub fn kill(&mut self, d: usize) {
        self.pools[d] = None;
        self.orders.retain(|o| o.daemon != d);
        self.pin_jobs.retain(|j| j.daemon != d);
        self.reports.retain(|r| r.daemon != d);
    }

    /// Returns an engine that has a model loaded.
    pub fn loaded_engine(&self) -> Option<usize> {
        self.engines.iter().position(|e| !e.loaded.is_empty())
    }

    /// Sets the number of requests that the absent host has at engine `e`.
    pub fn set_running(&mut self, e: usize, running: u32) {
        self.engines[e].running = running;
    }

    /// Returns the number of unloads of engines with requests.
    pub fn cuts(&self) -> u32 {
        self.engines.iter().map(|e| e.cuts).sum()
    }

    /// Lets daemon `d` hand the pool over if no order of it is in flight.
    pub fn hand_over(&mut self, d: usize) {
        let Some(pool) = &mut self.pools[d] else {
            return;
        };
        pool.begin_release();
        let Some(writes) = pool.handover_writes() else {
            return;
        };
        let (item_version, epoch) = (pool.item_version, pool.epoch);
        self.pools[d] = None;
        if self.commit(item_version, &writes).is_some() {
            self.record = handover(&OwnerRecord {
                epoch,
                ..self.record.clone()
            });
            self.item_version += 1;
            self.handovers += 1;
        }
    }

    fn commit(&mut self, item_version: u64, writes: &[PinWrite]) -> Option<Vec<u64>> {
        let version = |w: &PinWrite| self.pins.get(&w.engine).map_or(0, |p| p.1);
        if self.item_version != item_version || writes.iter().any(|w| version(w) != w.item_version)
        {
            return None;
        }
        for write in writes {
            if let Some((old, _)) = self.pins.get(&write.engine) {
                let left = old.intersection(&write.pins).pins.len();
                self.released_pins += (old.pins.len() - left) as u64;
                self.adopted_instances += u64::from(old.instance != write.pins.instance);
            }
            let record = (write.pins.clone(), write.item_version + 1);
            self.pins.insert(write.engine.clone(), record);
        }
        Some(writes.iter().map(|w| w.item_version + 1).collect())
    }

    /// Lets a pin write take effect or fail.
    pub fn commit_pin_write(&mut self, n: usize) {
        let open = |j: &PinWriteJob| j.result.is_none();
        let Some(i) = nth_matching(&self.pin_jobs, n, open) else {
            return;
        };
        let (item_version, writes) = (
            self.pin_jobs[i].item_version,
            self.pin_jobs[i].writes.clone(),
        );
        self.pin_jobs[i].result = Some(self.commit(item_version, &writes));
    }

    /// Delivers the result of a pin write to its daemon.
    pub fn deliver_write_result(&mut self, n: usize) {
        let Some(i) = nth_matching(&self.pin_jobs, n, |j| j.result.is_some()) else {
            return;
        };
        let job = self.pin_jobs.remove(i);
        let pool = self.pools[job.daemon].as_mut();
        let Some(pool) = pool.filter(|p| p.epoch == job.epoch) else {
            return;
        };
        match job.result.flatten() {
            Some(versions) => pool.record_pin_write(job.writes, versions),
            None => self.pools[job.daemon] = None,
        }
    }

    /// Delivers an order to its engine.
    pub fn deliver_order(&mut self, n: usize) {
        let Some(i) = nth_matching(&self.orders, n, |o| o.answer.is_none()) else {
            return;
        };
        let sent = &mut self.orders[i];
        let fake = &mut self.engines[sent.engine];
        let answer = fake.execute(&sent.order, sent.engine == 0);
        self.loads += u64::from(sent.order.verb == Verb::Load && answer.is_ok());
        sent.answer = Some(answer);
        if sent.grant.is_none() {
            self.orders.remove(i);
        }
    }

    /// Delivers the answer to an order to its sender.
    pub fn deliver_outcome(&mut self, n: usize) {
        let Some(i) = nth_matching(&self.orders, n, |o| o.answer.is_some()) else {
            return;
        };
        let sent = self.orders.remove(i);
        if let (Some(grant), Some(answer)) = (sent.grant, sent.answer) {
            self.finish_order(sent.daemon, sent.epoch, sent.engine, grant, answer);
        }
    }

    /// Breaks the connection that the sender of an order waits on.
    pub fn break_order(&mut self, n: usize) {
        let Some(i) = nth_matching(&self.orders, n, |o| o.grant.is_some()) else {
            return;
        };
        let sent = &mut self.orders[i];
        let (d, epoch, e) = (sent.daemon, sent.epoch, sent.engine);
        let grant = sent.grant.take().unwrap();
        if sent.answer.is_some() {
            self.orders.remove(i);
        }
        let broken = Err(EngineError::ConnectionLost("in the test".into()));
        self.finish_order(d, epoch, e, grant, broken);
    }

    fn finish_order(
        &mut self,
        d: usize,
        epoch: u64,
        e: usize,
        grant: Grant<Sent>,
        result: Result<Report, EngineError>,
    ) {
        self.step_pool(d, |pool, ctx, out| {
            if pool.epoch == epoch {
                pool.finish_order(&engine(e), grant, result, ctx.now, out);
            }
        });
    }

    /// Lets daemon `d` request a report from engine `e`.
    pub fn request_report(&mut self, d: usize, e: usize) {
        self.now += Duration::from_millis(1);
        self.reports.push(SentReport {
            daemon: d,
            engine: e,
            requested_at: self.now,
            report: self.engines[e].report(),
        });
    }

    /// Delivers a report to the daemon that requested it.
    pub fn deliver_report(&mut self, n: usize) {
        if self.reports.is_empty() {
            return;
        }
        self.now += Duration::from_millis(1);
        let sent = self.reports.remove(n % self.reports.len());
        self.step_pool(sent.daemon, |pool, ctx, _| {
            pool.record_poll(
                &engine(sent.engine),
                Ok(sent.report),
                sent.requested_at,
                ctx.now,
            );
        });
    }

    /// Lets daemon `d` request a report from each engine, delivers up to eight messages of each
    /// kind and steps the pool of `d` twice.
    pub fn run_round(&mut self, d: usize) {
        for e in 0..ENGINES {
            self.request_report(d, e);
        }
        for _ in 0..8 {
            self.commit_pin_write(0);
            self.deliver_write_result(0);
            self.deliver_order(0);
            self.deliver_outcome(0);
            self.deliver_report(0);
        }
        self.tick(d, 250);
        self.tick(d, 250);
    }

    /// Restarts engine `e`.
    pub fn restart_engine(&mut self, e: usize) {
        self.engines[e].restart();
    }

    /// Returns the pin record of engine `e` in the table.
    pub fn engine_pins(&self, e: usize) -> EnginePins {
        self.pins[&engine(e)].0.clone()
    }

    /// Fails if an invariant is broken: one replica and one pin of each model, memory limits, and
    /// no loaded model without a pin.
    pub fn check_invariants(&self) {
        for m in 0..MODELS {
            let name = model(m);
            let replicas = self.engines.iter().filter(|e| e.loaded.contains(&name));
            assert!(replicas.count() <= 1, "{name} has too many replicas");
            let pins = self.pins.values().filter(|p| p.0.pins.contains_key(&name));
            assert!(pins.count() <= 1, "{name} has too many pins");
        }
        for (e, fake) in self.engines.iter().enumerate() {
            let used = fake.loaded.len() as u64 * MODEL_MEMORY_MB;
            assert!(used <= ENGINE_MEMORY_MB, "the memory of e{e} is exceeded");
            let pins = self.pins.get(&engine(e));
            for name in &fake.loaded {
                let pinned = pins.is_some_and(|p| p.0.pins.contains_key(name));
                assert!(pinned, "{name} is loaded on e{e} without a pin");
            }
        }
    }
}

/// Returns the index of one of the entries that `accepts` selects.
fn nth_matching<T>(all: &[T], n: usize, accepts: impl Fn(&T) -> bool) -> Option<usize> {
    let found: Vec<usize> = (0..all.len()).filter(|i| accepts(&all[*i])).collect();
    let count = found.len();
    (count > 0).then(|| found[n % count])
}
