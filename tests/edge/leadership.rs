//! Tests of the leadership rules: when a leader may send orders, and when a candidate
//! takes over.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::leadership::{
    Candidate, ElectionStep, FENCES_PER_ERA, LeaderRecord, LeaderStatus, Leadership, ObservedRow,
    PeerReach, StoreEra,
};

const LEASE: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

fn record(host: &str, released_ms: Option<u64>) -> LeaderRecord {
    LeaderRecord {
        host: host.into(),
        incarnation: 1,
        fence: 5,
        renewal: 9,
        wait_ms: 0,
        released_ms,
    }
}

fn observed(record: Option<LeaderRecord>) -> ObservedRow {
    ObservedRow {
        version: 40,
        record,
        unchanged_since: at(0),
    }
}

fn candidate() -> Candidate {
    Candidate {
        host: "edge-2".into(),
        incarnation: 2,
        rank: 0,
        lease: LEASE,
        fences: true,
        era: StoreEra::default(),
    }
}

fn first_order(step: ElectionStep) -> Option<(u64, Moment)> {
    match step {
        ElectionStep::Wait => None,
        ElectionStep::Acquire {
            record,
            orders_from,
            ..
        } => Some((record.fence, orders_from)),
    }
}

#[test]
fn an_active_leader_is_not_replaced() {
    let row = observed(Some(record("edge-1", None)));
    let step = candidate().next_step(&row, LeaderStatus::Active, at(60_000));
    assert_eq!(step, ElectionStep::Wait);
}

#[test]
fn a_silent_leader_is_succeeded_a_lease_after_its_last_order() {
    let row = observed(Some(record("edge-1", None)));
    let candidate = candidate();
    assert_eq!(
        candidate.next_step(&row, LeaderStatus::Silent, at(1_000)),
        ElectionStep::Wait
    );
    let (fence, orders_from) =
        first_order(candidate.next_step(&row, LeaderStatus::Silent, at(1_600))).unwrap();
    assert_eq!(fence, 6);
    // Its last renewal allowed orders for another renewal period.
    assert!(orders_from >= at(1_000) + LEASE);
}

#[test]
fn without_fences_the_last_order_may_be_later() {
    let row = observed(Some(record("edge-1", None)));
    let strict = Candidate {
        fences: false,
        ..candidate()
    };
    let (_, orders_from) =
        first_order(strict.next_step(&row, LeaderStatus::Silent, at(1_600))).unwrap();
    assert!(orders_from >= at(1_700) + LEASE);
}

#[test]
fn an_offered_leadership_is_acquired_at_once_but_orders_wait_for_the_lease() {
    let row = observed(Some(record("edge-1", None)));
    let step = candidate().next_step(&row, LeaderStatus::Offering(at(200)), at(1_000));
    assert_eq!(first_order(step).unwrap().1, at(200) + LEASE);
    let step = candidate().next_step(&row, LeaderStatus::Offering(at(200)), at(9_000));
    assert_eq!(first_order(step).unwrap().1, at(9_000));
}

#[test]
fn a_released_row_names_the_time_of_the_last_order() {
    let row = observed(Some(record("edge-1", Some(2_000))));
    let step = candidate().next_step(&row, LeaderStatus::Silent, at(100));
    assert_eq!(first_order(step).unwrap().1, at(1_000));
}

/// For the engines, the same host is the same leader.
#[test]
fn a_restarted_leader_continues_at_once_with_a_higher_fencing_number() {
    let row = observed(Some(record("edge-2", None)));
    let step = candidate().next_step(&row, LeaderStatus::Silent, at(0));
    assert_eq!(first_order(step), Some((6, at(0))));
}

/// Found by the model check: a leader was killed before its first order was due, and
/// after its restart sent orders without waiting.
#[test]
fn a_restarted_leader_waits_for_the_time_that_was_left() {
    let waiting = LeaderRecord {
        wait_ms: 2_000,
        ..record("edge-2", None)
    };
    let step = candidate().next_step(&observed(Some(waiting)), LeaderStatus::Silent, at(500));
    assert_eq!(first_order(step), Some((6, at(2_500))));
}

#[test]
fn candidates_try_in_order_of_rank() {
    let row = observed(None);
    let second = Candidate {
        rank: 1,
        ..candidate()
    };
    assert_eq!(
        second.next_step(&row, LeaderStatus::Silent, at(0)),
        ElectionStep::Wait
    );
    assert!(first_order(second.next_step(&row, LeaderStatus::Silent, at(500))).is_some());
}

fn leadership() -> Leadership {
    Leadership {
        record: record("edge-1", None),
        version: 40,
        orders_from: at(0),
        renewed_at: at(0),
        last_order: None,
        renewal_sent: None,
    }
}

const SERVED: PeerReach = PeerReach {
    heard: true,
    served: true,
};

/// Found by the model check: a renewal whose answer was lost counted from the moment
/// at which it was found, although the row had been unchanged since it was sent.
#[test]
fn a_renewal_confirmed_later_counts_from_its_first_sending() {
    let mut leadership = leadership();
    let first = leadership.begin_renewal(at(1_000));
    let again = leadership.begin_renewal(at(2_000));
    assert!(first.is_same_write(&again));
    leadership.confirm_renewal(again, 41);
    assert_eq!((leadership.renewed_at, leadership.version), (at(1_000), 41));
    let next = leadership.begin_renewal(at(2_100));
    assert!(!first.is_same_write(&next));
    leadership.record_renewal(next, 42, at(2_100));
    assert_eq!(leadership.renewed_at, at(2_100));
}

