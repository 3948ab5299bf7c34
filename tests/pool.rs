//! The pool owner held against the invariants of the ownership protocol, by
//! random steps with fixed seeds.

#[path = "pool/world.rs"]
mod world;

use std::cell::RefCell;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use test_case::test_case;

use world::{ENGINES, MODELS, World};

/// One step of the world; numbers choose among what there is.
#[derive(Clone, Debug)]
enum Step {
    Round(usize),
    Tick(usize, u64),
    Want(usize, usize, Option<usize>),
    Claim(usize),
    HandOver(usize),
    Write(usize),
    Written(usize),
    Deliver(usize),
    Answer(usize),
    Lose(usize),
    Ask(usize, usize),
    Hear(usize),
    Restart(usize),
}

/// The specification: the invariants that the world checks, in any order of
/// steps.
struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let n = 0..8_usize;
        let d = 0..2_usize;
        prop_oneof![
            20 => d.clone().prop_map(Step::Round),
            30 => (d.clone(), prop_oneof![Just(1), Just(50), Just(250)])
                .prop_map(|(d, ms)| Step::Tick(d, ms)),
            30 => (d.clone(), 0..MODELS, prop::option::of(0..ENGINES))
                .prop_map(|(d, m, avoid)| Step::Want(d, m, avoid)),
            4 => d.clone().prop_map(Step::Claim),
            1 => d.clone().prop_map(Step::HandOver),
            20 => n.clone().prop_map(Step::Write),
            20 => n.clone().prop_map(Step::Written),
            20 => n.clone().prop_map(Step::Deliver),
            20 => n.clone().prop_map(Step::Answer),
            4 => n.clone().prop_map(Step::Lose),
            10 => (d, 0..ENGINES).prop_map(|(d, e)| Step::Ask(d, e)),
            10 => n.prop_map(Step::Hear),
            2 => (0..ENGINES).prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// What happened in all cases of a test.
#[derive(Debug, Default)]
struct Counts {
    loads: u64,
    released: u64,
    adopted: u64,
    handovers: u64,
}

thread_local! {
    static COUNTS: RefCell<Counts> = RefCell::default();
}

struct PoolTest;

impl StateMachineTest for PoolTest {
    type SystemUnderTest = World;
    type Reference = AnyOrder;

    fn init_test((): &()) -> World {
        let mut world = World::default();
        world.claim(0);
        world
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        match step {
            Step::Round(d) => world.round(d),
            Step::Tick(d, ms) => world.tick(d, ms),
            Step::Want(d, m, avoid) => world.want(d, m, avoid),
            Step::Claim(d) => world.claim(d),
            Step::HandOver(d) => world.hand_over(d),
            Step::Write(n) => world.write(n),
            Step::Written(n) => world.written(n),
            Step::Deliver(n) => world.deliver(n),
            Step::Answer(n) => world.answer(n),
            Step::Lose(n) => world.lose(n),
            Step::Ask(d, e) => world.ask(d, e),
            Step::Hear(n) => world.hear(n),
            Step::Restart(e) => world.restart(e),
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }

    fn teardown(world: World, (): ()) {
        COUNTS.with(|counts| {
            let mut counts = counts.borrow_mut();
            counts.loads += world.loads;
            counts.released += world.released;
            counts.adopted += world.adopted;
            counts.handovers += world.handovers;
        });
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn pool_keeps_the_invariants(seed: u64) {
    let config = Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let steps = AnyOrder::sequential_strategy(300);
    let run = |(start, steps, seen)| {
        PoolTest::test_sequential(Config::default(), start, steps, seen);
        Ok(())
    };
    TestRunner::new(config).run(&steps, run).unwrap();
    COUNTS.with(|counts| {
        let counts = counts.borrow();
        println!("seed {seed}: {counts:?}");
        assert!(counts.loads > 0 && counts.released > 0);
        assert!(counts.adopted > 0 && counts.handovers > 0);
    });
}

/// Daemon 0 owns the pool and has pinned every model.
fn owned() -> World {
    let mut world = World::default();
    world.claim(0);
    for _ in 0..4 {
        world.round(0);
    }
    assert_eq!(world.pins(1).pins.len(), 1);
    world
}

#[test]
fn report_of_an_older_instance_adopts_nothing() {
    let mut world = owned();
    world.ask(0, 1);
    world.restart(1);
    world.ask(0, 1);
    for (report, instance) in [(1, "i1"), (0, "i1")] {
        world.hear(report);
        world.tick(0, 1);
        world.write(0);
        world.written(0);
        world.tick(0, 1);
        assert_eq!(&*world.pins(1).instance, instance);
    }
}

#[test]
fn inherited_doubt_outlives_a_clean_handover() {
    let mut world = owned();
    let name = world.pins(1).pins.keys().next().unwrap().clone();
    let m = (0..MODELS).find(|m| world::model(*m) == name).unwrap();
    world.want(0, m, None);
    world.tick(0, 1);
    world.claim(1);
    for _ in 0..2 {
        for e in 0..ENGINES {
            world.ask(1, e);
            world.hear(0);
        }
        world.tick(1, 1);
    }
    world.deliver(1);
    world.answer(0);
    world.hand_over(1);
    assert_eq!(world.handovers, 1);
    assert!(world.pins(1).pins[&name].doubt);
}
