//! Tests of the leader's placement decisions.

use std::time::Duration;

use mastichinge::edge::orders::{EngineReport, OrderOutcome, Verb};
use mastichinge::edge::placement::{EngineCall, LoadHistory};
use mastichinge::edge::statements::RateStatement;
use mastichinge::edge::upstream::EngineEntry;
use test_case::test_case;

use crate::fixtures::{PlacerFixture, SERVICE, desired, entry, loads, report};

/// When a leader dies during a load, its successor finds an engine whose report does
/// not name the model that it is loading.
#[test]
fn an_engine_that_runs_an_order_of_an_earlier_leader_gets_no_orders() {
    let mut fixture = PlacerFixture::new(vec![entry("e1", 1, &["a"])], desired(&["a", "b", "c"]));
    fixture.add_waiting("b", None);
    let busy = |_: &str| EngineReport {
        busy: true,
        ..report(&["a"], 3)
    };
    let orders = fixture.run(6_000, busy, OrderOutcome::Accepted);
    assert_eq!(orders, [], "the engine may be loading anything");
    // The earlier order was a load of c, so b no longer fits without an unload.
    let orders = fixture.run(4_000, |_| report(&["a", "c"], 3), OrderOutcome::Accepted);
    assert_eq!(orders[0].verb, Verb::Unload);
}

/// A requested model without a replica is loaded on the engine with a copy on disk.
#[test]
fn a_requested_model_is_loaded_where_a_copy_is_on_disk() {
    let mut far = entry("e1", 1, &[]);
    far.copies.disk.insert("x".into());
    let mut near = entry("e2", 2, &["a"]);
    near.copies.disk.insert("b".into());
    let mut fixture = PlacerFixture::new(vec![far, near], desired(&["a", "b"]));
    fixture.add_waiting("b", None);
    let held = |engine: &str| match engine {
        "e1" => report(&[], 0),
        _ => report(&["a"], 0),
    };
    let orders = fixture.run(1_000, held, OrderOutcome::Accepted);
    assert_eq!(loads(&orders), [("e2", "b")]);
    assert_eq!(orders[0].expected_count, Some(0));
    assert_eq!(orders[0].fence, 7);
}

/// Engines may leave an order unanswered and run it late. The order is repeated with
/// the same expected number of orders, so that only one of the two takes effect.
#[test]
fn an_unanswered_order_is_repeated_with_the_same_number() {
    let mut fixture = PlacerFixture::new(vec![entry("e1", 1, &["a"])], desired(&["a", "b"]));
    fixture.add_waiting("b", None);
    let orders = fixture.run(200, |_| report(&["a"], 5), OrderOutcome::Unanswered);
    assert!(orders.len() >= 2, "{orders:?}");
    for order in &orders {
        assert_eq!((&*order.model, order.expected_count), ("b", Some(5)));
    }
    // The late order took effect. A repetition that was already due has the old
    // number, which the engine refuses; the report then ends the repetition.
    let late = |_: &str| EngineReport {
        busy: true,
        ..report(&["a"], 6)
    };
    let orders = fixture.run(1_000, late, OrderOutcome::Busy);
    assert!(orders.len() <= 1, "{orders:?}");
    assert!(
        orders.iter().all(|o| o.expected_count == Some(5)),
        "{orders:?}"
    );
}

/// A new leader knows engines only from entries that are older than the last orders
/// of its predecessor.
#[test]
fn a_new_leader_fetches_a_report_from_every_engine() {
    let entries = vec![entry("e1", 1, &["a"]), entry("e2", 2, &["b"])];
    let mut fixture = PlacerFixture::new(entries, desired(&["a", "b"]));
    let calls: Vec<_> = fixture.step();
    let all = [
        EngineCall::Report("e1".into()),
        EngineCall::Report("e2".into()),
    ];
    assert_eq!(calls, all);
    fixture.report("e1", &report(&[], 4));
    let view = &fixture.placer.views["e1"];
    assert_eq!(view.servable_models(fixture.now).count(), 0);
}

