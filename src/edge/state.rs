//! What one daemon knows, shared by its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::budget::{self, Budget};
use super::call::Prompt;
use super::client::Client;
use super::clock;
use super::demand::{Demand, DemandMeter, ModelKey};
use super::desired::Desired;
use super::fleet::{Fleet, SentPrompt, Upstream};
use super::leadership::{Leadership, PeerReach};
use super::leaving::Leaving;
use super::members::Members;
use super::placement::{EngineCall, ModelTarget, PlacementInput, Placer, WaitingRequests};
use super::routing::Choice;
use super::settings::Settings;
use super::store::StoreClient;
use super::suspects::Suspects;
use crate::clock::Moment;
use crate::metrics::Metrics;

/// Age at which another daemon's wants and demand are void.
const PEER_STATE_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time for which a want stays after its last request was refused, so that
/// the load begins and a later try finds the model.
const WAIT_RETENTION: Duration = Duration::from_millis(800);

/// Life cycle of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DaemonPhase {
    /// It does not know the desired state and the engines yet.
    Starting,
    /// It takes callers.
    Serving,
    /// It finishes what is in progress.
    #[strum(serialize = "leaving")]
    Stopping,
}

/// One daemon.
#[derive(Debug)]
pub struct Edge {
    /// Settings in force.
    pub settings: RefCell<Rc<Settings>>,
    /// Host.
    pub host: Arc<str>,
    /// Lifetime of this process.
    pub incarnation: u64,
    /// Connections to engines.
    pub client: Client,
    /// The platform's store.
    pub store: StoreClient,
    /// Metrics.
    pub metrics: Metrics,
    /// Life cycle.
    pub phase: Cell<DaemonPhase>,
    /// The planned stop, once it has begun.
    pub leaving: Cell<Option<Leaving>>,
    /// Bytes of callers' bodies that are held.
    pub buffered: Cell<u64>,
    /// What is known.
    pub state: RefCell<State>,
    /// Raised with each change that a waiting request may hope for.
    pub changed: watch::Sender<u64>,
    /// Wakes the task that sends to other daemons.
    pub send_wake: Notify,
    /// Wakes the task that gives orders.
    pub order_wake: Notify,
    /// Wakes the task that reads the list of members.
    pub unknown_peer: Notify,
}

/// What one daemon knows.
#[derive(Debug, Default)]
pub struct State {
    /// Desired state in force; version 0 before the first.
    pub desired: Rc<Desired>,
    /// Engines.
    pub fleet: Fleet,
    /// Other daemons.
    pub members: Members,
    /// Requests that wait here for a model.
    pub waiting: BTreeMap<ModelTarget, WaitingTarget>,
    /// Requests that wait at other daemons.
    pub peer_states: HashMap<Arc<str>, PeerState>,
    /// Demand here.
    pub meter: DemandMeter,
    /// Retry budgets by service.
    pub budgets: HashMap<Arc<str>, Budget>,
    /// Requests that crash engines.
    pub suspects: Suspects,
    /// Prompts sent to engines that other daemons have not been told of.
    pub sent_prompts: Vec<SentPrompt>,
    /// Number of the last request that was sent to an engine.
    pub serial: u64,
    /// Strikes that other daemons have not been told of.
    pub crash_reports: Vec<(u64, Arc<str>)>,
    /// This daemon's leadership.
    pub leadership: Option<Leadership>,
    /// Decisions of that leadership.
    pub placer: Option<Placer>,
    /// Callers' requests in progress.
    pub requests: usize,
}

/// A request at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRequest {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Lifetime of the engine; 0 when it is not known.
    incarnation: u64,
    /// Number of the request at this daemon.
    serial: u64,
    /// Model or `model/adapter`.
    target: Option<Arc<str>>,
}

/// Requests that wait here.
#[derive(Clone, Debug, Default)]
pub struct WaitingTarget {
    /// What other daemons are told.
    pub requests: WaitingRequests,
    /// Last change.
    pub changed_at: Moment,
    /// The holder has been told.
    pub announced: bool,
}

/// What another daemon said.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// When it told its wants.
    pub waiting_at: Moment,
    /// Requests that wait there.
    pub waiting: Vec<(ModelTarget, WaitingRequests)>,
    /// When it told its demand.
    pub demand_at: Moment,
    /// Demand there.
    pub demand: Vec<(ModelKey, Demand)>,
}

impl Edge {
    /// Tells waiting requests that something changed.
    pub fn notify_waiting(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == DaemonPhase::Serving
    }

    /// Whether the store serves this host.
    pub fn store_available(&self) -> bool {
        let reach = self.store.availability();
        reach.last_answer.is_some() && reach.failing_since.is_none()
    }

