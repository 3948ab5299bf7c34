//! Engines that run requests in slots, fail as the run's settings say, and record each
//! request and each run.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::customers::KEY;
use crate::engine_faults::EngineFault;
use crate::exchange::{Exchange, Extra, answer_head, closed, extra_answer, rejection, reset};
use crate::fakes::store::Store;
use crate::fakes::{ReceivedRequest, read_body, read_head, runtime, write_response};
use crate::links::relay_settings;
use crate::parts::crashing_part;
use crate::record::{
    RateSpan, ReceivedOrder, Recorder, RunGuard, RunSpan, Step, answer_body, event_count,
    event_text,
};
use crate::relay::Relay;
use crate::settings::SoakSettings;

/// Versions of the engines' software; all start at the first.
pub const SOFTWARE: [&str; 3] = ["v1", "v1.1", "v2"];
/// Path of health checks.
pub const HEALTH_PATH: &str = "/healthz";
/// Runs at the same time.
const SLOTS: usize = 4;
/// Requests that wait for a slot.
const MAX_QUEUE: usize = 12;
/// Longest run of a short request, ms.
const MAX_RUN_MS: u64 = 40;
/// Time for which an engine is down after a crash.
const DOWN_TIME: Duration = Duration::from_millis(800);
/// Time after a silence of the whole engine before the next silence; longer than a silence.
const MIN_CALM: Duration = Duration::from_millis(2_500);
/// Longest pause between two events, ms.
const MAX_EVENT_PAUSE_MS: u64 = 30;

/// What does not change while an engine exists.
pub struct EngineSetup {
    pub name: String,
    pub service: String,
    pub models: Vec<String>,
    /// Time after which it closes an idle connection; announced if it is whole seconds.
    pub idle_timeout: Duration,
    /// Whether it drops queued requests whose connection has closed.
    pub watches_connections: bool,
}

struct EngineState {
    rng: ChaCha8Rng,
    id: String,
    born: u64,
    /// Version of its software.
    software: &'static str,
    /// Whether all responses say that the engine leaves.
    leaving: bool,
    /// Rate that all responses to requests name, requests a second, and since when.
    rate: Option<(f64, Duration)>,
    /// Whether connections are reset.
    dark: bool,
    sequence: u64,
    orders: u64,
    /// Highest fencing number of an order.
    fence: u64,
    models: Vec<String>,
}

/// Handle of an engine.
#[derive(Clone)]
pub struct SoakEngine(Arc<Inner>);

struct Inner {
    setup: EngineSetup,
    addr: SocketAddr,
    /// Relay whose address its entry names.
    relay: Option<Relay>,
    store: Store,
    recorder: Arc<Recorder>,
    fault_rate: f64,
    silent_crashes: bool,
    event_pause: Duration,
    faults: Vec<EngineFault>,
    slots: Semaphore,
    /// Slots and places in the queue.
    places: Semaphore,
    /// Number of requests in progress.
    busy: AtomicUsize,
    state: Mutex<EngineState>,
    /// Number of the current lifetime.
    lifetime: watch::Sender<u64>,
    /// Number of times that all connections were reset.
    cuts: watch::Sender<u64>,
    /// Whether it has crashed and accepts no connections.
    down: watch::Sender<bool>,
    /// Until when it neither reads nor writes.
    silent_until: Mutex<Option<Instant>>,
    /// Number of requests about which it is silent.
    silences: AtomicUsize,
}

/// How an engine starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Under another id.
    OtherId,
    /// Under the id that it had.
    SameId,
    /// Under the id that it had; its entry is written later.
    LateEntry,
}

/// Counts a request in progress until dropped.
struct BusyGuard<'a>(&'a AtomicUsize);

