//! Reports of engines on their load, and what they mean for the time that work takes.

use std::collections::BTreeSet;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use mastichinge::clock::Moment;
use mastichinge::edge::demand::ModelKey;
use mastichinge::edge::engine_load::{EngineNews, EnginePace, EngineReport, FirstEvent};
use mastichinge::edge::gossip::Packet;
use mastichinge::edge::state::State;
use mastichinge::edge::upstream::Lifetime;
use mastichinge::platform::headers;
use test_case::test_case;

use crate::fixtures::entry;

fn at(ms: u64) -> Moment {
    Moment::from_millis(50_000 + ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn slow(percent: u32) -> EngineReport {
    EngineReport {
        slots: 64,
        slowness_percent: Some(percent),
        ..EngineReport::default()
    }
}

/// Figures of a report: running, waiting, slots, and the slowness in percent.
/// Running and waiting requests, slots, and slowness.
type Figures = (u32, u32, u32, Option<u32>);

/// Guards against a header that cannot be read: half of one would be taken for the load.
#[test_case(&["3,1,8"], Ok(Some((3, 1, 8, None))); "three figures")]
#[test_case(&["3, 1, 8, 250"], Ok(Some((3, 1, 8, Some(250)))); "four figures")]
#[test_case(&[], Ok(None); "none")]
#[test_case(&["3,1"], Err(()); "two figures")]
#[test_case(&["3,1,8,100,1"], Err(()); "five figures")]
#[test_case(&["3,1,8,fast"], Err(()); "a word")]
#[test_case(&["3,1,8,-1"], Err(()); "a negative figure")]
#[test_case(&["3,1,8", "4,1,8"], Err(()); "two headers")]
fn a_report_has_three_or_four_figures(
    values: &[&'static str],
    expected: Result<Option<Figures>, ()>,
) {
    let mut map = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_static(value);
        map.append("x-mastichinge-server-load", value);
    }
    let report = headers::engine_report(&map).map_err(|_| ());
    let figures = |r: EngineReport| (r.running, r.waiting, r.slots, r.slowness_percent);
    assert_eq!(report.map(|r| r.map(figures)), expected);
}

/// Guards against noisy neighbours: requests went on to a machine that said it is slow, and
/// stayed away from it after that was over.
#[test]
fn an_engine_with_a_noisy_neighbour_is_left_and_comes_back() {
    let mut pace = EnginePace::default();
    pace.record_report(slow(100), at(0));
    pace.record_report(slow(250), at(1_000));
    assert_eq!(pace.time_for(ms(100), at(1_000)), ms(250));
    // A slow stretch ends before long work does.
    assert_eq!(pace.time_for(ms(2_000), at(1_000)), ms(2_180));
    // An old value counts less, and soon not at all.
    assert_eq!(pace.time_for(ms(100), at(1_300)), ms(175));
    assert_eq!(pace.time_for(ms(100), at(1_600)), ms(100));
    pace.record_report(slow(100), at(1_700));
    // A note that was delayed is older than what is known.
    pace.record_report(slow(250), at(1_650));
    assert_eq!(pace.time_for(ms(100), at(1_700)), ms(100));
}

/// Guards against slow and fast engines of one service taken for equal, and slow moments taken
/// for a slow engine.
#[test_case(55; "fast")]
#[test_case(120; "slow")]
fn the_lasting_speed_is_known_without_slow_moments(usual: u32) {
    let mut pace = EnginePace::default();
    for i in 0..20 {
        let now = at(i * 700);
        let percent = if i % 4 == 0 { usual * 5 / 2 } else { usual };
        pace.record_report(slow(percent), now);
        pace.record_ratio(f64::from(percent) / 100.0, Some(percent), now);
    }
    let lasting = pace.lasting(at(20_000)) * 100.0;
    assert!((lasting - f64::from(usual)).abs() < 1.0, "{lasting}");
}

/// Guards against an engine that is slower than it says, because of what it has to read: that
/// is learnt from first events, and forgotten in a time without requests.
#[test]
fn what_reports_do_not_explain_is_learnt_and_forgotten() {
    let mut pace = EnginePace::default();
    for i in 0..60 {
        pace.record_report(slow(120), at(i * 20));
        pace.record_ratio(2.4, Some(120), at(i * 20));
    }
    assert!((2.2..2.5).contains(&pace.lasting(at(1_200))));
    assert!((1.2..1.25).contains(&pace.lasting(at(61_200))));
}

/// Guards against a header that lies: an engine that always says it is slow, or never, gets as
/// many requests as its first events deserve.
#[test_case(600; "always slow")]
#[test_case(u32::MAX; "beyond all bounds")]
#[test_case(10; "always fast")]
#[test_case(0; "no time at all")]
fn a_constant_lie_is_corrected_by_first_events(percent: u32) {
    let mut pace = EnginePace::default();
    for _ in 0..100 {
        pace.record_report(slow(percent), at(0));
        pace.record_ratio(1.0, Some(percent), at(0));
    }
    let time = pace.time_for(ms(100), at(0));
    assert!((ms(50)..=ms(200)).contains(&time), "{time:?}");
}

fn state() -> State {
    let mut state = State::default();
    let entries = vec![entry("e", 1, &["m"])];
    state
        .fleet
        .update_entries(entries, &BTreeSet::new(), None, at(0));
    state
}

fn lifetime(state: &State) -> Lifetime {
    Lifetime {
        engine: "e".into(),
        incarnation: state.fleet.engines["e"].entry.incarnation,
    }
}

fn first_event(state: &mut State, measured: u64) {
    let key = ModelKey::new(&"s".into(), &"m".into());
    let event = FirstEvent {
        predicted: ms(100),
        usual: ms(100),
        measured: ms(measured),
    };
    state.record_first_event(key, &"e".into(), event, at(20));
}

/// Guards against hosts that each hear an engine too rarely to learn its speed: first events at
/// one host teach all, each once.
#[test]
fn a_first_event_at_one_host_teaches_all() {
    let (mut teller, mut learner) = (state(), state());
    let life = lifetime(&teller);
    assert!(!teller.record_engine_report(&life, slow(100), at(10)));
    assert!(teller.record_engine_report(&life, slow(250), at(1_000)));
    first_event(&mut teller, 500);
    let notes: Vec<_> = teller
        .engine_news
        .iter()
        .map(|n| n.note(at(1_030)))
        .collect();
    assert_eq!(notes.len(), 2);
    let packet = Packet {
        engine_news: notes,
        ..Packet::default()
    };
    learner.apply_packet("own", &"edge-1".into(), &packet, at(1_040));
    let pace = |state: &State| state.fleet.engines["e"].pace;
    assert!(pace(&learner).lasting(at(1_040)) > 1.05);
    assert!(pace(&learner).expected_percent(at(1_040)) > 200.0);
    // A host gets its own notes back from the one that passes them on.
    let mut packet = packet;
    for note in &mut packet.engine_news {
        note.sender = "own".to_owned();
    }
    let before = pace(&learner);
    learner.apply_packet("own", &"edge-1".into(), &packet, at(1_050));
    assert_eq!(pace(&learner), before);
    // A note about an earlier lifetime says nothing of this one.
    let mut news = EngineNews::decode(&packet.engine_news[1], at(1_060));
    news.lifetime.incarnation += 1;
    learner.apply_news(&news, at(1_060));
    assert_eq!(pace(&learner), before);
}

/// Guards against a change for engines that do not report their slowness: the host's own
/// average decides, and nothing is told.
#[test]
fn three_figures_leave_decisions_as_they_were() {
    let mut state = state();
    let life = lifetime(&state);
    let report = EngineReport {
        slowness_percent: None,
        ..slow(0)
    };
    assert!(!state.record_engine_report(&life, report, at(10)));
    first_event(&mut state, 500);
    assert!(state.engine_news.is_empty());
    let engine = &state.fleet.engines["e"];
    let expected = ms(100).mul_f64(engine.slowdown.factor(at(20)));
    assert!(expected > ms(130));
    assert_eq!(engine.reading_times(ms(100), 0, at(20)), (ms(0), expected));
}
