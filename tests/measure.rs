//! Tests of the bounds that the `measure` example compares its results with.

#[path = "../examples/measure/cold_start_bound.rs"]
mod cold_start_bound;
#[path = "../examples/measure/worth_bound.rs"]
mod worth_bound;

use cold_start_bound::{ColdRequest, StoreParameters, least_waits};
use worth_bound::{Job, max_worth};

const STORE: StoreParameters = StoreParameters {
    rate: 2.0,
    parallel: 4,
    load_time: 2.0,
    cached_time: 0.5,
    adapter_time: 0.25,
    token_time: 0.0,
};

fn cold_request(arrival: f64, weights: &str) -> ColdRequest {
    ColdRequest {
        arrival,
        weights: weights.into(),
        is_adapter: false,
        base_loaded: false,
    }
}

#[test]
fn loads_over_the_parallel_limit_start_in_the_next_window() {
    let requests: Vec<ColdRequest> = "abcdef"
        .chars()
        .map(|c| cold_request(0.0, &c.to_string()))
        .collect();
    assert_eq!(
        least_waits(&requests, &STORE),
        [2.0, 2.0, 2.0, 2.0, 4.0, 4.0]
    );
}

#[test]
fn requests_for_one_model_share_a_load() {
    let requests = [
        cold_request(0.0, "a"),
        cold_request(0.5, "a"),
        cold_request(2.0, "a"),
    ];
    assert_eq!(least_waits(&requests, &STORE), [2.0, 1.5, 0.0]);
}

#[test]
fn a_second_load_of_a_model_comes_from_the_cache() {
    let requests = [cold_request(0.0, "a"), cold_request(10.0, "a")];
    assert_eq!(least_waits(&requests, &STORE), [2.0, 0.5]);
}

#[test]
fn an_adapter_waits_for_its_base_unless_it_is_loaded() {
    let adapter = |base_loaded| ColdRequest {
        is_adapter: true,
        base_loaded,
        ..cold_request(0.0, "a")
    };
    let requests = [adapter(true), adapter(false), cold_request(0.0, "a")];
    assert_eq!(least_waits(&requests, &STORE), [0.25, 2.25, 2.0]);
}

fn job(release: u32, deadline: u32, worth: f64) -> Job {
    Job {
        release,
        deadline,
        worth,
    }
}

#[test]
fn max_worth_drops_the_jobs_of_least_worth() {
    let jobs = [job(0, 0, 1.0), job(0, 0, 5.0), job(0, 0, 3.0)];
    assert_eq!(max_worth(&jobs, 2), 8.0);
}

#[test]
fn max_worth_delays_jobs_with_later_deadlines() {
    let jobs = [job(0, 1, 5.0), job(0, 0, 1.0), job(1, 1, 0.5)];
    assert_eq!(max_worth(&jobs, 1), 6.0);
}
