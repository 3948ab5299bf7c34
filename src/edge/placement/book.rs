//! What the holder of the orders knows of one engine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::edge::desired::{Hosting, Model};
use crate::edge::fleet::{Copies, Entry, Held, Upstream};
use crate::edge::orders::Report;

/// Pause between two looks at an engine that carries out another's order.
const ENGAGED_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two reports of an engine.
pub(super) const LOOK_AGAIN: Duration = Duration::from_millis(60);

/// Time of a task that has not begun to load: an unload and a load from disk.
const TASK_TIME: Duration = Duration::from_millis(1_500);

/// An adapter on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// When it can be asked for.
    pub ready: Moment,
    /// When it was last asked for.
    pub used: Moment,
}

/// A model on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// It can be asked for; false while it is loading or being withdrawn.
    pub ready: bool,
    /// When it was loaded or first seen.
    pub since: Moment,
    /// Adapters.
    pub adapters: BTreeMap<Arc<str>, Adapter>,
}

/// How far the engine's present task is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A victim is withdrawn; its requests end.
    Withdrawing {
        /// Victim.
        model: Arc<str>,
        /// When it was withdrawn.
        since: Moment,
    },
    /// The load is to be ordered.
    Ready,
    /// The load was accepted.
    Loading {
        /// When.
        since: Moment,
    },
}

/// A load with the unloads that make room for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Model to load.
    pub model: Arc<str>,
    /// Victims still to unload.
    pub victims: Vec<Arc<str>>,
    /// How far it is.
    pub stage: Stage,
    /// The load comes from the weight store.
    pub remote: bool,
    /// How long the load should take.
    pub time: Duration,
    /// When it was planned.
    pub planned: Moment,
}

/// What is known of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Book {
    /// Lifetime of the engine.
    pub born: u64,
    /// Orders that it has accepted; unknown before its first report.
    pub orders: Option<u64>,
    /// Models.
    pub replicas: BTreeMap<Arc<str>, Replica>,
    /// Copies of weights.
    pub copies: Copies,
    /// Present task.
    pub task: Option<Task>,
    /// A victim whose unload was accepted and that no report has shown to be
    /// gone.
    pub freeing: Option<Arc<str>>,
    /// Orders in a row that it refused while it may still unload that.
    pub refusals: u32,
    /// A call to it is under way.
    pub calling: bool,
    /// Its report is needed.
    pub doubt: bool,
    /// An order that is not of this tenure is under way; what it will hold
    /// after that is not known.
    pub engaged: bool,
    /// No call before this moment.
    pub pause: Moment,
}

impl Book {
    /// What an entry of the platform's list tells of an engine.
    pub fn new(entry: &Entry, now: Moment) -> Self {
        let mut book = Book {
            born: entry.born,
            orders: None,
            replicas: BTreeMap::new(),
            copies: entry.copies.clone(),
            task: None,
            freeing: None,
            refusals: 0,
            calling: false,
            doubt: true,
            engaged: false,
            pause: Moment::ZERO,
        };
        book.adopt(&entry.held, &BTreeSet::new(), now);
        book
    }

    /// Takes what the engine says that it holds as the truth.
    fn adopt(&mut self, held: &Held, incoming: &BTreeSet<Arc<str>>, now: Moment) {
        let mut replicas = BTreeMap::new();
        for (model, adapters) in held {
            let before = self.replicas.remove(model);
            let mut kept = BTreeMap::new();
            let old = before.as_ref().map(|r| &r.adapters);
            for name in adapters {
                let known = old.and_then(|o| o.get(name)).copied();
                kept.insert(
                    name.clone(),
                    known.unwrap_or(Adapter {
                        ready: now,
                        used: now,
                    }),
                );
            }
            for (name, adapter) in old.into_iter().flatten() {
                let coming = incoming.contains(format!("{model}/{name}").as_str());
                // Reports are old by some hundred milliseconds, and an adapter
                // loads faster than that.
                let young = now.saturating_sub(adapter.ready) < Report::LAG;
                if coming || young {
                    kept.insert(name.clone(), *adapter);
                }
            }
            let replica = Replica {
                ready: before.as_ref().is_none_or(|r| r.ready),
                since: before.as_ref().map_or(now, |r| r.since),
                adapters: kept,
            };
            replicas.insert(model.clone(), replica);
        }
        self.replicas = replicas;
    }