#[test]
fn without_fences_orders_stop_before_a_successor_may_start() {
    let leadership = leadership();
    assert!(leadership.may_order(SERVED, false, at(1_600)));
    assert!(!leadership.may_order(SERVED, false, at(1_800)));
    assert!(leadership.is_offering(SERVED, at(1_600)));
}

/// A leader that cannot reach the store continues until its successor sends orders,
/// which starts a lease after the store last served the leader.
#[test]
fn with_fences_orders_continue_until_the_successor_sends_orders() {
    let leadership = Leadership {
        last_order: Some(at(2_500)),
        ..leadership()
    };
    assert!(leadership.may_order(SERVED, true, at(3_000)));
    assert!(leadership.is_offering(SERVED, at(3_000)));
    assert_eq!(
        leadership.since_last_order(true, at(3_000)),
        Duration::from_millis(2_000)
    );
    assert_eq!(
        leadership.since_last_order(false, at(3_000)),
        Duration::from_millis(500)
    );
    assert!(!leadership.superseded_by(6, Duration::from_millis(100), true));
    assert!(leadership.superseded_by(6, Duration::ZERO, true));
    assert!(!leadership.superseded_by(5, Duration::ZERO, true));
}

/// An outage of the store does not stop orders, as no daemon can take over.
#[test]
fn the_leader_continues_while_no_daemon_reaches_the_store() {
    let away = PeerReach {
        heard: true,
        served: false,
    };
    let leadership = leadership();
    assert!(leadership.may_order(away, true, at(60_000)));
    assert!(!leadership.is_offering(away, at(60_000)));
    assert!(
        !leadership.may_order(away, false, at(60_000)),
        "engines that ignore fences"
    );
    let isolated = PeerReach::default();
    assert!(
        !leadership.may_order(isolated, true, at(60_000)),
        "a leader that hears no other daemon"
    );
}

fn candidate_of_era(number: u64, since: Option<Moment>) -> Candidate {
    Candidate {
        era: StoreEra { number, since },
        ..candidate()
    }
}

/// Guards against ONE: a row of an older copy of the store named a leader that had released, and
/// its successor, who was not named, was replaced at once and under its own number.
#[test]
fn a_row_of_an_earlier_era_is_taken_over_as_that_of_a_silent_leader() {
    let rows = [
        Some(record("edge-1", Some(60_000))),
        Some(record("edge-2", None)),
        None,
    ];
    for row in rows {
        let row = observed(row);
        let candidate = candidate_of_era(2, Some(at(0)));
        let step = |ms| candidate.next_step(&row, LeaderStatus::Silent, at(ms));
        assert_eq!(step(1_400), ElectionStep::Wait);
        let (fence, first) = first_order(step(1_450)).unwrap();
        assert_eq!(fence, 2 * FENCES_PER_ERA);
        assert_eq!(first, at(1_700) + LEASE);
        let active = candidate.next_step(&row, LeaderStatus::Active, at(60_000));
        assert_eq!(active, ElectionStep::Wait);
    }
}

/// A store that names an era from its start is no reason to wait.
#[test]
fn the_first_leader_of_a_store_does_not_wait() {
    let step = candidate_of_era(1, None).next_step(&observed(None), LeaderStatus::Silent, at(0));
    assert_eq!(first_order(step), Some((FENCES_PER_ERA, at(0))));
}

/// Guards against ONE: a host that started after the store had lost every leader's row led at
/// once, though another may still send orders.
#[test]
fn a_missing_row_in_a_later_era_is_taken_over_as_that_of_a_silent_leader() {
    let candidate = candidate_of_era(2, None);
    let next = |status, ms| candidate.next_step(&observed(None), status, at(ms));
    assert_eq!(next(LeaderStatus::Silent, 0), ElectionStep::Wait);
    let (fence, orders_from) = first_order(next(LeaderStatus::Silent, 5_000)).unwrap();
    assert!(fence >= 2 * FENCES_PER_ERA, "{fence}");
    assert!(orders_from >= at(0) + LEASE, "{orders_from:?}");
    assert_eq!(next(LeaderStatus::Active, 60_000), ElectionStep::Wait);
}

/// Guards against ONE: the leader is heard, but has not written its row again yet.
#[test]
fn a_missing_row_is_not_taken_over_from_a_leader_that_is_heard() {
    for era in [0, 1, 2] {
        let candidate = candidate_of_era(era, None);
        let step = candidate.next_step(&observed(None), LeaderStatus::Active, at(60_000));
        assert_eq!(step, ElectionStep::Wait);
    }
}

/// Guards against ONE: two leaders of different eras had the same number.
#[test]
fn a_leader_writes_its_row_again_in_a_new_era_unless_another_has() {
    let era = StoreEra {
        number: 2,
        since: Some(at(0)),
    };
    let leadership = Leadership {
        record: record("edge-2", None),
        version: 40,
        orders_from: at(500),
        renewed_at: at(0),
        last_order: None,
        renewal_sent: None,
    };
    assert!(leadership.is_earlier(&era));
    for row in [None, Some(record("edge-1", None))] {
        let retaken = leadership.retake(row.as_ref(), &era, at(100)).unwrap();
        assert_eq!(
            (&*retaken.host, retaken.fence),
            ("edge-2", 2 * FENCES_PER_ERA)
        );
        assert_eq!(retaken.wait_ms, 400);
    }
    let newer = LeaderRecord {
        fence: 2 * FENCES_PER_ERA,
        ..record("edge-1", None)
    };
    assert_eq!(leadership.retake(Some(&newer), &era, at(100)), None);
}
