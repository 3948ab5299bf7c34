//! Patterns of large fleets: many adapters that are waited for at once, and many daemons
//! that tell each other what they know.

use mastichinge::edge::orders::{Order, OrderOutcome, Verb};
use mastichinge::edge::placement::EngineCall;

use crate::fixtures::{PlacerFixture, desired, entry, report};

fn orders(calls: Vec<EngineCall>) -> Vec<Order> {
    let order = |call| match call {
        EngineCall::Order(order) => Some(order),
        EngineCall::Report(_) => None,
    };
    calls.into_iter().filter_map(order).collect()
}

/// Lets every engine report what it holds.
fn read_reports(fixture: &mut PlacerFixture) {
    for call in fixture.step() {
        let EngineCall::Report(id) = call else {
            panic!("an order before the report");
        };
        let models = fixture.fleet.engines[&id].entry.models.clone();
        let names: Vec<_> = models.keys().map(|m| &**m).collect();
        fixture.report(&id, &report(&names, 0));
    }
}

/// A morning's first requests: 60 adapters on 240 engines are asked for within a step.
/// Each is ordered in that step, once, on an engine that serves its model.
#[test]
fn all_adapters_that_requests_wait_for_are_ordered_at_once() {
    let models: Vec<_> = (0..120).map(|i| format!("m{i:03}")).collect();
    let names: Vec<_> = models.iter().map(|m| &**m).collect();
    let entries = (0..240).map(|i| entry(&format!("e{i:03}"), 1_000 + i, &[names[i as usize / 2]]));
    let mut fixture = PlacerFixture::new(entries.collect(), desired(&names));
    read_reports(&mut fixture);
    for i in 0..60 {
        fixture.add_waiting(names[i * 2], Some("a1"));
    }
    let given = orders(fixture.step());
    assert_eq!(given.len(), 60);
    for order in &given {
        assert_eq!(
            (order.verb, order.adapter.as_deref()),
            (Verb::Load, Some("a1"))
        );
        let holds = &fixture.fleet.engines[&order.engine].entry.models;
        assert!(holds.contains_key(&order.model), "{order:?}");
        fixture.answer_order(order, OrderOutcome::Accepted);
    }
    fixture.advance(15);
    assert!(orders(fixture.step()).is_empty(), "each is loaded once");
}

/// The least busy engine cannot take an order: its report is due. The adapter goes to the
/// other replica of its model and does not wait.
#[test]
fn an_adapter_does_not_wait_for_an_engine_that_can_take_no_order() {
    let entries = vec![entry("e1", 1, &["m1"]), entry("e2", 2, &["m1"])];
    let mut fixture = PlacerFixture::new(entries, desired(&["m1"]));
    read_reports(&mut fixture);
    fixture.placer.views.get_mut("e1").unwrap().call_pending = true;
    fixture.add_waiting("m1", Some("a1"));
    let given = orders(fixture.step());
    assert_eq!(given.len(), 1);
    assert_eq!(&*given[0].engine, "e2");
}