impl<'a> BusyGuard<'a> {
    fn new(busy: &'a AtomicUsize) -> Self {
        busy.fetch_add(1, Ordering::SeqCst);
        BusyGuard(busy)
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl SoakEngine {
    /// Starts an engine and registers it.
    pub fn start(
        setup: EngineSetup,
        store: &Store,
        recorder: &Arc<Recorder>,
        settings: &SoakSettings,
        number: u64,
    ) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let state = EngineState {
            rng: ChaCha8Rng::seed_from_u64(settings.seed * 1_000 + number),
            id: format!("{}-1", setup.name),
            born: 1_000,
            software: SOFTWARE[0],
            leaving: false,
            rate: None,
            dark: false,
            sequence: 0,
            orders: 0,
            fence: 0,
            models: setup.models.clone(),
        };
        let addr = listener.local_addr().unwrap();
        let relay = || Relay::start(addr, relay_settings(settings.seed, number));
        let engine = SoakEngine(Arc::new(Inner {
            addr,
            relay: settings.has_links().then(relay),
            setup,
            store: store.clone(),
            recorder: recorder.clone(),
            fault_rate: settings.fault_rate,
            silent_crashes: settings.silent_crashes,
            event_pause: settings.event_pause,
            faults: settings.engine_faults.clone(),
            slots: Semaphore::new(SLOTS),
            places: Semaphore::new(SLOTS + MAX_QUEUE),
            busy: AtomicUsize::new(0),
            state: Mutex::new(state),
            lifetime: watch::Sender::new(1),
            cuts: watch::Sender::new(0),
            down: watch::Sender::new(false),
            silent_until: Mutex::default(),
            silences: AtomicUsize::new(0),
        }));
        engine.register();
        let started = engine.clone();
        runtime().spawn(async move {
            let mut listener = TcpListener::from_std(listener).unwrap();
            let mut down = started.0.down.subscribe();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.unwrap();
                        tokio::spawn(started.clone().serve(stream));
                    }
                    () = wait_until(&mut down, true) => {
                        drop(listener);
                        wait_until(&mut down, false).await;
                        listener = TcpListener::bind(started.0.addr).await.unwrap();
                    }
                }
            }
        });
        engine
    }

    /// Ends this lifetime, with all connections, and starts another one after [`DOWN_TIME`].
    pub fn crash(&self) {
        if self.0.silent_crashes {
            return self.crash_silently();
        }
        if self.0.down.send_replace(true) {
            return;
        }
        self.record_service(false);
        self.0.cuts.send_modify(|n| *n += 1);
        let engine = self.clone();
        runtime().spawn(async move {
            sleep(DOWN_TIME).await;
            engine.restart(Start::OtherId);
            engine.0.down.send_replace(false);
        });
    }

    /// Says nothing more in this lifetime, and ends it with all connections after [`DOWN_TIME`], when
    /// another one starts.
    fn crash_silently(&self) {
        let mut silent_until = self.0.silent_until.lock().unwrap();
        let now = Instant::now();
        if silent_until.is_some_and(|at| at > now) {
            return;
        }
        *silent_until = Some(now + DOWN_TIME);
        drop(silent_until);
        self.record_service(false);
        let engine = self.clone();
        runtime().spawn(async move {
            sleep(DOWN_TIME).await;
            engine.0.cuts.send_modify(|n| *n += 1);
            engine.restart(Start::OtherId);
        });
    }

    /// Ends this lifetime and starts another one with other software.
    pub fn release(&self, software: &'static str, start: Start) {
        self.0.state.lock().unwrap().software = software;
        self.restart(start);
    }

    /// Records whether it serves.
    fn record_service(&self, serves: bool) {
        let software = self.0.state.lock().unwrap().software;
        let software = serves.then_some(software);
        self.0.recorder.add_service(&self.0.setup.name, software);
    }

    /// Ends this lifetime and starts another one at the same address.
    pub fn restart(&self, start: Start) {
        self.record_service(false);
        self.name_rate(None);
        let mut state = self.0.state.lock().unwrap();
        state.born += 1_000;
        if start == Start::OtherId {
            self.0.store.remove("servers", &state.id);
            state.id = format!("{}-{}", self.0.setup.name, state.born / 1_000);
        }
        state.leaving = false;
        state.orders = 0;
        state.fence = 0;
        state.models.clone_from(&self.0.setup.models);
        drop(state);
        self.0.lifetime.send_modify(|n| *n += 1);
        if start != Start::LateEntry {
            self.register();
        }
    }

    /// Says in all responses from now on that it leaves.
    pub fn leave(&self) {
        self.record_service(false);
        self.0.state.lock().unwrap().leaving = true;
    }

    /// Names a rate in all responses to requests from now on, or none.
    pub fn name_rate(&self, rate: Option<f64>) {
        let now = self.0.recorder.now();
        let mut state = self.0.state.lock().unwrap();
        let named = rate.map(|rate| (rate, now));
        let before = std::mem::replace(&mut state.rate, named);
        let engine = state.lifetime();
        drop(state);
        if let Some((rate, start)) = before {
            let end = now;
            let span = RateSpan {
                engine,
                rate,
                start,
                end,
            };
            self.0.recorder.add_rate(span);
        }
    }

    /// Removes its entry.
    pub fn remove_entry(&self) {
        self.record_service(false);
        let id = self.0.state.lock().unwrap().id.clone();
        self.0.store.remove("servers", &id);
    }

    /// Sets whether it resets all connections.
    pub fn set_dark(&self, dark: bool) {
        self.0.state.lock().unwrap().dark = dark;
        self.record_service(!dark);
        if dark {
            self.0.cuts.send_modify(|n| *n += 1);
        }
    }

    /// Returns the relay through which daemons reach it, if any.
    pub fn relay(&self) -> Option<&Relay> {
        self.0.relay.as_ref()
    }

    /// Neither reads nor writes for a while, unless there is another silence.
    fn fall_silent(&self, time: Duration) {
        let is_free = self.0.silences.load(Ordering::SeqCst) == 0 && !self.was_silent();
        if is_free {
            *self.0.silent_until.lock().unwrap() = Some(Instant::now() + time);
        }
    }

    /// Returns whether the engine is silent or was a short time ago: silences do not add up.
    fn was_silent(&self) -> bool {
        let until = *self.0.silent_until.lock().unwrap();
        until.is_some_and(|at| Instant::now() < at + MIN_CALM)
    }

    /// Is silent about one request for a while, unless the engine was silent as a whole.
    async fn pause(&self, exchange: &Exchange<'_>) {
        if self.was_silent() {
            return;
        }
        let _silence = BusyGuard::new(&self.0.silences);
        sleep(exchange.silence()).await;
    }

    /// Works on a request for as long as a silence, in the same cases.
    async fn work_silently(&self, exchange: &Exchange<'_>) -> io::Result<()> {
        if self.was_silent() {
            return Ok(());
        }
        let _silence = BusyGuard::new(&self.0.silences);
        self.work(exchange.stream, exchange.silence()).await
    }

    /// Waits until the engine reads and writes.
    async fn speaking(&self) {
        loop {
            let until = *self.0.silent_until.lock().unwrap();
            match until.filter(|at| *at > Instant::now()) {
                Some(at) => sleep_until(at).await,
                None => return,
            }
        }
    }

    /// Runs a request for a while, and longer while the engine is silent; fails if it sees that the
    /// connection has closed.
    async fn work(&self, stream: &TcpStream, time: Duration) -> io::Result<()> {
        let watch = async {
            closed(stream).await;
            self.speaking().await;
        };
        let work = async {
            sleep(time).await;
            self.speaking().await;
        };
        tokio::select! {
            () = work => Ok(()),
            () = watch, if self.0.setup.watches_connections => {
                Err(io::ErrorKind::BrokenPipe.into())
            }
        }
    }

    /// Returns whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.0.busy.load(Ordering::SeqCst) == 0
    }

    /// Writes its entry again after the store has lost it; an engine that leaves does not.
    pub fn write_again(&self) {
        let leaving = self.0.state.lock().unwrap().leaving;
        if !leaving {
            self.register();
        }
    }

    /// Writes its entry, which says that it is ready.
    pub fn register(&self) {
        self.register_as("ready");
    }

    /// Writes its entry with a state.
    pub fn register_as(&self, phase: &str) {
        let mut state = self.0.state.lock().unwrap();
        state.sequence += 1;
        let models: Vec<Value> = state.models.iter().map(model_json).collect();
        let addr = self.relay().map_or(self.0.addr, |relay| relay.addr);
        let entry = json!({"service": self.0.setup.service, "addr": addr.to_string(),
            "zone": "north", "version": state.software, "slots": SLOTS, "state": phase, "coldLeftMs": 0,
            "stage": "both", "models": models, "seq": state.sequence, "born": state.born});
        self.0.store.put("servers", &state.id, &entry);
        let serves = phase == "ready" && !state.leaving && !state.dark;
        drop(state);
        self.record_service(serves);
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut lifetime = self.0.lifetime.subscribe();
        let first = *lifetime.borrow_and_update();
        let mut cuts = self.0.cuts.subscribe();
        cuts.mark_unchanged();
        let dark = self.0.state.lock().unwrap().dark;
        // A connection of an earlier lifetime ends with it.
        let mut current = String::new();
        tokio::select! {
            // The recorded faults tell why a connection ended; if none does, the daemon
            // has closed it.
            _ = self.serve_requests(&mut stream, &mut current), if !dark => return,
            _ = lifetime.wait_for(|n| *n != first) => {}
            _ = cuts.changed() => {}
            () = std::future::ready(()), if dark => {}
        }
        if let Err(error) = reset(&stream)
            && error.kind() != io::ErrorKind::ConnectionReset
        {
            println!("{}: cannot reset a connection: {error}", self.0.setup.name);
        }
        if !current.is_empty() {
            let engine = self.0.setup.name.clone();
            self.0.recorder.add_step(&current, &engine, Step::Cut);
        }
    }

    /// Serves requests until the connection ends; `current` is the id of the request in
    /// progress.
    async fn serve_requests(&self, stream: &mut TcpStream, current: &mut String) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut rest = Vec::new();
        let mut extra: Option<Extra> = None;
        let mut closes = false;
        let idle_timeout = self.0.setup.idle_timeout;
        while let Ok(head) = timeout(idle_timeout, read_head(stream, &mut rest)).await {
            self.speaking().await;
            let Some(mut request) = head? else {
                return Ok(());
            };
            let id = request.header("x-mastichinge-request-id").to_owned();
            let name = match request.header("attempt") {
                "" => id.clone(),
                name => name.to_owned(),
            };
            if closes {
                self.0
                    .recorder
                    .add_step(&name, &self.0.setup.name, Step::Cut);
                return Ok(());
            }
            if let Some(extra) = extra.take() {
                let step = Step::Extra(extra.fault);
                self.0.recorder.add_step(&name, &self.0.setup.name, step);
                stream.write_all(&extra.bytes).await?;
            }
            if id.is_empty() {
                read_body(stream, &mut rest, &mut request).await?;
                self.call(stream, &request).await?;
                continue;
            }
            current.clone_from(&name);
            let _busy = BusyGuard::new(&self.0.busy);
            let (fault, random, engine, lifetime) = {
                let mut state = self.0.state.lock().unwrap();
                let faulty = state.rng.random_bool(self.0.fault_rate);
                let fault = self.0.faults.choose(&mut state.rng).copied();
                let random = state.rng.random();
                let fault = fault.filter(|f| faulty && f.applies_to(request.path()));
                (fault, random, state.id.clone(), state.lifetime())
            };
            let step = Step::Arrived(fault);
            self.0.recorder.add_step(&name, &lifetime, step);
            let customer = request.header("x-mastichinge-tenant");
            let has_key = request.headers.iter().any(|(_, v)| v.contains(KEY));
            self.0.recorder.add_told(&name, customer, has_key);
            let mut exchange = Exchange {
                stream,
                id,
                name,
                engine,
                lifetime,
                fault,
                random,
                arrived_at: self.0.recorder.now(),
                rejected: false,
            };
            if matches!(
                fault,
                Some(EngineFault::RejectEarly | EngineFault::RejectClosing)
            ) {
                self.reject(&mut exchange, 503, true).await?;
                if fault == Some(EngineFault::RejectClosing) {
                    return Ok(());
                }
                sleep(exchange.pause(MAX_RUN_MS)).await;
                read_body(stream, &mut rest, &mut request).await?;
                continue;
            }
            if !read_body(exchange.stream, &mut rest, &mut request).await? {
                return Ok(());
            }
            self.run_request(&mut exchange, &request).await?;
            extra = exchange.extra();
            closes = fault == Some(EngineFault::CloseOnNext);
            current.clear();
        }
        Ok(())
    }

    /// Answers a call that is not a caller's request.
    async fn call(&self, stream: &mut TcpStream, request: &ReceivedRequest) -> io::Result<()> {
        if request.path() == "/order" {
            self.record_order(&request.body);
        }
        let (status, body, leaving) = {
            let mut state = self.0.state.lock().unwrap();
            let leaving = state.leaving;
            match request.path() {
                "/report" => (200, state.report(), leaving),
                "/order" => (state.take_order(&request.body), Value::Null, leaving),
                HEALTH_PATH => (200, Value::Null, leaving),
                _ => (404, Value::Null, leaving),
            }
        };
        if request.path() == "/order" && !leaving {
            self.register();
        }
        let headers: &[_] = match leaving {
            true => &[("Server-Leaving", "1")],
            false => &[],
        };
        write_response(stream, status, headers, body.to_string().as_bytes()).await
    }

    fn record_order(&self, body: &[u8]) {
        let order = serde_json::from_slice::<Value>(body).unwrap_or_default();
        let (holder, fence) = (order["holder"].as_str(), order["fence"].as_u64());
        let (Some(holder), Some(fence)) = (holder, fence) else {
            return;
        };
        let engine = self.0.state.lock().unwrap().lifetime();
        self.0.recorder.add_order(ReceivedOrder {
            engine,
            holder: holder.to_owned(),
            fence,
        });
    }

    async fn run_request(
        &self,
        exchange: &mut Exchange<'_>,
        request: &ReceivedRequest,
    ) -> io::Result<()> {
        use EngineFault as F;
        let model = request.header("x-mastichinge-model");
        let loaded = {
            let state = self.0.state.lock().unwrap();
            model.is_empty() || state.models.iter().any(|m| m == model)
        };
        let expected = request.header("x-mastichinge-expect-instance");
        if !loaded || expected != exchange.engine {
            return self.reject(exchange, 421, true).await;
        }
        match exchange.fault {
            Some(F::ResetUnrun) => return reset(exchange.stream),
            Some(F::RejectFull | F::RejectAgain) => return self.reject(exchange, 503, true).await,
            Some(F::RejectLimited) => return self.reject(exchange, 429, true).await,
            Some(F::RejectMisdirected) => return self.reject(exchange, 421, true).await,
            Some(F::RejectMalformed) => return self.reject(exchange, 400, false).await,
            Some(F::RejectPause) => return self.reject(exchange, 503, true).await,
            Some(F::RejectPauseAnonymous) => return self.reject(exchange, 503, false).await,
            Some(F::SilenceBefore) => self.pause(exchange).await,
            Some(F::SilentEngine) => self.fall_silent(exchange.silence()),
            _ => {}
        }
        let Ok(place) = self.0.places.try_acquire() else {
            return self.reject(exchange, 503, true).await;
        };
        let slot = match self.0.setup.watches_connections {
            true => tokio::select! {
                slot = self.0.slots.acquire() => slot,
                () = closed(exchange.stream) => return Err(io::ErrorKind::BrokenPipe.into()),
            },
            false => self.0.slots.acquire().await,
        };
        let slot = slot.unwrap();
        let intact = self.0.recorder.is_body_of(&exchange.name, &request.body);
        self.record(exchange, Step::Began(intact));
        let after = request.header("last-event-id").parse().unwrap_or(0);
        let run = self.begin_run(exchange, after);
        if exchange.fault == Some(F::LongRun) {
            self.work_silently(exchange).await?;
        }
        if request.path().contains("stream") && exchange.runs_whole() {
            let first = request.header("resumes");
            return self.stream(exchange, (first, after)).await;
        }
        self.work(exchange.stream, exchange.pause(MAX_RUN_MS))
            .await?;
        self.record(exchange, Step::Ended);
        drop((slot, place, run));
        self.answer(exchange).await
    }

    fn record(&self, exchange: &Exchange<'_>, step: Step) {
        self.0
            .recorder
            .add_step(&exchange.name, &exchange.lifetime, step);
    }

    fn begin_run(&self, exchange: &Exchange<'_>, after: u64) -> RunGuard {
        self.0.recorder.begin_run(RunSpan {
            id: exchange.name.clone(),
            engine: exchange.lifetime.clone(),
            arrived_at: exchange.arrived_at,
            start: self.0.recorder.now(),
            end: None,
            after,
        })
    }

    /// Returns the header lines of what the engine says of itself in a response.
    fn statement(&self, exchange: &Exchange<'_>) -> String {
        let state = self.0.state.lock().unwrap();
        let mut lines = String::new();
        if state.lifetime() != exchange.lifetime {
            return lines;
        }
        if state.leaving {
            lines.push_str("Server-Leaving: 1\r\n");
        }
        if let Some((rate, _)) = state.rate {
            lines.push_str(&format!("Server-Limit: {rate}\r\n"));
        }
        lines
    }

    async fn reject(
        &self,
        exchange: &mut Exchange<'_>,
        status: u16,
        with_id: bool,
    ) -> io::Result<()> {
        self.record(exchange, Step::Answered(status));
        exchange.rejected = true;
        let mut headers = self.statement(exchange);
        if let Some(pause) = exchange.pause_asked().filter(|_| status == 503) {
            self.record(exchange, Step::Paused(pause));
            headers.push_str(&format!("Retry-After: {}\r\n", pause.as_secs_f64()));
        }
        let bytes = rejection(&exchange.id, status, with_id, &headers);
        exchange.stream.write_all(&bytes).await
    }

    /// Answers a short request after its run.
    async fn answer(&self, exchange: &mut Exchange<'_>) -> io::Result<()> {
        use EngineFault as F;
        let status = match exchange.fault {
            Some(F::ResetRun) => return reset(exchange.stream),
            Some(F::CloseRun) => return exchange.close().await,
            Some(F::Hang) => return exchange.hang().await,
            Some(F::Garbage) => return exchange.send_garbage().await,
            Some(F::Failure) => 500,
            Some(F::TimeLimit) => 504,
            Some(F::FullAfterRun) => 503,
            _ => 200,
        };
        if exchange.fault == Some(F::SilenceAfter) {
            self.pause(exchange).await;
        }
        let body = match status {
            200 => answer_body(&exchange.id),
            _ => b"failed".to_vec(),
        };
        self.record(exchange, Step::Answered(status));
        let framed = !matches!(exchange.fault, Some(F::Unframed | F::UnframedReset));
        let length = framed.then_some(body.len());
        let closing = exchange.fault == Some(F::CloseAfter);
        let idle_timeout = self.0.setup.idle_timeout;
        let headers = match (closing, idle_timeout.subsec_millis()) {
            (true, _) => "Connection: close\r\n".to_owned(),
            (false, 0) => format!("Keep-Alive: timeout={}\r\n", idle_timeout.as_secs()),
            (false, _) => String::new(),
        };
        let headers = headers + &self.statement(exchange);
        let bytes = answer_head(&exchange.id, &exchange.lifetime, (status, length), &headers);
        exchange.stream.write_all(&bytes).await?;
        let half = body.len() / 2;
        exchange.stream.write_all(&body[..half]).await?;
        match exchange.fault {
            Some(F::Truncated) => return exchange.close().await,
            Some(F::UnframedReset) => {
                sleep(exchange.pause(MAX_RUN_MS)).await;
                return reset(exchange.stream);
            }
            _ => {}
        }
        exchange.stream.write_all(&body[half..]).await?;
        match exchange.fault {
            Some(F::Unframed | F::CloseAfter) => exchange.stream.shutdown().await,
            Some(F::ExtraAtOnce) => {
                let bytes = extra_answer(&exchange.id, &exchange.lifetime, true);
                exchange.stream.write_all(&bytes).await
            }
            _ => Ok(()),
        }
    }

    /// Sends the events after `after`, of the stream that the attempt `first` began if it is named.
    async fn stream(
        &self,
        exchange: &mut Exchange<'_>,
        (first, after): (&str, u64),
    ) -> io::Result<()> {
        use EngineFault as F;
        let first = match first {
            "" => exchange.id.clone(),
            first => first.to_owned(),
        };
        let software = self.0.state.lock().unwrap().software;
        let framing = exchange.stream_framing();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             X-Mastichinge-Request-Id: {id}\r\nX-Mastichinge-Server-Stamp: {lifetime}.{id}\r\n\
             {header}{statement}\r\n",
            id = exchange.id,
            lifetime = exchange.lifetime,
            header = framing.header(),
            statement = self.statement(exchange)
        );
        let crashing = crashing_part(&exchange.id);
        let crashes_first = crashing.is_some() && exchange.random.is_multiple_of(2);
        if !crashes_first {
            self.record(exchange, Step::Answered(200));
            exchange.stream.write_all(head.as_bytes()).await?;
        }
        if let Some(part) = crashing {
            self.0.recorder.add_part_crash(part);
            self.record(exchange, Step::Cut);
            self.crash();
            self.speaking().await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if exchange.fault == Some(F::SilentHead) {
            self.work_silently(exchange).await?;
        }
        let last = event_count(&first);
        let fault_at = after + 1 + exchange.random % last;
        for event in after + 1..=last {
            self.work(
                exchange.stream,
                exchange.pause(MAX_EVENT_PAUSE_MS) + self.0.event_pause,
            )
            .await?;
            let text = event_text(&first, event, software);
            if event == fault_at {
                match exchange.fault {
                    Some(F::ResetRun | F::UnframedReset) => return reset(exchange.stream),
                    Some(F::CloseRun) => return exchange.close().await,
                    Some(F::Hang) => return exchange.hang().await,
                    Some(F::Garbage) => return exchange.send_garbage().await,
                    Some(F::SilenceAfter) => self.pause(exchange).await,
                    Some(F::Truncated | F::EndInside) => {
                        let half = framing.frame(&text[..text.len() / 2]);
                        exchange.stream.write_all(half.as_bytes()).await?;
                        return match exchange.fault {
                            Some(F::EndInside) => framing.end(exchange.stream).await,
                            _ => exchange.close().await,
                        };
                    }
                    _ => {}
                }
            }
            let framed = framing.frame(&text);
            exchange.stream.write_all(framed.as_bytes()).await?;
        }
        self.record(exchange, Step::Ended);
        framing.end(exchange.stream).await
    }
}

