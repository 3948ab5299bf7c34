//! Two daemons' pools, a table, engines and what is on its way between them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::config::{Config, Engine, Model, Name, Policy, Strategy};
use mastichinge::outside::{EngineError, Order, Report, Resident, Verb};
use mastichinge::peer::wire::{Body, Usage};
use mastichinge::pool::waiting::Ticket;
use mastichinge::pool::{Action, Claimed, Context, PinWrite, Pool};
use mastichinge::protocol::ownership::{
    EnginePins, Grant, Owner, OwnerRecord, Sent, claim, handover, inherits_clean,
};

/// Engines: the first honours tokens, the other ignores them.
pub const ENGINES: usize = 2;
/// Models.
pub const MODELS: usize = 3;
/// Memory of each engine and of each model, MB.
const MEMORY: [u64; 2] = [10, 6];

pub fn engine(e: usize) -> Name {
    format!("e{e}").into()
}

pub fn model(m: usize) -> Name {
    format!("m{m}").into()
}

/// The configuration: each model may have one replica.
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
        let told = Engine {
            memory: MEMORY[0],
            fenced: e == 0,
            ..Engine::default()
        };
        config.engines.insert(engine(e), told);
    }
    for m in 0..MODELS {
        let told = Model {
            memory: MEMORY[1],
            load_ms: 1,
            ..Model::default()
        };
        config.models.insert(model(m), told);
    }
    config
}

/// An engine as it is.
#[derive(Debug, Default)]
struct Running {
    instance: u64,
    token: u64,
    loaded: BTreeSet<Name>,
}

impl Running {
    fn report(&self) -> Report {
        let residents = self.loaded.iter().map(|m| Resident {
            model: m.clone(),
            version: "1".into(),
            ready: true,
            memory: MEMORY[1],
        });
        Report {
            instance: format!("i{}", self.instance).into(),
            token: self.token,
            residents: residents.collect(),
            ..Report::default()
        }
    }

    fn carry_out(&mut self, order: &Order, fenced: bool) -> Result<Report, EngineError> {
        let current = self.report().instance;
        if order.instance != current {
            return Err(EngineError::Restarted { current });
        }
        if fenced && order.token < self.token {
            let current = self.token;
            return Err(EngineError::Fenced { current });
        }
        if fenced {
            self.token = order.token;
        }
        match order.verb {
            Verb::Load => {
                self.loaded.insert(order.model.clone());
            }
            Verb::Unload => {
                self.loaded.remove(&order.model);
            }
            Verb::Fence => {}
        }
        Ok(self.report())
    }
}

/// An order on its way, or carried out and its answer on its way.
#[derive(Debug)]
struct Flight {
    daemon: usize,
    epoch: u64,
    engine: usize,
    order: Order,
    /// Gone once the sender has an end.
    grant: Option<Grant<Sent>>,
    answer: Option<Result<Report, EngineError>>,
}

/// A pin write on its way, or done and its answer on its way.
#[derive(Debug)]
struct Job {
    daemon: usize,
    epoch: u64,
    item: u64,
    writes: Vec<PinWrite>,
    done: Option<Option<Vec<u64>>>,
}

/// A report on its way.
#[derive(Debug)]
struct Poll {
    daemon: usize,
    engine: usize,
    asked: Moment,
    report: Report,
}

/// Everything.
pub struct World {
    config: Arc<Config>,
    now: Moment,
    record: OwnerRecord,
    item: u64,
    pins: BTreeMap<Name, (EnginePins, u64)>,
    engines: Vec<Running>,
    pools: Vec<Option<Pool>>,
    flights: Vec<Flight>,
    jobs: Vec<Job>,
    polls: Vec<Poll>,
    tickets: u64,
    /// Loads that engines carried out.
    pub loads: u64,
    /// Pins that were removed.
    pub released: u64,
    /// Instances that were adopted.
    pub adopted: u64,
    /// Handovers that were written.
    pub handovers: u64,
}

impl Default for World {
    fn default() -> Self {
        World {
            config: Arc::new(config()),
            now: Duration::from_secs(1),
            record: OwnerRecord::default(),
            item: 0,
            pins: BTreeMap::new(),
            engines: (0..ENGINES).map(|_| Running::default()).collect(),
            pools: vec![None, None],
            flights: Vec::new(),
            jobs: Vec::new(),
            polls: Vec::new(),
            tickets: 0,
            loads: 0,
            released: 0,
            adopted: 0,
            handovers: 0,
        }
    }
}

