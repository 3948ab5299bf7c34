//! End-to-end tests of single failures, with daemon processes and a fake site.

mod env;

use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use env::Env;
use mastichinge::fakes::FakeEngine;
use mastichinge::fakes::site::{CRASH_TEXT, SiteSettings};
use mastichinge::outside::{HostState, Resident};
use serde_json::{Value, json};

fn start(settings: SiteSettings) -> Env {
    Env::start(settings, Path::new(env!("CARGO_BIN_EXE_mastichinged")), &[])
}

fn slow_load_settings() -> SiteSettings {
    SiteSettings {
        load_time: Duration::from_secs(3),
        ..SiteSettings::default()
    }
}

/// Returns the number of engines on which `model` is loaded or loading.
fn replica_count(env: &Env, model: &str) -> usize {
    let engines = env.site.engines.iter();
    let has_model = |e: &&FakeEngine| e.report().residents.iter().any(|r| &*r.model == model);
    engines.filter(has_model).count()
}

fn is_down(engine: &FakeEngine) -> bool {
    TcpStream::connect(engine.addr()).is_err()
}

#[test]
fn request_is_answered_after_the_owner_dies_during_its_load() {
    let mut env = start(slow_load_settings());
    let owner = env.owner().expect("an owner");
    let other = (owner + 1) % 5;
    let pending = env.spawn_prompt(other, "m2", "is anybody there");
    env.wait("a load in progress", || replica_count(&env, "m2") == 1);
    env.kill(owner);
    let reply = pending.join().expect("the caller's thread");
    assert_eq!(
        reply.text,
        env.expected_text("is anybody there"),
        "{reply:?}"
    );
    assert_eq!(replica_count(&env, "m2"), 1);
}

#[test]
fn requests_are_answered_while_the_table_is_down_and_patches_accepted_afterwards() {
    let env = start(SiteSettings::default());
    env.wait("pins of all models", || pin_count(&env) == 9);
    env.site.platform.state.change(|s| s.faults.down = true);
    for model in ["m1", "m2", "m1-a1"] {
        let reply = env.send_prompt(2, model, "does it work");
        assert_eq!(
            reply.text,
            env.expected_text("does it work"),
            "{model}: {reply:?}"
        );
    }
    env.site.platform.state.change(|s| s.faults.down = false);
    let (status, body) = env.patch_config(0, 1, "one", &json!({"models": {"m3": {"priority": 7}}}));
    assert_eq!(status, 200, "{body}");
    env.wait("version 2 on all hosts", || {
        (0..5).all(|h| env.config_version(h) == 2)
    });
}

/// Returns the number of recorded pins.
fn pin_count(env: &Env) -> usize {
    let items = pin_records(env);
    let pins = items.iter().filter_map(|i| i["pins"].as_object());
    pins.map(|p| p.len()).sum()
}

fn pin_records(env: &Env) -> Vec<Value> {
    let items = env.site.platform.state.get().items;
    let pins = items.iter().filter(|(key, _)| key.starts_with("pin/main/"));
    pins.map(|(_, item)| item.value.clone()).collect()
}

#[test]
fn restarted_daemon_serves_while_the_table_is_down() {
    let mut env = start(SiteSettings::default());
    env.wait("pins of all models", || pin_count(&env) == 9);
    env.site.platform.state.change(|s| s.faults.down = true);
    let owner = env.owner().expect("an owner");
    let host = (owner + 1) % 5;
    env.kill(host);
    env.start_daemon(host);
    env.wait("version 1 on the restarted host", || {
        env.config_version(host) == 1
    });
    env.wait_host_count(host, 5);
    let reply = env.send_prompt(host, "m2", "from a new daemon");
    assert_eq!(
        reply.text,
        env.expected_text("from a new daemon"),
        "{reply:?}"
    );
}