    /// Takes a repeat out of the retry budget of a service.
    pub fn try_retry(&self, service: &Arc<str>) -> bool {
        let now = clock::now();
        let limits = self.retry_limits();
        let mut state = self.state.borrow_mut();
        let daemons = state.members.share_count(now);
        let budget = state.budgets.entry(service.clone()).or_default();
        budget.repeat(&limits, daemons, now)
    }

    /// Notes a request's first sending.
    pub fn record_request(&self, service: &Arc<str>) {
        let limits = self.retry_limits();
        let mut state = self.state.borrow_mut();
        let budget = state.budgets.entry(service.clone()).or_default();
        budget.request(&limits, clock::now());
    }

    fn retry_limits(&self) -> budget::Limits {
        let bounds = self.settings.borrow().bounds;
        budget::Limits {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: Duration::from_secs_f64(bounds.retry_window_s),
        }
    }

    /// Registers a request that waits for `target`.
    pub fn add_waiting(self: &Rc<Self>, target: ModelTarget, priority: u8) -> WaitGuard {
        let first = self
            .state
            .borrow_mut()
            .add_waiting(&target, priority, clock::now());
        if first {
            self.send_wake.notify_one();
            self.order_wake.notify_one();
        }
        WaitGuard {
            edge: self.clone(),
            target,
        }
    }

    /// Notes that an engine took no connection.
    pub fn mark_down(&self, engine: &str) {
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.fleet.engines.get_mut(engine) else {
            return;
        };
        if !upstream.is_down() {
            let beat = upstream.entry.sequence;
            upstream.down_sequence = Some(beat);
            log::warn!(engine, beat; "engine down: it takes no connection");
        }
    }

    /// Notes that an engine said it lacks `target`.
    pub fn record_missing(&self, engine: &str, target: &ModelTarget) {
        self.state
            .borrow_mut()
            .record_missing(engine, target, clock::now());
        self.send_wake.notify_one();
        self.order_wake.notify_one();
    }
}

impl State {
    /// What other daemons say, as far as it bears on a leadership.
    pub fn peer_reach(&self, now: Moment) -> PeerReach {
        let mut peers = PeerReach::default();
        for (_, member) in self.members.alive_members(now) {
            peers.heard = true;
            peers.served |= member.has_stable_store(now);
        }
        peers
    }

    /// Ends this daemon's leadership.
    pub fn end_leadership(&mut self) {
        self.placer = None;
        self.leadership = None;
    }

    /// Registers a request that waits for `target`; true when it is the first.
    pub fn add_waiting(&mut self, target: &ModelTarget, priority: u8, now: Moment) -> bool {
        let own = self.waiting.entry(target.clone()).or_default();
        let first = own.requests.waiting == 0;
        own.requests.priority = match first {
            true => priority,
            false => own.requests.priority.min(priority),
        };
        own.requests.waiting += 1;
        own.changed_at = now;
        first
    }

    /// Withdraws a request that waited for `target`.
    pub fn remove_waiting(&mut self, target: &ModelTarget, now: Moment) {
        if let Some(own) = self.waiting.get_mut(target) {
            own.requests.waiting = own.requests.waiting.saturating_sub(1);
            own.changed_at = now;
        }
    }

    /// Notes that an engine said it lacks `target`.
    pub fn record_missing(&mut self, engine: &str, target: &ModelTarget, now: Moment) {
        if let Some(upstream) = self.fleet.engines.get_mut(engine) {
            upstream.missing.insert(target.name(), now);
        }
        let own = self.waiting.entry(target.clone()).or_default();
        own.requests.missing_at = Some(engine.into());
        own.changed_at = now;
        own.announced = false;
    }

    /// Notes a request that goes to an engine.
    pub fn begin_request(
        &mut self,
        choice: &Choice,
        prompt: Option<&Prompt>,
        now: Moment,
    ) -> ActiveRequest {
        self.serial += 1;
        let mut passage = ActiveRequest {
            engine: choice.engine.clone(),
            incarnation: 0,
            serial: self.serial,
            target: prompt.map(Prompt::target),
        };
        let Some(upstream) = self.fleet.engines.get_mut(&choice.engine) else {
            return passage;
        };
        passage.incarnation = upstream.entry.incarnation;
        upstream.own_load.running += 1;
        upstream.breaker.record_send(now);
        let (Some(prompt), Some(target)) = (prompt, &passage.target) else {
            return passage;
        };
        *upstream.own_load.targets.entry(target.clone()).or_default() += 1;
        let chains = prompt.chains();
        let sent = SentPrompt {
            engine: choice.engine.clone(),
            target: target.clone(),
            work: choice.work,
            uncached: choice.uncached,
            prefix_keys: chains.into_iter().map(|(key, _)| key).collect(),
        };
        upstream.record_prompt(&sent, Some(passage.serial), now);
        self.sent_prompts.push(sent);
        passage
    }

