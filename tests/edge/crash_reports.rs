//! Crashes as many daemons tell them each other, over a simulated network.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::gossip::{Heartbeat, Packet};
use mastichinge::edge::members::MemberRecord;
use mastichinge::edge::reports::Reporter;
use mastichinge::edge::state::State;
use mastichinge::edge::suspects::{CrashId, Feature};
use mastichinge::edge::upstream::Lifetime;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const FIRST: Feature = Feature::Part(1);
const BAD: Feature = Feature::Part(2);
/// Bound of the platform: a host in touch for that long has to know.
const CONTACT: Duration = Duration::from_secs(3);
/// Largest datagram that fits one frame, bytes.
const MAX_DATAGRAM: usize = 1_400;

fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

struct Host {
    name: Arc<str>,
    state: State,
    reporter: Reporter,
    next_heartbeat: Moment,
    /// Whether it is cut off from all others.
    cut: bool,
}

/// Hosts that lose a part of their datagrams.
struct Network {
    hosts: Vec<Host>,
    now: Moment,
    loss: f64,
    rng: ChaCha8Rng,
    largest: usize,
}

impl Network {
    fn new(count: usize, loss: f64) -> Self {
        let mut network = Network {
            hosts: Vec::new(),
            now: at(0),
            loss,
            rng: ChaCha8Rng::seed_from_u64(34),
            largest: 0,
        };
        for i in 0..count {
            network.hosts.push(Host {
                name: format!("edge-{i:03}").into(),
                state: State::default(),
                reporter: Reporter::default(),
                next_heartbeat: at(i as u64 % 250),
                cut: false,
            });
        }
        (0..count).for_each(|i| network.start(i));
        network
    }

    /// Starts the process of a host, which knows the others and nothing else.
    fn start(&mut self, i: usize) {
        let addr = |i: usize| {
            let [high, low] = u16::try_from(i).unwrap().to_be_bytes();
            SocketAddr::from(([10, 0, high, low], 7_802))
        };
        let record = |i: usize| MemberRecord {
            incarnation: 1,
            callers: addr(i),
            peers: addr(i),
            domain: "north".into(),
        };
        let names = self.hosts.iter().enumerate();
        let rows: Vec<_> = names.map(|(n, h)| (h.name.clone(), record(n))).collect();
        let host = &mut self.hosts[i];
        host.state = State::default();
        host.reporter = Reporter::default();
        let members = &mut host.state.members;
        members.update_records(rows, &host.name, self.now);
    }

    /// Ends an engine, as a host sees it.
    fn crash(&mut self, i: usize, engine: u64, features: &[Feature]) {
        let id = CrashId::end_of(&Lifetime {
            engine: format!("i-{engine:010x}").as_str().into(),
            incarnation: 1_778_535_941_005,
        });
        let begun = features.iter().map(|f| (*f, true));
        let suspects = &mut self.hosts[i].state.suspects;
        suspects.record_crash(&id, begun, self.now);
        self.send(i, None);
    }

    /// Sends what a host has to tell to all others.
    fn send(&mut self, i: usize, heartbeat: Option<Heartbeat>) {
        let now = self.now;
        let host = &mut self.hosts[i];
        let round = host
            .reporter
            .next_round(&mut host.state, heartbeat, None, now);
        let packet = round.everyone;
        self.largest = self.largest.max(packet.encode_to_vec().len());
        if self.hosts[i].cut || packet.crashes.is_empty() {
            return;
        }
        for to in 0..self.hosts.len() {
            if to != i && !self.hosts[to].cut && !self.rng.random_bool(self.loss) {
                self.apply(to, &packet);
            }
        }
    }

    fn apply(&mut self, to: usize, packet: &Packet) {
        let suspects = &mut self.hosts[to].state.suspects;
        for note in &packet.crashes {
            suspects.apply(note, self.now);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(10);
            for i in 0..self.hosts.len() {
                let host = &mut self.hosts[i];
                if self.now < host.next_heartbeat {
                    continue;
                }
                host.next_heartbeat += host.state.members.heartbeat_period();
                self.send(i, Some(Heartbeat::default()));
            }
        }
    }

    /// Returns the hosts that do not hold just the bad part.
    fn unaware(&self) -> Vec<&str> {
        let holds = |h: &&Host| !h.state.suspects.held().eq([BAD]);
        self.hosts.iter().filter(holds).map(|h| &*h.name).collect()
    }
}

/// Guards against BUDGET: what one datagram told was lost with it, and a host that had started
/// again, or had been cut off, was told nothing.
#[test_case(5, 0.03; "few hosts")]
#[test_case(5, 0.3; "few hosts, a third is lost")]
#[test_case(117, 0.3; "many hosts, a third is lost")]
#[test_case(460, 0.03; "very many hosts")]
fn all_hosts_hold_a_part_in_time(count: usize, loss: f64) {
    let mut network = Network::new(count, loss);
    let last = count - 1;
    network.hosts[last].cut = true;
    // No other host has seen an answer to a request with the first part.
    let suspects = &mut network.hosts[0].state.suspects;
    suspects.record_answered(&[FIRST], at(0));
    network.crash(0, 1, &[FIRST, BAD]);
    network.crash(1, 2, &[FIRST, BAD]);
    network.run(CONTACT);
    assert_eq!(network.unaware(), [&*network.hosts[last].name]);
    network.hosts[last].cut = false;
    network.start(1);
    network.run(CONTACT);
    assert_eq!(network.unaware(), [""; 0]);
    assert!(network.largest <= MAX_DATAGRAM, "{} bytes", network.largest);
}

/// Crashes of other causes do not push the news of a part out of the datagrams.
#[test_case(5; "few hosts")]
#[test_case(117; "many hosts")]
fn a_host_that_starts_is_told_in_time_of_one_crash_among_many(count: usize) {
    let mut network = Network::new(count, 0.03);
    let suspects = &mut network.hosts[0].state.suspects;
    suspects.record_answered(&[FIRST], at(0));
    for n in 0..40 {
        let others: Vec<_> = (0..60).map(|i| Feature::Part(1_000 + 60 * n + i)).collect();
        network.crash(n as usize % count, 100 + n, &others);
    }
    network.crash(0, 1, &[FIRST, BAD]);
    network.crash(1, 2, &[FIRST, BAD]);
    network.run(CONTACT);
    network.start(count - 1);
    network.run(CONTACT);
    assert_eq!(network.unaware(), [""; 0]);
    assert!(network.largest <= MAX_DATAGRAM, "{} bytes", network.largest);
}
