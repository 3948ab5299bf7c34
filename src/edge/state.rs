//! What one daemon knows, shared by its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::client::Client;
use super::clock;
use super::demand::{Demand, DemandMeter, ModelKey};
use super::desired::Desired;
use super::fleet::{Fleet, Sent, Upstream};
use super::leadership::{Leadership, PeerReach};
use super::members::Members;
use super::placement::{EngineCall, ModelTarget, PlacementInput, Placer, WaitingRequests};
use super::request_headers::Prompt;
use super::retry_budget::{RetryBudget, RetryLimits};
use super::routing::Choice;
use super::settings::Settings;
use super::shutdown::Shutdown;
use super::store::Store;
use super::suspects::Suspects;
use crate::clock::Moment;
use crate::metrics::Metrics;

/// Age at which another daemon's wants and demand are void.
const OTHERS_AGE: Duration = Duration::from_millis(1_500);
/// Time for which a want stays after its last request was refused, so that
/// the load begins and a later try finds the model.
const WANT_LINGERS: Duration = Duration::from_millis(800);

/// Life cycle of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// It does not know the desired state and the engines yet.
    Starting,
    /// It takes callers.
    Serving,
    /// It finishes what is in progress.
    Leaving,
}

/// One daemon.
#[derive(Debug)]
pub struct Edge {
    /// Settings in force.
    pub settings: RefCell<Rc<Settings>>,
    /// Host.
    pub host: Arc<str>,
    /// Lifetime of this process.
    pub life: u64,
    /// Connections to engines.
    pub client: Client,
    /// The platform's store.
    pub store: Store,
    /// Metrics.
    pub metrics: Metrics,
    /// Life cycle.
    pub phase: Cell<Phase>,
    /// The planned stop, once it has begun.
    pub shutdown: Cell<Option<Shutdown>>,
    /// Bytes of callers' bodies that are held.
    pub buffered: Cell<u64>,
    /// What is known.
    pub state: RefCell<State>,
    /// Raised with each change that a waiting request may hope for.
    pub changed: watch::Sender<u64>,
    /// Wakes the task that sends to other daemons.
    pub urgent: Notify,
    /// Wakes the task that gives orders.
    pub order_wake: Notify,
    /// Wakes the task that reads the list of members.
    pub stranger: Notify,
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
    pub wants: BTreeMap<ModelTarget, OwnWant>,
    /// Requests that wait at other daemons.
    pub others: HashMap<Arc<str>, Other>,
    /// Demand here.
    pub meter: DemandMeter,
    /// Retry budgets by service.
    pub budgets: HashMap<Arc<str>, RetryBudget>,
    /// Requests that crash engines.
    pub suspects: Suspects,
    /// Prompts sent to engines that other daemons have not been told of.
    pub sent: Vec<Sent>,
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
pub struct Passage {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Lifetime of the engine; 0 when it is not known.
    born: u64,
    /// Number of the request at this daemon.
    serial: u64,
    /// Model or `model/adapter`.
    target: Option<Arc<str>>,
}

/// Requests that wait here.
#[derive(Clone, Debug, Default)]
pub struct OwnWant {
    /// What other daemons are told.
    pub want: WaitingRequests,
    /// Last change.
    pub at: Moment,
    /// The holder has been told.
    pub told: bool,
}

/// What another daemon said.
#[derive(Clone, Debug, Default)]
pub struct Other {
    /// When it told its wants.
    pub wants_at: Moment,
    /// Requests that wait there.
    pub wants: Vec<(ModelTarget, WaitingRequests)>,
    /// When it told its demand.
    pub demand_at: Moment,
    /// Demand there.
    pub demand: Vec<(ModelKey, Demand)>,
}

impl Edge {
    /// Tells waiting requests that something changed.
    pub fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Whether callers may be sent here.
    pub fn ready(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Whether the store serves this host.
    pub fn served(&self) -> bool {
        let reach = self.store.reach();
        reach.answered.is_some() && reach.failing.is_none()
    }

    /// Takes a repeat out of the retry budget of a service.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        let now = clock::now();
        let limits = self.retry_limits();
        let mut state = self.state.borrow_mut();
        let daemons = state.members.sharing(now);
        let budget = state.budgets.entry(service.clone()).or_default();
        budget.try_retry(&limits, daemons, now)
    }

    /// Notes a request's first sending.
    pub fn note_request(&self, service: &Arc<str>) {
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
        }
    }

    /// Registers a request that waits for `target`.
    pub fn want(self: &Rc<Self>, target: ModelTarget, priority: u8) -> Wanting {
        let first = self
            .state
            .borrow_mut()
            .want(&target, priority, clock::now());
        if first {
            self.urgent.notify_one();
            self.order_wake.notify_one();
        }
        Wanting {
            edge: self.clone(),
            target,
        }
    }

    /// Notes that an engine took no connection.
    pub fn unreached(&self, engine: &str) {
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.fleet.engines.get_mut(engine) else {
            return;
        };
        if !upstream.down() {
            let beat = upstream.entry.beat;
            upstream.refused = Some(beat);
            log::warn!(engine, beat; "engine down: it takes no connection");
        }
    }

    /// Notes that an engine said it lacks `target`.
    pub fn lacks(&self, engine: &str, target: &ModelTarget) {
        self.state.borrow_mut().lacks(engine, target, clock::now());
        self.urgent.notify_one();
        self.order_wake.notify_one();
    }
}

