//! Who is refused at once when there is more work than time.

use std::time::Duration;

use mastichinge::edge::admission::{AdmissionDecision, TimeBudget, silence_limit};
use mastichinge::edge::desired::{Route, RouteKind};
use mastichinge::edge::placement::ModelTarget;
use mastichinge::edge::routing::{Choice, Selection};
use mastichinge::edge::settings::Admission;
use mastichinge::error::Kind as ErrorKind;

const LIMITS: Admission = Admission {
    sure_part: 0.4,
    slack_ms: 150,
    reserve_ms: 500,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn budget(until: u64, left: u64) -> TimeBudget {
    TimeBudget {
        waited: ms(0),
        first_event: ms(until),
        left: ms(left),
        objective_left: ms(800),
        objective: ms(800),
    }
}

fn ready_after(first: u64) -> Selection {
    behind(0, first)
}

fn behind(ahead: u64, first: u64) -> Selection {
    Selection::Engine(Choice {
        engine: "e1".into(),
        addr: ([10, 0, 0, 1], 1).into(),
        work: ms(100),
        uncached: 4_000,
        backlog: ms(ahead),
        first_event: ms(first),
    })
}

fn loaded_after(load_time: u64) -> Selection {
    Selection::NotLoaded {
        target: ModelTarget {
            service: "s".into(),
            model: "m".into(),
            adapter: None,
        },
        load_time: ms(load_time),
    }
}

fn refused_for(decision: AdmissionDecision) -> Option<Duration> {
    match decision {
        AdmissionDecision::Refuse {
            kind: ErrorKind::DeadlineUnreachable,
            retry_after,
            ..
        } => Some(retry_after),
        _ => None,
    }
}

/// An engine with a backlog of seconds: who has no time for that hears it at
/// once, and comes back when the backlog is gone.
#[test]
fn who_surely_gets_no_first_event_in_time_is_refused_with_the_time_of_the_next() {
    let sent = |decision| matches!(decision, AdmissionDecision::Send(_));
    assert!(sent(budget(3_200, 6_000).decide(ready_after(500), &LIMITS)));
    // Predictions miss by up to a factor of 2.5; a chance is taken.
    assert!(sent(
        budget(3_200, 20_000).decide(ready_after(6_000), &LIMITS)
    ));
    let later = refused_for(budget(3_200, 60_000).decide(ready_after(10_000), &LIMITS));
    assert_eq!(later, Some(ms(9_600)), "then it meets its objective");
    // Callers heed no time above a third of what they have left.
    let heeded = refused_for(budget(3_200, 6_000).decide(ready_after(10_000), &LIMITS));
    assert_eq!(heeded, Some(ms(2_000)));
}

/// A burst fills an engine's queue: who is late anyway lets those go ahead that
/// can still be in time, but not until its caller leaves.
#[test]
fn who_is_late_anyway_waits_for_a_free_moment_and_goes_before_it_is_too_late() {
    let judge = |until, selection| budget(until, 6_000).decide(selection, &LIMITS);
    let sent = |decision| matches!(decision, AdmissionDecision::Send(_));
    assert!(sent(judge(3_200, behind(600, 700))), "it is in time");
    assert_eq!(judge(3_200, behind(900, 1_000)), AdmissionDecision::Hold);
    assert!(sent(judge(3_200, behind(100, 1_000))), "nobody is ahead");
    assert!(sent(judge(1_400, behind(900, 1_000))), "it must go");
}

/// A load takes as long as it takes.
#[test]
fn who_leaves_before_a_load_can_end_is_refused_at_once() {
    let waits = |decision| matches!(decision, AdmissionDecision::WaitForLoad(_));
    assert!(waits(
        budget(3_200, 15_000).decide(loaded_after(1_200), &LIMITS)
    ));
    let later = budget(3_200, 15_000).decide(loaded_after(6_000), &LIMITS);
    // The load has to begin all the same, or no later try finds the model.
    assert!(
        matches!(&later, AdmissionDecision::Refuse { load: Some(target), .. } if &*target.model == "m")
    );
    assert_eq!(refused_for(later), Some(ms(5_000)));
    // What has passed of the load counts.
    let waited = TimeBudget {
        waited: ms(4_000),
        ..budget(3_200, 15_000)
    };
    assert!(waits(waited.decide(loaded_after(6_000), &LIMITS)));
    // Soon enough for another try, never in the same instant.
    let soon = refused_for(budget(10, 15_000).decide(loaded_after(10), &LIMITS));
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
    }
}

#[test]
fn callers_leave_streams_by_objective_and_pause_and_wait_for_the_rest() {
    let mut route = stream();
    assert_eq!(silence_limit(&route), ms(2_000));
    route.gap = ms(400);
    assert_eq!(silence_limit(&route), ms(3_200));
    route.objective = ms(3_000);
    assert_eq!(silence_limit(&route), ms(12_000));
    route.kind = RouteKind::Once;
    assert_eq!(silence_limit(&route), Duration::MAX);
}

/// An engine dies in the middle of a long stream: it goes on elsewhere although
/// it is older than callers wait for a first event.
#[test]
fn a_stream_that_breaks_late_has_time_to_go_on() {
    let route = stream();
    let new = TimeBudget::new(&route, ms(100), ms(40), ms(5_900), false);
    assert_eq!((new.first_event, new.objective_left), (ms(1_900), ms(200)));
    let old = TimeBudget::new(&route, ms(4_000), ms(50), ms(2_000), true);
    assert_eq!(old.first_event, ms(1_950));
    let sent = |decision| matches!(decision, AdmissionDecision::Send(_));
    assert!(sent(old.decide(behind(400, 500), &LIMITS)));
    let first = TimeBudget::new(&route, ms(4_000), ms(50), ms(2_000), false);
    assert!(refused_for(first.decide(behind(400, 500), &LIMITS)).is_some());
}
