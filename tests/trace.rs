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
