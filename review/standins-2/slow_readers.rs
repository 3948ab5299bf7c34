//! Requesters that read their streams slowly and without a pause, on kept connections.

use std::path::Path;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

use crate::Verdict;
use crate::caller::{Pace, ask};
use crate::engine::Work;
use crate::record::Record;
use crate::site::{Plan, Site, config};

/// Requesters of each daemon.
const CALLERS: usize = 2;
/// Receive buffer of a requester: its window is small.
const WINDOW_BYTES: i32 = 8_192;
/// A slow requester takes so many bytes in each span.
const READ_BYTES: usize = 220;
const READ_SPAN: Duration = Duration::from_millis(100);
/// Time limit of the stream, as its requester and its route name it.
const TIME_LIMIT: Duration = Duration::from_secs(15);
/// Daemons that get SIGTERM while the streams are read.
const STOPPED: usize = 2;
/// Time from the streams' start to SIGTERM.
const STOP_DELAY: Duration = Duration::from_secs(1);
/// Requests on kept connections that the rule lets a daemon leave without an answer.
const ALLOWED: usize = 3;

const WORK: Work = Work {
    time: Duration::from_millis(60),
    events: 85,
    event_bytes: 290,
    gap: Duration::from_millis(22),
    down: Duration::from_secs(2),
};

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let record = Arc::new(Record::default());
    let verdict = play_case(&record, trouble);
    record.write(folder);
    verdict.unwrap_or_else(Verdict::CannotRun)
}

fn play_case(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let time_limit_ms = TIME_LIMIT.as_millis() as u64;
    let plan = Plan {
        config: &config(7, time_limit_ms),
        work: WORK,
        lamp_engines: &[("m0", "v1"); 4],
        crashes_on: &[],
    };
    let site = Site::start(&plan, record)?;
    let daemons = &site.daemons;
    let mut callers = Vec::new();
    for (i, daemon) in daemons.iter().enumerate() {
        for j in 0..CALLERS {
            let (record, addr) = (record.clone(), daemon.callers);
            let name = format!("caller-{i}-{j}");
            callers.push(thread::spawn(move || {
                let pace = match trouble {
                    true => Pace::Slow(READ_BYTES, READ_SPAN),
                    false => Pace::Prompt,
                };
                let end = ask(&record, addr, &name, (WINDOW_BYTES, pace), TIME_LIMIT)?;
                match end.at < TIME_LIMIT {
                    true => Ok(end.is_whole),
                    false => Err(format!(
                        "{name}: the stream took longer than its time limit"
                    )),
                }
            }));
        }
    }
    sleep(STOP_DELAY);
    for (i, daemon) in daemons.iter().take(STOPPED).enumerate() {
        if let Err(error) = daemon.stop() {
            return Err(format!("SIGTERM: {error}"));
        }
        record.add(&format!("SIGTERM to daemon {i}"));
    }
    let (mut cut, mut cut_in_stop) = (0, 0);
    for (i, caller) in callers.into_iter().enumerate() {
        match caller.join() {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) if i < STOPPED * CALLERS => cut_in_stop += 1,
            Ok(Ok(false)) => cut += 1,
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err("a requester failed".to_owned()),
        }
    }
    record.add(&format!(
        "streams of kept connections without their end: {cut} at daemons in touch, of which \
         {ALLOWED} may be; {cut_in_stop} at daemons that stop as planned, of which none may be"
    ));
    Ok(match cut > ALLOWED || cut_in_stop > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
