//! A store that comes back from an older copy, and gives its versions out again.

use std::collections::BTreeSet;

use mastichinge::clock::Moment;
use mastichinge::edge::fleet::Fleet;
use mastichinge::edge::leadership::FENCES_PER_ERA;
use mastichinge::edge::upstream::EngineEntry;
use serde_json::json;
use test_case::test_case;

use crate::fakes::daemon::{Request, wait};
use crate::fakes::engine::Engine;
use crate::fakes::store::Store;
use crate::fixtures::entry;
use crate::site::{MODEL, Site, desired, route};

/// Starts a deployment at a store in its first era.
fn start() -> Site {
    let store = Store::start();
    store.set_era("1");
    store.put("op", "config", &desired(5));
    Site::start_with(store)
}

/// Writes rows that nothing reads, so that versions are given out.
fn give_out_versions(store: &Store, count: usize) {
    for _ in 0..count {
        store.put("other", "row", &json!({}));
    }
}

/// Waits until the daemon has seen the store come back.
fn wait_for_era(site: &Site) {
    wait("the new era", || {
        !site
            .daemon
            .logged("store has come back from an older copy, everything is read again")
            .is_empty()
    });
}

/// Guards against CONFIG: the operator's rewrite under a version that had been given out before
/// was never read, as the feed went on from there.
#[test]
fn a_desired_state_under_a_version_given_out_again_comes_into_force() {
    let site = start();
    let copy = site.store.copy();
    give_out_versions(&site.store, 20);
    site.store.put("op", "config", &desired(6));
    site.wait_for_version(6);
    site.store.go_back(&copy, "2");
    let mut rewritten = desired(7);
    let routes = rewritten["routes"].as_array_mut().unwrap();
    routes.push(route("/new/", "idempotent", "desk"));
    site.store.put("op", "config", &rewritten);
    give_out_versions(&site.store, 40);
    site.wait_for_version(7);
    assert_eq!(site.send("/new/", "l1").status, 200);
}

/// Guards against CONFIG: an older desired state came back into force.
#[test]
fn the_desired_state_in_force_does_not_go_back() {
    let site = start();
    let copy = site.store.copy();
    let mut newer = desired(6);
    let routes = newer["routes"].as_array_mut().unwrap();
    routes.push(route("/new/", "idempotent", "desk"));
    site.store.put("op", "config", &newer);
    site.wait_for_version(6);
    let reads = site.store.whole_reads("op");
    site.store.go_back(&copy, "2");
    wait_for_era(&site);
    wait("a whole reading", || site.store.whole_reads("op") > reads);
    assert_eq!(site.send("/new/", "l1").status, 200);
}

/// Guards against engines that are never known: the list was read by its changes after a
/// version of the history before.
#[test]
fn an_engine_under_a_version_given_out_again_is_known() {
    let site = start();
    let copy = site.store.copy();
    give_out_versions(&site.store, 20);
    let reads = site.store.whole_reads("servers");
    site.store.go_back(&copy, "2");
    let engine = Engine::start(&site.store, "p3", "desk", &[]);
    give_out_versions(&site.store, 40);
    site.wait_for_change("p3", "appeared");
    assert!(site.store.whole_reads("servers") > reads);
    assert_eq!(engine.id, "p3");
}

/// Guards against a host that the others do not know: its row was lost.
#[test]
fn the_row_of_a_daemon_is_written_again() {
    let store = Store::start();
    store.set_era("1");
    store.put("op", "config", &desired(5));
    let copy = store.copy();
    let site = Site::start_with(store);
    wait("its row", || site.store.get("members", "edge-1").is_some());
    site.store.go_back(&copy, "2");
    wait("its row", || site.store.get("members", "edge-1").is_some());
}

/// Guards against ONE and against a fleet without orders: the row of the leader was lost, and its
/// number given out again.
#[test]
fn the_leader_goes_on_under_a_number_of_the_new_era() {
    let store = Store::start();
    store.set_era("1");
    store.put("op", "config", &desired(5));
    let copy = store.copy();
    let site = Site::start_with(store);
    wait("a leader", || {
        !site.daemon.logged("leadership acquired").is_empty()
    });
    site.store.go_back(&copy, "2");
    for engine in site.plain.iter().chain(&site.models) {
        engine.register("ready");
    }
    wait("its row", || {
        let row = site.store.get("tenure", "orders");
        row.is_some_and(|row| row["fence"] == 2 * FENCES_PER_ERA)
    });
    let request = Request::new("/stream/", "s1").with(MODEL, "m2");
    wait("an order", || site.daemon.send(&request).status == 200);
    let orders = site.models.iter().flat_map(Engine::received_orders);
    assert!(orders.into_iter().any(|o| o["fence"] == 2 * FENCES_PER_ERA));
    assert!(
        site.daemon
            .logged("leadership lost: the row names another leader")
            .is_empty()
    );
}

/// A response of an earlier era, or one whose era cannot be read, is not believed.
#[test_case("1", "response of an earlier era of the store dropped"; "earlier")]
#[test_case("two", "response of the store not believed"; "no number")]
fn a_response_of_another_era_is_dropped(era: &str, message: &str) {
    let site = start();
    site.store.set_era("2");
    wait_for_era(&site);
    site.store.set_era(era);
    site.store.put("op", "config", &desired(6));
    wait("its log line", || !site.daemon.logged(message).is_empty());
    site.store.set_era("2");
    site.wait_for_version(6);
}

/// A store that names no era is one that never goes back.
#[test]
fn a_store_without_eras_is_used() {
    let site = Site::start();
    assert_eq!(site.send("/look/", "l1").status, 200);
    let lines = site
        .daemon
        .logged("the store names no era, the known one is assumed");
    assert_eq!(lines.len(), 1);
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(50_000 + ms)
}

fn list(fleet: &mut Fleet, era: u64, entries: Vec<EngineEntry>, ms: u64) {
    fleet.begin_era(era);
    fleet.update_entries(entries, &BTreeSet::new(), None, at(ms));
}

/// Guards against DRAIN: the entry of an engine that was acknowledged as gone came back with an
/// older copy of the store.
#[test]
fn an_engine_that_was_gone_does_not_come_back_with_an_older_copy() {
    let mut fleet = Fleet::default();
    let gone = EngineEntry {
        sequence: 4,
        ..entry("e", 1, &[])
    };
    list(&mut fleet, 1, vec![gone.clone()], 0);
    list(&mut fleet, 1, vec![], 100);
    list(&mut fleet, 2, vec![gone.clone()], 200);
    assert!(fleet.engines.is_empty());
    // It lives: it has written another entry.
    let newer = EngineEntry {
        sequence: 5,
        ..gone.clone()
    };
    list(&mut fleet, 2, vec![newer], 300);
    assert_eq!(fleet.engines.len(), 1);
    // Within one era an entry that is back is of a living engine.
    list(&mut fleet, 2, vec![], 400);
    list(&mut fleet, 2, vec![gone], 500);
    assert_eq!(fleet.engines.len(), 1);
}

/// Guards against engines that are taken as gone: their entries are written again within about
/// two seconds.
#[test]
fn engines_whose_entries_are_lost_are_kept_for_a_while() {
    let site = start();
    let copy = {
        let store = Store::start();
        store.put("op", "config", &desired(5));
        store.copy()
    };
    site.store.go_back(&copy, "2");
    wait_for_era(&site);
    assert_eq!(site.send("/look/", "l1").status, 200);
    for engine in &site.plain {
        engine.register("ready");
    }
    assert_eq!(site.changes("p1", "gone"), 0);
}
