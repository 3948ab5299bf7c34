//! A day played over simulated time: daemons with the product's own state and
//! decisions, engines, the weight store, callers.

mod requests;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mastichinge::clock::Moment;
use mastichinge::edge::desired::Model;
use mastichinge::edge::fleet::EnginePhase;
use mastichinge::edge::gossip::{Heartbeat, Packet};
use mastichinge::edge::leader::Announcer;
use mastichinge::edge::members::HEARTBEAT_PERIOD;
use mastichinge::edge::orders::{EngineReport, Order, OrderOutcome, Verb};
use mastichinge::edge::peers;
use mastichinge::edge::placement::{EngineCall, LeaderId, LoadHistory, ModelTarget, Placer};
use mastichinge::edge::settings::Settings;
use mastichinge::edge::state::{ActiveRequest, State};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::engine::Engine;
use super::firm::Firm;
use super::load::{self, Arrival, DAY, Day, Event};

/// Time before traffic starts.
pub const LEAD: Duration = Duration::from_secs(10);
/// Time after the last arrival until the day ends.
const TAIL: Duration = Duration::from_secs(20);
/// Way between a daemon and an engine or another daemon.
const HOP: Duration = Duration::from_micros(500);
/// Period of the holder's decisions.
const DUTY: Duration = Duration::from_millis(15);
/// Period at which engines write their entries, and how late these are read.
const RENEWAL: Duration = Duration::from_millis(1_200);
/// Loads at once that the weight store serves at full speed.
const PARALLEL: f64 = 4.0;

/// What happens at a moment.
#[derive(Clone, Debug)]
enum Happening {
    Arrive(usize),
    Look(usize, u32),
    Reach(usize),
    StepEnd(usize, Moment),
    TaskEnd(usize),
    First(usize),
    End(usize),
    Refused(usize, bool),
    Leave(usize, u32),
    Beat(usize),
    Flush(usize),
    Hear(usize, Rc<(Arc<str>, Packet)>),
    Duty,
    OrderAt(Order),
    Answer(Order, OrderOutcome),
    ReportAt(Arc<str>),
    Reported(Arc<str>, Option<Box<EngineReport>>),
    Renew,
    Day(Event),
    Back(usize),
    Usual(usize),
    Gone(usize),
    Wake,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its answer is whole.
    Served,
    /// It was refused at its last try.
    Refused,
    /// Its caller left, or its answer broke.
    Failed,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Asking {
    /// What was asked.
    pub arrival: Arrival,
    /// Tries of its caller.
    pub tries: u32,
    /// Time from its arrival to its first event.
    pub first: Option<Duration>,
    /// Its end.
    pub end: Option<End>,
    /// It waited for a load.
    pub waited: bool,
    began: Moment,
    wanting: Option<ModelTarget>,
    sending: Option<usize>,
    avoid: Vec<Arc<str>>,
    sent: u32,
    rejected: u32,
}

#[derive(Clone, Debug)]
struct Sending {
    request: usize,
    engine: usize,
    passage: ActiveRequest,
    predicted: Duration,
    at: Moment,
    over: bool,
}

/// The world at one moment.
pub struct World {
    firm: Firm,
    now: Moment,
    seq: u64,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    happenings: HashMap<u64, Happening>,
    /// Engines.
    pub engines: Vec<Engine>,
    ids: HashMap<Arc<str>, usize>,
    models: HashMap<Arc<str>, Model>,
    daemons: Vec<State>,
    hosts: Vec<Arc<str>>,
    settings: Settings,
    announcer: Announcer,
    silent: bool,
    flushing: Vec<bool>,
    /// Requests.
    pub requests: Vec<Asking>,
    sendings: Vec<Sending>,
    loads: Vec<Moment>,
    /// What was counted.
    pub counts: Counts,
    rng: ChaCha8Rng,
}

/// What was counted over a day.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Loads from the weight store.
    pub remote: Vec<Moment>,
    /// Loads, unloads and orders for adapters that were accepted.
    pub orders: [u32; 3],
    /// Seen over predicted times to first events.
    pub ratios: Vec<f64>,
    /// Real time of choosing engines, and how often.
    pub routing: (Duration, u32),
    /// Real time of deciding on orders, and how often.
    pub placing: (Duration, u32),
    /// Datagrams between daemons.
    pub datagrams: u64,
}

