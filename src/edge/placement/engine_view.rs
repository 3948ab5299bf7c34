//! The leader's view of one engine: what it holds and what it is doing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::edge::desired::{Hosting, Model};
use crate::edge::orders::EngineReport;
use crate::edge::placement::ModelTarget;
use crate::edge::request_headers::split_target;
use crate::edge::upstream::{EngineEntry, LoadedModels, Upstream, WeightCopies};

/// Pause between two report requests to an engine that runs an order of an earlier
/// leadership.
const FOREIGN_ORDER_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two report requests to an engine.
pub(super) const REPORT_PAUSE: Duration = Duration::from_millis(60);

/// Estimated remaining time of a task that has not started to load: an unload
/// and a load from disk.
const PENDING_TASK_TIME: Duration = Duration::from_millis(1_500);

/// An adapter on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// When it can serve requests.
    pub ready_at: Moment,
    /// When a request last used it.
    pub last_used: Moment,
}

/// A model on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Whether it can serve requests; false while it loads or drains.
    pub ready: bool,
    /// When it was loaded or first reported.
    pub loaded_at: Moment,
    /// Loaded adapters by name.
    pub adapters: BTreeMap<Arc<str>, Adapter>,
}

/// Progress of an engine's current task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskStage {
    /// A model to unload takes no new requests, and those in progress finish.
    Draining {
        /// Model to unload.
        model: Arc<str>,
        /// When draining started.
        since: Moment,
    },
    /// The load can be ordered.
    Ready,
    /// The engine accepted the load.
    Loading {
        /// When it was accepted.
        since: Moment,
    },
}

/// A load and the unloads that free memory for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadTask {
    /// Model to load.
    pub model: Arc<str>,
    /// Models still to unload for it.
    pub victims: Vec<Arc<str>>,
    /// Progress.
    pub stage: TaskStage,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Expected load time.
    pub load_time: Duration,
    /// When it was planned.
    pub planned_at: Moment,
}

/// The leader's view of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Start of the engine, ms since the Unix epoch; 0 when unknown.
    pub incarnation: u64,
    /// Number of orders that it has accepted; unknown before its first report.
    pub accepted_orders: Option<u64>,
    /// Models by name.
    pub replicas: BTreeMap<Arc<str>, Replica>,
    /// Copies of weights in host memory and on disk.
    pub copies: WeightCopies,
    /// Current task.
    pub task: Option<LoadTask>,
    /// A model whose unload was accepted and that no report has confirmed as
    /// unloaded.
    pub unloading: Option<Arc<str>>,
    /// Consecutive orders that it refused while that unload may still run.
    pub refusals: u32,
    /// Whether a call to it is in progress.
    pub call_pending: bool,
    /// Whether a new report is needed.
    pub report_due: bool,
    /// Whether it runs an order of an earlier leadership; what it will hold
    /// afterwards is unknown.
    pub foreign_order: bool,
    /// Earliest moment of the next call.
    pub paused_until: Moment,
}

impl EngineView {
    /// Creates the view from an entry of the platform's list of engines.
    pub fn new(entry: &EngineEntry, now: Moment) -> Self {
        let mut view = EngineView {
            incarnation: entry.incarnation,
            accepted_orders: None,
            replicas: BTreeMap::new(),
            copies: entry.copies.clone(),
            task: None,
            unloading: None,
            refusals: 0,
            call_pending: false,
            report_due: true,
            foreign_order: false,
            paused_until: Moment::ZERO,
        };
        view.update_replicas(&entry.models, &BTreeSet::new(), now);
        view
    }

