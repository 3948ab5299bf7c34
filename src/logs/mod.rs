//! Logging as text or JSON lines with structured fields.

mod writer;

use std::fmt::Display;
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde::Serialize;
use serde_json::Map;

use crate::settings::{LogFormat, LogSettings};
use writer::Writer;

/// Error at the start of logging.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The log file cannot be opened or the writer thread cannot be started.
    #[error("cannot open the log: {0}")]
    Open(#[from] io::Error),
    /// Another logger is already installed.
    #[error("cannot start logging: {0}")]
    AlreadyStarted(#[from] log::SetLoggerError),
}

/// Starts logging for this process.
///
/// A separate thread writes the lines; call `log::logger().flush()` before the
/// process ends.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let out: Box<dyn Write + Send> = match &settings.file {
        Some(path) => Box::new(OpenOptions::new().create(true).append(true).open(path)?),
        None => Box::new(io::stderr()),
    };
    start_with_output(settings, out)
}

/// Starts logging to `out`.
pub fn start_with_output(
    settings: &LogSettings,
    out: Box<dyn Write + Send>,
) -> Result<(), LogError> {
    let level = LevelFilter::from_str(&settings.level).unwrap_or(LevelFilter::Info);
    let form = settings.form;
    let dispatch = fern::Dispatch::new()
        .level(level)
        // tiny_http logs every planned stop of a server as an error; the servers
        // log relevant errors themselves.
        .level_for("tiny_http", LevelFilter::Off)
        .format(move |out, message, record| {
            out.finish(format_args!(
                "{}",
                format_line(form, SystemTime::now(), message, record)
            ));
        });
    let writer: Box<dyn log::Log> = Box::new(Writer::start(out)?);
    Ok(dispatch.chain(writer).apply()?)
}

/// A log line, serialized in [`LogFormat::Json`].
#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'static str,
    target: &'a str,
    message: String,
    #[serde(flatten)]
    fields: Map<String, serde_json::Value>,
}

fn format_line(
    form: LogFormat,
    time: SystemTime,
    message: &dyn Display,
    record: &Record<'_>,
) -> String {
    let mut fields = FieldCollector(Map::new());
    // `FieldCollector` returns no errors.
    let _ = record.key_values().visit(&mut fields);
    let line = Line {
        time: format_timestamp(time.duration_since(UNIX_EPOCH).unwrap_or_default()),
        level: record.level().as_str(),
        target: record.target(),
        message: message.to_string(),
        fields: fields.0,
    };
    match form {
        LogFormat::Json => serde_json::to_string(&line).unwrap_or(line.message),
        LogFormat::Text => format_text(&line),
    }
}

/// Collects the fields of a log record.
struct FieldCollector(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json_value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(n), ..) => n.into(),
            (_, Some(n), _) => n.into(),
            (.., Some(b)) => b.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json_value);
        Ok(())
    }
}

fn format_text(line: &Line<'_>) -> String {
    let (time, level, target) = (&line.time, line.level, line.target);
    let message = line.message.replace(char::is_control, " ");
    let mut text = format!("{time} {level:<5} {target} {message}");
    for (name, value) in &line.fields {
        text.push_str(&format!(" {name}={value}"));
    }
    text
}

/// Formats a time since the Unix epoch as RFC 3339 in UTC with milliseconds.
///
/// The date is in the proleptic Gregorian calendar, computed by `civil_from_days`
/// of Howard Hinnant, "chrono-Compatible Low-Level Date Algorithms".
pub fn format_timestamp(since: Duration) -> String {
    const DAY_S: u64 = 86_400;
    let (days, rest) = (since.as_secs() / DAY_S, since.as_secs() % DAY_S);
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let doe = shifted % 146_097;
    let yoe = (doe - doe / 1_460 + doe / 36_524 - doe / 146_096) / 365;
    let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    let mp = (5 * doy + 2) / 153;
    let day = doy - (153 * mp + 2) / 5 + 1;
    let month = if mp < 10 { mp + 3 } else { mp - 9 };
    let year = yoe + era * 400 + u64::from(month <= 2);
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    let ms = since.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z")
}

#[cfg(test)]
mod tests {
    use super::*;
    use log::Level;
    use test_case::test_case;

    #[test_case(0 => "1970-01-01T00:00:00.000Z")]
    #[test_case(951_782_400 => "2000-02-29T00:00:00.000Z")]
    #[test_case(1_796_336_133 => "2026-12-03T22:15:33.000Z")]
    #[test_case(4_107_542_399 => "2100-02-28T23:59:59.000Z")]
    fn a_timestamp_is_rfc_3339_in_utc(secs: u64) -> String {
        format_timestamp(Duration::from_secs(secs))
    }

    fn sample(form: LogFormat) -> String {
        let fields = [("request", Value::from("r-1")), ("retries", Value::from(2))];
        let record = Record::builder()
            .level(Level::Warn)
            .target("pool")
            .key_values(&fields)
            .build();
        format_line(form, UNIX_EPOCH, &"two\nlines", &record)
    }

    #[test]
    fn a_text_line_is_one_line_with_its_fields() {
        let expected = "1970-01-01T00:00:00.000Z WARN  pool two lines request=\"r-1\" retries=2";
        assert_eq!(sample(LogFormat::Text), expected);
    }

    #[test]
    fn a_json_line_has_its_fields_beside_the_message() {
        let line: serde_json::Value = serde_json::from_str(&sample(LogFormat::Json)).unwrap();
        assert_eq!(line["message"], "two\nlines");
        assert_eq!(line["request"], "r-1");
        assert_eq!(line["retries"], 2);
    }
}
