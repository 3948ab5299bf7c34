//! What a host takes while it stops.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::desired::RouteKind;
use mastichinge::edge::leaving::Leaving;
use test_case::test_case;

/// Callers keep an entry answer for seconds after the signal. A stream that
/// comes late would be cut at the end of the process.
#[test_case(RouteKind::Stream, 1_000, true; "a stream at once")]
#[test_case(RouteKind::Stream, 3_000, false; "a stream late")]
#[test_case(RouteKind::Once, 3_000, true; "a short call late")]
#[test_case(RouteKind::Once, 7_400, false; "a short call at the end")]
fn late_requests_are_taken_only_when_they_can_end(kind: RouteKind, ms: u64, taken: bool) {
    let begun = Moment::from_secs(50);
    let leaving = Leaving {
        begun,
        grace: Duration::from_secs(8),
    };
    assert_eq!(
        leaving.takes(kind, begun + Duration::from_millis(ms)),
        taken
    );
    assert!(leaving.closing() < leaving.refusing());
    assert!(leaving.refusing() < leaving.ending());
    assert!(leaving.ending() < begun + leaving.grace);
}