impl World {
    /// A firm before its day.
    pub fn new(firm: &Firm, day: &Day, settings: &Settings, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let arrivals = load::arrivals(firm, day, &mut rng);
        let mut world = World {
            firm: firm.clone(),
            now: Duration::ZERO,
            seq: 0,
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            engines: Vec::new(),
            ids: HashMap::new(),
            models: firm
                .models
                .iter()
                .map(|m| (m.name.clone(), m.model.clone()))
                .collect(),
            daemons: Vec::new(),
            hosts: (0..firm.daemons)
                .map(|i| format!("edge-{i:03}").into())
                .collect(),
            settings: settings.clone(),
            announcer: Announcer::default(),
            silent: false,
            flushing: vec![false; firm.daemons],
            requests: Vec::new(),
            sendings: Vec::new(),
            loads: Vec::new(),
            counts: Counts::default(),
            rng,
        };
        world.furnish();
        world.staff();
        for arrival in arrivals {
            let at = LEAD + arrival.at;
            let index = world.requests.len();
            world.requests.push(Asking {
                arrival,
                tries: 0,
                first: None,
                end: None,
                waited: false,
                began: at,
                wanting: None,
                sending: None,
                avoid: Vec::new(),
                sent: 0,
                rejected: 0,
            });
            world.at(at, Happening::Arrive(index));
        }
        for (at, event) in &day.events {
            let at = LEAD + Duration::from_secs_f64(*at);
            world.at(at, Happening::Day(*event));
        }
        world
    }

    /// Engines with one model each, and copies of some on their disks.
    fn furnish(&mut self) {
        let names: Vec<Arc<str>> = self.firm.models.iter().map(|m| m.name.clone()).collect();
        let mut order = names.clone();
        order.shuffle(&mut self.rng);
        for number in 0..self.firm.engines {
            let own = [order[number % order.len()].clone()];
            let mut disk = vec![own[0].clone()];
            for k in 1..5 {
                disk.push(order[(number + k * 7) % order.len()].clone());
            }
            let engine = Engine::new(&self.firm, number, &own, &disk);
            self.ids.insert(engine.entry.id.clone(), number);
            self.engines.push(engine);
        }
    }

