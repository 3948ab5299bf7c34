//! Caps of customers at real daemons.

use std::time::Instant;

use serde_json::json;

use crate::fakes::daemon::{Daemon, Request, Response, wait};
use crate::fakes::store::Store;
use crate::site::{Site, desired};

/// Requests a second, and requests at once, of the customer.
const RATE: f64 = 4.0;
const BURST: f64 = 4.0;

fn start() -> Site {
    let store = Store::start();
    let mut state = desired(5);
    state["tenants"] = json!([{"name": "hule930", "apiKeys": ["k1"], "perS": RATE,
        "burst": BURST, "unit": "requests"}]);
    store.put("op", "config", &state);
    Site::start_with(store)
}

fn send(daemon: &Daemon, id: &str) -> Response {
    daemon.send(&Request::new("/look/", id).with("Authorization", "Token k1"))
}

/// Sends requests until one is refused; returns how many were served before.
fn use_up(daemon: &Daemon, name: &str) -> (usize, Response) {
    let mut served = 0;
    let mut last = Response::default();
    wait("a refusal", || {
        last = send(daemon, &format!("{name}-{served}"));
        served += usize::from(last.status == 200);
        last.status == 429
    });
    (served, last)
}

/// Guards against QUOTA, and against a customer that nobody serves: the host that grants its units
/// ends without a word.
#[test]
fn another_host_grants_what_a_customer_may_use() {
    let started = Instant::now();
    let site = start();
    let second = site.add_daemon();
    wait("charges that go to the first host", || {
        let lines = second.logged("charges to customers' caps go to another host");
        lines.iter().any(|l| l["allocator"] == "edge-1")
    });
    let (at_second, refusal) = use_up(&second, "b");
    assert!(refusal.header("retry-after").is_some(), "{refusal:?}");
    let (at_first, _) = use_up(&site.daemon, "a");
    let (store, plain) = (site.store, site.plain);
    drop(site.daemon);
    wait("the take-over", || {
        let lines = second.logged("charges to customers' caps go to another host");
        lines.iter().any(|l| l["allocator"] == "edge-2")
    });
    let mut last = 0;
    wait("a request that is served", || {
        last += 1;
        send(&second, &format!("c-{last}")).status == 200
    });
    let (later, _) = use_up(&second, "d");
    let served = (at_second + at_first + 1 + later) as f64;
    let allowed = BURST + RATE * started.elapsed().as_secs_f64();
    assert!(served <= allowed, "{served} of {allowed}");
    drop((store, plain));
}
