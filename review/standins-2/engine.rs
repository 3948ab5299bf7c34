//! A sound engine: of models, or a plain one.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Reader, respond};
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// Time between two writes of an engine's entry.
const BEAT: Duration = Duration::from_millis(1_200);

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
}

pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    /// Model that it holds, if it is an engine of models.
    model: Option<String>,
    slots: u32,
    born: u64,
    work: Work,
    active: AtomicU64,
    record: Arc<Record>,
}

/// What an engine is.
pub struct Kind<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub model: Option<&'a str>,
    pub slots: u32,
}

impl Engine {
    /// Starts an engine at a free port; it writes its entry again and again.
    pub fn start(
        kind: Kind<'_>,
        work: Work,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for an engine");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let engine = Arc::new(Engine {
            id: kind.id.to_owned(),
            addr: listener.local_addr().expect("its address"),
            service: kind.service.to_owned(),
            zone: kind.zone.to_owned(),
            model: kind.model.map(str::to_owned),
            slots: kind.slots,
            born: now.as_millis() as u64,
            work,
            active: AtomicU64::new(0),
            record: record.clone(),
        });
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            for seq in 1.. {
                store.write("servers", &beating.id, &beating.entry(seq));
                thread::sleep(BEAT);
            }
        });
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                thread::spawn(move || {
                    // An error is the end of the connection.
                    let _ = engine.serve(stream);
                });
            }
        });
        engine
    }

    fn models(&self) -> String {
        let model = self.model.iter().map(|m| {
            let name = quote(m);
            format!("{{\"name\":{name},\"version\":1,\"adapters\":[]}}")
        });
        model.collect()
    }

    fn entry(&self, seq: u64) -> String {
        let (service, zone) = (quote(&self.service), quote(&self.zone));
        let (addr, slots, born, models) = (self.addr, self.slots, self.born, self.models());
        format!(
            "{{\"service\":{service},\"addr\":\"{addr}\",\"zone\":{zone},\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\
             \"models\":[{models}],\"seq\":{seq},\"born\":{born}}}"
        )
    }

    fn report(&self) -> String {
        let (models, born) = (self.models(), self.born);
        let active = self.active.load(Ordering::Relaxed);
        format!(
            "{{\"stage\":\"both\",\"models\":[{models}],\"inFlight\":false,\"seq\":0,\"queued\":0,\
             \"active\":{active},\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\"born\":{born}}}"
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message()? {
            let stream = &mut reader.stream;
            let instance = ("X-Mastichinge-Instance-Id", &*self.id);
            match request.path() {
                "/healthz" => respond(stream, "200 OK", &[instance], b"")?,
                "/report" => {
                    let json = ("Content-Type", "application/json");
                    respond(stream, "200 OK", &[json], self.report().as_bytes())?;
                }
                // It holds the only model there is.
                "/order" => respond(stream, "200 OK", &[], b"{}")?,
                _ => {
                    let expected = request.field("x-mastichinge-expect-instance");
                    if !expected.is_empty() && expected != self.id {
                        respond(stream, "421 Misdirected Request", &[instance], b"")?;
                        continue;
                    }
                    self.active.fetch_add(1, Ordering::Relaxed);
                    let ran = self.run(&request, stream);
                    self.active.fetch_sub(1, Ordering::Relaxed);
                    let (id, engine) = (request.field("x-mastichinge-request-id"), &self.id);
                    let end = match &ran {
                        Ok(()) => "to its end".to_owned(),
                        Err(error) => format!("until its connection ended: {error}"),
                    };
                    self.record.add(&format!("engine {engine} ran {id} {end}"));
                    ran?;
                }
            }
        }
        Ok(())
    }

    /// Runs a request and writes its answer.
    fn run(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let (id, engine) = (request.field("x-mastichinge-request-id"), &self.id);
        self.record.add(&format!("engine {engine} runs {id}"));
        let load = format!("{},0,{}", self.active.load(Ordering::Relaxed), self.slots);
        let stamp = format!("stamp.{engine}.{id}");
        let fields = [
            ("X-Mastichinge-Request-Id", id),
            ("X-Mastichinge-Server-Stamp", &stamp),
            ("X-Mastichinge-Server-Load", &load),
        ];
        if self.model.is_none() {
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
        let first = request
            .field("last-event-id")
            .parse()
            .map_or(1, |last: u64| last + 1);
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
