//! Which requests a host accepts during a planned shutdown.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::activity::Activity;
use mastichinge::edge::desired::RouteKind;
use mastichinge::edge::shutdown::Shutdown;
use test_case::test_case;

/// Callers cache an entry response for seconds after the signal. A stream that arrives
/// late would be truncated when the process exits.
#[test_case(RouteKind::Stream, 1_000, true; "a stream at once")]
#[test_case(RouteKind::Stream, 3_000, false; "a stream late")]
#[test_case(RouteKind::Once, 3_000, true; "a short call late")]
#[test_case(RouteKind::Once, 7_400, false; "a short call at the end")]
fn late_requests_are_accepted_only_if_they_can_end_in_time(
    kind: RouteKind,
    ms: u64,
    accepted: bool,
) {
    let started_at = Moment::from_secs(50);
    let shutdown = Shutdown {
        started_at,
        signaled_at: started_at,
        grace: Duration::from_secs(8),
    };
    assert_eq!(
        shutdown.accepts(kind, started_at + Duration::from_millis(ms)),
        accepted
    );
    assert!(shutdown.close_at() < shutdown.reject_at());
    assert!(shutdown.reject_at() < shutdown.answer_at());
    assert!(shutdown.answer_at() < shutdown.exit_at());
    assert!(shutdown.exit_at() < started_at + shutdown.grace);
}

/// Guards against streams that were truncated in a planned stop: their silent run was given
/// up for a resumption that the stop then refused.
#[test_case(false, 6_900, true; "a new request in time")]
#[test_case(false, 6_930, false; "a new request late")]
#[test_case(true, 6_930, true; "a begun stream late")]
fn a_begun_stream_may_be_resumed_until_the_exit(begun: bool, ms: u64, allowed: bool) {
    let started_at = Moment::from_secs(50);
    let shutdown = Shutdown {
        started_at,
        signaled_at: started_at,
        grace: Duration::from_secs(8),
    };
    let now = started_at + Duration::from_millis(ms);
    assert_eq!(shutdown.allows_send(begun, now), allowed);
}

/// Guards against requests that are accepted and then lost in the kill: the signal arrived
/// during a suspension, so that the grace period is nearly over when it is seen.
#[test_case(RouteKind::Stream; "a stream")]
#[test_case(RouteKind::Once; "a short call")]
fn nothing_is_accepted_when_the_signal_may_have_come_a_grace_period_ago(kind: RouteKind) {
    let mut activity = Activity::new(Moment::from_secs(50));
    let now = Moment::from_secs(60);
    let shutdown = Shutdown {
        started_at: now,
        signaled_at: activity.earliest_signal(now),
        grace: Duration::from_secs(8),
    };
    assert!(!shutdown.accepts(kind, now));
    assert!(!shutdown.allows_send(false, now));
    assert!(shutdown.allows_send(true, now), "a begun stream goes on");
    assert!(shutdown.close_at() < now);
    assert!(now < shutdown.answer_at(), "what is in progress goes on");
}

/// A signal outside a suspension has arrived when it is seen.
#[test]
fn the_grace_period_is_whole_without_a_suspension() {
    let mut activity = Activity::new(Moment::from_secs(50));
    assert_eq!(
        activity.check(Moment::from_secs(53)),
        Some(Duration::from_millis(2_500))
    );
    let now = Moment::from_secs(53) + Duration::from_millis(450);
    assert_eq!(activity.earliest_signal(now), now);
}
