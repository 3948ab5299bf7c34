//! Placement of models on engines: what each engine loads and unloads.
//!
//! There are many rarely used models and few engines. A requested model that no
//! engine holds is loaded where the sum of load time and eviction cost is
//! lowest: copies in an engine's memory or on its disk load in about a second,
//! so idle models are cheap to evict and reload. Models under heavy load get
//! more replicas. Models without any copy are prefetched while the weight store
//! is idle.

mod adapters;
pub mod engine_view;
mod forecast;
mod headroom;
mod index;
mod plan;
mod spares;
mod store_loads;
mod store_speed;
mod target;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::demand::{Demand, ModelKey};
use super::desired::{DesiredState, Hosting};
use super::fleet::Fleet;
use super::load_forecast::LoadForecast;
use super::orders::{EngineReport, Order, OrderOutcome, Verb};
use super::settings::{EngineSettings, PlacementSettings, Settings};
use super::upstream::Upstream;
use crate::clock::Moment;
use crate::decide::start_window::StartWindow;
use adapters::next_adapter_order;
use engine_view::{Adapter, EngineView, REPORT_PAUSE, Replica, TaskStage, model_size_mb};
use index::PlanIndex;
use store_speed::StoreSpeed;
pub use target::{ModelTarget, WaitingRequests};

/// Minimum time between the start of a drain and the unload, so that requests
/// already on their way arrive first: twice the latency to a daemon and on to the
/// engine.
const DRAIN_DELAY: Duration = Duration::from_millis(30);
/// Maximum wait for the requests of a draining model to finish.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Number of orders that an engine may refuse while an accepted unload may still run,
/// before it is asked for a report.
const MAX_UNLOADING_REFUSALS: u32 = 4;
/// Pause between two calls to a busy engine.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Pause after an engine refused an order with a status that the protocol does not
/// name.
const REFUSED_PAUSE: Duration = Duration::from_millis(480);
/// Pause after an engine had seen a higher fencing number or had been replaced;
/// the leader's row or the list of engines shows the change within that time.
const FENCED_PAUSE: Duration = Duration::from_millis(960);
/// Time that an engine takes to unload a model without requests.
const UNLOAD_TIME: Duration = Duration::from_millis(40);
/// Time over the expected load time after which a report is requested.
const LOAD_SLACK: Duration = Duration::from_millis(150);
/// Calls to engines in progress from which reports are put off: a new leader asks all
/// engines for their report, and the answers must not overflow the link of its host.
const MAX_PENDING_CALLS: usize = 48;
/// Period of recording which adapters are in use.
const USE_PERIOD: Duration = Duration::from_millis(100);
/// Maximum age of a task that has not started to load.
const MAX_TASK_AGE: Duration = Duration::from_secs(8);

/// What placement decisions are based on.
#[derive(Debug)]
pub struct PlacementInput<'a> {
    /// Engines.
    pub fleet: &'a Fleet,
    /// Desired state.
    pub desired: &'a DesiredState,
    /// Waiting requests of all daemons.
    pub waiting: &'a BTreeMap<ModelTarget, WaitingRequests>,
    /// Demand at all daemons.
    pub demand: &'a HashMap<ModelKey, Demand>,
    /// Time of the decision.
    pub now: Moment,
}

/// A call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineCall {
    /// Send this order.
    Order(Order),
    /// Fetch the report of this engine.
    Report(Arc<str>),
}

/// The leader named in the orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderId {
    /// Host.
    pub host: Arc<str>,
    /// Fencing number.
    pub fence: u64,
}

/// Loads from the weight store before this leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadHistory {
    /// There was no leadership before.
    None,
    /// Known loads: service and start.
    Known(Vec<(Arc<str>, Moment)>),
    /// Unknown up to this moment; none after it.
    UnknownBefore(Moment),
}

