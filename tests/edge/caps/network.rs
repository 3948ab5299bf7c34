//! Hosts that grant the units of customers, their callers, and the network between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::caps::{CapRules, ChargeState};
use mastichinge::edge::customers::{Cap, CapUnit, Customer, Customers};
use mastichinge::edge::desired::DesiredState;
use mastichinge::edge::gossip::Packet;
use mastichinge::edge::members::MemberRecord;
use mastichinge::edge::permits::Rank;
use mastichinge::edge::state::State;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The platform's rule of the deployment with the most customers.
pub const RULES: CapRules = CapRules {
    window: Duration::from_secs(8),
    excess: 0.1,
    slack: 110_000.0,
};
/// Units of a request.
const COST: f64 = 9_200.0;
/// Part of a cap that a customer usually uses.
pub const USUAL: f64 = 1.0 / 1.8;
/// Multiple of its usual that a hot customer sends.
pub const HOT: f64 = 7.5;
/// Step of the simulation, which is also the delay of datagrams.
const STEP: Duration = Duration::from_millis(10);
/// Time for which a request waits for units.
const UNIT_WAIT: Duration = Duration::from_millis(300);
/// Time for which a request waits while no allocator answers.
const SILENT_WAIT: Duration = Duration::from_secs(2);
/// Time from the end of a host's process to the start of the next one.
pub const STOP_TIME: Duration = Duration::from_millis(500);
/// Time in which a process that starts has read the rows.
const MAX_READ_TIME: Duration = Duration::from_millis(300);
/// Rates of the customers: one small, one large.
pub const RATES: [f64; 2] = [29_000.0, 1_000_000.0];

pub fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

fn cap(rate: f64) -> Cap {
    Cap {
        unit: CapUnit::Tokens,
        rate,
        burst: rate,
        plain_cost: 200.0,
    }
}

pub fn desired(rates: &[f64]) -> Rc<DesiredState> {
    let mut customers = Customers::named();
    for (i, rate) in rates.iter().enumerate() {
        let customer = Customer {
            name: name(i),
            priority: None,
            cap: Some(cap(*rate)),
        };
        customers.add(customer, &[]).unwrap();
    }
    Rc::new(DesiredState {
        customers,
        ..DesiredState::default()
    })
}

fn name(customer: usize) -> Arc<str> {
    format!("customer-{customer}").into()
}

/// A host of the simulation.
pub struct Host {
    pub name: Arc<str>,
    addr: SocketAddr,
    pub state: State,
    life: u64,
    sequence: u64,
    pub ready: bool,
    /// When it reads the rows of the store.
    rows_at: Moment,
    /// Until when it neither acts nor reads.
    frozen_until: Moment,
    /// Requests that wait: number of the charge, customer.
    waiting: Vec<(u64, usize)>,
    /// Whether a datagram or request has come.
    pub woken: bool,
}

/// All hosts, their callers, and who does not reach whom.
pub struct Network {
    pub hosts: Vec<Host>,
    by_addr: BTreeMap<SocketAddr, usize>,
    pub now: Moment,
    pub rng: StdRng,
    /// Part of all datagrams that is lost.
    pub loss: f64,
    /// Side of each host; datagrams between sides are lost.
    pub sides: Vec<u8>,
    /// Datagrams on their way: from, to.
    in_transit: Vec<(usize, usize, Packet)>,
    /// Part of its cap that each customer asks for.
    pub demand: [f64; 2],
    /// Caps in force.
    pub rates: Vec<f64>,
    /// Whether requests that are sent do not run, and give their units back.
    pub returns: bool,
    /// When requests of each customer were sent.
    sent: [Vec<Moment>; 2],
    /// When requests of each customer were refused, and by which host.
    pub refused: [Vec<(Moment, usize)>; 2],
}

