//! A simulated inference engine: continuous batching with chunked prefill, a
//! prefix cache with LRU eviction, and orders for models and adapters.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::desired::Model;
use mastichinge::edge::orders::{EngineReport, Order, OrderOutcome, Verb};
use mastichinge::edge::upstream::{EngineEntry, EnginePhase, LoadedModels, WeightCopies};

use super::firm::{Firm, SERVICE};

/// Base time of a batch step, ms.
const STEP_MS: f64 = 5.47;
/// Additional time of a step per request in the batch, ms.
const STEP_MS_PER_REQUEST: f64 = 0.012;
/// Additional time of a step per thousand tokens in the cache, ms.
const STEP_MS_PER_KTOKEN: f64 = 0.023;
/// Prefill speed, prompt tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 38.7;
/// Attention time per million pairs of a new token and an earlier one, ms.
const ATTENTION_MS_PER_MPAIR: f64 = 0.737;
/// Prompt tokens prefilled in one step.
const CHUNK_TOKENS: u32 = 2_048;
/// Tokens per event of the stream.
const EVENT_TOKENS: u32 = 4;
/// Maximum length of the queue.
const MAX_QUEUED: usize = 192;
/// Maximum size of the batch.
pub const BATCH_SLOTS: usize = 64;
/// Size of the KV cache, tokens.
const CACHE_TOKENS: u64 = 232_000;
/// Time of an unload that nothing delays.
const UNLOAD_TIME: Duration = Duration::from_millis(20);
/// Load time of an adapter.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(10);
/// Age of the state in a report.
const REPORT_LAG: Duration = Duration::from_millis(100);

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Number of the attempt.
    pub id: usize,
    /// Model.
    pub model: Arc<str>,
    /// Adapter.
    pub adapter: Option<Arc<str>>,
    /// Time per token relative to the largest models.
    pub time_factor: f64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Keys of the prompt's prefixes, with the tokens up to the end of each.
    pub prefix_keys: Vec<(u64, u32)>,
    /// Tokens of the prompt.
    pub input_tokens: u32,
    /// Tokens of the output.
    pub output_tokens: u32,
    /// Prompt tokens not yet prefilled.
    pub unread_tokens: u32,
    /// Output tokens generated so far.
    pub generated: u32,
}

/// An event at the end of a batch step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// The stream of this attempt sent its first event.
    FirstEvent(usize),
    /// The output of this attempt is complete.
    Completed(usize),
}

/// Result of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitResult {
    /// The request is queued or in the batch.
    Accepted,
    /// The model or adapter is not loaded.
    ModelMissing,
    /// The queue is full.
    QueueFull,
    /// The engine is down.
    EngineDown,
}

#[derive(Clone, Debug)]
struct OrderTask {
    verb: Verb,
    model: Arc<str>,
    end: Moment,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its entry as the daemons read it.
    pub entry: EngineEntry,
    /// Whether the engine is up.
    pub alive: bool,
    /// Factor on the time of each step.
    pub slowdown: f64,
    /// End of the current step.
    pub step_end: Option<Moment>,
    /// Prompt tokens prefilled, and those among them that were prefilled
    /// before and evicted since.
    pub prefill_tokens: (u64, u64),
    /// Total time of all steps.
    pub busy_time: Duration,
    loaded: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Moment>>,
    host_copies: VecDeque<Arc<str>>,
    disk_copies: VecDeque<Arc<str>>,
    order_count: u64,
    task: Option<OrderTask>,
    queue: Vec<EngineRequest>,
    batch: Vec<EngineRequest>,
    prefix_cache: HashMap<u64, (u32, Moment)>,
    seen_prefixes: BTreeSet<u64>,
    reports: VecDeque<(Moment, EngineReport)>,
    /// Memory for loaded models, host copies and disk copies.
    capacity_mb: (f64, f64, f64),
}

