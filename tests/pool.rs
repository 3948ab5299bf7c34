//! Checks the pool owner against the invariants of the ownership protocol, by
//! random steps with fixed seeds.

#[path = "pool/world.rs"]
mod world;

use std::cell::RefCell;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use test_case::test_case;

use world::{ENGINES, MODELS, World};

/// One step of the simulated pool; the numbers select a daemon, an engine, a model or a message.
#[derive(Clone, Debug)]
enum Step {
    RunRound(usize),
    Tick(usize, u64),
    Enqueue(usize, usize, Option<usize>),
    Claim(usize),
    HandOver(usize),
    CommitPinWrite(usize),
    DeliverWriteResult(usize),
    DeliverOrder(usize),
    DeliverOutcome(usize),
    BreakOrder(usize),
    RequestReport(usize, usize),
    DeliverReport(usize),
    RestartEngine(usize),
}

/// Reference without a state of its own: the steps may come in any order, and
/// the invariants are checked by `World`.
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
            20 => d.clone().prop_map(Step::RunRound),
            30 => (d.clone(), prop_oneof![Just(1), Just(50), Just(250)])
                .prop_map(|(d, ms)| Step::Tick(d, ms)),
            30 => (d.clone(), 0..MODELS, prop::option::of(0..ENGINES))
                .prop_map(|(d, m, avoid)| Step::Enqueue(d, m, avoid)),
            4 => d.clone().prop_map(Step::Claim),
            1 => d.clone().prop_map(Step::HandOver),
            20 => n.clone().prop_map(Step::CommitPinWrite),
            20 => n.clone().prop_map(Step::DeliverWriteResult),
            20 => n.clone().prop_map(Step::DeliverOrder),
            20 => n.clone().prop_map(Step::DeliverOutcome),
            4 => n.clone().prop_map(Step::BreakOrder),
            10 => (d, 0..ENGINES).prop_map(|(d, e)| Step::RequestReport(d, e)),
            10 => n.prop_map(Step::DeliverReport),
            2 => (0..ENGINES).prop_map(Step::RestartEngine),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Events in all cases of a test.
#[derive(Debug, Default)]
struct Counts {
    loads: u64,
    released_pins: u64,
    adopted_instances: u64,
    handovers: u64,
    avoidances: u64,
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
            Step::RunRound(d) => world.run_round(d),
            Step::Tick(d, ms) => world.tick(d, ms),
            Step::Enqueue(d, m, avoid) => world.enqueue(d, m, avoid),
            Step::Claim(d) => world.claim(d),
            Step::HandOver(d) => world.hand_over(d),
            Step::CommitPinWrite(n) => world.commit_pin_write(n),
            Step::DeliverWriteResult(n) => world.deliver_write_result(n),
            Step::DeliverOrder(n) => world.deliver_order(n),
            Step::DeliverOutcome(n) => world.deliver_outcome(n),
            Step::BreakOrder(n) => world.break_order(n),
            Step::RequestReport(d, e) => world.request_report(d, e),
            Step::DeliverReport(n) => world.deliver_report(n),
            Step::RestartEngine(e) => world.restart_engine(e),
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check_invariants();
    }

    fn teardown(world: World, (): ()) {
        COUNTS.with(|counts| {
            let mut counts = counts.borrow_mut();
            counts.loads += world.loads;
            counts.released_pins += world.released_pins;
            counts.adopted_instances += world.adopted_instances;
            counts.handovers += world.handovers;
            counts.avoidances += world.avoidances;
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
        assert!(counts.loads > 0 && counts.released_pins > 0);
        assert!(counts.adopted_instances > 0 && counts.handovers > 0);
        assert!(counts.avoidances > 0);
    });
}

/// A world in which daemon 0 owns the pool and has pinned every model.
fn world_with_pinned_models() -> World {
    let mut world = World::default();
    world.claim(0);
    for _ in 0..4 {
        world.run_round(0);
    }
    assert_eq!(world.engine_pins(1).pins.len(), 1);
    world
}

#[test]
fn report_of_an_older_instance_is_not_adopted() {
    let mut world = world_with_pinned_models();
    world.request_report(0, 1);
    world.restart_engine(1);
    world.request_report(0, 1);
    let adopted = format!("{}-1", world::engine(1));
    for report in [1, 0] {
        world.deliver_report(report);
        world.tick(0, 1);
        world.commit_pin_write(0);
        world.deliver_write_result(0);
        world.tick(0, 1);
        assert_eq!(*world.engine_pins(1).instance, *adopted);
    }
}

#[test]
fn clean_handover_keeps_inherited_doubt() {
    let mut world = world_with_pinned_models();
    let name = world.engine_pins(1).pins.keys().next().unwrap().clone();
    let m = (0..MODELS).find(|m| world::model(*m) == name).unwrap();
    world.enqueue(0, m, None);
    world.tick(0, 1);
    world.claim(1);
    for _ in 0..2 {
        for e in 0..ENGINES {
            world.request_report(1, e);
            world.deliver_report(0);
        }
        world.tick(1, 1);
    }
    world.deliver_order(1);
    world.deliver_outcome(0);
    world.hand_over(1);
    assert_eq!(world.handovers, 1);
    assert!(world.engine_pins(1).pins[&name].doubt);
}

/// Guards against unloads that cut the streams of a host that the new owner has never had a link
/// to.
#[test]
fn a_new_owner_does_not_unload_while_an_absent_host_may_have_requests() {
    let mut world = world_with_pinned_models();
    world.enqueue(0, 0, None);
    while world.loaded_engine().is_none() {
        world.deliver_order(0);
        world.deliver_outcome(0);
        world.tick(0, 1);
    }
    let engine = world.loaded_engine().unwrap();
    world.kill(0);
    world.set_running(engine, 1);
    world.claim(1);
    for _ in 0..8 {
        world.run_round(1);
    }
    assert_eq!(world.cuts(), 0);
    assert_eq!(world.loaded_engine(), Some(engine));
    world.set_running(engine, 0);
    for _ in 0..8 {
        world.run_round(1);
    }
    assert_eq!(world.loaded_engine(), None);
}
