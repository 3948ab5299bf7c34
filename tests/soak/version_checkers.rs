//! The checks of streams find histories in which streams are joined or lost, and no others.

use std::time::Duration;

use test_case::test_case;

use crate::checks::{Rule, violations};
use crate::record::{
    Answer, Attempt, EngineStep, History, Kind, Outcome, ServiceChange, Span, Step, TakeUp,
    event_count, event_text,
};

/// Streams of a history.
const STREAMS: u64 = 12;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Adds an attempt that got `events`, each of a version, and was whole if they are all.
fn add(history: &mut History, id: &str, take_up: Option<TakeUp>, events: &[(u64, &str)]) {
    let first = take_up.as_ref().map_or(id, |t| &t.first);
    let texts = events
        .iter()
        .map(|(n, software)| event_text(first, *n, software));
    let body = texts.collect::<String>().into_bytes();
    let complete = events.last().is_some_and(|(n, _)| *n == event_count(first));
    let started_at = match take_up {
        Some(_) => at(6_000),
        None => at(5_000),
    };
    let answer = Answer {
        status: 200,
        id: id.to_owned(),
        stamp: format!("models0.{id}"),
        body,
        complete,
        ..Answer::default()
    };
    let refusal = Answer {
        status: 503,
        id: id.to_owned(),
        complete: true,
        ..Answer::default()
    };
    let is_refused = events.is_empty();
    let attempt = Attempt {
        kind: Kind::Stream,
        extra_route: None,
        daemon: 0,
        reused: false,
        started_at,
        sent_at: Some(started_at),
        ended_at: started_at + at(100),
        time_limit: at(4_000),
        take_up,
        broken_off: true,
        outcome: Outcome::Answered(if is_refused { refusal } else { answer }),
    };
    history.attempts.insert(id.to_owned(), attempt);
    let steps = [Step::Arrived(None), Step::Began(true), Step::Answered(200)];
    let steps = steps.map(|step| EngineStep {
        engine: "models0".to_owned(),
        at: started_at,
        step,
    });
    let steps = if is_refused {
        Vec::new()
    } else {
        steps.to_vec()
    };
    history.steps.insert(id.to_owned(), steps);
}

fn take_up(first: &str, after: u64) -> Option<TakeUp> {
    let first = first.to_owned();
    Some(TakeUp { first, after })
}

fn broken_rules(history: &History) -> Vec<Rule> {
    violations(history).iter().map(|v| v.rule).collect()
}

#[test]
fn events_of_two_versions_in_one_answer_are_found() {
    let mut history = History::default();
    add(&mut history, "1-1-1", None, &[(1, "v1"), (2, "v1")]);
    assert_eq!(broken_rules(&history), []);
    add(&mut history, "1-1-1", None, &[(1, "v1"), (2, "v1.1")]);
    assert_eq!(broken_rules(&history), [Rule::Order]);
}

#[test]
fn a_stream_that_is_taken_up_at_another_version_is_found() {
    let mut history = History::default();
    add(&mut history, "1-1-1", None, &[(1, "v1"), (2, "v1")]);
    add(
        &mut history,
        "1-1-2",
        take_up("1-1-1", 2),
        &[(3, "v1"), (4, "v1")],
    );
    assert_eq!(broken_rules(&history), []);
    add(&mut history, "1-1-3", take_up("1-1-1", 4), &[(5, "v2")]);
    assert_eq!(
        broken_rules(&history),
        [Rule::Order],
        "named by a later attempt"
    );
}

#[test]
fn events_that_miss_or_come_twice_where_a_stream_goes_on_are_found() {
    for events in [[(2, "v1"), (3, "v1")], [(4, "v1"), (5, "v1")]] {
        let mut history = History::default();
        add(&mut history, "1-1-1", None, &[(1, "v1"), (2, "v1")]);
        add(&mut history, "1-1-2", take_up("1-1-1", 2), &events);
        assert_eq!(broken_rules(&history), [Rule::Order], "{events:?}");
    }
}

/// Returns a history of new streams, all of which began at v1, and of which so many went on when
/// they were taken up; `engines` of v1 serve.
fn taken_up(went_on: u64, engines: usize) -> History {
    let mut history = History::default();
    for number in 0..STREAMS {
        let (first, again) = (format!("1-{number}-1"), format!("1-{number}-2"));
        add(&mut history, &first, None, &[(1, "v1")]);
        let events: &[_] = match number < went_on {
            true => &[(2, "v1")],
            false => &[],
        };
        add(&mut history, &again, take_up(&first, 1), events);
    }
    for number in 0..engines {
        history.services.push(ServiceChange {
            engine: format!("models{number}"),
            at: at(0),
            software: Some("v1".to_owned()),
        });
    }
    history
}

#[test_case(6, 2, &[]; "half of them went on")]
#[test_case(5, 2, &[Rule::Lost]; "fewer than half of them")]
#[test_case(0, 1, &[]; "one engine only")]
fn streams_that_do_not_go_on_are_found(went_on: u64, engines: usize, rules: &[Rule]) {
    assert_eq!(broken_rules(&taken_up(went_on, engines)), rules);
}

#[test]
fn streams_are_excused_while_daemons_or_engines_are_disturbed() {
    let mut stopped = taken_up(0, 2);
    stopped.spans.push(Span {
        daemon: 0,
        start: at(5_500),
        end: at(5_800),
        planned: false,
    });
    assert_eq!(broken_rules(&stopped), []);
    let mut replaced = taken_up(0, 2);
    replaced.services.push(ServiceChange {
        engine: "models1".to_owned(),
        at: at(5_900),
        software: Some("v2".to_owned()),
    });
    assert_eq!(broken_rules(&replaced), []);
}
