//! Choice of a replica for a request.

use mastichinge::decide::routing::{
    Candidate, Exclusions, ReplicaQuery, choose_replica, is_saturated,
};
use test_case::test_case;

fn replica(running: u32) -> Candidate {
    Candidate {
        running,
        slots: 16,
        ..Default::default()
    }
}

fn excluded(set: impl Fn(&mut Exclusions)) -> Candidate {
    let mut c = replica(0);
    set(&mut c.exclusions);
    c
}

#[test_case(|e| e.unready = true; "unready")]
#[test_case(|e| e.leaving = true; "leaving")]
#[test_case(|e| e.suspect = true; "suspect")]
#[test_case(|e| e.tried = true; "tried")]
#[test_case(|e| e.breaker_open = true; "breaker open")]
fn an_excluded_replica_is_never_chosen(set: fn(&mut Exclusions)) {
    assert_eq!(
        choose_replica(&[excluded(set)], &ReplicaQuery::default()),
        None
    );
    assert_eq!(
        choose_replica(&[excluded(set), replica(16)], &ReplicaQuery::default()),
        Some(1)
    );
    assert!(is_saturated(&[excluded(set), replica(16)]));
}

#[test_case(&[0, 3], 1; "a busy replica is preferred to an idle one")]
#[test_case(&[14, 3], 1; "a replica above the target utilization is avoided")]
#[test_case(&[40, 17], 1; "the shorter queue of two full ones")]
#[test_case(&[15, 16], 0; "a free slot before a full batch")]
fn the_replica_with_the_lowest_score_is_chosen(loads: &[u32], expected: usize) {
    let replicas: Vec<_> = loads.iter().map(|l| replica(*l)).collect();
    assert_eq!(
        choose_replica(&replicas, &ReplicaQuery::default()),
        Some(expected)
    );
}

#[test]
fn requests_sent_since_the_report_count_as_load() {
    let lagging = Candidate {
        sent: 30,
        ..replica(0)
    };
    assert_eq!(
        choose_replica(&[lagging, replica(8)], &ReplicaQuery::default()),
        Some(1)
    );
    let drained = Candidate {
        ended: 15,
        ..replica(16)
    };
    assert_eq!(drained.load(), 1);
}

#[test]
fn a_cached_prefix_and_the_local_domain_are_preferred() {
    let query = ReplicaQuery {
        domain: 1,
        prompt_tokens: 1_000,
    };
    let local = Candidate {
        domain: 1,
        ..replica(2)
    };
    let cached = Candidate {
        cached_tokens: 900,
        ..replica(2)
    };
    assert_eq!(choose_replica(&[replica(2), local], &query), Some(1));
    assert_eq!(choose_replica(&[local, cached], &query), Some(1));
}