    /// Takes in a report; false when it is older than the last order.
    pub fn report(&mut self, report: &Report, now: Moment) -> bool {
        if self.orders.is_some_and(|orders| report.orders < orders) {
            return false;
        }
        self.orders = Some(report.orders);
        self.doubt = false;
        if let Some(copies) = &report.copies {
            self.copies = copies.clone();
        }
        let loading = self.loading().cloned();
        let withdrawn = self.withdrawn().cloned();
        self.engaged = report.busy && loading.is_none() && self.freeing.is_none();
        if self.engaged {
            self.doubt = true;
            self.pause = now + ENGAGED_PAUSE;
            if self.task.is_some() {
                self.abandon();
            }
        }
        self.adopt(&report.held, &report.incoming, now);
        if let Some(model) = withdrawn
            && let Some(replica) = self.replicas.get_mut(&model)
        {
            replica.ready = false;
        }
        match loading {
            Some(model) if report.busy => {
                // Room for it stays taken until the load has ended.
                let replica = self.replicas.entry(model).or_insert_with(|| Replica {
                    ready: false,
                    since: now,
                    adapters: BTreeMap::new(),
                });
                replica.ready = false;
            }
            Some(model) => {
                if let Some(replica) = self.replicas.get_mut(&model) {
                    replica.ready = true;
                    replica.since = now;
                }
                self.task = None;
            }
            None => {}
        }
        if let Some(model) = self.freeing.clone() {
            match self.replicas.get_mut(&model) {
                Some(replica) => replica.ready = false,
                None if !report.busy => self.freeing = None,
                None => {}
            }
        }
        true
    }

    /// Goes on to the next victim, or to the load.
    pub fn advance(&mut self, now: Moment) {
        let Some(task) = &mut self.task else {
            return;
        };
        task.stage = match task.victims.pop() {
            Some(model) => {
                if let Some(replica) = self.replicas.get_mut(&model) {
                    replica.ready = false;
                }
                Stage::Withdrawing { model, since: now }
            }
            None => Stage::Ready,
        };
    }

    /// Notes which adapters are in use.
    pub fn note_use(&mut self, engine: &Upstream, now: Moment) {
        for (model, replica) in &mut self.replicas {
            for (name, adapter) in &mut replica.adapters {
                if engine.using(&format!("{model}/{name}"), now) > 0 {
                    adapter.used = now;
                }
            }
        }
    }

    /// Asks for another report after a while.
    pub fn look_again(&mut self, now: Moment) {
        self.doubt = true;
        self.pause = now + LOOK_AGAIN;
    }

    /// Drops the present task; withdrawn models may be asked for again.
    pub fn abandon(&mut self) {
        let loading = self.loading().cloned();
        self.task = None;
        for (model, replica) in &mut self.replicas {
            replica.ready = Some(model) != loading.as_ref();
        }
        self.doubt = true;
    }

    /// Time until the present task should be done.
    pub fn task_left(&self, now: Moment) -> Duration {
        let Some(task) = &self.task else {
            return Duration::ZERO;
        };
        match task.stage {
            Stage::Loading { since } => (since + task.time).saturating_sub(now),
            Stage::Withdrawing { .. } | Stage::Ready => TASK_TIME,
        }
    }

    /// Model whose load was accepted.
    pub fn loading(&self) -> Option<&Arc<str>> {
        let task = self.task.as_ref()?;
        matches!(task.stage, Stage::Loading { .. }).then_some(&task.model)
    }

    /// Victim that is withdrawn.
    pub fn withdrawn(&self) -> Option<&Arc<str>> {
        match &self.task.as_ref()?.stage {
            Stage::Withdrawing { model, .. } => Some(model),
            Stage::Ready | Stage::Loading { .. } => None,
        }
    }

    /// Whether `model` can be asked for.
    pub fn serves(&self, model: &str) -> bool {
        self.replicas.get(model).is_some_and(|r| r.ready)
    }

    /// Whether `model` is there, or will be after the present task.
    pub fn will_hold(&self, model: &str) -> bool {
        let planned = self.task.as_ref().is_some_and(|t| &*t.model == model);
        planned || self.serves(model)
    }

    /// Memory taken, MB.
    pub fn taken(&self, hosting: &Hosting) -> f64 {
        let mut taken = 0.0;
        for (name, replica) in &self.replicas {
            taken += size(hosting, name, replica.adapters.len());
        }
        taken
    }

    /// Adapters there or on their way.
    pub fn adapters(&self) -> usize {
        self.replicas.values().map(|r| r.adapters.len()).sum()
    }

    /// Time that a load of `model` takes here, and whether it comes from the
    /// weight store.
    pub fn load_time(&self, name: &str, model: &Model) -> (Duration, bool) {
        if self.copies.memory.contains(name) {
            return (model.warm, false);
        }
        if self.copies.disk.contains(name) {
            return (model.disk, false);
        }
        (model.load, true)
    }

    /// Models and `model/adapter`s that may be asked of the engine.
    pub fn targets(&self, now: Moment) -> Vec<String> {
        let mut targets = Vec::new();
        for (model, replica) in &self.replicas {
            if !replica.ready {
                continue;
            }
            targets.push(model.to_string());
            for (name, adapter) in &replica.adapters {
                if adapter.ready <= now {
                    targets.push(format!("{model}/{name}"));
                }
            }
        }
        targets
    }
}

/// Memory of a model with adapters, MB; one that the desired state no longer
/// names counts as the largest it names, as its size is not known.
pub fn size(hosting: &Hosting, name: &str, adapters: usize) -> f64 {
    let largest = || {
        hosting
            .models
            .values()
            .map(|m| m.memory_mb)
            .fold(0.0, f64::max)
    };
    match hosting.models.get(name) {
        Some(model) => model.memory_mb + model.adapter_mb * adapters as f64,
        None => largest(),
    }
}
