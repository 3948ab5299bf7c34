//! Checks of a configuration before it is sent.

use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use mastichinge::config::Config;
use mastichinge::config::check::{Finding, FindingKind, Level, check_patch};
use mastichinge::config::jsonc;
use mastichinge::config::patch::apply_patch;
use serde_json::{Value, json};
use strum::IntoEnumIterator;
use test_case::test_case;

/// Returns a configuration without findings.
fn document() -> Value {
    let engine = |port: u16| json!({"addr": format!("10.0.0.1:{port}"), "pool": "p", "memory": 1_000, "key": "secret"});
    json!({
        "engines": {"e1": engine(1), "e2": engine(2)},
        "models": {
            "base": {"pool": "p", "team": "a", "memory": 600, "limit": 2},
            "adapter": {"base": "base", "pool": "p", "team": "a", "memory": 100, "limit": 2},
        },
        "services": {"desk": {"addrs": ["10.0.0.2:1"], "team": "b",
            "once": [{"method": "POST", "path": "/book/"}]}},
        "callers": {
            "app": {"key_sha256": "a".repeat(64), "team": "a", "teams": ["a", "b"], "rate": 0.5},
            "jobs": {"key_sha256": "b".repeat(64), "team": "a", "teams": ["a"], "streams": 1_050},
        },
        "operators": {"ops": {"key_sha256": "c".repeat(64), "roles": ["read", "change"],
            "teams": ["a"]}},
    })
}

fn base() -> Config {
    apply_patch(&Config::default(), &document()).unwrap()
}

fn found(patch: Value) -> Vec<Finding> {
    check_patch(&base(), &patch).findings
}

fn route(path: &str) -> Value {
    json!({"method": "POST", "path": path})
}

/// Guards against a kind of finding that is not found, is found elsewhere, or brings others.
#[test_case(json!({"models": {"base": {"limit": "two"}}}), "invalid", "/models/base/limit"; "type")]
#[test_case(json!({"policy": {"tail": 1}}), "invalid", "/policy/tail"; "unknown field")]
#[test_case(json!({"services": {"desk": {"addrs": []}}}), "invalid", "/services/desk/addrs"; "rule")]
#[test_case(json!({"services": {"desk": {"keep_s": 1}}}), "invalid", "/services/desk/keep_s"; "record shorter than the deadline")]
#[test_case(json!({"models": {"other": null}, "policy": {"queue": 600}}), "removes_nothing", "/models/other"; "removal")]
#[test_case(json!({"models": {"base": {"limit": 2}}}), "no_change", ""; "same again")]
#[test_case(json!({"callers": null}), "no_callers", "/callers"; "callers")]
#[test_case(json!({"services": {"desk": {"team": "c"}}, "callers": {"app": {"teams": ["a"]}}}), "no_access", "/services/desk/team"; "service")]
#[test_case(json!({"operators": {"ops": {"teams": ["c"]}}}), "unknown_team", "/operators/ops/teams"; "team")]
#[test_case(json!({"operators": {"ops": {"teams": []}}}), "no_teams", "/operators/ops/teams"; "no team")]
#[test_case(json!({"engines": {"e3": {"addr": "10.0.0.3:1", "pool": "q"}}}), "unused_engine", "/engines/e3/pool"; "engine")]
#[test_case(json!({"models": {"adapter": {"limit": 0}}}), "never_loaded", "/models/adapter/limit"; "model")]
#[test_case(json!({"services": {"desk": {"once": [route("/"), route("/book/")]}}}), "shadowed_route", "/services/desk/once/1"; "route after another")]
#[test_case(json!({"services": {"desk": {"once": [route("/book/"), route("/")]}}}), "shadowed_route", "/services/desk/once/0"; "route before another")]
#[test_case(json!({"models": {"base": {"windows": [{"from": 1, "until": 9}, {"from": 2, "until": 9}]}}}), "shadowed_window", "/models/base/windows/1"; "window")]
#[test_case(json!({"policy": {"keepalive_ms": 1}}), "unused_policy", "/policy/keepalive_ms"; "policy")]
#[test_case(json!({"models": {"adapter": {"priority": 7}}}), "priority_above_callers", "/models/adapter/priority"; "priority")]
#[test_case(json!({"models": {"base": {"limit": 3}}}), "limit_above_engines", "/models/base/limit"; "replicas")]
#[test_case(json!({"models": {"base": {"limit": 1}}}), "limit_above_base", "/models/adapter/limit"; "replicas of an adapter")]
#[test_case(json!({"models": {"base": {"deadline_ms": 9_999}}}), "deadline_below_load", "/models/base/deadline_ms"; "deadline")]
#[test_case(json!({"callers": {"app": {"rate": 0.0002}}}), "rate_below_one", "/callers/app/rate"; "rate")]
#[test_case(json!({"callers": {"jobs": {"streams": 1_057}}}), "streams_above_room", "/callers/jobs/streams"; "requests in progress")]
fn a_patch_has_one_finding(patch: Value, kind: &str, path: &str) {
    let found = found(patch);
    let found: Vec<_> = found
        .iter()
        .map(|f| (f.kind.to_string(), &*f.path))
        .collect();
    assert_eq!(found, [(kind.to_owned(), path)]);
}