impl Engine {
    /// Creates an engine with `models` loaded and copies of `disk` on its disk.
    pub fn new(firm: &Firm, number: usize, models: &[Arc<str>], disk: &[Arc<str>]) -> Self {
        let domains = ["north", "south", "east", "west"];
        let entry = EngineEntry {
            id: format!("e{number}").into(),
            service: SERVICE.into(),
            addr: ([10, 0, (number / 250) as u8, (number % 250) as u8], 1).into(),
            domain: domains[number % domains.len()].into(),
            software: "v1".into(),
            slots: BATCH_SLOTS as u32,
            phase: EnginePhase::Ready,
            sequence: 1,
            incarnation: 1,
            models: LoadedModels::new(),
            copies: WeightCopies::default(),
        };
        let mut engine = Engine {
            entry,
            alive: true,
            slowdown: 1.0,
            step_end: None,
            prefill_tokens: (0, 0),
            busy_time: Duration::ZERO,
            loaded: BTreeMap::new(),
            host_copies: VecDeque::new(),
            disk_copies: disk.iter().cloned().collect(),
            order_count: 0,
            task: None,
            queue: Vec::new(),
            batch: Vec::new(),
            prefix_cache: HashMap::new(),
            seen_prefixes: BTreeSet::new(),
            reports: VecDeque::new(),
            capacity_mb: (firm.memory_mb, firm.host_mb, firm.disk_mb),
        };
        for model in models {
            engine.loaded.insert(model.clone(), BTreeMap::new());
        }
        engine.update_entry(Duration::ZERO);
        engine
    }

    /// Stops the engine and clears all state but the disk copies. Returns the
    /// attempts that were interrupted.
    pub fn crash(&mut self) -> Vec<usize> {
        let requests = self.queue.drain(..).chain(self.batch.drain(..));
        let interrupted = requests.map(|r| r.id).collect();
        self.alive = false;
        self.step_end = None;
        self.task = None;
        self.loaded.clear();
        self.host_copies.clear();
        self.prefix_cache.clear();
        self.reports.clear();
        self.order_count = 0;
        interrupted
    }

    /// Restarts the engine after a crash.
    pub fn restart(&mut self, now: Moment) {
        self.alive = true;
        self.entry.incarnation += 1;
        self.entry.sequence = 0;
        self.update_entry(now);
    }

    /// Updates the entry from the current state.
    pub fn update_entry(&mut self, now: Moment) {
        self.entry.sequence += 1;
        self.entry.models = self.loaded_models(now);
        self.entry.copies = self.copies();
        self.record_report(now);
    }

    fn loaded_models(&self, now: Moment) -> LoadedModels {
        let mut loaded = LoadedModels::new();
        for (model, adapters) in &self.loaded {
            let done = adapters.iter().filter(|(_, at)| **at <= now);
            loaded.insert(model.clone(), done.map(|(a, _)| a.clone()).collect());
        }
        loaded
    }

    fn copies(&self) -> WeightCopies {
        WeightCopies {
            memory: self.host_copies.iter().cloned().collect(),
            disk: self.disk_copies.iter().cloned().collect(),
        }
    }

    fn record_report(&mut self, now: Moment) {
        let mut loading_adapters = BTreeSet::new();
        for (model, adapters) in &self.loaded {
            for (name, at) in adapters {
                if *at > now {
                    loading_adapters.insert(format!("{model}/{name}").into());
                }
            }
        }
        let report = EngineReport {
            models: self.loaded_models(now),
            loading_adapters,
            busy: self.task.is_some(),
            order_count: self.order_count,
            incarnation: self.entry.incarnation,
            running: self.batch.len() as u32,
            waiting: self.queue.len() as u32,
            copies: Some(self.copies()),
        };
        self.reports.push_back((now, report));
        while self.reports.len() > 2 && self.reports[1].0 + REPORT_LAG <= now {
            self.reports.pop_front();
        }
    }

    /// Returns the report of [`REPORT_LAG`] ago; `None` if the engine is down.
    pub fn report(&mut self, now: Moment) -> Option<EngineReport> {
        if !self.alive {
            return None;
        }
        self.record_report(now);
        let old = self.reports.iter().rev();
        let mut old = old.skip_while(|(at, _)| *at + REPORT_LAG > now);
        old.next().or(self.reports.front()).map(|(_, r)| r.clone())
    }

