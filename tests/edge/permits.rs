//! Permits of many hosts, over a simulated network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::gossip::{ApplicationNote, Packet, RateNote, VerdictNote};
use mastichinge::edge::members::MemberRecord;
use mastichinge::edge::permits::packets::rate_note;
use mastichinge::edge::permits::{Allocator, Application, PermitState, Permits, Rank, Verdict};
use mastichinge::edge::state::State;
use mastichinge::edge::statements::RateStatement;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

/// Window of the platform's rule.
const WINDOW: Duration = Duration::from_secs(4);
/// Step of the simulation, which is also the delay of datagrams.
const STEP: Duration = Duration::from_millis(20);
/// Period of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(240);
/// Requests that wait at each host at any time.
const WAITING: usize = 2;
/// Time for which a request waits for its permit.
const PATIENCE: Duration = Duration::from_millis(800);
const ENGINE: &str = "e";

fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

fn named(rate: f64) -> RateStatement {
    RateStatement {
        number: 1,
        incarnation: 1_000,
        rate: Some(rate),
        asked_at: at(0),
        heard_at: at(1),
    }
}

/// A host of the simulation.
struct Host {
    name: Arc<str>,
    addr: SocketAddr,
    state: State,
    life: u64,
    sequence: u64,
    /// Until when it neither acts nor reads.
    frozen_until: Moment,
    waiting: Vec<(u64, Moment)>,
}

/// All hosts, and who does not reach whom.
struct Network {
    hosts: Vec<Host>,
    by_addr: BTreeMap<SocketAddr, usize>,
    now: Moment,
    rate: f64,
    /// Side of each host; datagrams between sides are lost.
    sides: Vec<u8>,
    /// Pairs of hosts that do not hear each other.
    deaf: BTreeSet<(usize, usize)>,
    /// Datagrams on their way: from, to.
    in_transit: Vec<(usize, usize, Packet)>,
    /// When requests were sent.
    sent: Vec<Moment>,
}

