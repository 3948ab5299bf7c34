//! Log lines as text or as JSON, with the id of the request in progress.

use std::cell::RefCell;
use std::fmt::Display;
use std::io;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Record};
use serde::Serialize;

use crate::settings::{Form, Log};

thread_local! {
    static REQUEST: RefCell<Option<Arc<str>>> = const { RefCell::new(None) };
}

/// Why logging could not start.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The log file cannot be opened.
    #[error("cannot open the log file: {0}")]
    File(#[from] io::Error),
    /// A logger runs already.
    #[error("cannot start logging: {0}")]
    Started(#[from] log::SetLoggerError),
}

/// Starts logging for this process.
pub fn start(settings: &Log) -> Result<(), LogError> {
    let level = LevelFilter::from_str(&settings.level).unwrap_or(LevelFilter::Info);
    let form = settings.form;
    let dispatch = fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            out.finish(format_args!(
                "{}",
                line(form, SystemTime::now(), message, record)
            ));
        });
    let dispatch = match &settings.file {
        Some(path) => dispatch.chain(fern::log_file(path)?),
        None => dispatch.chain(io::stderr()),
    };
    Ok(dispatch.apply()?)
}

/// Marks the log lines of this thread with a request id until it is dropped.
#[derive(Debug)]
pub struct Scope {
    outer: Option<Arc<str>>,
}

/// Begins a [`Scope`] for the request `id`.
pub fn scope(id: Arc<str>) -> Scope {
    let outer = REQUEST.with_borrow_mut(|request| request.replace(id));
    Scope { outer }
}

impl Drop for Scope {
    fn drop(&mut self) {
        let outer = self.outer.take();
        REQUEST.with_borrow_mut(|request| *request = outer);
    }
}

/// A line in [`Form::Json`].
#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'static str,
    target: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<Arc<str>>,
    message: String,
}

fn line(form: Form, time: SystemTime, message: &dyn Display, record: &Record<'_>) -> String {
    let line = Line {
        time: stamp(time.duration_since(UNIX_EPOCH).unwrap_or_default()),
        level: record.level().as_str(),
        target: record.target(),
        request: REQUEST.with_borrow(Clone::clone),
        message: message.to_string(),
    };
    match form {
        Form::Json => serde_json::to_string(&line).unwrap_or(line.message),
        Form::Text => text(&line),
    }
}

fn text(line: &Line<'_>) -> String {
    let request = match &line.request {
        Some(id) => format!(" [{id}]"),
        None => String::new(),
    };
    let message = line.message.escape_debug();
    let (time, level, target) = (&line.time, line.level, line.target);
    format!("{time} {level:<5} {target}{request} {message}")
}

/// Writes a time since the Unix epoch as RFC 3339 in UTC with milliseconds.
///
/// The date follows the proleptic Gregorian calendar; formula `civil_from_days`
/// of Howard Hinnant, "chrono-Compatible Low-Level Date Algorithms".
pub fn stamp(since: Duration) -> String {
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
    fn stamps(secs: u64) -> String {
        stamp(Duration::from_secs(secs))
    }

    fn sample(form: Form) -> String {
        let record = Record::builder().level(Level::Warn).target("pool").build();
        line(form, UNIX_EPOCH, &"two\nlines", &record)
    }

    #[test]
    fn a_scope_marks_the_lines_within_it() {
        {
            let _scope = scope("r-1".into());
            assert!(sample(Form::Text).contains("[r-1]"));
            assert!(sample(Form::Json).contains(r#""request":"r-1""#));
        }
        assert!(!sample(Form::Text).contains("r-1"));
    }

    #[test]
    fn a_message_stays_on_its_line() {
        assert!(!sample(Form::Text).contains('\n'));
        assert!(!sample(Form::Json).contains('\n'));
    }
}
