//! The operators' API and the tool, over loopback.

mod memory;

use std::ffi::OsString;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use attohttpc::Method;
use mastichinge::cli::Exit;
use mastichinge::cli::tool::parse;
use mastichinge::error::Kind;
use mastichinge::operators::keys::hash;
use mastichinge::tool::client::{Answer, Ask, Client};
use mastichinge::tool::{Environment, Output, Profile, ToolError, run};
use memory::host::{ADMIN_KEY, FakeApiServer, FakeBackend, serve_api, unused_addr};
use serde_json::{Value, json};
use strum::IntoEnumIterator;
use test_case::test_case;

struct Bench {
    host: Arc<FakeBackend>,
    server: FakeApiServer,
}

impl Bench {
    fn new() -> Self {
        let host = Arc::new(FakeBackend::default());
        let server = serve_api(Arc::clone(&host));
        let bench = Bench { host, server };
        bench.patch(ADMIN_KEY, 0, operators()).unwrap();
        bench
    }

    fn profile(&self, key: &str) -> Profile {
        Profile {
            hosts: vec![self.server.addr],
            key: key.to_owned(),
        }
    }

    fn client(&self, key: &str) -> Client {
        Client::new(&self.profile(key))
    }

    fn patch(&self, key: &str, base: u64, patch: Value) -> Result<Answer, ToolError> {
        self.client(key).send(&Ask {
            method: Method::PATCH,
            base: Some(base),
            body: Some(patch),
            ..Ask::get("/v1/config")
        })
    }

    fn tool(&self, line: &str) -> Result<String, ToolError> {
        tool(&self.profile(ADMIN_KEY), line)
    }
}

fn operators() -> Value {
    json!({
        "operators": {
            "reader": { "key_sha256": hash("reader-key"), "roles": ["read"], "teams": ["*"] },
            "editor": { "key_sha256": hash("editor-key"), "roles": ["read", "change"], "teams": ["a"] }
        },
        "engines": { "e": { "addr": "10.0.0.1:1", "pool": "p", "key": "engine-secret" } },
        "models": {
            "m": { "pool": "p", "team": "a" },
            "n": { "pool": "p", "team": "b" }
        }
    })
}

fn tool(profile: &Profile, line: &str) -> Result<String, ToolError> {
    let args = parse(line.split_whitespace().map(OsString::from).collect()).unwrap();
    let mut out = Vec::new();
    let mut output = Output {
        out: &mut out,
        progress: &mut std::io::sink(),
        json: args.json,
    };
    run(&args, profile, &mut output)?;
    Ok(String::from_utf8(out).unwrap())
}

fn kind(outcome: Result<Answer, ToolError>) -> String {
    match outcome {
        Err(ToolError::Refused { problem, .. }) => problem.kind,
        other => panic!("not refused: {other:?}"),
    }
}

#[test_case("reader-key", "GET", "/v1/config" => "ok")]
#[test_case("wrong", "GET", "/v1/config" => "bad_key")]
#[test_case("wrong", "GET", "/metrics" => "bad_key")]
#[test_case("wrong", "GET", "/healthz" => "ok")]
#[test_case("wrong", "GET", "/readyz" => "ok")]
#[test_case("reader-key", "GET", "/metrics" => "ok")]
#[test_case("reader-key", "POST", "/v1/drain" => "forbidden")]
#[test_case("reader-key", "DELETE", "/v1/held/f1" => "forbidden")]
#[test_case("editor-key", "DELETE", "/v1/held/f1" => "ok")]
#[test_case("editor-key", "DELETE", "/v1/held/f2" => "not_found")]
#[test_case("reader-key", "DELETE", "/v1/config" => "bad_method")]
#[test_case("reader-key", "GET", "/v1/configs" => "not_found")]
#[test_case("reader-key", "GET", "/v1/config/versions/x" => "bad_request")]
#[test_case("reader-key", "GET", "/v1/config/versions/99" => "not_found")]
#[test_case("reader-key", "GET", "/v1/config/history?count=x" => "bad_request")]
#[test_case("editor-key", "PATCH", "/v1/config" => "version_required")]
fn paths_methods_and_keys(key: &str, method: &str, path: &str) -> String {
    let bench = Bench::new();
    let ask = Ask {
        method: method.parse().unwrap(),
        ..Ask::get(path)
    };
    match bench.client(key).send(&ask) {
        Ok(_) => "ok".to_owned(),
        refused => kind(refused),
    }
}