    /// Replaces the replicas by what the engine says it holds.
    fn update_replicas(
        &mut self,
        models: &LoadedModels,
        loading_adapters: &BTreeSet<Arc<str>>,
        now: Moment,
    ) {
        let mut replicas = BTreeMap::new();
        for (model, adapters) in models {
            let before = self.replicas.remove(model);
            let mut kept = BTreeMap::new();
            let old = before.as_ref().map(|r| &r.adapters);
            for name in adapters {
                let known = old.and_then(|o| o.get(name)).copied();
                kept.insert(
                    name.clone(),
                    known.unwrap_or(Adapter {
                        ready_at: now,
                        last_used: now,
                    }),
                );
            }
            for (name, adapter) in old.into_iter().flatten() {
                let loading = loading_adapters.contains(format!("{model}/{name}").as_str());
                // Reports lag by some hundred milliseconds, and an adapter loads
                // faster than that.
                let recent = now.saturating_sub(adapter.ready_at) < EngineReport::LAG;
                if loading || recent {
                    kept.insert(name.clone(), *adapter);
                }
            }
            let replica = Replica {
                ready: before.as_ref().is_none_or(|r| r.ready),
                loaded_at: before.as_ref().map_or(now, |r| r.loaded_at),
                adapters: kept,
            };
            replicas.insert(model.clone(), replica);
        }
        self.replicas = replicas;
    }

    /// Applies a report; returns false when it is older than the last order.
    pub fn apply_report(&mut self, report: &EngineReport, now: Moment) -> bool {
        if self
            .accepted_orders
            .is_some_and(|orders| report.order_count < orders)
        {
            return false;
        }
        self.accepted_orders = Some(report.order_count);
        self.report_due = false;
        if let Some(copies) = &report.copies {
            self.copies = copies.clone();
        }
        let loading = self.loading().cloned();
        let draining = self.draining().cloned();
        self.foreign_order = report.busy && loading.is_none() && self.unloading.is_none();
        if self.foreign_order {
            self.report_due = true;
            self.paused_until = now + FOREIGN_ORDER_PAUSE;
            if self.task.is_some() {
                self.abandon_task();
            }
        }
        self.update_replicas(&report.models, &report.loading_adapters, now);
        if let Some(model) = draining
            && let Some(replica) = self.replicas.get_mut(&model)
        {
            replica.ready = false;
        }
        match loading {
            Some(model) if report.busy => {
                // Its memory stays reserved until the load has ended.
                let replica = self.replicas.entry(model).or_insert_with(|| Replica {
                    ready: false,
                    loaded_at: now,
                    adapters: BTreeMap::new(),
                });
                replica.ready = false;
            }
            Some(model) => {
                if let Some(replica) = self.replicas.get_mut(&model) {
                    replica.ready = true;
                    replica.loaded_at = now;
                }
                self.task = None;
            }
            None => {}
        }
        if let Some(model) = self.unloading.clone() {
            match self.replicas.get_mut(&model) {
                Some(replica) => replica.ready = false,
                None if !report.busy => self.unloading = None,
                None => {}
            }
        }
        true
    }

    /// Moves the task on to the next victim, or to the load.
    pub fn advance_task(&mut self, now: Moment) {
        let Some(task) = &mut self.task else {
            return;
        };
        task.stage = match task.victims.pop() {
            Some(model) => {
                if let Some(replica) = self.replicas.get_mut(&model) {
                    replica.ready = false;
                }
                TaskStage::Draining { model, since: now }
            }
            None => TaskStage::Ready,
        };
    }

    /// Updates when each adapter was last used.
    pub fn record_use(&mut self, engine: &Upstream, now: Moment) {
        for (target, _) in engine.requests(now) {
            let (model, Some(name)) = split_target(target) else {
                continue;
            };
            let replica = self.replicas.get_mut(model);
            if let Some(adapter) = replica.and_then(|r| r.adapters.get_mut(name)) {
                adapter.last_used = now;
            }
        }
    }

    /// Schedules another report request after [`REPORT_PAUSE`].
    pub fn schedule_report(&mut self, now: Moment) {
        self.report_due = true;
        self.paused_until = now + REPORT_PAUSE;
    }

    /// Drops the current task; draining models take requests again.
    pub fn abandon_task(&mut self) {
        let loading = self.loading().cloned();
        self.task = None;
        for (model, replica) in &mut self.replicas {
            replica.ready = Some(model) != loading.as_ref();
        }
        self.report_due = true;
    }

