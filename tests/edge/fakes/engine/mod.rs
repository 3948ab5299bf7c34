//! Fake engine that answers on a raw socket, so that it can break the protocol.

pub mod behavior;
pub mod crashes;
mod lifetimes;
mod runs;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

pub use behavior::Behavior;
pub use crashes::{CrashMoment, CrashedAddress, Deadly};

use super::store::Store;
use super::{Framing, ReceivedRequest, read_body, read_head, runtime, write_response};
use crate::loopback::network_octet;

#[derive(Default)]
struct EngineState {
    behavior: Behavior,
    /// Headers of all responses.
    headers: Vec<(&'static str, String)>,
    /// Start time, ms since the Unix epoch.
    born: u64,
    /// Version of its software; events name one that is not [`FIRST_VERSION`].
    software: String,
    framing: Framing,
    /// Whether the engine accepts connections and answers nothing.
    silent: bool,
    /// When the engine goes on writing responses.
    stalled_until: Option<Instant>,
    /// Time for which it stalls, if that is not [`STALL`].
    stall_time: Option<Duration>,
    models: Vec<String>,
    /// Requests on which the engine crashes.
    deadly: Option<Deadly>,
    /// When the engine crashed on requests, with their bodies.
    crashes: Vec<(Instant, Vec<u8>)>,
    /// Whether it is down after a crash.
    down: bool,
    /// Pause before each event of a stream, in place of [`EVENT_PAUSE`] after it.
    pace: Option<Duration>,
    /// What its address does after a crash.
    crashed_address: CrashedAddress,
    /// When its lifetimes ended.
    ends: Vec<Instant>,
    /// Further ids that the engine answers to.
    aliases: Vec<String>,
    /// Number of accepted orders.
    accepted_orders: u64,
    arrivals: Vec<ReceivedRequest>,
    /// When each of them arrived.
    arrival_times: Vec<Instant>,
    /// Ids of the requests that began to run, once for each time.
    runs: Vec<String>,
    /// When each run began, and when it ended.
    run_spans: Vec<RunSpan>,
    /// Ids of the requests rejected by [`Behavior::RepeatedRejection`].
    rejected: Vec<String>,
    /// Number of late responses sent.
    late_responses: u64,
    /// Size of each response without end when its connection closed, bytes.
    endless_bytes: Vec<usize>,
    /// Requests whose connection closed while they ran.
    cancelled: Vec<String>,
    received_orders: Vec<Value>,
    /// Number of received orders and report requests.
    calls: usize,
    /// Number of those that got no whole successful response.
    failed_calls: usize,
    /// Number of received health checks.
    health_checks: usize,
}

/// Time of a run of a request.
#[derive(Clone, Debug)]
pub struct RunSpan {
    pub id: String,
    pub start: Instant,
    /// Absent while it runs.
    pub end: Option<Instant>,
}

/// Records the end of a run when dropped.
struct RunGuard {
    state: Arc<Mutex<EngineState>>,
    index: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap();
        state.run_spans[self.index].end = Some(Instant::now());
    }
}

/// Handle of a fake engine.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    store: Store,
    sequence: Arc<AtomicU64>,
    dead: Arc<Notify>,
    /// Like `dead`, but the engine starts again after [`DOWN_TIME`].
    crashed: Arc<Notify>,
    /// Closes the connections, once the address does what it does after that.
    closed: Arc<Notify>,
    state: Arc<Mutex<EngineState>>,
}

/// Version of the software of an engine that is started without another.
pub const FIRST_VERSION: &str = "v1";
/// Path of health checks.
pub const HEALTH_PATH: &str = "/healthz";
/// Number of events in a stream.
pub const EVENTS: u64 = 5;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(15);
/// Pause after the first event before a late reset; longer than an engine takes to crash on a
/// request, and shorter than a silence.
pub const LATE_PAUSE: Duration = Duration::from_millis(700);
/// Pause of a preempted stream; longer than a daemon waits for the next event before it
/// looks for another engine (three gaps of the routes).
pub const PREEMPTION: Duration = Duration::from_millis(1_600);

/// Time for which an engine stalls; as long as the pause of a preempted stream.
pub const STALL: Duration = PREEMPTION;

