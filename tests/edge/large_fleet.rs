//! Patterns of large fleets: many adapters that are waited for at once, and many daemons
//! that tell each other what they know.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::demand::ModelKey;
use mastichinge::edge::engine_load::{EngineNews, EngineReport};
use mastichinge::edge::gossip::{Heartbeat, Packet, PromptNote, WaitingNote, WaitingReport};
use mastichinge::edge::leader::Announcer;
use mastichinge::edge::members::{HEARTBEAT_PERIOD, MemberRecord, Members};
use mastichinge::edge::orders::{Order, OrderOutcome, Verb};
use mastichinge::edge::peers;
use mastichinge::edge::placement::{EngineCall, LeaderId, LoadHistory, Placer};
use mastichinge::edge::reports::{Reporter, Round};
use mastichinge::edge::settings::Settings;
use mastichinge::edge::state::State;
use mastichinge::edge::upstream::{Lifetime, SentPrompt};
use prost::Message;

use crate::fixtures::{PlacerFixture, SERVICE, desired, entry, report};

/// Largest datagram that fits one frame, bytes.
const FRAME_BYTES: usize = 1_400;

fn at(ms: u64) -> Moment {
    Moment::from_secs(100) + Duration::from_millis(ms)
}

fn model(index: usize) -> ModelKey {
    ModelKey::new(&SERVICE.into(), &format!("model{index:04}").into())
}

/// Returns the state of a daemon that has met this many models.
fn daemon_with_demand(models: usize) -> State {
    let mut state = State::default();
    for index in 0..models {
        let work = Duration::from_millis(50);
        state.meter.record_request(model(index), work, true, at(0));
    }
    state
}

fn round(reporter: &mut Reporter, state: &mut State, leader: &str, now: Moment) -> Round {
    let leader: Arc<str> = leader.into();
    reporter.next_round(state, Some(Heartbeat::default()), Some(&leader), now)
}

fn reported(packet: &Packet) -> Vec<&str> {
    let demand = packet.demand.as_ref().expect("a report of demand");
    demand.models.iter().map(|m| &*m.model).collect()
}

fn orders(calls: Vec<EngineCall>) -> Vec<Order> {
    let order = |call| match call {
        EngineCall::Order(order) => Some(order),
        EngineCall::Report(_) => None,
    };
    calls.into_iter().filter_map(order).collect()
}

/// Lets every engine report what it holds.
fn read_reports(fixture: &mut PlacerFixture) {
    loop {
        let calls = fixture.step();
        if calls.is_empty() {
            return;
        }
        for call in calls {
            let EngineCall::Report(id) = call else {
                panic!("an order before the report");
            };
            let models = fixture.fleet.engines[&id].entry.models.clone();
            let names: Vec<_> = models.keys().map(|m| &**m).collect();
            fixture.report(&id, &report(&names, 0));
        }
    }
}

/// A morning's first requests: 60 adapters on 240 engines are asked for within a step.
/// Each is ordered in that step, once, on an engine that serves its model.
#[test]
fn all_adapters_that_requests_wait_for_are_ordered_at_once() {
    let models: Vec<_> = (0..120).map(|i| format!("m{i:03}")).collect();
    let names: Vec<_> = models.iter().map(|m| &**m).collect();
    let entries = (0..240).map(|i| entry(&format!("e{i:03}"), 1_000 + i, &[names[i as usize / 2]]));
    let mut fixture = PlacerFixture::new(entries.collect(), desired(&names));
    read_reports(&mut fixture);
    for i in 0..60 {
        fixture.add_waiting(names[i * 2], Some("a1"));
    }
    let given = orders(fixture.step());
    assert_eq!(given.len(), 60);
    for order in &given {
        assert_eq!(
            (order.verb, order.adapter.as_deref()),
            (Verb::Load, Some("a1"))
        );
        let holds = &fixture.fleet.engines[&order.engine].entry.models;
        assert!(holds.contains_key(&order.model), "{order:?}");
        fixture.answer_order(order, OrderOutcome::Accepted);
    }
    fixture.advance(15);
    assert!(orders(fixture.step()).is_empty(), "each is loaded once");
}

