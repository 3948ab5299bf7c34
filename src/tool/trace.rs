//! Collects the log lines about one request from all hosts.

use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde_json::{Map, Value};

use super::{Output, ToolError};

/// Time before the request's first line from which lines about its engines and
/// model are included, ms.
const CONTEXT_BEFORE_MS: i64 = 3_000;
/// Fields of lines about what all requests depend on: the era of the store, and the host that
/// grants permits.
const SHARED_FIELDS: [&str; 2] = ["era", "allocator"];
/// Fields that a printed line shows at a fixed place or, as `target`, leaves out;
/// the others follow as `name=value`.
const FIXED_FIELDS: [&str; 4] = ["time", "level", "target", "message"];

/// A log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// Log or host that it came from.
    pub source: String,
    /// Fields of the line.
    pub fields: Map<String, Value>,
}

impl LogLine {
    fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the time, ms; clocks of hosts may differ.
    fn time_ms(&self) -> i64 {
        parse_ms(self.text("time")).unwrap_or(0)
    }

    fn format(&self) -> String {
        let mut text = format!("{} {:<5}", self.text("time"), self.text("level"));
        text.push_str(&format!(" {} {}", self.source, self.text("message")));
        for (name, value) in &self.fields {
            if !FIXED_FIELDS.contains(&name.as_str()) {
                text.push_str(&format!(" {name}={value}"));
            }
        }
        text
    }
}

/// Parses the lines of one log and skips lines that are not JSON. Text before
/// the first brace of a line, as log collectors add it, becomes its source.
pub fn parse_log(source: &str, text: &str) -> Vec<LogLine> {
    let mut lines = Vec::new();
    for line in text.lines() {
        let Some(at) = line.find('{') else {
            continue;
        };
        let Ok(fields) = serde_json::from_str(&line[at..]) else {
            continue;
        };
        let before = line[..at].trim();
        let source = match before.is_empty() {
            true => source,
            false => before,
        };
        lines.push(LogLine {
            source: source.to_owned(),
            fields,
        });
    }
    lines
}

/// Returns the lines that name `request`, the lines about its engines and model and about what
/// all requests depend on in the same period, and those about the feature for which it was held,
/// sorted by time.
pub fn trace_request(request: &str, lines: &[LogLine]) -> Vec<LogLine> {
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|l| l.text("request") == request)
        .collect();
    let times = request_lines.iter().map(|l| l.time_ms());
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Vec::new();
    };
    let mut related = BTreeSet::new();
    for line in &request_lines {
        for name in [line.text("engine"), line.text("model")] {
            if !name.is_empty() {
                related.insert(name);
            }
        }
    }
    let mut traced = Vec::new();
    for line in lines {
        let at = line.time_ms();
        let in_window = (first - CONTEXT_BEFORE_MS..=last).contains(&at);
        let names_other = !line.text("request").is_empty();
        let named = [line.text("engine"), line.text("model")];
        let is_shared = SHARED_FIELDS.iter().any(|f| line.fields.contains_key(*f));
        let is_related = is_shared || named.iter().any(|n| related.contains(n));
        let is_hold = at <= last && explains_refusal(line.text("feature"), &request_lines);
        if line.text("request") == request || (in_window && !names_other && is_related) || is_hold {
            traced.push(line.clone());
        }
    }
    traced.sort_by_key(LogLine::time_ms);
    traced
}

/// Returns whether a held feature is the cause of a refusal. It may have been held for long.
fn explains_refusal(feature: &str, request_lines: &[&LogLine]) -> bool {
    let names = |l: &&LogLine| l.text("cause").rsplit(' ').next() == Some(feature);
    !feature.is_empty() && request_lines.iter().any(names)
}

/// Parses the timestamp of a log line (RFC 3339, UTC) as milliseconds since the first of March of
/// the year 0.
fn parse_ms(time: &str) -> Option<i64> {
    let year: i64 = time.get(0..4)?.parse().ok()?;
    let month: i64 = time.get(5..7)?.parse().ok()?;
    let day: i64 = time.get(8..10)?.parse().ok()?;
    // Years begin in March here, so that a leap day is the last of its year.
    let (year, month) = match month {
        1 | 2 => (year - 1, month + 9),
        _ => (year, month - 3),
    };
    let leap_days = year / 4 - year / 100 + year / 400;
    let day = 365 * year + leap_days + (153 * month + 2) / 5 + day - 1;
    let hour: i64 = time.get(11..13)?.parse().ok()?;
    let minute: i64 = time.get(14..16)?.parse().ok()?;
    let second: i64 = time.get(17..19)?.parse().ok()?;
    let ms: i64 = time.get(20..23)?.parse().ok()?;
    Some((((day * 24 + hour) * 60 + minute) * 60 + second) * 1_000 + ms)
}

pub(super) fn run(
    request: &str,
    files: &[PathBuf],
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let mut lines = Vec::new();
    for path in files {
        let text = read_log(path).map_err(|error| ToolError::Input {
            path: path.clone(),
            cause: error.to_string(),
        })?;
        lines.extend(parse_log(&path.display().to_string(), &text));
    }
    let traced = trace_request(request, &lines);
    if output.json {
        return output.print_json(&traced);
    }
    if traced.is_empty() {
        return output.print_line(&format!("no line names the request {request}"));
    }
    for line in &traced {
        output.print_line(&line.format())?;
    }
    Ok(())
}

fn read_log(path: &Path) -> io::Result<String> {
    if path == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    fs::read_to_string(path)
}