    /// Executes an order. `models` holds all models; `store_slowdown` multiplies
    /// the time of a load from the weight store. For a started task, also
    /// returns its end and whether it loads from the weight store.
    pub fn execute_order(
        &mut self,
        order: &Order,
        models: &HashMap<Arc<str>, Model>,
        store_slowdown: f64,
        now: Moment,
    ) -> (OrderOutcome, Option<(Moment, bool)>) {
        if !self.alive {
            return (OrderOutcome::Unanswered, None);
        }
        if self.task.is_some() || order.expected_count.is_some_and(|n| n != self.order_count) {
            return (OrderOutcome::Busy, None);
        }
        let model = order.model.clone();
        if let Some(adapter) = &order.adapter {
            let Some(adapters) = self.loaded.get_mut(&model) else {
                return (OrderOutcome::Refused, None);
            };
            self.order_count += 1;
            match order.verb {
                Verb::Load => adapters.insert(adapter.clone(), now + ADAPTER_LOAD_TIME),
                Verb::Unload => adapters.remove(adapter),
            };
            self.record_report(now);
            return (OrderOutcome::Accepted, None);
        }
        let (time, from_store) = match order.verb {
            Verb::Unload if !self.loaded.contains_key(&model) => {
                return (OrderOutcome::AlreadyDone, None);
            }
            Verb::Unload => (UNLOAD_TIME, false),
            Verb::Load => {
                let spec = &models[&model];
                let held = self.loaded.keys().map(|m| models[m].memory_mb).sum::<f64>();
                assert!(
                    held + spec.memory_mb <= self.capacity_mb.0,
                    "{}: load order exceeds the engine's memory",
                    self.entry.id
                );
                match (
                    self.host_copies.contains(&model),
                    self.disk_copies.contains(&model),
                ) {
                    (true, _) => (spec.memory_load, false),
                    (false, true) => (spec.disk_load, false),
                    (false, false) => (spec.store_load.mul_f64(store_slowdown), true),
                }
            }
        };
        self.order_count += 1;
        let end = now + time;
        let verb = order.verb;
        self.task = Some(OrderTask { verb, model, end });
        self.record_report(now);
        (OrderOutcome::Accepted, Some((end, from_store)))
    }

    /// Finishes the current task if it is due.
    pub fn finish_task(&mut self, models: &HashMap<Arc<str>, Model>, now: Moment) {
        let Some(task) = self.task.take_if(|t| t.end <= now) else {
            return;
        };
        match task.verb {
            Verb::Unload => {
                self.loaded.remove(&task.model);
                self.prefix_cache.clear();
            }
            Verb::Load => {
                let size = |m: &Arc<str>| models[m].memory_mb;
                let (host, disk) = (self.capacity_mb.1, self.capacity_mb.2);
                add_copy(&mut self.host_copies, &task.model, host, size);
                add_copy(&mut self.disk_copies, &task.model, disk, size);
                self.loaded.insert(task.model, BTreeMap::new());
            }
        }
        self.update_entry(now);
    }

    /// Adds a request to the queue.
    pub fn submit(&mut self, request: EngineRequest, now: Moment) -> SubmitResult {
        if !self.alive {
            return SubmitResult::EngineDown;
        }
        let is_ordered = |t: &OrderTask| t.model == request.model;
        let Some(adapters) = self.loaded.get(&request.model) else {
            return SubmitResult::ModelMissing;
        };
        let is_loaded = |a: &Arc<str>| adapters.get(a).is_some_and(|at| *at <= now);
        if self.task.as_ref().is_some_and(is_ordered)
            || !request.adapter.as_ref().is_none_or(is_loaded)
        {
            return SubmitResult::ModelMissing;
        }
        if self.queue.len() >= MAX_QUEUED {
            return SubmitResult::QueueFull;
        }
        self.queue.push(request);
        SubmitResult::Accepted
    }

    /// Removes a request.
    pub fn cancel(&mut self, id: usize) {
        self.queue.retain(|r| r.id != id);
        self.batch.retain(|r| r.id != id);
    }

