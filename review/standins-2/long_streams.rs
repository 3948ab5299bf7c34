//! Streams that last longer than a minute, after the operator has raised the timeout of their route.

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
/// Receive buffer of a requester, bytes.
const WINDOW_BYTES: i32 = 131_072;
/// Timeout of the route at first, ms.
const FIRST_TIMEOUT_MS: u64 = 15_000;
/// Timeout of the route after the change; the requesters wait for as long.
const TIMEOUT: Duration = Duration::from_secs(90);
/// Time in which a desired state is in force (`configApplyMs`), and some more.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Requests on kept connections that the rule lets a daemon leave without an answer.
const ALLOWED: usize = 3;

/// A stream of 70 s, with the pauses that its route allows.
const WORK: Work = Work {
    time: Duration::from_millis(60),
    events: 200,
    event_bytes: 50,
    gap: Duration::from_millis(350),
    down: Duration::from_secs(2),
};

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let record = Arc::new(Record::default());
    let verdict = play_case(&record, trouble);
    record.write(folder);
    verdict.unwrap_or_else(Verdict::CannotRun)
}

fn play_case(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let plan = Plan {
        config: &config(7, FIRST_TIMEOUT_MS),
        work: WORK,
        lamp_engines: &[("m0", "v1"); 4],
        crashes_on: &[],
    };
    let site = Site::start(&plan, record)?;
    let mut timeout = Duration::from_millis(FIRST_TIMEOUT_MS);
    if trouble {
        timeout = TIMEOUT;
        let ms = timeout.as_millis() as u64;
        site.store.write("op", "config", &config(9, ms));
        record.add(&format!("version 9 of the desired state: timeoutMs {ms}"));
    }
    sleep(APPLY_TIME);
    let mut callers = Vec::new();
    for (i, daemon) in site.daemons.iter().enumerate() {
        for j in 0..CALLERS {
            let (record, addr) = (record.clone(), daemon.callers);
            let name = format!("caller-{i}-{j}");
            let way = (WINDOW_BYTES, Pace::Prompt);
            callers.push(thread::spawn(move || {
                ask(&record, addr, &name, way, TIMEOUT)
            }));
        }
    }
    let mut cut = 0;
    for caller in callers {
        let end = caller
            .join()
            .map_err(|_| "a requester failed".to_owned())??;
        // At the timeout of its route a stream may end.
        cut += usize::from(!end.is_whole && end.at < timeout);
    }
    record.add(&format!(
        "streams of kept connections cut before the timeout of their route: {cut}, of which \
         {ALLOWED} may be"
    ));
    Ok(match cut > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
