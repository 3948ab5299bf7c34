//! Engines: of models, or plain ones. They are sound but where a case says otherwise.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Reader, respond};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// Time between two writes of an engine's entry.
const BEAT: Duration = Duration::from_millis(1_200);
/// Check-in intervals of silence after which an entry is removed.
const SILENT_BEATS: u32 = 3;
/// Time of a load from the engine's disk, which a restart preserves, and from the weight store.
const DISK_LOAD: Duration = Duration::from_millis(1_200);
const STORE_LOAD: Duration = Duration::from_millis(6_000);
/// Pause before a port is bound again.
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// What an engine answers.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Time of a plain request.
    pub time: Duration,
    /// Events of a stream.
    pub events: u64,
    /// Bytes of the data of an event.
    pub event_bytes: usize,
    /// Time between two events.
    pub gap: Duration,
    /// How long an engine is down after a crash.
    pub down: Duration,
}

/// What an engine is.
#[derive(Clone, Copy, Debug)]
pub struct Kind<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub model: Option<&'a str>,
    /// Version of its software.
    pub software: &'a str,
    pub slots: u32,
}

/// One lifetime of an engine.
struct Life {
    id: String,
    born: u64,
    is_down: bool,
    /// Whether it has said that it leaves.
    is_draining: bool,
    models: BTreeSet<String>,
    /// Model that is being loaded, and until when.
    loading: Option<(String, Instant)>,
    /// Orders accepted.
    orders: u64,
    active: u64,
    connections: Vec<TcpStream>,
}

pub struct Engine {
    pub addr: SocketAddr,
    name: String,
    service: String,
    zone: String,
    software: String,
    disk: Option<String>,
    slots: u32,
    work: Work,
    /// Parts of prompts on which it crashes as it begins to answer.
    crashes_on: &'static [&'static str],
    life: Mutex<Life>,
    /// Times at which it crashed, with the part.
    pub crashes: Mutex<Vec<(Instant, &'static str)>>,
    store: Arc<Store>,
    record: Arc<Record>,
}

fn born_now() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

