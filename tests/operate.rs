//! Operators' API and command-line tool over loopback.

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
use mastichinge::operators::keys::hash_key;
use mastichinge::tool::client::{ApiRequest, ApiResponse, Client};
use mastichinge::tool::{Environment, Output, Profile, ToolError, run};
use memory::backend::{ADMIN_KEY, FakeApiServer, FakeBackend, serve_api, unused_addr};
use serde_json::{Value, json};
use strum::IntoEnumIterator;
use test_case::test_case;

struct Fixture {
    backend: Arc<FakeBackend>,
    server: FakeApiServer,
}

impl Fixture {
    fn new() -> Self {
        let backend = Arc::new(FakeBackend::default());
        let server = serve_api(Arc::clone(&backend));
        let fixture = Fixture { backend, server };
        fixture.patch(ADMIN_KEY, 0, initial_patch()).unwrap();
        fixture
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

    fn patch(&self, key: &str, base: u64, patch: Value) -> Result<ApiResponse, ToolError> {
        self.client(key).send(&ApiRequest {
            method: Method::PATCH,
            base: Some(base),
            body: Some(patch),
            ..ApiRequest::get("/v1/config")
        })
    }

    fn tool(&self, line: &str) -> Result<String, ToolError> {
        run_tool(&self.profile(ADMIN_KEY), line)
    }
}

fn initial_patch() -> Value {
    json!({
        "operators": {
            "reader": { "key_sha256": hash_key("reader-key"), "roles": ["read"], "teams": ["*"] },
            "editor": { "key_sha256": hash_key("editor-key"), "roles": ["read", "change"], "teams": ["a"] }
        },
        "engines": { "e": { "addr": "10.0.0.1:1", "pool": "p", "key": "engine-secret" } },
        "models": {
            "m": { "pool": "p", "team": "a" },
            "n": { "pool": "p", "team": "b" }
        }
    })
}

fn run_tool(profile: &Profile, line: &str) -> Result<String, ToolError> {
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

fn refusal_kind(outcome: Result<ApiResponse, ToolError>) -> String {
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
fn each_route_checks_path_method_and_key(key: &str, method: &str, path: &str) -> String {
    let fixture = Fixture::new();
    let request = ApiRequest {
        method: method.parse().unwrap(),
        ..ApiRequest::get(path)
    };
    match fixture.client(key).send(&request) {
        Ok(_) => "ok".to_owned(),
        refused => refusal_kind(refused),
    }
}

#[test]
fn a_patch_of_other_teams_objects_is_forbidden() {
    let fixture = Fixture::new();
    let own = json!({ "models": { "m": { "limit": 2 } } });
    let foreign = json!({ "models": { "n": { "limit": 2 } } });
    assert_eq!(
        refusal_kind(fixture.patch("editor-key", 1, foreign)),
        "forbidden"
    );
    assert_eq!(
        refusal_kind(fixture.patch("reader-key", 1, own.clone())),
        "forbidden"
    );
    assert_eq!(
        fixture.patch("editor-key", 1, own).unwrap().version,
        Some(2)
    );
}

#[test]
fn a_conflict_lists_the_changes_since_the_base() {
    let fixture = Fixture::new();
    fixture
        .patch(ADMIN_KEY, 1, json!({ "policy": { "queue": 7 } }))
        .unwrap();
    let err = fixture.patch(ADMIN_KEY, 1, json!({ "policy": { "queue": 8 } }));
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
fn a_violated_rule_is_named() {
    let fixture = Fixture::new();
    let err = fixture.patch(
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
    let fixture = Fixture::new();
    for path in ["/v1/config", "/v1/config/versions/1", "/v1/audit"] {
        let body = fixture
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
    let fixture = Fixture::new();
    let request = ApiRequest {
        known_version: Some(1),
        ..ApiRequest::get("/v1/config")
    };
    assert_eq!(
        fixture.client(ADMIN_KEY).send(&request).unwrap().status,
        304
    );
}

#[test]
fn the_next_host_is_tried_when_one_is_down() {
    let fixture = Fixture::new();
    let mut profile = fixture.profile(ADMIN_KEY);
    profile.hosts.insert(0, unused_addr());
    let answer = Client::new(&profile).get("/v1/status").unwrap();
    assert_eq!(answer.host, fixture.server.addr);
    profile.hosts.pop();
    let err = Client::new(&profile).get("/v1/status").unwrap_err();
    assert_eq!(err.exit(), Exit::Unavailable);
}

#[test]
fn the_tool_resends_a_patch_until_its_outcome_is_known() {
    let fixture = Fixture::new();
    fixture
        .backend
        .table
        .dropped_commits
        .store(4, Ordering::SeqCst);
    let file = patch_file("again", "{ \"policy\": { \"queue\": 9 } } // a comment");
    let line = format!("config patch {file} --base 1 --wait");
    assert_eq!(fixture.tool(&line).unwrap(), "version 2 is accepted\n");
    assert_eq!(
        fixture
            .backend
            .active_config
            .lock()
            .unwrap()
            .config
            .policy
            .queue,
        9
    );
}

#[test]
fn an_unknown_outcome_is_resolved_by_the_same_attempt() {
    let fixture = Fixture::new();
    let file = patch_file("attempt", "{ \"policy\": { \"queue\": 9 } }");
    let line = format!("config patch {file} --base 1 --attempt a1 --limit 0");
    fixture
        .backend
        .table
        .dropped_commits
        .store(3, Ordering::SeqCst);
    let err = fixture.tool(&line).unwrap_err();
    assert_eq!(err.exit(), Exit::Unknown);
    assert!(err.to_string().contains("--attempt a1"));
    assert_eq!(fixture.tool(&line).unwrap(), "version 2 is accepted\n");
    fixture
        .patch(ADMIN_KEY, 2, json!({ "policy": { "queue": 3 } }))
        .unwrap();
    assert_eq!(fixture.tool(&line).unwrap(), "version 2 is accepted\n");
}

#[test]
fn without_the_table_patches_fail_and_the_active_config_is_readable() {
    let fixture = Fixture::new();
    fixture.backend.table.down.store(true, Ordering::SeqCst);
    let outcome = fixture.patch(ADMIN_KEY, 1, json!({ "policy": { "queue": 9 } }));
    assert_eq!(refusal_kind(outcome), "table_down");
    assert_eq!(
        refusal_kind(fixture.client(ADMIN_KEY).get("/v1/audit")),
        "table_down"
    );
    assert!(
        fixture
            .tool("config show")
            .unwrap()
            .contains("// version 1")
    );
    let file = patch_file("down", "{ \"policy\": { \"queue\": 9 } }");
    let outcome = fixture.tool(&format!("config patch {file} --base 1 --limit 0"));
    assert_eq!(outcome.unwrap_err().exit(), Exit::Unavailable);
}

#[test_case("{ \"policy\": { \"queue\": 0 } }", 1 => Exit::Invalid)]
#[test_case("{ \"policy\": { \"queue\": 2 } }", 0 => Exit::Conflict)]
#[test_case("{", 1 => Exit::Settings)]
fn a_refused_patch_has_its_own_exit_code(patch: &str, base: u64) -> Exit {
    let fixture = Fixture::new();
    let file = patch_file(&format!("refused-{base}-{}", patch.len()), patch);
    let outcome = fixture.tool(&format!("config patch {file} --base {base}"));
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
fn each_command_prints_its_result(line: &str, expected: &str) {
    let printed = Fixture::new().tool(line).unwrap();
    assert!(printed.contains(expected), "{printed}");
}

#[test]
fn a_drain_affects_only_the_named_host() {
    let fixture = Fixture::new();
    let other = Fixture::new();
    let line = format!("drain {}", other.server.addr);
    assert_eq!(fixture.tool(&line).unwrap(), "host h1 drains\n");
    assert!(other.backend.drain_requested.load(Ordering::SeqCst));
    assert!(!fixture.backend.drain_requested.load(Ordering::SeqCst));
}

#[test]
fn watch_prints_new_versions() {
    let fixture = Fixture::new();
    std::thread::scope(|scope| {
        let watch = scope.spawn(|| fixture.tool("config watch --count 2"));
        let mut base = 1;
        // The watch reports only versions that are accepted after its start.
        while !watch.is_finished() {
            fixture
                .patch(ADMIN_KEY, base, json!({ "policy": { "queue": base } }))
                .unwrap();
            base += 1;
            std::thread::yield_now();
        }
        let printed = watch.join().unwrap().unwrap();
        assert_eq!(printed.lines().count(), 2, "{printed}");
    });
}

fn send_raw(fixture: &Fixture, head: &str) -> String {
    let mut stream = TcpStream::connect(fixture.server.addr).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while !answer.ends_with(b"}") {
        let read = stream.read(&mut buffer).unwrap();
        assert!(read > 0, "the answer broke off");
        answer.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8(answer).unwrap()
}

#[test]
fn an_oversized_head_or_body_is_refused() {
    let fixture = Fixture::new();
    let long = "x".repeat(20_000);
    let head = format!("GET /v1/status HTTP/1.1\r\nHost: h\r\nX-Long: {long}\r\n\r\n");
    assert!(send_raw(&fixture, &head).starts_with("HTTP/1.1 431"));
    let key = ADMIN_KEY;
    let head = format!(
        "PATCH /v1/config HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: 99999999\r\n\r\n"
    );
    assert!(send_raw(&fixture, &head).starts_with("HTTP/1.1 413"));
}

/// Writes `text` to a new file with a unique name, because tests run in parallel.
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
        let row = format!("| `{kind}` | {} |", kind.response().status);
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
fn command_line_overrides_environment_overrides_profile(
    line: &str,
    hosts: Option<&str>,
    key: Option<&str>,
) -> (String, String) {
    let args = parse(line.split_whitespace().map(OsString::from).collect()).unwrap();
    let profile = Profile::resolve(&args, &environment(hosts, key)).unwrap();
    (profile.hosts[0].to_string(), profile.key)
}

#[test_case("--hosts here status")]
#[test_case("--profile /nowhere/profile.jsonc status")]
fn an_invalid_profile_is_named(line: &str) {
    let args = parse(line.split_whitespace().map(OsString::from).collect()).unwrap();
    let err = Profile::resolve(&args, &Environment::default()).unwrap_err();
    assert_eq!(err.exit(), Exit::Settings);
    assert!(err.to_string().contains("here"), "{err}");
}

#[test_case("config patch file")]
#[test_case("config")]
#[test_case("drain")]
#[test_case("status --unknown")]
fn invalid_command_lines_are_refused(line: &str) {
    assert!(parse(line.split_whitespace().map(OsString::from).collect()).is_err());
}

#[test_case(100 => "invalid_config"; "as deep as the parser allows")]
#[test_case(5_000 => "bad_request"; "deeper")]
fn a_deeply_nested_patch_is_refused(depth: usize) -> String {
    let fixture = Fixture::new();
    let nested = format!("{}1{}", "{\"models\":".repeat(depth), "}".repeat(depth));
    let head = format!(
        "PATCH /v1/config HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {ADMIN_KEY}\r\n\
         If-Match: 1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{nested}",
        nested.len()
    );
    let answer = send_raw(&fixture, &head);
    let (_, kind) = answer.split_once("\"kind\":\"").unwrap();
    kind.split('"').next().unwrap().to_owned()
}