#[test]
fn a_patch_of_other_teams_objects_is_forbidden() {
    let bench = Bench::new();
    let own = json!({ "models": { "m": { "limit": 2 } } });
    let foreign = json!({ "models": { "n": { "limit": 2 } } });
    assert_eq!(kind(bench.patch("editor-key", 1, foreign)), "forbidden");
    assert_eq!(kind(bench.patch("reader-key", 1, own.clone())), "forbidden");
    assert_eq!(bench.patch("editor-key", 1, own).unwrap().version, Some(2));
}

#[test]
fn an_old_base_gets_the_changes_since() {
    let bench = Bench::new();
    bench
        .patch(ADMIN_KEY, 1, json!({ "policy": { "queue": 7 } }))
        .unwrap();
    let err = bench.patch(ADMIN_KEY, 1, json!({ "policy": { "queue": 8 } }));
    let Err(ToolError::Refused { problem, .. }) = err else {
        panic!("{err:?}");
    };
    assert_eq!(problem.kind, "version_conflict");
    assert_eq!(
        problem.changes[0].patch,
        json!({ "policy": { "queue": 7 } })
    );
    assert_eq!(&*problem.changes[0].who, "admin");
}

#[test]
fn a_broken_rule_is_named() {
    let bench = Bench::new();
    let err = bench.patch(
        ADMIN_KEY,
        1,
        json!({ "policy": { "queue": 0, "colour": 1 } }),
    );
    let Err(ToolError::Refused { problem, .. }) = err else {
        panic!("{err:?}");
    };
    assert_eq!(problem.kind, "invalid_config");
    assert_eq!(&*problem.reasons[0].path, "/policy/colour");
}

#[test]
fn keys_of_upstreams_are_never_shown() {
    let bench = Bench::new();
    for path in ["/v1/config", "/v1/config/versions/1", "/v1/audit"] {
        let body = bench
            .client("reader-key")
            .get(path)
            .unwrap()
            .body
            .to_string();
        assert!(body.contains("(hidden)"), "{path}");
        assert!(!body.contains("engine-secret"), "{path}");
    }
}

#[test]
fn a_known_version_is_not_sent_again() {
    let bench = Bench::new();
    let ask = Ask {
        known: Some(1),
        ..Ask::get("/v1/config")
    };
    assert_eq!(bench.client(ADMIN_KEY).send(&ask).unwrap().status, 304);
}

#[test]
fn the_next_host_is_tried_when_one_is_down() {
    let bench = Bench::new();
    let mut profile = bench.profile(ADMIN_KEY);
    profile.hosts.insert(0, unused_addr());
    let answer = Client::new(&profile).get("/v1/status").unwrap();
    assert_eq!(answer.host, bench.server.addr);
    profile.hosts.pop();
    let err = Client::new(&profile).get("/v1/status").unwrap_err();
    assert_eq!(err.exit(), Exit::Unavailable);
}

#[test]
fn the_tool_sends_a_patch_again_until_it_is_settled() {
    let bench = Bench::new();
    bench.host.table.dropped_commits.store(4, Ordering::SeqCst);
    let file = patch_file("again", "{ \"policy\": { \"queue\": 9 } } // a comment");
    let line = format!("config patch {file} --base 1 --wait");
    assert_eq!(bench.tool(&line).unwrap(), "version 2 is accepted\n");
    assert_eq!(
        bench.host.active_config.lock().unwrap().config.policy.queue,
        9
    );
}

