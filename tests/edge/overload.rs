//! Who is refused at once when there is more work than time.

use std::time::Duration;

use mastichinge::edge::admission::{Time, Verdict, patience};
use mastichinge::edge::desired::{Kind, Route};
use mastichinge::edge::placement::Target;
use mastichinge::edge::routing::{Choice, Pick};
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

fn time(until: u64, left: u64) -> Time {
    Time {
        waited: ms(0),
        until: ms(until),
        left: ms(left),
        early: ms(800),
        objective: ms(800),
    }
}

fn ready_after(first: u64) -> Pick {
    behind(0, first)
}

fn behind(ahead: u64, first: u64) -> Pick {
    Pick::Go(Choice {
        engine: "e1".into(),
        addr: ([10, 0, 0, 1], 1).into(),
        work: ms(100),
        fresh: 4_000,
        ahead: ms(ahead),
        first: ms(first),
    })
}

fn loaded_after(least: u64) -> Pick {
    Pick::NotHeld {
        target: Target {
            service: "s".into(),
            model: "m".into(),
            adapter: None,
        },
        least: ms(least),
    }
}

fn back(verdict: Verdict) -> Option<Duration> {
    match verdict {
        Verdict::Refuse {
            kind: ErrorKind::DeadlineUnreachable,
            back,
            ..
        } => Some(back),
        _ => None,
    }
}

/// An engine with a backlog of seconds: who has no time for that hears it at
/// once, and comes back when the backlog is gone.
#[test]
fn who_surely_gets_no_first_event_in_time_is_refused_with_the_time_of_the_next() {
    let sent = |verdict| matches!(verdict, Verdict::Send(_));
    assert!(sent(time(3_200, 6_000).judge(ready_after(500), &LIMITS)));
    // Predictions miss by up to a factor of 2.5; a chance is taken.
    assert!(sent(time(3_200, 20_000).judge(ready_after(6_000), &LIMITS)));
    let later = back(time(3_200, 60_000).judge(ready_after(10_000), &LIMITS));
    assert_eq!(later, Some(ms(9_600)), "then it meets its objective");
    // Callers heed no time above a third of what they have left.
    let heeded = back(time(3_200, 6_000).judge(ready_after(10_000), &LIMITS));
    assert_eq!(heeded, Some(ms(2_000)));
}

/// A burst fills an engine's queue: who is late anyway lets those go ahead that
/// can still be in time, but not until its caller leaves.
#[test]
fn who_is_late_anyway_waits_for_a_free_moment_and_goes_before_it_is_too_late() {
    let judge = |until, pick| time(until, 6_000).judge(pick, &LIMITS);
    let sent = |verdict| matches!(verdict, Verdict::Send(_));
    assert!(sent(judge(3_200, behind(600, 700))), "it is in time");
    assert_eq!(judge(3_200, behind(900, 1_000)), Verdict::Hold);
    assert!(sent(judge(3_200, behind(100, 1_000))), "nobody is ahead");
    assert!(sent(judge(1_400, behind(900, 1_000))), "it must go");
}

/// A load takes as long as it takes.
#[test]
fn who_leaves_before_a_load_can_end_is_refused_at_once() {
    let waits = |verdict| matches!(verdict, Verdict::Wait(_));
    assert!(waits(
        time(3_200, 15_000).judge(loaded_after(1_200), &LIMITS)
    ));
    let later = time(3_200, 15_000).judge(loaded_after(6_000), &LIMITS);
    // The load has to begin all the same, or no later try finds the model.
    assert!(matches!(&later, Verdict::Refuse { want: Some(target), .. } if &*target.model == "m"));
    assert_eq!(back(later), Some(ms(5_000)));
    // What has passed of the load counts.
    let waited = Time {
        waited: ms(4_000),
        ..time(3_200, 15_000)
    };
    assert!(waits(waited.judge(loaded_after(6_000), &LIMITS)));
    // Soon enough for another try, never in the same instant.
    let soon = back(time(10, 15_000).judge(loaded_after(10), &LIMITS));
    assert_eq!(soon, Some(ms(50)));
}

fn stream() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: Kind::Stream,
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
    assert_eq!(patience(&route), ms(2_000));
    route.gap = ms(400);
    assert_eq!(patience(&route), ms(3_200));
    route.objective = ms(3_000);
    assert_eq!(patience(&route), ms(12_000));
    route.kind = Kind::Once;
    assert_eq!(patience(&route), Duration::MAX);
}

/// An engine dies in the middle of a long stream: it goes on elsewhere although
/// it is older than callers wait for a first event.
#[test]
fn a_stream_that_breaks_late_has_time_to_go_on() {
    let route = stream();
    let new = Time::of(&route, ms(100), ms(40), ms(5_900), false);
    assert_eq!((new.until, new.early), (ms(1_900), ms(200)));
    let old = Time::of(&route, ms(4_000), ms(50), ms(2_000), true);
    assert_eq!(old.until, ms(1_950));
    let sent = |verdict| matches!(verdict, Verdict::Send(_));
    assert!(sent(old.judge(behind(400, 500), &LIMITS)));
    let first = Time::of(&route, ms(4_000), ms(50), ms(2_000), false);
    assert!(back(first.judge(behind(400, 500), &LIMITS)).is_some());
}
