//! Stand-in of a requester of streams: reads a stream, and takes it up again at another machine
//! after a broken connection or, as far as the pages let it, after a refusal.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// What a requester of streams does.
#[derive(Clone)]
pub struct Plan {
    pub host: String,
    pub path: String,
    /// Time that it waits for the whole stream.
    pub time_limit: Duration,
    /// Silence after which it abandons a stream.
    pub silence: Duration,
    /// Number of its retries.
    pub retries: u32,
    /// Number of events after which it leaves.
    pub most_events: usize,
    /// Whether its prompts are for a model.
    pub names_model: bool,
}

/// One event.
#[derive(Clone, Debug)]
pub struct Event {
    pub id: u64,
    /// Version of the engine that made it.
    pub version: String,
}

/// What became of a stream.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub name: String,
    pub events: Vec<Event>,
    pub complete: bool,
    /// Attempts that took it up again, and those of them that went on.
    pub taken_up: u32,
    pub went_on: u32,
}

impl Outcome {
    /// Returns the versions of its events.
    pub fn versions(&self) -> Vec<&str> {
        let mut versions: Vec<_> = self.events.iter().map(|e| &*e.version).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}

/// How an attempt ended.
enum End {
    Complete,
    Broken,
    Refused(Option<f64>),
    Failed,
}

/// Requests a stream at `fronts`, one after the other.
pub fn run(plan: &Plan, name: &str, fronts: &[SocketAddr], record: &Arc<Record>) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome {
        name: name.to_owned(),
        ..Outcome::default()
    };
    let mut fronts = fronts.iter().cycle();
    let mut first_attempt: Option<String> = None;
    for attempt in 0..=plan.retries {
        let left = plan.time_limit.saturating_sub(started.elapsed());
        if left < Duration::from_millis(20) {
            break;
        }
        let front = fronts.next().expect("a machine");
        let id = format!("{name}-{attempt}");
        let resumes = first_attempt
            .clone()
            .zip(outcome.events.last().map(|e| e.id));
        let before = outcome.events.len();
        if resumes.is_some() {
            outcome.taken_up += 1;
        }
        let end = attempt_once(plan, &id, *front, left, resumes.as_ref(), &mut outcome);
        let count = outcome.events.len() - before;
        if count > 0 && first_attempt.is_none() {
            first_attempt = Some(id.clone());
        }
        if count > 0 && resumes.is_some() {
            outcome.went_on += 1;
        }
        let after = resumes.map_or(0, |(_, event)| event);
        let version = outcome.events.last().filter(|_| count > 0);
        let version = version.map_or("-", |e| &*e.version);
        let text = match &end {
            End::Complete => "complete".to_owned(),
            End::Broken => "broken".to_owned(),
            End::Refused(wait) => format!("refused, retry after {wait:?}"),
            End::Failed => "failed".to_owned(),
        };
        record.line(&format!(
            "request {id} at {front} after event {after}: {count} events of {version}, {text}"
        ));
        match end {
            End::Complete => {
                outcome.complete = true;
                break;
            }
            End::Refused(wait) => {
                let left = plan.time_limit.saturating_sub(started.elapsed());
                let wait = Duration::from_secs_f64(wait.unwrap_or(0.0).min(600.0));
                std::thread::sleep(wait.min(left / 3));
            }
            End::Broken | End::Failed => std::thread::sleep(Duration::from_millis(20)),
        }
    }
    outcome
}

fn attempt_once(
    plan: &Plan,
    id: &str,
    front: SocketAddr,
    left: Duration,
    resumes: Option<&(String, u64)>,
    outcome: &mut Outcome,
) -> End {
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return End::Failed;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(plan.silence.min(left)));
    let resumed = resumes.map_or(String::new(), |(first, event)| {
        format!("Resumes: {first}\r\nLast-Event-Id: {event}\r\n")
    });
    let (path, host, body) = (&plan.path, &plan.host, &outcome.name);
    let (ms, length) = (left.as_millis(), body.len());
    let own: u64 = outcome
        .name
        .bytes()
        .fold(7, |sum: u64, b| sum.wrapping_mul(31) + u64::from(b));
    let own = own & 0xffff_ffff;
    let prompt = match plan.names_model {
        true => format!(
            "X-Mastichinge-Model: base151689\r\nX-Mastichinge-Token-Count: 120,240\r\n\
             X-Mastichinge-Prompt-Prefix: 91bd3f06:60,{own:08x}:60\r\n"
        ),
        false => String::new(),
    };
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Mastichinge-Request-Id: {id}\r\n{resumed}{prompt}\
         X-Mastichinge-Deadline-Ms: {ms}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return End::Failed;
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = http::read_head(&mut reader) else {
        return End::Broken;
    };
    if head.status() != 200 {
        let wait = head.get("retry-after").and_then(|w| w.parse().ok());
        return match head.status() {
            429 | 503 => End::Refused(wait),
            _ => End::Failed,
        };
    }
    let mut text = String::new();
    loop {
        match http::read_chunk(&mut reader) {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => return End::Complete,
            Err(()) => return End::Broken,
        }
        while let Some((event, rest)) = text.split_once("\n\n") {
            let field = |name: &str| {
                let mut lines = event.lines();
                lines
                    .find_map(|l| l.strip_prefix(name))
                    .unwrap_or_default()
                    .to_owned()
            };
            let version = field("data: ")
                .split(' ')
                .next()
                .unwrap_or_default()
                .to_owned();
            let id = field("id: ").parse().unwrap_or(0);
            outcome.events.push(Event { id, version });
            if outcome.events.len() >= plan.most_events {
                return End::Complete;
            }
            text = rest.to_owned();
        }
    }
}
