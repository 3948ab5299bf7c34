//! Caps of customers over many hosts, over a simulated network.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::caps::packets::CapRound;
use mastichinge::edge::caps::{CapRules, ChargeState};
use mastichinge::edge::customers::{Cap, CapUnit, Customer, Customers};
use mastichinge::edge::desired::DesiredState;
use mastichinge::edge::gossip::Packet;
use mastichinge::edge::members::MemberRecord;
use mastichinge::edge::permits::Rank;
use mastichinge::edge::state::State;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

/// The platform's rule of the deployment with the most customers.
const RULES: CapRules = CapRules {
    window: Duration::from_secs(8),
    excess: 0.1,
    slack: 110_000.0,
};
/// Units of a request.
const COST: f64 = 9_200.0;
/// Part of a cap that a customer usually uses.
const USUAL: f64 = 1.0 / 1.8;
/// Multiple of its usual that a hot customer sends.
const HOT: f64 = 7.5;
/// Step of the simulation, which is also the delay of datagrams.
const STEP: Duration = Duration::from_millis(10);
/// Time for which a request waits for units.
const UNIT_WAIT: Duration = Duration::from_millis(300);
/// Time for which a request waits while no allocator answers.
const SILENT_WAIT: Duration = Duration::from_secs(2);
/// Rates of the customers: one small, one large.
const RATES: [f64; 2] = [29_000.0, 1_000_000.0];

