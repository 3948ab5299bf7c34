//! Tests of the platform adapter's encoding and decoding, and of the files that the
//! platform reads.

use std::collections::BTreeSet;
use std::time::Duration;

use http::header::HeaderMap;
use mastichinge::edge::desired::RouteKind;
use mastichinge::edge::request_headers::{EngineHeaders, PromptPart};
use mastichinge::edge::settings;
use mastichinge::edge::upstream::EnginePhase;
use mastichinge::platform::host_queries::{HostQuery, parse_query};
use mastichinge::platform::{desired, engine_entry, headers as platform_headers, orders, rows};
use serde_json::json;
use test_case::test_case;

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(*name, value.parse().unwrap());
    }
    headers
}

#[test]
fn request_headers_are_parsed() {
    let request = platform_headers::parse_request(&headers(&[
        ("x-mastichinge-request-id", "9c41"),
        ("x-mastichinge-deadline-ms", "6000"),
        ("last-event-id", "12"),
        ("x-mastichinge-model", "m1/a3"),
        ("x-mastichinge-token-count", "1460,80"),
        (
            "x-mastichinge-prompt-prefix",
            "5c1e07a2:800,91bd3f06:410, x, e4402b7d:250",
        ),
    ]));
    assert_eq!(&*request.id, "9c41");
    assert_eq!(request.time_limit, Some(Duration::from_secs(6)));
    assert_eq!(request.last_event, Some(12));
    let prompt = request.prompt.unwrap();
    assert_eq!(&*prompt.target(), "m1/a3");
    assert_eq!((prompt.input_tokens, prompt.output_tokens), (1_460, 80));
    assert_eq!(prompt.parts.len(), 3);
    let (id, tokens) = (0x5c1e_07a2, 800);
    assert_eq!(prompt.parts[0], PromptPart { id, tokens });
}

/// Guards against BUDGET: a part that crashes engines was taken for the last one, which no other
/// request shares, or was not read.
#[test_case("1:5,2:5,3:5", &[1, 2]; "as usual")]
#[test_case("1:5,2:5,x", &[1, 2]; "the last cannot be read")]
#[test_case("1:5,2:5,3:5, ", &[1, 2]; "an empty entry follows")]
#[test_case("x,2:many,3", &[2]; "unreadable entries and tokens")]
#[test_case("00a:5,A:5,a", &[10, 10]; "one number in two forms")]
#[test_case("1:5", &[]; "a single part")]
#[test_case("", &[]; "none")]
fn shared_parts_are_all_but_the_last(list: &str, expected: &[u64]) {
    let request =
        platform_headers::parse_request(&headers(&[("x-mastichinge-prompt-prefix", list)]));
    assert_eq!(request.shared_parts, expected);
}

