//! The bounds against which the measuring program compares.

#[path = "../examples/measure/ideal.rs"]
mod ideal;
#[path = "../examples/measure/least.rs"]
mod least;

use ideal::{Job, ideal};
use least::{Cold, Store, least};

const STORE: Store = Store {
    rate: 2.0,
    parallel: 4,
    load: 2.0,
    cached: 0.5,
    adapter: 0.25,
    first: 0.0,
};

fn cold(at: f64, weights: &str) -> Cold {
    Cold {
        at,
        weights: weights.into(),
        adapter: false,
        base: false,
    }
}

#[test]
fn loads_beyond_the_parallel_ones_wait_for_the_rate() {
    let colds: Vec<Cold> = "abcdef"
        .chars()
        .map(|c| cold(0.0, &c.to_string()))
        .collect();
    assert_eq!(least(&colds, &STORE), [2.0, 2.0, 2.0, 2.0, 4.0, 4.0]);
}

#[test]
fn requests_for_one_model_share_a_load() {
    let colds = [cold(0.0, "a"), cold(0.5, "a"), cold(2.0, "a")];
    assert_eq!(least(&colds, &STORE), [2.0, 1.5, 0.0]);
}

#[test]
fn a_second_load_of_a_model_comes_from_the_cache() {
    let colds = [cold(0.0, "a"), cold(10.0, "a")];
    assert_eq!(least(&colds, &STORE), [2.0, 0.5]);
}

#[test]
fn an_adapter_waits_for_its_base_unless_it_is_loaded() {
    let adapter = |base| Cold {
        adapter: true,
        base,
        ..cold(0.0, "a")
    };
    let colds = [adapter(true), adapter(false), cold(0.0, "a")];
    assert_eq!(least(&colds, &STORE), [0.25, 2.25, 2.0]);
}

fn job(from: u32, until: u32, worth: f64) -> Job {
    Job { from, until, worth }
}

#[test]
fn the_ideal_order_gives_up_what_is_worth_least() {
    let jobs = [job(0, 0, 1.0), job(0, 0, 5.0), job(0, 0, 3.0)];
    assert_eq!(ideal(&jobs, 2), 8.0);
}

#[test]
fn the_ideal_order_postpones_what_can_wait() {
    let jobs = [job(0, 1, 5.0), job(0, 0, 1.0), job(1, 1, 0.5)];
    assert_eq!(ideal(&jobs, 1), 6.0);
}
