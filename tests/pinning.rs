//! Pin planning: limits, memory, spread over failure domains, and convergence.

use mastichinge::decide::pinning::{
    EngineAvailability, Pin, PinChange, PinEngine, PinModel, PinState, plan_changes,
};
use proptest::prelude::*;
use test_case::test_case;

/// Applies changes as the control thread does; drained models count as unloaded.
fn apply(pins: &mut Vec<Pin>, changes: &[PinChange]) {
    for change in changes {
        match *change {
            PinChange::Add { model, engine } => pins.push(Pin {
                model,
                engine,
                state: PinState::Unused,
            }),
            PinChange::Move { model, from, to } => {
                let is_pin = |p: &&mut Pin| p.model == model && p.engine == from;
                pins.iter_mut().find(is_pin).unwrap().engine = to;
            }
            PinChange::Remove { model, engine } => {
                pins.retain(|p| p.model != model || p.engine != engine);
            }
            PinChange::Drain { model, engine } => {
                let is_pin = |p: &&mut Pin| p.model == model && p.engine == engine;
                pins.iter_mut().find(is_pin).unwrap().state = PinState::Unused;
            }
        }
    }
}

/// Plans and applies changes until there are none; returns the unplaced models.
fn converge(models: &[PinModel], engines: &[PinEngine], pins: &mut Vec<Pin>) -> Vec<usize> {
    for _ in 0..200 {
        let out = plan_changes(models, engines, pins, 4);
        if out.changes.is_empty() {
            return out.unplaced;
        }
        apply(pins, &out.changes);
    }
    panic!("the pins do not converge");
}

fn model(memory: u64, limit: u32) -> PinModel {
    PinModel {
        memory,
        limit,
        ..Default::default()
    }
}

fn engine(domain: u16, fencing: bool) -> PinEngine {
    PinEngine {
        domain,
        fencing,
        memory: 100,
        ..Default::default()
    }
}

#[test]
fn replicas_are_pinned_in_different_failure_domains() {
    let engines = [engine(0, true), engine(0, true), engine(1, true)];
    let mut pins = Vec::new();
    assert!(converge(&[model(10, 2)], &engines, &mut pins).is_empty());
    let domains: Vec<_> = pins.iter().map(|p| engines[p.engine].domain).collect();
    assert_eq!(domains, [0, 1]);
}

#[test]
fn a_pin_moves_off_a_leaving_engine_after_its_loaded_model_is_drained() {
    let leaving = PinEngine {
        availability: EngineAvailability::Leaving,
        ..engine(0, true)
    };
    let engines = [leaving, engine(0, true)];
    let mut pins = vec![Pin {
        state: PinState::Loaded,
        ..Default::default()
    }];
    let first = plan_changes(&[model(10, 1)], &engines, &pins, 4);
    assert_eq!(
        first.changes,
        [PinChange::Drain {
            model: 0,
            engine: 0
        }]
    );
    converge(&[model(10, 1)], &engines, &mut pins);
    assert_eq!(pins[0].engine, 1);
}

#[test_case(PinState::Doubtful, EngineAvailability::Leaving; "doubtful")]
#[test_case(PinState::Loaded, EngineAvailability::Unresponsive; "loaded on an unresponsive engine")]
fn a_model_that_may_still_run_keeps_its_pin(state: PinState, availability: EngineAvailability) {
    let engine_with_pin = PinEngine {
        availability,
        ..engine(0, true)
    };
    let pins = [Pin {
        state,
        ..Default::default()
    }];
    let out = plan_changes(
        &[model(10, 1)],
        &[engine_with_pin, engine(0, true)],
        &pins,
        4,
    );
    assert!(out.changes.is_empty());
}

#[test]
fn a_spare_pin_is_removed_for_a_model_without_one() {
    let engines = [engine(0, false), engine(1, false)];
    let mut pins = Vec::new();
    let mut models = vec![model(60, 2)];
    converge(&models, &engines, &mut pins);
    assert_eq!(pins.len(), 2);
    models.push(model(60, 1));
    assert!(converge(&models, &engines, &mut pins).is_empty());
    assert_eq!(pins.len(), 2);
}

fn pin_models() -> impl Strategy<Value = Vec<PinModel>> {
    let one = (
        1_u64..60,
        0_u32..4,
        prop::option::of(0_usize..3),
        0.0..9.0_f64,
    );
    prop::collection::vec(one, 3..14).prop_map(|all| {
        let mut models = Vec::new();
        for (i, (memory, limit, base, demand)) in all.into_iter().enumerate() {
            models.push(PinModel {
                memory,
                limit,
                base: base.filter(|_| i >= 3),
                demand,
            });
        }
        models
    })
}

fn pin_engines() -> impl Strategy<Value = Vec<PinEngine>> {
    let one = (0_u8..6, any::<bool>(), 0_u16..3, 20_u64..200);
    prop::collection::vec(one, 1..8).prop_map(|all| {
        let mut engines = Vec::new();
        for (availability, fencing, domain, memory) in all {
            engines.push(PinEngine {
                availability: match availability {
                    0 => EngineAvailability::Leaving,
                    1 => EngineAvailability::Unresponsive,
                    _ => EngineAvailability::Available,
                },
                fencing,
                domain,
                memory,
            });
        }
        engines
    })
}

/// Returns the memory of the pins on an engine, MB.
fn pinned_memory(models: &[PinModel], pins: &[Pin], engine: usize) -> u64 {
    let there = pins.iter().filter(|p| p.engine == engine);
    there.map(|p| models[p.model].memory).sum()
}

proptest! {
    #[test]
    fn pins_converge_within_limits_and_memory(
        models in pin_models(),
        before in pin_engines(),
        after in pin_engines(),
    ) {
        let mut pins = Vec::new();
        converge(&models, &before, &mut pins);
        for (i, e) in before.iter().enumerate() {
            let used = pinned_memory(&models, &pins, i);
            prop_assert!(e.fencing || used <= e.memory, "engine {i}: {used} of {}", e.memory);
        }
        // Only the availability of the engines changes; fencing, domain and memory stay.
        let mut engines = before.clone();
        for (e, a) in engines.iter_mut().zip(&after) {
            e.availability = a.availability;
        }
        let unplaced = converge(&models, &engines, &mut pins);
        for (i, m) in models.iter().enumerate() {
            let own: Vec<_> = pins.iter().filter(|p| p.model == i).collect();
            prop_assert!(own.len() <= m.limit as usize);
            let available =
                |p: &Pin| engines[p.engine].availability == EngineAvailability::Available;
            let placed = own.iter().any(|p| available(p));
            prop_assert!(placed || m.limit == 0 || unplaced.contains(&i));
            for pin in own.iter().filter(|p| available(p)) {
                let beside = |b| pins.iter().any(|p| p.model == b && p.engine == pin.engine);
                prop_assert!(m.base.is_none_or(beside) || unplaced.contains(&i));
            }
        }
        for (i, e) in engines.iter().enumerate() {
            prop_assert!(e.fencing || pinned_memory(&models, &pins, i) <= e.memory);
        }
    }
}
