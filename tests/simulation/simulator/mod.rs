//! Discrete-event simulator: daemons with the product's state and decision
//! code, simulated engines, weight store and callers.

mod requests;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mastichinge::clock::Moment;
use mastichinge::edge::desired::Model;
use mastichinge::edge::gossip::{Heartbeat, Packet};
use mastichinge::edge::in_flight::InFlightRequest;
use mastichinge::edge::leader::Announcer;
use mastichinge::edge::members::HEARTBEAT_PERIOD;
use mastichinge::edge::orders::{EngineReport, Order, OrderOutcome, Verb};
use mastichinge::edge::placement::{EngineCall, LeaderId, LoadHistory, ModelTarget, Placer};
use mastichinge::edge::reports::Reporter;
use mastichinge::edge::settings::Settings;
use mastichinge::edge::state::State;
use mastichinge::edge::upstream::EnginePhase;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::engine::Engine;
use super::firm::Firm;
use super::workload::{self, Arrival, Day, DayEvent, TRAFFIC_DURATION};

/// Time from the start of the simulation to the first traffic.
pub const WARMUP: Duration = Duration::from_secs(10);
/// Time from the end of the traffic to the end of the simulation.
const DRAIN_TIME: Duration = Duration::from_secs(20);
/// One-way delay between a daemon and an engine or another daemon.
const HOP_DELAY: Duration = Duration::from_micros(500);
/// Period of the leader's decisions.
const DECISION_PERIOD: Duration = Duration::from_millis(15);
/// Period at which engines update their entries and daemons read them.
const ENTRY_PERIOD: Duration = Duration::from_millis(1_200);
/// Concurrent loads that the weight store serves at full speed.
const PARALLEL_LOADS: f64 = 4.0;

/// A scheduled event of the simulation.
#[derive(Clone, Debug)]
enum SimEvent {
    Arrive(usize),
    Route(usize, u32),
    ReachEngine(usize),
    StepEnd(usize, Moment),
    TaskEnd(usize),
    FirstEvent(usize),
    Complete(usize),
    Reject(usize, bool),
    CallerTimeout(usize, u32),
    Heartbeat(usize),
    FlushNotes(usize),
    ReceivePacket(usize, Rc<(Arc<str>, Packet)>),
    LeaderStep,
    ReceiveOrder(Order),
    OrderAnswer(Order, OrderOutcome),
    ReportRequest(Arc<str>),
    ReportReply(Arc<str>, Option<Box<EngineReport>>),
    UpdateEntries,
    Disturb(DayEvent),
    RestartEngine(usize),
    RestoreSpeed(usize),
    StopEngine(usize),
    ResumeLeader,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The output is complete.
    Served,
    /// The last try was refused.
    Refused,
    /// The caller gave up, or the engine interrupted the output.
    Failed,
}

/// A request and its state.
#[derive(Clone, Debug)]
pub struct SimRequest {
    /// The request of the workload.
    pub arrival: Arrival,
    /// Tries by the caller.
    pub tries: u32,
    /// Time from arrival to the first event at the caller.
    pub first_event: Option<Duration>,
    /// How it ended; `None` while it is open.
    pub end: Option<RequestEnd>,
    /// Whether it waited for a load.
    pub waited: bool,
    try_start: Moment,
    waiting_for: Option<ModelTarget>,
    attempt: Option<usize>,
    avoid: Vec<Arc<str>>,
    failed_attempts: u32,
    rejections: u32,
}

#[derive(Clone, Debug)]
struct Attempt {
    request: usize,
    engine: usize,
    active_request: InFlightRequest,
    predicted: Duration,
    sent_at: Moment,
    ended: bool,
}

/// State of the simulation.
pub struct Simulator {
    firm: Firm,
    now: Moment,
    last_event: u64,
    schedule: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, SimEvent>,
    /// Engines.
    pub engines: Vec<Engine>,
    engine_index: HashMap<Arc<str>, usize>,
    models: HashMap<Arc<str>, Model>,
    daemons: Vec<State>,
    hosts: Vec<Arc<str>>,
    settings: Settings,
    announcer: Announcer,
    reporters: Vec<Reporter>,
    leader_paused: bool,
    flush_pending: Vec<bool>,
    /// Requests of the workload, in order of arrival.
    pub requests: Vec<SimRequest>,
    attempts: Vec<Attempt>,
    store_loads: Vec<Moment>,
    /// Counters of the run.
    pub counters: Counters,
    rng: ChaCha8Rng,
}

