//! Caps of customers over many hosts, over a simulated network.

mod network;

use mastichinge::edge::caps::packets::CapRound;
use mastichinge::edge::state::State;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

use network::{HOT, Network, RATES, RULES, STOP_TIME, USUAL, at, desired};

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

/// Guards against QUOTA when all hosts end and start again at any time: until a host has read the
/// rows, it knows of no other.
#[test_case(5, 0; "few hosts")]
#[test_case(31, 1; "hosts of the deployment with the most customers")]
#[test_case(31, 2; "the same, at other times")]
#[test_case(117, 3; "many hosts")]
fn a_cap_holds_when_all_hosts_start_again(hosts: usize, seed: u64) {
    let mut network = Network::new(hosts);
    network.rng = StdRng::seed_from_u64(seed);
    network.demand = [USUAL * HOT; 2];
    for _ in 0..6 {
        let time = network.rng.random_range(2_000..6_000);
        network.run(time, |_, _| {});
        network.stop_all();
        network.run(STOP_TIME.as_millis() as u64, |_, _| {});
        network.surge(USUAL * HOT);
    }
    network.check_rule(at(0), &RATES);
    assert!(network.refused_part(at(0)).iter().all(|part| *part < 0.85));
}

/// Guards against the refusal of what lies below a cap after a start of all hosts, to which all
/// come that could not be served meanwhile; `allowed` is the part of the requests of three seconds
/// that may be refused, of the small customer and of the large one.
#[test_case(5, 20, [0.02, 0.0]; "few hosts")]
#[test_case(31, 20, [0.02, 0.0]; "hosts of the deployment with the most customers")]
#[test_case(117, 8, [0.12, 0.02]; "many hosts")]
#[test_case(460, 2, [0.1, 0.02]; "hosts of the largest deployment")]
fn what_lies_below_a_cap_is_served_after_a_start_of_all(
    hosts: usize,
    starts: u32,
    allowed: [f64; 2],
) {
    let mut network = Network::new(hosts);
    let mut sum = [0.0; 2];
    for _ in 0..starts {
        network.run(1_000, |_, _| {});
        network.stop_all();
        network.run(STOP_TIME.as_millis() as u64, |_, _| {});
        let started = network.now;
        network.surge(USUAL);
        network.run(2_900, |_, _| {});
        let part = network.refused_part(started);
        sum = [sum[0] + part[0], sum[1] + part[1]];
    }
    let part = sum.map(|s| s / f64::from(starts));
    assert!(part[0] <= allowed[0] && part[1] <= allowed[1], "{part:?}");
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