/// The least busy engine cannot take an order: its report is due. The adapter goes to the
/// other replica of its model and does not wait.
#[test]
fn an_adapter_does_not_wait_for_an_engine_that_can_take_no_order() {
    let entries = vec![entry("e1", 1, &["m1"]), entry("e2", 2, &["m1"])];
    let mut fixture = PlacerFixture::new(entries, desired(&["m1"]));
    read_reports(&mut fixture);
    fixture.placer.views.get_mut("e1").unwrap().call_pending = true;
    fixture.add_waiting("m1", Some("a1"));
    let given = orders(fixture.step());
    assert_eq!(given.len(), 1);
    assert_eq!(&*given[0].engine, "e2");
}

/// 116 copies of a heartbeat that grew with the models met overflowed a link of 25 Mbit/s,
/// and living daemons were called silent.
#[test]
fn a_heartbeat_does_not_grow_with_the_models_that_a_daemon_has_met() {
    let size = |models| {
        let mut state = daemon_with_demand(models);
        let round = round(&mut Reporter::default(), &mut state, "edge-1", at(10));
        round.everyone.encoded_len()
    };
    assert_eq!(size(400), size(1));
    assert!(size(400) < FRAME_BYTES / 4);
}

#[test]
fn only_the_leader_hears_of_demand_and_only_of_what_has_changed() {
    let mut state = daemon_with_demand(400);
    let mut reporter = Reporter::default();
    let first = round(&mut reporter, &mut state, "edge-1", at(10));
    assert_eq!(first.everyone.demand, None);
    assert_eq!(first.everyone.waiting, None);
    assert_eq!(reported(&first.leader).len(), 400);
    let work = Duration::from_millis(50);
    state.meter.record_request(model(7), work, true, at(100));
    let second = round(&mut reporter, &mut state, "edge-1", at(260));
    assert_eq!(reported(&second.leader), ["model0007"]);
    // A successor knows nothing yet.
    let third = round(&mut reporter, &mut state, "edge-2", at(510));
    assert_eq!(reported(&third.leader).len(), 400);
    // Reports may be lost, so all of it comes again within seconds.
    let later = (4..30).map(|i| {
        let now = at(0) + HEARTBEAT_PERIOD * i;
        reported(&round(&mut reporter, &mut state, "edge-2", now).leader).len()
    });
    assert!(later.collect::<Vec<_>>().contains(&400));
}

/// The leader's sum of the demand is the same from differences as from whole reports.
#[test]
fn the_leader_sums_what_it_was_told_with_its_decay() {
    let mut daemon = daemon_with_demand(3);
    let mut leader = State::default();
    let mut reporter = Reporter::default();
    let host: Arc<str> = "edge-9".into();
    for i in 0..8 {
        let now = at(10) + HEARTBEAT_PERIOD * i;
        let work = Duration::from_millis(50);
        daemon.meter.record_request(model(1), work, true, now);
        let round = round(&mut reporter, &mut daemon, "edge-1", now);
        leader.apply_packet("edge-1", &host, &round.leader, now);
    }
    let now = at(1_900);
    let told = leader.total_demand(now);
    for (key, demand) in daemon.meter.current_demand(now) {
        let heard = told[&key];
        assert!((heard.rate - demand.rate).abs() < 0.001, "{key:?}");
        assert!((heard.work - demand.work).abs() < 0.001, "{key:?}");
    }
}

fn leader_of(engines: u16) -> State {
    let mut state = State {
        desired: desired(&["m1"]).into(),
        ..State::default()
    };
    let entries = (0..engines).map(|i| entry(&format!("e{i:03}"), 1_000 + i, &["m1"]));
    state
        .fleet
        .update_entries(entries.collect(), &BTreeSet::new(), None, at(0));
    let leader = LeaderId {
        host: "edge-1".into(),
        fence: 7,
    };
    state.placer = Some(Placer::new(leader, &Settings::default(), LoadHistory::None));
    state.decide_calls(at(0));
    state
}

/// 240 engines are announced again in turns: never many at once, and each within seconds,
/// as datagrams may be lost.
#[test]
fn engines_take_turns_in_being_announced_again() {
    let state = leader_of(240);
    let mut announcer = Announcer::default();
    assert_eq!(announcer.notes(&state, at(0)).len(), 240, "all are new");
    assert_eq!(announcer.notes(&state, at(150)).len(), 240, "once more");
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    for ms in (165..12_165).step_by(15) {
        let notes = announcer.notes(&state, at(ms));
        assert!(notes.len() <= 10, "{} at {ms} ms", notes.len());
        for note in notes {
            let since = last.insert(note.engine, ms).map_or(0, |before| ms - before);
            assert!(since <= 5_000, "{since} ms");
        }
    }
    assert_eq!(last.len(), 240);
}

