//! Runs the tool as a process against real daemons.

mod env;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::thread;

use env::Env;
use mastichinge::fakes::site::{OPERATOR_KEY, SiteSettings};

fn start_env(tokens: usize) -> Env {
    let settings = SiteSettings {
        daemons: 3,
        tokens,
        ..SiteSettings::default()
    };
    Env::start(settings, Path::new(env!("CARGO_BIN_EXE_mastichinged")), &[])
}

fn operators_addr(env: &Env, host: usize) -> SocketAddr {
    env.hosts[host].settings.listen.operators
}

fn run_tool(hosts: &[SocketAddr], line: &str) -> Output {
    let hosts: Vec<String> = hosts.iter().map(SocketAddr::to_string).collect();
    Command::new(env!("CARGO_BIN_EXE_mastichinge"))
        .args(["--hosts", &hosts.join(",")])
        .args(line.split_whitespace())
        .env("MASTICHINGE_KEY", OPERATOR_KEY)
        .stdin(Stdio::null())
        .output()
        .expect("the tool runs")
}

fn patch_file(name: &str, text: &str) -> PathBuf {
    let file = format!("mastichinge-tool-{}-{name}.jsonc", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("the patch is written");
    path
}

#[test]
fn a_patch_with_wait_ends_when_every_host_has_it() {
    let mut env = start_env(12);
    let dead = operators_addr(&env, 0);
    env.terminate(0);
    assert!(env.wait_exit(0).success());
    env.wait_until_ready();
    let file = patch_file("wait", "{ \"models\": { \"m2\": { \"priority\": 7 } } }");
    let line = format!("config patch {} --base 1 --wait", file.display());
    let done = run_tool(&[dead, operators_addr(&env, 1)], &line);
    assert_eq!(done.status.code(), Some(0), "{done:?}");
    assert_eq!((env.config_version(1), env.config_version(2)), (2, 2));
}

/// Guards against a check against another version than the one in force, against one that fails
/// on the keys that hosts hide, and against one that changes anything.
#[test]
fn a_check_compares_with_the_version_in_force() {
    let env = start_env(12);
    let host = [operators_addr(&env, 1)];
    let file = patch_file(
        "check",
        r#"{ "policy": { "queue": 77 }, "models": { "m0": null } }"#,
    );
    let checked = run_tool(&host, &format!("--json config check {}", file.display()));
    assert_eq!(checked.status.code(), Some(0), "{checked:?}");
    let report: serde_json::Value = serde_json::from_slice(&checked.stdout).expect("JSON");
    assert_eq!(report["against"], "version 1");
    assert_eq!(
        report["changes"],
        serde_json::json!({"policy": {"queue": 77}})
    );
    let findings = report["findings"].as_array().expect("findings");
    assert!(
        findings.iter().any(|f| f["path"] == "/models/m0"),
        "{report}"
    );
    let file = patch_file("check-error", r#"{ "policy": { "queue": 0 } }"#);
    let checked = run_tool(&host, &format!("config check {}", file.display()));
    assert_eq!(checked.status.code(), Some(6), "{checked:?}");
    assert_eq!(env.config_version(1), 1);
}

#[test]
fn of_concurrent_patches_of_one_version_exactly_one_is_accepted() {
    let env = start_env(12);
    let codes: Vec<Option<i32>> = thread::scope(|scope| {
        let env = &env;
        let run = |host: usize| {
            let text = format!("{{ \"policy\": {{ \"queue\": {} }} }}", host + 100);
            let file = patch_file(&format!("race-{host}"), &text);
            let line = format!("config patch {} --base 1", file.display());
            run_tool(&[operators_addr(env, host)], &line).status.code()
        };
        let threads = [0, 1, 2].map(|host| scope.spawn(move || run(host)));
        threads.map(|t| t.join().expect("the tool ends")).to_vec()
    });
    let count = |code| codes.iter().filter(|c| **c == Some(code)).count();
    assert_eq!((count(0), count(5)), (1, 2), "{codes:?}");
}

#[test]
fn a_drained_daemon_finishes_its_stream_and_exits() {
    let mut env = start_env(60);
    let caller = env.spawn_prompt(1, "m1", "a long answer please");
    env.wait("the stream runs", || {
        let running = env.site.engines.iter().map(|e| e.report().running);
        running.sum::<u32>() > 0
    });
    let line = format!("drain {} --wait", operators_addr(&env, 1));
    let drained = run_tool(&[operators_addr(&env, 0)], &line);
    assert_eq!(drained.status.code(), Some(0), "{drained:?}");
    let answer = caller.join().expect("the caller's thread");
    assert_eq!(answer.text, env.expected_text("a long answer please"));
    assert!(answer.complete);
    assert!(env.wait_exit(1).success());
}
