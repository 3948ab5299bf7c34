//! What the engine process holds, and the journal that outlives it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::text::Ask;
use crate::platform::engine_http::Refusal;
use crate::platform::{Order, Report, Resident, Tier};

/// Prompt prefixes that the cache holds.
const PREFIXES: usize = 64;

/// Every so many cache events, one is not published.
const EVENT_GAP: u64 = 10;

/// Time during which the memory of a model was taken.
#[derive(Clone, Debug)]
pub struct Stay {
    /// The model or adapter.
    pub resident: Resident,
    /// Start of the load.
    pub from: Instant,
    /// End of the load.
    pub ready: Option<Instant>,
    /// Unload or crash.
    pub until: Option<Instant>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All tokens were sent.
    Finished,
    /// The client closed the connection.
    Cancelled,
    /// The engine crashed.
    Crashed,
}

/// A stream that was begun.
#[derive(Clone, Debug)]
pub struct Served {
    /// Id of the request and attempt, as sent.
    pub request: String,
    /// Model or adapter.
    pub model: String,
    /// Tokens sent.
    pub tokens: usize,
    /// End.
    pub end: End,
}

/// An order that reached the engine.
#[derive(Clone, Debug)]
pub struct Received {
    /// When.
    pub at: Instant,
    /// The order.
    pub order: Order,
    /// Why it was not executed.
    pub refusal: Option<Refusal>,
}

/// What happened at the engine, over all its instances.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// Memory taken over time.
    pub stays: Vec<Stay>,
    /// Orders.
    pub orders: Vec<Received>,
    /// Streams that ended.
    pub served: Vec<Served>,
    /// Loads that took more memory than there is: memory taken, MB.
    pub overcommits: Vec<u64>,
    /// Unloads of a model with streams in progress: model.
    pub cuts: Vec<Arc<str>>,
    /// Since when it leaves.
    pub left: Option<Instant>,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
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
    pub journal: Journal,
    pub tiers: BTreeMap<Arc<str>, Tier>,
    pub now: Report,
    pub past: VecDeque<(Instant, Report)>,
    pub addr: Option<SocketAddr>,
    pub frozen: bool,
    pub streams: BTreeMap<String, u32>,
    pub queue: Vec<(i64, u64)>,
    pub tickets: u64,
    pub prefixes: VecDeque<String>,
    pub events: Vec<(Instant, CacheEvent)>,
}

