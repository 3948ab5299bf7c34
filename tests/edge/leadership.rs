//! Who gives orders, and when the next may.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::leadership::{
    Candidate, ElectionStep, LeaderRecord, LeaderStatus, Leadership, ObservedRow, PeerReach,
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

fn seen(record: Option<LeaderRecord>) -> ObservedRow {
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
fn a_holder_that_is_heard_is_left_alone() {
    let seen = seen(Some(record("edge-1", None)));
    let step = candidate().step(&seen, LeaderStatus::Active, at(60_000));
    assert_eq!(step, ElectionStep::Wait);
}

#[test]
fn a_silent_holder_that_renews_no_more_is_followed_a_lease_after_its_last_order() {
    let seen = seen(Some(record("edge-1", None)));
    let candidate = candidate();
    assert_eq!(
        candidate.step(&seen, LeaderStatus::Silent, at(1_000)),
        ElectionStep::Wait
    );
    let (fence, orders_from) =
        first_order(candidate.step(&seen, LeaderStatus::Silent, at(1_600))).unwrap();
    assert_eq!(fence, 6);
    // Its last renewal allowed orders for another period.
    assert!(orders_from >= at(1_000) + LEASE);
}

#[test]
fn without_fences_the_last_order_may_have_come_later() {
    let seen = seen(Some(record("edge-1", None)));
    let strict = Candidate {
        fences: false,
        ..candidate()
    };
    let (_, orders_from) =
        first_order(strict.step(&seen, LeaderStatus::Silent, at(1_600))).unwrap();
    assert!(orders_from >= at(1_700) + LEASE);
}

#[test]
fn a_holder_that_offers_the_orders_is_followed_at_once_but_not_sooner_than_a_lease() {
    let seen = seen(Some(record("edge-1", None)));
    let step = candidate().step(&seen, LeaderStatus::Offering(at(200)), at(1_000));
    assert_eq!(first_order(step).unwrap().1, at(200) + LEASE);
    let step = candidate().step(&seen, LeaderStatus::Offering(at(200)), at(9_000));
    assert_eq!(first_order(step).unwrap().1, at(9_000));
}

#[test]
fn a_released_row_tells_when_the_last_order_was() {
    let seen = seen(Some(record("edge-1", Some(2_000))));
    let step = candidate().step(&seen, LeaderStatus::Silent, at(100));
    assert_eq!(first_order(step).unwrap().1, at(1_000));
}

/// The same machine is the same holder to the engines.
#[test]
fn a_restarted_holder_goes_on_at_once_with_a_higher_fencing_number() {
    let seen = seen(Some(record("edge-2", None)));
    let step = candidate().step(&seen, LeaderStatus::Silent, at(0));
    assert_eq!(first_order(step), Some((6, at(0))));
}

/// Found by the model: a holder that had still to wait was killed, and its
/// machine took the orders again at once.
#[test]
fn a_restarted_holder_waits_what_it_had_still_to_wait() {
    let waiting = LeaderRecord {
        wait_ms: 2_000,
        ..record("edge-2", None)
    };
    let step = candidate().step(&seen(Some(waiting)), LeaderStatus::Silent, at(500));
    assert_eq!(first_order(step), Some((6, at(2_500))));
}

#[test]
fn candidates_try_one_after_the_other() {
    let seen = seen(None);
    let second = Candidate {
        rank: 1,
        ..candidate()
    };
    assert_eq!(
        second.step(&seen, LeaderStatus::Silent, at(0)),
        ElectionStep::Wait
    );
    assert!(first_order(second.step(&seen, LeaderStatus::Silent, at(500))).is_some());
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

/// Found by the model: a renewal whose answer was lost counted from the moment
/// at which it was found, while the row had stood still since it was sent.
#[test]
fn a_renewal_that_is_found_done_counts_from_its_first_sending() {
    let mut leadership = leadership();
    let first = leadership.begin_renewal(at(1_000));
    let again = leadership.begin_renewal(at(2_000));
    assert!(first.same(&again));
    leadership.confirm_renewal(again, 41);
    assert_eq!((leadership.renewed_at, leadership.version), (at(1_000), 41));
    let next = leadership.begin_renewal(at(2_100));
    assert!(!first.same(&next));
    leadership.record_renewal(next, 42, at(2_100));
    assert_eq!(leadership.renewed_at, at(2_100));
}

#[test]
fn without_fences_orders_stop_before_a_successor_may_begin() {
    let leadership = leadership();
    assert!(leadership.may_order(SERVED, false, at(1_600)));
    assert!(!leadership.may_order(SERVED, false, at(1_800)));
    assert!(leadership.is_offering(SERVED, at(1_600)));
}

/// A holder that the store turns away goes on until its successor gives
/// orders, and that one begins a lease after the store last served the holder.
#[test]
fn behind_fences_orders_go_on_until_the_successor_gives_them() {
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

/// An outage of the store stops no orders: nobody can take over.
#[test]
fn with_the_store_away_from_everybody_the_holder_goes_on() {
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
    let alone = PeerReach::default();
    assert!(
        !leadership.may_order(alone, true, at(60_000)),
        "a holder that hears nobody"
    );
}