impl Engine {
    /// Starts an engine at a free port; it writes its entry again and again.
    pub fn start(
        kind: Kind<'_>,
        work: Work,
        crashes_on: &'static [&'static str],
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for an engine");
        let life = Life {
            id: kind.id.to_owned(),
            born: born_now(),
            is_down: false,
            is_draining: false,
            models: kind.model.iter().map(|m| (*m).to_owned()).collect(),
            loading: None,
            orders: 0,
            active: 0,
            connections: Vec::new(),
        };
        let engine = Arc::new(Engine {
            addr: listener.local_addr().expect("its address"),
            name: kind.id.to_owned(),
            service: kind.service.to_owned(),
            zone: kind.zone.to_owned(),
            software: kind.software.to_owned(),
            disk: kind.model.map(str::to_owned),
            slots: kind.slots,
            work,
            crashes_on,
            life: Mutex::new(life),
            crashes: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
        });
        let beating = engine.clone();
        thread::spawn(move || {
            for seq in 1.. {
                beating.beat(seq);
                thread::sleep(BEAT);
            }
        });
        let served = engine.clone();
        thread::spawn(move || served.accept(listener));
        engine
    }

    /// Serves connections, but while the engine is down.
    fn accept(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            let accepted = listener.accept();
            if self.life.lock().unwrap().is_down {
                drop((accepted, listener));
                while self.life.lock().unwrap().is_down {
                    thread::sleep(BIND_PAUSE);
                }
                listener = loop {
                    match TcpListener::bind(self.addr) {
                        Ok(listener) => break listener,
                        Err(_) => thread::sleep(BIND_PAUSE),
                    }
                };
                continue;
            }
            let Ok((stream, _)) = accepted else {
                continue;
            };
            if let Ok(other) = stream.try_clone() {
                self.life.lock().unwrap().connections.push(other);
            }
            let engine = self.clone();
            thread::spawn(move || {
                // An error is the end of the connection.
                let _ = engine.serve(stream);
            });
        }
    }

    fn beat(&self, seq: u64) {
        let life = self.life.lock().unwrap();
        if !life.is_down && !life.is_draining {
            let (id, entry) = (life.id.clone(), self.entry(&life, seq));
            drop(life);
            self.store.write("servers", &id, &entry);
        }
    }

    /// Reports that the engine leaves, as before a planned shutdown; it goes on serving.
    pub fn drain(&self) {
        let mut life = self.life.lock().unwrap();
        life.is_draining = true;
        self.record.add(&format!("engine {} is draining", life.id));
        let (id, entry) = (life.id.clone(), self.entry(&life, u64::from(u32::MAX)));
        drop(life);
        self.store.write("servers", &id, &entry);
    }

    /// Ends the engine's lifetime; it is back after a while, empty, under another id.
    pub fn crash(self: &Arc<Self>, part: &'static str) {
        let mut life = self.life.lock().unwrap();
        if life.is_down {
            return;
        }
        life.is_down = true;
        self.crashes.lock().unwrap().push((Instant::now(), part));
        self.record
            .add(&format!("engine {} crashes on {part}", life.id));
        for connection in life.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let former = life.id.clone();
        drop(life);
        // Wakes the task that accepts connections, which then closes the port.
        let _ = TcpStream::connect(self.addr);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(engine.work.down);
            let mut life = engine.life.lock().unwrap();
            let lives = engine.crashes.lock().unwrap().len();
            *life = Life {
                id: format!("{}-{lives}", engine.name),
                born: born_now(),
                is_down: false,
                is_draining: false,
                models: BTreeSet::new(),
                loading: None,
                orders: 0,
                active: 0,
                connections: Vec::new(),
            };
            let (id, entry) = (life.id.clone(), engine.entry(&life, 1));
            drop(life);
            engine.store.write("servers", &id, &entry);
            let silence = BEAT * SILENT_BEATS;
            thread::sleep(silence.saturating_sub(engine.work.down));
            engine.store.remove("servers", &former);
        });
    }

    fn entry(&self, life: &Life, seq: u64) -> String {
        let (service, zone) = (quote(&self.service), quote(&self.zone));
        let (addr, slots, born) = (self.addr, self.slots, life.born);
        let software = quote(&self.software);
        let state = match life.is_draining {
            true => "draining",
            false => "ready",
        };
        let (models, copies) = (models(life), self.copies());
        format!(
            "{{\"service\":{service},\"addr\":\"{addr}\",\"zone\":{zone},\"version\":{software},\
             \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"stage\":\"both\",\
             \"models\":[{models}],{copies}\"seq\":{seq},\"born\":{born}}}"
        )
    }

    fn copies(&self) -> String {
        let disk = self.disk.iter().map(|m| quote(m)).collect::<String>();
        format!("\"available\":{{\"inMemory\":[],\"onDisk\":[{disk}]}},")
    }

    fn report(&self) -> String {
        let mut life = self.life.lock().unwrap();
        let now = Instant::now();
        if let Some((model, _)) = life.loading.take_if(|(_, until)| *until <= now) {
            life.models.insert(model);
        }
        let (models, copies) = (models(&life), self.copies());
        let (orders, active, born) = (life.orders, life.active, life.born);
        let busy = life.loading.is_some();
        format!(
            "{{\"stage\":\"both\",\"models\":[{models}],{copies}\"inFlight\":{busy},\
             \"seq\":{orders},\"queued\":0,\"active\":{active},\"kvUsed\":0,\"kvTotal\":232000,\
             \"handles\":0,\"born\":{born}}}"
        )
    }

    /// Takes an order; returns the status of the answer.
    fn order(&self, request: &Message) -> &'static str {
        self.report();
        let Some(order) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return "400 Bad Request";
        };
        let mut life = self.life.lock().unwrap();
        let model = order.get("model").text().to_owned();
        let is_load = order.get("op").text() == "load";
        if is_load && life.models.contains(&model) {
            return "200 OK";
        }
        let expected = order.get("expected").number();
        if life.loading.is_some() || expected.is_some_and(|e| e != life.orders) {
            return "409 Conflict";
        }
        life.orders += 1;
        match is_load {
            true => {
                let time = match self.disk.as_ref() == Some(&model) {
                    true => DISK_LOAD,
                    false => STORE_LOAD,
                };
                life.loading = Some((model, Instant::now() + time));
            }
            false => drop(life.models.remove(&model)),
        }
        "202 Accepted"
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message()? {
            let stream = &mut reader.stream;
            let own = self.life.lock().unwrap().id.clone();
            let instance = ("X-Mastichinge-Instance-Id", &*own);
            match request.path() {
                "/healthz" => respond(stream, "200 OK", &[instance], b"")?,
                "/report" => {
                    let json = ("Content-Type", "application/json");
                    respond(stream, "200 OK", &[json], self.report().as_bytes())?;
                }
                "/order" => respond(stream, self.order(&request), &[], b"{}")?,
                _ => {
                    self.report();
                    let expected = request.field("x-mastichinge-expect-instance");
                    let is_other = !expected.is_empty() && expected != own;
                    let model = request.field("x-mastichinge-model");
                    let lacks =
                        self.disk.is_some() && !self.life.lock().unwrap().models.contains(model);
                    if is_other || lacks {
                        respond(stream, "421 Misdirected Request", &[instance], b"")?;
                        continue;
                    }
                    self.life.lock().unwrap().active += 1;
                    let ran = self.run(&request, &own, stream);
                    let mut life = self.life.lock().unwrap();
                    life.active = life.active.saturating_sub(1);
                    drop(life);
                    let id = request.field("x-mastichinge-request-id");
                    let end = match &ran {
                        Ok(()) => "to its end".to_owned(),
                        Err(error) => format!("until its connection ended: {error}"),
                    };
                    self.record.add(&format!("engine {own} ran {id} {end}"));
                    ran?;
                }
            }
        }
        Ok(())
    }

    /// Runs a request and writes its answer.
    fn run(
        self: &Arc<Self>,
        request: &Message,
        own: &str,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let id = request.field("x-mastichinge-request-id");
        self.record.add(&format!("engine {own} runs {id}"));
        let prefix = request.field("x-mastichinge-prompt-prefix");
        let parts = || prefix.split(',').filter_map(|p| p.split(':').next());
        if let Some(part) = self.crashes_on.iter().find(|c| parts().any(|p| p == **c)) {
            self.crash(part);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let load = format!("{},0,{}", self.life.lock().unwrap().active, self.slots);
        let stamp = format!("stamp.{own}.{id}");
        let fields = [
            ("X-Mastichinge-Request-Id", id),
            ("X-Mastichinge-Server-Stamp", &stamp),
            ("X-Mastichinge-Server-Load", &load),
        ];
        if self.disk.is_none() {
            thread::sleep(self.work.time);
            return respond(stream, "200 OK", &fields, &[b'a'; 800]);
        }
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                        Transfer-Encoding: chunked\r\n"
            .to_owned();
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        stream.write_all(format!("{head}\r\n").as_bytes())?;
        let last = request.field("last-event-id").parse::<u64>();
        let first = last.map_or(1, |last| last + 1);
        for event in first..=self.work.events {
            let data = "a".repeat(self.work.event_bytes);
            let text = format!("id: {event}\ndata: {data}\n\n");
            let size = text.len();
            stream.write_all(format!("{size:x}\r\n{text}\r\n").as_bytes())?;
            thread::sleep(self.work.gap);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

fn models(life: &Life) -> String {
    let models = life.models.iter().map(|m| {
        let name = quote(m);
        format!("{{\"name\":{name},\"version\":1,\"adapters\":[]}}")
    });
    models.collect::<Vec<_>>().join(",")
}