impl Network {
    fn new(count: usize, rate: f64) -> Self {
        let mut network = Network {
            hosts: Vec::new(),
            by_addr: BTreeMap::new(),
            now: at(1),
            rate,
            sides: vec![0; count],
            deaf: BTreeSet::new(),
            in_transit: Vec::new(),
            sent: Vec::new(),
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
                frozen_until: Moment::ZERO,
                waiting: Vec::new(),
            });
        }
        for i in 0..count {
            network.start(i);
            let rates = network.hosts[i].state.fleet.rates_mut();
            rates.record(&ENGINE.into(), named(rate));
        }
        network
    }

    /// Starts the process of a host, which knows the rows of the store.
    fn start(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        host.life += 1;
        host.state = State::default();
        host.waiting.clear();
        self.read_rows(i);
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

    fn is_frozen(&self, i: usize) -> bool {
        self.now < self.hosts[i].frozen_until
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let pair = (from.min(to), from.max(to));
        self.sides[from] == self.sides[to] && !self.deaf.contains(&pair)
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
        for i in 0..self.hosts.len() {
            if self.is_frozen(i) {
                continue;
            }
            self.send_requests(i);
            let millis = self.now.as_millis() + 7 * i as u128;
            if millis % HEARTBEAT.as_millis() < STEP.as_millis() {
                self.send_heartbeat(i);
            }
            let now = self.now;
            let host = &mut self.hosts[i];
            let round = host.state.next_permits(&host.name, true, now);
            for (addr, packet) in round.packets {
                self.in_transit.push((i, self.by_addr[&addr], packet));
            }
        }
    }

    /// Hands over what has arrived; a frozen host reads it when it is thawed.
    fn deliver(&mut self) {
        let now = self.now;
        for (from, to, packet) in std::mem::take(&mut self.in_transit) {
            if self.is_frozen(to) {
                self.in_transit.push((from, to, packet));
                continue;
            }
            if !self.reaches(from, to) {
                continue;
            }
            let sender = self.hosts[from].name.clone();
            let host = &mut self.hosts[to];
            host.state.apply_rates(&packet, now);
            host.state.apply_permits(&host.name, &sender, &packet, now);
        }
    }

    fn send_heartbeat(&mut self, from: usize) {
        let now = self.now;
        let host = &mut self.hosts[from];
        host.sequence += 1;
        let allocator = host.state.members.allocator(&host.name, true, now);
        let (name, life, sequence) = (host.name.clone(), host.life, host.sequence);
        let statement = host.state.fleet.rates().statement(ENGINE).copied();
        let rates = statement.map(|s| rate_note(ENGINE, &s, now));
        let packet = Packet {
            rates: rates.into_iter().collect(),
            ..Packet::default()
        };
        for to in 0..self.hosts.len() {
            if to == from || !self.reaches(from, to) || self.is_frozen(to) {
                continue;
            }
            let state = &mut self.hosts[to].state;
            let member = state.members.record_heartbeat(&name, life, sequence, now);
            let Some(member) = member else {
                continue;
            };
            member.ready = true;
            member.allocator = Some(allocator.clone());
            state.apply_rates(&packet, now);
        }
    }

    /// Sends the requests of a host that have their permits; new ones take their place.
    fn send_requests(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        // Without a rate there is no limit, and the rule does not count a host without it.
        if host.state.fleet.rates().rate(ENGINE).is_none() {
            return;
        }
        let permits = &mut host.state.permits;
        let mut waiting = Vec::new();
        for (number, give_up_at) in std::mem::take(&mut host.waiting) {
            let state = permits.state(number, now);
            if state == PermitState::Waiting && now < give_up_at {
                waiting.push((number, give_up_at));
                continue;
            }
            if permits.spend(number, ENGINE, now) {
                self.sent.push(now);
            }
            permits.withdraw(number, now);
        }
        while waiting.len() < WAITING {
            let give_up_at = now + PATIENCE;
            let number = permits.apply(vec![ENGINE.into()], Rank::new_request(1), give_up_at);
            waiting.push((number, give_up_at));
        }
        host.waiting = waiting;
    }

    /// Checks the rule, and that at least `used` of the rate was used from `from` on.
    fn check(&self, from: Moment, used: f64) {
        for start in &self.sent {
            let window = self.sent.iter().filter(|t| *t >= start);
            let count = window.take_while(|t| **t - *start <= WINDOW).count();
            let allowed = 1.5 * self.rate * WINDOW.as_secs_f64() + 5.0;
            assert!(count as f64 <= allowed, "{count} of {allowed} at {start:?}");
        }
        let sent = self.sent.iter().filter(|t| **t >= from).count() as f64;
        let usable = self.rate * (self.now - from).as_secs_f64();
        assert!(sent >= used * usable, "{sent} of {usable}");
    }
}

/// Guards against LIMIT: shares of one request at least for each host add up to more than the
/// rate, and a rate that only one host may use is not used by callers of the others.
#[test_case(5, 0.5, 24; "few hosts, a low rate")]
#[test_case(5, 4.0, 12; "few hosts")]
#[test_case(5, 100.0, 12; "few hosts, a high rate")]
#[test_case(117, 1.0, 16; "many hosts, a low rate")]
#[test_case(460, 4.0, 4; "hosts of the largest deployment")]
fn hosts_use_the_rate_together(hosts: usize, rate: f64, seconds: u64) {
    let mut network = Network::new(hosts, rate);
    network.run(seconds * 1_000, |_, _| {});
    network.check(at(2_000), 0.75);
}

/// Guards against LIMIT around a take-over: the allocator stops, again and again.
#[test_case(5, 4.0; "few hosts")]
#[test_case(117, 1.0; "many hosts")]
fn the_rate_holds_while_one_host_after_the_other_starts_again(hosts: usize, rate: f64) {
    let mut network = Network::new(hosts, rate);
    network.run(16_000, |network, ms| {
        if ms > 3_000 && ms.is_multiple_of(2_000) {
            let i = (ms / 2_000) as usize % network.hosts.len();
            network.hosts[i].frozen_until = network.now + Duration::from_millis(1_500);
            network.start(i);
        }
    });
    network.check(at(4_000), 0.3);
}

