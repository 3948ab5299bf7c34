//! Which requests a host accepts during a planned shutdown.

use std::time::Duration;

use mastichinge::clock::Moment;
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
        grace: Duration::from_secs(8),
    };
    let now = started_at + Duration::from_millis(ms);
    assert_eq!(shutdown.allows_send(begun, now), allowed);
}
