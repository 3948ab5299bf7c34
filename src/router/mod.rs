//! Routing of requests on traffic threads, from the pool states that owners
//! publish.

mod engine_load;
mod prefixes;
mod queue;
mod state;

use std::sync::{Arc, Mutex, MutexGuard};

use crossbeam::channel::Receiver;

use crate::clock::{Clock, Moment};
use crate::config::{Config, Name};
use crate::error::Refusal;
use crate::peer::wire::{EngineState, PoolState, Usage};

pub use prefixes::PromptPrefix;
use queue::{Delivery, ModelQueue};
use state::RouterState;

/// What a request needs of a replica.
#[derive(Clone, Debug)]
pub struct RoutingRequest {
    /// Request id.
    pub id: Name,
    /// Caller.
    pub caller: Name,
    /// Model or adapter.
    pub model: Name,
    /// Start of its prompt.
    pub prefix: PromptPrefix,
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
pub type SlotResult = Result<Slot, Refusal>;

/// How a request gets to its engine.
pub enum RouteDecision {
    /// A slot is free now.
    Slot(Slot),
    /// All replicas are busy; the outcome comes over the channel.
    Queued(Waiter),
    /// No replica is loaded.
    NoReplica,
    /// The request cannot wait.
    Refused(Refusal),
}

/// A place in the queue; dropping it withdraws the request.
pub struct Waiter {
    /// Delivers the outcome.
    pub results: Receiver<SlotResult>,
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
    state: Arc<Mutex<RouterState>>,
    clock: Clock,
}

impl Router {
    /// A router in a failure domain that knows no replica.
    pub fn new(domain: &Name, clock: Clock) -> Self {
        let state = RouterState {
            domains: vec![domain.clone()],
            ..RouterState::default()
        };
        Router {
            state: Arc::new(Mutex::new(state)),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, RouterState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Counts the arrival of a request for `model`.
    pub fn record_arrival(&self, model: &Name) {
        *self.lock().arrivals.entry(model.clone()).or_default() += 1;
    }

    /// Finds a slot for a request; at most `max_waiting` requests wait for a model.
    pub fn acquire(&self, request: &RoutingRequest, max_waiting: usize) -> RouteDecision {
        let now = self.clock.now();
        let mut state = self.lock();
        if !state.has_replica(request, now) {
            return RouteDecision::NoReplica;
        }
        let occupied = state
            .queues
            .get(&request.model)
            .is_some_and(|q| !q.is_empty());
        if !occupied && let Some(engine) = state.best_replica(request, now) {
            state.note_prefix(request, &engine);
            return RouteDecision::Slot(self.take_slot(&mut state, engine, &request.model));
        }
        let mut deliveries = Vec::new();
        let model = request.model.clone();
        let queue = state.queues.entry(model);
        let queue = queue.or_insert_with(|| ModelQueue::new(max_waiting));
        let offered = queue.offer(request, now, &mut deliveries);
        self.serve_queues(&mut state, now, &mut deliveries);
        drop(state);
        deliver(deliveries);
        match offered {
            Err(refusal) => RouteDecision::Refused(refusal),
            Ok(results) => RouteDecision::Queued(Waiter {
                results,
                id: request.id.clone(),
                model: request.model.clone(),
                router: self.clone(),
            }),
        }
    }

    /// Takes a slot at the engine that a pool's owner named.
    pub fn acquire_assigned(&self, engine: &Name, model: &Name) -> Slot {
        self.take_slot(&mut self.lock(), engine.clone(), model)
    }

    fn take_slot(&self, state: &mut RouterState, engine: Name, model: &Name) -> Slot {
        let load = state.engines.entry(engine.clone()).or_default();
        load.record_start(self.clock.now());
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
            load.record_end();
        }
        state.release_running(engine, model);
        let mut deliveries = Vec::new();
        self.serve_queues(&mut state, self.clock.now(), &mut deliveries);
        drop(state);
        deliver(deliveries);
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
    fn serve_queues(&self, state: &mut RouterState, now: Moment, deliveries: &mut Vec<Delivery>) {
        if state.queues.is_empty() {
            return;
        }
        for queue in state.queues.values_mut() {
            queue.expire(now);
        }
        while let Some((model, engine)) = state.next_dispatch(now) {
            let Some(queue) = state.queues.get_mut(&model) else {
                break;
            };
            let Some(sender) = queue.pop(now) else {
                break;
            };
            let slot = self.take_slot(state, engine, &model);
            deliveries.push(Delivery {
                sender,
                result: Ok(slot),
            });
        }
        state.queues.retain(|_, queue| !queue.is_empty());
    }

    /// Notes that a request failed at `engine`, until its next report.
    pub fn record_failure(&self, engine: &Name) {
        let mut state = self.lock();
        if let Some(load) = state.engines.get_mut(engine) {
            load.record_failure(self.clock.now());
        }
        if !state.failed.contains(engine) {
            state.failed.push(engine.clone());
        }
    }

    /// Notes that a request got its first token at `engine`.
    pub fn record_success(&self, engine: &Name) {
        if let Some(load) = self.lock().engines.get_mut(engine) {
            load.record_success();
        }
    }

    /// Notes that `engine` does not hold `model` after all.
    pub fn remove_replica(&self, engine: &Name, model: &Name) {
        let mut state = self.lock();
        if let Some(engines) = state.replicas.get_mut(model) {
            engines.retain(|e| e != engine);
        }
    }

    /// Takes in a pool's state unless a newer one is known.
    pub fn apply_pool_state(&self, pool: &PoolState, config: &Config) -> bool {
        let mut state = self.lock();
        let version = (pool.epoch, pool.seq);
        let name = Name::from(pool.pool.as_str());
        if state
            .versions
            .get(&name)
            .is_some_and(|known| *known >= version)
        {
            return false;
        }
        state.versions.insert(name.clone(), version);
        state.replace_pool(&name, pool, config);
        let mut deliveries = Vec::new();
        self.serve_queues(&mut state, self.clock.now(), &mut deliveries);
        drop(state);
        deliver(deliveries);
        true
    }

    /// Takes in the loads of engines.
    pub fn apply_loads(&self, engines: &[EngineState]) {
        let mut state = self.lock();
        for engine in engines {
            if let Some(load) = state.engines.get_mut(engine.engine.as_str()) {
                load.apply_report(engine);
            }
        }
        let mut deliveries = Vec::new();
        self.serve_queues(&mut state, self.clock.now(), &mut deliveries);
        drop(state);
        deliver(deliveries);
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

/// Hands results over. The lock is free: the slot of a request that has just
/// given up is dropped here, which takes it again.
fn deliver(deliveries: Vec<Delivery>) {
    for delivery in deliveries {
        let _ = delivery.sender.send(delivery.result);
    }
}