    /// Starts a step if there is work; returns its end.
    pub fn start_step(&mut self, now: Moment) -> Option<Moment> {
        if self.step_end.is_some() || !self.alive {
            return None;
        }
        self.fill_batch(now);
        if self.batch.is_empty() {
            return None;
        }
        let mut chunk = CHUNK_TOKENS;
        let mut time = STEP_MS;
        for request in &mut self.batch {
            let piece = request.unread_tokens.min(chunk);
            if request.unread_tokens == 0 {
                continue;
            }
            chunk -= piece;
            request.unread_tokens -= piece;
            let before = f64::from(request.input_tokens - request.unread_tokens);
            let pairs = f64::from(piece) * before / 1e6;
            time += (f64::from(piece) / PREFILL_TOKENS_PER_MS + pairs * ATTENTION_MS_PER_MPAIR)
                * request.time_factor;
            if chunk == 0 {
                break;
            }
        }
        let tokens: u64 = self
            .batch
            .iter()
            .map(|r| u64::from(r.input_tokens + r.generated))
            .sum();
        time += STEP_MS_PER_REQUEST * self.batch.len() as f64
            + STEP_MS_PER_KTOKEN * tokens as f64 / 1_000.0;
        let time = Duration::from_secs_f64(time * self.slowdown / 1_000.0);
        self.busy_time += time;
        self.step_end = Some(now + time);
        self.step_end
    }

    fn fill_batch(&mut self, now: Moment) {
        while self.batch.len() < BATCH_SLOTS && !self.queue.is_empty() {
            let first = (0..self.queue.len()).min_by_key(|i| (self.queue[*i].priority, *i));
            let Some(index) = first else {
                return;
            };
            let taken: u64 = self
                .batch
                .iter()
                .map(|r| u64::from(r.input_tokens + r.output_tokens))
                .sum();
            let next = &self.queue[index];
            if !self.batch.is_empty()
                && taken + u64::from(next.input_tokens + next.output_tokens) > CACHE_TOKENS
            {
                return;
            }
            let mut request = self.queue.remove(index);
            let mut cached = 0;
            for (key, tokens) in &request.prefix_keys {
                if !self.prefix_cache.contains_key(key) {
                    break;
                }
                cached = *tokens;
            }
            request.unread_tokens = request.input_tokens.saturating_sub(cached).max(1);
            self.prefill_tokens.0 += u64::from(request.unread_tokens);
            let mut before = 0;
            for (key, tokens) in &request.prefix_keys {
                if *tokens > cached && !self.seen_prefixes.insert(*key) {
                    self.prefill_tokens.1 += u64::from(tokens - before.max(cached));
                }
                before = *tokens;
                self.prefix_cache.insert(*key, (*tokens, now));
            }
            self.batch.push(request);
            self.evict_prefixes();
        }
    }

    /// Evicts the least recently used prefixes until the running requests fit.
    fn evict_prefixes(&mut self) {
        let running: u64 = self
            .batch
            .iter()
            .map(|r| u64::from(r.input_tokens + r.output_tokens))
            .sum();
        let mut parts: Vec<_> = self
            .prefix_cache
            .iter()
            .map(|(k, v)| (v.1, *k, v.0))
            .collect();
        parts.sort_unstable();
        // The tokens of a prefix include those of the shorter prefix that it shares,
        // so only half of them count.
        let mut taken = running + parts.iter().map(|p| u64::from(p.2) / 2).sum::<u64>();
        for (_, key, tokens) in parts {
            if taken <= CACHE_TOKENS {
                break;
            }
            taken -= u64::from(tokens) / 2;
            self.prefix_cache.remove(&key);
        }
    }

    /// Finishes the current step; returns the events of its requests.
    pub fn finish_step(&mut self, now: Moment) -> Vec<StepEvent> {
        self.step_end = None;
        let mut events = Vec::new();
        for request in &mut self.batch {
            if request.unread_tokens > 0 {
                continue;
            }
            request.generated += 1;
            if request.generated == EVENT_TOKENS.min(request.output_tokens) {
                events.push(StepEvent::FirstEvent(request.id));
            }
            if request.generated >= request.output_tokens {
                events.push(StepEvent::Completed(request.id));
                for (key, tokens) in &request.prefix_keys {
                    self.prefix_cache.insert(*key, (*tokens, now));
                }
            }
        }
        self.batch.retain(|r| r.generated < r.output_tokens);
        events
    }
}

/// Adds a copy of `model` and drops the oldest copies beyond `capacity`, MB.
fn add_copy(
    copies: &mut VecDeque<Arc<str>>,
    model: &Arc<str>,
    capacity: f64,
    size: impl Fn(&Arc<str>) -> f64,
) {
    copies.retain(|m| m != model);
    copies.push_back(model.clone());
    while copies.iter().map(&size).sum::<f64>() > capacity && copies.len() > 1 {
        copies.pop_front();
    }
}
