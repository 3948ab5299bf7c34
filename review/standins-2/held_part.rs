//! Two parts that crash engines come just after all daemons have ended and started again.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{connect_with_buffer, send};
use crate::engine::Work;
use crate::record::Record;
use crate::site::{Plan, Site, config};

/// Parts that crash engines.
const CRASHING: [&str; 2] = ["91bd3f06", "91bd3f07"];
/// Time between two sound requests, and between two with a crashing part, at each daemon.
const SOUND_PERIOD: Duration = Duration::from_millis(1_000);
const CRASHING_PERIOD: Duration = Duration::from_millis(250);
const BASELINE: Duration = Duration::from_secs(8);
const TROUBLE: Duration = Duration::from_secs(32);
/// Time for which daemons are gone.
const DOWN: Duration = Duration::from_millis(500);
/// 2 x `contactMs`.
const SETTLE: Duration = Duration::from_secs(6);
/// Sound requests from which the shares are compared.
const MIN_COUNT: usize = 20;
const WINDOW_BYTES: i32 = 131_072;

const WORK: Work = Work {
    time: Duration::from_millis(60),
    events: 13,
    event_bytes: 50,
    gap: Duration::from_millis(90),
    down: Duration::from_secs(2),
};

/// A sound request: when it was sent, and whether it began at its first attempt.
type Sound = (Instant, bool);

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let record = Arc::new(Record::default());
    let verdict = play_case(&record, trouble);
    record.write(folder);
    verdict.unwrap_or_else(Verdict::CannotRun)
}

fn play_case(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let plan = Plan {
        config: &config(7, 15_000),
        work: WORK,
        lamp_engines: &[("m0", "v1"); 12],
        crashes_on: &CRASHING,
    };
    let mut site = Site::start(&plan, record)?;
    let before = run(&site, record, BASELINE, &[("sound", SOUND_PERIOD)]);
    if trouble {
        record.add("all daemons are killed");
        site.daemons.clear();
        sleep(DOWN);
        site.start_daemons()?;
        record.add("all daemons are ready again");
    }
    let kinds = [("crashing", CRASHING_PERIOD), ("sound", SOUND_PERIOD)];
    let after = run(&site, record, TROUBLE, &kinds);
    let mut counted = Vec::new();
    for part in CRASHING {
        let mut times = Vec::new();
        for engine in &site.engines {
            let crashes = engine.crashes.lock().unwrap();
            times.extend(
                crashes
                    .iter()
                    .filter(|(_, p)| *p == part)
                    .map(|(at, _)| *at),
            );
        }
        times.sort();
        record.add(&format!("crashes on part {part}: {}", times.len()));
        counted.extend(
            times
                .get(..times.len().min(5))
                .and_then(|t| t.last())
                .copied(),
        );
    }
    let Some(from) = counted.into_iter().max().map(|at| at + SETTLE) else {
        return Err("no engine crashed".to_owned());
    };
    let after: Vec<_> = after.into_iter().filter(|(at, _)| *at >= from).collect();
    let share = |sound: &[Sound]| {
        let begun = sound.iter().filter(|(_, begun)| *begun).count();
        (begun, sound.len(), begun as f64 / sound.len().max(1) as f64)
    };
    let ((b0, n0, s0), (b1, n1, s1)) = (share(&before), share(&after));
    record.add(&format!(
        "sound requests that began: {b0} of {n0} before, {b1} of {n1} after"
    ));
    if n0 < MIN_COUNT || n1 < MIN_COUNT {
        return Err("too few sound requests".to_owned());
    }
    Ok(match s1 < s0 / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends requests of these kinds to all daemons; returns the sound ones.
fn run(
    site: &Site,
    record: &Arc<Record>,
    time: Duration,
    kinds: &[(&'static str, Duration)],
) -> Vec<Sound> {
    let (stop, sound) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let mut tasks = Vec::new();
    for (i, daemon) in site.daemons.iter().enumerate() {
        for (kind, period) in kinds.iter().copied() {
            let (stop, sound, record) = (stop.clone(), sound.clone(), record.clone());
            let addr = daemon.callers;
            tasks.push(thread::spawn(move || {
                if kind == "sound" {
                    // Requests of two kinds do not come at the same instant.
                    sleep(period / 2);
                }
                let mut requests = Vec::new();
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let (sound, record) = (sound.clone(), record.clone());
                    requests.push(thread::spawn(move || {
                        let at = Instant::now();
                        let begun = begin(&record, addr, kind, (i, number));
                        if kind == "sound" {
                            sound.lock().unwrap().push((at, begun));
                        }
                    }));
                    sleep(period);
                }
                for request in requests {
                    let _ = request.join();
                }
            }));
        }
    }
    sleep(time);
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.join();
    }
    Arc::try_unwrap(sound).unwrap().into_inner().unwrap()
}

/// Sends a request; returns whether its stream begins.
fn begin(record: &Record, addr: SocketAddr, kind: &str, (i, number): (usize, u64)) -> bool {
    let id = format!("{kind}-{i}-{number}-{}", record.ms());
    let own = format!("{:x}", 0xb_0000_0000_u64 + record.ms() * 8 + i as u64);
    let other = 0xa000 + number % 7;
    let prefix = match kind {
        "crashing" => {
            let part = CRASHING[(i + number as usize) % CRASHING.len()];
            format!("5c1e07a2:120,{part}:50,{other:x}:80,{own}:620")
        }
        _ => format!("5c1e07a2:120,{other:x}:80,{own}:620"),
    };
    let fields = [
        ("Host", "lamps.example"),
        ("X-Mastichinge-Request-Id", &*id),
        ("X-Mastichinge-Deadline-Ms", "15000"),
        ("X-Mastichinge-Model", "m0"),
        ("X-Mastichinge-Token-Count", "820,400"),
        ("X-Mastichinge-Prompt-Prefix", &prefix),
    ];
    let sent = connect_with_buffer(addr, WINDOW_BYTES)
        .and_then(|mut s| send(&mut s, "POST /ask/1", &fields, id.as_bytes()).map(|()| s));
    let Ok(mut stream) = sent else {
        record.add(&format!("{id} not sent"));
        return false;
    };
    let (mut answer, mut chunk) = (Vec::new(), [0; 16_384]);
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        answer.extend_from_slice(&chunk[..count]);
        if answer.ends_with(b"\r\n0\r\n\r\n") || !answer.starts_with(b"HTTP/1.1 200") {
            break;
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let status = text.split(' ').nth(1).unwrap_or("none").to_owned();
    let begun = status == "200" && text.contains("id: 1\n");
    record.add(&format!("{id} answered {status}, begun: {begun}"));
    begun
}