#[test]
fn engine_requests_have_the_remaining_time_and_no_hop_by_hop_headers() {
    let from = headers(&[
        ("x-mastichinge-deadline-ms", "6000"),
        ("connection", "x-private, keep-alive"),
        ("x-private", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("x-mastichinge-request-priority", "0"),
        ("x-mastichinge-model", "m1"),
        ("expect", "100-continue"),
    ]);
    let values = EngineHeaders {
        engine: "i-1",
        time_left: Duration::from_millis(1_234),
        last_event: Some(7),
        priority: Some(30),
        customer: None,
        hides_key: false,
    };
    let out = platform_headers::to_engine(&from, &values);
    let expected = headers(&[
        ("x-mastichinge-deadline-ms", "1234"),
        ("x-mastichinge-expect-instance", "i-1"),
        ("last-event-id", "7"),
        ("x-mastichinge-request-priority", "9"),
        ("x-mastichinge-model", "m1"),
    ]);
    assert_eq!(out, expected);
}

#[test]
fn response_headers_are_parsed() {
    let response = platform_headers::parse_response(&headers(&[
        ("x-mastichinge-request-id", "r"),
        ("x-mastichinge-not-run", "1"),
        ("keep-alive", "max=3, timeout=12"),
        ("connection", "Close"),
    ]));
    assert_eq!(&*response.id, "r");
    assert!(response.not_run && response.closes && !response.signed);
    assert_eq!(response.idle_timeout, Some(Duration::from_secs(12)));
}

/// Guards against a Not-Run header that contradicts its status.
#[test_case(503, true, true)]
#[test_case(429, true, true)]
#[test_case(400, true, true)]
#[test_case(421, false, true)]
#[test_case(503, false, false)]
#[test_case(200, true, false)]
#[test_case(408, true, false)]
#[test_case(500, true, false)]
fn a_rejection_has_a_status_of_rejections(status: u16, not_run: bool, expected: bool) {
    let pairs: &[_] = match not_run {
        true => &[("x-mastichinge-not-run", "1")],
        false => &[],
    };
    let response = platform_headers::parse_response(&headers(pairs));
    let status = http::StatusCode::from_u16(status).unwrap();
    assert_eq!(platform_headers::is_rejection(status, &response), expected);
}

#[test]
fn a_desired_state_is_decoded_with_its_routes_services_and_limits() {
    let text = json!({"version": 7, "unheard": 1,
        "routes": [
            {"name": "a", "host": "Ficu95.example", "pathPrefix": "/pufi/", "kind": "stream",
                "timeoutMs": 17000, "latencyTargetMs": 3000, "priority": 1, "service": "s1",
                "attempts": 1, "sticky": true, "resumable": false, "gapTargetMs": 400},
            {"name": "b", "host": "ficu95.example", "pathPrefix": "/pufi/deep/",
                "kind": "non_idempotent", "timeoutMs": 1000,
                "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]}],
        "services": [{"name": "s1", "healthPath": "/healthz", "maxConns": 370,
            "engine": {"slots": 64, "weightsMb": 200000.0, "adapterSlots": 8, "loadsPerS": 1.6,
                "models": [{"name": "m", "weightsMb": 65099.9, "loadS": 6.0, "adapters": 32,
                    "adapterMb": 66.0, "warmS": 0.4, "diskS": 1.2}]}}],
        "limits": {"maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}});
    let desired = desired::decode(text.to_string().as_bytes()).unwrap();
    assert_eq!(desired.version, 7);
    let route = desired.route("FICU95.example:80", "/pufi/deep/x").unwrap();
    assert_eq!(
        (&*route.name, route.kind, route.targets.len()),
        ("b", RouteKind::Once, 2)
    );
    let route = desired.route("ficu95.example", "/pufi/x").unwrap();
    assert_eq!((&*route.name, route.kind), ("a", RouteKind::Stream));
    assert_eq!(route.gap, Duration::from_millis(400));
    assert!(desired.route("ficu95.example", "/pufix").is_none());
    assert!(desired.route("other.example", "/pufi/").is_none());
    let model = &desired.hosting("s1").unwrap().models["m"];
    assert_eq!(model.disk_load, Duration::from_millis(1_200));
    assert_eq!(desired.limits.head_time, Duration::from_secs(3));
    assert_eq!(desired.limits.idle, Duration::from_secs(15));
}

fn entry() -> serde_json::Value {
    json!({"service": "s", "addr": "10.128.0.9:8080", "zone": "z", "version": "v1",
        "slots": 64, "state": "draining", "remainingMs": 1500.5, "coldLeftMs": 0, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": ["a1", "a2@3"]}],
        "available": {"inMemory": ["m"], "onDisk": ["m", "n"]}, "seq": 4, "born": 1700})
}

#[test]
fn an_engine_entry_is_decoded_with_its_models_and_copies() {
    let entry = engine_entry::decode("i-1", entry().to_string().as_bytes()).unwrap();
    assert_eq!(
        (entry.phase, entry.sequence, entry.incarnation),
        (EnginePhase::Draining, 4, 1_700)
    );
    assert_eq!(
        entry.models["m"],
        BTreeSet::from(["a1".into(), "a2".into()])
    );
    assert_eq!(entry.copies.disk.len(), 2);
}

#[test_case("state", json!("resting"); "unknown state")]
#[test_case("addr", json!(7); "address of another type")]
#[test_case("addr", json!("nowhere"); "no address")]
#[test_case("slots", json!("many"); "slots of another type")]
#[test_case("born", json!(17.5); "fractional start")]
#[test_case("seq", json!(null); "no sequence number")]
fn an_entry_with_a_faulty_field_is_refused(field: &str, value: serde_json::Value) {
    let mut entry = entry();
    entry[field] = value;
    assert!(engine_entry::decode("i-1", entry.to_string().as_bytes()).is_err());
}

#[test]
fn an_engine_report_is_decoded() {
    let text = json!({"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
        "incoming": ["m/a3@1"], "inFlight": true, "seq": 2, "queued": 1, "active": 12,
        "kvUsed": 41000, "kvTotal": 90000, "handles": 0, "born": 5});
    let report = orders::decode_report(text.to_string().as_bytes()).unwrap();
    assert!(report.busy && report.loading_adapters.contains("m/a3"));
    assert_eq!(
        (report.order_count, report.running, report.waiting),
        (2, 12, 1)
    );
}

#[test]
fn rows_are_decoded_and_deleted_rows_have_no_value() {
    let text = json!({"rows": [
        {"table": "t", "part": "", "key": "a", "value": "bm9kZS0x", "ver": 4},
        {"table": "t", "part": "p", "key": "b", "value": "???", "ver": 5},
        {"table": "t", "part": "", "key": "c", "ver": 6, "tombstone": true}],
        "hasMore": true, "ver": 9, "nowMs": 1});
    let page = rows::decode_page(text.to_string().as_bytes()).unwrap();
    assert_eq!((page.version, page.has_more), (9, true));
    assert_eq!(page.rows[0].value.as_deref(), Some(&b"node-1"[..]));
    assert!(page.rows[1].value.is_none() && !page.rows[1].unnamed_part);
    assert!(page.rows[2].deleted);
}

#[test_case("/resolve?name=a&region=r&zone=derby%20x",
    Some(HostQuery::Entry); "entry addresses")]
#[test_case("/readyz", Some(HostQuery::Ready); "readiness")]
#[test_case("/other", None; "unknown path")]
fn host_queries_are_parsed(uri: &str, expected: Option<HostQuery>) {
    assert_eq!(
        parse_query(&http::Method::GET, &uri.parse().unwrap()),
        expected
    );
    assert_eq!(
        parse_query(&http::Method::POST, &uri.parse().unwrap()),
        None
    );
}

/// Renders the template as the platform does: a `{{#name}}` section is left out when
/// the name has no value, a `{{^name}}` section when it has one.
fn render_template(template: &str, values: &[(&str, &str)]) -> String {
    let mut text = template.to_owned();
    while let Some(at) = text.find("{{#").or(text.find("{{^")) {
        let named = &text[at + 3..at + text[at..].find("}}").unwrap()];
        let name = named.to_owned();
        let open = text[at..].find("}}").unwrap() + at + 2;
        let end = format!("{{{{/{name}}}}}");
        let close = text[open..].find(&end).unwrap() + open;
        let value = values.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        let present = value.is_some_and(|v| v != "false");
        let keep = present == text[at..].starts_with("{{#");
        let inner = if keep {
            text[open..close].to_owned()
        } else {
            String::new()
        };
        text.replace_range(at..close + end.len(), &inner);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}|json}}}}"), &format!("\"{value}\""));
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a placeholder has no value: {text}");
    text
}

