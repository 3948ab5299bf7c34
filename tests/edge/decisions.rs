//! Unit tests of single decisions: event decoding, engine choice, members, demand.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::demand::{DemandMeter, ModelKey};
use mastichinge::edge::desired::{Route, RouteKind, WeightedService};
use mastichinge::edge::events::{EndPlace, EventDecoder};
use mastichinge::edge::members::{ALIVE_TIMEOUT, MemberRecord, Members};
use mastichinge::edge::prefix_cache::PrefixCache;
use mastichinge::edge::request_headers::{Prompt, PromptPart};
use mastichinge::edge::routing::{EngineCandidate, EngineSlowdown, PrefillQueue, best_candidate};
use proptest::prelude::*;
use test_case::test_case;

fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The decoder yields whole events however the stream is split into packets, and
    /// the rest is what follows the last event.
    #[test]
    fn events_are_decoded_whole(
        ids in proptest::collection::vec(0u64..1_000, 0..20),
        crlf in any::<bool>(),
        cuts in proptest::collection::vec(1usize..40, 1..60),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let mut text = String::new();
        for id in &ids {
            text.push_str(&format!("id: {id}{end}data: a b{end}data: c{end}{end}"));
        }
        let whole = text.len();
        text.push_str("id: 5");
        let mut decoder = EventDecoder::default();
        let (mut seen, mut bytes) = (Vec::new(), Vec::new());
        let (mut rest, mut sizes) = (text.as_bytes(), cuts.iter().cycle());
        while !rest.is_empty() {
            let (piece, after) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
            prop_assert!(decoder.push(piece));
            rest = after;
            while let Some(event) = decoder.next_event() {
                seen.push(event.id.unwrap());
                bytes.extend_from_slice(&event.bytes);
            }
        }
        prop_assert_eq!(seen, ids);
        prop_assert_eq!(bytes, &text.as_bytes()[..whole]);
        prop_assert_eq!(&decoder.take_rest()[..], b"id: 5");
    }
}

/// Guards against ORDER: a stream counts as ended between events only where none has begun,
/// and as one with events only after one that is more than a comment.
#[test_case("", EndPlace::BeforeEvents; "nothing")]
#[test_case("\n", EndPlace::BeforeEvents; "an empty line")]
#[test_case(": ping\n\n", EndPlace::BeforeEvents; "a comment alone")]
#[test_case("data: 1\n\n", EndPlace::BetweenEvents; "after an event")]
#[test_case("data: 1\n\n\r\n", EndPlace::BetweenEvents; "after an empty line")]
#[test_case("data: 1\r\n\r\n: ping\n", EndPlace::BetweenEvents; "after a comment")]
#[test_case("data: 1\n\n: pi", EndPlace::InsideEvent; "in a comment")]
#[test_case("data: 1\n\nd", EndPlace::InsideEvent; "in a line")]
#[test_case("data: 1\n\n: ping\ndata: 2\n", EndPlace::InsideEvent; "without the empty line")]
#[test_case("data: 1\n", EndPlace::InsideEvent; "in the first event")]
fn the_end_of_a_stream_is_judged_by_its_events(text: &str, place: EndPlace) {
    let mut decoder = EventDecoder::default();
    assert!(decoder.push(text.as_bytes()));
    while decoder.next_event().is_some() {}
    assert_eq!(decoder.end_place(), place);
}

fn candidate(backlog: u64, prompt: u64) -> EngineCandidate {
    EngineCandidate {
        slots: 8,
        backlog: ms(backlog),
        prefill: ms(prompt),
        slot_time: ms(1_000),
        same_domain: true,
        ..EngineCandidate::default()
    }
}

/// Prompts share a prefix. The engine that has it cached is preferred as long as its
/// backlog is shorter than the prefill time that the cache saves.
#[test]
fn a_cached_prefix_attracts_requests_until_the_wait_exceeds_the_saving() {
    let engines = |backlog| [candidate(backlog, 70), candidate(0, 230)];
    assert_eq!(best_candidate(&engines(100)), Some(0));
    assert_eq!(best_candidate(&engines(200)), Some(1));
}

#[test]
fn full_failing_and_remote_engines_are_chosen_last() {
    let full = EngineCandidate {
        running: 8,
        ..candidate(0, 50)
    };
    let failing = EngineCandidate {
        failures: 1.0,
        ..candidate(0, 50)
    };
    let remote = EngineCandidate {
        same_domain: false,
        ..candidate(0, 50)
    };
    assert_eq!(
        best_candidate(&[full, failing, remote, candidate(0, 50)]),
        Some(3)
    );
    assert_eq!(best_candidate(&[full, failing, remote]), Some(2));
    assert_eq!(best_candidate(&[full, failing]), Some(0));
    assert_eq!(best_candidate(&[]), None);
}

