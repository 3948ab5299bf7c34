//! Several daemons at one store.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use crate::fakes::daemon::{Daemon, Request, wait};
use crate::fakes::engine::{Behavior, Engine};
use crate::site::{MODEL, Site};

#[test]
fn daemons_discover_each_other_and_the_entry_response_lists_the_live_ones() {
    let site = Site::start();
    let second = Daemon::start(&site.store, "edge-2");
    let listed = |daemon: &Daemon| -> BTreeSet<String> {
        let answer = daemon.get("/resolve?name=firm.example&region=r&zone=north");
        let answer: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let addrs = answer["addrs"].as_array().cloned().unwrap_or_default();
        addrs
            .iter()
            .map(|a| a.as_str().unwrap().to_owned())
            .collect()
    };
    let both = BTreeSet::from([site.daemon.callers.to_string(), second.callers.to_string()]);
    wait("both daemons in both responses", || {
        listed(&site.daemon) == both && listed(&second) == both
    });
    drop(second);
    let one = BTreeSet::from([site.daemon.callers.to_string()]);
    wait("the dead daemon out of the response", || {
        listed(&site.daemon) == one
    });
}

/// Only one daemon sends orders at a time, and the second takes over when the first is
/// killed.
#[test]
fn another_daemon_becomes_leader_when_the_leader_is_killed() {
    let site = Site::start();
    wait("a leader", || {
        !site.daemon.logged("leadership acquired").is_empty()
    });
    let second = Daemon::start(&site.store, "edge-2");
    let Site {
        store,
        models,
        daemon,
        ..
    } = site;
    wait("a heartbeat of the second daemon", || {
        !daemon.logged("member alive").is_empty()
    });
    assert_eq!(second.logged("leadership acquired"), Vec::<Value>::new());
    drop(daemon);
    wait("its successor", || {
        !second.logged("leadership acquired").is_empty()
    });
    let row = store.get("tenure", "orders").unwrap();
    assert_eq!((&row["host"], &row["fence"]), (&json!("edge-2"), &json!(2)));
    let request = Request::new("/stream/", "s1").with(MODEL, "m2");
    let answer = second.send(&request);
    assert_eq!(answer.status, 200);
    let orders: Vec<Value> = models.iter().flat_map(Engine::received_orders).collect();
    assert!(orders.iter().any(|o| o["fence"] == 2), "{orders:?}");
}

/// A request that crashes every engine that runs it is held after the second crash, also
/// by the daemon that receives it next.
#[test]
fn a_request_that_crashes_engines_is_held_by_all_daemons() {
    let site = Site::start();
    let second = Daemon::start(&site.store, "edge-2");
    wait("the daemons' heartbeats", || {
        !second.logged("member alive").is_empty() && !site.daemon.logged("member alive").is_empty()
    });
    site.set(Behavior::Reset);
    let crashing = |id: &str| Request {
        body: "the same body".to_owned(),
        ..Request::new("/look/", id)
    };
    assert_eq!(site.daemon.send(&crashing("x1")).status, 502);
    assert_eq!(site.arrivals("x1"), 2);
    wait("the hold at the second daemon", || {
        second.send(&crashing("x2")).status == 503
    });
    site.set(Behavior::Correct);
    assert_eq!(second.send(&Request::new("/look/", "other")).status, 200);
}
