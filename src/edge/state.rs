//! State of the daemon, shared by its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::activity::Activity;
use super::body_memory::BodyMemory;
use super::caps::{Accounts, Ledger};
use super::client::Client;
use super::clock;
use super::demand::{DecayingDemand, Demand, DemandMeter, ModelKey};
use super::desired::DesiredState;
use super::engine_load::{EngineNews, FirstEvent};
use super::fleet::Fleet;
use super::gossip::{EngineNewsNote, PromptNote};
use super::held_bytes::HeldBytes;
use super::leadership::{Leadership, PeerReach};
use super::load_forecast::LoadForecast;
use super::members::Members;
use super::order::WaitingOrder;
use super::origins::{OriginWriters, Origins};
use super::permits::{Allocator, Permits};
use super::placement::{EngineCall, ModelTarget, PlacementInput, Placer, WaitingRequests};
use super::repeats::Repeats;
use super::retry_budget::{RetryBudget, RetryLimits};
use super::routing::PausedEngine;
use super::settings::Settings;
use super::shutdown::Shutdown;
use super::slow_readers::HoldLimits;
use super::store::StoreClient;
use super::suspects::{LeftRuns, PendingEnds, Suspects};
use super::unreachable::Cause;
use super::upstream::{Lifetime, SentPrompt};
use super::waiting::WaitingTarget;
use crate::clock::Moment;
use crate::metrics::Metrics;

/// Age at which another daemon's waiting requests and demand are ignored.
pub(super) const PEER_STATE_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Period at which the leader sums the demand of all daemons.
const DEMAND_PERIOD: Duration = Duration::from_millis(100);
/// Lifecycle phase of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DaemonPhase {
    /// The desired state and the engines are not known yet.
    Starting,
    /// Callers are served.
    Serving,
    /// Requests in progress are finished before the exit.
    #[strum(serialize = "leaving")]
    Stopping,
}

/// Shared context of one daemon.
#[derive(Debug)]
pub struct Edge {
    /// Settings in force.
    pub settings: RefCell<Rc<Settings>>,
    /// Host.
    pub host: Arc<str>,
    /// Start number of this process, ms since the Unix epoch.
    pub incarnation: u64,
    /// Start of this process.
    pub started_at: Moment,
    /// Whether a process before this one ended without deleting its row in the store.
    pub has_predecessor: Cell<bool>,
    /// HTTP client for requests to engines.
    pub client: Client,
    /// HTTP client for orders and report requests to engines. Their responses have no id,
    /// so that a late response to a request would be taken for one on its connection.
    pub call_client: Client,
    /// The platform's store.
    pub store: StoreClient,
    /// Metrics.
    pub metrics: Metrics,
    /// Lifecycle phase.
    pub phase: Cell<DaemonPhase>,
    /// The shutdown, once it has started.
    pub shutdown: Cell<Option<Shutdown>>,
    /// When the process ran.
    pub activity: RefCell<Activity>,
    /// Bytes of request bodies that are held.
    pub body_memory: BodyMemory,
    /// Bytes held for callers that have not read them.
    pub held_bytes: Rc<HeldBytes>,
    /// Mutable state.
    pub state: RefCell<State>,
    /// Incremented with each change that may let a waiting request proceed.
    pub changed: watch::Sender<u64>,
    /// Wakes the task that sends to other daemons.
    pub send_wake: Notify,
    /// Wakes the task that sends orders to engines.
    pub order_wake: Notify,
    /// Wakes the task that reads the list of members: a packet came from a daemon
    /// that is not listed.
    pub unknown_peer: Notify,
    /// Wakes the task that passes prompts of other daemons on.
    pub relay_wake: Notify,
    /// Wakes the task that keeps the rows of held features.
    pub hold_wake: Notify,
    /// Whether the rows of held features have been read.
    pub holds_known: Cell<bool>,
    /// Wakes the task that keeps the base versions.
    pub origin_wake: Notify,
    /// Whether the base versions have been read.
    pub origins_known: Cell<bool>,
    /// Incremented when rows of streams were written, or could not be, and when other hosts have
    /// replied about streams.
    pub origins_written: watch::Sender<u64>,
    /// Rows of streams that are being read.
    pub origin_lookups: Cell<u32>,
}