/// Guards against LIMIT after all hosts have started again, with an empty memory each.
#[test_case(5, 4.0; "few hosts")]
#[test_case(117, 1.0; "many hosts")]
fn the_rate_holds_when_all_hosts_start_again(hosts: usize, rate: f64) {
    let mut network = Network::new(hosts, rate);
    network.run(6_000, |_, _| {});
    for i in 0..hosts {
        network.start(i);
        let rates = network.hosts[i].state.fleet.rates_mut();
        rates.record(&ENGINE.into(), named(rate));
    }
    network.run(6_000, |_, _| {});
    network.check(at(4_000), 0.5);
}

/// Guards against LIMIT after all hosts have started again and have not read the rows yet: each
/// knows of no other.
#[test]
fn the_rate_holds_before_the_rows_are_read() {
    let mut network = Network::new(31, 10.0);
    network.run(6_000, |_, _| {});
    let restarted = network.now;
    for host in &mut network.hosts {
        host.state = State::default();
        host.waiting.clear();
        let rates = host.state.fleet.rates_mut();
        rates.record(&ENGINE.into(), named(10.0));
    }
    network.run(400, |_, _| {});
    for i in 0..network.hosts.len() {
        network.read_rows(i);
    }
    network.run(6_000, |_, _| {});
    network.check(restarted, 0.5);
}

/// Guards against LIMIT where hosts do not hear all others: each part follows an allocator of
/// its own.
#[test_case(5, 4.0, 2; "two parts of few hosts")]
#[test_case(5, 4.0, 5; "each host alone")]
#[test_case(117, 4.0, 3; "three parts of many hosts")]
fn the_rate_holds_in_a_cut_and_after_it(hosts: usize, rate: f64, parts: u8) {
    let mut network = Network::new(hosts, rate);
    network.run(4_000, |_, _| {});
    for (i, side) in network.sides.iter_mut().enumerate() {
        *side = i as u8 % parts;
    }
    network.run(8_000, |_, _| {});
    network.sides.fill(0);
    network.run(5_000, |_, _| {});
    network.check(at(4_000), 0.5);
}

/// Guards against LIMIT where two hosts that do not hear each other are both heard by the rest.
#[test_case(5, 10.0; "few hosts")]
#[test_case(117, 10.0; "many hosts")]
fn the_rate_holds_when_views_differ(hosts: usize, rate: f64) {
    let mut network = Network::new(hosts, rate);
    network.deaf.insert((0, 1));
    network.run(10_000, |_, _| {});
    network.check(at(3_000), 0.5);
}

/// Guards against LIMIT at the end of a freeze: what was granted before it, and what was queued
/// in it, is of that time.
#[test_case(0; "the allocator")]
#[test_case(3; "another host")]
fn the_rate_holds_when_a_host_goes_on_after_a_freeze(frozen: usize) {
    let mut network = Network::new(5, 4.0);
    network.run(15_000, |network, ms| {
        if ms > 3_000 && ms.is_multiple_of(4_000) {
            let until = network.now + Duration::from_millis(2_500);
            network.hosts[frozen].frozen_until = until;
        }
    });
    network.check(at(4_000), 0.4);
}

/// Guards against LIMIT: an allocator that has just started, and has not heard of a rate that was
/// named long ago, granted permits without limit.
#[test]
fn an_allocator_hears_of_a_rate_with_the_applications() {
    let mut network = Network::new(2, 1.0);
    network.run(5_000, |_, _| {});
    network.start(0);
    let now = network.now;
    let applicant = &mut network.hosts[1];
    let name = applicant.name.clone();
    let permits = &mut applicant.state.permits;
    permits.apply(vec![ENGINE.into()], Rank::new_request(1), now + PATIENCE);
    let (_, packet) = applicant
        .state
        .next_permits(&name, true, now)
        .packets
        .remove(0);
    let allocator = &mut network.hosts[0];
    allocator.state.apply_rates(&packet, now);
    allocator
        .state
        .apply_permits(&allocator.name, &name, &packet, now);
    let round = allocator.state.next_permits(&allocator.name, true, now);
    assert_eq!(round.granted, 0);
}

