//! Failures brought about in real daemons and stand-ins.

mod env;

use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use env::Env;
use mastichinge::fakes::FakeEngine;
use mastichinge::fakes::site::{CRASH_TEXT, SiteSettings};
use mastichinge::outside::HostState;
use serde_json::{Value, json};

fn start(settings: SiteSettings) -> Env {
    Env::start(settings, Path::new(env!("CARGO_BIN_EXE_mastichinged")), &[])
}

fn slow_loads() -> SiteSettings {
    SiteSettings {
        load_time: Duration::from_secs(3),
        ..SiteSettings::default()
    }
}

/// Whether an engine holds `model`, loaded or loading.
fn held(env: &Env, model: &str) -> usize {
    let engines = env.site.engines.iter();
    let holds = |e: &&FakeEngine| e.report().residents.iter().any(|r| &*r.model == model);
    engines.filter(holds).count()
}

fn is_down(engine: &FakeEngine) -> bool {
    TcpStream::connect(engine.addr()).is_err()
}

#[test]
fn daemon_killed_while_loading() {
    let mut env = start(slow_loads());
    let owner = env.owner().expect("an owner");
    let other = (owner + 1) % 5;
    let asked = env.spawn_prompt(other, "m2", "is anybody there");
    env.wait("the load runs", || held(&env, "m2") == 1);
    env.kill(owner);
    let answer = asked.join().expect("the caller's thread");
    assert_eq!(
        answer.text,
        env.expected_text("is anybody there"),
        "{answer:?}"
    );
    assert_eq!(held(&env, "m2"), 1);
}

#[test]
fn table_down_for_long_then_back() {
    let env = start(SiteSettings::default());
    env.wait("all models are pinned", || pinned(&env) == 9);
    env.site.platform.state.change(|s| s.faults.down = true);
    for model in ["m1", "m2", "m1-a1"] {
        let answer = env.send_prompt(2, model, "does it work");
        assert_eq!(
            answer.text,
            env.expected_text("does it work"),
            "{model}: {answer:?}"
        );
    }
    env.site.platform.state.change(|s| s.faults.down = false);
    let (status, body) = env.patch_config(0, 1, "one", &json!({"models": {"m3": {"priority": 7}}}));
    assert_eq!(status, 200, "{body}");
    env.wait("version 2 everywhere", || {
        (0..5).all(|h| env.config_version(h) == 2)
    });
}