/// Counters of a run.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Start times of the loads from the weight store.
    pub store_loads: Vec<Moment>,
    /// Accepted orders: loads, unloads, and loads and unloads of adapters.
    pub orders: [u32; 3],
    /// Measured over predicted times to the first event.
    pub latency_ratios: Vec<f64>,
    /// Wall-clock time of routing decisions, and their number.
    pub routing: (Duration, u32),
    /// Wall-clock time of placement decisions, and their number.
    pub placement: (Duration, u32),
    /// Datagrams sent between daemons.
    pub datagrams: u64,
}

impl Simulator {
    /// Prepares a run of a day, with its arrivals and disturbances scheduled.
    pub fn new(firm: &Firm, day: &Day, settings: &Settings, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let arrivals = workload::generate_arrivals(firm, day, &mut rng);
        let mut simulator = Simulator {
            firm: firm.clone(),
            now: Duration::ZERO,
            last_event: 0,
            schedule: BinaryHeap::new(),
            events: HashMap::new(),
            engines: Vec::new(),
            engine_index: HashMap::new(),
            models: firm
                .models
                .iter()
                .map(|m| (m.name.clone(), m.model.clone()))
                .collect(),
            daemons: Vec::new(),
            hosts: (0..firm.daemon_count)
                .map(|i| format!("edge-{i:03}").into())
                .collect(),
            settings: settings.clone(),
            announcer: Announcer::default(),
            reporters: vec![Reporter::default(); firm.daemon_count],
            leader_paused: false,
            flush_pending: vec![false; firm.daemon_count],
            requests: Vec::new(),
            attempts: Vec::new(),
            store_loads: Vec::new(),
            counters: Counters::default(),
            rng,
        };
        simulator.add_engines();
        simulator.add_daemons();
        for arrival in arrivals {
            let at = WARMUP + arrival.at;
            let index = simulator.requests.len();
            simulator.requests.push(SimRequest {
                arrival,
                tries: 0,
                first_event: None,
                end: None,
                waited: false,
                try_start: at,
                waiting_for: None,
                attempt: None,
                avoid: Vec::new(),
                failed_attempts: 0,
                rejections: 0,
            });
            simulator.schedule_at(at, SimEvent::Arrive(index));
        }
        for (at, event) in &day.events {
            let at = WARMUP + Duration::from_secs_f64(*at);
            simulator.schedule_at(at, SimEvent::Disturb(*event));
        }
        simulator
    }

    /// Adds the engines, each with one model loaded and copies of five on its disk.
    fn add_engines(&mut self) {
        let names: Vec<Arc<str>> = self.firm.models.iter().map(|m| m.name.clone()).collect();
        let mut shuffled = names.clone();
        shuffled.shuffle(&mut self.rng);
        for number in 0..self.firm.engine_count {
            let loaded = [shuffled[number % shuffled.len()].clone()];
            let mut disk = vec![loaded[0].clone()];
            for k in 1..5 {
                disk.push(shuffled[(number + k * 7) % shuffled.len()].clone());
            }
            let engine = Engine::new(&self.firm, number, &loaded, &disk);
            self.engine_index.insert(engine.entry.id.clone(), number);
            self.engines.push(engine);
        }
    }

    fn add_daemons(&mut self) {
        let desired = Rc::new(self.firm.desired_state());
        for (i, host) in self.hosts.clone().into_iter().enumerate() {
            let mut state = State {
                desired: desired.clone(),
                ..State::default()
            };
            if i == 0 {
                let authority = LeaderId { host, fence: 1 };
                state.placer = Some(Placer::new(authority, &self.settings, LoadHistory::None));
            }
            self.daemons.push(state);
            let offset = HEARTBEAT_PERIOD.mul_f64(i as f64 / self.hosts.len() as f64);
            self.schedule_at(offset, SimEvent::Heartbeat(i));
        }
        self.schedule_at(Duration::ZERO, SimEvent::UpdateEntries);
        self.schedule_at(Duration::from_millis(20), SimEvent::LeaderStep);
    }

