//! Routing of requests on traffic threads, from the pool states that owners
//! publish.

mod load;
mod prefixes;
mod queue;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use crossbeam::channel::Receiver;

use crate::clock::{Clock, Moment};
use crate::config::{Config, Name};
use crate::decide::routing::{self, Candidate, Domain, choose};
use crate::error::Refusal;
use crate::peer::wire::{PoolState, Usage, Use};

use load::Load;
pub use prefixes::Prefix;
use prefixes::Prefixes;
use queue::{Delivery, ModelQueue};

/// What a request needs of a replica.
#[derive(Clone, Debug)]
pub struct Need {
    /// Request id.
    pub id: Name,
    /// Caller.
    pub caller: Name,
    /// Model or adapter.
    pub model: Name,
    /// Start of its prompt.
    pub prefix: Prefix,
    /// Priority; higher first.
    pub priority: u8,
    /// Worth of its completion.
    pub worth: f64,
    /// Moment by which it must start.
    pub deadline: Moment,
    /// Engine instances that it must not run on.
    pub avoid: Vec<Name>,
}

/// What a waiting request gets.
pub type Outcome = Result<Slot, Refusal>;

/// How a request gets to its engine.
pub enum Route {
    /// A slot is free now.
    Slot(Slot),
    /// All replicas are busy; the outcome comes over the channel.
    Wait(Waiter),
    /// No replica is loaded.
    Cold,
    /// The request cannot wait.
    Refused(Refusal),
}

/// A place in the queue; dropping it withdraws the request.
pub struct Waiter {
    /// Delivers the outcome.
    pub outcomes: Receiver<Outcome>,
    id: Name,
    model: Name,
    router: Router,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.router.withdraw(&self.model, &self.id);
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

#[derive(Default)]
struct State {
    seen: HashMap<Name, (u64, u64)>,
    replicas: HashMap<Name, Vec<Name>>,
    engines: HashMap<Name, Load>,
    queues: HashMap<Name, ModelQueue>,
    prefixes: Prefixes,
    domains: Vec<Name>,
    domain: Domain,
    arrived: HashMap<Name, u32>,
    running: HashMap<(Name, Name), u32>,
    failed: Vec<Name>,
}

/// Routing state shared by traffic threads.
#[derive(Clone)]
pub struct Router {
    state: Arc<Mutex<State>>,
    clock: Clock,
}

impl Router {
    /// A router in a failure domain that knows no replica.
    pub fn new(domain: &Name, clock: Clock) -> Self {
        let state = State {
            domains: vec![domain.clone()],
            ..State::default()
        };
        Router {
            state: Arc::new(Mutex::new(state)),
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
        let now = self.clock.now();
        let mut state = self.lock();
        if !state.has_replica(need) {
            return Route::Cold;
        }
        let waits = state.queues.get(&need.model).is_some_and(|q| !q.is_empty());
        if !waits && let Some(engine) = state.best(need) {
            state.note_prefix(need, &engine);
            return Route::Slot(self.take(&mut state, engine, &need.model));
        }
        let mut out = Vec::new();
        let model = need.model.clone();
        let queue = state.queues.entry(model);
        let queue = queue.or_insert_with(|| ModelQueue::new(most));
        let offered = queue.offer(need, now, &mut out);
        self.serve_queues(&mut state, now, &mut out);
        drop(state);
        deliver(out);
        match offered {
            Err(refusal) => Route::Refused(refusal),
            Ok(outcomes) => Route::Wait(Waiter {
                outcomes,
                id: need.id.clone(),
                model: need.model.clone(),
                router: self.clone(),
            }),
        }
    }

    /// Takes a slot at the engine that a pool's owner named.
    pub fn assigned(&self, engine: &Name, model: &Name) -> Slot {
        self.take(&mut self.lock(), engine.clone(), model)
    }

    fn take(&self, state: &mut State, engine: Name, model: &Name) -> Slot {
        let load = state.engines.entry(engine.clone()).or_default();
        load.began();
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
            load.ended();
        }
        state.stop_running(engine, model);
        let mut out = Vec::new();
        self.serve_queues(&mut state, self.clock.now(), &mut out);
        drop(state);
        deliver(out);
    }

    fn withdraw(&self, model: &Name, id: &Name) {
        let mut state = self.lock();
        let Some(queue) = state.queues.get_mut(model) else {
            return;
        };
        queue.withdraw(id);
        if queue.is_empty() {
            state.queues.remove(model);
        }
    }

    /// Gives free slots to waiting requests, the highest priority and then the
    /// earliest deadline over all models first.
    fn serve_queues(&self, state: &mut State, now: Moment, out: &mut Vec<Delivery>) {
        if state.queues.is_empty() {
            return;
        }
        for queue in state.queues.values_mut() {
            queue.expire(now);
        }
        while let Some((model, engine)) = state.next_served(now) {
            let Some(queue) = state.queues.get_mut(&model) else {
                break;
            };
            let Some(sender) = queue.take(now) else {
                break;
            };
            let slot = self.take(state, engine, &model);
            out.push(Delivery {
                sender,
                outcome: Ok(slot),
            });
        }
        state.queues.retain(|_, queue| !queue.is_empty());
    }

