//! Tests of how many loads from the weight store run at the same time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mastichinge::edge::orders::{EngineReport, OrderOutcome};
use mastichinge::edge::placement::EngineCall;
use test_case::test_case;

use crate::fixtures::{PlacerFixture, SERVICE, desired, entry, report};

/// Runs loads from a weight store that serves `parallel` at full speed, for each of `spans` seconds;
/// returns the most loads that were in progress at the same time in each.
fn most_loads(fixture: &mut PlacerFixture, parallel: f64, spans: &[u64]) -> Vec<usize> {
    const STEP_MS: u64 = 20;
    let hosting = fixture.desired.hosting(SERVICE).unwrap();
    let load_time = hosting.models["w0"].store_load;
    let mut left: BTreeMap<Arc<str>, Duration> = BTreeMap::new();
    let mut held: BTreeMap<Arc<str>, Vec<Arc<str>>> = BTreeMap::new();
    let mut most = Vec::new();
    for span in spans {
        let mut in_span = 0;
        for _ in 0..span * 1_000 / STEP_MS {
            let part = (parallel / left.len().max(1) as f64).min(1.0);
            for rest in left.values_mut() {
                *rest = rest.saturating_sub(Duration::from_millis(STEP_MS).mul_f64(part));
            }
            left.retain(|_, rest| !rest.is_zero());
            in_span = in_span.max(left.len());
            for call in fixture.step() {
                match call {
                    EngineCall::Report(engine) => {
                        let busy = left.contains_key(&engine);
                        let orders = held.get(&engine).map_or(0, Vec::len);
                        let whole = held.get(&engine).into_iter().flatten().filter(|_| !busy);
                        let models: Vec<_> = whole.map(|m| &**m).chain(["a"]).collect();
                        let report = EngineReport {
                            busy,
                            ..report(&models, orders as u64)
                        };
                        fixture.report(&engine, &report);
                    }
                    EngineCall::Order(order) => {
                        fixture.answer_order(&order, OrderOutcome::Accepted);
                        held.entry(order.engine.clone())
                            .or_default()
                            .push(order.model);
                        left.insert(order.engine, load_time);
                    }
                }
            }
            fixture.advance(STEP_MS);
        }
        most.push(in_span);
    }
    most
}

/// Returns 40 engines with room for one of 40 models, which no engine has a copy of and that load in
/// `load_s` seconds.
fn without_copies(load_s: u64) -> (PlacerFixture, Vec<String>) {
    let entries = (1..=40).map(|n| entry(&format!("e{n}"), n, &["a"]));
    let models: Vec<_> = (0..40).map(|n| format!("w{n}")).collect();
    let names: Vec<_> = models.iter().map(String::as_str).chain(["a"]).collect();
    let mut desired = desired(&names);
    let service = Arc::make_mut(desired.services.get_mut(SERVICE).unwrap());
    for model in service.hosting.as_mut().unwrap().models.values_mut() {
        model.store_load = Duration::from_secs(load_s);
    }
    (PlacerFixture::new(entries.collect(), desired), models)
}

/// Pattern: requests wait for more models than the weight store serves at full speed. Loads beyond
/// that number only delay each other.
#[test_case(1.0, 1; "one at a time")]
#[test_case(2.0, 2; "two at a time")]
#[test_case(4.0, 4; "as many as the settings say")]
fn as_many_loads_run_as_the_weight_store_serves(parallel: f64, expected: usize) {
    let (mut fixture, models) = without_copies(6);
    for model in &models {
        fixture.add_waiting(model, None);
    }
    assert_eq!(most_loads(&mut fixture, parallel, &[38, 12])[1], expected);
}

/// Long loads that no request needs begin one at a time, and run together only once that has been
/// seen to slow none of them.
#[test_case(6, [3, 3, 3]; "short loads")]
#[test_case(15, [1, 3, 3]; "long loads")]
fn long_loads_ahead_begin_one_at_a_time(load_s: u64, expected: [usize; 3]) {
    let (mut fixture, _) = without_copies(load_s);
    assert_eq!(most_loads(&mut fixture, 4.0, &[10, 50, 20]), expected);
}
