//! A model engine: a batch that reads prompts in pieces between its steps,
//! memory whose oldest parts yield, and orders for models and adapters.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::desired::Model;
use mastichinge::edge::fleet::{EngineEntry, EnginePhase, LoadedModels, WeightCopies};
use mastichinge::edge::orders::{EngineReport, Order, OrderOutcome, Verb};

use super::firm::{Firm, SERVICE};

/// Shortest step of the batch, ms.
const STEP_MS: f64 = 5.47;
/// Further time of a step for each request in it, ms.
const SLOT_MS: f64 = 0.012;
/// Further time of a step for each thousand tokens in memory, ms.
const CONTEXT_MS: f64 = 0.023;
/// Prompt tokens read in a millisecond.
const READ_PER_MS: f64 = 38.7;
/// Time of a million pairs of a new token and one before it, ms.
const PAIRS_MS: f64 = 0.737;
/// Prompt tokens read in one step.
const CHUNK: u32 = 2_048;
/// Tokens in an event.
const EVENT: u32 = 4;
/// Requests that may wait.
const QUEUE: usize = 192;
/// Requests in the batch.
const SLOTS: usize = 64;
/// Memory for prompts and answers, tokens.
const MEMORY: u64 = 232_000;
/// Time of an unload that nobody holds up.
const UNLOAD: Duration = Duration::from_millis(20);
/// Time of an adapter's load.
const ADAPTER: Duration = Duration::from_millis(10);
/// Age of what reports say.
const REPORT_LAG: Duration = Duration::from_millis(100);

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the sending.
    pub id: usize,
    /// Model.
    pub model: Arc<str>,
    /// Adapter.
    pub adapter: Option<Arc<str>>,
    /// Time over the usual one.
    pub pace: f64,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Keys of the prompt's chains, with tokens up to each.
    pub chains: Vec<(u64, u32)>,
    /// Tokens of the prompt.
    pub input: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Tokens still to be read.
    pub unread: u32,
    /// Tokens made.
    pub made: u32,
}

/// What a step brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Made {
    /// The first event of this sending.
    First(usize),
    /// The end of its answer.
    End(usize),
}

/// What became of a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It waits or runs.
    Yes,
    /// The model or adapter is not there.
    Absent,
    /// The queue is full.
    Full,
    /// The engine is gone.
    Dead,
}

#[derive(Clone, Debug)]
struct Task {
    verb: Verb,
    model: Arc<str>,
    end: Moment,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its entry.
    pub entry: EngineEntry,
    /// It runs.
    pub alive: bool,
    /// Time over that of others.
    pub slower: f64,
    /// When the step under way ends.
    pub step: Option<Moment>,
    /// Prompt tokens read, and of those such as it had read before.
    pub read: (u64, u64),
    /// Time with a step under way.
    pub busy: Duration,
    ready: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Moment>>,
    host: VecDeque<Arc<str>>,
    disk: VecDeque<Arc<str>>,
    orders: u64,
    task: Option<Task>,
    queue: Vec<Run>,
    batch: Vec<Run>,
    kept: HashMap<u64, (u32, Moment)>,
    seen: BTreeSet<u64>,
    reports: VecDeque<(Moment, EngineReport)>,
    room: (f64, f64, f64),
}

impl Engine {
    /// An engine of a firm that holds `models`, with copies of `disk`.
    pub fn new(firm: &Firm, number: usize, models: &[Arc<str>], disk: &[Arc<str>]) -> Self {
        let domains = ["north", "south", "east", "west"];
        let entry = EngineEntry {
            id: format!("e{number}").into(),
            service: SERVICE.into(),
            addr: ([10, 0, (number / 250) as u8, (number % 250) as u8], 1).into(),
            domain: domains[number % domains.len()].into(),
            slots: SLOTS as u32,
            phase: EnginePhase::Ready,
            sequence: 1,
            incarnation: 1,
            models: LoadedModels::new(),
            copies: WeightCopies::default(),
        };
        let mut engine = Engine {
            entry,
            alive: true,
            slower: 1.0,
            step: None,
            read: (0, 0),
            busy: Duration::ZERO,
            ready: BTreeMap::new(),
            host: VecDeque::new(),
            disk: disk.iter().cloned().collect(),
            orders: 0,
            task: None,
            queue: Vec::new(),
            batch: Vec::new(),
            kept: HashMap::new(),
            seen: BTreeSet::new(),
            reports: VecDeque::new(),
            room: (firm.memory_mb, firm.host_mb, firm.disk_mb),
        };
        for model in models {
            engine.ready.insert(model.clone(), BTreeMap::new());
        }
        engine.renew(Duration::ZERO);
        engine
    }