/// A new leader of 240 engines tells what its predecessor told last again only in turns: all
/// of it at once, to every daemon, overflowed its link, and it lost its leadership.
#[test]
fn a_new_leader_announces_only_what_its_predecessor_did_not() {
    let mut state = leader_of(240);
    let mut predecessor = Announcer::default();
    for note in predecessor.notes(&state, at(0)) {
        let announced = peers::decode_announcement(&note, at(0));
        state.fleet.record_announcement(&note.engine, announced);
    }
    let leader = LeaderId {
        host: "edge-2".into(),
        fence: 8,
    };
    state.placer = Some(Placer::new(leader, &Settings::default(), LoadHistory::None));
    state.decide_calls(at(500));
    let view = state.placer.as_mut().unwrap().views.get_mut("e007");
    view.unwrap().replicas.clear();
    let notes = Announcer::default().notes(&state, at(500));
    let engines: Vec<_> = notes.iter().map(|n| &*n.engine).collect();
    assert_eq!(engines, ["e007"]);
}

/// A new leader asks 240 engines for their report, few at a time.
#[test]
fn reports_are_fetched_a_few_at_a_time() {
    let entries = (0..240).map(|i| entry(&format!("e{i:03}"), 1_000 + i, &["m1"]));
    let mut fixture = PlacerFixture::new(entries.collect(), desired(&["m1"]));
    let mut reported = BTreeSet::new();
    for _ in 0..10 {
        let calls = fixture.step();
        assert!(calls.len() <= 48, "{}", calls.len());
        for call in calls {
            let EngineCall::Report(id) = call else {
                panic!("an order before the report");
            };
            fixture.report(&id, &report(&["m1"], 0));
            reported.insert(id);
        }
        fixture.advance(15);
    }
    assert_eq!(reported.len(), 240);
}

fn fleet_of_daemons(domains: &[(&str, u16)]) -> Members {
    let mut members = Members::default();
    let mut rows = Vec::new();
    for (domain, count) in domains {
        for i in 0..*count {
            let port = 1_000 + 10 * rows.len() as u16;
            let record = MemberRecord {
                incarnation: 1,
                callers: ([127, 0, 0, 1], port).into(),
                peers: ([127, 0, 0, 1], port + 1).into(),
                domain: (*domain).into(),
            };
            rows.push((Arc::<str>::from(format!("{domain}-{i}")), record));
        }
    }
    let hosts: Vec<Arc<str>> = rows.iter().map(|(host, _)| host.clone()).collect();
    members.update_records(rows, "own", at(0));
    for host in hosts {
        members.record_heartbeat(&host, 1, 1, at(0));
    }
    members
}

/// 117 daemons in six domains: the leader sends to its own domain and to two daemons of each
/// other one, which pass it on. Small domains get it directly.
#[test]
fn messages_to_all_cross_between_domains_a_few_times_only() {
    let members = fleet_of_daemons(&[("a", 19), ("b", 20), ("c", 20), ("d", 2)]);
    let plan = members.relay_plan("a", at(10));
    assert_eq!(plan.direct.len(), 19 + 2);
    assert_eq!(plan.relays.len(), 2 * 2);
    for domain in ["b", "c"] {
        let addrs = members.domain_addrs(domain, at(10));
        assert_eq!(addrs.len(), 20);
        assert_eq!(plan.relays.iter().filter(|a| addrs.contains(a)).count(), 2);
    }
    assert_eq!(
        members.relay_plan("a", at(5_000)).relays.len(),
        0,
        "all are silent"
    );
}

/// Every prompt of 117 daemons in a datagram of its own to each of them was most of all
/// datagrams: one daemon of each domain collects them.
#[test]
fn prompts_go_to_one_daemon_of_each_domain() {
    let mut members = fleet_of_daemons(&[("a", 19), ("b", 20), ("c", 20)]);
    for member in members.all.values_mut() {
        member.ready = true;
    }
    let addr = |members: &Members, host: &str| members.all[host].peers;
    let own = members.prompt_collectors("a-", "a", at(10));
    assert!(own.is_own, "the first of its domain");
    let expected = ["b-0", "c-0"].map(|host| addr(&members, host));
    assert_eq!(own.others, expected);
    let other = members.prompt_collectors("a-5x", "a", at(10));
    assert!(!other.is_own);
    assert_eq!(other.others.len(), 3);
    assert!(other.others.contains(&addr(&members, "a-0")));
    // One that is not ready does not collect.
    members.all.get_mut("b-0").unwrap().ready = false;
    let others = members.prompt_collectors("a-5x", "a", at(10)).others;
    assert!(others.contains(&addr(&members, "b-1")));
    // Alone in its domain.
    let alone = members.prompt_collectors("z-0", "z", at(10));
    assert!(alone.is_own && alone.others.len() == 3);
}

