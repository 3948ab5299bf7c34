//! Stand-in of an engine that answers with streams of events.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// What every engine holds.
const MODELS: &str = r#""models":[{"name":"base151689","version":1,"adapters":[]}]"#;

/// How an engine behaves.
#[derive(Clone, Copy)]
pub struct Work {
    /// Events of a stream.
    pub events: u64,
    /// Time between two events.
    pub gap: Duration,
}

pub struct Engine {
    pub id: String,
    pub version: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    born: u128,
    sequence: AtomicU64,
    draining: AtomicBool,
    ended: AtomicBool,
    silent: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    work: Work,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Engine {
    /// Starts an engine and lists it in the store.
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        (service, zone): (&str, &str),
        (id, version): (&str, &str),
        work: Work,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            version: version.to_owned(),
            addr: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: since.expect("a time").as_millis(),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            connections: Mutex::default(),
            work,
            record: record.clone(),
            store: store.clone(),
        });
        engine.beat();
        record.line(&format!(
            "engine {id} of version {version} starts and is listed"
        ));
        engine.clone().listen(listener);
        engine
    }

    /// Accepts connections until it ends.
    fn listen(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if self.ended.load(Ordering::SeqCst) {
                    return;
                }
                let kept = stream.try_clone().expect("a socket");
                self.connections.lock().unwrap().push(kept);
                let engine = self.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
    }

    /// Writes its entry; a beat that changes nothing but its number changes no entry.
    fn beat(&self) {
        let state = match self.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"{}","slots":64,"state":"{state}","coldLeftMs":0,"stage":"both",{MODELS},"seq":{sequence},"born":{}}}"#,
            self.service, self.addr, self.zone, self.version, self.born
        );
        self.store.write("servers", &self.id, Some(&entry));
    }

    /// Reports that it leaves.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.beat();
        self.record.line(&format!("engine {} is draining", self.id));
    }

    /// Leaves: its entry is removed, and it ends.
    pub fn leave(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.store.write("servers", &self.id, None);
        self.end();
        self.record.line(&format!("engine {} has left", self.id));
    }

    /// Falls silent, or goes on: it accepts connections, and sends nothing while it is silent.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
        let what = match silent {
            true => "falls silent",
            false => "goes on",
        };
        self.record.line(&format!("engine {} {what}", self.id));
    }

    fn await_voice(&self) {
        while self.silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn end(&self) {
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts connections, which closes the listener.
        let _ = TcpStream::connect(self.addr);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        while let Some(head) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head).is_none() || !self.answer(&mut stream, &head) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, stream: &mut TcpStream, head: &http::Head) -> bool {
        self.await_voice();
        let own = format!("X-Mastichinge-Instance-Id: {}\r\n", self.id);
        if head
            .get("x-mastichinge-expect-instance")
            .is_some_and(|i| i != self.id)
        {
            return http::respond(stream, 421, &own, b"");
        }
        if head.word(1) == "/healthz" {
            let status = match self.draining.load(Ordering::SeqCst) {
                true => 503,
                false => 200,
            };
            return http::respond(stream, status, &own, b"");
        }
        match head.word(1) {
            "/report" => {
                self.record.line(&format!("report of {}", self.id));
                let report = format!(
                    r#"{{"stage":"both",{MODELS},"inFlight":false,"seq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":232000,"handles":0,"born":{}}}"#,
                    self.born
                );
                let fields = "Content-Type: application/json\r\n";
                return http::respond(stream, 200, fields, report.as_bytes());
            }
            // It holds all that there is.
            "/order" => {
                self.record.line(&format!("order to {}", self.id));
                return http::respond(stream, 200, "", b"");
            }
            _ => {}
        }
        let request = head.get("x-mastichinge-request-id").unwrap_or_default();
        let after = head
            .get("last-event-id")
            .and_then(|e| e.parse::<u64>().ok());
        let first = after.map_or(1, |e| e + 1);
        let (id, version) = (&self.id, &self.version);
        self.record.line(&format!(
            "run {request} at {id} {version} from event {first}"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Mastichinge-Request-Id: \
             {request}\r\nX-Mastichinge-Server-Stamp: {id}.{request}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in first..=self.work.events {
            thread::sleep(self.work.gap);
            self.await_voice();
            let last = event == self.work.events;
            let text = format!("id: {event}\ndata: {version} {id} {last}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