    /// Notes that a request failed at `engine`, until its next report.
    pub fn failed(&self, engine: &Name) {
        let mut state = self.lock();
        if let Some(load) = state.engines.get_mut(engine) {
            load.fail();
        }
        if !state.failed.contains(engine) {
            state.failed.push(engine.clone());
        }
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
        let mut out = Vec::new();
        self.serve_queues(&mut state, self.clock.now(), &mut out);
        drop(state);
        deliver(out);
        true
    }

    /// What this daemon used of `pool` since the last call.
    pub fn usage(&self, pool: &Name, config: &Config) -> Usage {
        self.lock().usage(pool, config)
    }

    /// Requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.lock().queues.values().map(ModelQueue::len).sum()
    }

    /// Requests in progress at engines.
    pub fn running(&self) -> u32 {
        self.lock().running.values().sum()
    }
}

/// Hands outcomes over. The lock is free: the slot of a request that has just
/// given up is dropped here, which takes it again.
fn deliver(out: Vec<Delivery>) {
    for delivery in out {
        let _ = delivery.sender.send(delivery.outcome);
    }
}

impl State {
    fn has_replica(&self, need: &Need) -> bool {
        let Some(engines) = self.replicas.get(&need.model) else {
            return false;
        };
        engines.iter().any(|engine| {
            let load = self.engines.get(engine);
            load.is_some_and(|l| l.open() && !need.avoid.contains(&l.instance))
        })
    }

    /// The best replica with a free slot.
    fn best(&self, need: &Need) -> Option<Name> {
        let mut engines: Vec<&Name> = Vec::new();
        let mut candidates: Vec<Candidate> = Vec::new();
        for engine in self.replicas.get(&need.model)? {
            let Some(load) = self.engines.get(engine) else {
                continue;
            };
            let cached = self.prefixes.cached(need.prefix, &load.instance);
            let candidate = load.candidate(&need.avoid, cached);
            if !candidate.free() {
                continue;
            }
            engines.push(engine);
            candidates.push(candidate);
        }
        let wish = routing::Need {
            domain: self.domain,
            prompt: need.prefix.tokens,
        };
        choose(&candidates, &wish).map(|i| engines[i].clone())
    }

    fn note_prefix(&mut self, need: &Need, engine: &Name) {
        if let Some(load) = self.engines.get(engine) {
            self.prefixes.sent(need.prefix, &load.instance);
        }
    }

    /// The model whose queue is served next, and the engine.
    fn next_served(&self, now: Moment) -> Option<(Name, Name)> {
        let mut next: Option<((u8, Moment), Name, Name)> = None;
        for (model, queue) in &self.queues {
            let Some(need) = queue.head(now) else {
                continue;
            };
            let rank = (u8::MAX - need.priority, need.deadline);
            if next.as_ref().is_some_and(|(least, _, _)| *least <= rank) {
                continue;
            }
            if let Some(engine) = self.best(need) {
                next = Some((rank, model.clone(), engine));
            }
        }
        next.map(|(_, model, engine)| (model, engine))
    }

    fn stop_running(&mut self, engine: &Name, model: &Name) {
        let key = (model.clone(), engine.clone());
        let Some(running) = self.running.get_mut(&key) else {
            return;
        };
        *running -= 1;
        if *running == 0 {
            self.running.remove(&key);
        }
    }

    fn domain(&mut self, name: &Name) -> Domain {
        let known = self.domains.iter().position(|d| d == name);
        let index = known.unwrap_or_else(|| {
            self.domains.push(name.clone());
            self.domains.len() - 1
        });
        Domain::try_from(index).unwrap_or(Domain::MAX)
    }

    fn replace(&mut self, name: &Name, pool: &PoolState, config: &Config) {
        for (engine, load) in &self.engines {
            if load.pool != *name {
                continue;
            }
            for engines in self.replicas.values_mut() {
                engines.retain(|e| e != engine);
            }
        }
        for known in &pool.engines {
            let engine = Name::from(known.engine.as_str());
            let told = config.engines.get(&engine).cloned().unwrap_or_default();
            let domain = self.domain(&told.domain);
            let load = self.engines.entry(engine.clone()).or_default();
            load.pool = name.clone();
            load.slots = told.slots;
            load.domain = domain;
            load.reported(known);
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
        for (model, queue) in &self.queues {
            if in_pool(model) && !queue.is_empty() {
                let waiting = u32::try_from(queue.len()).unwrap_or(u32::MAX);
                uses.push(used(model, "", 0, waiting));
            }
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