/// Mutable state of one daemon.
#[derive(Debug, Default)]
pub struct State {
    /// Desired state in force; version 0 before the first.
    pub desired: Rc<DesiredState>,
    /// Engines.
    pub fleet: Fleet,
    /// Other daemons.
    pub members: Members,
    /// Requests that wait here for a model.
    pub waiting: BTreeMap<ModelTarget, WaitingTarget>,
    /// Order of the requests that wait here, for whatever reason.
    pub order: WaitingOrder,
    /// Wakes each of them when it is its turn to look for an engine.
    pub turn_wakes: HashMap<u64, Rc<Notify>>,
    /// Waiting requests and demand at other daemons.
    pub peer_states: HashMap<Arc<str>, PeerState>,
    /// Demand at all daemons by model, as the leader last summed it.
    pub demand: HashMap<ModelKey, Demand>,
    /// When the leader summed it.
    pub demand_summed: Moment,
    /// Demand at this daemon.
    pub meter: DemandMeter,
    /// Retry budgets by service.
    pub budgets: HashMap<Arc<str>, RetryBudget>,
    /// Answer times, and the repeats that may be sent before a first try has failed.
    pub repeats: Repeats,
    /// Requests that crash engines.
    pub suspects: Suspects,
    /// Versions at which streams began.
    pub origins: Origins,
    /// Writers of the rows of streams.
    pub origin_writers: OriginWriters,
    /// Requests that broke off at engines that may have ended.
    pub pending_ends: PendingEnds,
    /// Requests whose runs were left at engines that may have ended.
    pub left_runs: LeftRuns,
    /// Prompts sent to engines that have not been reported to other daemons.
    pub sent_prompts: Vec<SentPrompt>,
    /// Prompts of daemons of all failure domains to be passed on to this one.
    pub relayed_prompts: Vec<PromptNote>,
    /// Load and speed of engines not yet reported to other daemons.
    pub engine_news: Vec<EngineNews>,
    /// The same from daemons of all failure domains, to be passed on to this one.
    pub relayed_news: Vec<EngineNewsNote>,
    /// Number of the last request that was sent to an engine.
    pub serial: u64,
    /// Engines that leave, with their start times, not yet reported to other daemons.
    pub leaving_notes: Vec<(Arc<str>, u64)>,
    /// Engines whose rates have changed, not yet reported to other daemons.
    pub rate_news: Vec<Arc<str>>,
    /// Permits for requests of this daemon.
    pub permits: Permits,
    /// Permits that this daemon grants.
    pub allocator: Allocator,
    /// Charges of this daemon to customers' caps.
    pub accounts: Accounts,
    /// What this daemon grants of customers' caps.
    pub ledger: Ledger,
    /// Host to which the charges were told last.
    pub cap_allocator: Option<Arc<str>>,
    /// Leadership of this daemon, if it is the leader.
    pub leadership: Option<Leadership>,
    /// Placement decisions of that leadership.
    pub placer: Option<Placer>,
    /// Callers' requests in progress.
    pub active_requests: usize,
}

/// Waiting requests and demand that another daemon reported.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// When it reported its waiting requests.
    pub waiting_at: Moment,
    /// Requests that wait there.
    pub waiting: Vec<(ModelTarget, WaitingRequests)>,
    /// When it reported its demand.
    pub demand_at: Moment,
    /// Demand there.
    pub demand: HashMap<ModelKey, DecayingDemand>,
}

impl Edge {
    /// Wakes waiting requests after a change.
    pub fn notify_waiting(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Returns the limits of what is held for callers.
    pub fn hold_limits(&self) -> HoldLimits {
        let settings = self.settings.borrow();
        HoldLimits::new(&settings.slow_readers, settings.memory_mb)
    }

    /// Returns whether this daemon is ready for callers.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == DaemonPhase::Serving
    }

    /// Returns whether this daemon is the one that grants permits, and writes what one daemon
    /// writes for all.
    pub fn is_allocator(&self) -> bool {
        let state = self.state.borrow();
        let allocator = state
            .members
            .allocator(&self.host, self.is_ready(), clock::now());
        allocator == self.host
    }

    /// Returns whether the store answers this host.
    pub fn store_available(&self) -> bool {
        let availability = self.store.availability();
        availability.last_response.is_some() && availability.failing_since.is_none()
    }

    /// Takes one retry from the budget of a service; returns whether there was one.
    pub fn try_retry(&self, service: &Arc<str>) -> bool {
        let now = clock::now();
        let limits = self.retry_limits();
        let mut state = self.state.borrow_mut();
        let daemons = state.members.share_count(now);
        let budget = state.budgets.entry(service.clone()).or_default();
        budget.try_retry(&limits, daemons, now)
    }

    /// Records a request's first attempt in the retry budget.
    pub fn record_request(&self, service: &Arc<str>) {
        let limits = self.retry_limits();
        let mut state = self.state.borrow_mut();
        let budget = state.budgets.entry(service.clone()).or_default();
        budget.record_request(&limits, clock::now());
    }

    fn retry_limits(&self) -> RetryLimits {
        let bounds = self.settings.borrow().bounds;
        RetryLimits {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: Duration::from_secs_f64(bounds.retry_window_s),
            restarted_at: self.has_predecessor.get().then_some(self.started_at),
        }
    }

    /// Returns after which time a caller that is refused in an engine's pause should return:
    /// one after the other once the pause is over, here and at the other hosts.
    pub fn book_return(&self, paused: &PausedEngine) -> Duration {
        let mut state = self.state.borrow_mut();
        let hosts = state.members.share_count(clock::now()) as u32;
        let spacing = paused.request_time * hosts;
        let reopening = state.fleet.reopening_mut(&paused.engine);
        let delay = reopening.map_or(Duration::ZERO, |r| r.record_refused(spacing));
        paused.ready_in.saturating_add(delay)
    }

