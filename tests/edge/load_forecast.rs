//! More sleeping models are asked for than the weight store can load in time: which are
//! loaded first, and which requests are refused at once.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::admission::{AdmissionDecision, TimeBudget};
use mastichinge::edge::load_forecast::LoadForecast;
use mastichinge::edge::placement::ModelTarget;
use mastichinge::edge::routing::Selection;
use mastichinge::edge::settings::AdmissionSettings;
use mastichinge::edge::state::State;

use crate::fixtures::{PlacerFixture, SERVICE, desired, entry};

const LOAD: Duration = Duration::from_secs(10);

fn at(s: u64) -> Moment {
    Moment::from_secs(100 + s)
}

fn name(index: usize) -> Arc<str> {
    format!("m{index}").into()
}

/// Four loads run at a time. Nine models are asked for at once: four are ready after one
/// load time, four after two, and the ninth after three.
#[test]
fn queued_loads_are_ready_after_those_before_them() {
    let queued = (0..9).map(|i| (name(i), LOAD)).collect();
    let forecast = LoadForecast::new(Vec::new(), queued, 4, at(0));
    let ready: Vec<_> = (0..9).map(|i| forecast.ready[&name(i)]).collect();
    let expected = [10, 10, 10, 10, 20, 20, 20, 20, 30].map(at);
    assert_eq!(ready, expected);
    assert_eq!(forecast.next_start, at(20));
    assert_eq!(
        forecast.ready_in("m8", LOAD, at(12)),
        Duration::from_secs(18)
    );
    assert_eq!(
        forecast.ready_in("other", LOAD, at(12)),
        Duration::from_secs(18)
    );
    assert_eq!(forecast.ready_in("m0", LOAD, at(12)), Duration::ZERO);
}

#[test]
fn running_loads_keep_their_places_until_they_end() {
    let running = (0..4).map(|i| (name(i), at(3 + i as u64))).collect();
    let queued = vec![(name(4), LOAD), (name(5), LOAD)];
    let forecast = LoadForecast::new(running, queued, 4, at(0));
    assert_eq!(forecast.ready[&name(0)], at(3));
    assert_eq!(forecast.ready[&name(4)], at(13));
    assert_eq!(forecast.ready[&name(5)], at(14));
    assert_eq!(forecast.next_start, at(5));
    // Six loads run, two more than at full speed: two must end before another starts.
    let running = (0..6).map(|i| (name(i), at(1 + i as u64))).collect();
    let forecast = LoadForecast::new(running, Vec::new(), 4, at(0));
    assert_eq!(forecast.next_start, at(3));
    // Nothing runs.
    let forecast = LoadForecast::new(Vec::new(), Vec::new(), 4, at(0));
    assert_eq!(forecast.ready_in("other", LOAD, at(0)), LOAD);
}

/// A caller that leaves after 12 s is not held for a model that is ready after 20 s: it is
/// refused at once and told when to come back.
#[test]
fn a_request_whose_load_is_queued_too_far_behind_is_refused_at_once() {
    let selection = |ready_in| Selection::NotLoaded {
        paused: BTreeSet::new(),
        target: ModelTarget {
            service: SERVICE.into(),
            model: name(8),
            adapter: None,
            software: None,
        },
        load_time: LOAD,
        ready_in: Some(Duration::from_secs(ready_in)),
    };
    let budget = TimeBudget {
        waited: Duration::ZERO,
        event_left: Duration::from_secs(12),
        left: Duration::from_secs(17),
        objective_left: Duration::from_secs(3),
        objective: Duration::from_secs(3),
    };
    let limits = AdmissionSettings::default();
    let refused = budget.decide(selection(20), &limits);
    let AdmissionDecision::Refuse {
        retry_after, load, ..
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert!(
        load.is_some(),
        "the load stays queued for the caller's return"
    );
    assert!(retry_after > Duration::from_secs(5) && retry_after < Duration::from_secs(6));
    // Having waited does not make the load end sooner.
    let waited = TimeBudget {
        waited: Duration::from_secs(9),
        event_left: Duration::from_secs(3),
        ..budget
    };
    assert!(matches!(
        waited.decide(selection(8), &limits),
        AdmissionDecision::Refuse { .. }
    ));
    let soon = budget.decide(selection(11), &limits);
    assert!(matches!(soon, AdmissionDecision::WaitForLoad(_)));
}

/// What a refused caller needs stays queued until it has come back.
#[test]
fn a_target_stays_listed_until_its_refused_caller_returns() {
    let target = ModelTarget {
        service: SERVICE.into(),
        model: name(1),
        adapter: None,
        software: None,
    };
    let mut state = State::default();
    assert!(state.expect_retry(target.clone(), 1, at(6), at(0)));
    assert!(!state.expect_retry(target, 1, at(5), at(1)));
    state.drop_idle_waits(at(6));
    assert_eq!(state.waiting.len(), 1);
    state.drop_idle_waits(at(8));
    assert!(state.waiting.is_empty());
}

fn planned(fixture: &PlacerFixture) -> Vec<&str> {
    let tasks = fixture
        .placer
        .views
        .values()
        .filter_map(|v| v.task.as_ref());
    tasks.map(|t| &*t.model).collect()
}

/// Four loads run at a time, of which prefetches leave one to requests. Of the models that
/// are waited for, the one that was waited for longest goes next; a more urgent one goes
/// before it.
#[test]
fn the_longest_waited_for_model_is_loaded_next() {
    let names: Vec<_> = (0..8).map(|i| format!("m{i}")).collect();
    let names: Vec<_> = names.iter().map(|n| &**n).collect();
    let entries = (0..8).map(|i| entry(&format!("e{i}"), 10 + i, &[]));
    let mut fixture = PlacerFixture::new(entries.collect(), desired(&names));
    fixture.step();
    assert_eq!(planned(&fixture).len(), 3, "prefetches");
    for model in ["m7", "m6", "m5"] {
        fixture.add_waiting(model, None);
        fixture.step();
        fixture.advance(50);
    }
    assert_eq!(planned(&fixture).len(), 4);
    assert!(planned(&fixture).contains(&"m7"));
    let ready = |fixture: &PlacerFixture, model: &str| {
        fixture.placer.load_forecasts()[SERVICE].ready[model]
    };
    fixture.step();
    assert!(ready(&fixture, "m6") <= ready(&fixture, "m5"));
    assert!(ready(&fixture, "m6") > ready(&fixture, "m7"));
    fixture.add_waiting("m4", None);
    for (target, requests) in &mut fixture.waiting {
        requests.priority = u8::from(&*target.model != "m4");
    }
    fixture.step();
    assert!(ready(&fixture, "m4") <= ready(&fixture, "m6"));
}
