//! End-to-end tests of two failures at once, with daemon processes and a fake site.

mod env;

use std::collections::BTreeSet;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use env::{Booking, CompletionReply, Env};
use mastichinge::fakes::FakeEngine;
use mastichinge::fakes::site::{CRASH_TEXT, SiteSettings};
use mastichinge::outside::HostState;
use serde_json::{Value, json};

/// Load or call time that is long enough to inject a failure meanwhile.
const LONG_DELAY: Duration = Duration::from_secs(3);
/// Age of a host list from before the start of the site.
const STALE_LIST_AGE: Duration = Duration::from_secs(3_600);
/// Factor by which a slow weight store multiplies load times.
const SLOWDOWN: f64 = 4.0;

fn start_with_pins(settings: SiteSettings) -> Env {
    let env = Env::start(settings, Path::new(env!("CARGO_BIN_EXE_mastichinged")), &[]);
    let all = env.site.settings.models + env.site.settings.adapters;
    env.wait("pins of all models", || pin_count(&env) >= all as usize);
    env
}

/// Returns the number of recorded pins of all engines.
fn pin_count(env: &Env) -> usize {
    let items = env.site.platform.state.get().items;
    let records = items.iter().filter(|(key, _)| key.starts_with("pin/main/"));
    let pins = records.filter_map(|(_, item)| item.value["pins"].as_object());
    pins.map(|p| p.len()).sum()
}

fn has_model(engine: &FakeEngine, model: &str) -> bool {
    engine.report().residents.iter().any(|r| &*r.model == model)
}

fn replica_count(env: &Env, model: &str) -> usize {
    let engines = env.site.engines.iter();
    engines.filter(|e| has_model(e, model)).count()
}

/// Returns the first engine on which `model` is loaded or loading.
fn engine_with<'a>(env: &'a Env, model: &str) -> &'a FakeEngine {
    let mut engines = env.site.engines.iter();
    let found = engines.find(|e| has_model(e, model));
    found.expect("an engine with the model")
}

/// Returns a host other than `owner`.
fn other_host(owner: usize) -> usize {
    (owner + 1) % 5
}

/// Returns whether a running host other than `former_owner` owns a pool.
fn has_successor(env: &Env, former_owner: usize) -> bool {
    let running = env.running();
    let mut hosts = running.into_iter().filter(|h| *h != former_owner);
    hosts.any(|h| {
        let status = env.operator_get(h, "/v1/status");
        status["pools"].as_array().is_some_and(|p| !p.is_empty())
    })
}

fn join_and_check(env: &Env, pending: JoinHandle<CompletionReply>, prompt: &str) {
    let reply = pending.join().expect("the caller's thread");
    assert_complete(env, &reply, prompt);
}

fn assert_complete(env: &Env, reply: &CompletionReply, prompt: &str) {
    assert_eq!(reply.text, env.expected_text(prompt), "{reply:?}");
    assert!(reply.complete, "{reply:?}");
}

fn assert_no_overcommit_or_interruption(env: &Env) {
    for engine in &env.site.engines {
        let journal = engine.journal();
        assert!(journal.overcommits.is_empty(), "{journal:?}");
        assert!(journal.interrupted.is_empty(), "{journal:?}");
    }
}

fn set_table_down(env: &Env, down: bool) {
    env.site.platform.state.change(|s| s.faults.down = down);
}