/// Guards against a rule that a sound configuration breaks.
#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(check_patch(&Config::default(), &document()).findings, []);
}

/// Guards against a check that stops at the first error, or at the first kind of errors.
#[test]
fn all_errors_are_found() {
    let found = found(json!({
        "models": {"base": {"limit": "two", "memory": 0}},
        "engines": {"e1": {"slots": 0}, "e2": {"addr": 1}},
        "policies": {},
        "callers": {"app": {"rate": -1.0}, "gone": null},
    }));
    let found: Vec<_> = found.iter().map(|f| (f.level, &*f.path)).collect();
    for path in [
        "/models/base/limit",
        "/models/base/memory",
        "/engines/e1/slots",
        "/engines/e2/addr",
        "/policies",
        "/callers/app/rate",
    ] {
        assert!(found.contains(&(Level::Error, path)), "{path}: {found:?}");
    }
    assert!(found.contains(&(Level::Warning, "/callers/gone")));
}

/// Guards against keys of engines among the differences.
#[test]
fn changes_name_what_differs_without_keys() {
    let patch =
        json!({"engines": {"e1": {"slots": 8, "key": "other"}}, "services": {"desk": null}});
    let changes = check_patch(&base(), &patch).changes;
    let expected = json!({"engines": {"e1": {"slots": 8, "key": "(hidden)"}},
        "services": {"desk": null}});
    assert_eq!(changes, expected);
}

/// Guards against a kind without a level of its own choice, which would be a warning unnoticed.
#[test]
fn only_broken_rules_are_errors() {
    let errors = FindingKind::iter().filter(|k| k.level() == Level::Error);
    assert_eq!(errors.collect::<Vec<_>>(), [FindingKind::Invalid]);
}

/// Guards against samples that operators would have to correct first.
#[test_case("harrowby")]
#[test_case("kunene")]
fn samples_are_clean(name: &str) {
    let path = format!("{}/samples/{name}.config.jsonc", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    let report = check_patch(&Config::default(), &jsonc::parse(&text).unwrap());
    assert_eq!(
        (report.count(Level::Error), report.count(Level::Warning)),
        (0, 0)
    );
}

fn file(name: &str, text: &str) -> PathBuf {
    let name = format!("mastichinge-check-{}-{name}.jsonc", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mastichinge"))
        .args(args)
        .env_remove("MASTICHINGE_HOSTS")
        .env_remove("MASTICHINGE_PROFILE")
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

/// Guards against an exit code that hides findings from a script.
#[test_case("sound", r#"{"policy": {"queue": 600}}"#, &[], 0; "sound")]
#[test_case("warning", r#"{"models": {"gone": null}}"#, &[], 0; "warning")]
#[test_case("strict", r#"{"models": {"gone": null}}"#, &["--strict"], 1; "warning with strict")]
#[test_case("note", r#"{"models": {"base": {"deadline_ms": 9999}}}"#, &["--strict"], 0; "note with strict")]
#[test_case("error", r#"{"policy": {"queue": 0}}"#, &[], 6; "error")]
#[test_case("text", r#"{"policy": "#, &[], 3; "not JSON")]
fn the_exit_code_tells_the_worst_finding(name: &str, patch: &str, flags: &[&str], code: i32) {
    let against = file(
        &format!("{name}-against"),
        &format!("// version 3\n{}", document()),
    );
    let patch = file(name, patch);
    let [against, patch] = [&against, &patch].map(|p| p.to_str().unwrap());
    let mut args = vec!["config", "check", patch, "--against", against];
    args.extend(flags);
    let output = run(&args);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

/// Guards against output that a script cannot read, and against a host that has to be named.
#[test]
fn json_names_findings_and_changes() {
    let shown = json!({"version": 3, "config": document()}).to_string();
    let against = file("shown", &shown);
    let patch = file(
        "json",
        r#"{"models": {"gone": null}, "policy": {"queue": 600}}"#,
    );
    let [against, patch] = [&against, &patch].map(|p| p.to_str().unwrap());
    let output = run(&["--json", "config", "check", patch, "--against", against]);
    let value: Value = serde_json::from_slice(&output.stdout).unwrap();
    let expected = json!({
        "against": against,
        "changes": {"policy": {"queue": 600}},
        "findings": [{"kind": "removes_nothing", "level": "warning", "path": "/models/gone",
            "message": "gone is removed and is not there"}],
    });
    assert_eq!(value, expected);
    let alone = run(&["config", "check", patch]);
    assert_eq!(alone.status.code(), Some(0), "{alone:?}");
}