/// When demand moves to a model with one replica, another is loaded on an engine with
/// free memory before the queue grows.
#[test]
fn a_hot_model_gets_another_replica_where_memory_is_free() {
    let mut idle = entry("e2", 2, &["b"]);
    idle.copies.disk.insert("a".into());
    let mut full = entry("e3", 3, &["c", "d"]);
    full.copies.disk.insert("a".into());
    let entries = vec![entry("e1", 1, &["a"]), idle, full];
    let mut fixture = PlacerFixture::new(entries, desired(&["a", "b", "c", "d"]));
    let held = |engine: &str| match engine {
        "e1" => report(&["a"], 0),
        "e2" => report(&["b"], 0),
        _ => report(&["c", "d"], 0),
    };
    fixture.set_demand("a", 2.0, 0.3);
    assert_eq!(
        fixture.run(400, held, OrderOutcome::Accepted),
        [],
        "not busy enough"
    );
    fixture.set_demand("a", 6.0, 0.8);
    let orders = fixture.run(400, held, OrderOutcome::Accepted);
    assert_eq!(loads(&orders), [("e2", "a")]);
}

/// On a full engine, the less requested of two idle models is evicted.
#[test]
fn the_least_requested_model_is_evicted() {
    let mut full = entry("e1", 1, &["a", "b"]);
    full.copies.disk.insert("c".into());
    let mut fixture = PlacerFixture::new(vec![full], desired(&["a", "b", "c"]));
    fixture.set_demand("a", 0.5, 0.05);
    fixture.set_demand("b", 0.1, 0.01);
    fixture.add_waiting("c", None);
    let orders = fixture.run(300, |_| report(&["a", "b"], 0), OrderOutcome::Accepted);
    let unloads = orders.iter().filter(|o| o.verb == Verb::Unload);
    let victims: Vec<_> = unloads.map(|o| &*o.model).collect();
    assert_eq!(victims, ["b"]);
}

/// In quiet hours, models that are only on disk are loaded into free memory, so that
/// their first requests do not wait for a load.
#[test]
fn free_memory_is_filled_without_requests() {
    let mut free = entry("e1", 1, &["a"]);
    free.copies.disk.insert("b".into());
    let mut full = entry("e2", 2, &["c", "d"]);
    full.copies.disk.insert("b".into());
    let mut fixture = PlacerFixture::new(vec![free, full], desired(&["a", "b", "c", "d"]));
    let held = |engine: &str| match engine {
        "e1" => report(&["a"], 0),
        _ => report(&["c", "d"], 0),
    };
    let orders = fixture.run(400, held, OrderOutcome::Accepted);
    assert_eq!(loads(&orders), [("e1", "b")]);
    assert_eq!(orders.len(), 1, "no model is evicted: {orders:?}");
}

/// Models whose requests have a short objective stay loaded; those whose requests can
/// wait for a load are evicted.
#[test]
fn the_model_whose_requests_can_wait_is_evicted() {
    let mut full = entry("e1", 1, &["a", "b"]);
    full.copies.disk.insert("c".into());
    let mut fixture = PlacerFixture::new(vec![full], desired(&["a", "b", "c"]));
    fixture.set_demand("a", 0.4, 0.05);
    fixture.set_demand("b", 0.3, 0.05);
    for (key, demand) in &mut fixture.demand {
        demand.tight = match &*key.model {
            "b" => demand.rate,
            _ => 0.0,
        };
    }
    fixture.add_waiting("c", None);
    let orders = fixture.run(300, |_| report(&["a", "b"], 0), OrderOutcome::Accepted);
    let unloads = orders.iter().filter(|o| o.verb == Verb::Unload);
    let victims: Vec<_> = unloads.map(|o| &*o.model).collect();
    assert_eq!(victims, ["a"]);
}