/// Placement state of one leadership.
#[derive(Debug)]
pub struct Placer {
    /// Views of the engines by id.
    pub views: BTreeMap<Arc<str>, EngineView>,
    leader: LeaderId,
    engines: EngineSettings,
    settings: PlacementSettings,
    /// Rate limits of loads from the weight store, by service.
    windows: HashMap<Arc<str>, StartWindow>,
    /// Length of the rate limit's window, s.
    window_s: f64,
    /// Loads at once that the weight store serves at full speed, by service.
    speeds: HashMap<Arc<str>, StoreSpeed>,
    /// Loads from the weight store that the leader before has ordered, with the time at which they
    /// are expected to end, by service.
    inherited: HashMap<Arc<str>, BTreeMap<Arc<str>, Moment>>,
    /// Loads before this leadership.
    history: LoadHistory,
    /// What the planning of loads looks up.
    index: PlanIndex,
    /// Targets that requests waited for when loads were last planned, with the time since
    /// when.
    waited_since: BTreeMap<ModelTarget, Moment>,
    /// Forecasts of the loads from the weight store, by service.
    forecasts: BTreeMap<Arc<str>, LoadForecast>,
    /// When loads were last planned.
    planned_at: Moment,
    /// When models without a replica were last checked.
    unserved_checked: Moment,
    /// When the use of adapters was last recorded.
    use_recorded: Moment,
}

impl Placer {
    /// Creates the placement state of a new leadership.
    pub fn new(leader: LeaderId, settings: &Settings, history: LoadHistory) -> Self {
        Placer {
            views: BTreeMap::new(),
            leader,
            engines: settings.engines,
            settings: settings.placement,
            windows: HashMap::new(),
            window_s: settings.bounds.ceiling_window_s,
            speeds: HashMap::new(),
            inherited: HashMap::new(),
            history,
            index: PlanIndex::default(),
            waited_since: BTreeMap::new(),
            forecasts: BTreeMap::new(),
            planned_at: Moment::ZERO,
            unserved_checked: Moment::ZERO,
            use_recorded: Moment::ZERO,
        }
    }

    /// Returns the fencing number of the leadership.
    pub fn fence(&self) -> u64 {
        self.leader.fence
    }

    /// Returns the forecasts of the loads from the weight store, by service.
    pub fn load_forecasts(&self) -> &BTreeMap<Arc<str>, LoadForecast> {
        &self.forecasts
    }

    /// Updates the views from the list of engines.
    pub fn update_engines(&mut self, input: &PlacementInput<'_>) {
        let now = input.now;
        let engines = &input.fleet.engines;
        let is_hosting =
            |e: &Upstream| e.is_usable() && input.desired.hosting(&e.entry.service).is_some();
        self.views
            .retain(|id, _| engines.get(id).is_some_and(is_hosting));
        let records_use = now.saturating_sub(self.use_recorded) >= USE_PERIOD;
        if records_use {
            self.use_recorded = now;
        }
        for engine in engines.values().filter(|e| is_hosting(e)) {
            let entry = &engine.entry;
            let view = self
                .views
                .entry(entry.id.clone())
                .or_insert_with(|| EngineView::new(entry, now));
            if view.incarnation != entry.incarnation {
                *view = EngineView::new(entry, now);
            }
            if let Some(left) = input.fleet.pause_left(engine, now) {
                view.paused_until = view.paused_until.max(now.saturating_add(left));
            }
            if !records_use {
                continue;
            }
            view.record_use(engine, now);
            if !entry.copies.disk.is_empty() || !entry.copies.memory.is_empty() {
                view.copies = entry.copies.clone();
            }
        }
    }

    /// Applies an engine's report; `None` when the call failed.
    pub fn handle_report(&mut self, engine: &str, report: Option<&EngineReport>, now: Moment) {
        let Some(view) = self.views.get_mut(engine) else {
            return;
        };
        view.call_pending = false;
        let Some(report) = report else {
            view.paused_until = now + RETRY_PAUSE;
            return;
        };
        if report.incarnation != 0
            && view.incarnation != 0
            && report.incarnation != view.incarnation
        {
            return;
        }
        if !view.apply_report(report, now) || view.task.is_some() {
            // Reports lag, and the task in progress takes time.
            view.paused_until = view.paused_until.max(now + REPORT_PAUSE);
        }
    }