/// Models with a recorded pin.
fn pinned(env: &Env) -> usize {
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
fn daemon_restarted_while_the_table_is_down() {
    let mut env = start(SiteSettings::default());
    env.wait("all models are pinned", || pinned(&env) == 9);
    env.site.platform.state.change(|s| s.faults.down = true);
    let owner = env.owner().expect("an owner");
    let host = (owner + 1) % 5;
    env.kill(host);
    env.start_daemon(host);
    env.wait("the restarted host knows version 1", || {
        env.config_version(host) == 1
    });
    env.wait_host_count(host, 5);
    let answer = env.send_prompt(host, "m2", "from a new daemon");
    assert_eq!(
        answer.text,
        env.expected_text("from a new daemon"),
        "{answer:?}"
    );
}

#[test]
fn owner_paused_and_superseded() {
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
    let answer = env.send_prompt(other, "m2", "during the pause");
    assert_eq!(
        answer.text,
        env.expected_text("during the pause"),
        "{answer:?}"
    );
    env.resume(owner);
    let answer = env.send_prompt(owner, "m3", "after the pause");
    assert_eq!(
        answer.text,
        env.expected_text("after the pause"),
        "{answer:?}"
    );
    for model in ["m1", "m2", "m3"] {
        assert!(held(&env, model) <= 1, "{model}");
    }
}

#[test]
fn engine_dies_in_mid_stream() {
    let env = start(SiteSettings {
        tokens: 80,
        replica_limit: 2,
        ..SiteSettings::default()
    });
    let asked = env.spawn_prompt(1, "m1", "tell me everything");
    env.wait("the stream runs", || {
        env.site.engines.iter().any(|e| e.report().running > 0)
    });
    let busy = env.site.engines.iter().find(|e| e.report().running > 0);
    busy.expect("an engine that streams").crash();
    let answer = asked.join().expect("the caller's thread");
    assert_eq!(
        answer.text,
        env.expected_text("tell me everything"),
        "{answer:?}"
    );
    assert!(answer.complete);
}

#[test]
fn poison_request_with_resends_costs_at_most_two_engines() {
    let env = start(SiteSettings {
        replica_limit: 4,
        tokens: 40,
        ..SiteSettings::default()
    });
    let poison = format!("please {CRASH_TEXT} now");
    let innocent: Vec<_> = (0..4)
        .map(|i| env.spawn_prompt(i, "m1", "an honest question"))
        .collect();
    let mut crashes = 0;
    for host in 0..5 {
        let answer = env.send_prompt(host, "m1", &poison);
        assert!(!answer.complete, "{answer:?}");
        for engine in env.site.engines.iter().filter(|e| is_down(e)) {
            crashes += 1;
            engine.restart().expect("the engine starts again");
        }
    }
    assert!(crashes <= 2, "{crashes} engines crashed");
    for asked in innocent {
        let answer = asked.join().expect("the caller's thread");
        assert_eq!(
            answer.text,
            env.expected_text("an honest question"),
            "{answer:?}"
        );
    }
    let held = env.operator_get(0, "/v1/held");
    assert_eq!(held.as_array().map(Vec::len), Some(1), "{held}");
}

#[test]
fn host_listed_as_leaving_is_out_of_entry_answers_and_a_stale_list_revives_nothing() {
    let env = start(SiteSettings::default());
    env.site
        .platform
        .set_host_state("h4", Some(HostState::Leaving));
    for host in 0..5 {
        env.wait("h4 is not named", || {
            !env.listed_hosts(host).contains(&"h4".to_owned())
        });
    }
    let answer = env.send_prompt(3, "m1", "still accepted");
    assert!(answer.complete, "{answer:?}");
}

#[test]
fn leaving_engine_gets_no_new_work_and_its_models_move() {
    let env = start(SiteSettings::default());
    assert!(env.send_prompt(0, "m1", "first").complete);
    let at = env
        .site
        .engines
        .iter()
        .position(|e| e.report().residents.iter().any(|r| &*r.model == "m1"));
    let at = at.expect("m1 is loaded");
    env.site.engines[at].set_leaving(true);
    env.wait("m1 left the leaving engine", || {
        let report = env.site.engines[at].report();
        !report.residents.iter().any(|r| &*r.model == "m1")
    });
    let answer = env.send_prompt(1, "m1", "second");
    assert_eq!(answer.text, env.expected_text("second"), "{answer:?}");
    assert_eq!(held(&env, "m1"), 1);
}

#[test]
fn lowered_limit_is_reached() {
    let env = start(SiteSettings {
        replica_limit: 2,
        tokens: 100,
        ..SiteSettings::default()
    });
    let patch = json!({"models": {"m1": {"warm": 2}}});
    let (status, body) = env.patch_config(0, 1, "warm", &patch);
    assert_eq!(status, 200, "{body}");
    env.wait("two replicas", || held(&env, "m1") == 2);
    let patch = json!({"models": {"m1": {"warm": 1, "limit": 1}}});
    let (status, body) = env.patch_config(1, 2, "lower", &patch);
    assert_eq!(status, 200, "{body}");
    env.wait("one replica", || held(&env, "m1") == 1);
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
fn answer_of_a_config_write_lost_after_its_effect() {
    let env = start(SiteSettings::default());
    env.site
        .platform
        .state
        .change(|s| s.faults.lost_responses = 1);
    let (status, body) = env.patch_config(2, 1, "one", &json!({"models": {"m3": {"priority": 7}}}));
    assert_eq!(status, 200, "{body}");
    env.wait("version 2 everywhere", || {
        (0..5).all(|h| env.config_version(h) == 2)
    });
}

#[test]
fn two_operators_race_and_one_wins() {
    let env = start(SiteSettings::default());
    let statuses: Vec<u16> = thread::scope(|s| {
        let race = (0..5).map(|host| {
            let env = &env;
            s.spawn(move || {
                let patch = json!({"models": {"m3": {"priority": host}}});
                env.patch_config(host, 1, &format!("racer-{host}"), &patch)
                    .0
            })
        });
        let threads: Vec<_> = race.collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("a racer"))
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
fn daemon_paused_in_mid_stream_while_its_engine_leaves() {
    let env = start(SiteSettings {
        tokens: 250,
        ..SiteSettings::default()
    });
    let owner = env.owner().expect("an owner");
    let host = (owner + 1) % 5;
    let asked = env.spawn_prompt(host, "m1", "a stream across a pause");
    let busy = || {
        let engines = env.site.engines.iter();
        engines.filter(|e| e.report().running > 0).count()
    };
    env.wait("the stream runs", || busy() == 1);
    env.freeze(host);
    let engine = env.site.engines.iter().find(|e| e.report().running > 0);
    let engine = engine.expect("the engine that streams");
    engine.set_leaving(true);
    let name = env.hosts[host].settings.host.to_string();
    env.wait("the paused host is not named", || {
        !env.listed_hosts(owner).contains(&name)
    });
    env.resume(host);
    let answer = asked.join().expect("the caller's thread");
    assert_eq!(answer.text, env.expected_text("a stream across a pause"));
    assert!(answer.complete);
    let cuts: usize = env
        .site
        .engines
        .iter()
        .map(|e| e.journal().interrupted.len())
        .sum();
    assert_eq!(cuts, 0);
}

#[test]
fn engine_freezes_and_its_request_is_refused_by_the_deadline() {
    let env = start(SiteSettings::default());
    assert!(env.send_prompt(0, "m1", "before").complete);
    let holds = |e: &&FakeEngine| e.report().residents.iter().any(|r| &*r.model == "m1");
    let engine = env.site.engines.iter().find(holds).expect("a holder");
    engine.set_frozen(true);
    let url = env.caller_url(0, "/v1/chat/completions");
    let answer = env::send_prompt(&url, "m1", "is it stuck", &[("X-Deadline-Ms", "1500")]);
    assert_eq!(answer.error_code, "deadline_expired", "{answer:?}");
    engine.set_frozen(false);
    env.wait("the engine serves again", || {
        env.send_prompt(1, "m1", "after").complete
    });
    let held = env.operator_get(0, "/v1/held");
    assert_eq!(held, json!([]));
}

#[test]
fn daemon_that_was_paused_names_no_host_that_left_meanwhile() {
    let mut env = start(SiteSettings::default());
    let name = env.hosts[4].settings.host.to_string();
    env.freeze(0);
    env.terminate(4);
    assert!(env.wait_exit(4).success());
    env.resume(0);
    let mut named = Vec::new();
    while named.is_empty() {
        named = env.listed_hosts(0);
    }
    assert!(!named.contains(&name), "{named:?}");
}

#[test]
fn poison_request_at_two_hosts_at_once_costs_at_most_two_engines() {
    let env = start(SiteSettings {
        replica_limit: 4,
        engines: 5,
        ..SiteSettings::default()
    });
    let patch = json!({"models": {"m1": {"warm": 4}}});
    let (status, body) = env.patch_config(0, 1, "warm", &patch);
    assert_eq!(status, 200, "{body}");
    env.wait("four replicas", || held(&env, "m1") == 4);
    let poison = format!("please {CRASH_TEXT} now");
    let asked: Vec<_> = (0..2)
        .map(|host| env.spawn_prompt(host, "m1", &poison))
        .collect();
    for asked in asked {
        let answer = asked.join().expect("the caller's thread");
        assert!(!answer.complete, "{answer:?}");
    }
    let crashes = env.site.engines.iter().filter(|e| is_down(e)).count();
    assert!(crashes <= 2, "{crashes} engines crashed");
}