impl State {
    /// What other daemons say, as far as it bears on a leadership.
    pub fn peers(&self, now: Moment) -> PeerReach {
        let mut peers = PeerReach::default();
        for (_, member) in self.members.alive(now) {
            peers.heard = true;
            peers.served |= member.served(now);
        }
        peers
    }

    /// Ends this daemon's leadership.
    pub fn end_leadership(&mut self) {
        self.placer = None;
        self.leadership = None;
    }

    /// Registers a request that waits for `target`; true when it is the first.
    pub fn want(&mut self, target: &ModelTarget, priority: u8, now: Moment) -> bool {
        let own = self.wants.entry(target.clone()).or_default();
        let first = own.want.waiting == 0;
        own.want.priority = match first {
            true => priority,
            false => own.want.priority.min(priority),
        };
        own.want.waiting += 1;
        own.at = now;
        first
    }

    /// Withdraws a request that waited for `target`.
    pub fn unwant(&mut self, target: &ModelTarget, now: Moment) {
        if let Some(own) = self.wants.get_mut(target) {
            own.want.waiting = own.want.waiting.saturating_sub(1);
            own.at = now;
        }
    }

    /// Notes that an engine said it lacks `target`.
    pub fn lacks(&mut self, engine: &str, target: &ModelTarget, now: Moment) {
        if let Some(upstream) = self.fleet.engines.get_mut(engine) {
            upstream.absent.insert(target.name(), now);
        }
        let own = self.wants.entry(target.clone()).or_default();
        own.want.missing_at = Some(engine.into());
        own.at = now;
        own.told = false;
    }

    /// Notes a request that goes to an engine.
    pub fn begin(&mut self, choice: &Choice, prompt: Option<&Prompt>, now: Moment) -> Passage {
        self.serial += 1;
        let mut passage = Passage {
            engine: choice.engine.clone(),
            born: 0,
            serial: self.serial,
            target: prompt.map(Prompt::target),
        };
        let Some(upstream) = self.fleet.engines.get_mut(&choice.engine) else {
            return passage;
        };
        passage.born = upstream.entry.born;
        upstream.own.running += 1;
        upstream.breaker.record_send(now);
        let (Some(prompt), Some(target)) = (prompt, &passage.target) else {
            return passage;
        };
        *upstream.own.targets.entry(target.clone()).or_default() += 1;
        let chains = prompt.prefix_keys();
        let sent = Sent {
            engine: choice.engine.clone(),
            target: target.clone(),
            work: choice.work,
            fresh: choice.uncached,
            chains: chains.into_iter().map(|(key, _)| key).collect(),
        };
        upstream.note_sent(&sent, Some(passage.serial), now);
        self.sent.push(sent);
        passage
    }

    /// The engine that a request is at, unless it has started anew.
    fn at(&mut self, passage: &Passage) -> Option<&mut Upstream> {
        let upstream = self.fleet.engines.get_mut(&passage.engine);
        upstream.filter(|u| u.entry.born == passage.born)
    }

    /// Notes that an engine has read a request's prompt.
    pub fn prompt_read(&mut self, passage: &Passage, now: Moment) {
        if let Some(upstream) = self.at(passage) {
            upstream.queue.read(passage.serial, now);
        }
    }

    /// Notes that a request has left its engine.
    pub fn ended(&mut self, passage: &Passage) {
        let Some(upstream) = self.at(passage) else {
            return;
        };
        upstream.queue.remove(passage.serial);
        upstream.own.running = upstream.own.running.saturating_sub(1);
        let Some(target) = &passage.target else {
            return;
        };
        if let Some(count) = upstream.own.targets.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                upstream.own.targets.remove(target);
            }
        }
    }

    /// Notes how long a first event took that was predicted after `predicted`.
    pub fn first_event(
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
    pub fn decide(&mut self, now: Moment) -> Option<(Vec<EngineCall>, bool)> {
        let wants = self.all_wants(now);
        let demand = self.all_demand(now);
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
    pub fn sweep_wants(&mut self, now: Moment) {
        self.wants
            .retain(|_, own| own.want.waiting > 0 || now.saturating_sub(own.at) < WANT_LINGERS);
    }

    /// Waiting requests over all daemons.
    pub fn all_wants(&self, now: Moment) -> BTreeMap<ModelTarget, WaitingRequests> {
        let mut all: BTreeMap<ModelTarget, WaitingRequests> = BTreeMap::new();
        let own = self.wants.iter().map(|(t, own)| (t, &own.want));
        let fresh = |o: &&Other| now.saturating_sub(o.wants_at) < OTHERS_AGE;
        let others = self.others.values().filter(fresh);
        let others = others.flat_map(|o| o.wants.iter().map(|(t, w)| (t, w)));
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
    pub fn all_demand(&mut self, now: Moment) -> HashMap<ModelKey, Demand> {
        let mut all: HashMap<ModelKey, Demand> = HashMap::new();
        for (which, demand) in self.meter.current(now) {
            *all.entry(which).or_default() += demand;
        }
        for other in self.others.values() {
            if now.saturating_sub(other.demand_at) >= OTHERS_AGE {
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
pub struct Wanting {
    edge: Rc<Edge>,
    target: ModelTarget,
}

impl Drop for Wanting {
    fn drop(&mut self) {
        let mut state = self.edge.state.borrow_mut();
        state.unwant(&self.target, clock::now());
    }
}
