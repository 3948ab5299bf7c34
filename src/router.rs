//! Routing of requests on traffic threads, from the pool states that owners
//! publish.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use crossbeam::channel::{Receiver, Sender, bounded};

use crate::clock::{Clock, Moment};
use crate::config::{Config, Name};
use crate::peer::wire::{PoolState, Usage, Use};

/// What a request needs of a replica.
#[derive(Clone, Debug)]
pub struct Need {
    /// Model or adapter.
    pub model: Name,
    /// Priority; higher first.
    pub priority: u8,
    /// Moment by which it must start.
    pub deadline: Moment,
    /// Engine instances that it must not run on.
    pub avoid: Vec<Name>,
}

/// How a request gets to its engine.
pub enum Route {
    /// A slot is free now.
    Slot(Slot),
    /// All replicas are busy; the slot comes over the channel.
    Wait(Waiter),
    /// No replica is loaded.
    Cold,
    /// The queue is full.
    Full,
}

/// A place in the queue; dropping it withdraws the request.
pub struct Waiter {
    /// Delivers the slot.
    pub slots: Receiver<Slot>,
    number: u64,
    router: Router,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.router.withdraw(self.number);
    }
}

/// One request's share of an engine; dropping it frees the share.
pub struct Slot {
    /// Engine.
    pub engine: Name,
    /// Instance id of the engine when the slot was taken.
    pub instance: Name,
    model: Name,
    router: Router,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.router.release(&self.engine, &self.model);
    }
}

/// State of one engine as this daemon sees it.
#[derive(Clone, Debug, Default)]
struct Load {
    pool: Name,
    instance: Name,
    slots: u32,
    reported: u32,
    mine: u32,
    since: u32,
    leaving: bool,
    failed: bool,
}

impl Load {
    /// Requests in progress: the larger of what was reported, corrected by
    /// what this daemon sent since, and what this daemon itself runs.
    fn estimate(&self) -> u32 {
        self.mine.max(self.reported + self.since)
    }

    fn takes_work(&self) -> bool {
        !self.leaving && !self.failed
    }
}

struct Queued {
    number: u64,
    need: Need,
    sender: Sender<Slot>,
}

#[derive(Default)]
struct State {
    seen: HashMap<Name, (u64, u64)>,
    replicas: HashMap<Name, Vec<Name>>,
    engines: HashMap<Name, Load>,
    queue: Vec<Queued>,
    arrived: HashMap<Name, u32>,
    running: HashMap<(Name, Name), u32>,
    failed: Vec<Name>,
    number: u64,
}

/// Routing state shared by traffic threads.
#[derive(Clone)]
pub struct Router {
    state: Arc<Mutex<State>>,
    clock: Clock,
}

impl Router {
    /// A router that knows no replica.
    pub fn new(clock: Clock) -> Self {
        Router {
            state: Arc::default(),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Counts the arrival of a request for `model`.
    pub fn arrived(&self, model: &Name) {
        *self.lock().arrived.entry(model.clone()).or_default() += 1;
    }

    /// Finds a slot for a request; at most `most` requests wait for a model.
    pub fn acquire(&self, need: &Need, most: usize) -> Route {
        let mut state = self.lock();
        if !state.has_replica(need) {
            return Route::Cold;
        }
        if let Some(engine) = state.best(need) {
            return Route::Slot(self.take(&mut state, engine, &need.model));
        }
        let same = state.queue.iter().filter(|q| q.need.model == need.model);
        if same.count() >= most {
            return Route::Full;
        }
        let (sender, slots) = bounded(1);
        state.number += 1;
        let number = state.number;
        state.queue.push(Queued {
            number,
            need: need.clone(),
            sender,
        });
        state.queue.sort_by_key(|q| {
            let rank = u8::MAX - q.need.priority;
            (rank, q.need.deadline, q.number)
        });
        Route::Wait(Waiter {
            slots,
            number,
            router: self.clone(),
        })
    }

    /// Takes a slot at the engine that a pool's owner named.
    pub fn assigned(&self, engine: &Name, model: &Name) -> Slot {
        self.take(&mut self.lock(), engine.clone(), model)
    }

    fn take(&self, state: &mut State, engine: Name, model: &Name) -> Slot {
        let load = state.engines.entry(engine.clone()).or_default();
        load.mine += 1;
        load.since += 1;
        let instance = load.instance.clone();
        let key = (model.clone(), engine.clone());
        *state.running.entry(key).or_default() += 1;
        Slot {
            engine,
            instance,
            model: model.clone(),
            router: self.clone(),
        }
    }

    fn release(&self, engine: &Name, model: &Name) {
        let mut state = self.lock();
        if let Some(load) = state.engines.get_mut(engine) {
            load.mine = load.mine.saturating_sub(1);
            load.since = load.since.saturating_sub(1);
            load.reported = load.reported.saturating_sub(1);
        }
        let key = (model.clone(), engine.clone());
        if let Some(running) = state.running.get_mut(&key) {
            *running -= 1;
            if *running == 0 {
                state.running.remove(&key);
            }
        }
        let grants = self.serve_queue(&mut state);
        drop(state);
        deliver(grants);
    }

    fn withdraw(&self, number: u64) {
        self.lock().queue.retain(|q| q.number != number);
    }

    /// Gives free slots to waiting requests. The slots are handed over by the
    /// caller after the lock is released: a dropped slot takes it again.
    fn serve_queue(&self, state: &mut State) -> Vec<(Sender<Slot>, Slot)> {
        let mut grants = Vec::new();
        let mut index = 0;
        while index < state.queue.len() {
            let Some(engine) = state.best(&state.queue[index].need) else {
                index += 1;
                continue;
            };
            let queued = state.queue.remove(index);
            let slot = self.take(state, engine, &queued.need.model);
            grants.push((queued.sender, slot));
        }
        grants
    }

    /// Notes that a request failed at `engine`, until its next report.
    pub fn failed(&self, engine: &Name) {
        let mut state = self.lock();
        if let Some(load) = state.engines.get_mut(engine) {
            load.failed = true;
        }
        state.failed.push(engine.clone());
    }

    /// Notes that `engine` does not hold `model` after all.
    pub fn missing(&self, engine: &Name, model: &Name) {
        let mut state = self.lock();
        if let Some(engines) = state.replicas.get_mut(model) {
            engines.retain(|e| e != engine);
        }
    }

    /// Takes in a pool's state unless a newer one is known.
    pub fn apply(&self, pool: &PoolState, config: &Config) -> bool {
        let mut state = self.lock();
        let stamp = (pool.epoch, pool.seq);
        let name = Name::from(pool.pool.as_str());
        if state.seen.get(&name).is_some_and(|seen| *seen >= stamp) {
            return false;
        }
        state.seen.insert(name.clone(), stamp);
        state.replace(&name, pool, config);
        let grants = self.serve_queue(&mut state);
        drop(state);
        deliver(grants);
        true
    }

    /// What this daemon used of `pool` since the last call.
    pub fn usage(&self, pool: &Name, config: &Config) -> Usage {
        self.lock().usage(pool, config)
    }

    /// Requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.lock().queue.len()
    }

    /// Requests in progress at engines.
    pub fn running(&self) -> u32 {
        self.lock().running.values().sum()
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }
}

fn deliver(grants: Vec<(Sender<Slot>, Slot)>) {
    for (sender, slot) in grants {
        // A waiter that has just given up drops the slot here, which frees it.
        let _ = sender.send(slot);
    }
}

impl State {
    fn usable(&self, need: &Need, engine: &Name) -> bool {
        let load = self.engines.get(engine);
        load.is_some_and(|l| l.takes_work() && !need.avoid.contains(&l.instance))
    }