fn at(ms: u64) -> Moment {
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

fn desired(rates: &[f64]) -> Rc<DesiredState> {
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
struct Host {
    name: Arc<str>,
    addr: SocketAddr,
    state: State,
    life: u64,
    sequence: u64,
    ready: bool,
    /// Until when it neither acts nor reads.
    frozen_until: Moment,
    /// Requests that wait: number of the charge, customer.
    waiting: Vec<(u64, usize)>,
    /// Whether a datagram or request has come.
    woken: bool,
}

/// All hosts, their callers, and who does not reach whom.
struct Network {
    hosts: Vec<Host>,
    by_addr: BTreeMap<SocketAddr, usize>,
    now: Moment,
    rng: StdRng,
    /// Part of all datagrams that is lost.
    loss: f64,
    /// Side of each host; datagrams between sides are lost.
    sides: Vec<u8>,
    /// Datagrams on their way: from, to.
    in_transit: Vec<(usize, usize, Packet)>,
    /// Part of its cap that each customer asks for.
    demand: [f64; 2],
    /// Caps in force.
    rates: Vec<f64>,
    /// Whether requests that are sent do not run, and give their units back.
    returns: bool,
    /// When requests of each customer were sent.
    sent: [Vec<Moment>; 2],
    /// When requests of each customer were refused, and by which host.
    refused: [Vec<(Moment, usize)>; 2],
}

impl Network {
    fn new(count: usize) -> Self {
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
    fn start(&mut self, i: usize) {
        let record = |h: &Host| MemberRecord {
            incarnation: 0,
            callers: h.addr,
            peers: h.addr,
            domain: "north".into(),
        };
        let rows = self.hosts.iter().map(|h| (h.name.clone(), record(h)));
        let rows: Vec<_> = rows.collect();
        let host = &mut self.hosts[i];
        host.life += 1;
        host.sequence = 0;
        host.state = State {
            desired: desired(&self.rates),
            ..State::default()
        };
        host.waiting.clear();
        let members = &mut host.state.members;
        members.update_records(rows, &host.name, self.now);
    }

    fn freeze(&mut self, i: usize, ms: u64) {
        self.hosts[i].frozen_until = self.now + Duration::from_millis(ms);
    }

    fn is_frozen(&self, i: usize) -> bool {
        self.now < self.hosts[i].frozen_until
    }

    /// Runs for a time with a disturbance before each step.
    fn run(&mut self, ms: u64, mut disturb: impl FnMut(&mut Network, u64)) {
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
    fn check_rule(&self, from: Moment, rates: &[f64]) {
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
    fn refused_part(&self, from: Moment) -> [f64; 2] {
        [0, 1].map(|c| {
            let refused = self.refused[c].iter().filter(|(t, _)| *t >= from);
            let refused = refused.count() as f64;
            let sent = self.sent[c].iter().filter(|t| **t >= from).count() as f64;
            refused / (refused + sent).max(1.0)
        })
    }
}

/// Guards against the refusal of what lies below a cap: shares of hosts are less than one request.
#[test_case(5, 30; "few hosts")]
#[test_case(31, 30; "hosts of the deployment with the most customers")]
#[test_case(117, 20; "many hosts")]
#[test_case(460, 8; "hosts of the largest deployment")]
fn what_lies_below_a_cap_is_served(hosts: usize, seconds: u64) {
    let mut network = Network::new(hosts);
    network.run(seconds * 1_000, |_, _| {});
    network.check_rule(at(0), &RATES);
    assert_eq!(network.refused_part(at(0)), [0.0, 0.0]);
}

/// Guards against QUOTA: a customer sends a multiple of its usual from one moment to the next.
#[test_case(5; "few hosts")]
#[test_case(31; "hosts of the deployment with the most customers")]
#[test_case(117; "many hosts")]
fn a_hot_customer_stays_below_its_cap(hosts: usize) {
    let mut network = Network::new(hosts);
    network.run(6_000, |_, _| {});
    network.demand = [USUAL * HOT; 2];
    network.run(12_000, |_, _| {});
    network.demand = [USUAL; 2];
    network.run(4_000, |_, _| {});
    network.check_rule(at(0), &RATES);
    // It gets its cap, of which it asked for more than four times as much.
    let [small, large] = network.refused_part(at(9_000));
    assert!(small < 0.75 && large < 0.75, "{small}, {large}");
}

/// Guards against units that are lost with requests that an engine rejects: a customer would be
/// refused that has used nothing.
#[test]
fn units_of_requests_that_have_not_run_go_back() {
    let mut network = Network::new(5);
    network.loss = 0.3;
    network.demand = [0.0; 2];
    network.returns = true;
    network.demand[1] = 3.0;
    network.run(10_000, |_, _| {});
    assert_eq!(network.refused[1], []);
}

/// Guards against packets and state where no customer has a cap.
#[test]
fn nothing_is_sent_without_caps() {
    let mut network = Network::new(2);
    for host in &mut network.hosts {
        host.state = State::default();
        let round = host.state.next_caps(&host.name, true, &RULES, at(9_000));
        assert_eq!(round, CapRound::default());
        assert_eq!(host.state.caps_due_in(at(9_000)), None);
    }
}

/// Guards against QUOTA around a take-over, at any time of a rise.
#[test_case(0, 1_500; "ends")]
#[test_case(0, 4_000; "freezes")]
#[test_case(7, 4_000; "another host freezes")]
fn a_cap_holds_when_a_host_stops_again_and_again(host: usize, ms: u64) {
    let mut network = Network::new(31);
    network.run(5_000, |_, _| {});
    network.demand = [USUAL * HOT; 2];
    network.run(24_000, |network, elapsed| {
        if elapsed % 6_000 == 300 {
            network.freeze(host, ms);
            if ms < 2_000 {
                network.start(host);
            }
        }
    });
    network.check_rule(at(0), &RATES);
    assert!(network.refused_part(at(0)).iter().all(|part| *part < 0.8));
}

/// Guards against the refusal of what lies below a cap when the allocator ends.
#[test_case(1_500; "starts again")]
#[test_case(60_000; "is lost for good")]
fn what_lies_below_a_cap_is_served_when_the_allocator_ends(ms: u64) {
    let mut network = Network::new(31);
    network.run(5_000, |_, _| {});
    network.freeze(0, ms);
    network.start(0);
    network.run(15_000, |_, _| {});
    network.check_rule(at(0), &RATES);
    let [small, large] = network.refused_part(at(0));
    assert!(small <= 0.02 && large <= 0.02, "{small}, {large}");
}

/// Guards against QUOTA in a cut and after it, in which each side has an allocator.
#[test_case(31, 2, 10_000; "halves")]
#[test_case(31, 31, 10_000; "each host alone")]
#[test_case(31, 3, 30_000; "three parts for long")]
#[test_case(5, 2, 30_000; "few hosts for long")]
fn a_cap_holds_in_a_cut_and_after_it(hosts: usize, parts: u8, ms: u64) {
    let mut network = Network::new(hosts);
    network.run(5_000, |_, _| {});
    network.demand = [USUAL * HOT; 2];
    network.run(1_000, |_, _| {});
    for (i, side) in network.sides.iter_mut().enumerate() {
        *side = i as u8 % parts;
    }
    network.run(ms, |_, _| {});
    network.sides.fill(0);
    network.run(9_000, |_, _| {});
    network.check_rule(at(0), &RATES);
}

/// Guards against QUOTA, and against the refusal of what lies below a cap, when one host, which is
/// the allocator or another, is cut off and comes back.
#[test_case(0, 10_000; "the allocator")]
#[test_case(0, 20_000; "the allocator for long")]
#[test_case(9, 10_000; "another host")]
fn a_cap_holds_when_a_host_is_cut_off(host: usize, ms: u64) {
    let mut network = Network::new(31);
    network.run(5_000, |_, _| {});
    network.sides[host] = 1;
    network.run(ms, |_, _| {});
    network.sides[host] = 0;
    network.run(9_000, |_, _| {});
    network.check_rule(at(0), &RATES);
    network.refused_part(at(0));
    // The host itself has less than one request of the small customer, and refuses those.
    let mut refused = network.refused.iter().flatten();
    assert!(refused.all(|(_, by)| *by == host), "{:?}", network.refused);
}

/// Guards against QUOTA, and against refusals, while all hosts are stopped and started in turn.
#[test]
fn a_cap_holds_while_hosts_are_replaced_in_turn() {
    let mut network = Network::new(31);
    network.run(4_000, |_, _| {});
    network.run(20_000, |network, elapsed| {
        let i = (elapsed / 600) as usize % 31;
        match elapsed % 600 {
            0..10 => network.hosts[i].ready = false,
            300..310 => {
                network.hosts[i].ready = true;
                network.start(i);
            }
            _ => {}
        }
        if elapsed == 10_000 {
            network.demand = [USUAL * HOT; 2];
        }
    });
    network.check_rule(at(0), &RATES);
}

/// Guards against QUOTA after a version that lowers a cap: it binds one window after it.
#[test]
fn a_lowered_cap_holds() {
    let mut network = Network::new(31);
    network.demand = [USUAL * HOT; 2];
    network.run(6_000, |_, _| {});
    network.rates = RATES.map(|rate| rate / 2.0).to_vec();
    let lowered_at = network.now;
    for host in &mut network.hosts {
        host.state.desired = desired(&network.rates);
        host.woken = true;
    }
    network.run(16_000, |_, _| {});
    network.check_rule(lowered_at, &network.rates);
}