impl Network {
    pub fn new(count: usize) -> Self {
        let mut network = Network {
            hosts: Vec::new(),
            by_addr: BTreeMap::new(),
            now: at(1),
            rng: StdRng::seed_from_u64(7),
            loss: 0.01,
            sides: vec![0; count],
            in_transit: Vec::new(),
            demand: [USUAL; 2],
            rates: RATES.to_vec(),
            returns: false,
            sent: Default::default(),
            refused: Default::default(),
        };
        for i in 0..count {
            let [high, low] = u16::try_from(i).unwrap().to_be_bytes();
            let addr = SocketAddr::from(([10, 0, high, low], 7_802));
            network.by_addr.insert(addr, i);
            network.hosts.push(Host {
                name: format!("edge-{i:03}").into(),
                addr,
                state: State::default(),
                life: 1,
                sequence: 0,
                ready: true,
                rows_at: Moment::ZERO,
                frozen_until: Moment::ZERO,
                waiting: Vec::new(),
                woken: false,
            });
        }
        for i in 0..count {
            network.start(i);
        }
        // Callers come when the hosts know each other.
        network.demand = [0.0; 2];
        network.run(3_000, |_, _| {});
        network.demand = [USUAL; 2];
        network
    }

    /// Starts the process of a host, which knows the rows of the store.
    pub fn start(&mut self, i: usize) {
        self.start_without_rows(i, Duration::ZERO);
        self.read_rows(i);
    }

    /// Starts the process of a host, which reads the rows of the store after a time.
    fn start_without_rows(&mut self, i: usize, rows_in: Duration) {
        let host = &mut self.hosts[i];
        host.life += 1;
        host.sequence = 0;
        host.rows_at = self.now.max(host.frozen_until) + rows_in;
        host.state = State {
            desired: desired(&self.rates),
            ..State::default()
        };
        host.waiting.clear();
    }

    fn read_rows(&mut self, i: usize) {
        let record = |h: &Host| MemberRecord {
            incarnation: 0,
            callers: h.addr,
            peers: h.addr,
            domain: "north".into(),
        };
        let rows = self.hosts.iter().map(|h| (h.name.clone(), record(h)));
        let rows: Vec<_> = rows.collect();
        let host = &mut self.hosts[i];
        let members = &mut host.state.members;
        members.update_records(rows, &host.name, self.now);
    }

    /// Ends the processes of all hosts and starts them a while later.
    pub fn stop_all(&mut self) {
        for i in 0..self.hosts.len() {
            self.hosts[i].frozen_until = self.now + STOP_TIME;
            let spread = self.rng.random_range(0..MAX_READ_TIME.as_millis() as u64);
            self.start_without_rows(i, Duration::from_millis(spread));
        }
    }

    /// All callers come within a tenth of a second that nobody has served since all hosts ended;
    /// `demand` is what customers ask for otherwise.
    pub fn surge(&mut self, demand: f64) {
        let time = Duration::from_millis(100);
        self.demand = [demand * (1.0 + STOP_TIME.div_duration_f64(time)); 2];
        self.run(time.as_millis() as u64, |_, _| {});
        self.demand = [demand; 2];
    }

    pub fn freeze(&mut self, i: usize, ms: u64) {
        self.hosts[i].frozen_until = self.now + Duration::from_millis(ms);
    }

    fn is_frozen(&self, i: usize) -> bool {
        self.now < self.hosts[i].frozen_until
    }

