//! Provokes every error kind from outside and checks its status, its error
//! format, and whether it says that the request may be retried and has run.

mod env;

use std::path::Path;
use std::time::Duration;

use attohttpc::Method;
use env::Env;
use mastichinge::error::{ExecutionState, Kind};
use mastichinge::fakes::FakeService;
use mastichinge::fakes::site::{CALLER_KEY, OPERATOR_KEY, SiteSettings};
use serde_json::{Value, json};
use strum::IntoEnumIterator;

/// The port that a request is sent to.
#[derive(Clone, Copy, PartialEq)]
enum Port {
    Callers,
    Operators,
}

/// A request and the error kind that it must cause.
struct Case {
    kind: Kind,
    port: Port,
    method: Method,
    path: &'static str,
    key: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: Vec<u8>,
}

impl Default for Case {
    fn default() -> Self {
        Case {
            kind: Kind::Internal,
            port: Port::Callers,
            method: Method::POST,
            path: "/v1/chat/completions",
            key: CALLER_KEY,
            headers: &[],
            body: chat_body("m1"),
        }
    }
}

fn chat_body(model: &str) -> Vec<u8> {
    let messages = json!([{"role": "user", "content": "hello"}]);
    let body = json!({"model": model, "messages": messages, "stream": true});
    body.to_string().into_bytes()
}

fn config_case(kind: Kind) -> Case {
    Case {
        kind,
        port: Port::Operators,
        method: Method::PATCH,
        path: "/v1/config",
        key: OPERATOR_KEY,
        body: b"{}".to_vec(),
        ..Case::default()
    }
}

fn booking_case(kind: Kind) -> Case {
    Case {
        kind,
        path: "/services/seats/bookings",
        body: b"row 3".to_vec(),
        ..Case::default()
    }
}

/// Kinds that need a failure, a load or another port; they are tested with the
/// feature that causes them.
const TESTED_ELSEWHERE: [Kind; 12] = [
    Kind::HeadTooLarge,
    Kind::SlowClient,
    Kind::DeadlineUnreachable,
    Kind::QueueFull,
    Kind::RateLimited,
    Kind::Draining,
    Kind::NotReady,
    Kind::StreamBroken,
    Kind::Quarantined,
    Kind::TableDown,
    Kind::OutcomeUnknown,
    Kind::Internal,
];

#[test]
fn every_kind_is_tested_here_or_listed_as_tested_elsewhere() {
    let cases = cases();
    for kind in Kind::iter() {
        let here = cases.iter().any(|c| c.kind == kind);
        assert!(here != TESTED_ELSEWHERE.contains(&kind), "{kind}");
    }
}

/// Kinds that a single request to a healthy site can cause.
fn cases() -> Vec<Case> {
    vec![
        Case {
            kind: Kind::BadRequest,
            body: b"{".to_vec(),
            ..Case::default()
        },
        Case {
            kind: Kind::BodyTooLarge,
            body: vec![b' '; 2 << 20],
            ..Case::default()
        },
        Case {
            kind: Kind::BadKey,
            key: "wrong",
            ..Case::default()
        },
        Case {
            kind: Kind::Forbidden,
            body: chat_body("closed"),
            ..Case::default()
        },
        Case {
            kind: Kind::NotFound,
            path: "/v1/nothing",
            ..Case::default()
        },
        Case {
            kind: Kind::BadMethod,
            method: Method::DELETE,
            ..Case::default()
        },
        Case {
            kind: Kind::UnknownModel,
            body: chat_body("nobody"),
            ..Case::default()
        },
        Case {
            kind: Kind::UnknownService,
            path: "/services/nobody/x",
            ..Case::default()
        },
        Case {
            kind: Kind::DeadlinePast,
            headers: &[("X-Deadline-Ms", "-1")],
            ..Case::default()
        },
        Case {
            kind: Kind::DeadlineExpired,
            headers: &[("X-Deadline-Ms", "1")],
            body: chat_body("m4"),
            ..Case::default()
        },
        Case {
            kind: Kind::NoCapacity,
            body: chat_body("off"),
            ..Case::default()
        },
        Case {
            kind: Kind::UpstreamFailed,
            method: Method::GET,
            path: "/services/gone/x",
            ..Case::default()
        },
        booking_case(Kind::KeyRequired),
        Case {
            headers: &[
                ("Idempotency-Key", "first-key-of-all"),
                ("X-First-Attempt", "1"),
            ],
            path: "/services/gone/bookings",
            ..booking_case(Kind::NotRun)
        },
        Case {
            headers: &[("Idempotency-Key", "used-before-1234")],
            body: b"another row".to_vec(),
            ..booking_case(Kind::KeyReused)
        },
        config_case(Kind::VersionRequired),
        Case {
            headers: &[("If-Match", "\"1\"")],
            ..config_case(Kind::VersionConflict)
        },
        Case {
            headers: &[("If-Match", "\"2\"")],
            body: br#"{"models": {"m1": {"base": "nobody"}}}"#.to_vec(),
            ..config_case(Kind::InvalidConfig)
        },
    ]
}

