//! Collection of the log lines about a request.

use mastichinge::tool::trace::{parse_log, trace_request};

const FIRST_LOG: &str = r#"
not a line of ours
{"time":"2026-12-03T10:00:01.000Z","level":"WARN","message":"engine down","engine":"e1"}
{"time":"2026-12-03T10:00:01.500Z","level":"INFO","message":"request waits for a load","request":"r1","model":"m1"}
{"time":"2026-12-03T10:00:01.700Z","level":"INFO","message":"request answered","request":"r2","engine":"e2"}
{"time":"2026-12-03T10:00:03.000Z","level":"INFO","message":"request answered","request":"r1","engine":"e2","model":"m1"}
{"time":"2026-12-03T10:00:09.000Z","level":"INFO","message":"order given","engine":"e2","model":"m1"}
"#;

const SECOND_LOG: &str = r#"
 2.1 edge-2 {"time":"2026-12-03T10:00:02.000Z","level":"INFO","message":"order given","engine":"e2","model":"m1","verb":"load"}
 2.2 edge-2 {"time":"2026-12-03T10:00:02.100Z","level":"INFO","message":"order given","engine":"e3","model":"m9","verb":"load"}
"#;

#[test]
fn lines_about_a_request_and_its_engines_are_collected_from_all_hosts() {
    let mut lines = parse_log("edge-1.log", FIRST_LOG);
    lines.extend(parse_log("edge-2.log", SECOND_LOG));
    let traced = trace_request("r1", &lines);
    let shown: Vec<_> = traced
        .iter()
        .map(|l| (l.source.as_str(), l.fields["message"].as_str().unwrap()))
        .collect();
    let expected = [
        ("edge-1.log", "request waits for a load"),
        ("2.1 edge-2", "order given"),
        ("edge-1.log", "request answered"),
    ];
    assert_eq!(shown, expected);
    assert!(trace_request("r9", &lines).is_empty());
}

#[test]
fn lines_about_an_engine_shortly_before_the_request_are_included() {
    let lines = parse_log("edge-1.log", FIRST_LOG);
    let mut line = lines[1].clone();
    line.fields.insert("engine".into(), "e1".into());
    let with_engine: Vec<_> = lines.iter().cloned().chain([line]).collect();
    let traced = trace_request("r1", &with_engine);
    assert_eq!(traced[0].fields["message"], "engine down");
}

/// Guards against requests whose trace does not show that the store came back from an older copy
/// under them, or who granted permits for their engines.
#[test]
fn lines_about_the_store_and_the_allocator_are_included() {
    let log = FIRST_LOG.to_owned()
        + r#"{"time":"2026-12-03T10:00:02.500Z","level":"WARN","message":"store has come back from an older copy, everything is read again","table":"engines","era":2,"known":1}
{"time":"2026-12-03T10:00:02.600Z","level":"INFO","message":"share of the engines' rates changed","allocator":"edge-1","share_percent":100}
{"time":"2026-12-03T10:01:02.500Z","level":"WARN","message":"store has come back from an older copy, everything is read again","table":"engines","era":3,"known":2}"#;
    let traced = trace_request("r1", &parse_log("edge-1.log", &log));
    let shown: Vec<_> = traced
        .iter()
        .map(|l| l.fields["message"].as_str().unwrap())
        .collect();
    assert!(
        shown.contains(&"share of the engines' rates changed"),
        "{shown:?}"
    );
    let returns = shown
        .iter()
        .filter(|m| m.starts_with("store has come back"));
    assert_eq!(returns.count(), 1, "{shown:?}");
}

/// Guards against lines that are sorted wrongly or left out around the end of a month.
#[test]
fn a_request_around_the_end_of_a_month_is_traced() {
    let log = r#"
{"time":"2026-12-31T23:59:59.900Z","level":"INFO","message":"first","request":"r1","engine":"e1"}
{"time":"2027-01-01T00:00:00.100Z","level":"WARN","message":"second","engine":"e1"}
{"time":"2027-01-01T00:00:00.300Z","level":"INFO","message":"third","request":"r1","engine":"e1"}
"#;
    let traced = trace_request("r1", &parse_log("edge-1.log", log));
    let shown: Vec<_> = traced
        .iter()
        .map(|l| l.fields["message"].as_str().unwrap())
        .collect();
    assert_eq!(shown, ["first", "second", "third"]);
}

/// Guards against a refused request whose trace does not show since when, and on what evidence,
/// the part of its prompt is held.
#[test]
fn lines_about_the_held_feature_of_a_refused_request_are_included() {
    let log = r#"
{"time":"2026-12-03T10:00:01.000Z","level":"WARN","message":"feature held: engines crash on requests with it","feature":"part-91bd3f06","engines":"e1,e2"}
{"time":"2026-12-03T10:00:02.000Z","level":"WARN","message":"feature held: engines crash on requests with it","feature":"part-91","engines":"e1,e2"}
{"time":"2026-12-03T10:05:01.000Z","level":"WARN","message":"request refused","request":"r1","cause":"engines crashed while running requests with part-91bd3f06"}
{"time":"2026-12-03T10:05:02.000Z","level":"INFO","message":"feature released","feature":"part-91bd3f06"}"#;
    let traced = trace_request("r1", &parse_log("edge-1.log", log));
    let shown: Vec<_> = traced
        .iter()
        .map(|l| l.fields["message"].as_str().unwrap())
        .collect();
    let held = "feature held: engines crash on requests with it";
    assert_eq!(shown, [held, "request refused"]);
}