#[test]
fn a_lost_answer_reported_as_unknown_is_settled_by_the_same_attempt() {
    let bench = Bench::new();
    let file = patch_file("attempt", "{ \"policy\": { \"queue\": 9 } }");
    let line = format!("config patch {file} --base 1 --attempt a1 --limit 0");
    bench.host.table.dropped_commits.store(3, Ordering::SeqCst);
    let err = bench.tool(&line).unwrap_err();
    assert_eq!(err.exit(), Exit::Unknown);
    assert!(err.to_string().contains("--attempt a1"));
    assert_eq!(bench.tool(&line).unwrap(), "version 2 is accepted\n");
    bench
        .patch(ADMIN_KEY, 2, json!({ "policy": { "queue": 3 } }))
        .unwrap();
    assert_eq!(bench.tool(&line).unwrap(), "version 2 is accepted\n");
}

#[test]
fn without_the_table_nothing_changes_and_reading_goes_on() {
    let bench = Bench::new();
    bench.host.table.down.store(true, Ordering::SeqCst);
    let outcome = bench.patch(ADMIN_KEY, 1, json!({ "policy": { "queue": 9 } }));
    assert_eq!(kind(outcome), "table_down");
    assert_eq!(kind(bench.client(ADMIN_KEY).get("/v1/audit")), "table_down");
    assert!(bench.tool("config show").unwrap().contains("// version 1"));
    let file = patch_file("down", "{ \"policy\": { \"queue\": 9 } }");
    let outcome = bench.tool(&format!("config patch {file} --base 1 --limit 0"));
    assert_eq!(outcome.unwrap_err().exit(), Exit::Unavailable);
}

#[test_case("{ \"policy\": { \"queue\": 0 } }", 1 => Exit::Invalid)]
#[test_case("{ \"policy\": { \"queue\": 2 } }", 0 => Exit::Conflict)]
#[test_case("{", 1 => Exit::Settings)]
fn exit_codes_of_a_refused_patch(patch: &str, base: u64) -> Exit {
    let bench = Bench::new();
    let file = patch_file(&format!("refused-{base}-{}", patch.len()), patch);
    let outcome = bench.tool(&format!("config patch {file} --base {base}"));
    outcome.unwrap_err().exit()
}

#[test_case("status", "host     h1")]
#[test_case("hosts", "h1")]
#[test_case("models m", "m      -")]
#[test_case("engines", "ENGINE")]
#[test_case("held", "FINGERPRINT")]
#[test_case("release f1", "released f1")]
#[test_case("audit", "admin")]
#[test_case("config show", "// version 1")]
#[test_case("config show --at 1", "\"limit\": 1")]
#[test_case("config history --from 1 --count 5", "admin")]
#[test_case("config diff 0", "\"engines\"")]
#[test_case("--json hosts", "\"config\": 1")]
#[test_case("--json config show", "\"version\": 1")]
fn commands_print_what_they_name(line: &str, expected: &str) {
    let printed = Bench::new().tool(line).unwrap();
    assert!(printed.contains(expected), "{printed}");
}

#[test]
fn a_drain_reaches_only_the_host_that_is_named() {
    let bench = Bench::new();
    let other = Bench::new();
    let line = format!("drain {}", other.server.addr);
    assert_eq!(bench.tool(&line).unwrap(), "host h1 drains\n");
    assert!(other.host.drain_requested.load(Ordering::SeqCst));
    assert!(!bench.host.drain_requested.load(Ordering::SeqCst));
}

#[test]
fn watch_prints_versions_as_they_come() {
    let bench = Bench::new();
    std::thread::scope(|scope| {
        let watch = scope.spawn(|| bench.tool("config watch --count 2"));
        let mut base = 1;
        while !watch.is_finished() {
            bench
                .patch(ADMIN_KEY, base, json!({ "policy": { "queue": base } }))
                .unwrap();
            base += 1;
            std::thread::yield_now();
        }
        let printed = watch.join().unwrap().unwrap();
        assert_eq!(printed.lines().count(), 2, "{printed}");
    });
}

fn raw(bench: &Bench, head: &str) -> String {
    let mut stream = TcpStream::connect(bench.server.addr).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = Vec::new();
    let mut part = [0; 4_096];
    while !answer.ends_with(b"}") {
        let read = stream.read(&mut part).unwrap();
        assert!(read > 0, "the answer broke off");
        answer.extend_from_slice(&part[..read]);
    }
    String::from_utf8(answer).unwrap()
}