fn application(number: u64, priority: u8, patience_ms: u64) -> Application {
    Application {
        number,
        engines: vec![ENGINE.into()],
        rank: Rank::new_request(priority),
        patience: Duration::from_millis(patience_ms),
    }
}

/// Returns an allocator that has just granted its last permit of a rate of 1 a second.
fn empty_allocator() -> Allocator {
    let mut allocator = Allocator::default();
    fill(&mut allocator, 1.0, 0);
    fill(&mut allocator, 1.0, 1_000);
    let first = application(1_000, 1, 100);
    allocator.apply(&"edge-1".into(), vec![first], at(1_000));
    assert_eq!(verdicts(&mut allocator, 1_000), [(1_000, granted())]);
    allocator
}

fn fill(allocator: &mut Allocator, rate: f64, ms: u64) {
    let engine = ENGINE.into();
    allocator.fill([(&engine, rate)].into_iter(), 1.0, at(ms));
}

fn granted() -> Verdict {
    Verdict::Granted(ENGINE.into())
}

fn verdicts(allocator: &mut Allocator, ms: u64) -> Vec<(u64, Verdict)> {
    let verdicts = allocator.decide(at(ms)).into_iter();
    verdicts
        .map(|(applicant, v)| (applicant.number, v))
        .collect()
}

#[test]
fn the_most_urgent_request_gets_the_next_permit() {
    let mut allocator = empty_allocator();
    let applications = [(1, 5, 3_500), (2, 1, 3_500), (3, 1, 3_000)];
    let applications = applications.map(|(n, priority, ms)| application(n, priority, ms));
    allocator.apply(&"edge-1".into(), applications.into(), at(1_900));
    fill(&mut allocator, 1.0, 2_000);
    assert_eq!(verdicts(&mut allocator, 2_000), [(3, granted())]);
}

/// Guards against requests that are held until their deadlines, and callers that return at once
/// and all together.
#[test]
fn what_would_wait_too_long_is_refused_at_once_with_returns_one_after_the_other() {
    let mut allocator = empty_allocator();
    let applications = (0..6).map(|number| application(number, 1, 1_500));
    allocator.apply(&"edge-1".into(), applications.collect(), at(1_000));
    fill(&mut allocator, 1.0, 1_000);
    let refused = verdicts(&mut allocator, 1_000);
    let delays = refused.iter().map(|(_, v)| match v {
        Verdict::Refused(delay) => delay.as_millis(),
        Verdict::Granted(_) => panic!("granted"),
    });
    let delays: Vec<_> = delays.collect();
    assert_eq!(delays, [2_000, 3_000, 4_000, 5_000, 6_000]);
}

#[test]
fn an_engine_that_takes_nothing_gets_nothing() {
    let mut allocator = Allocator::default();
    for ms in [0, 60_000] {
        fill(&mut allocator, 0.0, ms);
        let application = application(ms, 1, 5_000);
        allocator.apply(&"edge-1".into(), vec![application], at(ms));
        let verdicts = verdicts(&mut allocator, ms);
        assert!(
            matches!(verdicts[..], [(_, Verdict::Refused(_))]),
            "{verdicts:?}"
        );
    }
}

/// Guards against a permit that is granted twice because its verdict was lost.
#[test]
fn a_repeated_application_gets_the_same_permit() {
    let mut allocator = empty_allocator();
    let first = application(1_000, 1, 100);
    allocator.apply(&"edge-1".into(), vec![first], at(1_100));
    fill(&mut allocator, 1.0, 1_100);
    assert_eq!(verdicts(&mut allocator, 1_100), [(1_000, granted())]);
}