    /// Returns the expected time until the current task is done.
    pub fn task_remaining(&self, now: Moment) -> Duration {
        let Some(task) = &self.task else {
            return Duration::ZERO;
        };
        match task.stage {
            TaskStage::Loading { since } => (since + task.load_time).saturating_sub(now),
            TaskStage::Draining { .. } | TaskStage::Ready => PENDING_TASK_TIME,
        }
    }

    /// Returns the model that is loading.
    pub fn loading(&self) -> Option<&Arc<str>> {
        let task = self.task.as_ref()?;
        matches!(task.stage, TaskStage::Loading { .. }).then_some(&task.model)
    }

    /// Returns the model that is draining.
    pub fn draining(&self) -> Option<&Arc<str>> {
        match &self.task.as_ref()?.stage {
            TaskStage::Draining { model, .. } => Some(model),
            TaskStage::Ready | TaskStage::Loading { .. } => None,
        }
    }

    /// Returns whether `model` can serve requests.
    pub fn serves(&self, model: &str) -> bool {
        self.replicas.get(model).is_some_and(|r| r.ready)
    }

    /// Returns whether an adapter is loaded or loading.
    pub fn has_adapter(&self, target: &ModelTarget) -> bool {
        let replica = self.replicas.get(&target.model);
        let adapter = target.adapter.as_ref();
        replica.is_some_and(|r| adapter.is_some_and(|a| r.adapters.contains_key(a)))
    }

    /// Returns whether it can get no order now: a call to it or a pause is not over, or a
    /// report has to be read first.
    pub fn is_blocked(&self, now: Moment) -> bool {
        self.call_pending || self.report_due || now < self.paused_until
    }

    /// Returns whether `model` can serve requests, or will after the current task.
    pub fn will_serve(&self, model: &str) -> bool {
        let planned = self.task.as_ref().is_some_and(|t| &*t.model == model);
        planned || self.serves(model)
    }

    /// Returns the models that can serve requests, or will after the current task.
    pub fn servable(&self) -> impl Iterator<Item = &Arc<str>> {
        let planned = self.task.iter().map(|t| &t.model);
        let new = planned.filter(|m| !self.replicas.contains_key(*m));
        let held = self.replicas.keys().filter(|m| self.will_serve(m));
        held.chain(new)
    }

    /// Returns the memory in use, MB.
    pub fn used_mb(&self, hosting: &Hosting) -> f64 {
        let mut used = 0.0;
        for (name, replica) in &self.replicas {
            used += model_size_mb(hosting, name, replica.adapters.len());
        }
        used
    }

    /// Returns the number of adapters that are loaded or loading.
    pub fn adapter_count(&self) -> usize {
        self.replicas.values().map(|r| r.adapters.len()).sum()
    }

    /// Returns the time that a load of the model takes here, and whether the
    /// weights come from the weight store.
    pub fn load_time(&self, name: &str, model: &Model) -> (Duration, bool) {
        if self.copies.memory.contains(name) {
            return (model.memory_load, false);
        }
        if self.copies.disk.contains(name) {
            return (model.disk_load, false);
        }
        (model.store_load, true)
    }

    /// Returns the models that the engine can serve, each with its adapters.
    pub fn servable_models(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (&Arc<str>, impl Iterator<Item = &Arc<str>>)> {
        let ready = self.replicas.iter().filter(|(_, replica)| replica.ready);
        ready.map(move |(model, replica)| {
            let loaded = replica
                .adapters
                .iter()
                .filter(move |(_, a)| a.ready_at <= now);
            (model, loaded.map(|(name, _)| name))
        })
    }
}

/// Returns the memory of a model with its adapters, MB. A model that the desired
/// state no longer names has no known size and counts as the largest named one.
pub fn model_size_mb(hosting: &Hosting, name: &str, adapters: usize) -> f64 {
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