fn daemon_with_prompt(members: Members) -> State {
    let prompt = SentPrompt {
        engine: "e1".into(),
        target: "m1".into(),
        ..SentPrompt::default()
    };
    State {
        members,
        sent_prompts: vec![prompt],
        ..State::default()
    }
}

#[test]
fn prompts_are_relayed_in_large_deployments_only() {
    let mut reporter = Reporter::default();
    let mut small = daemon_with_prompt(fleet_of_daemons(&[("a", 8), ("b", 8)]));
    let direct = reporter.next_round(&mut small, None, None, at(10));
    assert_eq!(
        (direct.everyone.sent_prompts.len(), direct.relayed.len()),
        (1, 0)
    );
    assert!(direct.is_for_everyone());
    let mut large = daemon_with_prompt(fleet_of_daemons(&[("a", 60), ("b", 60)]));
    let relayed = reporter.next_round(&mut large, None, None, at(20));
    assert_eq!(
        (relayed.everyone.sent_prompts.len(), relayed.relayed.len()),
        (0, 1)
    );
    assert!(!relayed.is_for_everyone());
}

/// Guards against the speed of engines told by each host to each other in a large deployment.
#[test]
fn news_of_engines_take_the_way_of_prompts() {
    let news = EngineNews {
        lifetime: Lifetime::default(),
        report: EngineReport::default(),
        reported_at: at(0),
        ratio_percent: Some(100),
    };
    let mut reporter = Reporter::default();
    let mut notes = |daemons: u16| {
        let mut state = daemon_with_prompt(fleet_of_daemons(&[("a", daemons), ("b", daemons)]));
        state.engine_news.push(news.clone());
        let round = reporter.next_round(&mut state, None, None, at(10));
        (round.everyone.engine_news.len(), round.relayed_news.len())
    };
    assert_eq!(notes(8), (1, 0));
    assert_eq!(notes(60), (0, 1));
}

/// A passed-on prompt counts as a request of the daemon that sent it to the engine.
#[test]
fn a_relayed_prompt_counts_for_its_sender() {
    let mut state = leader_of(1);
    let note = PromptNote {
        engine: "e000".to_owned(),
        target: "m1".to_owned(),
        sender: "edge-3".to_owned(),
        ..PromptNote::default()
    };
    let packet = Packet {
        sent_prompts: vec![note],
        ..Packet::default()
    };
    state.apply_packet("edge-1", &"edge-2".into(), &packet, at(10));
    // The collector passes prompts on to the sender, too.
    state.apply_packet("edge-3", &"edge-2".into(), &packet, at(10));
    let loads = &state.fleet.engines["e000"].peer_loads;
    assert_eq!(loads.keys().map(|h| &**h).collect::<Vec<_>>(), ["edge-3"]);
    assert_eq!(state.fleet.engines["e000"].running(at(20)), 1);
}

/// Dozens of daemons repeat what waits there every 80 ms. The leader decides at once only
/// when a target is new.
#[test]
fn repeated_reports_of_waits_need_no_new_decision() {
    let mut leader = leader_of(1);
    let report = |targets: &[&str]| {
        let note = |target: &&str| WaitingNote {
            service: SERVICE.to_owned(),
            target: (*target).to_owned(),
            count: 1,
            ..WaitingNote::default()
        };
        Packet {
            waiting: Some(WaitingReport {
                targets: targets.iter().map(note).collect(),
            }),
            ..Packet::default()
        }
    };
    let host: Arc<str> = "edge-9".into();
    let mut waits_anew = |targets: &[&str], ms| {
        let effects = leader.apply_packet("edge-1", &host, &report(targets), at(ms));
        effects.waits_anew
    };
    assert!(waits_anew(&["m1/a1"], 0));
    assert!(!waits_anew(&["m1/a1"], 80));
    assert!(waits_anew(&["m1/a1", "m1/a2"], 160));
    assert!(!waits_anew(&["m1/a2"], 240));
    assert!(!waits_anew(&[], 320));
    assert!(waits_anew(&["m1/a2"], 400));
    assert_eq!(leader.total_waiting(at(410)).len(), 1);
}