impl World {
    fn act(&mut self, d: usize, step: impl FnOnce(&mut Pool, &Context<'_>, &mut Vec<Action>)) {
        let Some(mut pool) = self.pools[d].take() else {
            return;
        };
        let config = self.config.clone();
        let hosts = [Name::from("h")];
        let ctx = Context {
            config: &config,
            hosts: &hosts,
            table: true,
            now: self.now,
            unix: 0,
        };
        let mut out = Vec::new();
        step(&mut pool, &ctx, &mut out);
        while let Some(action) = out.pop() {
            self.take(d, &mut pool, action, &mut out);
        }
        if !pool.superseded() {
            self.pools[d] = Some(pool);
        }
    }

    fn take(&mut self, d: usize, pool: &mut Pool, action: Action, out: &mut Vec<Action>) {
        match action {
            Action::Order {
                engine,
                grant,
                order,
            } => self.flights.push(Flight {
                daemon: d,
                epoch: pool.epoch,
                engine: self.index(&engine),
                order,
                grant: Some(grant.send()),
                answer: None,
            }),
            Action::Write(writes) => self.jobs.push(Job {
                daemon: d,
                epoch: pool.epoch,
                item: pool.item,
                writes,
                done: None,
            }),
            Action::Ask { load, .. } => pool.permitted(&load, self.now, out),
            Action::Broadcast(Body::Pool(state)) => {
                let usage = Usage {
                    epoch: state.epoch,
                    seq: state.seq,
                    ..Usage::default()
                };
                pool.used(&"h".into(), &usage, self.now);
            }
            _ => {}
        }
    }

    fn index(&self, name: &Name) -> usize {
        (0..ENGINES).find(|e| engine(*e) == *name).unwrap()
    }

    /// A step of the pool of `d` after `ms` more milliseconds.
    pub fn tick(&mut self, d: usize, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.act(d, |pool, ctx, out| pool.tick(ctx, out));
    }

    /// A request for model `m` that must not run on engine `avoid`.
    pub fn want(&mut self, d: usize, m: usize, avoid: Option<usize>) {
        self.tickets += 1;
        let ticket = Ticket {
            id: format!("t{}", self.tickets).into(),
            host: "h".into(),
            model: model(m),
            deadline: self.now + Duration::from_secs(2),
            priority: 5,
            suspect: None,
            avoid: avoid.map(engine).into_iter().collect(),
        };
        self.act(d, |pool, ctx, out| pool.want(ticket, ctx, out));
    }

    /// Daemon `d` claims the pool and reads the pins.
    pub fn claim(&mut self, d: usize) {
        let me = Owner {
            host: format!("d{d}").into(),
            incarnation: self.item,
        };
        let clean = inherits_clean(Some(&self.record).filter(|_| self.item > 0));
        self.record = claim(Some(&self.record), &me);
        self.item += 1;
        let claimed = Claimed {
            epoch: self.record.epoch,
            item: self.item,
            clean,
            pins: self.pins.clone(),
        };
        let pool = Pool::new(&"default".into(), claimed, "p", &self.config);
        self.pools[d] = Some(pool);
    }

    /// Daemon `d` gives the pool up if no order of it is in flight.
    pub fn hand_over(&mut self, d: usize) {
        let Some(pool) = &mut self.pools[d] else {
            return;
        };
        pool.stop();
        let Some(writes) = pool.quiet() else {
            return;
        };
        let (item, epoch) = (pool.item, pool.epoch);
        self.pools[d] = None;
        if self.commit(item, &writes).is_some() {
            self.record = handover(&OwnerRecord {
                epoch,
                ..self.record.clone()
            });
            self.item += 1;
            self.handovers += 1;
        }
    }

    fn commit(&mut self, item: u64, writes: &[PinWrite]) -> Option<Vec<u64>> {
        let version = |w: &PinWrite| self.pins.get(&w.engine).map_or(0, |p| p.1);
        if self.item != item || writes.iter().any(|w| version(w) != w.item) {
            return None;
        }
        for write in writes {
            if let Some((old, _)) = self.pins.get(&write.engine) {
                let left = old.intersection(&write.pins).pins.len();
                self.released += (old.pins.len() - left) as u64;
                self.adopted += u64::from(old.instance != write.pins.instance);
            }
            let record = (write.pins.clone(), write.item + 1);
            self.pins.insert(write.engine.clone(), record);
        }
        Some(writes.iter().map(|w| w.item + 1).collect())
    }

    /// A pin write takes effect or fails.
    pub fn write(&mut self, n: usize) {
        let open = |j: &Job| j.done.is_none();
        let Some(i) = nth(&self.jobs, n, open) else {
            return;
        };
        let (item, writes) = (self.jobs[i].item, self.jobs[i].writes.clone());
        self.jobs[i].done = Some(self.commit(item, &writes));
    }

    /// The daemon learns what became of a pin write.
    pub fn written(&mut self, n: usize) {
        let Some(i) = nth(&self.jobs, n, |j| j.done.is_some()) else {
            return;
        };
        let job = self.jobs.remove(i);
        let own = self.pools[job.daemon].as_mut();
        let Some(pool) = own.filter(|p| p.epoch == job.epoch) else {
            return;
        };
        match job.done.flatten() {
            Some(versions) => pool.written(job.writes, versions),
            None => self.pools[job.daemon] = None,
        }
    }

    /// An order reaches its engine.
    pub fn deliver(&mut self, n: usize) {
        let Some(i) = nth(&self.flights, n, |f| f.answer.is_none()) else {
            return;
        };
        let flight = &mut self.flights[i];
        let running = &mut self.engines[flight.engine];
        let answer = running.carry_out(&flight.order, flight.engine == 0);
        self.loads += u64::from(flight.order.verb == Verb::Load && answer.is_ok());
        flight.answer = Some(answer);
        if flight.grant.is_none() {
            self.flights.remove(i);
        }
    }

    /// The answer to an order reaches its sender.
    pub fn answer(&mut self, n: usize) {
        let Some(i) = nth(&self.flights, n, |f| f.answer.is_some()) else {
            return;
        };
        let flight = self.flights.remove(i);
        if let (Some(grant), Some(answer)) = (flight.grant, flight.answer) {
            self.ended(flight.daemon, flight.epoch, flight.engine, grant, answer);
        }
    }

    /// The sender of an order sees its connection break.
    pub fn lose(&mut self, n: usize) {
        let Some(i) = nth(&self.flights, n, |f| f.grant.is_some()) else {
            return;
        };
        let flight = &mut self.flights[i];
        let (d, epoch, e) = (flight.daemon, flight.epoch, flight.engine);
        let grant = flight.grant.take().unwrap();
        if flight.answer.is_some() {
            self.flights.remove(i);
        }
        let broken = Err(EngineError::Broken("in the test".into()));
        self.ended(d, epoch, e, grant, broken);
    }

    fn ended(
        &mut self,
        d: usize,
        epoch: u64,
        e: usize,
        grant: Grant<Sent>,
        result: Result<Report, EngineError>,
    ) {
        self.act(d, |pool, ctx, out| {
            if pool.epoch == epoch {
                pool.ordered(&engine(e), grant, result, ctx.now, out);
            }
        });
    }

    /// Daemon `d` asks engine `e` for its report.
    pub fn ask(&mut self, d: usize, e: usize) {
        self.now += Duration::from_millis(1);
        self.polls.push(Poll {
            daemon: d,
            engine: e,
            asked: self.now,
            report: self.engines[e].report(),
        });
    }

    /// A report reaches its asker.
    pub fn hear(&mut self, n: usize) {
        if self.polls.is_empty() {
            return;
        }
        self.now += Duration::from_millis(1);
        let poll = self.polls.remove(n % self.polls.len());
        self.act(poll.daemon, |pool, ctx, _| {
            pool.polled(&engine(poll.engine), Ok(poll.report), poll.asked, ctx.now);
        });
    }

    /// Everything on its way arrives, and daemon `d` goes on twice.
    pub fn round(&mut self, d: usize) {
        for e in 0..ENGINES {
            self.ask(d, e);
        }
        for _ in 0..8 {
            self.write(0);
            self.written(0);
            self.deliver(0);
            self.answer(0);
            self.hear(0);
        }
        self.tick(d, 250);
        self.tick(d, 250);
    }

    /// Engine `e` restarts.
    pub fn restart(&mut self, e: usize) {
        self.engines[e] = Running {
            instance: self.engines[e].instance + 1,
            ..Running::default()
        };
    }

    /// The pin record of engine `e` in the table.
    pub fn pins(&self, e: usize) -> EnginePins {
        self.pins[&engine(e)].0.clone()
    }

    /// Fails on a broken invariant.
    pub fn check(&self) {
        for m in 0..MODELS {
            let name = model(m);
            let replicas = self.engines.iter().filter(|e| e.loaded.contains(&name));
            assert!(replicas.count() <= 1, "{name} has too many replicas");
            let pins = self.pins.values().filter(|p| p.0.pins.contains_key(&name));
            assert!(pins.count() <= 1, "{name} has too many pins");
        }
        for (e, running) in self.engines.iter().enumerate() {
            let used = running.loaded.len() as u64 * MEMORY[1];
            assert!(used <= MEMORY[0], "the memory of e{e} is exceeded");
            let pins = self.pins.get(&engine(e));
            for name in &running.loaded {
                let pinned = pins.is_some_and(|p| p.0.pins.contains_key(name));
                assert!(pinned, "{name} is loaded on e{e} without a pin");
            }
        }
    }
}

/// Index of one of the entries that `open` accepts.
fn nth<T>(all: &[T], n: usize, open: impl Fn(&T) -> bool) -> Option<usize> {
    let found: Vec<usize> = (0..all.len()).filter(|i| open(&all[*i])).collect();
    let count = found.len();
    (count > 0).then(|| found[n % count])
}