/// Time after a crash for which an engine is down.
pub const DOWN_TIME: Duration = Duration::from_millis(1_500);

/// Returns an address that no other engine has, nor any connection: an engine that refuses
/// connections for a while has to get its port back.
fn own_address() -> SocketAddr {
    static NUMBER: AtomicU16 = AtomicU16::new(0);
    let [high, low] = NUMBER.fetch_add(1, Ordering::SeqCst).to_be_bytes();
    // Daemons have the lower half.
    SocketAddr::from(([127, network_octet(), 128 | high, low], 0))
}

impl Engine {
    /// Starts an engine that has loaded `models` and registers it.
    pub fn start(store: &Store, id: &str, service: &str, models: &[&str]) -> Self {
        Engine::start_version(store, id, service, FIRST_VERSION, models)
    }

    /// Starts an engine of a service and a software version that has loaded `models`, and
    /// registers it.
    pub fn start_version(
        store: &Store,
        id: &str,
        service: &str,
        software: &str,
        models: &[&str],
    ) -> Self {
        let (sender, receiver) = std::sync::mpsc::channel();
        let state = EngineState {
            models: models.iter().map(|m| (*m).to_owned()).collect(),
            born: 1_000,
            software: software.to_owned(),
            ..EngineState::default()
        };
        let (id, service, store) = (id.to_owned(), service.to_owned(), store.clone());
        runtime().spawn(async move {
            let listener = TcpListener::bind(own_address()).await.unwrap();
            let engine = Engine {
                id,
                addr: listener.local_addr().unwrap(),
                service,
                store,
                sequence: Arc::default(),
                dead: Arc::default(),
                crashed: Arc::default(),
                closed: Arc::default(),
                state: Arc::new(Mutex::new(state)),
            };
            engine.register("ready");
            sender.send(engine.clone()).unwrap();
            engine.accept(listener).await;
        });
        receiver.recv().unwrap()
    }