impl EngineState {
    /// Returns the name of the current lifetime.
    fn lifetime(&self) -> String {
        format!("{}@{}", self.id, self.born)
    }

    fn report(&self) -> Value {
        let models: Vec<Value> = self.models.iter().map(model_json).collect();
        json!({"stage": "both", "models": models, "inFlight": false,
            "seq": self.orders, "queued": 0, "active": 0, "born": self.born})
    }

    /// Carries an order out at once; returns the status.
    fn take_order(&mut self, body: &[u8]) -> u16 {
        let Ok(order) = serde_json::from_slice::<Value>(body) else {
            return 400;
        };
        let expected = order["expected"].as_u64();
        let (Some(model), Some(operation)) = (order["model"].as_str(), order["op"].as_str()) else {
            return 400;
        };
        let fence = order["fence"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return 412;
        }
        self.fence = fence;
        if expected.is_some_and(|n| n != self.orders) {
            return 409;
        }
        self.orders += 1;
        self.models.retain(|m| m != model);
        if operation == "load" {
            self.models.push(model.to_owned());
        }
        202
    }
}

async fn wait_until(down: &mut watch::Receiver<bool>, value: bool) {
    down.wait_for(|down| *down == value)
        .await
        .map(drop)
        .unwrap();
}

fn model_json(model: &String) -> Value {
    json!({"name": model, "version": 1, "adapters": []})
}
