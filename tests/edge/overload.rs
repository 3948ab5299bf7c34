//! Admission control under overload: which requests are sent, held or refused.

use std::collections::BTreeSet;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::admission::{AdmissionDecision, TimeBudget, silence_limit};
use mastichinge::edge::demand::{DemandMeter, ModelKey};
use mastichinge::edge::desired::{Route, RouteKind};
use mastichinge::edge::placement::ModelTarget;
use mastichinge::edge::request_headers::{Prompt, PromptPart};
use mastichinge::edge::routing::{self, SelectedEngine, Selection};
use mastichinge::edge::settings::{AdmissionSettings, EngineSettings};
use mastichinge::edge::state::State;
use mastichinge::error::Kind as ErrorKind;

use crate::fixtures::{SERVICE, entry};

const LIMITS: AdmissionSettings = AdmissionSettings {
    sure_part: 0.4,
    slack_ms: 150,
    reserve_ms: 500,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn budget(event_left: u64, left: u64) -> TimeBudget {
    TimeBudget {
        waited: ms(0),
        event_left: ms(event_left),
        left: ms(left),
        objective_left: ms(800),
        objective: ms(800),
    }
}

fn selected_after(first: u64) -> Selection {
    selected_with_backlog(0, first)
}

fn selected_with_backlog(backlog: u64, first: u64) -> Selection {
    Selection::Engine(SelectedEngine {
        engine: "e1".into(),
        software: "v1".into(),
        addr: ([10, 0, 0, 1], 1).into(),
        prefill_time: ms(100),
        uncached: 4_000,
        backlog: ms(backlog),
        first_event: ms(first),
        usual: ms(first),
        priority: 0,
    })
}

fn loaded_after(load_time: u64) -> Selection {
    Selection::NotLoaded {
        paused: BTreeSet::new(),
        target: ModelTarget {
            service: "s".into(),
            model: "m".into(),
            adapter: None,
            software: None,
        },
        load_time: ms(load_time),
        ready_in: None,
    }
}

fn retry_delay(decision: AdmissionDecision) -> Option<Duration> {
    match decision {
        AdmissionDecision::Refuse {
            kind: ErrorKind::DeadlineUnreachable,
            retry_after,
            ..
        } => Some(retry_after),
        _ => None,
    }
}

/// With a backlog of seconds at the engine, a request without time for it is refused
/// at once, with a retry delay after which the backlog is gone.
#[test]
fn a_request_that_cannot_start_in_time_is_refused_with_a_retry_delay() {
    let sent = |decision| matches!(decision, AdmissionDecision::Send(_));
    assert!(sent(
        budget(3_200, 6_000).decide(selected_after(500), &LIMITS)
    ));
    // Predictions miss by up to a factor of 2.5, so this one is still sent.
    assert!(sent(
        budget(3_200, 20_000).decide(selected_after(6_000), &LIMITS)
    ));
    let later = retry_delay(budget(3_200, 60_000).decide(selected_after(10_000), &LIMITS));
    assert_eq!(later, Some(ms(9_600)), "a retry then meets its objective");
    // Callers honour no delay above a third of the time they have left.
    let capped = retry_delay(budget(3_200, 6_000).decide(selected_after(10_000), &LIMITS));
    assert_eq!(capped, Some(ms(2_000)));
}

/// When a burst fills an engine's queue, a request that misses its objective anyway
/// is held for those that can still meet theirs, but is sent before its caller gives
/// up.
#[test]
fn a_late_request_is_held_until_the_queue_is_short_or_it_must_be_sent() {
    let decide = |event_left, selection| budget(event_left, 6_000).decide(selection, &LIMITS);
    let sent = |decision| matches!(decision, AdmissionDecision::Send(_));
    assert!(
        sent(decide(3_200, selected_with_backlog(600, 700))),
        "it meets its objective"
    );
    assert_eq!(
        decide(3_200, selected_with_backlog(900, 1_000)),
        AdmissionDecision::Hold
    );
    assert!(
        sent(decide(3_200, selected_with_backlog(100, 1_000))),
        "the queue is short"
    );
    assert!(
        sent(decide(1_400, selected_with_backlog(900, 1_000))),
        "its caller is about to give up"
    );
}

#[test]
fn a_request_whose_caller_gives_up_before_the_load_ends_is_refused_at_once() {
    let waits = |decision| matches!(decision, AdmissionDecision::WaitForLoad(_));
    assert!(waits(
        budget(3_200, 15_000).decide(loaded_after(1_200), &LIMITS)
    ));
    let later = budget(3_200, 15_000).decide(loaded_after(6_000), &LIMITS);
    // The load has to start anyway, or no retry would find the model loaded.
    assert!(
        matches!(&later, AdmissionDecision::Refuse { load: Some(target), .. } if &*target.model == "m")
    );
    assert_eq!(retry_delay(later), Some(ms(5_000)));
    // The time already waited counts towards the load.
    let waited = TimeBudget {
        waited: ms(4_000),
        ..budget(3_200, 15_000)
    };
    assert!(waits(waited.decide(loaded_after(6_000), &LIMITS)));
    // The retry delay has a minimum.
    let soon = retry_delay(budget(10, 15_000).decide(loaded_after(10), &LIMITS));
    assert_eq!(soon, Some(ms(50)));
}

fn stream() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Stream,
        timeout: ms(6_000),
        objective: ms(300),
        priority: 0,
        targets: Vec::new(),
        attempts: 1,
        resumable: false,
        gap: ms(100),
        public: false,
    }
}