    /// Applies the outcome of an order.
    pub fn handle_outcome(&mut self, order: &Order, outcome: OrderOutcome, now: Moment) {
        let Some(view) = self.views.get_mut(&order.engine) else {
            return;
        };
        view.call_pending = false;
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::AlreadyDone => {
                view.refusals = 0;
                if outcome == OrderOutcome::Accepted || order.adapter.is_some() {
                    view.accepted_orders = view.accepted_orders.map(|n| n + 1);
                } else {
                    view.report_due = true;
                }
                let adapter_time = Duration::from_millis(self.engines.adapter_ms);
                apply_order(view, order, adapter_time, now);
            }
            OrderOutcome::Unanswered => view.report_due = true,
            OrderOutcome::Busy
                if view.unloading.is_some() && view.refusals < MAX_UNLOADING_REFUSALS =>
            {
                view.refusals += 1;
                view.paused_until = now + UNLOAD_TIME;
            }
            OrderOutcome::Busy => {
                view.report_due = true;
                view.paused_until = now + RETRY_PAUSE;
            }
            OrderOutcome::Refused => {
                view.abandon_task();
                view.paused_until = now + REFUSED_PAUSE;
            }
            OrderOutcome::Fenced | OrderOutcome::Replaced => {
                view.abandon_task();
                view.paused_until = now + FENCED_PAUSE;
            }
        }
    }

    /// Returns the calls to make now.
    pub fn decide(&mut self, input: &PlacementInput<'_>) -> Vec<EngineCall> {
        self.update_engines(input);
        self.recheck_missing(input);
        self.drop_stale_tasks(input);
        self.plan_if_due(input);
        let adapters = self.assign_adapters(input);
        let mut calls = Vec::new();
        let mut pending = self.views.values().filter(|v| v.call_pending).count();
        let ids: Vec<_> = self.views.keys().cloned().collect();
        for id in ids {
            if pending >= MAX_PENDING_CALLS && self.views.get(&id).is_some_and(|v| v.report_due) {
                continue;
            }
            let adapters = adapters.get(&id).map_or(&[][..], Vec::as_slice);
            if let Some(call) = self.next_call(&id, input, adapters) {
                pending += 1;
                calls.push(call);
            }
        }
        calls
    }

    /// Returns the loads from the weight store in the rate limit's window: service
    /// and start.
    pub fn store_load_starts(&self, now: Moment) -> Vec<(Arc<str>, Moment)> {
        let mut starts = Vec::new();
        for (service, window) in &self.windows {
            starts.extend(window.starts(now).map(|at| (service.clone(), at)));
        }
        if let LoadHistory::Known(history) = &self.history {
            let unseen = |s: &&(Arc<str>, Moment)| !self.windows.contains_key(&s.0);
            starts.extend(history.iter().filter(unseen).cloned());
        }
        starts
    }

    /// Returns the rate limit of a service's loads from the weight store.
    fn store_window(&mut self, service: &Arc<str>, hosting: &Hosting) -> &mut StartWindow {
        let rate = hosting.loads_per_s;
        let count = (rate * self.window_s).floor().max(1.0) as u32;
        let history = &self.history;
        let window = self
            .windows
            .entry(service.clone())
            .or_insert_with(|| match history {
                LoadHistory::None => StartWindow::from_starts(rate, count, &[]),
                LoadHistory::Known(starts) => {
                    let own = starts.iter().filter(|(s, _)| s == service);
                    let own: Vec<_> = own.map(|(_, at)| *at).collect();
                    StartWindow::from_starts(rate, count, &own)
                }
                LoadHistory::UnknownBefore(moment) => StartWindow::new(rate, count, *moment),
            });
        window.set_limit(rate, count);
        window
    }

    /// Returns whether a task, call or adapter load is in progress.
    pub fn is_busy(&self, now: Moment) -> bool {
        let loading = |r: &Replica| r.adapters.values().any(|a| a.ready_at > now);
        self.views
            .values()
            .any(|v| v.task.is_some() || v.call_pending || v.replicas.values().any(loading))
    }

    /// Requests a report from each engine that lacks a target it was believed to
    /// hold.
    fn recheck_missing(&mut self, input: &PlacementInput<'_>) {
        for (target, requests) in input.waiting {
            let Some(id) = &requests.missing_at else {
                continue;
            };
            let Some(view) = self.views.get_mut(id) else {
                continue;
            };
            if let Some(replica) = view.replicas.get_mut(&target.model)
                && let Some(adapter) = &target.adapter
                && replica
                    .adapters
                    .get(adapter)
                    .is_some_and(|a| input.now.saturating_sub(a.ready_at) > EngineReport::LAG * 2)
            {
                replica.adapters.remove(adapter);
            }
            view.report_due = true;
        }
    }

    /// Drops tasks that did not reach their load within [`MAX_TASK_AGE`], or whose engine
    /// wants no orders now.
    fn drop_stale_tasks(&mut self, input: &PlacementInput<'_>) {
        for (id, view) in &mut self.views {
            let Some(task) = &view.task else {
                continue;
            };
            let started = matches!(task.stage, TaskStage::Loading { .. });
            let engine = input.fleet.engines.get(id);
            let paused = engine.is_some_and(|e| input.fleet.pause_left(e, input.now).is_some());
            let stale = input.now.saturating_sub(task.planned_at) > MAX_TASK_AGE;
            if !started && (stale || paused) {
                view.abandon_task();
            }
        }
    }

    /// Returns the next call to one engine, which should load `adapters`.
    fn next_call(
        &mut self,
        id: &Arc<str>,
        input: &PlacementInput<'_>,
        adapters: &[&ModelTarget],
    ) -> Option<EngineCall> {
        let now = input.now;
        let view = self.views.get_mut(id)?;
        if view.call_pending || now < view.paused_until {
            return None;
        }
        let engine = input.fleet.engines.get(id)?;
        let service = &engine.entry.service;
        let hosting = input.desired.hosting(service)?;
        if view.report_due {
            view.call_pending = true;
            return Some(EngineCall::Report(id.clone()));
        }
        let leader = self.leader.clone();
        let order = |verb, model: &Arc<str>, adapter: Option<Arc<str>>, expected| Order {
            engine: id.clone(),
            verb,
            model: model.clone(),
            adapter,
            expected_count: expected,
            leader: leader.host.clone(),
            fence: leader.fence,
        };
        if let Some((verb, model, adapter)) =
            next_adapter_order(view, engine, hosting, input, adapters)
        {
            view.call_pending = true;
            return Some(EngineCall::Order(order(
                verb,
                &model,
                Some(adapter),
                view.accepted_orders,
            )));
        }
        let task = view.task.as_ref()?;
        let call = match &task.stage {
            TaskStage::Draining { model, since } => {
                let waited = now.saturating_sub(*since);
                if waited < DRAIN_DELAY {
                    return None;
                }
                if engine.requests_for(model, now) > 0 && waited < MAX_DRAIN_TIME {
                    return None;
                }
                EngineCall::Order(order(Verb::Unload, model, None, view.accepted_orders))
            }
            TaskStage::Ready => {
                let required_mb = view.used_mb(hosting) + model_size_mb(hosting, &task.model, 0);
                if required_mb > hosting.memory_mb {
                    match view.unloading {
                        Some(_) => view.schedule_report(now),
                        None => view.abandon_task(),
                    }
                    return None;
                }
                let (model, from_store, expected) =
                    (task.model.clone(), task.from_store, view.accepted_orders);
                if from_store {
                    let window = self.store_window(service, hosting);
                    if !window.wait(now).is_zero() {
                        return None;
                    }
                    // An unanswered order counts as a load, too.
                    window.record_start(now);
                }
                let order = order(Verb::Load, &model, None, expected);
                self.views.get_mut(id)?.call_pending = true;
                return Some(EngineCall::Order(order));
            }
            TaskStage::Loading { since } => {
                if now < *since + task.load_time + LOAD_SLACK {
                    return None;
                }
                EngineCall::Report(id.clone())
            }
        };
        view.call_pending = true;
        Some(call)
    }
}

