//! Customers: keys of callers, what engines are told of them, and versions that change them.

use std::thread;
use std::time::Duration;

use mastichinge::edge::customers::{Cap, CapUnit, KeyDigest};
use mastichinge::edge::request_headers::RequestHeaders;
use mastichinge::platform::desired as platform_desired;
use mastichinge::platform::headers::parse_request;
use serde_json::{Value, json};
use test_case::test_case;

use crate::fakes::daemon::{Request, Response, wait};
use crate::fakes::engine::{Behavior, Engine};
use crate::fakes::store::Store;
use crate::site::{MODEL, Site, assert_whole, desired, route};

const KEY: &str = "asnmgkcuyj8p";
const OTHER_KEY: &str = "k7b2ex5wa5xw";
const TENANT: &str = "x-mastichinge-tenant";

/// Returns a desired state in which one customer holds these keys.
fn with_keys(version: u64, keys: &[&str]) -> Value {
    let mut state = desired(version);
    let mut open = route("/open/", "idempotent", "desk");
    open["public"] = true.into();
    // No engine takes over from one that is silent.
    let mut slow = route("/slow/", "idempotent", "desk");
    slow["latencyTargetMs"] = 15_000.into();
    let routes = state["routes"].as_array_mut().unwrap();
    routes.extend([open, slow]);
    state["tenants"] = json!([{"name": "hule930", "apiKeys": keys, "priority": 4}]);
    state
}

fn start() -> Site {
    let store = Store::start();
    store.put("op", "config", &with_keys(5, &[KEY]));
    Site::start_with(store)
}

/// Takes all keys away from the customer.
fn remove_keys(site: &Site) {
    site.store.put("op", "config", &with_keys(6, &[]));
    site.wait_for_version(6);
}

fn keyed(path: &str, id: &str, key: &str) -> Request {
    Request::new(path, id).with("Authorization", &format!("Token {key}"))
}

/// Sends a request from another thread.
fn send_aside(site: &Site, request: Request) -> thread::JoinHandle<Response> {
    let callers = site.daemon.callers;
    thread::spawn(move || {
        let stream = std::net::TcpStream::connect(callers).unwrap();
        crate::fakes::daemon::exchange(stream, &request.bytes(true))
    })
}

/// Guards against ROUTE: a request without the key of a customer ran.
#[test_case(&["Token asnmgkcuyj8p"], 200; "a key")]
#[test_case(&["tOKEN   asnmgkcuyj8p  "], 200; "another case and spaces")]
#[test_case(&[], 401; "none")]
#[test_case(&["Token k7b2ex5wa5xw"], 401; "an unknown key")]
#[test_case(&["Bearer asnmgkcuyj8p"], 401; "another scheme")]
#[test_case(&["Token"], 401; "a scheme alone")]
#[test_case(&["Token asnmgkcuyj8p", "Token asnmgkcuyj8p"], 401; "two headers")]
fn a_request_needs_the_key_of_a_customer(values: &[&str], status: u16) {
    let site = start();
    let request = Request::new("/look/", "a");
    let request = values
        .iter()
        .fold(request, |r, value| r.with("Authorization", value));
    let answer = site.daemon.send(&request);
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(site.runs("a"), usize::from(status == 200));
    if status == 401 {
        assert_eq!(answer.header("retry-after"), None);
    }
    assert_eq!(site.send("/nowhere/", "b").status, 404);
}

