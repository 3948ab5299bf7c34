//! Engines that turn requests away with 503 and ask for a pause.

use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use mastichinge::platform::headers::engine_pause;
use test_case::test_case;

use crate::fakes::daemon::wait;
use crate::fakes::engine::{Behavior, Engine};
use crate::site::{Site, desired};

/// Pause for which the engines ask, s; longer than the requests of a test take.
const PAUSE_S: &str = "30";
/// Requests that are sent to see whether an engine gets any.
const REQUESTS: usize = 12;

/// Makes an engine reject requests and ask for a pause.
fn pause(engine: &Engine, seconds: &str) {
    engine.set_behavior(Behavior::Full);
    engine.add_header("Retry-After", seconds);
}

/// Sends requests until an engine has asked for a pause.
fn send_until_paused(site: &Site) {
    let mut sent = 0;
    wait("a pause", || {
        site.send("/look/", &format!("first{sent}"));
        sent += 1;
        !site.daemon.logged("engine asks for a pause").is_empty()
    });
}

/// Guards against BUDGET: an engine that had asked for a pause got requests in it.
#[test]
fn an_engine_that_asks_for_a_pause_gets_no_request_in_it() {
    let site = Site::start();
    pause(&site.plain[0], PAUSE_S);
    send_until_paused(&site);
    let before = site.plain[0].arrivals().len();
    for i in 0..REQUESTS {
        let answer = site.send("/look/", &format!("l{i}"));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(site.plain[0].arrivals().len(), before);
}

/// Guards against a pause that is forgotten with an entry that is missing for a while.
#[test]
fn a_pause_goes_on_when_the_entry_of_its_engine_is_back() {
    let site = Site::start();
    pause(&site.plain[0], PAUSE_S);
    send_until_paused(&site);
    site.store.remove("servers", "p1");
    site.wait_for_change("p1", "gone");
    let before = site.plain[0].arrivals().len();
    site.plain[0].register("ready");
    wait("its entry", || site.changes("p1", "appeared") == 2);
    for i in 0..REQUESTS {
        assert_eq!(site.send("/look/", &format!("l{i}")).status, 200);
    }
    assert_eq!(site.plain[0].arrivals().len(), before);
}

/// Guards against a request that is held, or refused with a delay of its own, while all its
/// engines want no requests.
#[test]
fn a_request_is_refused_with_the_shortest_pause_when_all_engines_ask_for_one() {
    let site = Site::start();
    pause(&site.plain[0], PAUSE_S);
    pause(&site.plain[1], "1e19");
    wait("both pauses", || {
        site.send("/look/", "first");
        let lines = site.daemon.logged("engine asks for a pause");
        ["p1", "p2"]
            .iter()
            .all(|e| lines.iter().any(|l| l["engine"] == *e))
    });
    let answer = site.send("/look/", "l1");
    assert_eq!((answer.status, site.arrivals("l1")), (503, 0), "{answer:?}");
    let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((10.0..=30.0).contains(&wait), "{wait}");
}

/// A request that still meets its objective after the pause waits for its end.
#[test]
fn a_request_waits_for_the_end_of_a_short_pause() {
    let site = Site::start();
    let mut state = desired(6);
    for route in state["routes"].as_array_mut().unwrap() {
        route["latencyTargetMs"] = 5_000.into();
    }
    site.store.put("op", "config", &state);
    site.wait_for_version(6);
    site.store.remove("servers", "p2");
    site.wait_for_change("p2", "gone");
    pause(&site.plain[0], "0.5");
    let answer = std::thread::scope(|scope| {
        scope.spawn(|| {
            wait("a pause", || {
                !site.daemon.logged("engine asks for a pause").is_empty()
            });
            site.plain[0].set_behavior(Behavior::Correct);
        });
        site.send("/look/", "l1")
    });
    assert_eq!((answer.status, site.arrivals("l1")), (200, 2), "{answer:?}");
}

/// An engine that has started again has asked for nothing.
#[test]
fn an_engine_that_has_started_again_gets_requests() {
    let site = Site::start();
    pause(&site.plain[0], PAUSE_S);
    send_until_paused(&site);
    site.plain[0].set_behavior(Behavior::Correct);
    let before = site.plain[0].arrivals().len();
    site.plain[0].start_again();
    let mut sent = 0;
    wait("a request at the engine", || {
        site.send("/look/", &format!("l{sent}"));
        sent += 1;
        site.plain[0].arrivals().len() > before
    });
}

/// Fractions and large values are read as sent; what is not a number of seconds is ignored.
#[test_case(503, "0.25", Some(0.25); "a fraction")]
#[test_case(503, "86400", Some(86_400.0); "a large value")]
#[test_case(503, "0", Some(0.0); "nothing")]
#[test_case(429, "5", None; "another status")]
fn a_pause_is_read_as_sent(status: u16, value: &str, seconds: Option<f64>) {
    let pause = engine_pause(StatusCode::from_u16(status).unwrap(), &retry_after(value));
    assert_eq!(pause, Ok(seconds.map(Duration::from_secs_f64)));
}

#[test_case("soon"; "a word")]
#[test_case("-1"; "a negative number")]
#[test_case("NaN"; "no number")]
#[test_case("1e300"; "beyond any time")]
fn a_pause_that_is_no_number_of_seconds_is_an_error(value: &str) {
    let error = engine_pause(StatusCode::SERVICE_UNAVAILABLE, &retry_after(value));
    let text = error.unwrap_err().to_string();
    assert!(text.contains(value), "{text}");
}

fn retry_after(value: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(RETRY_AFTER, HeaderValue::from_str(value).unwrap());
    headers
}

/// Guards against a rush at the end of a pause: all refused callers were told the same instant.
#[test]
fn refused_callers_are_told_to_return_one_after_the_other() {
    let site = Site::start();
    site.store.remove("servers", "e2");
    site.wait_for_change("e2", "gone");
    pause(&site.models[0], PAUSE_S);
    let mut sent = 0;
    wait("a pause", || {
        site.stream("/stream/", &format!("first{sent}"));
        sent += 1;
        !site.daemon.logged("engine asks for a pause").is_empty()
    });
    let mut waits = Vec::new();
    for i in 0..2 * REQUESTS {
        let answer = site.stream("/stream/", &format!("s{i}"));
        assert_eq!(answer.status, 503, "{answer:?}");
        let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        waits.push(wait);
    }
    // The pause itself becomes shorter meanwhile.
    assert!(waits.last() > waits.first(), "{waits:?}");
}

/// Guards against requests that are refused for as long as the only engine that holds their
/// model wants none, although another could load it.
#[test]
fn a_model_is_loaded_elsewhere_when_its_only_engine_asks_for_a_pause() {
    let site = Site::start();
    site.store.remove("servers", "e2");
    site.wait_for_change("e2", "gone");
    let idle = Engine::start(&site.store, "e3", "models", &[]);
    site.wait_for_change("e3", "appeared");
    wait("a leader", || {
        !site.daemon.logged("leadership acquired").is_empty()
    });
    pause(&site.models[0], PAUSE_S);
    let mut sent = 0;
    wait("an answer", || {
        sent += 1;
        site.stream("/stream/", &format!("s{sent}")).status == 200
    });
    // The leader may have loaded another model ahead of requests before.
    let orders = idle.received_orders();
    let of_model: Vec<_> = orders.iter().filter(|o| o["model"] == "m1").collect();
    assert_eq!(of_model.len(), 1, "{orders:?}");
    assert!(site.models[0].arrivals().len() <= 2);
}
