//! Who is refused at once when there is more work than time.

use std::time::Duration;

use mastichinge::edge::admission::{Outlook, patience};
use mastichinge::edge::desired::{Kind, Route};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn outlook(first: u64, until: u64, left: u64) -> Outlook {
    Outlook {
        first: ms(first),
        until: ms(until),
        left: ms(left),
        objective: ms(800),
    }
}

/// An engine with a backlog of seconds: who has no time for that hears it at
/// once, and comes back when the backlog is gone.
#[test]
fn who_surely_gets_no_first_event_in_time_is_refused_with_the_time_of_the_next() {
    assert_eq!(outlook(500, 3_200, 6_000).overloaded(), None);
    // Predictions miss by up to a factor of 2.5; a chance is taken.
    assert_eq!(outlook(6_000, 3_200, 20_000).overloaded(), None);
    assert_eq!(
        outlook(10_000, 3_200, 60_000).overloaded(),
        Some(ms(9_600)),
        "then the first event meets its objective"
    );
    // Callers heed no time above a third of what they have left.
    let back = outlook(10_000, 3_200, 6_000).overloaded().unwrap();
    assert_eq!(back, ms(2_000));
}

/// A load takes as long as it takes.
#[test]
fn who_leaves_before_a_load_can_end_is_refused_at_once() {
    assert_eq!(outlook(1_200, 3_200, 15_000).unloaded(), None);
    let back = outlook(6_000, 3_200, 15_000).unloaded().unwrap();
    assert_eq!(back, ms(5_000));
    // Soon enough for another try, never in the same instant.
    assert_eq!(outlook(10, 10, 15_000).unloaded(), Some(ms(50)));
}

#[test]
fn callers_leave_streams_by_objective_and_pause_and_wait_for_the_rest() {
    let mut route = Route {
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
    };
    assert_eq!(patience(&route), ms(2_000));
    route.gap = ms(400);
    assert_eq!(patience(&route), ms(3_200));
    route.objective = ms(3_000);
    assert_eq!(patience(&route), ms(12_000));
    route.kind = Kind::Once;
    assert_eq!(patience(&route), Duration::MAX);
}
