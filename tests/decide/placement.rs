//! Which engine a model or adapter goes to, and what makes way.

use mastichinge::config::Strategy;
use mastichinge::decide::placement::place;
use mastichinge::decide::rooms::{Base, Idle, Placing, Room, Wanted, Weights};
use mastichinge::outside::Tier;
use test_case::test_case;

use crate::secs;

fn wanted() -> Wanted {
    Wanted {
        weights: Weights {
            model: 0,
            memory: 100,
            load: secs(10),
        },
        base: None,
        worth: 1.0,
    }
}

fn adapter() -> Wanted {
    Wanted {
        base: Some(Weights {
            model: 9,
            memory: 500,
            load: secs(20),
        }),
        ..wanted()
    }
}

fn room(free: u64) -> Room<'static> {
    Room {
        free,
        slots: 16,
        ..Default::default()
    }
}

fn placed(wanted: &Wanted, rooms: &[Room]) -> Option<usize> {
    place(wanted, rooms, &[], &Placing::default()).map(|p| p.engine)
}

#[test]
fn the_nearest_cache_tier_wins() {
    let disk = Room {
        tier: Tier::Disk,
        ..room(1_000)
    };
    let memory = Room {
        tier: Tier::Memory,
        ..room(1_000)
    };
    assert_eq!(placed(&wanted(), &[room(1_000), disk, memory]), Some(2));
}

#[test]
fn closed_and_holding_engines_are_passed_over() {
    let closed = Room {
        open: false,
        ..room(1_000)
    };
    let held = Room {
        held: true,
        ..room(1_000)
    };
    assert_eq!(placed(&wanted(), &[closed, held, room(100)]), Some(2));
    assert_eq!(placed(&wanted(), &[closed, held, room(99)]), None);
}

#[test]
fn an_adapter_goes_beside_its_base() {
    let pinned = Room {
        base: Base::Pinned(Tier::Remote),
        ..room(1_000)
    };
    let loaded = Room {
        base: Base::Loaded,
        ..room(100)
    };
    assert_eq!(placed(&adapter(), &[room(1_000), pinned, loaded]), Some(2));
    let plan = place(&adapter(), &[room(1_000), pinned], &[], &Placing::default()).unwrap();
    assert_eq!((plan.engine, plan.base, plan.load), (1, true, secs(30)));
    assert_eq!(placed(&adapter(), &[room(1_000)]), None);
}

#[test]
fn replicas_spread_over_domains() {
    let other = Room {
        domain: 1,
        ..room(1_000)
    };
    let how = Placing::default();
    let plan = place(&wanted(), &[room(100), other], &[1, 0], &how).unwrap();
    assert_eq!(plan.engine, 1);
}

#[test]
fn the_cheapest_evictions_make_room() {
    let dear = [Idle {
        model: 1,
        memory: 100,
        cost: 50.0,
    }];
    let cheap = [
        Idle {
            model: 2,
            memory: 10,
            cost: 0.5,
        },
        Idle {
            model: 3,
            memory: 90,
            cost: 1.0,
        },
    ];
    let rooms = [
        Room {
            idle: &dear,
            ..room(0)
        },
        Room {
            idle: &cheap,
            ..room(10)
        },
    ];
    let plan = place(&wanted(), &rooms, &[], &Placing::default()).unwrap();
    assert_eq!((plan.engine, plan.evict), (1, vec![3]));
}

#[test]
fn the_base_of_an_adapter_is_never_evicted_for_it() {
    let base = [Idle {
        model: 9,
        memory: 500,
        cost: 0.0,
    }];
    let only = Room {
        base: Base::Loaded,
        idle: &base,
        ..room(0)
    };
    assert_eq!(placed(&adapter(), &[only]), None);
}

#[test]
fn without_writes_only_pinned_engines_count() {
    let unpinned = Room {
        pinned: false,
        ..room(1_000)
    };
    let how = Placing {
        pinned_only: true,
        ..Default::default()
    };
    assert_eq!(place(&wanted(), &[unpinned], &[], &how), None);
    assert_eq!(placed(&wanted(), &[unpinned]), Some(0));
}

#[test_case(Strategy::FirstFit, 1)]
#[test_case(Strategy::Solo, 2)]
fn baselines_take_the_first_room(strategy: Strategy, engine: usize) {
    let best = Room {
        tier: Tier::Memory,
        ..room(1_000)
    };
    let how = Placing {
        strategy,
        start: 2,
        ..Default::default()
    };
    let rooms = [room(0), room(100), room(100), best];
    assert_eq!(place(&wanted(), &rooms, &[], &how).unwrap().engine, engine);
}