    /// Runs for a time with a disturbance before each step.
    pub fn run(&mut self, ms: u64, mut disturb: impl FnMut(&mut Network, u64)) {
        let started = self.now;
        while self.now < started + Duration::from_millis(ms) {
            let elapsed = (self.now - started).as_millis() as u64;
            disturb(self, elapsed);
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        self.ask();
        for i in 0..self.hosts.len() {
            if self.is_frozen(i) {
                continue;
            }
            let now = self.now;
            if self.hosts[i].state.members.all.is_empty() && now >= self.hosts[i].rows_at {
                self.read_rows(i);
            }
            let period = self.hosts[i].state.members.heartbeat_period().as_millis();
            let is_heartbeat = (now.as_millis() + 7 * i as u128) % period < STEP.as_millis();
            if is_heartbeat {
                self.send_heartbeat(i);
            }
            let host = &mut self.hosts[i];
            let is_due = host.state.caps_due_in(now).is_some_and(|d| d < STEP);
            if !(std::mem::take(&mut host.woken) || is_due || is_heartbeat) {
                continue;
            }
            let round = host.state.next_caps(&host.name, host.ready, &RULES, now);
            for (addr, packet) in round.packets {
                self.in_transit.push((i, self.by_addr[&addr], packet));
            }
            self.send_requests(i);
        }
    }

    /// Hands over what has arrived; a frozen host ignores what it finds when it is thawed.
    fn deliver(&mut self) {
        let now = self.now;
        for (from, to, packet) in std::mem::take(&mut self.in_transit) {
            let is_lost = self.rng.random_bool(self.loss);
            if is_lost || self.is_frozen(to) || self.sides[from] != self.sides[to] {
                continue;
            }
            let sender = self.hosts[from].name.clone();
            let host = &mut self.hosts[to];
            host.woken = true;
            host.state.apply_caps(&host.name, &sender, &packet, now);
            self.send_requests(to);
        }
    }

    fn send_heartbeat(&mut self, from: usize) {
        let now = self.now;
        let host = &mut self.hosts[from];
        if host.state.members.all.is_empty() {
            return;
        }
        host.sequence += 1;
        let allocator = host.state.members.allocator(&host.name, host.ready, now);
        let (name, life, sequence) = (host.name.clone(), host.life, host.sequence);
        let ready = host.ready;
        for to in 0..self.hosts.len() {
            let is_lost = self.rng.random_bool(self.loss);
            if to == from || is_lost || self.sides[to] != self.sides[from] || self.is_frozen(to) {
                continue;
            }
            let members = &mut self.hosts[to].state.members;
            if let Some(member) = members.record_heartbeat(&name, life, sequence, now) {
                member.ready = ready;
                member.allocator = Some(allocator.clone());
            }
        }
    }

    /// Callers send requests, each to any host.
    fn ask(&mut self) {
        for (customer, rate) in RATES.iter().enumerate() {
            let mean = self.demand[customer] * rate / COST * STEP.as_secs_f64();
            let mut count = mean.trunc() as u32;
            count += u32::from(self.rng.random_bool(mean.fract()));
            for _ in 0..count {
                let i = self.rng.random_range(0..self.hosts.len());
                if self.is_frozen(i) {
                    continue;
                }
                let now = self.now;
                let host = &mut self.hosts[i];
                let until = (now + UNIT_WAIT, now + SILENT_WAIT);
                let rank = Rank::new_request(1);
                let accounts = &mut host.state.accounts;
                let number = accounts.charge(&name(customer), COST, rank, until, now);
                host.waiting.push((number, customer));
                host.woken = true;
                self.send_requests(i);
            }
        }
    }

    /// Sends the requests of a host whose charges are granted.
    fn send_requests(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        for (number, customer) in std::mem::take(&mut host.waiting) {
            let accounts = &mut host.state.accounts;
            match accounts.state(number, now) {
                ChargeState::Waiting => {
                    host.waiting.push((number, customer));
                    continue;
                }
                ChargeState::Granted if self.returns => accounts.end(number, false, now),
                ChargeState::Granted => {
                    self.sent[customer].push(now);
                    accounts.end(number, true, now);
                }
                ChargeState::Refused(_) | ChargeState::Lapsed => {
                    self.refused[customer].push((now, i));
                    accounts.end(number, false, now);
                }
            }
        }
    }

    /// Checks the rule in all windows that start from `from` on, for caps of these rates.
    pub fn check_rule(&self, from: Moment, rates: &[f64]) {
        for (sent, rate) in self.sent.iter().zip(rates) {
            let limit = cap(*rate);
            let base = limit.rate * RULES.window.as_secs_f64() + limit.burst;
            let allowed = base + RULES.allowance(&limit);
            let mut worst: f64 = 0.0;
            for (first, start) in sent.iter().enumerate().filter(|(_, t)| **t >= from) {
                let window = sent[first..].iter();
                let count = window.take_while(|t| **t - *start < RULES.window).count();
                worst = worst.max(count as f64 * COST);
            }
            assert!(worst <= allowed, "{worst} of {allowed} at rate {rate}");
        }
    }

    /// Returns the part of the requests of each customer that was refused from `from` on.
    pub fn refused_part(&self, from: Moment) -> [f64; 2] {
        [0, 1].map(|c| {
            let refused = self.refused[c].iter().filter(|(t, _)| *t >= from);
            let refused = refused.count() as f64;
            let sent = self.sent[c].iter().filter(|t| **t >= from).count() as f64;
            refused / (refused + sent).max(1.0)
        })
    }
}
