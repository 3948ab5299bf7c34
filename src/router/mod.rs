//! Routing of requests to engines on traffic threads, based on the pool states
//! that pool owners publish.

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

/// A request to be routed to a replica.
#[derive(Clone, Debug)]
pub struct RoutingRequest {
    /// Request id.
    pub id: Name,
    /// Caller.
    pub caller: Name,
    /// Model or adapter.
    pub model: Name,
    /// Prefix of the prompt.
    pub prefix: PromptPrefix,
    /// Priority; higher first.
    pub priority: u8,
    /// Value of completing the request.
    pub worth: f64,
    /// Moment by which the request must start.
    pub deadline: Moment,
    /// Engine instances on which the request must not run.
    pub avoid: Vec<Name>,
}

/// Result for a queued request.
pub type SlotResult = Result<Slot, Refusal>;

/// Routing decision for a request.
pub enum RouteDecision {
    /// A slot was free.
    Slot(Slot),
    /// All replicas are busy; the result arrives over the waiter's channel.
    Queued(Waiter),
    /// No loaded replica accepts the request.
    NoReplica,
    /// The request was not queued.
    Refused(Refusal),
}

/// A queued request; dropping it removes the request from the queue.
pub struct Waiter {
    /// Receives the result.
    pub results: Receiver<SlotResult>,
    id: Name,
    model: Name,
    router: Router,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.router.remove_queued(&self.model, &self.id);
    }
}

/// One request's slot on an engine; dropping it frees the slot.
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
        self.router.release_slot(&self.engine, &self.model);
    }
}

/// Routing state shared by traffic threads.
#[derive(Clone)]
pub struct Router {
    state: Arc<Mutex<RouterState>>,
    clock: Clock,
}

impl Router {
    /// Returns a router in `domain` that knows no replica.
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

    /// Finds a slot for a request, or queues it; at most `max_waiting` requests wait
    /// for one model.
    pub fn acquire(&self, request: &RoutingRequest, max_waiting: usize) -> RouteDecision {
        let now = self.clock.now();
        let mut state = self.lock();
        if !state.has_replica(request, now) {
            return RouteDecision::NoReplica;
        }
        let has_queued = state
            .queues
            .get(&request.model)
            .is_some_and(|q| !q.is_empty());
        if !has_queued && let Some(engine) = state.best_replica(request, now) {
            return RouteDecision::Slot(self.take_slot(&mut state, engine, request));
        }
        let mut deliveries = Vec::new();
        let model = request.model.clone();
        let queue = state.queues.entry(model);
        let queue = queue.or_insert_with(|| ModelQueue::new(max_waiting));
        let queued = queue.enqueue(request, now, &mut deliveries);
        self.serve_queues(&mut state, now, &mut deliveries);
        drop(state);
        deliver(deliveries);
        match queued {
            Err(refusal) => RouteDecision::Refused(refusal),
            Ok(results) => RouteDecision::Queued(Waiter {
                results,
                id: request.id.clone(),
                model: request.model.clone(),
                router: self.clone(),
            }),
        }
    }

    /// Takes a slot on the engine that a pool's owner assigned.
    pub fn acquire_assigned(&self, engine: &Name, request: &RoutingRequest) -> Slot {
        self.take_slot(&mut self.lock(), engine.clone(), request)
    }

    fn take_slot(&self, state: &mut RouterState, engine: Name, request: &RoutingRequest) -> Slot {
        state.record_prefix(request, &engine);
        let load = state.engines.entry(engine.clone()).or_default();
        load.record_start(self.clock.now());
        let instance = load.instance.clone();
        let model = request.model.clone();
        let key = (model.clone(), engine.clone());
        *state.running.entry(key).or_default() += 1;
        Slot {
            engine,
            instance,
            model,
            router: self.clone(),
        }
    }

    fn release_slot(&self, engine: &Name, model: &Name) {
        let mut state = self.lock();
        if let Some(load) = state.engines.get_mut(engine) {
            load.record_end();
        }
        state.remove_running(engine, model);
        let mut deliveries = Vec::new();
        self.serve_queues(&mut state, self.clock.now(), &mut deliveries);
        drop(state);
        deliver(deliveries);
    }

    fn remove_queued(&self, model: &Name, id: &Name) {
        let mut state = self.lock();
        let Some(queue) = state.queues.get_mut(model) else {
            return;
        };
        queue.remove(id);
        if queue.is_empty() {
            state.queues.remove(model);
        }
    }

    /// Assigns free slots to queued requests, the most valuable of all models
    /// first.
    fn serve_queues(&self, state: &mut RouterState, now: Moment, deliveries: &mut Vec<Delivery>) {
        if state.queues.is_empty() {
            return;
        }
        for queue in state.queues.values_mut() {
            queue.remove_expired(now);
        }
        while let Some((model, engine)) = state.next_dispatch(now) {
            let Some(queue) = state.queues.get_mut(&model) else {
                break;
            };
            let Some(entry) = queue.dequeue(now) else {
                break;
            };
            let slot = self.take_slot(state, engine, &entry.request);
            deliveries.push(Delivery {
                sender: entry.sender,
                result: Ok(slot),
            });
        }
        state.queues.retain(|_, queue| !queue.is_empty());
    }

    /// Records that a request failed on `engine`: the engine gets no new work for a
    /// short time, and the pool's owner learns of it with the next usage report.
    pub fn record_failure(&self, engine: &Name) {
        let mut state = self.lock();
        if let Some(load) = state.engines.get_mut(engine) {
            load.record_failure(self.clock.now());
        }
        if !state.failed.contains(engine) {
            state.failed.push(engine.clone());
        }
    }

    /// Records that a request got its first token from `engine`.
    pub fn record_success(&self, engine: &Name) {
        if let Some(load) = self.lock().engines.get_mut(engine) {
            load.record_success();
        }
    }

    /// Returns the fingerprint of the version of a model's weights on an engine, if it is known.
    pub fn weights(&self, engine: &Name, model: &Name) -> Option<u32> {
        self.lock().weights(engine, model)
    }

    /// Returns whether some replica of a model has this version of the weights, on an instance
    /// that is not to be avoided.
    pub fn has_weights(&self, model: &Name, weights: u32, avoid: &[Name]) -> bool {
        self.lock().has_weights(model, weights, avoid)
    }

    /// Removes `engine` from the replicas of `model` because it does not have the
    /// model loaded.
    pub fn remove_replica(&self, engine: &Name, model: &Name) {
        let mut state = self.lock();
        if let Some(engines) = state.replicas.get_mut(model) {
            engines.retain(|e| e != engine);
        }
    }

    /// Applies a pool's state; returns false when the same or a newer one is known.
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
        state.update_pool(&name, pool, config);
        let mut deliveries = Vec::new();
        self.serve_queues(&mut state, self.clock.now(), &mut deliveries);
        drop(state);
        deliver(deliveries);
        true
    }

    /// Applies the reported loads of engines.
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

    /// Returns this daemon's use of `pool`, with the arrivals and failures since the
    /// last call.
    pub fn usage(&self, pool: &Name, config: &Config) -> Usage {
        self.lock().usage(pool, config)
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.lock().queues.values().map(ModelQueue::len).sum()
    }

    /// Returns the number of requests in progress on engines.
    pub fn running(&self) -> u32 {
        self.lock().running.values().sum()
    }
}

/// Sends results to queued requests. The caller must not hold the router's lock:
/// the slot of a request that was just cancelled is dropped here, and dropping a
/// slot takes the lock.
fn deliver(deliveries: Vec<Delivery>) {
    for delivery in deliveries {
        let _ = delivery.sender.send(delivery.result);
    }
}
