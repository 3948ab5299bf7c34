//! State of the fake engine process.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::journal::{Journal, OrderRecord, Residency};
use crate::outside::engine_http::OrderRefusal;
use crate::outside::{Order, Report, Resident, Tier};

/// Maximum number of prompt prefixes in the cache.
const PREFIX_CAPACITY: usize = 64;

/// One in this many cache events is not published, which simulates lost events.
const LOST_EVENT_PERIOD: u64 = 10;

/// Sort key in the queue: negated priority, then order of arrival.
pub(super) type QueueTicket = (i64, u64);

/// A change to the prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; gaps are lost events.
    pub seq: u64,
    /// Prefix of the prompt.
    pub prefix: String,
    /// Whether the prefix was stored, as opposed to removed.
    pub stored: bool,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub frozen: bool,
    pub report_lag: Duration,
    pub start_count: u32,
    pub journal: Journal,
    pub current: Report,
    tiers: BTreeMap<Arc<str>, Tier>,
    reports: VecDeque<(Instant, Report)>,
    stream_counts: BTreeMap<String, u32>,
    queue: Vec<QueueTicket>,
    ticket_count: u64,
    prefixes: VecDeque<String>,
    events: Vec<(Instant, CacheEvent)>,
}

impl State {
    /// Starts a new process with empty memory and a new instance id.
    pub fn start_instance(&mut self, name: &str) {
        self.start_count += 1;
        self.current = Report {
            instance: format!("{name}-{}", self.start_count).into(),
            ..Report::default()
        };
        self.reports.clear();
        self.stream_counts.clear();
        self.queue.clear();
        self.prefixes.clear();
        self.events.clear();
        self.record_report();
    }

    /// Ends the process: frees all memory and moves weights from host memory to disk.
    pub fn end_instance(&mut self) {
        self.current.residents.clear();
        for residency in &mut self.journal.residencies {
            residency.released_at = residency.released_at.or(Some(Instant::now()));
        }
        for tier in self.tiers.values_mut() {
            *tier = (*tier).max(Tier::Disk);
        }
    }

    /// Records the current state, which is reported after the lag.
    pub fn record_report(&mut self) {
        self.current.cached = self.tiers.iter().map(|(m, t)| (m.clone(), *t)).collect();
        self.current.leaving = self.journal.leaving_since.is_some();
        self.current.running = self.stream_counts.values().sum();
        self.current.waiting = self.queue.len() as u32;
        self.reports
            .push_back((Instant::now(), self.current.clone()));
        self.drop_old_reports();
    }

    fn drop_old_reports(&mut self) {
        while self
            .reports
            .get(1)
            .is_some_and(|p| p.0.elapsed() >= self.report_lag)
        {
            self.reports.pop_front();
        }
    }

    /// Returns the report of `report_lag` ago. The first report of a process is returned
    /// without lag.
    pub fn report(&mut self) -> Report {
        self.drop_old_reports();
        self.reports[0].1.clone()
    }

    /// Checks the instance and the fencing token of an order. Raises the token of a
    /// fenced engine if the order is accepted.
    pub fn check_order(&mut self, order: &Order, fenced: bool) -> Option<OrderRefusal> {
        let current = self.current.token;
        let instance = &self.current.instance;
        let mut refusal = (order.instance != *instance).then(|| OrderRefusal::Restarted {
            current: instance.clone(),
        });
        if refusal.is_none() && fenced && order.token < current {
            refusal = Some(OrderRefusal::Fenced { current });
        }
        if refusal.is_none() {
            self.current.orders += 1;
            self.current.token = if fenced { order.token } else { 0 };
            self.record_report();
        }
        self.journal.orders.push(OrderRecord {
            received_at: Instant::now(),
            order: order.clone(),
            refusal: refusal.clone(),
        });
        refusal
    }

    /// Returns the entry of a model that is loaded or loading.
    pub fn resident(&mut self, model: &str) -> Option<&mut Resident> {
        let mut residents = self.current.residents.iter_mut();
        residents.find(|r| &*r.model == model)
    }

    /// Returns the version of a model's weights; empty if it is not loaded.
    pub fn loaded_version(&self, model: &str) -> Arc<str> {
        let mut residents = self.current.residents.iter();
        let resident = residents.find(|r| &*r.model == model);
        resident.map_or_else(|| "".into(), |r| r.version.clone())
    }