#[test]
fn stream_is_completed_after_its_engine_crashes_and_the_owner_dies() {
    let mut env = start_with_pins(SiteSettings {
        tokens: 60,
        replica_limit: 2,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let pending = env.spawn_prompt(other_host(owner), "m1", "a tale of two failures");
    env.wait("a running stream", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    engine_with(&env, "m1").crash();
    env.kill(owner);
    join_and_check(&env, pending, "a tale of two failures");
    assert_no_overcommit_or_interruption(&env);
}

#[test]
fn cold_request_without_table_and_owner_waits_until_the_table_is_back() {
    let mut env = start_with_pins(SiteSettings::default());
    let owner = env.owner().expect("an owner");
    let host = other_host(owner);
    assert_complete(&env, &env.send_prompt(host, "m1", "wake up"), "wake up");
    set_table_down(&env, true);
    env.kill(owner);
    assert_complete(
        &env,
        &env.send_prompt(host, "m1", "warm goes on"),
        "warm goes on",
    );
    let pending = env.spawn_prompt(host, "m2", "cold waits");
    env.wait("a waiting request", || {
        env.operator_get(host, "/v1/status")["waiting"] == 1
    });
    assert_complete(
        &env,
        &env.send_prompt(host, "m1", "still warm"),
        "still warm",
    );
    assert_eq!(replica_count(&env, "m2"), 0);
    set_table_down(&env, false);
    join_and_check(&env, pending, "cold waits");
    assert_eq!(replica_count(&env, "m1"), 1);
    assert_no_overcommit_or_interruption(&env);
}

#[test]
fn requests_are_answered_after_an_engine_restarts_with_a_frozen_owner() {
    let env = start_with_pins(SiteSettings::default());
    let owner = env.owner().expect("an owner");
    let host = other_host(owner);
    assert_complete(&env, &env.send_prompt(host, "m1", "before"), "before");
    env.freeze(owner);
    engine_with(&env, "m1")
        .restart()
        .expect("the engine starts");
    assert_complete(&env, &env.send_prompt(host, "m1", "during"), "during");
    env.wait("another owner", || has_successor(&env, owner));
    env.resume(owner);
    assert_complete(&env, &env.send_prompt(owner, "m1", "after"), "after");
    assert_eq!(replica_count(&env, "m1"), 1);
    assert_no_overcommit_or_interruption(&env);
}

#[test]
fn host_drains_while_the_table_is_down() {
    let mut env = start_with_pins(SiteSettings {
        tokens: 60,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let host = other_host(owner);
    let pending = env.spawn_prompt(host, "m1", "let me finish");
    env.wait("a running stream", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    set_table_down(&env, true);
    env.terminate(host);
    join_and_check(&env, pending, "let me finish");
    assert!(env.wait_exit(host).success());
    assert_complete(
        &env,
        &env.send_prompt(owner, "m2", "the others"),
        "the others",
    );
    assert_no_overcommit_or_interruption(&env);
}

#[test]
fn owner_drained_while_the_table_is_down_exits_after_the_table_is_back() {
    let mut env = start_with_pins(SiteSettings::default());
    let owner = env.owner().expect("an owner");
    let host = other_host(owner);
    assert_complete(&env, &env.send_prompt(host, "m1", "wake up"), "wake up");
    set_table_down(&env, true);
    env.terminate(owner);
    assert_complete(
        &env,
        &env.send_prompt(host, "m1", "warm goes on"),
        "warm goes on",
    );
    set_table_down(&env, false);
    assert!(env.wait_exit(owner).success());
    assert_complete(
        &env,
        &env.send_prompt(host, "m2", "cold again"),
        "cold again",
    );
    assert_no_overcommit_or_interruption(&env);
}

#[test]
fn poison_request_during_a_takeover_crashes_at_most_two_engines() {
    let mut env = start_with_pins(SiteSettings {
        replica_limit: 4,
        tokens: 40,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let host = other_host(owner);
    let harmless: Vec<_> = (0..4)
        .map(|_| env.spawn_prompt(host, "m1", "an honest question"))
        .collect();
    env.wait("a running stream", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    env.kill(owner);
    let poison = format!("please {CRASH_TEXT} now");
    let pending = env.spawn_prompt(host, "m1", &poison);
    let reply = pending.join().expect("the caller's thread");
    assert!(!reply.complete && !reply.error_code.is_empty(), "{reply:?}");
    for host in env.running() {
        let again = env.send_prompt(host, "m1", &poison);
        assert!(!again.complete, "{again:?}");
    }
    for pending in harmless {
        join_and_check(&env, pending, "an honest question");
    }
    let crashed = env.site.engines.iter().filter(|e| is_down(e)).count();
    assert!(crashed <= 2, "{crashed} engines crashed");
}

fn is_down(engine: &FakeEngine) -> bool {
    std::net::TcpStream::connect(engine.addr()).is_err()
}

#[test]
fn twenty_requests_start_one_load_from_a_slow_weight_store() {
    let env = start_with_pins(SiteSettings::default());
    env.site
        .weights
        .state
        .change(|s| s.settings.slowdown = SLOWDOWN);
    let mut pending = Vec::new();
    for i in 0..20 {
        let prompt = format!("question {i}");
        pending.push((env.spawn_prompt(i % 5, "m2", &prompt), prompt));
    }
    for (handle, prompt) in pending {
        join_and_check(&env, handle, &prompt);
    }
    assert_eq!(env.site.weights.state.get().models.total, 1);
}

#[test]
fn burst_of_requests_is_answered_after_the_owner_dies_during_a_slow_load() {
    let mut env = start_with_pins(SiteSettings {
        load_time: LONG_DELAY,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let hosts: Vec<_> = (0..5).filter(|h| *h != owner).collect();
    let mut pending = Vec::new();
    for i in 0..20 {
        let prompt = format!("question {i}");
        pending.push((env.spawn_prompt(hosts[i % 4], "m2", &prompt), prompt));
    }
    env.wait("a load in progress", || replica_count(&env, "m2") == 1);
    env.kill(owner);
    for (handle, prompt) in pending {
        join_and_check(&env, handle, &prompt);
    }
    assert_eq!(replica_count(&env, "m2"), 1);
    assert_no_overcommit_or_interruption(&env);
}

#[test]
fn booking_outcome_is_unknown_after_its_host_dies_with_the_table_down() {
    let mut env = start_with_pins(SiteSettings::default());
    env.site.service.state.change(|s| s.delay = LONG_DELAY);
    let mut booking = Booking {
        key: "k-1".to_owned(),
        first_attempt: true,
        ..Booking::default()
    };
    let sent = env.spawn_booking(0, &booking);
    env.wait("the record of the start", || started_count(&env) == 1);
    env.wait("the arrival of the call", || {
        env.site.service.state.get().call_count == 1
    });
    set_table_down(&env, true);
    env.kill(0);
    assert_eq!(sent.join().expect("the caller's thread").status, 0);
    booking.first_attempt = false;
    booking.deadline_ms = 1_500;
    assert_eq!(env.send_booking(1, &booking).kind, "outcome_unknown");
    set_table_down(&env, false);
    booking.deadline_ms = 0;
    assert_eq!(env.send_booking(2, &booking).kind, "outcome_unknown");
    env.wait("the run of the first attempt", || run_count(&env) > 0);
    assert_eq!(env.send_booking(3, &booking).kind, "outcome_unknown");
    assert_eq!(run_count(&env), 1);
}

fn run_count(env: &Env) -> usize {
    env.site.service.state.get().runs.len()
}

fn started_count(env: &Env) -> usize {
    let items = env.site.platform.state.get().items;
    let calls = items.iter().filter(|(key, _)| key.starts_with("call/"));
    let found = calls.filter(|(_, item)| item.value["state"] == "started");
    found.count()
}

#[test]
fn leaving_engine_gets_no_load_when_the_host_list_is_stale() {
    let env = start_with_pins(SiteSettings {
        engines: 2,
        unfenced_every: 0,
        replica_limit: 2,
        ..SiteSettings::default()
    });
    env.site
        .platform
        .set_host_state("e1", Some(HostState::Leaving));
    assert_complete(&env, &env.send_prompt(0, "m1", "wake up"), "wake up");
    env.wait("the unload of all models from e1", || {
        env.site.engines[0].report().residents.is_empty()
    });
    let patch = json!({"models": {"m1": {"warm": 2}}});
    let (status, body) = env.patch_config(0, 1, "two replicas", &patch);
    assert_eq!(status, 200, "{body}");
    wait_for_reads(&env, 20);
    let before = load_count(&env.site.engines[0]);
    env.site
        .platform
        .state
        .change(|s| s.faults.list_lag = STALE_LIST_AGE);
    wait_for_reads(&env, 40);
    assert_eq!(load_count(&env.site.engines[0]), before);
}

/// Waits for `count` further reads of the table; hosts read the host list as often.
fn wait_for_reads(env: &Env, count: u64) {
    let reads = || env.site.platform.state.change(|s| s.read_count);
    let until = reads() + count;
    env.wait("reads of the table", || reads() >= until);
}

/// Returns the number of loads that started on an engine.
fn load_count(engine: &FakeEngine) -> usize {
    engine.journal().residencies.len()
}

/// Returns the number of pinned adapters that have no pin on an engine on which `m1`
/// is pinned too.
fn orphaned_adapter_count(env: &Env) -> usize {
    let items = env.site.platform.state.get().items;
    let records = items.iter().filter(|(key, _)| key.starts_with("pin/main/"));
    let (mut pinned, mut with_base) = (BTreeSet::new(), BTreeSet::new());
    for (_, item) in records {
        let pins = item.value["pins"].as_object().cloned().unwrap_or_default();
        let base = pins.contains_key("m1");
        for adapter in pins.keys().filter(|name| name.starts_with("m1-")) {
            if base {
                with_base.insert(adapter.clone());
            }
            pinned.insert(adapter.clone());
        }
    }
    pinned.difference(&with_base).count()
}

#[test]
fn adapters_are_served_after_the_limit_of_their_base_is_lowered_and_the_owner_dies() {
    let mut env = start_with_pins(SiteSettings {
        engines: 2,
        models: 1,
        adapters: 0,
        unfenced_every: 1,
        replica_limit: 2,
        ..SiteSettings::default()
    });
    patch_models(&env, 1, &json!({"m1": {"warm": 2}}));
    env.wait("two replicas", || replica_count(&env, "m1") == 2);
    let mut adapters = json!({});
    for i in 1..=4 {
        adapters[format!("m1-a{i}")] = json!({
            "pool": "main", "memory": 200, "load_ms": 10, "base": "m1",
        });
    }
    patch_models(&env, 2, &adapters);
    env.wait("pins of all adapters", || pin_count(&env) >= 6);
    patch_models(&env, 3, &json!({"m1": {"warm": 1, "limit": 1}}));
    env.wait("one pin of m1", || pin_count(&env) == 5);
    env.wait("pins of all adapters on engines with m1", || {
        orphaned_adapter_count(&env) == 0
    });
    let owner = env.owner().expect("an owner");
    env.kill(owner);
    for i in 1..=4 {
        let reply = env.send_prompt(other_host(owner), &format!("m1-a{i}"), "still there");
        assert_complete(&env, &reply, "still there");
    }
    assert_no_overcommit_or_interruption(&env);
}

fn patch_models(env: &Env, base: u64, models: &Value) {
    let patch = json!({"models": models});
    let (status, body) = env.patch_config(0, base, &format!("change-{base}"), &patch);
    assert_eq!(status, 200, "{body}");
}

#[test]
fn stream_is_completed_after_its_host_freezes_and_its_engine_leaves() {
    let env = start_with_pins(SiteSettings {
        tokens: 400,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let host = other_host(owner);
    let pending = env.spawn_prompt(host, "m1", "a long story");
    env.wait("a running stream", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    env.freeze(host);
    env.wait_host_count(owner, 4);
    engine_with(&env, "m1").set_leaving(true);
    wait_for_reads(&env, 5);
    env.resume(host);
    join_and_check(&env, pending, "a long story");
    assert_no_overcommit_or_interruption(&env);
}