    fn has_replica(&self, need: &Need) -> bool {
        let Some(engines) = self.replicas.get(&need.model) else {
            return false;
        };
        engines.iter().any(|e| self.usable(need, e))
    }

    /// The usable replica with the most free slots.
    fn best(&self, need: &Need) -> Option<Name> {
        let mut best: Option<(&Name, u32)> = None;
        for engine in self.replicas.get(&need.model)? {
            if !self.usable(need, engine) {
                continue;
            }
            let load = &self.engines[engine];
            let free = load.slots.saturating_sub(load.estimate());
            if free == 0 {
                continue;
            }
            if best.is_none_or(|(_, most)| free > most) {
                best = Some((engine, free));
            }
        }
        best.map(|(engine, _)| engine.clone())
    }

    fn replace(&mut self, name: &Name, pool: &PoolState, config: &Config) {
        let gone: Vec<Name> = self
            .engines
            .iter()
            .filter(|(_, load)| load.pool == *name)
            .map(|(engine, _)| engine.clone())
            .collect();
        for engines in self.replicas.values_mut() {
            engines.retain(|e| !gone.contains(e));
        }
        for known in &pool.engines {
            let engine = Name::from(known.engine.as_str());
            let slots = config.engines.get(&engine).map_or(1, |e| e.slots);
            let load = self.engines.entry(engine.clone()).or_default();
            load.pool = name.clone();
            load.instance = known.instance.as_str().into();
            load.slots = slots;
            load.reported = known.running + known.waiting;
            load.since = 0;
            load.leaving = known.leaving;
            load.failed = false;
            for model in &known.ready {
                let engines = self.replicas.entry(model.as_str().into()).or_default();
                engines.push(engine.clone());
            }
        }
        self.replicas.retain(|_, engines| !engines.is_empty());
    }

    fn usage(&mut self, pool: &Name, config: &Config) -> Usage {
        let in_pool = |model: &Name| config.models.get(model).is_some_and(|m| m.pool == *pool);
        let (epoch, seq) = self.seen.get(pool).copied().unwrap_or_default();
        let mut uses = Vec::new();
        self.arrived.retain(|model, count| {
            if !in_pool(model) {
                return true;
            }
            uses.push(used(model, "", *count, 0));
            false
        });
        for queued in self.queue.iter().filter(|q| in_pool(&q.need.model)) {
            uses.push(used(&queued.need.model, "", 0, 1));
        }
        for ((model, engine), count) in &self.running {
            if in_pool(model) {
                uses.push(used(model, engine, 0, *count));
            }
        }
        let mut failed = Vec::new();
        self.failed.retain(|engine| {
            if config.engines.get(engine).is_some_and(|e| e.pool != *pool) {
                return true;
            }
            failed.push(engine.to_string());
            false
        });
        Usage {
            pool: pool.to_string(),
            epoch,
            seq,
            uses,
            failed,
        }
    }
}

fn used(model: &str, engine: &str, arrived: u32, running: u32) -> Use {
    Use {
        model: model.to_owned(),
        engine: engine.to_owned(),
        arrived,
        running,
    }
}
