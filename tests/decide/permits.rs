//! Which loads the weight store may serve next.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::decide::permits::{Ask, Permits};
use mastichinge::decide::store::{StoreLimits, Waiters, stake};
use proptest::prelude::*;

use crate::secs;

fn ask(load: &str, stake: f64) -> Ask {
    Ask {
        load: load.into(),
        host: "a".into(),
        adapter: false,
        stake,
        running: false,
    }
}

fn limits() -> StoreLimits {
    StoreLimits {
        rate: 2.0,
        parallel: 4,
        adapters: 30,
    }
}

/// Ids granted at `now`.
fn granted(permits: &mut Permits, now: Moment) -> Vec<Arc<str>> {
    let grants = permits.grant(now);
    grants.into_iter().map(|g| g.load).collect()
}

#[test]
fn permits_go_by_stake_at_the_rate() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for (load, stake) in [("low", 1.0), ("high", 3.0), ("mid", 2.0)] {
        permits.ask(ask(load, stake));
    }
    assert!(granted(&mut permits, Moment::ZERO).is_empty());
    let mut now = Moment::ZERO;
    for load in ["high", "mid", "low"] {
        now = permits.wake(now).unwrap();
        assert_eq!(granted(&mut permits, now), [load.into()]);
        assert!(granted(&mut permits, now).is_empty());
    }
    assert_eq!(now, Duration::from_millis(1_500));
    assert_eq!(permits.wake(now), None);
}

#[test]
fn parallel_loads_start_together_after_a_pause() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4", "5", "6"] {
        permits.ask(ask(load, 1.0));
    }
    assert_eq!(granted(&mut permits, secs(60)).len(), 4);
    permits.done("1");
    permits.done("2");
    assert!(granted(&mut permits, secs(61)).is_empty());
    assert_eq!(permits.wake(secs(61)), Some(secs(62)));
    assert_eq!(granted(&mut permits, secs(62)).len(), 2);
}

proptest! {
    #[test]
    fn no_span_has_more_starts_than_the_parallel_limit(steps in prop::collection::vec(0_u64..900, 1..200)) {
        let mut permits = Permits::new(limits(), Moment::ZERO);
        let mut now = Moment::ZERO;
        let mut starts = Vec::new();
        for (i, step) in steps.into_iter().enumerate() {
            now += Duration::from_millis(step);
            permits.ask(ask(&i.to_string(), 1.0));
            for load in granted(&mut permits, now) {
                permits.done(&load);
                starts.push(now);
            }
        }
        for pair in starts.windows(5) {
            prop_assert!(pair[4] - pair[0] >= secs(2));
        }
    }
}

#[test]
fn no_more_than_the_parallel_limit_run() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4", "5", "6"] {
        permits.ask(ask(load, 1.0));
    }
    for s in 1..10 {
        permits.grant(secs(s));
    }
    assert_eq!(permits.running(), 4);
    permits.done("2");
    assert_eq!(granted(&mut permits, secs(20)), ["5".into()]);
    permits.gone("a");
    assert_eq!((permits.running(), permits.waiting()), (0, 0));
}

#[test]
fn loads_of_a_host_that_is_gone_make_room() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4"] {
        permits.ask(ask(load, 1.0));
    }
    assert_eq!(permits.grant(secs(60)).len(), 4);
    permits.ask(Ask {
        host: "b".into(),
        ..ask("5", 1.0)
    });
    permits.keep(&["a".into(), "b".into()]);
    assert!(granted(&mut permits, secs(120)).is_empty());
    permits.keep(&["b".into()]);
    assert_eq!(granted(&mut permits, secs(120)), ["5".into()]);
}

#[test]
fn running_loads_of_a_former_holder_count() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4"] {
        permits.ask(Ask {
            running: true,
            ..ask(load, 0.0)
        });
    }
    permits.ask(ask("5", 9.0));
    assert!(granted(&mut permits, secs(60)).is_empty());
    assert!(permits.granted("1") && !permits.granted("5"));
    permits.done("1");
    assert_eq!(granted(&mut permits, secs(60)), ["5".into()]);
}

#[test]
fn adapters_are_bounded_in_transit_only() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for i in 0..40 {
        permits.ask(Ask {
            adapter: true,
            ..ask(&format!("{i}"), 1.0)
        });
    }
    assert_eq!(permits.grant(Moment::ZERO).len(), 30);
    permits.done("0");
    assert_eq!(permits.grant(Moment::ZERO).len(), 1);
}

proptest! {
    #[test]
    fn parted_sides_stay_within_the_store_rate(parts in prop::collection::vec(1_u32..10, 1..6)) {
        let all: u32 = parts.iter().sum();
        let mut rate = 0.0;
        let mut parallel = 0;
        for part in &parts {
            let side = limits().scaled(f64::from(*part) / f64::from(all));
            rate += side.rate;
            parallel += side.parallel;
        }
        prop_assert!(rate <= limits().rate + 1e-9);
        prop_assert!(parallel <= limits().parallel.max(parts.len() as u32 + limits().parallel - 1));
    }
}

#[test]
fn stake_rises_with_worth_and_a_near_deadline() {
    let far = Waiters {
        count: 1,
        worth: 2.0,
        left: secs(60),
        load: secs(10),
    };
    let near = Waiters {
        left: secs(12),
        ..far
    };
    let lost = Waiters {
        left: secs(5),
        ..far
    };
    assert!(stake(&near) > stake(&far));
    assert!(stake(&far) > stake(&lost));
    assert_eq!(stake(&Waiters::default()), 0.0);
}