/// Guards against permits that are granted to callers that have left.
#[test]
fn a_withdrawn_application_gets_no_permit() {
    let mut allocator = empty_allocator();
    let apply = |allocator: &mut Allocator, numbers: &[u64]| {
        let applications = numbers.iter().map(|n| application(*n, 1, 3_500));
        allocator.apply(&"edge-1".into(), applications.collect(), at(1_900));
    };
    apply(&mut allocator, &[1, 2]);
    apply(&mut allocator, &[2]);
    fill(&mut allocator, 1.0, 2_000);
    assert_eq!(verdicts(&mut allocator, 2_000), [(2, granted())]);
}

/// Guards against permits that are lost with callers that leave.
#[test]
fn a_permit_that_is_not_spent_goes_to_the_next_request_of_the_host() {
    let mut permits = Permits::default();
    let apply = |p: &mut Permits| p.apply(vec![ENGINE.into()], Rank::new_request(1), at(5_000));
    let (first, second) = (apply(&mut permits), apply(&mut permits));
    assert_eq!(permits.take_due(at(0)).len(), 2);
    assert!(permits.record(first, granted(), at(10)));
    assert!(permits.withdraw(first, at(20)));
    assert!(permits.spend(second, ENGINE, at(30)));
    // Another sending of the same request, none of whose bytes were sent.
    assert!(permits.spend(second, ENGINE, at(30)));
    assert!(!permits.withdraw(second, at(40)));
}

/// Guards against permits of before a freeze.
#[test]
fn a_permit_is_not_spent_late() {
    let mut permits = Permits::default();
    let engines = vec![ENGINE.into()];
    let number = permits.apply(engines.clone(), Rank::GOES_ON, at(60_000));
    permits.take_due(at(0));
    assert!(!permits.record(number, granted(), at(3_000)));
    permits.take_due(at(3_000));
    assert!(permits.record(number, granted(), at(3_010)));
    assert!(!permits.spend(number, ENGINE, at(6_000)));
    assert!(!permits.spend(number, "another", at(3_020)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a datagram that takes the process down, whatever its numbers are.
    #[test]
    fn a_packet_with_any_numbers_is_applied(
        rates in vec((any::<u64>(), proptest::option::of(any::<f64>()), any::<u64>(), any::<u64>()), 0..4),
        applications in vec((any::<u64>(), any::<u32>(), any::<u64>(), 0..4_usize), 0..20),
        verdicts in vec((any::<u64>(), any::<bool>(), any::<u64>()), 0..4),
    ) {
        let mut network = Network::new(2, 4.0);
        let rates = rates.into_iter().map(|(number, rate, asked_us, heard_us)| RateNote {
            engine: ENGINE.to_owned(),
            incarnation: number,
            number,
            rate,
            asked_us,
            heard_us,
        });
        let applications = applications.into_iter().map(|(number, rank, patience_ms, count)| {
            ApplicationNote {
                number,
                engines: (0..count).map(|n| format!("e{}", n / 2)).collect(),
                rank,
                patience_ms,
            }
        });
        let verdicts = verdicts.into_iter().map(|(number, is_granted, return_ms)| VerdictNote {
            number,
            engine: if is_granted { ENGINE.to_owned() } else { String::new() },
            return_ms,
        });
        let packet = Packet {
            rates: rates.collect(),
            applications: applications.collect(),
            verdicts: verdicts.collect(),
            ..Packet::default()
        };
        let (now, sender) = (network.now, network.hosts[1].name.clone());
        let host = &mut network.hosts[0];
        host.state.apply_rates(&packet, now);
        host.state.apply_permits(&host.name, &sender, &packet, now);
        for ms in [0, 20, 300, 4_000] {
            host.state.next_permits(&host.name, true, now + Duration::from_millis(ms));
            host.state.permits_due_in(now + Duration::from_millis(ms));
        }
    }
}