#[test]
fn an_oversized_head_or_body_is_refused() {
    let bench = Bench::new();
    let long = "x".repeat(20_000);
    let head = format!("GET /v1/status HTTP/1.1\r\nHost: h\r\nX-Long: {long}\r\n\r\n");
    assert!(raw(&bench, &head).starts_with("HTTP/1.1 431"));
    let key = ADMIN_KEY;
    let head = format!(
        "PATCH /v1/config HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: 99999999\r\n\r\n"
    );
    assert!(raw(&bench, &head).starts_with("HTTP/1.1 413"));
}

/// Writes `text` to a file of its own, so that tests side by side never share one.
fn patch_file(name: &str, text: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let file = format!("mastichinge-{process}-{number}-{name}.jsonc");
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn every_error_kind_has_its_row_in_the_operators_page() {
    let page = include_str!("../docs/OPERATING.md");
    for kind in Kind::iter() {
        let row = format!("| `{kind}` | {} |", kind.answer().status);
        assert!(page.contains(&row), "{row}");
    }
}

#[test]
fn every_exit_code_has_its_row_in_the_operators_page() {
    let page = include_str!("../docs/OPERATING.md");
    for exit in Exit::iter() {
        assert!(page.contains(&format!("\n| {} | ", exit as u8)), "{exit:?}");
    }
}

fn environment(hosts: Option<&str>, key: Option<&str>) -> Environment {
    Environment {
        hosts: hosts.map(str::to_owned),
        key: key.map(str::to_owned),
        profile: Some(patch_file("profile", PROFILE).into()),
    }
}

const PROFILE: &str = "{ \"hosts\": [\"127.0.0.1:1\"], \"key\": \"k1\" } // a comment";

#[test_case("status", None, None => ("127.0.0.1:1".to_owned(), "k1".to_owned()); "file")]
#[test_case("status", Some("127.0.0.1:2"), Some("k2") => ("127.0.0.1:2".to_owned(), "k2".to_owned()); "environment")]
#[test_case("--hosts 127.0.0.1:3 status", Some("127.0.0.1:2"), None => ("127.0.0.1:3".to_owned(), "k1".to_owned()); "command line")]
fn the_nearest_source_of_a_profile_wins(
    line: &str,
    hosts: Option<&str>,
    key: Option<&str>,
) -> (String, String) {
    let args = parse(line.split_whitespace().map(OsString::from).collect()).unwrap();
    let profile = Profile::find(&args, &environment(hosts, key)).unwrap();
    (profile.hosts[0].to_string(), profile.key)
}

#[test_case("--hosts here status")]
#[test_case("--profile /nowhere/profile.jsonc status")]
fn a_wrong_profile_is_named(line: &str) {
    let args = parse(line.split_whitespace().map(OsString::from).collect()).unwrap();
    let err = Profile::find(&args, &Environment::default()).unwrap_err();
    assert_eq!(err.exit(), Exit::Settings);
    assert!(err.to_string().contains("here"), "{err}");
}

#[test_case("config patch file")]
#[test_case("config")]
#[test_case("drain")]
#[test_case("status --unknown")]
fn wrong_command_lines_are_refused(line: &str) {
    assert!(parse(line.split_whitespace().map(OsString::from).collect()).is_err());
}

#[test_case(100 => "invalid_config"; "as deep as the parser allows")]
#[test_case(5_000 => "bad_request"; "deeper")]
fn a_deeply_nested_patch_is_refused(depth: usize) -> String {
    let bench = Bench::new();
    let nested = format!("{}1{}", "{\"models\":".repeat(depth), "}".repeat(depth));
    let head = format!(
        "PATCH /v1/config HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {ADMIN_KEY}\r\n\
         If-Match: 1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{nested}",
        nested.len()
    );
    let answer = raw(&bench, &head);
    let (_, kind) = answer.split_once("\"kind\":\"").unwrap();
    kind.split('"').next().unwrap().to_owned()
}
