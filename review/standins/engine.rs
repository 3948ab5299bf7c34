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

/// Model of the requests.
pub const MODEL: &str = "base151689";

/// Time of a load from the weight store.
const LOAD_TIME: Duration = Duration::from_secs(6);

/// What an engine holds, and the orders to it.
#[derive(Default)]
struct Holding {
    models: Vec<String>,
    /// Number of orders that it has accepted.
    orders: u64,
    /// Highest fencing token of an order.
    fence: u64,
    is_loading: bool,
}

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
    holding: Mutex<Holding>,
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
        models: &[&str],
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
            holding: Mutex::new(Holding {
                models: models.iter().map(|m| m.to_string()).collect(),
                ..Holding::default()
            }),
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
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"{}","slots":64,"state":"{state}","coldLeftMs":0,"stage":"both",{},"seq":{sequence},"born":{}}}"#,
            self.service,
            self.addr,
            self.zone,
            self.version,
            self.models_text(),
            self.born
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

    /// Crashes: its entry stays for a while.
    pub fn crash(self: &Arc<Self>) {
        self.record.line(&format!("engine {} crashes", self.id));
        self.ended.store(true, Ordering::SeqCst);
        self.end();
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3_600));
            engine.store.write("servers", &engine.id, None);
        });
    }

    fn end(&self) {
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts connections, which closes the listener.
        let _ = TcpStream::connect(self.addr);
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        while let Some(head) = http::read_head(&mut reader) {
            let Some(body) = http::read_body(&mut reader, &head) else {
                break;
            };
            if !self.answer(&mut stream, &head, &body) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn models_text(&self) -> String {
        let holding = self.holding.lock().unwrap();
        let models = holding.models.iter();
        let models = models.map(|m| format!(r#"{{"name":"{m}","version":1,"adapters":[]}}"#));
        format!(r#""models":[{}]"#, models.collect::<Vec<_>>().join(","))
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let models = self.models_text();
        let report = {
            let Holding {
                orders, is_loading, ..
            } = *self.holding.lock().unwrap();
            format!(
                r#"{{"stage":"both",{models},"inFlight":{is_loading},"seq":{orders},"queued":0,"active":0,"kvUsed":0,"kvTotal":232000,"handles":0,"born":{}}}"#,
                self.born
            )
        };
        let fields = "Content-Type: application/json\r\n";
        http::respond(stream, 200, fields, report.as_bytes())
    }

    /// Carries out an order for a model.
    fn order(self: &Arc<Self>, stream: &mut TcpStream, body: &[u8]) -> bool {
        let order = http::parse_json(body);
        let text = |name| {
            order
                .as_ref()
                .and_then(|o| o.text(name))
                .unwrap_or_default()
        };
        let (op, model) = (text("op"), text("model").to_owned());
        let fence = text("fence").parse().unwrap_or(0);
        let expected = text("expected").parse::<u64>().ok();
        let mut holding = self.holding.lock().unwrap();
        let holds = holding.models.contains(&model);
        let status = match op {
            _ if fence < holding.fence => 412,
            _ if holding.is_loading || expected.is_some_and(|e| e != holding.orders) => 409,
            "load" if holds => 200,
            "evict" if !holds => 200,
            "load" | "evict" => 202,
            _ => 400,
        };
        holding.fence = holding.fence.max(fence);
        self.record
            .line(&format!("order to {}: {op} {model}, {status}", self.id));
        if status == 202 {
            holding.orders += 1;
            holding.is_loading = op == "load";
            holding.models.retain(|m| *m != model);
        }
        drop(holding);
        if status == 202 {
            let engine = self.clone();
            let loads = op == "load";
            thread::spawn(move || {
                if loads {
                    thread::sleep(LOAD_TIME);
                    let mut holding = engine.holding.lock().unwrap();
                    holding.is_loading = false;
                    holding.models.push(model.clone());
                    drop(holding);
                    engine
                        .record
                        .line(&format!("{model} is loaded at {}", engine.id));
                }
                if !engine.ended.load(Ordering::SeqCst) {
                    engine.beat();
                }
            });
        }
        http::respond(stream, status, "", b"")
    }

    fn answer(self: &Arc<Self>, stream: &mut TcpStream, head: &http::Head, body: &[u8]) -> bool {
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
            "/report" => return self.report(stream),
            "/order" => return self.order(stream, body),
            _ => {}
        }
        let lacks = |model: &str| {
            !self
                .holding
                .lock()
                .unwrap()
                .models
                .iter()
                .any(|m| m == model)
        };
        if head.get("x-mastichinge-model").is_some_and(lacks) {
            return http::respond(stream, 421, &own, b"");
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