impl State {
    /// Begins a process.
    pub fn begin(&mut self, instance: String) {
        self.now = Report {
            instance: instance.into(),
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
        let open = self.journal.stays.iter_mut().filter(|s| s.until.is_none());
        open.for_each(|stay| stay.until = Some(Instant::now()));
        let tiers = self.tiers.values_mut();
        tiers.for_each(|tier| *tier = (*tier).max(Tier::Disk));
    }

    /// Notes a change for later reports.
    pub fn changed(&mut self) {
        self.now.cached = self.tiers.iter().map(|(m, t)| (m.clone(), *t)).collect();
        self.now.leaving = self.journal.left.is_some();
        self.now.running = self.streams.values().sum();
        self.now.waiting = self.queue.len() as u32;
        self.past.push_back((Instant::now(), self.now.clone()));
    }

    /// The report as it stood `lag` ago; the first one of a process at once.
    pub fn report(&mut self, lag: Duration) -> Report {
        while self.past.get(1).is_some_and(|next| next.0.elapsed() >= lag) {
            self.past.pop_front();
        }
        self.past[0].1.clone()
    }

    /// Checks an order, and raises the token of a fenced engine.
    pub fn admit(&mut self, order: &Order, fenced: bool) -> Option<Refusal> {
        let current = self.now.token;
        let refusal = if order.instance != self.now.instance {
            Some(Refusal::Restarted {
                current: self.now.instance.clone(),
            })
        } else if fenced && order.token < current {
            Some(Refusal::Fenced { current })
        } else {
            None
        };
        if refusal.is_none() {
            self.now.orders += 1;
            self.now.token = if fenced { order.token } else { 0 };
        }
        self.journal.orders.push(Received {
            at: Instant::now(),
            order: order.clone(),
            refusal: refusal.clone(),
        });
        refusal
    }

    /// Whether `model` is loaded and ready.
    pub fn ready(&self, model: &str) -> bool {
        self.resident(model).is_some_and(|r| r.ready)
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
        let used = self.now.residents.iter().map(|r| r.memory).sum();
        if used > memory {
            self.journal.overcommits.push(used);
        }
        self.changed();
    }

    /// Marks a load as done.
    pub fn loaded(&mut self, model: &Arc<str>) {
        let mut residents = self.now.residents.iter_mut();
        let Some(resident) = residents.find(|r| r.model == *model) else {
            return;
        };
        resident.ready = true;
        self.tiers.insert(model.clone(), Tier::Memory);
        let mut stays = self.journal.stays.iter_mut().rev();
        if let Some(stay) = stays.find(|s| s.resident.model == *model) {
            stay.ready = Some(Instant::now());
            stay.resident.ready = true;
        }
        self.changed();
    }

    /// Frees the memory of a model.
    pub fn free(&mut self, model: &Arc<str>) {
        if self.streams.get(&**model).is_some_and(|n| *n > 0) {
            self.journal.cuts.push(model.clone());
        }
        self.now.residents.retain(|r| r.model != *model);
        let stays = self.journal.stays.iter_mut();
        let mut open = stays.filter(|s| s.until.is_none() && s.resident.model == *model);
        if let Some(stay) = open.next() {
            stay.until = Some(Instant::now());
        }
        self.changed();
    }

    /// Looks a prompt up in the prefix cache and stores it; answers a hit.
    pub fn hit(&mut self, prefix: String) -> bool {
        let found = self.prefixes.iter().position(|p| *p == prefix);
        let hit = found.and_then(|i| self.prefixes.remove(i)).is_some();
        self.prefixes.push_back(prefix.clone());
        if !hit {
            self.publish(prefix, true);
        }
        if self.prefixes.len() > PREFIXES {
            let oldest = self.prefixes.pop_front();
            oldest.into_iter().for_each(|p| self.publish(p, false));
        }
        hit
    }

    fn publish(&mut self, prefix: String, stored: bool) {
        let seq = self.events.last().map_or(0, |e| e.1.seq) + 1;
        let seq = if seq.is_multiple_of(EVENT_GAP) {
            seq + 1
        } else {
            seq
        };
        let event = CacheEvent {
            seq,
            prefix,
            stored,
        };
        self.events.push((Instant::now(), event));
    }

    /// Cache events after number `since` that are older than `lag`.
    pub fn published(&self, since: u64, lag: Duration) -> Vec<CacheEvent> {
        let late = self.events.iter().filter(|e| e.0.elapsed() >= lag);
        let new = late.filter(|e| e.1.seq > since);
        new.map(|e| e.1.clone()).collect()
    }

    /// What is loaded or loading of a model.
    pub fn resident(&self, model: &str) -> Option<&Resident> {
        self.now.residents.iter().find(|r| &*r.model == model)
    }

    /// Queues a request.
    pub fn enqueue(&mut self, ask: &Ask) -> (i64, u64) {
        self.tickets += 1;
        let ticket = (-ask.priority, self.tickets);
        self.queue.push(ticket);
        self.changed();
        ticket
    }

    /// Gives a free slot to the first of the queue.
    pub fn slot(&mut self, ticket: (i64, u64), slots: u32, model: &str) -> bool {
        let free = self.now.running < slots;
        let first = self.queue.iter().min() == Some(&ticket);
        if free && first {
            self.queue.retain(|t| *t != ticket);
            *self.streams.entry(model.into()).or_default() += 1;
            self.changed();
        }
        free && first
    }

    /// Frees the slot or the place in the queue.
    pub fn leave(&mut self, ticket: (i64, u64), model: &str) {
        let queued = self.queue.len();
        self.queue.retain(|t| *t != ticket);
        if queued == self.queue.len()
            && let Some(count) = self.streams.get_mut(model)
        {
            *count -= 1;
        }
        self.changed();
    }
}