    /// Starts it anew: empty but for its disk. Returns the sendings that broke.
    pub fn crash(&mut self) -> Vec<usize> {
        let runs = self.queue.drain(..).chain(self.batch.drain(..));
        let broken = runs.map(|r| r.id).collect();
        self.alive = false;
        self.step = None;
        self.task = None;
        self.ready.clear();
        self.host.clear();
        self.kept.clear();
        self.reports.clear();
        self.orders = 0;
        broken
    }

    /// Comes back after a crash.
    pub fn start(&mut self, now: Moment) {
        self.alive = true;
        self.entry.incarnation += 1;
        self.entry.sequence = 0;
        self.renew(now);
    }

    /// Writes its entry anew.
    pub fn renew(&mut self, now: Moment) {
        self.entry.sequence += 1;
        self.entry.models = self.held(now);
        self.entry.copies = self.copies();
        self.note(now);
    }

    fn held(&self, now: Moment) -> LoadedModels {
        let mut held = LoadedModels::new();
        for (model, adapters) in &self.ready {
            let done = adapters.iter().filter(|(_, at)| **at <= now);
            held.insert(model.clone(), done.map(|(a, _)| a.clone()).collect());
        }
        held
    }

    fn copies(&self) -> WeightCopies {
        WeightCopies {
            memory: self.host.iter().cloned().collect(),
            disk: self.disk.iter().cloned().collect(),
        }
    }