    /// Marks an engine that could not be reached as down.
    pub fn mark_down(&self, engine: &str, cause: Cause, error: &str) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let hosts = state.members.share_count(now);
        let Some(upstream) = state.fleet.engines.get_mut(engine) else {
            return;
        };
        if upstream.record_unreachable(cause, hosts, now) {
            let cause: &'static str = cause.into();
            let beat = upstream.entry.sequence;
            log::warn!(engine, beat, cause, error; "engine down");
        }
    }

    /// Records that an engine that counted as down has answered.
    pub fn record_reached(&self, lifetime: &Lifetime) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let Lifetime {
            engine,
            incarnation,
        } = lifetime;
        let upstream = state.fleet.lifetime_mut(engine, *incarnation);
        let Some(down) = upstream.and_then(|u| u.record_reached(now)) else {
            return;
        };
        drop(state);
        let ms = down.as_millis() as u64;
        log::info!(engine = &**engine, life = *incarnation, ms; "engine reached again");
        self.notify_waiting();
        self.order_wake.notify_one();
    }

    /// Records that an engine cannot serve `target`: it reported it missing or accepts no
    /// connection.
    pub fn record_missing(&self, engine: &str, target: &ModelTarget) {
        self.state
            .borrow_mut()
            .record_missing(engine, target, clock::now());
        self.send_wake.notify_one();
        self.order_wake.notify_one();
    }
}

impl State {
    /// Returns which other daemons are alive and have access to the store, as far as
    /// it matters for leadership.
    pub fn peer_reach(&self, now: Moment) -> PeerReach {
        let mut peers = PeerReach::default();
        for (_, member) in self.members.alive_members(now) {
            peers.heard = true;
            peers.served |= member.has_stable_store(now);
        }
        peers
    }

    /// Ends the leadership of this daemon.
    pub fn end_leadership(&mut self) {
        self.placer = None;
        self.leadership = None;
    }

    /// Returns the leader's forecast of a service's loads from the weight store.
    pub fn load_forecast(&self, service: &str, now: Moment) -> Option<&LoadForecast> {
        if let Some(placer) = &self.placer {
            return placer.load_forecasts().get(service);
        }
        let (_, leader) = self.members.leader(now)?;
        leader.leadership.as_ref()?.forecasts.get(service)
    }

    /// Records that an engine cannot serve `target`: it reported it missing or accepts no
    /// connection.
    pub fn record_missing(&mut self, engine: &str, target: &ModelTarget, now: Moment) {
        if let Some(upstream) = self.fleet.engines.get_mut(engine) {
            upstream.missing.insert(target.name(), now);
        }
        let wait = self.waiting.entry(target.clone()).or_default();
        wait.requests.missing_at = Some(engine.into());
        wait.changed_at = now;
        wait.missing_reported = false;
    }

    /// Records the predicted and the measured time to the first event.
    pub fn record_first_event(
        &mut self,
        key: ModelKey,
        engine: &Arc<str>,
        event: FirstEvent,
        now: Moment,
    ) {
        let (predicted, measured) = (event.predicted, event.measured);
        self.meter.record_first_event(key, predicted, measured);
        if self.record_pace(engine, event, now) {
            return;
        }
        if let Some(upstream) = self.fleet.engines.get_mut(engine) {
            upstream.slowdown.record(predicted, measured, now);
        }
    }

    /// Returns the leader's calls to engines that are due, and whether work is in
    /// progress; `None` when this daemon is not the leader.
    pub fn decide_calls(&mut self, now: Moment) -> Option<(Vec<EngineCall>, bool)> {
        let waiting = self.total_waiting(now);
        if now.saturating_sub(self.demand_summed) >= DEMAND_PERIOD {
            self.demand_summed = now;
            self.demand = self.total_demand(now);
        }
        let placer = self.placer.as_mut()?;
        let input = PlacementInput {
            fleet: &self.fleet,
            desired: &self.desired,
            waiting: &waiting,
            demand: &self.demand,
            now,
        };
        let calls = placer.decide(&input);
        let busy = placer.is_busy(now) || !waiting.is_empty();
        Some((calls, busy))
    }

    /// Returns the demand at all daemons by model.
    pub fn total_demand(&mut self, now: Moment) -> HashMap<ModelKey, Demand> {
        let mut all: HashMap<ModelKey, Demand> = HashMap::new();
        for (key, demand) in self.meter.current_demand(now) {
            *all.entry(key).or_default() += demand;
        }
        for other in self.peer_states.values() {
            if now.saturating_sub(other.demand_at) >= PEER_STATE_MAX_AGE {
                continue;
            }
            for (key, demand) in &other.demand {
                *all.entry(key.clone()).or_default() += demand.decayed(now);
            }
        }
        all
    }
}
