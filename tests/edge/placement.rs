//! What the holder orders, under the loads that the decisions are made for.

use mastichinge::edge::orders::{Outcome, Report, Verb};

use crate::scene::{World, desired, entry, loads, report};

/// A holder that dies in the middle of a load leaves its successor an engine
/// whose report does not name what it is loading.
#[test]
fn an_engine_that_carries_out_an_order_of_an_earlier_tenure_gets_none() {
    let mut world = World::new(vec![entry("e1", 1, &["a"])], desired(&["a", "b", "c"]));
    world.want("b", None);
    let busy = |_: &str| Report {
        busy: true,
        ..report(&["a"], 3)
    };
    let orders = world.run(6_000, busy, Outcome::Accepted);
    assert_eq!(orders, [], "the engine may be loading anything");
    // The earlier order was a load of c: now there is no room without unloading.
    let orders = world.run(4_000, |_| report(&["a", "c"], 3), Outcome::Accepted);
    assert_eq!(orders[0].verb, Verb::Unload);
}

/// A sleeping model is asked for: it goes to the engine with a copy on disk.
#[test]
fn a_wanted_model_loads_where_a_copy_is_near() {
    let mut far = entry("e1", 1, &[]);
    far.copies.disk.insert("x".into());
    let mut near = entry("e2", 2, &["a"]);
    near.copies.disk.insert("b".into());
    let mut world = World::new(vec![far, near], desired(&["a", "b"]));
    world.want("b", None);
    let held = |engine: &str| match engine {
        "e1" => report(&[], 0),
        _ => report(&["a"], 0),
    };
    let orders = world.run(1_000, held, Outcome::Accepted);
    assert_eq!(loads(&orders), [("e2", "b")]);
    assert_eq!(orders[0].expected, Some(0));
    assert_eq!(orders[0].fence, 7);
}

/// Workers leave orders unanswered and carry them out late: an order is
/// repeated under the number that lets only one of the two through.
#[test]
fn an_unanswered_order_is_repeated_under_the_same_number() {
    let mut world = World::new(vec![entry("e1", 1, &["a"])], desired(&["a", "b"]));
    world.want("b", None);
    let orders = world.run(200, |_| report(&["a"], 5), Outcome::Unanswered);
    assert!(orders.len() >= 2, "{orders:?}");
    for order in &orders {
        assert_eq!((&*order.model, order.expected), ("b", Some(5)));
    }
    // The late one was carried out. A repetition that was due goes out under
    // the old number, which the engine refuses; the report ends it.
    let late = |_: &str| Report {
        busy: true,
        ..report(&["a"], 6)
    };
    let orders = world.run(1_000, late, Outcome::Busy);
    assert!(orders.len() <= 1, "{orders:?}");
    assert!(orders.iter().all(|o| o.expected == Some(5)), "{orders:?}");
}