    /// The engine that a request is at, unless it has started anew.
    fn engine_of(&mut self, passage: &ActiveRequest) -> Option<&mut Upstream> {
        let upstream = self.fleet.engines.get_mut(&passage.engine);
        upstream.filter(|u| u.entry.incarnation == passage.incarnation)
    }

    /// Notes that an engine has read a request's prompt.
    pub fn record_prompt_read(&mut self, passage: &ActiveRequest, now: Moment) {
        if let Some(upstream) = self.engine_of(passage) {
            upstream.queue.read(passage.serial, now);
        }
    }

    /// Notes that a request has left its engine.
    pub fn end_request(&mut self, passage: &ActiveRequest) {
        let Some(upstream) = self.engine_of(passage) else {
            return;
        };
        upstream.queue.remove(passage.serial);
        upstream.own_load.running = upstream.own_load.running.saturating_sub(1);
        let Some(target) = &passage.target else {
            return;
        };
        if let Some(count) = upstream.own_load.targets.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                upstream.own_load.targets.remove(target);
            }
        }
    }

    /// Notes how long a first event took that was predicted after `predicted`.
    pub fn record_first_event(
        &mut self,
        which: ModelKey,
        engine: &str,
        (predicted, seen): (Duration, Duration),
        now: Moment,
    ) {
        self.meter.observe(which, predicted, seen);
        if let Some(upstream) = self.fleet.engines.get_mut(engine) {
            upstream.pace.record(predicted, seen, now);
        }
    }

    /// What the holder of orders calls now, and whether something is under
    /// way; `None` without a leadership.
    pub fn decide_calls(&mut self, now: Moment) -> Option<(Vec<EngineCall>, bool)> {
        let wants = self.total_waiting(now);
        let demand = self.total_demand(now);
        let placer = self.placer.as_mut()?;
        let input = PlacementInput {
            fleet: &self.fleet,
            desired: &self.desired,
            waiting: &wants,
            demand: &demand,
            now,
        };
        let calls = placer.decide(&input);
        let busy = placer.busy(now) || !wants.is_empty();
        Some((calls, busy))
    }

    /// Drops wants that nobody waits for any more.
    pub fn drop_idle_waits(&mut self, now: Moment) {
        self.waiting.retain(|_, own| {
            own.requests.waiting > 0 || now.saturating_sub(own.changed_at) < WAIT_RETENTION
        });
    }

    /// Waiting requests over all daemons.
    pub fn total_waiting(&self, now: Moment) -> BTreeMap<ModelTarget, WaitingRequests> {
        let mut all: BTreeMap<ModelTarget, WaitingRequests> = BTreeMap::new();
        let own = self.waiting.iter().map(|(t, own)| (t, &own.requests));
        let fresh = |o: &&PeerState| now.saturating_sub(o.waiting_at) < PEER_STATE_MAX_AGE;
        let others = self.peer_states.values().filter(fresh);
        let others = others.flat_map(|o| o.waiting.iter().map(|(t, w)| (t, w)));
        for (target, want) in own.chain(others) {
            let sum = all
                .entry(target.clone())
                .or_insert_with(|| WaitingRequests {
                    priority: want.priority,
                    ..WaitingRequests::default()
                });
            sum.waiting += want.waiting;
            sum.priority = sum.priority.min(want.priority);
            if want.missing_at.is_some() {
                sum.missing_at = want.missing_at.clone();
            }
        }
        all
    }

    /// Demand over all daemons.
    pub fn total_demand(&mut self, now: Moment) -> HashMap<ModelKey, Demand> {
        let mut all: HashMap<ModelKey, Demand> = HashMap::new();
        for (which, demand) in self.meter.current(now) {
            *all.entry(which).or_default() += demand;
        }
        for other in self.peer_states.values() {
            if now.saturating_sub(other.demand_at) >= PEER_STATE_MAX_AGE {
                continue;
            }
            for (which, demand) in &other.demand {
                *all.entry(which.clone()).or_default() += *demand;
            }
        }
        all
    }
}

/// A request that waits for a model; dropping it withdraws the want.
#[derive(Debug)]
pub struct WaitGuard {
    edge: Rc<Edge>,
    target: ModelTarget,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut state = self.edge.state.borrow_mut();
        state.remove_waiting(&self.target, clock::now());
    }
}