/// Guards against UNASKED: an engine got the key, the name that the caller sent, or none, or the
/// priority of the route; or a log line showed the key.
#[test]
fn engines_get_the_name_of_the_customer_and_no_key() {
    let site = start();
    let forged = [
        keyed("/look/", "known", KEY),
        keyed("/open/", "open", KEY),
        keyed("/open/", "other", OTHER_KEY),
        keyed("/stream/", "stream", KEY).with(MODEL, "m1"),
    ];
    for request in forged {
        let request = request.with("X-Mastichinge-Tenant", "forged");
        let answer = site.daemon.send(&request);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let engines = site.plain.iter().chain(&site.models);
    let arrivals: Vec<_> = engines.flat_map(Engine::arrivals).collect();
    let is_request = |id: &str| ["known", "open", "other", "stream"].contains(&id);
    let mut count = 0;
    for arrival in &arrivals {
        let id = arrival.header("x-mastichinge-request-id");
        if !is_request(id) {
            continue;
        }
        count += 1;
        let name = if id == "other" { "" } else { "hule930" };
        assert_eq!(arrival.header(TENANT), name, "{id}");
        assert_eq!(arrival.header("authorization"), "", "{id}");
        if id == "stream" {
            assert_eq!(arrival.header("x-mastichinge-request-priority"), "4");
        }
    }
    assert_eq!(count, 4);
    wait("their log lines", || {
        site.daemon.logged("request answered").len() == count
    });
    let lines = json!(site.daemon.lines()).to_string();
    assert!(!lines.contains(KEY) && !lines.contains(OTHER_KEY));
}

/// Guards against CONFIG: a key that a version added or took away was handled as by the version
/// before.
#[test]
fn versions_add_and_take_away_keys() {
    let site = start();
    let status = |id, key| site.daemon.send(&keyed("/look/", id, key)).status;
    assert_eq!((status("a", KEY), status("b", OTHER_KEY)), (200, 401));
    site.store.put("op", "config", &with_keys(6, &[OTHER_KEY]));
    site.wait_for_version(6);
    assert_eq!((status("c", KEY), status("d", OTHER_KEY)), (401, 200));
    site.store.put("op", "config", &desired(7));
    site.wait_for_version(7);
    assert_eq!(site.send("/look/", "e").status, 200);
}

/// Guards against CONFIG: a request that waited for a load ran with a key taken away meanwhile.
#[test]
fn a_request_that_waits_ends_when_its_key_is_taken_away() {
    let site = start();
    for engine in &site.models {
        engine.set_behavior(Behavior::RefusesCalls);
    }
    let sent = send_aside(&site, keyed("/stream/", "w", KEY).with(MODEL, "m2"));
    wait("a request that waits", || {
        !site.daemon.logged("request waits for a load").is_empty()
    });
    remove_keys(&site);
    let answer = sent.join().unwrap();
    assert_eq!(answer.status, 401, "{answer:?}");
    assert_eq!(site.arrivals("w"), 0);
    wait("its log line", || {
        let refused = site.daemon.logged("request refused");
        refused.iter().any(|l| l["customer"] == "hule930")
    });
}

/// Guards against CONFIG: a request whose engine crashed was sent to another with a key taken
/// away meanwhile; and against an answer that says that it has not run.
#[test]
fn a_request_that_may_have_run_is_not_sent_again_without_its_key() {
    let site = start();
    site.set(Behavior::Silent);
    let sent = send_aside(&site, keyed("/slow/", "r", KEY));
    wait("the request at an engine", || site.arrivals("r") == 1);
    remove_keys(&site);
    for engine in &site.plain {
        engine.set_behavior(Behavior::Correct);
        if !engine
            .arrivals_of(|a| a.header("x-mastichinge-request-id") == "r")
            .is_empty()
        {
            engine.crash();
        }
    }
    let answer = sent.join().unwrap();
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(site.arrivals("r"), 1);
}

/// Guards against a stream that ends in its middle when the key of its caller is taken away.
#[test]
fn a_stream_at_an_engine_goes_on_without_its_key() {
    let site = start();
    for engine in &site.models {
        engine.set_pace(Duration::from_millis(100));
    }
    let sent = send_aside(&site, keyed("/stream/", "s", KEY).with(MODEL, "m1"));
    wait("the stream at an engine", || site.arrivals("s") == 1);
    remove_keys(&site);
    assert_whole(&sent.join().unwrap());
    let again = keyed("/stream/", "s2", KEY).with(MODEL, "m1");
    let again = again.with("Last-Event-Id", "2").with("Resumes", "s");
    assert_eq!(site.daemon.send(&again).status, 401);
}

/// Guards against CONFIG: a version with faulty customers came into force without their keys.
#[test]
fn a_version_with_faulty_customers_changes_nothing() {
    let site = start();
    let mut faulty = with_keys(6, &[OTHER_KEY]);
    let tenants = faulty["tenants"].as_array_mut().unwrap();
    tenants.push(json!({"name": "b", "apiKeys": [OTHER_KEY]}));
    site.store.put("op", "config", &faulty);
    wait("a log line", || {
        !site
            .daemon
            .logged("desired state cannot be decoded")
            .is_empty()
    });
    let status = |id, key| site.daemon.send(&keyed("/look/", id, key)).status;
    assert_eq!((status("a", KEY), status("b", OTHER_KEY)), (200, 401));
    remove_keys(&site);
    let lines = site.daemon.logged("desired state cannot be decoded");
    assert_eq!((lines.len(), &lines[0]["known"]), (1, &json!(5)));
}

/// Guards against a faulty customer that is taken, or whose error does not name the field, or
/// shows a key.
#[test_case(json!([{"apiKeys": ["k1"]}]), "tenants[0]: name"; "no name")]
#[test_case(json!([{"name": " "}]), "tenants[0]: name"; "a blank name")]
#[test_case(json!([{"name": "a"}, {"name": "a"}]), "tenants[1]: another customer has the same name"; "a name twice")]
#[test_case(json!([{"name": "a", "apiKeys": ["x", "k1"]}, {"name": "b", "apiKeys": ["k1"]}]), "tenants[1]: key 0 is also"; "a key of two")]
#[test_case(json!([{"name": "a", "apiKeys": ["x", ""]}]), "tenants[0]: apiKeys[1]"; "an empty key")]
#[test_case(json!([{"name": "a", "apiKeys": ["k1 k1"]}]), "tenants[0]: apiKeys[0]"; "a key with a space")]
#[test_case(json!([{"name": "a", "apiKeys": "k1"}]), "tenants[0]: apiKeys is not a list"; "no list of keys")]
#[test_case(json!([{"name": "a", "apiKeys": [{"k1": 1}]}]), "tenants[0]: apiKeys[0]"; "a key of another type")]
#[test_case(json!([{"name": "a", "perS": -1}]), "tenants[0]: perS is -1"; "a cap below zero")]
#[test_case(json!([{"name": "a", "burst": "many"}]), "tenants[0]: invalid type"; "a cap that is no number")]
#[test_case(json!([{"name": "a", "unit": "bytes", "apiKeys": ["k1"]}]), "tenants[0]: unknown variant"; "an unknown unit")]
#[test_case(json!(["k1"]), "tenants[0]: not an object"; "no object")]
#[test_case(json!({"a": "k1"}), "tenants is not a list"; "no list")]
fn a_faulty_customer_is_refused(tenants: Value, expected: &str) {
    let text = json!({"version": 6, "tenants": tenants}).to_string();
    let error = platform_desired::decode(text.as_bytes()).unwrap_err();
    let error = error.to_string();
    assert!(error.starts_with(expected), "{error}");
    assert!(!error.contains("k1"), "{error}");
}

#[test]
fn customers_are_decoded_with_their_keys_and_caps() {
    let text = json!({"version": 6, "tenants": [
        {"name": "a", "apiKeys": ["k1", "k2"], "priority": 1, "unit": "tokens",
            "plainTokens": 200, "perS": 1_000, "burst": 500},
        {"name": "b", "apiKeys": [], "perS": 0, "burst": 7}, {"name": "c", "perS": 2.5}]});
    let desired = platform_desired::decode(text.to_string().as_bytes()).unwrap();
    let customers = &desired.customers;
    let holder = |key: &str| customers.find(&KeyDigest::of(key.as_bytes()));
    assert_eq!(
        holder("k2").map(|c| (&*c.name, c.priority)),
        Some(("a", Some(1)))
    );
    assert_eq!(holder("k3"), None);
    let cap = Cap {
        unit: CapUnit::Tokens,
        rate: 1_000.0,
        burst: 500.0,
        plain_cost: 200.0,
    };
    assert_eq!(customers.get("a").and_then(|c| c.cap), Some(cap));
    assert_eq!(customers.get("b").and_then(|c| c.cap), None);
    let requests = customers.get("c").and_then(|c| c.cap).unwrap();
    assert_eq!(requests.cost(&RequestHeaders::default()), 1.0);
    let cost = |counts: &[&str]| {
        let mut headers = http::HeaderMap::new();
        for value in counts {
            headers.insert("x-mastichinge-token-count", value.parse().unwrap());
        }
        cap.cost(&parse_request(&headers))
    };
    assert_eq!(cost(&["1460, 80"]), 1_540.0);
    assert_eq!((cost(&[]), cost(&["many,80"])), (200.0, 200.0));
    assert!(customers.is_required());
    let none = platform_desired::decode(br#"{"version": 6}"#).unwrap();
    assert!(!none.customers.is_required());
}