    fn schedule_at(&mut self, at: Moment, event: SimEvent) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.schedule.push(Reverse((at, self.last_event)));
    }

    fn schedule_after(&mut self, time: Duration, event: SimEvent) {
        self.schedule_at(self.now + time, event);
    }

    /// Runs the whole day.
    pub fn run(&mut self) {
        self.run_until(TRAFFIC_DURATION + DRAIN_TIME);
    }

    /// Runs the simulation up to this time after the start of the traffic.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, number))) = self.schedule.pop() {
            if at > WARMUP + end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => self.start_try(request),
            SimEvent::Route(request, tries) => self.route_request(request, tries),
            SimEvent::ReachEngine(attempt) => self.submit_attempt(attempt),
            SimEvent::StepEnd(engine, end) => self.end_step(engine, end),
            SimEvent::TaskEnd(engine) => {
                let now = self.now;
                self.engines[engine].finish_task(&self.models, now);
            }
            SimEvent::FirstEvent(attempt) => self.record_first_event(attempt),
            SimEvent::Complete(attempt) => self.complete_attempt(attempt),
            SimEvent::Reject(attempt, model_missing) => self.reject_attempt(attempt, model_missing),
            SimEvent::CallerTimeout(request, tries) => self.time_out_try(request, tries),
            SimEvent::Heartbeat(daemon) => self.send_heartbeat(daemon),
            SimEvent::FlushNotes(daemon) => self.flush_notes(daemon),
            SimEvent::ReceivePacket(daemon, message) => self.receive_packet(daemon, &message),
            SimEvent::LeaderStep => self.leader_step(),
            SimEvent::ReceiveOrder(order) => self.receive_order(order),
            SimEvent::OrderAnswer(order, outcome) => {
                let now = self.now;
                if let Some(placer) = &mut self.daemons[0].placer {
                    placer.handle_outcome(&order, outcome, now);
                }
            }
            SimEvent::ReportRequest(id) => {
                let now = self.now;
                let report = self.engines[self.engine_index[&id]]
                    .report(now)
                    .map(Box::new);
                self.schedule_after(HOP_DELAY, SimEvent::ReportReply(id, report));
            }
            SimEvent::ReportReply(id, report) => {
                let now = self.now;
                if let Some(placer) = &mut self.daemons[0].placer {
                    placer.handle_report(&id, report.as_deref(), now);
                }
            }
            SimEvent::UpdateEntries => self.update_entries(),
            SimEvent::Disturb(event) => self.apply_disturbance(event),
            SimEvent::RestartEngine(engine) => {
                let now = self.now;
                self.engines[engine].restart(now);
            }
            SimEvent::RestoreSpeed(engine) => self.engines[engine].slowdown = 1.0,
            SimEvent::StopEngine(engine) => self.crash_engine(engine),
            SimEvent::ResumeLeader => self.leader_paused = false,
        }
    }

    fn apply_disturbance(&mut self, event: DayEvent) {
        let count = self.engines.len();
        let engine_share = |fraction: f64| ((fraction * count as f64).round() as usize).max(1);
        let mut order: Vec<usize> = (0..count).collect();
        order.shuffle(&mut self.rng);
        match event {
            DayEvent::ShiftDemand(_) => {}
            DayEvent::CrashEngines(fraction, time) => {
                for engine in order.into_iter().take(engine_share(fraction)) {
                    self.crash_engine(engine);
                    self.schedule_after(time, SimEvent::RestartEngine(engine));
                }
            }
            DayEvent::SlowEngines(fraction, factor, time) => {
                for engine in order.into_iter().take(engine_share(fraction)) {
                    self.engines[engine].slowdown = factor;
                    self.schedule_after(time, SimEvent::RestoreSpeed(engine));
                }
            }
            DayEvent::DrainEngines(number) => {
                for engine in order.into_iter().take(number) {
                    self.engines[engine].entry.phase = EnginePhase::Draining;
                    self.schedule_after(Duration::from_secs(2), SimEvent::StopEngine(engine));
                }
            }
            DayEvent::PauseLeader(time) => {
                self.leader_paused = true;
                self.schedule_after(time, SimEvent::ResumeLeader);
            }
        }
    }

    fn crash_engine(&mut self, engine: usize) {
        for attempt in self.engines[engine].crash() {
            self.fail_attempt(attempt);
        }
    }

    fn update_entries(&mut self) {
        let now = self.now;
        let mut entries = Vec::new();
        for engine in &mut self.engines {
            if engine.alive {
                engine.update_entry(now);
                entries.push(engine.entry.clone());
            }
        }
        for state in &mut self.daemons {
            state
                .fleet
                .update_entries(entries.clone(), &BTreeSet::new(), None, now);
        }
        self.schedule_after(ENTRY_PERIOD, SimEvent::UpdateEntries);
    }

    fn leader_step(&mut self) {
        let now = self.now;
        self.schedule_after(DECISION_PERIOD, SimEvent::LeaderStep);
        if self.leader_paused {
            return;
        }
        let started = Instant::now();
        let calls = self.daemons[0]
            .decide_calls(now)
            .map_or(Vec::new(), |d| d.0);
        self.counters.placement.0 += started.elapsed();
        self.counters.placement.1 += 1;
        for call in calls {
            match call {
                EngineCall::Order(order) => {
                    self.schedule_after(HOP_DELAY, SimEvent::ReceiveOrder(order))
                }
                EngineCall::Report(id) => {
                    self.schedule_after(HOP_DELAY, SimEvent::ReportRequest(id))
                }
            }
        }
        let announcements = self.announcer.notes(&self.daemons[0], now);
        if announcements.is_empty() {
            return;
        }
        let packet = Packet {
            announcements,
            ..Packet::default()
        };
        let message = Rc::new((self.hosts[0].clone(), packet));
        self.receive_packet(0, &message);
        self.send_packet(0, message);
    }

    fn send_packet(&mut self, from: usize, message: Rc<(Arc<str>, Packet)>) {
        for to in 0..self.daemons.len() {
            if to != from {
                self.counters.datagrams += 1;
                self.schedule_after(HOP_DELAY, SimEvent::ReceivePacket(to, message.clone()));
            }
        }
    }

    fn send_heartbeat(&mut self, daemon: usize) {
        let now = self.now;
        self.schedule_after(HEARTBEAT_PERIOD, SimEvent::Heartbeat(daemon));
        if daemon == 0 && self.leader_paused {
            return;
        }
        let state = &mut self.daemons[daemon];
        state.drop_idle_waits(now);
        self.send_round(daemon, Some(Heartbeat::default()));
    }

    /// Sends the next round of a daemon; daemon 0 is the leader.
    fn send_round(&mut self, daemon: usize, heartbeat: Option<Heartbeat>) {
        let now = self.now;
        let leader = self.hosts[0].clone();
        let reporter = &mut self.reporters[daemon];
        let round = reporter.next_round(&mut self.daemons[daemon], heartbeat, Some(&leader), now);
        let host = self.hosts[daemon].clone();
        let mut round = round;
        round
            .everyone
            .sent_prompts
            .append(&mut round.relayed.clone());
        round.leader.sent_prompts.append(&mut round.relayed);
        let is_for_everyone = round.is_for_everyone();
        let for_leader = Rc::new((host.clone(), round.leader));
        let for_others = Rc::new((host, round.everyone));
        for to in 0..self.daemons.len() {
            if to == daemon || (to != 0 && !is_for_everyone) {
                continue;
            }
            let message = match to {
                0 => for_leader.clone(),
                _ => for_others.clone(),
            };
            self.counters.datagrams += 1;
            self.schedule_after(HOP_DELAY, SimEvent::ReceivePacket(to, message));
        }
    }

    fn flush_soon(&mut self, daemon: usize) {
        if !std::mem::replace(&mut self.flush_pending[daemon], true) {
            self.schedule_after(Duration::from_millis(5), SimEvent::FlushNotes(daemon));
        }
    }

    fn flush_notes(&mut self, daemon: usize) {
        self.flush_pending[daemon] = false;
        self.send_round(daemon, None);
    }

    fn receive_packet(&mut self, daemon: usize, message: &(Arc<str>, Packet)) {
        let now = self.now;
        let own = self.hosts[daemon].clone();
        self.daemons[daemon].apply_packet(&own, &message.0, &message.1, now);
    }

    fn receive_order(&mut self, order: Order) {
        let now = self.now;
        let engine = self.engine_index[&order.engine];
        self.store_loads.retain(|end| *end > now);
        let store_slowdown = ((self.store_loads.len() + 1) as f64 / PARALLEL_LOADS).max(1.0);
        let (outcome, task) =
            self.engines[engine].execute_order(&order, &self.models, store_slowdown, now);
        if outcome == OrderOutcome::Accepted {
            let counter = match (&order.adapter, order.verb) {
                (Some(_), _) => 2,
                (None, Verb::Unload) => 1,
                (None, Verb::Load) => 0,
            };
            self.counters.orders[counter] += 1;
        }
        if let Some((end, from_store)) = task {
            self.schedule_at(end, SimEvent::TaskEnd(engine));
            if from_store {
                self.store_loads.push(end);
                self.counters.store_loads.push(now);
            }
        }
        let (time, outcome) = match outcome {
            OrderOutcome::Unanswered => (Duration::from_millis(250), OrderOutcome::Busy),
            other => (HOP_DELAY, other),
        };
        self.schedule_after(time, SimEvent::OrderAnswer(order, outcome));
    }
}