/// On a full engine the load follows the unload without a report in between, and is
/// retried while the unload is still in progress.
#[test]
fn a_load_follows_its_unload_without_a_report() {
    let mut full = entry("e1", 1, &["a", "b"]);
    full.copies.disk.insert("c".into());
    let mut fixture = PlacerFixture::new(vec![full], desired(&["a", "b", "c"]));
    fixture.add_waiting("c", None);
    fixture.step();
    fixture.report("e1", &report(&["a", "b"], 0));
    let (mut orders, mut reports) = (Vec::new(), 0);
    for _ in 0..40 {
        for call in fixture.step() {
            match call {
                EngineCall::Report(_) => {
                    reports += 1;
                    // The state before the unload.
                    fixture.report("e1", &report(&["a", "b"], 0));
                }
                EngineCall::Order(order) => {
                    let outcome = match order.verb {
                        Verb::Load => OrderOutcome::Busy,
                        Verb::Unload => OrderOutcome::Accepted,
                    };
                    fixture.answer_order(&order, outcome);
                    orders.push((order.verb, fixture.now, reports));
                }
            }
        }
        fixture.advance(10);
    }
    let [(Verb::Unload, first, 0), (Verb::Load, second, 0)] = orders[..2] else {
        panic!("{orders:?}");
    };
    assert!(second - first <= Duration::from_millis(50), "{orders:?}");
    // After some refusals it fetches reports; old ones still show the victim.
    assert!(reports > 0);
    assert!(
        orders[1..]
            .iter()
            .all(|(verb, _, before)| (*verb, *before) == (Verb::Load, 0))
    );
    assert!(
        orders.len() <= 6,
        "no load into memory that may be in use: {orders:?}"
    );
    let tried = orders.len();
    fixture.advance(100);
    for _ in 0..30 {
        for call in fixture.step() {
            match call {
                EngineCall::Report(_) => fixture.report("e1", &report(&["b"], 1)),
                EngineCall::Order(order) => {
                    fixture.answer_order(&order, OrderOutcome::Accepted);
                    orders.push((order.verb, fixture.now, reports));
                }
            }
        }
        fixture.advance(10);
    }
    assert_eq!(orders.len(), tried + 1, "{orders:?}");
}

