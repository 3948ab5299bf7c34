//! A day played over simulated time: daemons with the product's own state and
//! decisions, engines, the weight store, callers.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mastichinge::clock::Moment;
use mastichinge::edge::admission::{Time, Verdict, patience};
use mastichinge::edge::demand::Which;
use mastichinge::edge::desired::Model;
use mastichinge::edge::duty::Teller;
use mastichinge::edge::fleet::Phase;
use mastichinge::edge::gossip::{Beat, Packet};
use mastichinge::edge::members::BEAT;
use mastichinge::edge::orders::{Order, Outcome, Report};
use mastichinge::edge::peers;
use mastichinge::edge::placement::{Act, Authority, Past, Placer, Target};
use mastichinge::edge::routing::{self, Asked, View};
use mastichinge::edge::settings::Settings;
use mastichinge::edge::state::{Passage, State};
use mastichinge::edge::suspects::fingerprint;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, Made, Run, Taken};
use super::load::{self, Arrival, DAY, Day, Event, Firm, SERVICE};

/// Time before traffic starts.
pub const LEAD: Duration = Duration::from_secs(10);
/// Time after the last arrival until the day ends.
const TAIL: Duration = Duration::from_secs(20);
/// Way between a daemon and an engine or another daemon.
const HOP: Duration = Duration::from_micros(500);
/// Way between a caller and a daemon.
const CALLER: Duration = Duration::from_millis(3);
/// Period of the holder's decisions.
const DUTY: Duration = Duration::from_millis(15);
/// Period at which a waiting request looks again.
const LOOK: Duration = Duration::from_millis(100);
/// Period at which engines write their entries, and how late these are read.
const RENEWAL: Duration = Duration::from_millis(1_200);
/// Period at which a held request looks again.
const HOLD: Duration = Duration::from_millis(20);
/// Loads at once that the weight store serves at full speed.
const PARALLEL: f64 = 4.0;
/// Longest silence of an engine after which a repeatable request goes on.
const SILENCE: Duration = Duration::from_millis(900);
/// Most sendings of one try that engines reject.
const REJECTIONS: u32 = 4;

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
    Answer(Order, Outcome),
    ReportAt(Arc<str>),
    Reported(Arc<str>, Option<Box<Report>>),
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
    /// Times that it was refused.
    pub refused: u32,
    /// It waited for a load.
    pub waited: bool,
    began: Moment,
    looked: Moment,
    wanting: Option<Target>,
    sending: Option<usize>,
    avoid: Vec<Arc<str>>,
    sent: u32,
    rejected: u32,
}

