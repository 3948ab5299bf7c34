//! Tests of the room that engines with slow stretches keep.

use std::time::Duration;

use mastichinge::edge::engine_load::EngineReport as LoadReport;
use mastichinge::edge::orders::OrderOutcome;
use test_case::test_case;

use crate::fixtures::{PlacerFixture, desired, entry, loads, report};

/// Reports a slowness of `percent` in a quarter of the latest stretches of all engines.
fn report_stretches(fixture: &mut PlacerFixture, percent: u32) {
    for engine in fixture.fleet.engines.values_mut() {
        for stretch in 0..10_u64 {
            let slowness_percent = Some(if stretch % 4 == 3 { percent } else { 100 });
            let report = LoadReport {
                slowness_percent,
                ..LoadReport::default()
            };
            let at = fixture.now + Duration::from_millis(700 * stretch);
            engine.pace.record_report(report, at);
        }
    }
    fixture.advance(10_000);
}

/// Pattern: engines that are 2.5 times as slow in a part of the stretches. A model gets another
/// replica before such a stretch saturates its engine.
#[test_case(100, &[]; "engines without slow stretches")]
#[test_case(250, &[("e2", "a")]; "engines with slow stretches")]
fn a_replica_comes_before_slow_stretches_saturate_an_engine(
    percent: u32,
    expected: &[(&str, &str)],
) {
    let mut idle = entry("e2", 2, &["b"]);
    idle.copies.disk.insert("a".into());
    let full = entry("e3", 3, &["c", "d"]);
    let entries = vec![entry("e1", 1, &["a"]), idle, full];
    let mut fixture = PlacerFixture::new(entries, desired(&["a", "b", "c", "d"]));
    report_stretches(&mut fixture, percent);
    fixture.set_demand("a", 2.0, 0.3);
    let held = |engine: &str| match engine {
        "e1" => report(&["a"], 0),
        "e2" => report(&["b"], 0),
        _ => report(&["c", "d"], 0),
    };
    let orders = fixture.run(400, held, OrderOutcome::Accepted);
    assert_eq!(loads(&orders), expected);
}

/// A replica that comes before its model is busy costs no model that is asked for.
#[test_case(0.2, false; "before it is busy")]
#[test_case(0.5, true; "once it is busy")]
fn requested_models_are_evicted_for_busy_ones_only(work: f64, expected: bool) {
    let mut full = entry("e2", 2, &["b", "c"]);
    full.copies.disk.insert("a".into());
    let other = entry("e3", 3, &["d", "e"]);
    let entries = vec![entry("e1", 1, &["a"]), full, other];
    let mut fixture = PlacerFixture::new(entries, desired(&["a", "b", "c", "d", "e"]));
    report_stretches(&mut fixture, 250);
    for model in ["b", "c", "d", "e"] {
        fixture.set_demand(model, 0.1, 0.01);
    }
    fixture.set_demand("a", 10.0 * work, work);
    let held = |engine: &str| match engine {
        "e1" => report(&["a"], 0),
        "e2" => report(&["b", "c"], 0),
        _ => report(&["d", "e"], 0),
    };
    let orders = fixture.run(3_000, held, OrderOutcome::Accepted);
    assert_eq!(loads(&orders).contains(&("e2", "a")), expected);
}
