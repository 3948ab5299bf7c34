//! Which replica a request goes to.

use mastichinge::decide::routing::{Bars, Candidate, Need, choose, crowded};
use test_case::test_case;

fn replica(running: u32) -> Candidate {
    Candidate {
        running,
        slots: 16,
        ..Default::default()
    }
}

fn barred(set: impl Fn(&mut Bars)) -> Candidate {
    let mut c = replica(0);
    set(&mut c.bars);
    c
}

#[test_case(|b| b.unready = true; "unready")]
#[test_case(|b| b.leaving = true; "leaving")]
#[test_case(|b| b.suspect = true; "suspect")]
#[test_case(|b| b.avoid = true; "avoid")]
#[test_case(|b| b.broken = true; "broken")]
fn a_barred_replica_gets_nothing(set: fn(&mut Bars)) {
    assert_eq!(choose(&[barred(set)], &Need::default()), None);
    assert_eq!(
        choose(&[barred(set), replica(16)], &Need::default()),
        Some(1)
    );
    assert!(crowded(&[barred(set), replica(16)]));
}

#[test_case(&[0, 3], 1; "work gathers where there is some")]
#[test_case(&[14, 3], 1; "not beyond the fill level")]
#[test_case(&[40, 17], 1; "the shorter queue of two full ones")]
#[test_case(&[15, 16], 0; "a free slot before a full batch")]
fn load_decides(loads: &[u32], best: usize) {
    let replicas: Vec<_> = loads.iter().map(|l| replica(*l)).collect();
    assert_eq!(choose(&replicas, &Need::default()), Some(best));
}

#[test]
fn own_requests_since_the_report_count() {
    let lagging = Candidate {
        sent: 30,
        ..replica(0)
    };
    assert_eq!(choose(&[lagging, replica(8)], &Need::default()), Some(1));
    let drained = Candidate {
        ended: 15,
        ..replica(16)
    };
    assert_eq!(drained.load(), 1);
}

#[test]
fn a_cached_prefix_and_the_own_domain_are_preferred() {
    let need = Need {
        domain: 1,
        prompt: 1_000,
    };
    let near = Candidate {
        domain: 1,
        ..replica(2)
    };
    let cached = Candidate {
        cached: 900,
        ..replica(2)
    };
    assert_eq!(choose(&[replica(2), near], &need), Some(1));
    assert_eq!(choose(&[near, cached], &need), Some(1));
}