    /// Returns whether `model` is loaded.
    pub fn is_ready(&mut self, model: &str) -> bool {
        self.resident(model).is_some_and(|r| r.ready)
    }

    /// Returns the tier of the weights of a model.
    pub fn tier(&self, model: &str) -> Tier {
        self.tiers.get(model).copied().unwrap_or(Tier::Remote)
    }

    /// Sets the tier of the weights of a model.
    pub fn set_tier(&mut self, model: &str, tier: Tier) {
        self.tiers.insert(model.into(), tier);
        self.record_report();
    }

    /// Reserves the memory of a load. The load is executed and recorded as an
    /// overcommit if the memory does not suffice.
    pub fn reserve_memory(&mut self, order: &Order, memory: u64) {
        let resident = Resident {
            model: order.model.clone(),
            version: order.version.clone(),
            ready: false,
            memory: order.memory,
        };
        self.current.residents.push(resident.clone());
        self.journal.residencies.push(Residency {
            resident,
            load_start: Instant::now(),
            ready_at: None,
            released_at: None,
        });
        let used: u64 = self.current.residents.iter().map(|r| r.memory).sum();
        self.journal
            .overcommits
            .extend((used > memory).then_some(used));
        self.record_report();
    }

    /// Marks a load as finished.
    pub fn finish_load(&mut self, model: &str) {
        if let Some(resident) = self.resident(model) {
            resident.ready = true;
        }
        for residency in self.open_residencies(model) {
            residency.ready_at = Some(Instant::now());
        }
        self.set_tier(model, Tier::Memory);
    }

    /// Unloads a model and frees its memory.
    pub fn remove_model(&mut self, model: &Arc<str>) {
        let busy = self.stream_counts.get(&**model).is_some_and(|n| *n > 0);
        self.journal.interrupted.extend(busy.then(|| model.clone()));
        self.current.residents.retain(|r| r.model != *model);
        for residency in self.open_residencies(model) {
            residency.released_at = Some(Instant::now());
        }
        self.record_report();
    }

    fn open_residencies(&mut self, model: &str) -> impl Iterator<Item = &mut Residency> {
        let residencies = self.journal.residencies.iter_mut();
        residencies.filter(move |r| r.released_at.is_none() && &*r.resident.model == model)
    }

    /// Returns whether `prefix` is in the prefix cache, and stores it if it is missing.
    pub fn lookup_prefix(&mut self, prefix: String) -> bool {
        if self.prefixes.contains(&prefix) {
            return true;
        }
        self.push_event(prefix.clone(), true);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIX_CAPACITY
            && let Some(oldest) = self.prefixes.pop_front()
        {
            self.push_event(oldest, false);
        }
        false
    }

    fn push_event(&mut self, prefix: String, stored: bool) {
        let seq = self.events.len() as u64 + 1;
        let event = CacheEvent {
            seq,
            prefix,
            stored,
        };
        self.events.push((Instant::now(), event));
    }

    /// Returns the cache events after number `since` that are older than `report_lag`,
    /// without the lost ones.
    pub fn published_events(&self, since: u64) -> Vec<CacheEvent> {
        let due = self
            .events
            .iter()
            .filter(|e| e.0.elapsed() >= self.report_lag);
        let events = due.map(|e| &e.1);
        let published =
            events.filter(|e| e.seq > since && !e.seq.is_multiple_of(LOST_EVENT_PERIOD));
        published.cloned().collect()
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, priority: i64) -> QueueTicket {
        self.ticket_count += 1;
        let ticket = (-priority, self.ticket_count);
        self.queue.push(ticket);
        self.record_report();
        ticket
    }

    /// Starts a request if it is first in the queue and a slot is free.
    pub fn try_start(&mut self, ticket: QueueTicket, slots: u32, model: &str) -> bool {
        let first = self.queue.iter().min() == Some(&ticket);
        if !first || self.current.running >= slots {
            return false;
        }
        self.queue.retain(|t| *t != ticket);
        *self.stream_counts.entry(model.into()).or_default() += 1;
        self.record_report();
        true
    }

    /// Frees the slot of a request, or removes the request from the queue.
    pub fn release(&mut self, ticket: QueueTicket, model: &str) {
        match self.queue.iter().position(|t| *t == ticket) {
            Some(index) => drop(self.queue.remove(index)),
            None => *self.stream_counts.entry(model.into()).or_insert(1) -= 1,
        }
        self.record_report();
    }
}