#[test]
fn paused_owner_is_superseded_without_a_second_replica() {
    let env = start(SiteSettings::default());
    let owner = env.owner().expect("an owner");
    let other = (owner + 1) % 5;
    assert!(env.send_prompt(other, "m1", "before").complete);
    env.freeze(owner);
    env.wait("another owner", || {
        let hosts = (0..5).filter(|h| *h != owner);
        hosts.into_iter().any(|h| {
            let status = env.operator_get(h, "/v1/status");
            status["pools"].as_array().is_some_and(|p| !p.is_empty())
        })
    });
    let reply = env.send_prompt(other, "m2", "during the pause");
    assert_eq!(
        reply.text,
        env.expected_text("during the pause"),
        "{reply:?}"
    );
    env.resume(owner);
    let reply = env.send_prompt(owner, "m3", "after the pause");
    assert_eq!(
        reply.text,
        env.expected_text("after the pause"),
        "{reply:?}"
    );
    for model in ["m1", "m2", "m3"] {
        assert!(replica_count(&env, model) <= 1, "{model}");
    }
}

#[test]
fn stream_is_completed_after_its_engine_crashes() {
    let env = start(SiteSettings {
        tokens: 80,
        replica_limit: 2,
        ..SiteSettings::default()
    });
    let pending = env.spawn_prompt(1, "m1", "tell me everything");
    env.wait("a running stream", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    let busy_engine = env.site.engines.iter().find(|e| e.report().running > 0);
    busy_engine.expect("an engine that streams").crash();
    let reply = pending.join().expect("the caller's thread");
    assert_eq!(
        reply.text,
        env.expected_text("tell me everything"),
        "{reply:?}"
    );
    assert!(reply.complete);
}

/// Guards against answers that are joined from two versions of the weights: the engine of a stream
/// crashed, and it went on where a newer version was loaded meanwhile.
#[test]
fn answer_is_not_joined_from_two_versions_of_the_weights() {
    let env = start(SiteSettings {
        tokens: 200,
        replica_limit: 2,
        ..SiteSettings::default()
    });
    let pending = env.spawn_prompt(1, "m1", "tell me everything");
    env.wait("a running stream", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    let busy = env.site.engines.iter().position(|e| e.report().running > 0);
    let busy = &env.site.engines[busy.expect("an engine that streams")];
    let patch = json!({"models": {"m1": {"version": "2", "warm": 2}}});
    let (status, body) = env.patch_config(0, 1, "version", &patch);
    assert_eq!(status, 200, "{body}");
    env.wait("the new version", || {
        env.site.engines.iter().any(|e| {
            let report = e.report();
            let is_new = |r: &Resident| &*r.model == "m1" && &*r.version == "2" && r.ready;
            report.residents.iter().any(is_new)
        })
    });
    busy.crash();
    let reply = pending.join().expect("the caller's thread");
    assert!(!reply.text.contains('@'), "{reply:?}");
    assert!(!reply.complete && !reply.text.is_empty(), "{reply:?}");
}

#[test]
fn resent_poison_request_crashes_at_most_two_engines() {
    let env = start(SiteSettings {
        replica_limit: 4,
        tokens: 40,
        ..SiteSettings::default()
    });
    let poison = format!("please {CRASH_TEXT} now");
    let harmless: Vec<_> = (0..4)
        .map(|i| env.spawn_prompt(i, "m1", "an honest question"))
        .collect();
    let mut crashes = 0;
    for host in 0..5 {
        let reply = env.send_prompt(host, "m1", &poison);
        assert!(!reply.complete, "{reply:?}");
        for engine in env.site.engines.iter().filter(|e| is_down(e)) {
            crashes += 1;
            engine.restart().expect("the engine starts again");
        }
    }
    assert!(crashes <= 2, "{crashes} engines crashed");
    for pending in harmless {
        let reply = pending.join().expect("the caller's thread");
        assert_eq!(
            reply.text,
            env.expected_text("an honest question"),
            "{reply:?}"
        );
    }
    let held = env.operator_get(0, "/v1/held");
    assert_eq!(held.as_array().map(Vec::len), Some(1), "{held}");
}

#[test]
fn leaving_host_is_not_listed_to_callers_and_still_accepts_requests() {
    let env = start(SiteSettings::default());
    env.site
        .platform
        .set_host_state("h4", Some(HostState::Leaving));
    for host in 0..5 {
        env.wait("a list of hosts without h4", || {
            !env.listed_hosts(host).contains(&"h4".to_owned())
        });
    }
    let reply = env.send_prompt(3, "m1", "still accepted");
    assert!(reply.complete, "{reply:?}");
}

#[test]
fn models_of_a_leaving_engine_move_to_another_engine() {
    let env = start(SiteSettings::default());
    assert!(env.send_prompt(0, "m1", "first").complete);
    let engine_index = env
        .site
        .engines
        .iter()
        .position(|e| e.report().residents.iter().any(|r| &*r.model == "m1"));
    let engine_index = engine_index.expect("m1 is loaded");
    env.site.engines[engine_index].set_leaving(true);
    env.wait("the unload of m1 from the leaving engine", || {
        let report = env.site.engines[engine_index].report();
        !report.residents.iter().any(|r| &*r.model == "m1")
    });
    let reply = env.send_prompt(1, "m1", "second");
    assert_eq!(reply.text, env.expected_text("second"), "{reply:?}");
    assert_eq!(replica_count(&env, "m1"), 1);
}

#[test]
fn replicas_and_pins_are_removed_after_the_limit_is_lowered() {
    let env = start(SiteSettings {
        replica_limit: 2,
        tokens: 100,
        ..SiteSettings::default()
    });
    let patch = json!({"models": {"m1": {"warm": 2}}});
    let (status, body) = env.patch_config(0, 1, "warm", &patch);
    assert_eq!(status, 200, "{body}");
    env.wait("two replicas", || replica_count(&env, "m1") == 2);
    let patch = json!({"models": {"m1": {"warm": 1, "limit": 1}}});
    let (status, body) = env.patch_config(1, 2, "lower", &patch);
    assert_eq!(status, 200, "{body}");
    env.wait("one replica", || replica_count(&env, "m1") == 1);
    env.wait("one pin", || {
        let records = pin_records(&env);
        records
            .iter()
            .filter(|r| !r["pins"]["m1"].is_null())
            .count()
            == 1
    });
}

#[test]
fn config_patch_succeeds_when_the_response_to_its_commit_is_lost() {
    let env = start(SiteSettings::default());
    env.site
        .platform
        .state
        .change(|s| s.faults.lost_responses = 1);
    let (status, body) = env.patch_config(2, 1, "one", &json!({"models": {"m3": {"priority": 7}}}));
    assert_eq!(status, 200, "{body}");
    env.wait("version 2 on all hosts", || {
        (0..5).all(|h| env.config_version(h) == 2)
    });
}

#[test]
fn one_of_five_concurrent_config_patches_is_accepted() {
    let env = start(SiteSettings::default());
    let statuses: Vec<u16> = thread::scope(|s| {
        let operators = (0..5).map(|host| {
            let env = &env;
            s.spawn(move || {
                let patch = json!({"models": {"m3": {"priority": host}}});
                env.patch_config(host, 1, &format!("racer-{host}"), &patch)
                    .0
            })
        });
        let threads: Vec<_> = operators.collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("the operator's thread"))
            .collect()
    });
    assert_eq!(
        statuses.iter().filter(|s| **s == 200).count(),
        1,
        "{statuses:?}"
    );
    assert_eq!(
        statuses.iter().filter(|s| **s == 412).count(),
        4,
        "{statuses:?}"
    );
}

#[test]
fn stream_is_completed_after_its_daemon_pauses_and_its_engine_leaves() {
    let env = start(SiteSettings {
        tokens: 250,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let host = (owner + 1) % 5;
    let pending = env.spawn_prompt(host, "m1", "a stream across a pause");
    let busy_count = || {
        let engines = env.site.engines.iter();
        engines.filter(|e| e.report().running > 0).count()
    };
    env.wait("a running stream", || busy_count() == 1);
    env.freeze(host);
    let engine = env.site.engines.iter().find(|e| e.report().running > 0);
    let engine = engine.expect("the engine that streams");
    engine.set_leaving(true);
    let name = env.hosts[host].settings.host.to_string();
    env.wait("a list of hosts without the paused host", || {
        !env.listed_hosts(owner).contains(&name)
    });
    env.resume(host);
    let reply = pending.join().expect("the caller's thread");
    assert_eq!(reply.text, env.expected_text("a stream across a pause"));
    assert!(reply.complete);
    let interrupted: usize = env
        .site
        .engines
        .iter()
        .map(|e| e.journal().interrupted.len())
        .sum();
    assert_eq!(interrupted, 0);
}

#[test]
fn request_to_a_frozen_engine_fails_at_its_deadline() {
    let env = start(SiteSettings::default());
    assert!(env.send_prompt(0, "m1", "before").complete);
    let has_model = |e: &&FakeEngine| e.report().residents.iter().any(|r| &*r.model == "m1");
    let engine = env
        .site
        .engines
        .iter()
        .find(has_model)
        .expect("an engine with m1");
    engine.set_frozen(true);
    let url = env.caller_url(0, "/v1/chat/completions");
    let reply = env::send_prompt(&url, "m1", "is it stuck", &[("X-Deadline-Ms", "1500")]);
    assert_eq!(reply.error_code, "upstream_failed", "{reply:?}");
    engine.set_frozen(false);
    env.wait("a response from the engine", || {
        env.send_prompt(1, "m1", "after").complete
    });
    let held = env.operator_get(0, "/v1/held");
    assert_eq!(held, json!([]));
}

#[test]
fn resumed_daemon_lists_no_host_that_left_during_the_pause() {
    let mut env = start(SiteSettings::default());
    let name = env.hosts[4].settings.host.to_string();
    env.freeze(0);
    env.terminate(4);
    assert!(env.wait_exit(4).success());
    env.resume(0);
    let mut listed = Vec::new();
    while listed.is_empty() {
        listed = env.listed_hosts(0);
    }
    assert!(!listed.contains(&name), "{listed:?}");
}

#[test]
fn poison_request_sent_to_two_hosts_crashes_at_most_two_engines() {
    let env = start(SiteSettings {
        replica_limit: 4,
        engines: 5,
        ..SiteSettings::default()
    });
    let patch = json!({"models": {"m1": {"warm": 4}}});
    let (status, body) = env.patch_config(0, 1, "warm", &patch);
    assert_eq!(status, 200, "{body}");
    env.wait("four replicas", || replica_count(&env, "m1") == 4);
    let poison = format!("please {CRASH_TEXT} now");
    let pending: Vec<_> = (0..2)
        .map(|host| env.spawn_prompt(host, "m1", &poison))
        .collect();
    for pending in pending {
        let reply = pending.join().expect("the caller's thread");
        assert!(!reply.complete, "{reply:?}");
    }
    let crashes = env.site.engines.iter().filter(|e| is_down(e)).count();
    assert!(crashes <= 2, "{crashes} engines crashed");
}

/// Guards against conversations that share a message on which engines crash, and differ in another
/// one: they were not recognised.
#[test]
fn conversations_with_a_message_that_crashes_engines_are_held() {
    const MAX_CRASHES: usize = 8;
    let env = start(SiteSettings {
        replica_limit: 4,
        ..SiteSettings::default()
    });
    let mut crashes = 0;
    for n in 0..12 {
        let messages = json!([
            {"role": "system", "content": "be brief"},
            {"role": "user", "content": format!("please {CRASH_TEXT} now")},
            {"role": "assistant", "content": "what else?"},
            {"role": "user", "content": format!("question {n}")},
        ]);
        let reply = env.send_conversation(n % 5, "m1", &messages);
        assert!(!reply.complete, "{reply:?}");
        for engine in env.site.engines.iter().filter(|e| is_down(e)) {
            crashes += 1;
            engine.restart().expect("the engine starts again");
        }
    }
    assert!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
}

/// Guards against conversations that are held because they share a message with others on which
/// engines crash, though engines answer it.
#[test]
fn conversations_with_a_sound_message_are_served_beside_some_that_crash_engines() {
    let env = start(SiteSettings {
        replica_limit: 4,
        ..SiteSettings::default()
    });
    let conversation = |question: String| {
        json!([
            {"role": "system", "content": "be brief"},
            {"role": "user", "content": question},
        ])
    };
    let first = env.send_conversation(0, "m1", &conversation("hello".to_owned()));
    assert!(first.complete, "{first:?}");
    for n in 0..6 {
        let bad = conversation(format!("please {CRASH_TEXT} now"));
        let mut messages = bad.as_array().cloned().expect("messages");
        messages.push(json!({"role": "user", "content": format!("question {n}")}));
        let reply = env.send_conversation(n % 5, "m1", &messages.into());
        assert!(!reply.complete, "{reply:?}");
        for engine in env.site.engines.iter().filter(|e| is_down(e)) {
            engine.restart().expect("the engine starts again");
        }
        let sound = conversation(format!("honest question {n}"));
        let reply = env.send_conversation((n + 1) % 5, "m1", &sound);
        assert!(reply.complete, "{reply:?}");
    }
}
