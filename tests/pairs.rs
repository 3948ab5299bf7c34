//! Pairs of failures brought about together in real daemons and stand-ins.

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

/// Load time during which a failure is brought about.
const LONG_LOAD: Duration = Duration::from_secs(3);
/// Age of a list that is older than the site.
const LONG_AGO: Duration = Duration::from_secs(3_600);
/// Factor on all load times of a weight store that is slow.
const SLOWNESS: f64 = 4.0;

fn start(settings: SiteSettings) -> Env {
    let env = Env::start(settings, Path::new(env!("CARGO_BIN_EXE_mastichinged")), &[]);
    let all = env.site.settings.models + env.site.settings.adapters;
    env.wait("all models are pinned", || pins(&env) >= all as usize);
    env
}

/// Recorded pins of all engines.
fn pins(env: &Env) -> usize {
    let items = env.site.platform.state.get().items;
    let records = items.iter().filter(|(key, _)| key.starts_with("pin/main/"));
    let pins = records.filter_map(|(_, item)| item.value["pins"].as_object());
    pins.map(|p| p.len()).sum()
}

fn holds(engine: &FakeEngine, model: &str) -> bool {
    engine.report().residents.iter().any(|r| &*r.model == model)
}

fn held(env: &Env, model: &str) -> usize {
    let engines = env.site.engines.iter();
    engines.filter(|e| holds(e, model)).count()
}

/// The first engine that holds `model`.
fn holder<'a>(env: &'a Env, model: &str) -> &'a FakeEngine {
    let mut engines = env.site.engines.iter();
    let found = engines.find(|e| holds(e, model));
    found.expect("an engine that holds the model")
}

/// A host that owns nothing.
fn other(owner: usize) -> usize {
    (owner + 1) % 5
}

/// The pool's owner among all hosts but `past`.
fn successor(env: &Env, past: usize) -> bool {
    let running = env.running();
    let mut hosts = running.into_iter().filter(|h| *h != past);
    hosts.any(|h| {
        let status = env.operator_get(h, "/v1/status");
        status["pools"].as_array().is_some_and(|p| !p.is_empty())
    })
}

fn check(env: &Env, asked: JoinHandle<CompletionReply>, prompt: &str) {
    let answer = asked.join().expect("the caller's thread");
    whole(env, &answer, prompt);
}

fn whole(env: &Env, answer: &CompletionReply, prompt: &str) {
    assert_eq!(answer.text, env.expected_text(prompt), "{answer:?}");
    assert!(answer.complete, "{answer:?}");
}

fn no_engine_was_overcommitted_or_cut(env: &Env) {
    for engine in &env.site.engines {
        let journal = engine.journal();
        assert!(journal.overcommits.is_empty(), "{journal:?}");
        assert!(journal.interrupted.is_empty(), "{journal:?}");
    }
}

fn table_down(env: &Env, down: bool) {
    env.site.platform.state.change(|s| s.faults.down = down);
}