#[test]
fn the_silence_limit_follows_objective_and_pause_and_holds_for_streams_only() {
    let mut route = stream();
    assert_eq!(silence_limit(&route), ms(2_000));
    route.gap = ms(400);
    assert_eq!(silence_limit(&route), ms(3_200));
    route.objective = ms(3_000);
    assert_eq!(silence_limit(&route), ms(12_000));
    route.kind = RouteKind::Once;
    assert_eq!(silence_limit(&route), Duration::MAX);
}

/// A long stream whose engine dies is resumed at another engine, although the request
/// is older than the time that callers wait for a first event.
#[test]
fn a_stream_that_breaks_late_can_be_resumed() {
    let route = stream();
    let new = TimeBudget::new(&route, ms(100), ms(40), ms(5_900), false);
    assert_eq!((new.event_left, new.objective_left), (ms(1_900), ms(200)));
    let old = TimeBudget::new(&route, ms(4_000), ms(50), ms(2_000), true);
    assert_eq!(old.event_left, ms(1_950));
    let sent = |decision| matches!(decision, AdmissionDecision::Send(_));
    assert!(sent(old.decide(selected_with_backlog(400, 500), &LIMITS)));
    let first = TimeBudget::new(&route, ms(4_000), ms(50), ms(2_000), false);
    assert!(retry_delay(first.decide(selected_with_backlog(400, 500), &LIMITS)).is_some());
}

/// Short prompts with long answers fill engines of 12 slots while they read hardly anything:
/// a request takes one of few slots for its whole answer.
#[test]
fn demand_counts_the_slot_that_an_answer_takes() {
    let engines = EngineSettings::default();
    let prompt = Prompt {
        model: "m".into(),
        input_tokens: 387,
        output_tokens: 280,
        ..Prompt::default()
    };
    let key = ModelKey::new(&"s".into(), &"m".into());
    let work = |slots| {
        let mut meter = DemandMeter::default();
        let now = Moment::from_secs(1);
        meter.record_prompt(key.clone(), &prompt, &engines, slots, true, now);
        meter.current_demand(now)[0].1.work
    };
    // 10 ms of reading; an answer of 280 steps of 5.47 ms in one of 12 slots, of which 0.6
    // counts, or in a batch of which it is a small part.
    let ratio = work(12) / work(64);
    assert!((2.2..2.4).contains(&ratio), "{ratio}");
    assert_eq!(work(64), work(256));
    assert_eq!(work(0), work(256), "unknown");
}

/// Drafts share most of their prompt, but few shared parts stay cached where many are in use:
/// what an engine has to read again counts as demand for the model.
#[test]
fn demand_counts_the_shared_parts_that_an_engine_reads_again() {
    let part = |id, tokens| PromptPart { id, tokens };
    let prompt = Prompt {
        model: "m1".into(),
        parts: vec![part(1, 6_300), part(2, 2_890)],
        input_tokens: 9_190,
        ..Prompt::default()
    };
    let work = |uncached: u32| {
        let mut state = State::default();
        let now = Moment::from_secs(1);
        let entries = vec![entry("e1", 1, &["m1"])];
        state
            .fleet
            .update_entries(entries, &BTreeSet::new(), None, now);
        let choice = SelectedEngine {
            engine: "e1".into(),
            software: "v1".into(),
            addr: ([10, 0, 0, 1], 1).into(),
            prefill_time: routing::prefill_time(uncached, &EngineSettings::default()),
            uncached,
            backlog: Duration::ZERO,
            first_event: Duration::ZERO,
            usual: Duration::ZERO,
            priority: 0,
        };
        let key = ModelKey::new(&SERVICE.into(), &"m1".into());
        let arrival = Duration::ZERO;
        state.meter.record_request(key.clone(), arrival, true, now);
        state.begin_request(&choice, Some(&prompt), now);
        state.total_demand(now)[&key].work
    };
    assert_eq!(work(2_890), 0.0, "its own part was counted at its arrival");
    let engines = EngineSettings::default();
    let shared = routing::prefill_time(6_300, &engines).as_secs_f64();
    assert!((work(9_190) / work(2_890 + 3_150) - 2.0).abs() < 0.01);
    assert!(work(9_190) > shared / 3.0);
}