    fn note(&mut self, now: Moment) {
        let mut incoming = BTreeSet::new();
        for (model, adapters) in &self.ready {
            for (name, at) in adapters {
                if *at > now {
                    incoming.insert(format!("{model}/{name}").into());
                }
            }
        }
        let report = EngineReport {
            models: self.held(now),
            loading_adapters: incoming,
            busy: self.task.is_some(),
            order_count: self.orders,
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

    /// Its report; `None` when it is dead.
    pub fn report(&mut self, now: Moment) -> Option<EngineReport> {
        if !self.alive {
            return None;
        }
        self.note(now);
        let old = self.reports.iter().rev();
        let mut old = old.skip_while(|(at, _)| *at + REPORT_LAG > now);
        old.next().or(self.reports.front()).map(|(_, r)| r.clone())
    }

    /// Carries out an order. `models` names all models; `crowd` is the factor
    /// by which a load from the weight store is slowed. Tells when a task ends.
    pub fn order(
        &mut self,
        order: &Order,
        models: &HashMap<Arc<str>, Model>,
        crowd: f64,
        now: Moment,
    ) -> (OrderOutcome, Option<(Moment, bool)>) {
        if !self.alive {
            return (OrderOutcome::Unanswered, None);
        }
        if self.task.is_some() || order.expected_count.is_some_and(|n| n != self.orders) {
            return (OrderOutcome::Busy, None);
        }
        let model = order.model.clone();
        if let Some(adapter) = &order.adapter {
            let Some(adapters) = self.ready.get_mut(&model) else {
                return (OrderOutcome::Refused, None);
            };
            self.orders += 1;
            match order.verb {
                Verb::Load => adapters.insert(adapter.clone(), now + ADAPTER),
                Verb::Unload => adapters.remove(adapter),
            };
            self.note(now);
            return (OrderOutcome::Accepted, None);
        }
        let (time, remote) = match order.verb {
            Verb::Unload if !self.ready.contains_key(&model) => {
                return (OrderOutcome::AlreadyDone, None);
            }
            Verb::Unload => (UNLOAD, false),
            Verb::Load => {
                let spec = &models[&model];
                let held = self.ready.keys().map(|m| models[m].memory_mb).sum::<f64>();
                assert!(
                    held + spec.memory_mb <= self.room.0,
                    "{}: too much to load",
                    self.entry.id
                );
                match (self.host.contains(&model), self.disk.contains(&model)) {
                    (true, _) => (spec.warm, false),
                    (false, true) => (spec.disk, false),
                    (false, false) => (spec.load.mul_f64(crowd), true),
                }
            }
        };
        self.orders += 1;
        let end = now + time;
        let verb = order.verb;
        self.task = Some(Task { verb, model, end });
        self.note(now);
        (OrderOutcome::Accepted, Some((end, remote)))
    }

    /// Ends a task that is due.
    pub fn task_done(&mut self, models: &HashMap<Arc<str>, Model>, now: Moment) {
        let Some(task) = self.task.take_if(|t| t.end <= now) else {
            return;
        };
        match task.verb {
            Verb::Unload => {
                self.ready.remove(&task.model);
                self.kept.clear();
            }
            Verb::Load => {
                let size = |m: &Arc<str>| models[m].memory_mb;
                let (host, disk) = (self.room.1, self.room.2);
                keep(&mut self.host, &task.model, host, size);
                keep(&mut self.disk, &task.model, disk, size);
                self.ready.insert(task.model, BTreeMap::new());
            }
        }
        self.renew(now);
    }

    /// Takes a request in.
    pub fn take(&mut self, run: Run, now: Moment) -> Taken {
        if !self.alive {
            return Taken::Dead;
        }
        let ordered = |t: &Task| t.model == run.model;
        let Some(adapters) = self.ready.get(&run.model) else {
            return Taken::Absent;
        };
        let there = |a: &Arc<str>| adapters.get(a).is_some_and(|at| *at <= now);
        if self.task.as_ref().is_some_and(ordered) || !run.adapter.as_ref().is_none_or(there) {
            return Taken::Absent;
        }
        if self.queue.len() >= QUEUE {
            return Taken::Full;
        }
        self.queue.push(run);
        Taken::Yes
    }

    /// Drops a request.
    pub fn drop_run(&mut self, id: usize) {
        self.queue.retain(|r| r.id != id);
        self.batch.retain(|r| r.id != id);
    }

    /// Begins a step when there is work; tells when it ends.
    pub fn begin(&mut self, now: Moment) -> Option<Moment> {
        if self.step.is_some() || !self.alive {
            return None;
        }
        self.admit(now);
        if self.batch.is_empty() {
            return None;
        }
        let mut chunk = CHUNK;
        let mut time = STEP_MS;
        for run in &mut self.batch {
            let piece = run.unread.min(chunk);
            if run.unread == 0 {
                continue;
            }
            chunk -= piece;
            run.unread -= piece;
            let before = f64::from(run.input - run.unread);
            let pairs = f64::from(piece) * before / 1e6;
            time += (f64::from(piece) / READ_PER_MS + pairs * PAIRS_MS) * run.pace;
            if chunk == 0 {
                break;
            }
        }
        let tokens: u64 = self.batch.iter().map(|r| u64::from(r.input + r.made)).sum();
        time += SLOT_MS * self.batch.len() as f64 + CONTEXT_MS * tokens as f64 / 1_000.0;
        let time = Duration::from_secs_f64(time * self.slower / 1_000.0);
        self.busy += time;
        self.step = Some(now + time);
        self.step
    }

    fn admit(&mut self, now: Moment) {
        while self.batch.len() < SLOTS && !self.queue.is_empty() {
            let first = (0..self.queue.len()).min_by_key(|i| (self.queue[*i].rank, *i));
            let Some(at) = first else {
                return;
            };
            let taken: u64 = self
                .batch
                .iter()
                .map(|r| u64::from(r.input + r.output))
                .sum();
            let next = &self.queue[at];
            if !self.batch.is_empty() && taken + u64::from(next.input + next.output) > MEMORY {
                return;
            }
            let mut run = self.queue.remove(at);
            let mut kept = 0;
            for (key, tokens) in &run.chains {
                if !self.kept.contains_key(key) {
                    break;
                }
                kept = *tokens;
            }
            run.unread = run.input.saturating_sub(kept).max(1);
            self.read.0 += u64::from(run.unread);
            let mut before = 0;
            for (key, tokens) in &run.chains {
                if *tokens > kept && !self.seen.insert(*key) {
                    self.read.1 += u64::from(tokens - before.max(kept));
                }
                before = *tokens;
                self.kept.insert(*key, (*tokens, now));
            }
            self.batch.push(run);
            self.yield_parts();
        }
    }

    /// The parts used least lately make room for what runs.
    fn yield_parts(&mut self) {
        let running: u64 = self
            .batch
            .iter()
            .map(|r| u64::from(r.input + r.output))
            .sum();
        let mut parts: Vec<_> = self.kept.iter().map(|(k, v)| (v.1, *k, v.0)).collect();
        parts.sort_unstable();
        // A chain's tokens count those before it, which it shares.
        let mut taken = running + parts.iter().map(|p| u64::from(p.2) / 2).sum::<u64>();
        for (_, key, tokens) in parts {
            if taken <= MEMORY {
                break;
            }
            taken -= u64::from(tokens) / 2;
            self.kept.remove(&key);
        }
    }

    /// Ends a step.
    pub fn end(&mut self, now: Moment) -> Vec<Made> {
        self.step = None;
        let mut made = Vec::new();
        for run in &mut self.batch {
            if run.unread > 0 {
                continue;
            }
            run.made += 1;
            if run.made == EVENT.min(run.output) {
                made.push(Made::First(run.id));
            }
            if run.made >= run.output {
                made.push(Made::End(run.id));
                for (key, tokens) in &run.chains {
                    self.kept.insert(*key, (*tokens, now));
                }
            }
        }
        self.batch.retain(|r| r.made < r.output);
        made
    }
}

/// Keeps a copy of `model` among those that fit `room`; the oldest make way.
fn keep(
    copies: &mut VecDeque<Arc<str>>,
    model: &Arc<str>,
    room: f64,
    size: impl Fn(&Arc<str>) -> f64,
) {
    copies.retain(|m| m != model);
    copies.push_back(model.clone());
    while copies.iter().map(&size).sum::<f64>() > room && copies.len() > 1 {
        copies.pop_front();
    }
}