    /// Accepts connections until the engine is dead.
    async fn accept(&self, mut listener: TcpListener) {
        loop {
            let (dead, crashed) = (self.dead.clone(), self.crashed.clone());
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.unwrap().0,
                () = dead.notified() => return,
                () = crashed.notified() => {
                    listener = self.restart_after_crash(listener).await;
                    continue;
                }
            };
            let engine = self.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = engine.clone().serve_until_crash(stream) => {}
                    // Dropping the stream closes it, as when the process dies.
                    () = dead.notified() => {}
                }
            });
        }
    }

    /// Returns what follows the text of its events.
    fn event_mark(&self) -> String {
        let state = self.state.lock().unwrap();
        match &*state.software {
            FIRST_VERSION => String::new(),
            software => format!(" of {software}"),
        }
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().unwrap().behavior = behavior;
    }

    pub fn set_framing(&self, framing: Framing) {
        self.state.lock().unwrap().framing = framing;
    }

    /// Returns the received requests except orders and report requests.
    pub fn arrivals(&self) -> Vec<ReceivedRequest> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// Returns the largest number of requests that arrived within `window`, of those after
    /// `from`.
    pub fn most_arrivals(&self, window: Duration, from: Instant) -> usize {
        let state = self.state.lock().unwrap();
        let times = state.arrival_times.iter().filter(|t| **t >= from);
        let times: Vec<Instant> = times.copied().collect();
        let within = |start: &Instant| {
            let in_window = |t: &&Instant| **t >= *start && **t - *start <= window;
            times.iter().filter(in_window).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }

    pub fn cancelled(&self) -> Vec<String> {
        self.state.lock().unwrap().cancelled.clone()
    }

    /// Stalls the engine: it reads requests but writes no responses for [`STALL`].
    fn stall(&self) {
        let mut state = self.state.lock().unwrap();
        state.behavior = Behavior::Correct;
        state.stalled_until = Some(Instant::now() + state.stall_time.unwrap_or(STALL));
    }

    /// Sets for how long the engine stalls.
    pub fn set_stall_time(&self, time: Duration) {
        self.state.lock().unwrap().stall_time = Some(time);
    }

    /// Sets whether the engine accepts connections and answers nothing.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
    }

    /// Returns whether the engine has stalled, now or before.
    pub fn has_stalled(&self) -> bool {
        self.state.lock().unwrap().stalled_until.is_some()
    }

    /// Waits until the engine does not stall.
    async fn wait_for_stall(&self) {
        loop {
            let until = self.state.lock().unwrap().stalled_until;
            let left = until.map(|at| at.saturating_duration_since(Instant::now()));
            match left {
                Some(left) if !left.is_zero() => sleep(left).await,
                _ => return,
            }
        }
    }

    /// Records that a run begins; it ends when the guard is dropped.
    fn begin_run(&self, id: &str) -> RunGuard {
        let mut state = self.state.lock().unwrap();
        state.runs.push(id.to_owned());
        state.run_spans.push(RunSpan {
            id: id.to_owned(),
            start: Instant::now(),
            end: None,
        });
        RunGuard {
            state: self.state.clone(),
            index: state.run_spans.len() - 1,
        }
    }

    /// Returns when runs of a request began and ended.
    pub fn run_spans(&self, id: &str) -> Vec<RunSpan> {
        let state = self.state.lock().unwrap();
        let spans = state.run_spans.iter().filter(|s| s.id == id);
        spans.cloned().collect()
    }

    /// Returns how often a request began to run.
    pub fn runs(&self, id: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.runs.iter().filter(|r| *r == id).count()
    }

    /// Returns whether any request began to run.
    pub fn has_run(&self) -> bool {
        !self.state.lock().unwrap().runs.is_empty()
    }

    /// Returns the number of late responses sent.
    pub fn late_responses(&self) -> u64 {
        self.state.lock().unwrap().late_responses
    }

    /// Returns the size of each response without end whose connection has closed, bytes.
    pub fn endless_bytes(&self) -> Vec<usize> {
        self.state.lock().unwrap().endless_bytes.clone()
    }

    /// Returns the number of received orders and report requests.
    pub fn calls(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    /// Returns the number of calls that got no whole successful response.
    pub fn failed_calls(&self) -> usize {
        self.state.lock().unwrap().failed_calls
    }

    /// Returns the number of received health checks.
    pub fn health_checks(&self) -> usize {
        self.state.lock().unwrap().health_checks
    }

    /// Returns the received orders.
    pub fn received_orders(&self) -> Vec<Value> {
        self.state.lock().unwrap().received_orders.clone()
    }

    async fn serve(self, stream: &mut TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut rest = Vec::new();
        // Id of the request that the connection carried last.
        let mut earlier = String::new();
        while let Ok(Some(mut request)) = read_head(stream, &mut rest).await {
            while self.state.lock().unwrap().silent {
                sleep(EVENT_PAUSE).await;
            }
            let is_call = ["/report", "/order", HEALTH_PATH].contains(&request.path());
            if !is_call && self.behavior() == Behavior::Early {
                if self.answer(stream, &request).await.is_err() {
                    return;
                }
                sleep(EVENT_PAUSE).await;
            }
            if let Behavior::EarlyReset(time) | Behavior::EarlyClose(time) = self.behavior()
                && !is_call
            {
                self.break_early(stream, &request, time).await;
                return;
            }
            if !is_call && self.leaves_unread(stream, &request).await {
                return;
            }
            if !matches!(read_body(stream, &mut rest, &mut request).await, Ok(true)) {
                return;
            }
            let id = request.header("x-mastichinge-request-id").to_owned();
            let done = match request.path() {
                HEALTH_PATH => self.check_health(stream).await,
                "/report" | "/order" if self.answers_no_calls() => self.refuse_call(stream).await,
                "/report" => self.report(stream, &earlier).await,
                "/order" => self.order(stream, &request, &earlier).await,
                _ => self.run_request(stream, request, &earlier).await,
            };
            if done.is_err() {
                return;
            }
            if !is_call {
                earlier = id;
            } else if matches!(self.behavior(), Behavior::LateRejectionAfterCall(_)) {
                earlier = "call".to_owned();
            }
        }
    }

    /// Adds a header to all responses from now on.
    pub fn add_header(&self, name: &'static str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.headers.push((name, value.to_owned()));
    }

    /// Removes the added headers from the responses that follow.
    pub fn clear_headers(&self) {
        self.state.lock().unwrap().headers.clear();
    }

    /// Returns the headers of all responses.
    fn headers(&self) -> Vec<(&'static str, String)> {
        self.state.lock().unwrap().headers.clone()
    }

    /// Writes a response with the headers of all responses.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let added = self.headers();
        let added = added.iter().map(|(name, value)| (*name, value.as_str()));
        let headers: Vec<_> = headers.iter().copied().chain(added).collect();
        write_response(stream, status, &headers, body).await
    }

    fn behavior(&self) -> Behavior {
        self.state.lock().unwrap().behavior
    }

    /// Sends the correct answer to a request that is not for a stream.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
    ) -> std::io::Result<()> {
        let id = request.header("x-mastichinge-request-id");
        let body = format!("answer to {id}");
        self.respond(stream, 200, &signed(id), body.as_bytes())
            .await
    }

    /// Sends a response that is late: the next request has arrived.
    async fn late_response(
        &self,
        stream: &mut TcpStream,
        status: u16,
        headers: &[(&str, &str)],
    ) -> std::io::Result<()> {
        self.state.lock().unwrap().late_responses += 1;
        self.respond(stream, status, headers, b"late").await
    }

    async fn check_health(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        self.state.lock().unwrap().health_checks += 1;
        let headers = [("X-Mastichinge-Instance-Id", self.id.as_str())];
        self.respond(stream, 200, &headers, b"").await
    }

    /// Counts a call; returns whether the engine gives it no whole successful response.
    fn answers_no_calls(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        let fails = matches!(
            state.behavior,
            Behavior::RefusesCalls | Behavior::BreaksCalls
        );
        state.failed_calls += usize::from(fails);
        fails
    }

    /// Responds to a call with 503, or only with the head of a response.
    async fn refuse_call(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        if self.behavior() == Behavior::RefusesCalls {
            return self.respond(stream, 503, &[], b"").await;
        }
        let mut head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n".to_owned();
        for (name, value) in self.headers() {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        stream.write_all((head + "\r\n").as_bytes()).await?;
        self.wait_for_close(stream, "").await
    }

    async fn report(&self, stream: &mut TcpStream, earlier: &str) -> std::io::Result<()> {
        if self.behavior() == Behavior::LateBeforeReport && !earlier.is_empty() {
            self.late_response(stream, 200, &signed(earlier)).await?;
        }
        let report = {
            let state = self.state.lock().unwrap();
            let models: Vec<Value> = state.models.iter().map(model_json).collect();
            json!({"stage": "both", "models": models, "inFlight": false,
                "seq": state.accepted_orders, "queued": 0, "active": 0, "born": state.born})
        };
        self.respond(stream, 200, &[], report.to_string().as_bytes())
            .await
    }

    async fn order(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
        earlier: &str,
    ) -> std::io::Result<()> {
        if self.behavior() == Behavior::LateAnswer && !earlier.is_empty() {
            self.late_response(stream, 200, &signed(earlier)).await?;
        }
        let order: Value = serde_json::from_slice(&request.body).unwrap();
        let accepted = {
            let mut state = self.state.lock().unwrap();
            let accepted = order["expected"]
                .as_u64()
                .is_none_or(|n| n == state.accepted_orders);
            if accepted {
                state.accepted_orders += 1;
                let model = order["model"].as_str().unwrap().to_owned();
                match order["op"].as_str().unwrap() {
                    "load" => state.models.push(model),
                    _ => state.models.retain(|m| *m != model),
                }
            }
            state.received_orders.push(order);
            accepted
        };
        self.respond(stream, if accepted { 202 } else { 409 }, &[], b"")
            .await
    }
}

fn model_json(model: &String) -> Value {
    json!({"name": model, "version": 1, "adapters": []})
}

/// Returns the headers of an answer to the request `id`.
fn signed(id: &str) -> [(&str, &str); 2] {
    [
        ("X-Mastichinge-Request-Id", id),
        ("X-Mastichinge-Server-Stamp", "stamp"),
    ]
}
