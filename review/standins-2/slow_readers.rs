//! Requesters that read their streams slowly and without a pause, on kept connections.

use std::path::Path;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{connect_with_buffer, read_some, send};
use crate::daemons::Daemon;
use crate::engine::{Engine, Kind, Work};
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 4] = ["windhoek-north", "windhoek-south", "okahandja", "rehoboth"];
const DAEMONS: u8 = 5;
/// Requesters of each daemon.
const CALLERS: usize = 2;
/// Receive buffer of a requester: its window is small.
const WINDOW_BYTES: i32 = 8_192;
/// A slow requester takes so many bytes in each span.
const READ_BYTES: usize = 220;
const READ_SPAN: Duration = Duration::from_millis(100);
/// Time limit of the stream, as its requester and its route name it.
const TIME_LIMIT: Duration = Duration::from_secs(15);
/// Time after which daemons are in touch (`contactMs`), and some more.
const CONTACT_TIME: Duration = Duration::from_secs(4);
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
};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-ask","host":"lamps.example","pathPrefix":"/ask/","kind":"stream","timeoutMs":15000,
 "latencyTargetMs":500,"priority":0,"service":"lamp-assist","attempts":2,"sticky":true,
 "resumable":true,"gapTargetMs":400},
{"name":"r-look","host":"lamps.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":2000,
 "latencyTargetMs":300,"priority":2,"service":"depot-desk","attempts":2}],
"services":[
{"name":"lamp-assist","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,
 "engine":{"slots":64,"kvCapacity":232000,"models":[{"name":"m0","weightsMb":72700.0,"loadS":6.0,
 "adapters":0,"adapterMb":66.0,"warmS":0.4,"diskS":1.2}],"weightsMb":140000.0,"adapterSlots":8,
 "loadsPerS":2.8}},
{"name":"depot-desk","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}}"#;

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let record = Arc::new(Record::default());
    let store = Store::start();
    store.write("op", "config", CONFIG);
    for (i, zone) in ZONES.iter().enumerate() {
        let (id, model) = (format!("i-lamp-{i}"), Some("m0"));
        let kind = Kind { id: &id, service: "lamp-assist", zone, model, slots: 64 };
        Engine::start(kind, WORK, &store, &record);
        let id = format!("i-desk-{i}");
        let kind = Kind { id: &id, service: "depot-desk", zone, model: None, slots: 6 };
        Engine::start(kind, WORK, &store, &record);
    }
    let temporary = std::env::temp_dir().join(format!("mastichinge-case-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        return Verdict::CannotRun(error.to_string());
    }
    let verdict = play_with_daemons(&record, &store, &temporary, trouble);
    record.write(folder);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    verdict
}

fn play_with_daemons(
    record: &Arc<Record>,
    store: &Arc<Store>,
    temporary: &Path,
    trouble: bool,
) -> Verdict {
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        match Daemon::start(number, zone, store.addr, temporary) {
            Ok(daemon) => daemons.push(daemon),
            Err(error) => return Verdict::CannotRun(format!("a daemon: {error}")),
        }
    }
    if !daemons.iter().all(|d| d.wait_until_ready(Duration::from_secs(20))) {
        return Verdict::CannotRun("a daemon is not ready".to_owned());
    }
    record.add("all daemons are ready");
    sleep(CONTACT_TIME);
    let mut callers = Vec::new();
    for (i, daemon) in daemons.iter().enumerate() {
        for j in 0..CALLERS {
            let (record, addr) = (record.clone(), daemon.callers);
            let name = format!("caller-{i}-{j}");
            callers.push(thread::spawn(move || call(&record, addr, &name, trouble)));
        }
    }
    sleep(STOP_DELAY);
    for (i, daemon) in daemons.iter().take(STOPPED).enumerate() {
        if let Err(error) = daemon.stop() {
            return Verdict::CannotRun(format!("SIGTERM: {error}"));
        }
        record.add(&format!("SIGTERM to daemon {i}"));
    }
    let (mut cut, mut cut_in_stop) = (0, 0);
    for (i, caller) in callers.into_iter().enumerate() {
        match caller.join() {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) if i < STOPPED * CALLERS => cut_in_stop += 1,
            Ok(Ok(false)) => cut += 1,
            Ok(Err(error)) => return Verdict::CannotRun(error),
            Err(_) => return Verdict::CannotRun("a requester failed".to_owned()),
        }
    }
    record.add(&format!(
        "streams of kept connections without their end: {cut} at daemons in touch, of which \
         {ALLOWED} may be; {cut_in_stop} at daemons that stop as planned, of which none may be"
    ));
    match cut > ALLOWED || cut_in_stop > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends a lookup and then a stream on one connection. Returns whether the stream arrived whole;
/// an error says that the case could not run.
fn call(record: &Record, addr: std::net::SocketAddr, name: &str, slow: bool) -> Result<bool, String> {
    let fail = |e: std::io::Error| format!("{name}: {e}");
    let mut stream = connect_with_buffer(addr, WINDOW_BYTES).map_err(fail)?;
    let host = ("Host", "lamps.example");
    let id = format!("{name}-look");
    let fields = [host, ("X-Mastichinge-Request-Id", &id), ("X-Mastichinge-Deadline-Ms", "4000")];
    send(&mut stream, "GET /look/1", &fields, b"").map_err(fail)?;
    let mut answer = Vec::new();
    while !is_whole_lookup(&answer) {
        if read_some(&mut stream, &mut answer, 4_096).map_err(fail)? == 0 {
            return Err(format!("{name}: the lookup was not answered"));
        }
    }
    record.add(&format!("{id} answered, the connection is kept"));
    let id = format!("{name}-ask");
    let fields = [
        host,
        ("X-Mastichinge-Request-Id", &id),
        ("X-Mastichinge-Deadline-Ms", "15000"),
        ("X-Mastichinge-Model", "m0"),
        ("X-Mastichinge-Token-Count", "820,400"),
        ("X-Mastichinge-Prompt-Prefix", "5c1e07a2:120,91bd3f06:80,e4402b7d:620"),
    ];
    send(&mut stream, "POST /ask/1", &fields, &[b'p'; 1_700]).map_err(fail)?;
    record.add(&format!("{id} sent"));
    let sent = Instant::now();
    let mut answer = Vec::new();
    let end = loop {
        if answer.ends_with(b"\r\n0\r\n\r\n") {
            break None;
        }
        if sent.elapsed() >= TIME_LIMIT {
            return Err(format!("{name}: the stream took longer than its time limit"));
        }
        let most = match slow {
            true => READ_BYTES,
            false => 65_536,
        };
        match read_some(&mut stream, &mut answer, most) {
            Ok(0) => break Some("closed".to_owned()),
            Ok(_) => {}
            Err(error) => break Some(error.to_string()),
        }
        if slow {
            sleep(READ_SPAN);
        }
    };
    let (bytes, s) = (answer.len(), sent.elapsed().as_secs_f64());
    match &end {
        None => record.add(&format!("{id} answered whole after {s:.1} s, {bytes} bytes")),
        Some(cause) => record.add(&format!("{id} cut after {s:.1} s and {bytes} bytes: {cause}")),
    }
    Ok(end.is_none())
}

fn is_whole_lookup(answer: &[u8]) -> bool {
    let head = answer.windows(4).position(|w| w == b"\r\n\r\n");
    head.is_some_and(|end| answer.len() >= end + 4 + 800)
}