    fn staff(&mut self) {
        let desired = Rc::new(self.firm.desired());
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
            let phase = HEARTBEAT_PERIOD.mul_f64(i as f64 / self.hosts.len() as f64);
            self.at(phase, Happening::Beat(i));
        }
        self.at(Duration::ZERO, Happening::Renew);
        self.at(Duration::from_millis(20), Happening::Duty);
    }

    fn at(&mut self, at: Moment, happening: Happening) {
        self.seq += 1;
        self.happenings.insert(self.seq, happening);
        self.queue.push(Reverse((at, self.seq)));
    }

    fn after(&mut self, time: Duration, happening: Happening) {
        self.at(self.now + time, happening);
    }

    /// Plays the day.
    pub fn play(&mut self) {
        self.play_until(DAY + TAIL);
    }

    /// Plays the day up to a time of its traffic.
    pub fn play_until(&mut self, end: Duration) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > LEAD + end {
                break;
            }
            self.now = at;
            if let Some(happening) = self.happenings.remove(&number) {
                self.happen(happening);
            }
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(request) => self.arrive(request),
            Happening::Look(request, tries) => self.look(request, tries),
            Happening::Reach(sending) => self.reach(sending),
            Happening::StepEnd(engine, end) => self.step_end(engine, end),
            Happening::TaskEnd(engine) => {
                let now = self.now;
                self.engines[engine].task_done(&self.models, now);
            }
            Happening::First(sending) => self.first(sending),
            Happening::End(sending) => self.end(sending),
            Happening::Refused(sending, absent) => self.rejected(sending, absent),
            Happening::Leave(request, tries) => self.leave(request, tries),
            Happening::Beat(daemon) => self.beat(daemon),
            Happening::Flush(daemon) => self.flush(daemon),
            Happening::Hear(daemon, word) => self.hear(daemon, &word),
            Happening::Duty => self.duty(),
            Happening::OrderAt(order) => self.order(order),
            Happening::Answer(order, outcome) => {
                let now = self.now;
                if let Some(placer) = &mut self.daemons[0].placer {
                    placer.handle_outcome(&order, outcome, now);
                }
            }
            Happening::ReportAt(id) => {
                let now = self.now;
                let report = self.engines[self.ids[&id]].report(now).map(Box::new);
                self.after(HOP, Happening::Reported(id, report));
            }
            Happening::Reported(id, report) => {
                let now = self.now;
                if let Some(placer) = &mut self.daemons[0].placer {
                    placer.handle_report(&id, report.as_deref(), now);
                }
            }
            Happening::Renew => self.renew(),
            Happening::Day(event) => self.event(event),
            Happening::Back(engine) => {
                let now = self.now;
                self.engines[engine].start(now);
            }
            Happening::Usual(engine) => self.engines[engine].slower = 1.0,
            Happening::Gone(engine) => self.break_engine(engine),
            Happening::Wake => self.silent = false,
        }
    }

    fn event(&mut self, event: Event) {
        let count = self.engines.len();
        let some = |part: f64| ((part * count as f64).round() as usize).max(1);
        let mut order: Vec<usize> = (0..count).collect();
        order.shuffle(&mut self.rng);
        match event {
            Event::Shift(_) => {}
            Event::Crash(part, time) => {
                for engine in order.into_iter().take(some(part)) {
                    self.break_engine(engine);
                    self.after(time, Happening::Back(engine));
                }
            }
            Event::Slow(part, times, time) => {
                for engine in order.into_iter().take(some(part)) {
                    self.engines[engine].slower = times;
                    self.after(time, Happening::Usual(engine));
                }
            }
            Event::Leave(number) => {
                for engine in order.into_iter().take(number) {
                    self.engines[engine].entry.phase = EnginePhase::Draining;
                    self.after(Duration::from_secs(2), Happening::Gone(engine));
                }
            }
            Event::Pause(time) => {
                self.silent = true;
                self.after(time, Happening::Wake);
            }
        }
    }

    fn break_engine(&mut self, engine: usize) {
        for sending in self.engines[engine].crash() {
            self.broken(sending);
        }
    }

    fn renew(&mut self) {
        let now = self.now;
        let mut entries = Vec::new();
        for engine in &mut self.engines {
            if engine.alive {
                engine.renew(now);
                entries.push(engine.entry.clone());
            }
        }
        for state in &mut self.daemons {
            state
                .fleet
                .update_entries(entries.clone(), &BTreeSet::new(), None, now);
        }
        self.after(RENEWAL, Happening::Renew);
    }

    fn duty(&mut self) {
        let now = self.now;
        self.after(DUTY, Happening::Duty);
        if self.silent {
            return;
        }
        let begun = Instant::now();
        let acts = self.daemons[0]
            .decide_calls(now)
            .map_or(Vec::new(), |d| d.0);
        self.counts.placing.0 += begun.elapsed();
        self.counts.placing.1 += 1;
        for act in acts {
            match act {
                EngineCall::Order(order) => self.after(HOP, Happening::OrderAt(order)),
                EngineCall::Report(id) => self.after(HOP, Happening::ReportAt(id)),
            }
        }
        let told = self.announcer.notes(&self.daemons[0], now);
        if told.is_empty() {
            return;
        }
        let packet = Packet {
            announcements: told,
            ..Packet::default()
        };
        let word = Rc::new((self.hosts[0].clone(), packet));
        self.hear(0, &word);
        self.post(0, word);
    }

    fn post(&mut self, from: usize, word: Rc<(Arc<str>, Packet)>) {
        for to in 0..self.daemons.len() {
            if to != from {
                self.counts.datagrams += 1;
                self.after(HOP, Happening::Hear(to, word.clone()));
            }
        }
    }

    fn beat(&mut self, daemon: usize) {
        let now = self.now;
        self.after(HEARTBEAT_PERIOD, Happening::Beat(daemon));
        if daemon == 0 && self.silent {
            return;
        }
        let state = &mut self.daemons[daemon];
        state.drop_idle_waits(now);
        let mut packet = Packet::default();
        let mut beat = Heartbeat::default();
        peers::add_urgent_notes(state, &mut packet);
        peers::add_load_and_demand(state, &mut beat, now);
        packet.heartbeat = Some(beat);
        let word = Rc::new((self.hosts[daemon].clone(), packet));
        self.post(daemon, word);
    }

    fn flush_soon(&mut self, daemon: usize) {
        if !std::mem::replace(&mut self.flushing[daemon], true) {
            self.after(Duration::from_millis(5), Happening::Flush(daemon));
        }
    }

    fn flush(&mut self, daemon: usize) {
        self.flushing[daemon] = false;
        let mut packet = Packet::default();
        peers::add_urgent_notes(&mut self.daemons[daemon], &mut packet);
        let word = Rc::new((self.hosts[daemon].clone(), packet));
        self.post(daemon, word);
    }

    fn hear(&mut self, daemon: usize, word: &(Arc<str>, Packet)) {
        let now = self.now;
        self.daemons[daemon].apply_packet(&word.0, &word.1, now);
    }

    fn order(&mut self, order: Order) {
        let now = self.now;
        let at = self.ids[&order.engine];
        self.loads.retain(|end| *end > now);
        let crowd = ((self.loads.len() + 1) as f64 / PARALLEL).max(1.0);
        let (outcome, task) = self.engines[at].order(&order, &self.models, crowd, now);
        if outcome == OrderOutcome::Accepted {
            let slot = match (&order.adapter, order.verb) {
                (Some(_), _) => 2,
                (None, Verb::Unload) => 1,
                (None, Verb::Load) => 0,
            };
            self.counts.orders[slot] += 1;
        }
        if let Some((end, remote)) = task {
            self.at(end, Happening::TaskEnd(at));
            if remote {
                self.loads.push(end);
                self.counts.remote.push(now);
            }
        }
        let (time, outcome) = match outcome {
            OrderOutcome::Unanswered => (Duration::from_millis(250), OrderOutcome::Busy),
            other => (HOP, other),
        };
        self.after(time, Happening::Answer(order, outcome));
    }
}