#[test]
fn owner_killed_while_an_engine_crashes() {
    let mut env = start(SiteSettings {
        tokens: 60,
        replica_limit: 2,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let asked = env.spawn_prompt(other(owner), "m1", "a tale of two failures");
    env.wait("the stream runs", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    holder(&env, "m1").crash();
    env.kill(owner);
    check(&env, asked, "a tale of two failures");
    no_engine_was_overcommitted_or_cut(&env);
}

#[test]
fn table_down_and_owner_killed_then_table_back() {
    let mut env = start(SiteSettings::default());
    let owner = env.owner().expect("an owner");
    let host = other(owner);
    whole(&env, &env.send_prompt(host, "m1", "wake up"), "wake up");
    table_down(&env, true);
    env.kill(owner);
    whole(
        &env,
        &env.send_prompt(host, "m1", "warm goes on"),
        "warm goes on",
    );
    let asked = env.spawn_prompt(host, "m2", "cold waits");
    env.wait("the request waits", || {
        env.operator_get(host, "/v1/status")["waiting"] == 1
    });
    whole(
        &env,
        &env.send_prompt(host, "m1", "still warm"),
        "still warm",
    );
    assert_eq!(held(&env, "m2"), 0);
    table_down(&env, false);
    check(&env, asked, "cold waits");
    assert_eq!(held(&env, "m1"), 1);
    no_engine_was_overcommitted_or_cut(&env);
}

#[test]
fn engine_restarted_while_the_owner_is_frozen() {
    let env = start(SiteSettings::default());
    let owner = env.owner().expect("an owner");
    let host = other(owner);
    whole(&env, &env.send_prompt(host, "m1", "before"), "before");
    env.freeze(owner);
    holder(&env, "m1").restart().expect("the engine starts");
    whole(&env, &env.send_prompt(host, "m1", "during"), "during");
    env.wait("another owner", || successor(&env, owner));
    env.resume(owner);
    whole(&env, &env.send_prompt(owner, "m1", "after"), "after");
    assert_eq!(held(&env, "m1"), 1);
    no_engine_was_overcommitted_or_cut(&env);
}

#[test]
fn host_drained_while_the_table_is_down() {
    let mut env = start(SiteSettings {
        tokens: 60,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let host = other(owner);
    let asked = env.spawn_prompt(host, "m1", "let me finish");
    env.wait("the stream runs", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    table_down(&env, true);
    env.terminate(host);
    check(&env, asked, "let me finish");
    assert!(env.wait_exit(host).success());
    whole(
        &env,
        &env.send_prompt(owner, "m2", "the others"),
        "the others",
    );
    no_engine_was_overcommitted_or_cut(&env);
}

#[test]
fn owner_drained_while_the_table_is_down_then_table_back() {
    let mut env = start(SiteSettings::default());
    let owner = env.owner().expect("an owner");
    let host = other(owner);
    whole(&env, &env.send_prompt(host, "m1", "wake up"), "wake up");
    table_down(&env, true);
    env.terminate(owner);
    whole(
        &env,
        &env.send_prompt(host, "m1", "warm goes on"),
        "warm goes on",
    );
    table_down(&env, false);
    assert!(env.wait_exit(owner).success());
    whole(
        &env,
        &env.send_prompt(host, "m2", "cold again"),
        "cold again",
    );
    no_engine_was_overcommitted_or_cut(&env);
}

#[test]
fn poison_request_during_a_takeover() {
    let mut env = start(SiteSettings {
        replica_limit: 4,
        tokens: 40,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let host = other(owner);
    let innocent: Vec<_> = (0..4)
        .map(|_| env.spawn_prompt(host, "m1", "an honest question"))
        .collect();
    env.wait("the streams run", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    env.kill(owner);
    let poison = format!("please {CRASH_TEXT} now");
    let asked = env.spawn_prompt(host, "m1", &poison);
    let answer = asked.join().expect("the caller's thread");
    assert!(
        !answer.complete && !answer.error_code.is_empty(),
        "{answer:?}"
    );
    for host in env.running() {
        let again = env.send_prompt(host, "m1", &poison);
        assert!(!again.complete, "{again:?}");
    }
    for asked in innocent {
        check(&env, asked, "an honest question");
    }
    let crashed = env.site.engines.iter().filter(|e| is_down(e)).count();
    assert!(crashed <= 2, "{crashed} engines crashed");
}

fn is_down(engine: &FakeEngine) -> bool {
    std::net::TcpStream::connect(engine.addr()).is_err()
}

#[test]
fn weight_store_slow_and_twenty_first_requests() {
    let env = start(SiteSettings::default());
    env.site
        .weights
        .state
        .change(|s| s.settings.slowdown = SLOWNESS);
    let mut asked = Vec::new();
    for i in 0..20 {
        let prompt = format!("question {i}");
        asked.push((env.spawn_prompt(i % 5, "m2", &prompt), prompt));
    }
    for (handle, prompt) in asked {
        check(&env, handle, &prompt);
    }
    assert_eq!(env.site.weights.state.get().models.total, 1);
}

#[test]
fn owner_killed_while_it_loads_for_a_burst_from_a_slow_weight_store() {
    let mut env = start(SiteSettings {
        load_time: LONG_LOAD,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let hosts: Vec<_> = (0..5).filter(|h| *h != owner).collect();
    let mut asked = Vec::new();
    for i in 0..20 {
        let prompt = format!("question {i}");
        asked.push((env.spawn_prompt(hosts[i % 4], "m2", &prompt), prompt));
    }
    env.wait("the load runs", || held(&env, "m2") == 1);
    env.kill(owner);
    for (handle, prompt) in asked {
        check(&env, handle, &prompt);
    }
    assert_eq!(held(&env, "m2"), 1);
    no_engine_was_overcommitted_or_cut(&env);
}

#[test]
fn booking_host_killed_while_the_table_is_down() {
    let mut env = start(SiteSettings::default());
    env.site.service.state.change(|s| s.delay = LONG_LOAD);
    let mut booking = Booking {
        key: "k-1".to_owned(),
        first_attempt: true,
        ..Booking::default()
    };
    let sent = env.spawn_booking(0, &booking);
    env.wait("the start is recorded", || started(&env) == 1);
    env.wait("the call has arrived", || {
        env.site.service.state.get().call_count == 1
    });
    table_down(&env, true);
    env.kill(0);
    assert_eq!(sent.join().expect("the caller's thread").status, 0);
    booking.first_attempt = false;
    booking.deadline_ms = 1_500;
    assert_eq!(env.send_booking(1, &booking).kind, "outcome_unknown");
    table_down(&env, false);
    booking.deadline_ms = 0;
    assert_eq!(env.send_booking(2, &booking).kind, "outcome_unknown");
    env.wait("the first attempt has run", || runs(&env) > 0);
    assert_eq!(env.send_booking(3, &booking).kind, "outcome_unknown");
    assert_eq!(runs(&env), 1);
}

fn runs(env: &Env) -> usize {
    env.site.service.state.get().runs.len()
}

fn started(env: &Env) -> usize {
    let items = env.site.platform.state.get().items;
    let calls = items.iter().filter(|(key, _)| key.starts_with("call/"));
    let found = calls.filter(|(_, item)| item.value["state"] == "started");
    found.count()
}

#[test]
fn engine_listed_as_leaving_and_the_list_is_read_stale() {
    let env = start(SiteSettings {
        engines: 2,
        unfenced_every: 0,
        replica_limit: 2,
        ..SiteSettings::default()
    });
    env.site
        .platform
        .set_host_state("e1", Some(HostState::Leaving));
    whole(&env, &env.send_prompt(0, "m1", "wake up"), "wake up");
    env.wait("e1 is empty", || {
        env.site.engines[0].report().residents.is_empty()
    });
    let patch = json!({"models": {"m1": {"warm": 2}}});
    let (status, body) = env.patch_config(0, 1, "two replicas", &patch);
    assert_eq!(status, 200, "{body}");
    wait_reads(&env, 20);
    let before = loads(&env.site.engines[0]);
    env.site
        .platform
        .state
        .change(|s| s.faults.list_lag = LONG_AGO);
    wait_reads(&env, 40);
    assert_eq!(loads(&env.site.engines[0]), before);
}

/// Waits for so many reads of the table; hosts read the list as often.
fn wait_reads(env: &Env, count: u64) {
    let reads = || env.site.platform.state.change(|s| s.reads);
    let until = reads() + count;
    env.wait("the hosts read the platform", || reads() >= until);
}

/// Loads that began at an engine.
fn loads(engine: &FakeEngine) -> usize {
    engine.journal().residencies.len()
}

/// Adapters of the pool that have a pin, but none beside a pin of `m1`.
fn orphans(env: &Env) -> usize {
    let items = env.site.platform.state.get().items;
    let records = items.iter().filter(|(key, _)| key.starts_with("pin/main/"));
    let (mut pinned, mut sound) = (BTreeSet::new(), BTreeSet::new());
    for (_, item) in records {
        let pins = item.value["pins"].as_object().cloned().unwrap_or_default();
        let base = pins.contains_key("m1");
        for adapter in pins.keys().filter(|name| name.starts_with("m1-")) {
            if base {
                sound.insert(adapter.clone());
            }
            pinned.insert(adapter.clone());
        }
    }
    pinned.difference(&sound).count()
}

#[test]
fn limit_of_a_base_lowered_then_owner_killed_and_its_adapters_are_served() {
    let mut env = start(SiteSettings {
        engines: 2,
        models: 1,
        adapters: 0,
        unfenced_every: 1,
        replica_limit: 2,
        ..SiteSettings::default()
    });
    change(&env, 1, &json!({"m1": {"warm": 2}}));
    env.wait("two replicas", || held(&env, "m1") == 2);
    let mut adapters = json!({});
    for i in 1..=4 {
        adapters[format!("m1-a{i}")] = json!({
            "pool": "main", "memory": 200, "load_ms": 10, "base": "m1",
        });
    }
    change(&env, 2, &adapters);
    env.wait("all are pinned", || pins(&env) >= 6);
    change(&env, 3, &json!({"m1": {"warm": 1, "limit": 1}}));
    env.wait("one pin of m1", || pins(&env) == 5);
    env.wait("adapters beside m1", || orphans(&env) == 0);
    let owner = env.owner().expect("an owner");
    env.kill(owner);
    for i in 1..=4 {
        let answer = env.send_prompt(other(owner), &format!("m1-a{i}"), "still there");
        whole(&env, &answer, "still there");
    }
    no_engine_was_overcommitted_or_cut(&env);
}

fn change(env: &Env, base: u64, models: &Value) {
    let patch = json!({"models": models});
    let (status, body) = env.patch_config(0, base, &format!("change-{base}"), &patch);
    assert_eq!(status, 200, "{body}");
}

#[test]
fn host_frozen_in_mid_stream_while_the_engine_leaves() {
    let env = start(SiteSettings {
        tokens: 400,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let host = other(owner);
    let asked = env.spawn_prompt(host, "m1", "a long story");
    env.wait("the stream runs", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    env.freeze(host);
    env.wait_host_count(owner, 4);
    holder(&env, "m1").set_leaving(true);
    wait_reads(&env, 5);
    env.resume(host);
    check(&env, asked, "a long story");
    no_engine_was_overcommitted_or_cut(&env);
}
