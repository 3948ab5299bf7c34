//! The last engine of a version that holds a model crashes while the others that hold it leave.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{connect_with_buffer, send};
use crate::engine::Work;
use crate::record::Record;
use crate::site::{Plan, Site, config};

/// Engines of v1 and v2 that hold the model, and two of v1 that hold another.
const ENGINES: [(&str, &str); 7] = [
    ("m0", "v1"),
    ("m0", "v1"),
    ("m0", "v1"),
    ("m1", "v1"),
    ("m1", "v1"),
    ("m0", "v2"),
    ("m0", "v2"),
];
/// Engines that leave as planned, and the one that crashes.
const LEAVING: [usize; 2] = [0, 1];
const CRASHING: usize = 2;
const STREAMS: usize = 160;
const NEW_STREAMS: usize = 40;
/// Time limit of routine-digest.
const TIME_LIMIT_MS: u64 = 6_000;
/// Time from the streams' start to the leaving of the first engine, between the two, and from the
/// second to the crash.
const LEAVE_DELAY: Duration = Duration::from_millis(100);
const LEAVE_GAP: Duration = Duration::from_millis(870);
const CRASH_DELAY: Duration = Duration::from_millis(1_000);
/// Time without an event after which a requester abandons a stream: the longest of two seconds, four
/// times the objective and eight times `gapTargetMs`.
const GAP: Duration = Duration::from_millis(3_200);
/// Time between two new streams.
const NEW_PERIOD: Duration = Duration::from_millis(50);
const MIN_TAKEN_UP: usize = 12;
const WINDOW_BYTES: i32 = 131_072;

const WORK: Work = Work {
    time: Duration::from_millis(60),
    events: 20,
    event_bytes: 50,
    gap: Duration::from_millis(200),
    down: Duration::from_secs(3),
};

/// What became of a stream.
#[derive(Clone, Copy, Debug, Default)]
struct Fate {
    has_begun: bool,
    is_taken_up: bool,
    goes_on: bool,
}

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let record = Arc::new(Record::default());
    let verdict = play_case(&record, trouble);
    record.write(folder);
    verdict.unwrap_or_else(Verdict::CannotRun)
}

fn play_case(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let plan = Plan {
        config: &config(7, TIME_LIMIT_MS),
        work: WORK,
        lamp_engines: &ENGINES,
        crashes_on: &[],
    };
    let site = Site::start(&plan, record)?;
    let addrs: Vec<_> = site.daemons.iter().map(|d| d.callers).collect();
    let start = |name: String, i: usize| {
        let (record, addrs) = (record.clone(), addrs.clone());
        thread::spawn(move || stream(&record, &addrs, &name, i))
    };
    let streams: Vec<_> = (0..STREAMS)
        .map(|i| start(format!("stream-{i}"), i))
        .collect();
    sleep(LEAVE_DELAY);
    for (n, i) in LEAVING.into_iter().enumerate() {
        if n > 0 {
            sleep(LEAVE_GAP);
        }
        site.engines[i].drain();
    }
    sleep(CRASH_DELAY);
    if trouble {
        site.engines[CRASHING].crash("trouble of its own");
    }
    let mut new = Vec::new();
    for i in 0..NEW_STREAMS {
        new.push(start(format!("new-{i}"), i));
        sleep(NEW_PERIOD);
    }
    let join = |tasks: Vec<thread::JoinHandle<Fate>>| -> Result<Vec<Fate>, String> {
        let ends = tasks.into_iter().map(|t| t.join());
        ends.map(|end| end.map_err(|_| "a requester failed".to_owned()))
            .collect()
    };
    let (streams, new) = (join(streams)?, join(new)?);
    let count = |fates: &[Fate], is: fn(&Fate) -> bool| fates.iter().filter(|f| is(f)).count();
    let taken_up = count(&streams, |f| f.is_taken_up);
    let on = count(&streams, |f| f.goes_on);
    let begun = count(&new, |f| f.has_begun);
    record.add(&format!(
        "{on} of {taken_up} streams that were taken up went on; {begun} of {NEW_STREAMS} new ones began"
    ));
    let share = on as f64 / taken_up.max(1) as f64;
    let is_broken = share < begun as f64 / NEW_STREAMS as f64 / 2.0;
    Ok(match taken_up >= MIN_TAKEN_UP && is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends a request for a stream, and takes the stream up once more at another machine if it breaks.
fn stream(record: &Record, addrs: &[SocketAddr], name: &str, i: usize) -> Fate {
    let started = Instant::now();
    let mut fate = Fate::default();
    let addr = |n: usize| addrs[(i + n) % addrs.len()];
    let (whole, last) = attempt(record, addr(0), name, (started, None));
    fate.has_begun = last.is_some();
    let (false, Some(last)) = (whole, last) else {
        return fate;
    };
    fate.is_taken_up = true;
    let id = format!("{name}-again");
    let (_, next) = attempt(record, addr(1), &id, (started, Some((name, last))));
    fate.goes_on = next.is_some();
    fate
}

/// Makes one attempt at a stream. Returns whether it ended, and the id of its last event.
fn attempt(
    record: &Record,
    addr: SocketAddr,
    id: &str,
    (started, resumes): (Instant, Option<(&str, u64)>),
) -> (bool, Option<u64>) {
    let left = TIME_LIMIT_MS.saturating_sub(started.elapsed().as_millis() as u64);
    let (left, own) = (
        left.to_string(),
        format!("5c1e07a2:120,a001:80,{:x}:620", record.ms()),
    );
    let mut fields = vec![
        ("Host", "lamps.example"),
        ("X-Mastichinge-Request-Id", id),
        ("X-Mastichinge-Deadline-Ms", &*left),
        ("X-Mastichinge-Model", "m0"),
        ("X-Mastichinge-Token-Count", "820,400"),
        ("X-Mastichinge-Prompt-Prefix", &*own),
    ];
    let last = resumes.map(|(_, last)| last.to_string());
    if let (Some((first, _)), Some(last)) = (resumes, &last) {
        fields.push(("Resumes", first));
        fields.push(("Last-Event-Id", last));
    }
    let sent = connect_with_buffer(addr, WINDOW_BYTES)
        .and_then(|mut s| send(&mut s, "POST /ask/1", &fields, id.as_bytes()).map(|()| s));
    let Ok(mut stream) = sent else {
        record.add(&format!("{id} not sent"));
        return (false, None);
    };
    if stream.set_read_timeout(Some(GAP)).is_err() {
        return (false, None);
    }
    let (mut answer, mut chunk) = (Vec::new(), [0; 16_384]);
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        answer.extend_from_slice(&chunk[..count]);
        if answer.ends_with(b"\r\n0\r\n\r\n") || !answer.starts_with(b"HTTP/1.1 200") {
            break;
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let status = text.split(' ').nth(1).unwrap_or("none").to_owned();
    let events = text
        .split("id: ")
        .skip(1)
        .filter_map(|e| e.split('\n').next()?.parse().ok());
    let (whole, last) = (text.ends_with("\r\n0\r\n\r\n"), events.last());
    let last = last.filter(|_| status == "200");
    record.add(&format!(
        "{id} answered {status}, whole: {whole}, last event: {last:?}"
    ));
    (whole, last)
}
