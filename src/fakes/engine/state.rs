//! What the engine process holds.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::journal::{Journal, Received, Stay};
use crate::outside::engine_http::OrderRefusal;
use crate::outside::{Order, Report, Resident, Tier};

/// Prompt prefixes that the cache holds.
const PREFIXES: usize = 64;

/// Every so many cache events, one is not published.
const EVENT_GAP: u64 = 10;

/// Place in the queue: negative priority, then arrival.
pub(super) type Ticket = (i64, u64);

/// A change of the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number; gaps are events that were lost.
    pub seq: u64,
    /// Start of the prompt.
    pub prefix: String,
    /// Stored, as opposed to removed.
    pub stored: bool,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub frozen: bool,
    pub lag: Duration,
    pub starts: u32,
    pub journal: Journal,
    pub now: Report,
    tiers: BTreeMap<Arc<str>, Tier>,
    past: VecDeque<(Instant, Report)>,
    streams: BTreeMap<String, u32>,
    queue: Vec<Ticket>,
    tickets: u64,
    prefixes: VecDeque<String>,
    events: Vec<(Instant, CacheEvent)>,
}

impl State {
    /// Begins a process.
    pub fn begin(&mut self, name: &str) {
        self.starts += 1;
        self.now = Report {
            instance: format!("{name}-{}", self.starts).into(),
            ..Report::default()
        };
        self.past.clear();
        self.streams.clear();
        self.queue.clear();
        self.prefixes.clear();
        self.events.clear();
        self.changed();
    }

    /// Ends a process: memory is free, weights in host memory are lost.
    pub fn end(&mut self) {
        self.now.residents.clear();
        for stay in &mut self.journal.stays {
            stay.until = stay.until.or(Some(Instant::now()));
        }
        for tier in self.tiers.values_mut() {
            *tier = (*tier).max(Tier::Disk);
        }
    }

    /// Notes a change for later reports.
    pub fn changed(&mut self) {
        self.now.cached = self.tiers.iter().map(|(m, t)| (m.clone(), *t)).collect();
        self.now.leaving = self.journal.left.is_some();
        self.now.running = self.streams.values().sum();
        self.now.waiting = self.queue.len() as u32;
        self.past.push_back((Instant::now(), self.now.clone()));
        self.prune();
    }

    fn prune(&mut self) {
        while self.past.get(1).is_some_and(|p| p.0.elapsed() >= self.lag) {
            self.past.pop_front();
        }
    }

    /// The report as it stood `lag` ago; the first one of a process at once.
    pub fn report(&mut self) -> Report {
        self.prune();
        self.past[0].1.clone()
    }

    /// Checks an order, and raises the token of a fenced engine.
    pub fn admit(&mut self, order: &Order, fenced: bool) -> Option<OrderRefusal> {
        let current = self.now.token;
        let instance = &self.now.instance;
        let mut refusal = (order.instance != *instance).then(|| OrderRefusal::Restarted {
            current: instance.clone(),
        });
        if refusal.is_none() && fenced && order.token < current {
            refusal = Some(OrderRefusal::Fenced { current });
        }
        if refusal.is_none() {
            self.now.orders += 1;
            self.now.token = if fenced { order.token } else { 0 };
            self.changed();
        }
        self.journal.orders.push(Received {
            at: Instant::now(),
            order: order.clone(),
            refusal: refusal.clone(),
        });
        refusal
    }

    /// What is loaded or loading of a model.
    pub fn resident(&mut self, model: &str) -> Option<&mut Resident> {
        let mut residents = self.now.residents.iter_mut();
        residents.find(|r| &*r.model == model)
    }

    /// Whether `model` is loaded.
    pub fn ready(&mut self, model: &str) -> bool {
        self.resident(model).is_some_and(|r| r.ready)
    }

    /// Tier of the weights of a model.
    pub fn tier(&self, model: &str) -> Tier {
        self.tiers.get(model).copied().unwrap_or(Tier::Remote)
    }

    /// Puts the weights of a model into a tier.
    pub fn cache(&mut self, model: &str, tier: Tier) {
        self.tiers.insert(model.into(), tier);
        self.changed();
    }

    /// Takes the memory of a load; the load is executed even without room.
    pub fn take(&mut self, order: &Order, memory: u64) {
        let resident = Resident {
            model: order.model.clone(),
            version: order.version.clone(),
            ready: false,
            memory: order.memory,
        };
        self.now.residents.push(resident.clone());
        self.journal.stays.push(Stay {
            resident,
            from: Instant::now(),
            ready: None,
            until: None,
        });
        let used: u64 = self.now.residents.iter().map(|r| r.memory).sum();
        self.journal
            .overcommits
            .extend((used > memory).then_some(used));
        self.changed();
    }

    /// Marks a load as done.
    pub fn loaded(&mut self, model: &str) {
        if let Some(resident) = self.resident(model) {
            resident.ready = true;
        }
        for stay in self.open(model) {
            stay.ready = Some(Instant::now());
        }
        self.cache(model, Tier::Memory);
    }

    /// Frees the memory of a model.
    pub fn free(&mut self, model: &Arc<str>) {
        let busy = self.streams.get(&**model).is_some_and(|n| *n > 0);
        self.journal.cuts.extend(busy.then(|| model.clone()));
        self.now.residents.retain(|r| r.model != *model);
        for stay in self.open(model) {
            stay.until = Some(Instant::now());
        }
        self.changed();
    }

    fn open(&mut self, model: &str) -> impl Iterator<Item = &mut Stay> {
        let stays = self.journal.stays.iter_mut();
        stays.filter(move |s| s.until.is_none() && &*s.resident.model == model)
    }

    /// Looks a prompt up in the prefix cache, and stores it when it is missing.
    pub fn hit(&mut self, prefix: String) -> bool {
        if self.prefixes.contains(&prefix) {
            return true;
        }
        self.note(prefix.clone(), true);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIXES
            && let Some(oldest) = self.prefixes.pop_front()
        {
            self.note(oldest, false);
        }
        false
    }

    fn note(&mut self, prefix: String, stored: bool) {
        let seq = self.events.len() as u64 + 1;
        let event = CacheEvent {
            seq,
            prefix,
            stored,
        };
        self.events.push((Instant::now(), event));
    }

    /// Cache events after number `since` that are older than `lag`.
    pub fn published(&self, since: u64) -> Vec<CacheEvent> {
        let late = self.events.iter().filter(|e| e.0.elapsed() >= self.lag);
        let events = late.map(|e| &e.1);
        let kept = events.filter(|e| e.seq > since && !e.seq.is_multiple_of(EVENT_GAP));
        kept.cloned().collect()
    }

    /// Queues a request.
    pub fn enqueue(&mut self, priority: i64) -> Ticket {
        self.tickets += 1;
        let ticket = (-priority, self.tickets);
        self.queue.push(ticket);
        self.changed();
        ticket
    }

    /// Gives a free slot to the first of the queue.
    pub fn start(&mut self, ticket: Ticket, slots: u32, model: &str) -> bool {
        let first = self.queue.iter().min() == Some(&ticket);
        if !first || self.now.running >= slots {
            return false;
        }
        self.queue.retain(|t| *t != ticket);
        *self.streams.entry(model.into()).or_default() += 1;
        self.changed();
        true
    }

    /// Frees the slot, or the place in the queue.
    pub fn release(&mut self, ticket: Ticket, model: &str) {
        match self.queue.iter().position(|t| *t == ticket) {
            Some(place) => drop(self.queue.remove(place)),
            None => *self.streams.entry(model.into()).or_insert(1) -= 1,
        }
        self.changed();
    }
}