/// An engine that is slow for some seconds is detected from a few first events, and is
/// used again after a time without requests.
#[test]
fn a_slow_engine_is_detected_by_its_first_events_and_recovers() {
    let mut slowdown = EngineSlowdown::default();
    assert_eq!(slowdown.factor(at(0)), 1.0);
    for i in 0..8 {
        let predicted = ms(100).mul_f64(slowdown.factor(at(i * 200)));
        slowdown.record(predicted, ms(500), at(i * 200));
    }
    let slow = slowdown.factor(at(1_500));
    assert!((3.0..5.0).contains(&slow), "{slow}");
    assert!(slowdown.factor(at(60_000)) < 1.1);
    // Times too short to measure are ignored.
    let mut quick = EngineSlowdown::default();
    quick.record(ms(1), ms(30), at(0));
    assert_eq!(quick.factor(at(0)), 1.0);
}

#[test]
fn a_prompt_part_counts_as_cached_only_if_all_parts_before_it_are() {
    let part = |id, tokens| PromptPart { id, tokens };
    let prompt = |parts| Prompt {
        model: "m".into(),
        parts,
        ..Prompt::default()
    };
    let first = prompt(vec![part(1, 100), part(2, 200), part(3, 50)]);
    let mut cache = PrefixCache::default();
    let keys = |p: &Prompt| p.prefix_keys().into_iter().map(|(key, _)| key);
    cache.record(keys(&first), 350);
    let second = prompt(vec![part(1, 100), part(2, 200), part(9, 80)]);
    assert_eq!(cache.cached_tokens(&second.prefix_keys(), 1_000), 300);
    let other = prompt(vec![part(7, 100), part(2, 200), part(9, 80)]);
    assert_eq!(cache.cached_tokens(&other.prefix_keys(), 1_000), 0);
    let adapter = Prompt {
        adapter: Some("a1".into()),
        ..second.clone()
    };
    assert_eq!(cache.cached_tokens(&adapter.prefix_keys(), 1_000), 0);
    // Evicted by what the engine has read since.
    cache.record([77], 600);
    assert_eq!(cache.cached_tokens(&second.prefix_keys(), 1_000), 300);
    cache.record([78], 200);
    assert_eq!(cache.cached_tokens(&second.prefix_keys(), 1_000), 0);
}

/// A burst at one engine: the backlog shrinks as time passes and as first events show
/// which prompts were read, also those of other daemons.
#[test]
fn the_backlog_covers_the_prompts_not_yet_read() {
    let mut queue = PrefillQueue::default();
    queue.push(Some(1), 0, ms(100), at(0));
    queue.push(None, 0, ms(200), at(20));
    queue.push(Some(2), 0, ms(50), at(30));
    assert_eq!(queue.backlog(at(30)), ms(320));
    assert_eq!(queue.backlog(at(130)), ms(220));
    // The first is read early; the third is cancelled.
    queue.mark_read(1, at(60));
    assert_eq!(queue.backlog(at(60)), ms(250));
    queue.remove(2);
    assert_eq!(queue.backlog(at(60)), ms(200));
    assert_eq!(queue.backlog(at(400)), ms(0));
    // An idle engine starts at once.
    queue.push(Some(3), 0, ms(40), at(5_000));
    assert_eq!(queue.backlog(at(5_000)), ms(40));
}

#[test]
fn demand_decays_and_slow_models_weigh_more() {
    let key = ModelKey {
        service: "s".into(),
        model: "m".into(),
    };
    let mut meter = DemandMeter::default();
    for i in 0..100 {
        meter.record_request(key.clone(), ms(50), i % 2 == 0, at(i * 200));
    }
    let demand = meter.current_demand(at(20_000))[0].1;
    assert!((4.0..6.0).contains(&demand.rate), "{demand:?}");
    assert!((0.2..0.3).contains(&demand.work), "{demand:?}");
    let tight_share = demand.tight / demand.rate;
    assert!((0.45..0.55).contains(&tight_share), "{demand:?}");
    assert!(meter.current_demand(at(400_000)).is_empty());
    // Predictions adapt to a model twice as slow as configured.
    for _ in 0..100 {
        let predicted = ms(100).mul_f64(meter.slowdown(&key));
        meter.record_first_event(key.clone(), predicted, ms(200));
    }
    assert!((1.9..2.1).contains(&meter.slowdown(&key)));
}

