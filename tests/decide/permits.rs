//! Order, rate and number of the permits for weight-store loads.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::decide::permits::{PermitRequest, Permits};
use mastichinge::decide::weight_store::{LoadWaiters, StoreLimits, value_density};
use proptest::prelude::*;

use crate::secs;

fn permit_request(load: &str, value_density: f64) -> PermitRequest {
    PermitRequest {
        load: load.into(),
        host: "a".into(),
        adapter: false,
        value_density,
        running: false,
    }
}

fn limits() -> StoreLimits {
    StoreLimits {
        rate: 2.0,
        parallel_models: 4,
        parallel_adapters: 30,
    }
}

/// Grants permits at `now` and returns the ids of their loads.
fn grant_ids(permits: &mut Permits, now: Moment) -> Vec<Arc<str>> {
    let grants = permits.grant(now);
    grants.into_iter().map(|g| g.load).collect()
}

#[test]
fn permits_are_granted_in_order_of_value_density_at_the_rate() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for (load, value_density) in [("low", 1.0), ("high", 3.0), ("mid", 2.0)] {
        permits.request(permit_request(load, value_density));
    }
    assert!(grant_ids(&mut permits, Moment::ZERO).is_empty());
    let mut now = Moment::ZERO;
    for load in ["high", "mid", "low"] {
        now = permits.next_grant(now).unwrap();
        assert_eq!(grant_ids(&mut permits, now), [load.into()]);
        assert!(grant_ids(&mut permits, now).is_empty());
    }
    assert_eq!(now, Duration::from_millis(1_500));
    assert_eq!(permits.next_grant(now), None);
}

#[test]
fn the_whole_parallel_limit_is_granted_at_once_after_a_pause() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4", "5", "6"] {
        permits.request(permit_request(load, 1.0));
    }
    assert_eq!(grant_ids(&mut permits, secs(60)).len(), 4);
    permits.release("1");
    permits.release("2");
    assert!(grant_ids(&mut permits, secs(61)).is_empty());
    assert_eq!(permits.next_grant(secs(61)), Some(secs(62)));
    assert_eq!(grant_ids(&mut permits, secs(62)).len(), 2);
}

proptest! {
    #[test]
    fn no_span_has_more_starts_than_the_parallel_limit(steps in prop::collection::vec(0_u64..900, 1..200)) {
        let mut permits = Permits::new(limits(), Moment::ZERO);
        let mut now = Moment::ZERO;
        let mut starts = Vec::new();
        for (i, step) in steps.into_iter().enumerate() {
            now += Duration::from_millis(step);
            permits.request(permit_request(&i.to_string(), 1.0));
            for load in grant_ids(&mut permits, now) {
                permits.release(&load);
                starts.push(now);
            }
        }
        for pair in starts.windows(5) {
            prop_assert!(pair[4] - pair[0] >= secs(2));
        }
    }
}

#[test]
fn running_loads_never_exceed_the_parallel_limit() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4", "5", "6"] {
        permits.request(permit_request(load, 1.0));
    }
    for s in 1..10 {
        permits.grant(secs(s));
    }
    assert_eq!(permits.running(), 4);
    permits.release("2");
    assert_eq!(grant_ids(&mut permits, secs(20)), ["5".into()]);
    permits.remove_host("a");
    assert_eq!((permits.running(), permits.waiting()), (0, 0));
}

#[test]
fn loads_of_a_removed_host_free_their_permits() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4"] {
        permits.request(permit_request(load, 1.0));
    }
    assert_eq!(permits.grant(secs(60)).len(), 4);
    permits.request(PermitRequest {
        host: "b".into(),
        ..permit_request("5", 1.0)
    });
    permits.retain_hosts(&["a".into(), "b".into()]);
    assert!(grant_ids(&mut permits, secs(120)).is_empty());
    permits.retain_hosts(&["b".into()]);
    assert_eq!(grant_ids(&mut permits, secs(120)), ["5".into()]);
}

#[test]
fn loads_granted_by_a_previous_leader_count() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4"] {
        permits.request(PermitRequest {
            running: true,
            ..permit_request(load, 0.0)
        });
    }
    permits.request(permit_request("5", 9.0));
    assert!(grant_ids(&mut permits, secs(60)).is_empty());
    assert!(permits.is_granted("1") && !permits.is_granted("5"));
    permits.release("1");
    assert_eq!(grant_ids(&mut permits, secs(60)), ["5".into()]);
}

#[test]
fn adapter_loads_are_limited_by_number_only() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for i in 0..40 {
        permits.request(PermitRequest {
            adapter: true,
            ..permit_request(&format!("{i}"), 1.0)
        });
    }
    assert_eq!(permits.grant(Moment::ZERO).len(), 30);
    permits.release("0");
    assert_eq!(permits.grant(Moment::ZERO).len(), 1);
}

proptest! {
    #[test]
    fn partitions_together_stay_within_the_store_limits(members in prop::collection::vec(1_u32..10, 1..6)) {
        let all: u32 = members.iter().sum();
        let mut rate = 0.0;
        let mut parallel = 0;
        for count in &members {
            let scaled = limits().scaled(f64::from(*count) / f64::from(all));
            rate += scaled.rate;
            parallel += scaled.parallel_models;
        }
        prop_assert!(rate <= limits().rate + 1e-9);
        let max_parallel = limits().parallel_models.max(members.len() as u32 + limits().parallel_models - 1);
        prop_assert!(parallel <= max_parallel);
    }
}

#[test]
fn value_density_rises_as_the_deadline_nears() {
    let far = LoadWaiters {
        count: 1,
        worth: 2.0,
        time_left: secs(60),
        load_time: secs(10),
    };
    let near = LoadWaiters {
        time_left: secs(12),
        ..far
    };
    let missed = LoadWaiters {
        time_left: secs(5),
        ..far
    };
    assert!(value_density(&near) > value_density(&far));
    assert!(value_density(&far) > value_density(&missed));
    assert_eq!(value_density(&LoadWaiters::default()), 0.0);
}