/// Adds the models, services and caller rights that the cases need to the
/// configuration, and uses one idempotency key.
fn prepare(env: &Env, service: &FakeService) {
    let once = json!([{"method": "POST", "path": "/bookings"}]);
    let patch = json!({
        "models": {
            "closed": {"pool": "main", "team": "others", "memory": 10, "limit": 1},
            "off": {"pool": "main", "memory": 10, "limit": 0},
        },
        "callers": {"app": {"teams": ["default"]}},
        "services": {
            "seats": {"addrs": [service.addr.to_string()], "once": once},
            "gone": {"addrs": ["127.0.0.1:1"], "once": once, "deadline_ms": 500},
        },
    });
    let (status, body) = env.patch_config(0, 1, "prepare", &patch);
    assert_eq!(status, 200, "{body}");
    env.wait("version 2", || (0..5).all(|h| env.config_version(h) == 2));
    let first = Case {
        headers: &[("Idempotency-Key", "used-before-1234")],
        ..booking_case(Kind::Internal)
    };
    assert_eq!(send(env, &first).0, 200);
}

/// Sends a request to host 0; returns status, `Retry-After` and body.
fn send(env: &Env, case: &Case) -> (u16, Option<String>, Value) {
    let url = match case.port {
        Port::Callers => env.caller_url(0, case.path),
        Port::Operators => env.operator_url(0, case.path),
    };
    let mut request = attohttpc::RequestBuilder::new(case.method.clone(), url)
        .bearer_auth(case.key)
        .timeout(Duration::from_secs(60));
    for (name, value) in case.headers {
        request = request.header(*name, *value);
    }
    let response = request.bytes(&case.body).send().expect("an answer");
    let status = response.status().as_u16();
    let retry = response.headers().get("retry-after");
    let retry = retry.and_then(|r| r.to_str().ok()).map(str::to_owned);
    let text = response.text().expect("a body");
    (
        status,
        retry,
        serde_json::from_str(&text).unwrap_or(Value::Null),
    )
}

#[test]
fn each_kind_has_its_response_and_other_requests_are_served() {
    let env = Env::start(
        SiteSettings {
            load_time: Duration::from_secs(1),
            ..SiteSettings::default()
        },
        Path::new(env!("CARGO_BIN_EXE_mastichinged")),
        &[],
    );
    let service = FakeService::start(([127, 0, 0, 1], 0).into()).expect("a service");
    prepare(&env, &service);
    let other_request = env.spawn_prompt(1, "m1", "an innocent question");
    for case in cases() {
        let (status, retry, body) = send(&env, &case);
        let expected = case.kind.response();
        assert_eq!(status, expected.status, "{}: {body}", case.kind);
        let error = match case.path.starts_with("/v1/") && case.port == Port::Callers {
            true => &body["error"],
            false => &body,
        };
        let name = match error["kind"].as_str() {
            Some(kind) => kind,
            None => error["code"].as_str().unwrap_or_default(),
        };
        assert_eq!(name, case.kind.to_string(), "{body}");
        assert_eq!(error["retry"], expected.retry, "{}: {body}", case.kind);
        assert_eq!(
            error["ran"],
            expected.ran.to_string(),
            "{}: {body}",
            case.kind
        );
        assert!(error["request_id"].is_string(), "{}: {body}", case.kind);
        assert_eq!(
            retry.is_some(),
            expected.retry,
            "{}: Retry-After",
            case.kind
        );
    }
    let answer = other_request.join().expect("the caller's thread");
    assert_eq!(
        answer.text,
        env.expected_text("an innocent question"),
        "{answer:?}"
    );
}

/// Guards against a false promise: a request that failed at every upstream was said not to
/// have run, although an upstream may have run it before its connection broke.
#[test]
fn failure_at_every_upstream_does_not_promise_that_the_request_has_not_run() {
    let response = Kind::UpstreamFailed.response();
    assert_eq!(response.ran, ExecutionState::Unknown);
}