#[derive(Clone, Debug)]
struct Sending {
    request: usize,
    engine: usize,
    passage: Passage,
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
    teller: Teller,
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
            teller: Teller::default(),
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
                refused: 0,
                waited: false,
                began: at,
                looked: at,
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
                let authority = Authority { host, fence: 1 };
                state.placer = Some(Placer::new(authority, &self.settings, Past::None));
            }
            self.daemons.push(state);
            let phase = BEAT.mul_f64(i as f64 / self.hosts.len() as f64);
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
                    placer.answered(&order, outcome, now);
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
                    placer.reported(&id, report.as_deref(), now);
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
                    self.engines[engine].entry.phase = Phase::Leaving;
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
                .read(entries.clone(), &BTreeSet::new(), None, now);
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
        let acts = self.daemons[0].decide(now).map_or(Vec::new(), |d| d.0);
        self.counts.placing.0 += begun.elapsed();
        self.counts.placing.1 += 1;
        for act in acts {
            match act {
                Act::Order(order) => self.after(HOP, Happening::OrderAt(order)),
                Act::Report(id) => self.after(HOP, Happening::ReportAt(id)),
            }
        }
        let told = self.teller.notes(&self.daemons[0], now);
        if told.is_empty() {
            return;
        }
        let packet = Packet {
            told,
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
        self.after(BEAT, Happening::Beat(daemon));
        if daemon == 0 && self.silent {
            return;
        }
        let state = &mut self.daemons[daemon];
        state.sweep_wants(now);
        let mut packet = Packet::default();
        let mut beat = Beat::default();
        peers::urgent(state, &mut packet);
        peers::work(state, &mut beat, now);
        packet.beat = Some(beat);
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
        peers::urgent(&mut self.daemons[daemon], &mut packet);
        let word = Rc::new((self.hosts[daemon].clone(), packet));
        self.post(daemon, word);
    }

    fn hear(&mut self, daemon: usize, word: &(Arc<str>, Packet)) {
        let now = self.now;
        self.daemons[daemon].take(&word.0, &word.1, now);
    }

    fn order(&mut self, order: Order) {
        let now = self.now;
        let at = self.ids[&order.engine];
        self.loads.retain(|end| *end > now);
        let crowd = ((self.loads.len() + 1) as f64 / PARALLEL).max(1.0);
        let (outcome, task) = self.engines[at].order(&order, &self.models, crowd, now);
        if outcome == Outcome::Accepted {
            let slot = match (&order.adapter, order.verb) {
                (Some(_), _) => 2,
                (None, mastichinge::edge::orders::Verb::Unload) => 1,
                (None, mastichinge::edge::orders::Verb::Load) => 0,
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
            Outcome::Unanswered => (Duration::from_millis(250), Outcome::Busy),
            other => (HOP, other),
        };
        self.after(time, Happening::Answer(order, outcome));
    }

    fn arrive(&mut self, index: usize) {
        let now = self.now;
        let request = &mut self.requests[index];
        request.tries += 1;
        request.began = now;
        request.looked = now;
        request.avoid.clear();
        (request.sent, request.rejected) = (0, 0);
        let kind = &self.firm.kinds[request.arrival.kind];
        let tries = request.tries;
        let leaves = patience(&kind.route).min(limit(request, kind, now));
        let which = Which {
            service: SERVICE.into(),
            model: request.arrival.prompt.model.clone(),
        };
        let prompt = &request.arrival.prompt;
        let own = prompt.parts.last().map_or(0, |p| p.tokens);
        let state = &mut self.daemons[request.arrival.daemon];
        let tight = self.models[&prompt.model].disk >= kind.route.objective;
        let work = routing::reading(own, &self.settings.engines)
            + Duration::from_micros(100) * prompt.output;
        let work = work.mul_f64(state.meter.pace(&which));
        state.meter.note(which, work, tight, now);
        self.after(leaves, Happening::Leave(index, tries));
        self.look(index, tries);
    }

    /// Looks for an engine, as the daemon does.
    fn look(&mut self, index: usize, tries: u32) {
        let now = self.now;
        let request = &self.requests[index];
        if request.end.is_some() || request.tries != tries || request.sending.is_some() {
            return;
        }
        let daemon = request.arrival.daemon;
        let kind = &self.firm.kinds[request.arrival.kind];
        let state = &self.daemons[daemon];
        let service: Arc<str> = SERVICE.into();
        let view = View {
            fleet: &state.fleet,
            desired: &state.desired,
            meter: &state.meter,
            engines: &self.settings.engines,
            domain: ["north", "south", "east", "west"][daemon % 4],
            now,
        };
        let asked = Asked {
            service: &service,
            kind: kind.route.kind,
            prompt: Some(&request.arrival.prompt),
            print: fingerprint(&index.to_string(), &[]),
            avoid: &request.avoid,
        };
        let begun = Instant::now();
        let pick = routing::pick(&view, &asked);
        self.counts.routing.0 += begun.elapsed();
        self.counts.routing.1 += 1;
        let left = limit(request, kind, now);
        let age = now.saturating_sub(request.began);
        let waited = now.saturating_sub(request.looked);
        let resumed = request.first.is_some();
        let time = Time::of(&kind.route, age, waited, left, resumed);
        let priority = kind.route.priority;
        match time.judge(pick, &self.settings.admission) {
            Verdict::Send(choice) => {
                self.unwant(index);
                let request = &mut self.requests[index];
                let state = &mut self.daemons[daemon];
                let passage = state.begin(&choice, Some(&request.arrival.prompt), now);
                let sending = self.sendings.len();
                request.sending = Some(sending);
                self.sendings.push(Sending {
                    request: index,
                    engine: self.ids[&choice.engine],
                    passage,
                    predicted: choice.first,
                    at: now,
                    over: false,
                });
                self.flush_soon(daemon);
                self.after(HOP, Happening::Reach(sending));
            }
            Verdict::Refuse { back, want, .. } => {
                if let Some(target) = want {
                    self.daemons[daemon].want(&target, priority, now);
                    self.daemons[daemon].unwant(&target, now);
                    self.flush_soon(daemon);
                }
                self.refuse(index, back);
            }
            Verdict::Hold => self.after(HOLD, Happening::Look(index, tries)),
            Verdict::NoEngine => self.after(LOOK, Happening::Look(index, tries)),
            Verdict::Wait(target) => {
                if self.requests[index].wanting.as_ref() != Some(&target) {
                    self.unwant(index);
                    self.requests[index].waited = true;
                    self.daemons[daemon].want(&target, priority, now);
                    self.requests[index].wanting = Some(target);
                    self.flush_soon(daemon);
                }
                // The daemon looks at each change; this is often enough.
                self.after(Duration::from_millis(10), Happening::Look(index, tries));
            }
        }
    }

    fn unwant(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if let Some(target) = request.wanting.take() {
            self.daemons[request.arrival.daemon].unwant(&target, self.now);
        }
    }

    fn refuse(&mut self, index: usize, back: Duration) {
        self.unwant(index);
        let request = &mut self.requests[index];
        request.refused += 1;
        request.sending = None;
        let kind = &self.firm.kinds[request.arrival.kind];
        let left = limit(request, kind, self.now);
        if request.tries < 2 && left > back {
            let back = back.min(left / 3) + CALLER * 2;
            self.after(back, Happening::Arrive(index));
        } else {
            request.end = Some(End::Refused);
        }
    }

    fn reach(&mut self, sending: usize) {
        let now = self.now;
        let at = &self.sendings[sending];
        if at.over {
            return;
        }
        let request = &self.requests[at.request];
        let prompt = &request.arrival.prompt;
        let kind = &self.firm.kinds[request.arrival.kind];
        let spec = self.firm.models.iter().find(|m| m.name == prompt.model);
        let run = Run {
            id: sending,
            model: prompt.model.clone(),
            adapter: prompt.adapter.clone(),
            pace: spec.map_or(1.0, |s| s.pace),
            rank: kind.route.priority,
            chains: prompt.chains(),
            input: prompt.input,
            output: prompt.output,
            unread: prompt.input,
            made: 0,
        };
        let engine = at.engine;
        match self.engines[engine].take(run, now) {
            Taken::Yes => self.step(engine),
            Taken::Absent => self.after(HOP, Happening::Refused(sending, true)),
            Taken::Full => self.after(HOP, Happening::Refused(sending, false)),
            Taken::Dead => self.broken(sending),
        }
    }

    fn step(&mut self, engine: usize) {
        let now = self.now;
        if let Some(end) = self.engines[engine].begin(now) {
            self.at(end, Happening::StepEnd(engine, end));
        }
    }

    fn step_end(&mut self, engine: usize, end: Moment) {
        if self.engines[engine].step != Some(end) {
            return;
        }
        let now = self.now;
        for made in self.engines[engine].end(now) {
            match made {
                Made::First(sending) => self.after(HOP, Happening::First(sending)),
                Made::End(sending) => self.after(HOP, Happening::End(sending)),
            }
        }
        self.step(engine);
    }

    fn first(&mut self, sending: usize) {
        let now = self.now;
        let at = &self.sendings[sending];
        if at.over {
            return;
        }
        let request = &mut self.requests[at.request];
        let daemon = request.arrival.daemon;
        let arrived = LEAD + request.arrival.at;
        request.first.get_or_insert(now + CALLER * 2 - arrived);
        let seen = now - at.at;
        self.counts
            .ratios
            .push(seen.as_secs_f64() / at.predicted.as_secs_f64());
        let which = Which {
            service: SERVICE.into(),
            model: request.arrival.prompt.model.clone(),
        };
        let state = &mut self.daemons[daemon];
        state.prompt_read(&at.passage, now);
        state.first_event(which, &at.passage.engine, (at.predicted, seen), now);
    }

    fn end(&mut self, sending: usize) {
        let at = &mut self.sendings[sending];
        if std::mem::replace(&mut at.over, true) {
            return;
        }
        let request = &mut self.requests[at.request];
        request.end = Some(End::Served);
        let state = &mut self.daemons[request.arrival.daemon];
        state.ended(&at.passage);
        if let Some(upstream) = state.fleet.engines.get_mut(&at.passage.engine) {
            upstream.breaker.succeeded();
        }
    }

    fn rejected(&mut self, sending: usize, absent: bool) {
        let now = self.now;
        let at = &mut self.sendings[sending];
        if std::mem::replace(&mut at.over, true) {
            return;
        }
        let index = at.request;
        let request = &mut self.requests[index];
        let state = &mut self.daemons[request.arrival.daemon];
        state.ended(&at.passage);
        let engine = at.passage.engine.clone();
        if absent {
            let prompt = &request.arrival.prompt;
            let target = Target {
                service: SERVICE.into(),
                model: prompt.model.clone(),
                adapter: prompt.adapter.clone(),
            };
            state.lacks(&engine, &target, now);
        }
        request.avoid.push(engine);
        request.sending = None;
        request.rejected += 1;
        if request.rejected >= REJECTIONS {
            self.refuse(index, Duration::from_millis(400));
            return;
        }
        let tries = request.tries;
        let pause = match absent {
            true => Duration::ZERO,
            false => Duration::from_millis(60),
        };
        self.after(pause, Happening::Look(index, tries));
    }

    /// An engine broke off a request.
    fn broken(&mut self, sending: usize) {
        let now = self.now;
        let at = &mut self.sendings[sending];
        if std::mem::replace(&mut at.over, true) {
            return;
        }
        let index = at.request;
        let engine = at.passage.engine.clone();
        let request = &mut self.requests[index];
        let state = &mut self.daemons[request.arrival.daemon];
        state.ended(&at.passage);
        if let Some(upstream) = state.fleet.engines.get_mut(&engine) {
            upstream.breaker.failed(now);
            upstream.note_trouble(now);
            upstream.refused = Some(upstream.entry.beat);
        }
        request.sending = None;
        request.sent += 1;
        request.avoid.push(engine);
        let kind = &self.firm.kinds[request.arrival.kind];
        if request.sent < kind.route.attempts && kind.route.resumable {
            let tries = request.tries;
            self.after(HOP, Happening::Look(index, tries));
        } else {
            request.end = Some(End::Failed);
        }
    }

    /// A caller leaves when no event has come.
    fn leave(&mut self, index: usize, tries: u32) {
        let request = &mut self.requests[index];
        if request.tries != tries || request.end.is_some() {
            return;
        }
        let kind = &self.firm.kinds[request.arrival.kind];
        let left = limit(request, kind, self.now);
        if request.first.is_some() && !left.is_zero() {
            self.after(left, Happening::Leave(index, tries));
            return;
        }
        if let Some(sending) = request.sending.take() {
            let at = &mut self.sendings[sending];
            at.over = true;
            self.engines[at.engine].drop_run(sending);
            self.daemons[request.arrival.daemon].ended(&at.passage);
        }
        self.unwant(index);
        let request = &mut self.requests[index];
        if request.tries < 2 && left > SILENCE {
            self.after(CALLER * 2, Happening::Arrive(index));
        } else {
            request.end = Some(End::Failed);
        }
    }
}

/// Time that a request's caller still has for it.
fn limit(request: &Asking, kind: &load::Kind, now: Moment) -> Duration {
    let end = LEAD + request.arrival.at + kind.route.timeout;
    end.saturating_sub(now)
}
