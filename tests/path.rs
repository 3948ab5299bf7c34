//! The whole path from caller to engine, through real daemons.

mod env;

use std::path::Path;

use env::Env;
use mastichinge::fakes::site::SiteSettings;
use serde_json::json;

fn start(settings: SiteSettings) -> Env {
    Env::start(settings, Path::new(env!("CARGO_BIN_EXE_mastichinged")), &[])
}

#[test]
fn twenty_first_requests_at_five_hosts_cause_one_load_and_are_all_answered() {
    let env = start(SiteSettings::default());
    let mut asked = Vec::new();
    for i in 0..20 {
        let prompt = format!("question {i}");
        asked.push((env.ask_later(i % 5, "m2", &prompt), prompt));
    }
    for (handle, prompt) in asked {
        let answer = handle.join().expect("the caller's thread");
        assert_eq!(answer.text, env.expected(&prompt), "{answer:?}");
        assert!(answer.whole, "{answer:?}");
    }
    assert_eq!(env.site.weights.state.get().models.total, 1);
}

#[test]
fn an_adapter_is_served_beside_its_base() {
    let env = start(SiteSettings::default());
    let answer = env.ask(3, "m1-a2", "which rows are left");
    assert_eq!(
        answer.text,
        env.expected("which rows are left"),
        "{answer:?}"
    );
}

#[test]
fn a_patch_is_in_force_at_all_hosts_and_an_old_base_conflicts() {
    let env = start(SiteSettings::default());
    let patch = json!({"models": {"m3": {"priority": 7}}});
    let (status, body) = env.patch(1, 1, "one", &patch);
    assert_eq!(status, 200, "{body}");
    for host in 0..5 {
        env.wait("version 2", || env.version(host) == 2);
    }
    let other = json!({"models": {"m3": {"priority": 8}}});
    let (status, body) = env.patch(2, 1, "two", &other);
    assert_eq!(status, 412, "{body}");
    let (status, body) = env.patch(3, 1, "one", &patch);
    assert_eq!(status, 200, "the same patch finds its own version: {body}");
    assert_eq!(env.version(3), 2);
}

#[test]
fn a_drained_daemon_finishes_its_stream_and_exits_with_0() {
    let mut env = start(SiteSettings {
        tokens: 60,
        ..SiteSettings::default()
    });
    let asked = env.ask_later(0, "m1", "a long answer please");
    env.wait("the stream runs", || {
        let running = env.site.engines.iter().map(|e| e.report().running);
        running.sum::<u32>() > 0
    });
    env.terminate(0);
    let answer = asked.join().expect("the caller's thread");
    assert_eq!(
        answer.text,
        env.expected("a long answer please"),
        "{answer:?}"
    );
    assert!(answer.whole);
    assert!(env.exited(0).success());
    env.wait_all();
}