/// Updates the view after the engine accepted an order.
fn apply_order(view: &mut EngineView, order: &Order, adapter_time: Duration, now: Moment) {
    if let Some(name) = &order.adapter {
        let Some(replica) = view.replicas.get_mut(&order.model) else {
            return;
        };
        match order.verb {
            Verb::Load => {
                let ready = now + adapter_time;
                replica.adapters.insert(
                    name.clone(),
                    Adapter {
                        ready_at: ready,
                        last_used: now,
                    },
                );
            }
            Verb::Unload => {
                replica.adapters.remove(name);
            }
        }
        return;
    }
    match order.verb {
        Verb::Load => {
            let replica = Replica {
                ready: false,
                loaded_at: now,
                adapters: BTreeMap::new(),
            };
            view.replicas.insert(order.model.clone(), replica);
            view.unloading = None;
            if let Some(task) = &mut view.task {
                task.stage = TaskStage::Loading { since: now };
            }
        }
        Verb::Unload => {
            // The engine accepts no other order while it unloads, so the load
            // can be ordered without a report in between.
            view.replicas.remove(&order.model);
            view.unloading = Some(order.model.clone());
            if view.draining() == Some(&order.model) {
                view.advance_task(now);
            }
            view.paused_until = now + UNLOAD_TIME;
        }
    }
}