/// When many models without a replica are requested at once, loads from the weight
/// store stay within its rate limit in any window.
#[test]
fn loads_from_the_weight_store_keep_its_rate_limit() {
    let names: Vec<String> = (0..20).map(|i| format!("m{i:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut entries = Vec::new();
    for i in 0..20 {
        entries.push(entry(&format!("e{i:02}"), i + 1, &[]));
    }
    let mut fixture = PlacerFixture::new(entries, desired(&names));
    for name in &names {
        fixture.add_waiting(name, None);
    }
    let mut starts = Vec::new();
    for _ in 0..600 {
        for call in fixture.step() {
            match call {
                // Each load has completed by the next report.
                EngineCall::Report(engine) => {
                    let view = &fixture.placer.views[&engine];
                    let held: Vec<_> = view.replicas.keys().map(|m| m.to_string()).collect();
                    let held: Vec<&str> = held.iter().map(String::as_str).collect();
                    let orders = view.accepted_orders.unwrap_or(0);
                    fixture.report(&engine, &report(&held, orders));
                }
                EngineCall::Order(order) => {
                    starts.push(fixture.now);
                    fixture.answer_order(&order, OrderOutcome::Accepted);
                }
            }
        }
        fixture.advance(100);
    }
    assert_eq!(starts.len(), 20);
    let window = Duration::from_secs(5);
    for start in &starts {
        let within = starts
            .iter()
            .filter(|s| **s >= *start && **s < *start + window);
        assert!(within.count() <= 5, "{starts:?}");
    }
}

/// Loads of the previous leader count in the window of the next.
#[test]
fn the_rate_limit_holds_over_a_takeover() {
    let entries = vec![entry("e1", 1, &[]), entry("e2", 2, &[])];
    let mut fixture = PlacerFixture::new(entries, desired(&["a"]));
    let mut starts = Vec::new();
    for i in 0..5 {
        let ago = Duration::from_millis(1_000 + i);
        starts.push((SERVICE.into(), fixture.now - ago));
    }
    fixture.start_leadership(LoadHistory::Known(starts));
    fixture.add_waiting("a", None);
    let held = |_: &str| report(&[], 0);
    assert_eq!(fixture.run(3_900, held, OrderOutcome::Accepted), []);
    let orders = fixture.run(400, held, OrderOutcome::Accepted);
    assert_eq!(loads(&orders).len(), 1);
}

/// Guards against a load that waits for the end of a pause that an engine has asked for: the
/// model is loaded elsewhere, also if the load was planned before.
#[test]
fn no_load_is_ordered_at_an_engine_that_asks_for_a_pause() {
    let entries = vec![entry("e1", 1, &[]), entry("e2", 2, &[])];
    let mut fixture = PlacerFixture::new(entries, desired(&["a"]));
    fixture.add_waiting("a", None);
    let calls = fixture.step();
    assert_eq!(calls.len(), 2, "reports: {calls:?}");
    let pause = Duration::from_secs(30);
    let planned = ["e1", "e2"].map(|id| fixture.placer.views[id].task.is_some());
    let (paused, other) = match planned {
        [true, false] => ("e1", "e2"),
        _ => ("e2", "e1"),
    };
    let incarnation = fixture.fleet.incarnation(paused);
    fixture
        .fleet
        .record_pause(&paused.into(), incarnation, pause, fixture.now);
    for engine in ["e1", "e2"] {
        fixture.report(engine, &report(&[], 0));
    }
    let orders = fixture.run(1_000, |_| report(&[], 0), OrderOutcome::Accepted);
    assert_eq!(loads(&orders), [(other, "a")]);
    assert_eq!(
        fixture.placer.views[paused].paused_until,
        fixture.now - Duration::from_millis(1_000) + pause
    );
}

/// Guards against a model that is not loaded elsewhere although the only engine that holds it
/// wants no requests of the host where it is waited for.
#[test]
fn a_model_is_loaded_elsewhere_when_its_only_engine_wants_no_requests() {
    let entries = vec![entry("e1", 1, &["a"]), entry("e2", 2, &[])];
    let mut fixture = PlacerFixture::new(entries, desired(&["a"]));
    fixture.add_waiting("a", None);
    let held = |id: &str| match id {
        "e1" => report(&["a"], 0),
        _ => report(&[], 0),
    };
    assert_eq!(fixture.run(500, held, OrderOutcome::Accepted), []);
    for requests in fixture.waiting.values_mut() {
        requests.paused.insert("e1".into());
    }
    let orders = fixture.run(500, held, OrderOutcome::Accepted);
    assert_eq!(loads(&orders), [("e2", "a")], "once");
}

/// The same for an adapter: an engine that holds the model loads it.
#[test]
fn an_adapter_is_loaded_elsewhere_when_its_only_engine_wants_no_requests() {
    let with_adapter = || {
        let mut report = report(&["a"], 0);
        let adapters = report.models.get_mut("a").unwrap();
        adapters.insert("x".into());
        report
    };
    let entries = vec![entry("e1", 1, &["a"]), entry("e2", 2, &["a"])];
    let mut fixture = PlacerFixture::new(entries, desired(&["a"]));
    fixture.add_waiting("a", Some("x"));
    let held = |id: &str| match id {
        "e1" => with_adapter(),
        _ => report(&["a"], 0),
    };
    assert_eq!(fixture.run(500, held, OrderOutcome::Accepted), []);
    for requests in fixture.waiting.values_mut() {
        requests.paused.insert("e1".into());
    }
    let orders = fixture.run(500, held, OrderOutcome::Accepted);
    let first = &orders[0];
    assert_eq!(
        (&*first.engine, first.adapter.as_deref()),
        ("e2", Some("x"))
    );
}

/// Lets an engine name a rate.
fn name_rate(fixture: &mut PlacerFixture, engine: &str, rate: f64) {
    let statement = RateStatement {
        number: 1,
        incarnation: 1_000,
        rate: Some(rate),
        asked_at: fixture.now,
        heard_at: fixture.now,
    };
    let rates = fixture.fleet.rates_mut();
    rates.record(&engine.into(), statement);
}

/// Guards against callers that are refused although an engine is free: the only engine with their
/// model had named a rate below the demand.
#[test]
fn a_model_is_loaded_ahead_where_its_engine_takes_less_than_the_demand() {
    for (rate, expected) in [(1.0, vec![("e2", "a")]), (30.0, vec![])] {
        let engines = vec![entry("e1", 1, &["a"]), entry("e2", 2, &[])];
        let mut fixture = PlacerFixture::new(engines, desired(&["a"]));
        name_rate(&mut fixture, "e1", rate);
        fixture.set_demand("a", 3.0, 0.05);
        let held = |engine: &str| match engine {
            "e1" => report(&["a"], 0),
            _ => report(&[], 0),
        };
        let orders = fixture.run(1_000, held, OrderOutcome::Accepted);
        assert_eq!(loads(&orders), expected, "{rate}");
    }
}

/// Guards against loads on an engine that can hardly serve what it loads.
#[test]
fn a_model_is_loaded_where_no_rate_is_named() {
    let mut limited = entry("e1", 1, &[]);
    limited.copies.memory.insert("a".into());
    let mut fixture = PlacerFixture::new(vec![limited, entry("e2", 2, &[])], desired(&["a"]));
    name_rate(&mut fixture, "e1", 1.0);
    fixture.add_waiting("a", None);
    let orders = fixture.run(1_000, |_| report(&[], 0), OrderOutcome::Accepted);
    assert_eq!(loads(&orders), [("e2", "a")]);
}

/// Guards against an unload of the only replica that takes requests without a limit.
#[test]
fn the_replica_beside_an_engine_with_a_rate_stays() {
    let engines = vec![entry("e1", 1, &["a", "c"]), entry("e2", 2, &["a", "b"])];
    let mut fixture = PlacerFixture::new(engines, desired(&["a", "b", "c", "d"]));
    name_rate(&mut fixture, "e1", 0.5);
    fixture.set_demand("a", 2.0, 0.05);
    fixture.set_demand("b", 0.5, 0.05);
    fixture.set_demand("c", 0.5, 0.05);
    fixture.add_waiting("d", None);
    let held = |engine: &str| match engine {
        "e1" => report(&["a", "c"], 0),
        _ => report(&["a", "b"], 0),
    };
    let orders = fixture.run(1_000, held, OrderOutcome::Accepted);
    let unloads = orders.iter().filter(|o| o.verb == Verb::Unload);
    let unloads: Vec<_> = unloads.map(|o| (&*o.engine, &*o.model)).collect();
    assert!(!unloads.contains(&("e2", "a")), "{unloads:?}");
    assert!(!unloads.is_empty());
}

/// Returns engines of two versions: so many of the first and one of the second hold `a`, and
/// `free` of the second hold other models and have room.
fn two_versions(free: usize) -> Vec<EngineEntry> {
    let second = |id: &str, port, models: &[&str]| EngineEntry {
        software: "v2".into(),
        ..entry(id, port, models)
    };
    let mut entries = vec![
        entry("e1", 1, &["a", "c"]),
        entry("e2", 2, &["a", "c"]),
        second("e3", 3, &["a", "b"]),
    ];
    for number in 0..free {
        let port = 4 + number as u16;
        entries.push(second(&format!("e{port}"), port, &["b"]));
    }
    entries
}

/// Returns what the engines of [`two_versions`] hold.
fn held(engine: &str) -> EngineReport {
    match engine {
        "e1" | "e2" => report(&["a", "c"], 0),
        "e3" => report(&["a", "b"], 0),
        _ => report(&["b"], 0),
    }
}

/// Guards against LOST: a version had one copy of a model, and its streams were refused after the
/// crash of that engine, as a load takes longer than their callers wait.
#[test_case(0.0; "before the first request")]
#[test_case(1.0; "with requests")]
fn a_version_keeps_a_second_copy_of_a_model_with_resumable_streams(rate: f64) {
    let mut fixture = PlacerFixture::new(two_versions(1), desired(&["a", "b", "c"]));
    fixture.add_stream_route();
    fixture.set_demand("a", rate, 0.05 * rate);
    let orders = fixture.run(2_000, held, OrderOutcome::Accepted);
    assert_eq!(loads(&orders), [("e4", "a")]);
}

/// No second copy is kept where no stream may be resumed, or where no other engine of the version
/// could hold it.
#[test_case(1, false; "without streams that may be resumed")]
#[test_case(0, true; "without another engine of the version")]
fn no_second_copy_is_kept_without_need(free: usize, resumable: bool) {
    let mut fixture = PlacerFixture::new(two_versions(free), desired(&["a", "b", "c"]));
    if resumable {
        fixture.add_stream_route();
    }
    fixture.set_demand("a", 1.0, 0.05);
    let orders = fixture.run(2_000, held, OrderOutcome::Accepted);
    assert_eq!(loads(&orders), []);
}

/// Guards against LOST: copies at other versions made the only copy of a version cheap to evict.
#[test]
fn the_only_copy_of_a_version_is_evicted_last() {
    let mut entries = two_versions(1);
    entries[2].models = entry("", 1, &["a", "c"]).models;
    entries[2].copies.disk.insert("d".into());
    entries[3].models = entry("", 1, &["a", "b"]).models;
    let mut fixture = PlacerFixture::new(entries, desired(&["a", "b", "c", "d"]));
    fixture.add_stream_route();
    fixture.set_demand("a", 0.5, 0.1);
    fixture.set_demand("c", 0.5, 0.02);
    fixture.add_waiting("d", None);
    let held = |engine: &str| match engine {
        "e4" => report(&["a", "b"], 0),
        _ => report(&["a", "c"], 0),
    };
    let orders = fixture.run(300, held, OrderOutcome::Accepted);
    let unloads = orders.iter().filter(|o| o.verb == Verb::Unload);
    let victims: Vec<_> = unloads.map(|o| (&*o.engine, &*o.model)).collect();
    assert_eq!(victims, [("e3", "a")]);
}
