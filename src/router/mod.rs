//! Routing of requests on traffic threads, from the pool states that owners
//! publish.

mod load;
mod prefixes;
mod queue;
mod state;

use std::sync::{Arc, Mutex, MutexGuard};

use crossbeam::channel::Receiver;

use crate::clock::{Clock, Moment};
use crate::config::{Config, Name};
use crate::error::Refusal;
use crate::peer::wire::{EngineState, PoolState, Usage};

pub use prefixes::Prefix;
use queue::{Delivery, ModelQueue};
use state::State;

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
        if !state.has_replica(need, now) {
            return Route::Cold;
        }
        let waits = state.queues.get(&need.model).is_some_and(|q| !q.is_empty());
        if !waits && let Some(engine) = state.best(need, now) {
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
        load.began(self.clock.now());
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

    /// Gives free slots to waiting requests, the most valuable over all models
    /// first.
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
            load.fail(self.clock.now());
        }
        if !state.failed.contains(engine) {
            state.failed.push(engine.clone());
        }
    }

    /// Notes that a request got its first token at `engine`.
    pub fn succeeded(&self, engine: &Name) {
        if let Some(load) = self.lock().engines.get_mut(engine) {
            load.succeeded();
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

    /// Takes in the loads of engines.
    pub fn loads(&self, engines: &[EngineState]) {
        let mut state = self.lock();
        for engine in engines {
            if let Some(load) = state.engines.get_mut(engine.engine.as_str()) {
                load.reported(engine);
            }
        }
        let mut out = Vec::new();
        self.serve_queues(&mut state, self.clock.now(), &mut out);
        drop(state);
        deliver(out);
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