#[test]
fn a_route_splits_requests_by_weight() {
    let target = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Once,
        timeout: ms(1_000),
        objective: ms(100),
        priority: 0,
        targets: vec![target("a", 90.0), target("b", 10.0)],
        attempts: 1,
        resumable: false,
        gap: ms(100),
        public: false,
    };
    assert_eq!(route.choose_service(0.0).map(|s| &**s), Some("a"));
    assert_eq!(route.choose_service(0.89).map(|s| &**s), Some("a"));
    assert_eq!(route.choose_service(0.91).map(|s| &**s), Some("b"));
    assert_eq!(route.choose_service(1.0).map(|s| &**s), Some("b"));
}

fn member_record(port: u16) -> MemberRecord {
    MemberRecord {
        incarnation: 10,
        callers: ([127, 0, 0, 1], port).into(),
        peers: ([127, 0, 0, 1], port + 1).into(),
        domain: "north".into(),
    }
}

fn members() -> Members {
    let record = member_record;
    let mut members = Members::default();
    let rows = vec![
        ("edge-1".into(), record(100)),
        ("edge-2".into(), record(200)),
        ("edge-3".into(), record(300)),
    ];
    members.update_records(rows, "edge-1", at(0));
    members
}

#[test]
fn a_daemon_is_alive_while_heartbeats_arrive_and_old_packets_are_ignored() {
    let mut members = members();
    assert_eq!(
        members.alive_members(at(0)).count(),
        0,
        "a row does not prove a daemon alive"
    );
    assert!(members.record_heartbeat("edge-2", 10, 5, at(0)).is_some());
    assert!(
        members.record_heartbeat("edge-2", 10, 4, at(10)).is_none(),
        "an older packet"
    );
    assert!(
        members.record_heartbeat("edge-2", 9, 90, at(20)).is_none(),
        "an older incarnation"
    );
    assert!(
        members
            .record_heartbeat("stranger", 10, 1, at(20))
            .is_none()
    );
    assert_eq!(members.alive_members(at(500)).count(), 1);
    assert_eq!(members.alive_members(at(0) + ALIVE_TIMEOUT).count(), 0);
    assert!(
        members
            .record_heartbeat("edge-2", 11, 1, at(2_000))
            .is_some(),
        "it restarted"
    );
}

/// Guards against a host that is left out for good: its clock went back before its process started
/// again, so that its heartbeats looked older than those of the process before.
#[test]
fn a_daemon_that_has_started_again_with_an_earlier_clock_is_alive() {
    let mut members = members();
    let restarted = || {
        let record = MemberRecord {
            incarnation: 9,
            ..member_record(200)
        };
        vec![("edge-2".into(), record)]
    };
    members.record_heartbeat("edge-2", 10, 5, at(0));
    members.update_records(restarted(), "edge-1", at(100));
    assert!(members.record_heartbeat("edge-2", 9, 1, at(200)).is_none());
    assert!(
        !members.is_doubtful("edge-2", 9, at(200)),
        "the other lives"
    );
    assert!(
        members
            .record_heartbeat("edge-2", 9, 2, at(2_000))
            .is_none()
    );
    assert!(members.is_doubtful("edge-2", 9, at(2_000)));
    members.update_records(restarted(), "edge-1", at(2_000));
    assert!(
        members
            .record_heartbeat("edge-2", 9, 3, at(2_100))
            .is_some()
    );
    assert_eq!(members.alive_members(at(2_100)).count(), 1);
}

#[test]
fn a_daemon_shares_the_limits_until_its_use_has_left_the_window() {
    let mut members = members();
    assert_eq!(
        members.share_count(at(0)),
        3,
        "listed daemons count from the start"
    );
    members.record_heartbeat("edge-2", 10, 1, at(0));
    members.record_heartbeat("edge-3", 10, 1, at(0));
    assert_eq!(members.share_count(at(12_000)), 3);
    assert_eq!(members.share_count(at(16_000)), 1);
}

#[test]
fn entry_responses_list_ready_daemons_only() {
    let mut members = members();
    members
        .record_heartbeat("edge-2", 10, 1, at(0))
        .unwrap()
        .ready = true;
    members
        .record_heartbeat("edge-3", 10, 1, at(0))
        .unwrap()
        .ready = false;
    let own = ([127, 0, 0, 1], 100).into();
    let other = ([127, 0, 0, 1], 200).into();
    assert_eq!(members.entry_addrs(Some(own), at(10)), [own, other]);
    assert_eq!(members.entry_addrs(None, at(10)), [other]);
}
