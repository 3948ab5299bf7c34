//! Requests from caller to engine through real daemon processes.

mod env;

use std::net::SocketAddr;
use std::path::Path;
use std::thread::{self, JoinHandle};

use env::kept_connection::KeptConnection;
use env::{CompletionReply, Env};
use mastichinge::fakes::site::SiteSettings;
use serde_json::json;

/// Callers that send request after request, so that one is always in progress.
const BUSY_CALLERS: usize = 6;

fn start(settings: SiteSettings) -> Env {
    Env::start(settings, Path::new(env!("CARGO_BIN_EXE_mastichinged")), &[])
}

#[test]
fn twenty_initial_requests_at_five_hosts_cause_one_load_and_are_all_served() {
    let env = start(SiteSettings::default());
    let mut requests = Vec::new();
    for i in 0..20 {
        let prompt = format!("question {i}");
        requests.push((env.spawn_prompt(i % 5, "m2", &prompt), prompt));
    }
    for (handle, prompt) in requests {
        let answer = handle.join().expect("the caller's thread");
        assert_eq!(answer.text, env.expected_text(&prompt), "{answer:?}");
        assert!(answer.complete, "{answer:?}");
    }
    assert_eq!(env.site.weights.state.get().models.total, 1);
}

#[test]
fn an_adapter_is_served_beside_its_base() {
    let env = start(SiteSettings::default());
    let answer = env.send_prompt(3, "m1-a2", "which rows are left");
    assert_eq!(
        answer.text,
        env.expected_text("which rows are left"),
        "{answer:?}"
    );
}

#[test]
fn a_patch_takes_effect_at_all_hosts_and_a_stale_base_version_conflicts() {
    let env = start(SiteSettings::default());
    let patch = json!({"models": {"m3": {"priority": 7}}});
    let (status, body) = env.patch_config(1, 1, "one", &patch);
    assert_eq!(status, 200, "{body}");
    for host in 0..5 {
        env.wait("version 2", || env.config_version(host) == 2);
    }
    let other = json!({"models": {"m3": {"priority": 8}}});
    let (status, body) = env.patch_config(2, 1, "two", &other);
    assert_eq!(status, 412, "{body}");
    let (status, body) = env.patch_config(3, 1, "one", &patch);
    assert_eq!(
        status, 200,
        "a repeated patch returns its own version: {body}"
    );
    assert_eq!(env.config_version(3), 2);
}

#[test]
fn a_drained_daemon_finishes_its_stream_and_exits_with_0() {
    let mut env = start(SiteSettings {
        tokens: 60,
        ..SiteSettings::default()
    });
    let request = env.spawn_prompt(0, "m1", "a long answer please");
    env.wait("the stream runs", || {
        let running = env.site.engines.iter().map(|e| e.report().running);
        running.sum::<u32>() > 0
    });
    env.terminate(0);
    let answer = request.join().expect("the caller's thread");
    assert_eq!(
        answer.text,
        env.expected_text("a long answer please"),
        "{answer:?}"
    );
    assert!(answer.complete);
    assert!(env.wait_exit(0).success());
    env.wait_until_ready();
}

#[test]
fn a_host_drains_whose_callers_keep_their_connections_busy() {
    let mut env = start(SiteSettings {
        tokens: 40,
        ..SiteSettings::default()
    });
    let addr = env.hosts[0].settings.listen.callers;
    let callers: Vec<JoinHandle<Vec<CompletionReply>>> = (0..BUSY_CALLERS)
        .map(|_| thread::spawn(move || ask_until_closed(addr)))
        .collect();
    env.wait("the streams run", || {
        let running = env.site.engines.iter().map(|e| e.report().running);
        running.sum::<u32>() > 1
    });
    env.terminate(0);
    assert!(env.wait_exit(0).success());
    for caller in callers {
        let replies = caller.join().expect("the caller's thread");
        let (last, earlier) = replies.split_last().expect("a response");
        assert_eq!((last.status, &*last.error_code), (503, "draining"));
        assert!(earlier.iter().all(|r| r.complete), "{replies:?}");
    }
}

/// Sends prompts on one connection until the host closes it.
fn ask_until_closed(addr: SocketAddr) -> Vec<CompletionReply> {
    let mut connection = KeptConnection::open(addr).expect("a connection");
    let mut replies = Vec::new();
    while !connection.is_closed() {
        replies.push(connection.send_prompt("m1", "again", &[]));
    }
    replies
}

#[test]
fn a_caller_that_disconnects_frees_the_engine() {
    let env = start(SiteSettings {
        tokens: 100_000,
        ..SiteSettings::default()
    });
    let running = || -> u32 { env.site.engines.iter().map(|e| e.report().running).sum() };
    let body = json!({
        "model": "m1", "stream": true,
        "messages": [{"role": "user", "content": "without end"}],
    });
    let answer = attohttpc::post(env.caller_url(2, "/v1/chat/completions"))
        .bearer_auth(mastichinge::fakes::site::CALLER_KEY)
        .text(body.to_string())
        .send()
        .expect("a stream");
    env.wait("the stream runs", || running() == 1);
    drop(answer);
    env.wait("the engine is free", || running() == 0);
}

#[test]
fn all_hosts_drain_in_turn_and_the_last_one_exits() {
    let mut env = start(SiteSettings {
        daemons: 2,
        ..SiteSettings::default()
    });
    assert!(env.send_prompt(0, "m1", "before").complete);
    for host in 0..2 {
        env.terminate(host);
        assert!(env.wait_exit(host).success());
    }
    let items = env.site.platform.state.get().items;
    assert_eq!(items["pool/main"].value["owner"], serde_json::Value::Null);
    assert_eq!(items["pool/main"].value["clean"], true);
}