const HOST_VALUES: [(&str, &str); 8] = [
    ("nodeName", "edge-1"),
    ("zone", "derby"),
    ("ip", "10.1.0.38"),
    ("listen.front", "10.1.0.38:8149"),
    ("listen.ready", "10.1.0.38:8141"),
    ("listen.directory", "10.1.0.38:8143"),
    ("portRange.0", "7380"),
    ("provider.addr", "10.200.1.7:8142"),
];

const BOUND_VALUES: [(&str, &str); 11] = [
    ("provider.readsPerS", "2000"),
    ("limits.memoryMb", "390"),
    ("bounds.drainMs", "2500"),
    ("bounds.graceS", "8"),
    ("bounds.leaseMs", "3500"),
    ("bounds.checksFence", "false"),
    ("bounds.retryRatio", "0.2"),
    ("bounds.retryWindowS", "10"),
    ("bounds.retrySlack", "58"),
    ("bounds.ceilingWindowS", "5"),
    ("bounds.ttl_max_s", "5"),
];

const TEMPLATE: &str = include_str!("../../deploy/edge.jsonc");

#[test]
fn the_deployment_template_yields_valid_settings() {
    let system = include_str!("../../deploy/system.toml");
    assert!(system.contains("template = \"deploy/edge.jsonc\""));
    let settings = settings::parse(&render_template(
        TEMPLATE,
        &[&HOST_VALUES[..], &BOUND_VALUES].concat(),
    ))
    .unwrap();
    assert_eq!(&*settings.host, "edge-1");
    assert_eq!(settings.listen.peers.port(), 7_380);
    assert_eq!(settings.bounds.lease(), Duration::from_millis(3_500));
    assert_eq!(
        (settings.bounds.drain_ms, settings.bounds.fences),
        (2_500, false)
    );
}

#[test]
fn bounds_missing_in_a_deployment_keep_their_defaults() {
    let settings = settings::parse(&render_template(TEMPLATE, &HOST_VALUES)).unwrap();
    let defaults = settings::Bounds::default();
    assert_eq!(
        settings.bounds,
        settings::Bounds {
            fences: false,
            ..defaults
        }
    );
}

#[test_case("{}", "/host"; "empty settings")]
#[test_case(r#"{"host": 5}"#, "/host"; "wrong type")]
#[test_case(r#"{"bounds": {"lease": 5}}"#, "/bounds/lease"; "unknown name")]
#[test_case(r#"{"listen": {"callers": "x"}}"#, "/listen/callers"; "no address")]
#[test_case(r#"{"bounds": {"grace_s": 0}}"#, "/bounds/grace_s"; "not above zero")]
fn settings_errors_name_the_field(text: &str, field: &str) {
    let error = settings::parse(text).unwrap_err().to_string();
    assert!(error.contains(field), "{error}");
}
