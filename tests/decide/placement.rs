//! Choice of the engine for a load and of the models evicted there.

use mastichinge::config::Strategy;
use mastichinge::decide::placement::place_model;
use mastichinge::decide::placement_types::{
    BaseState, EvictionCandidate, PlacementOptions, PlacementRequest, PlacementTarget, Weights,
};
use mastichinge::outside::Tier;
use test_case::test_case;

use crate::secs;

fn request() -> PlacementRequest {
    PlacementRequest {
        weights: Weights {
            model: 0,
            memory: 100,
            load_time: secs(10),
        },
        base: None,
        worth: 1.0,
    }
}

fn adapter() -> PlacementRequest {
    PlacementRequest {
        base: Some(Weights {
            model: 9,
            memory: 500,
            load_time: secs(20),
        }),
        ..request()
    }
}

fn target(free: u64) -> PlacementTarget<'static> {
    PlacementTarget {
        free_memory: free,
        slots: 16,
        ..Default::default()
    }
}

fn chosen_engine(request: &PlacementRequest, targets: &[PlacementTarget]) -> Option<usize> {
    place_model(request, targets, &[], &PlacementOptions::default()).map(|p| p.engine)
}

#[test]
fn the_engine_with_the_fastest_cache_tier_is_chosen() {
    let disk = PlacementTarget {
        tier: Tier::Disk,
        ..target(1_000)
    };
    let memory = PlacementTarget {
        tier: Tier::Memory,
        ..target(1_000)
    };
    assert_eq!(
        chosen_engine(&request(), &[target(1_000), disk, memory]),
        Some(2)
    );
}

#[test]
fn unschedulable_engines_and_those_that_hold_the_model_are_skipped() {
    let unschedulable = PlacementTarget {
        schedulable: false,
        ..target(1_000)
    };
    let holding = PlacementTarget {
        holds_model: true,
        ..target(1_000)
    };
    assert_eq!(
        chosen_engine(&request(), &[unschedulable, holding, target(100)]),
        Some(2)
    );
    assert_eq!(
        chosen_engine(&request(), &[unschedulable, holding, target(99)]),
        None
    );
}

#[test]
fn an_adapter_is_placed_on_an_engine_with_its_base_model() {
    let pinned = PlacementTarget {
        base: BaseState::Pinned(Tier::Remote),
        ..target(1_000)
    };
    let loaded = PlacementTarget {
        base: BaseState::Loaded,
        ..target(100)
    };
    assert_eq!(
        chosen_engine(&adapter(), &[target(1_000), pinned, loaded]),
        Some(2)
    );
    let plan = place_model(
        &adapter(),
        &[target(1_000), pinned],
        &[],
        &PlacementOptions::default(),
    )
    .unwrap();
    assert_eq!(
        (plan.engine, plan.load_base, plan.load_time),
        (1, true, secs(30))
    );
    assert_eq!(chosen_engine(&adapter(), &[target(1_000)]), None);
}

#[test]
fn replicas_spread_over_failure_domains() {
    let other = PlacementTarget {
        domain: 1,
        ..target(1_000)
    };
    let options = PlacementOptions::default();
    let plan = place_model(&request(), &[target(100), other], &[1, 0], &options).unwrap();
    assert_eq!(plan.engine, 1);
}

#[test]
fn the_cheapest_evictions_are_chosen() {
    let expensive = [EvictionCandidate {
        model: 1,
        memory: 100,
        cost: 50.0,
    }];
    let cheap = [
        EvictionCandidate {
            model: 2,
            memory: 10,
            cost: 0.5,
        },
        EvictionCandidate {
            model: 3,
            memory: 90,
            cost: 1.0,
        },
    ];
    let targets = [
        PlacementTarget {
            evictable: &expensive,
            ..target(0)
        },
        PlacementTarget {
            evictable: &cheap,
            ..target(10)
        },
    ];
    let plan = place_model(&request(), &targets, &[], &PlacementOptions::default()).unwrap();
    assert_eq!((plan.engine, plan.evict), (1, vec![3]));
}

#[test]
fn the_base_model_of_an_adapter_is_never_evicted_for_it() {
    let base = [EvictionCandidate {
        model: 9,
        memory: 500,
        cost: 0.0,
    }];
    let loaded_base = PlacementTarget {
        base: BaseState::Loaded,
        evictable: &base,
        ..target(0)
    };
    assert_eq!(chosen_engine(&adapter(), &[loaded_base]), None);
}

#[test]
fn pinned_only_skips_engines_without_a_pin() {
    let unpinned = PlacementTarget {
        pinned: false,
        ..target(1_000)
    };
    let options = PlacementOptions {
        pinned_only: true,
        ..Default::default()
    };
    assert_eq!(place_model(&request(), &[unpinned], &[], &options), None);
    assert_eq!(chosen_engine(&request(), &[unpinned]), Some(0));
}

#[test_case(Strategy::FirstFit, 1)]
#[test_case(Strategy::Solo, 2)]
fn baseline_strategies_choose_the_first_engine_with_free_memory(strategy: Strategy, engine: usize) {
    let best = PlacementTarget {
        tier: Tier::Memory,
        ..target(1_000)
    };
    let options = PlacementOptions {
        strategy,
        first_engine: 2,
        ..Default::default()
    };
    let targets = [target(0), target(100), target(100), best];
    assert_eq!(
        place_model(&request(), &targets, &[], &options)
            .unwrap()
            .engine,
        engine
    );
}
