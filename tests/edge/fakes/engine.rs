//! Fake engine that answers on a raw socket, so that it can break the protocol.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::store::Store;
use super::{Framing, ReceivedRequest, read_body, read_head, runtime, write_response};

/// How an engine answers requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// Answers correctly.
    #[default]
    Correct,
    /// Resets the connection after reading the request.
    Reset,
    /// Resets after this many events, in the middle of the next.
    ResetAfter(u64),
    /// Ends streams in order after this many events, in the middle of the next.
    EndInside(u64),
    /// Ends streams in order after this many events.
    EndAfter(u64),
    /// Pauses streams after this many events for [`PREEMPTION`].
    PauseAfter(u64),
    /// Reads the next request, then stalls for [`STALL`] with all its responses and goes on.
    StallAtRequest,
    /// Stalls for [`STALL`] with all its responses once a stream has this many events, and
    /// goes on.
    StallAfter(u64),
    /// Never answers.
    Silent,
    /// Answers without a length and resets in the middle.
    UnframedReset,
    /// Answers without a length and closes the connection.
    Unframed,
    /// Sends a second response after each response.
    Extra,
    /// Rejects every request without running it.
    Full,
    /// Rejects every request without running it or echoing its id.
    FullWithoutId,
    /// Runs every request. On a connection that has carried another, a late rejection
    /// with this status and without an id comes first.
    LateRejection(u16),
    /// Rejects a request when it first comes, and runs it when it comes again. If it
    /// comes again on the same connection, the rejection is repeated first.
    RepeatedRejection,
    /// Runs every request, but answers with a rejection of another.
    RejectsAnother,
    /// Runs every request and answers with this status.
    Answers(u16),
    /// Answers orders correctly. On a connection that has carried a request, a late
    /// answer to that request comes first.
    LateAnswer,
    /// Answers before it reads the body, and reads the body later.
    Early,
    /// Answers 500.
    Failing,
    /// Sends bytes without end at this place, until the connection closes.
    Endless(Place),
    /// Answers with this number of bytes in a chunk, and half of it as the length.
    TwoLengths(usize),
    /// Answers with a long length, sends a part of the body, and then nothing.
    LongSilent,
}

/// Where an engine sends bytes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In place of a response.
    Garbage,
    /// In the status line.
    StatusLine,
    /// In a line of a head.
    HeaderLine,
    /// Lines of a head.
    HeaderLines,
    /// Informational responses before the response.
    Informational,
    /// In a body without length or chunks.
    Body,
    /// In one chunk of a body.
    Chunk,
    /// Chunks of a body.
    Chunks,
    /// In the extension of a chunk.
    ChunkExtension,
    /// Lines of trailers.
    Trailers,
    /// Events of a stream.
    Events,
    /// The same event of a stream again and again.
    RepeatedEvent,
    /// After a complete response.
    AfterResponse,
}

impl Place {
    /// Returns the bytes that come once, and those that come without end.
    fn bytes(self, id: &str) -> (String, &'static str) {
        const HEAD: &str = "HTTP/1.1 200 OK\r\n";
        let signed = format!(
            "{HEAD}X-Mastichinge-Request-Id: {id}\r\nX-Mastichinge-Server-Stamp: stamp\r\n"
        );
        let chunked = format!("{signed}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Place::Garbage => (String::new(), "\0\x01garbage"),
            Place::StatusLine => ("HTTP/1.1 200 ".to_owned(), "OK "),
            Place::HeaderLine => (format!("{signed}X-Long: "), "long "),
            Place::HeaderLines => (signed, "X-More: more\r\n"),
            Place::Informational => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Place::Body => (format!("{signed}\r\n"), "no answer "),
            Place::Chunk => (format!("{chunked}7fffffffffffffff\r\n"), "no answer "),
            Place::Chunks => (chunked, "1e\r\nno answer no answer no answer \r\n"),
            Place::ChunkExtension => (format!("{chunked}3;"), "extension"),
            Place::Trailers => (format!("{chunked}0\r\n"), "X-More: more\r\n"),
            Place::Events => (format!("{signed}\r\n"), "data: more\n\n"),
            Place::RepeatedEvent => (format!("{signed}\r\n"), "id: 1\ndata: more\n\n"),
            Place::AfterResponse => (format!("{signed}Content-Length: 0\r\n\r\n"), "more "),
        }
    }
}

#[derive(Default)]
struct EngineState {
    behavior: Behavior,
    /// Headers of all responses.
    headers: Vec<(&'static str, String)>,
    /// Start time, ms since the Unix epoch.
    born: u64,
    framing: Framing,
    /// When the engine goes on writing responses.
    stalled_until: Option<Instant>,
    models: Vec<String>,
    /// Further ids that the engine answers to.
    aliases: Vec<String>,
    /// Number of accepted orders.
    accepted_orders: u64,
    arrivals: Vec<ReceivedRequest>,
    /// Ids of the requests that began to run, once for each time.
    runs: Vec<String>,
    /// Ids of the requests rejected by [`Behavior::RepeatedRejection`].
    rejected: Vec<String>,
    /// Number of late responses sent.
    late_responses: u64,
    /// Size of each response without end when its connection closed, bytes.
    endless_bytes: Vec<usize>,
    /// Requests whose connection closed while they ran.
    cancelled: Vec<String>,
    received_orders: Vec<Value>,
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
    state: Arc<Mutex<EngineState>>,
}

/// Number of events in a stream.
pub const EVENTS: u64 = 5;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(15);
/// Pause of a preempted stream; longer than a daemon waits for the next event before it
/// looks for another engine (three gaps of the routes).
pub const PREEMPTION: Duration = Duration::from_millis(1_600);

/// Time for which an engine stalls; as long as the pause of a preempted stream.
pub const STALL: Duration = PREEMPTION;

impl Engine {
    /// Starts an engine that has loaded `models` and registers it.
    pub fn start(store: &Store, id: &str, service: &str, models: &[&str]) -> Self {
        let (sender, receiver) = std::sync::mpsc::channel();
        let state = EngineState {
            models: models.iter().map(|m| (*m).to_owned()).collect(),
            born: 1_000,
            ..EngineState::default()
        };
        let (id, service, store) = (id.to_owned(), service.to_owned(), store.clone());
        runtime().spawn(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let engine = Engine {
                id,
                addr: listener.local_addr().unwrap(),
                service,
                store,
                sequence: Arc::default(),
                dead: Arc::default(),
                state: Arc::new(Mutex::new(state)),
            };
            engine.register("ready");
            sender.send(engine.clone()).unwrap();
            loop {
                let dead = engine.dead.clone();
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap().0,
                    () = dead.notified() => return,
                };
                let engine = engine.clone();
                tokio::spawn(async move {
                    let mut stream = stream;
                    tokio::select! {
                        () = engine.clone().serve(&mut stream) => {}
                        // Dropping the stream closes it, as when the process dies.
                        () = dead.notified() => {}
                    }
                });
            }
        });
        receiver.recv().unwrap()
    }

    /// Writes the engine's entry with this state to the store.
    pub fn register(&self, state: &str) {
        self.register_as(&self.id, state);
    }

    /// Registers the engine under a further id at its address, as when it starts again.
    pub fn add_alias(&self, id: &str) {
        self.state.lock().unwrap().aliases.push(id.to_owned());
        self.register_as(id, "ready");
    }

    fn register_as(&self, id: &str, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (models, born): (Vec<Value>, u64) = {
            let state = self.state.lock().unwrap();
            let models = state.models.iter().map(model_json).collect();
            (models, state.born)
        };
        let entry = json!({"service": self.service, "addr": self.addr.to_string(),
            "zone": "north", "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
            "stage": "both", "models": models, "seq": sequence, "born": born});
        self.store.put("servers", id, &entry);
    }

    /// Closes all connections and accepts no more.
    pub fn crash(&self) {
        self.dead.notify_waiters();
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

    pub fn cancelled(&self) -> Vec<String> {
        self.state.lock().unwrap().cancelled.clone()
    }

    /// Stalls the engine: it reads requests but writes no responses for [`STALL`].
    fn stall(&self) {
        let mut state = self.state.lock().unwrap();
        state.behavior = Behavior::Correct;
        state.stalled_until = Some(Instant::now() + STALL);
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

    /// Returns how often a request began to run.
    pub fn runs(&self, id: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.runs.iter().filter(|r| *r == id).count()
    }

    /// Returns the number of late responses sent.
    pub fn late_responses(&self) -> u64 {
        self.state.lock().unwrap().late_responses
    }

    /// Returns the size of each response without end whose connection has closed, bytes.
    pub fn endless_bytes(&self) -> Vec<usize> {
        self.state.lock().unwrap().endless_bytes.clone()
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
            let is_call = ["/report", "/order"].contains(&request.path());
            if !is_call && self.behavior() == Behavior::Early {
                if self.answer(stream, &request).await.is_err() {
                    return;
                }
                sleep(EVENT_PAUSE).await;
            }
            if !matches!(read_body(stream, &mut rest, &mut request).await, Ok(true)) {
                return;
            }
            let id = request.header("x-mastichinge-request-id").to_owned();
            let done = match request.path() {
                "/report" => self.report(stream).await,
                "/order" => self.order(stream, &request, &earlier).await,
                _ => self.run_request(stream, request, &earlier).await,
            };
            if done.is_err() {
                return;
            }
            if !is_call {
                earlier = id;
            }
        }
    }

    /// Starts a new lifetime under the same id, without added headers, and registers it.
    pub fn start_again(&self) {
        {
            let mut state = self.state.lock().unwrap();
            state.born += 1_000;
            state.headers.clear();
        }
        self.register("ready");
    }

    /// Adds a header to all responses from now on.
    pub fn add_header(&self, name: &'static str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.headers.push((name, value.to_owned()));
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

    async fn report(&self, stream: &mut TcpStream) -> std::io::Result<()> {
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

    async fn run_request(
        &self,
        stream: &mut TcpStream,
        request: ReceivedRequest,
        earlier: &str,
    ) -> std::io::Result<()> {
        let id = request.header("x-mastichinge-request-id").to_owned();
        let model = request.header("x-mastichinge-model").to_owned();
        let expected = request.header("x-mastichinge-expect-instance").to_owned();
        let after = request.header("last-event-id").parse().unwrap_or(0);
        let is_stream = request.path().contains("stream");
        let (behavior, loaded, rejects_first) = {
            let mut state = self.state.lock().unwrap();
            let loaded = model.is_empty() || state.models.contains(&model);
            state.arrivals.push(request.clone());
            let rejects_first =
                state.behavior == Behavior::RepeatedRejection && !state.rejected.contains(&id);
            if rejects_first {
                state.rejected.push(id.clone());
            }
            (state.behavior, loaded, rejects_first)
        };
        let signed = signed(&id);
        let not_run = [
            ("X-Mastichinge-Request-Id", id.as_str()),
            ("X-Mastichinge-Not-Run", "1"),
        ];
        let is_expected =
            expected == self.id || self.state.lock().unwrap().aliases.contains(&expected);
        if !is_expected || !loaded {
            return self.respond(stream, 421, &not_run, b"").await;
        }
        let rejects = matches!(behavior, Behavior::Full | Behavior::FullWithoutId) || rejects_first;
        if !rejects {
            self.state.lock().unwrap().runs.push(id.clone());
        }
        if behavior == Behavior::StallAtRequest {
            self.stall();
        }
        if behavior != Behavior::Silent {
            self.wait_for_stall().await;
        }
        if rejects {
            let headers = match behavior {
                Behavior::FullWithoutId => &not_run[1..],
                _ => &not_run[..],
            };
            return self.respond(stream, 503, headers, b"full").await;
        }
        match behavior {
            Behavior::Reset => return reset(stream),
            Behavior::Silent => return self.wait_for_close(stream, &id).await,
            Behavior::LateRejection(status) if !earlier.is_empty() => {
                self.late_response(stream, status, &not_run[1..]).await?;
            }
            Behavior::RepeatedRejection if earlier == id => {
                self.late_response(stream, 503, &not_run).await?;
            }
            Behavior::RejectsAnother => {
                let another = [("X-Mastichinge-Request-Id", "another"), not_run[1]];
                return self.respond(stream, 503, &another, b"full").await;
            }
            Behavior::Answers(status) => {
                return self.respond(stream, status, &signed, b"answer").await;
            }
            Behavior::Early => return Ok(()),
            Behavior::Failing => return self.respond(stream, 500, &signed, b"failed").await,
            Behavior::Endless(place) => return self.send_endless(stream, place, &id).await,
            Behavior::TwoLengths(size) => {
                let response = format!(
                    "HTTP/1.1 200 OK\r\nX-Mastichinge-Request-Id: {id}\r\n\
                     X-Mastichinge-Server-Stamp: stamp\r\nContent-Length: {}\r\n\
                     Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n{}\r\n0\r\n\r\n",
                    size / 2,
                    "x".repeat(size)
                );
                return stream.write_all(response.as_bytes()).await;
            }
            Behavior::LongSilent => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Mastichinge-Request-Id: {id}\r\n\
                     X-Mastichinge-Server-Stamp: stamp\r\nContent-Length: 1000000\r\n\r\npart"
                );
                stream.write_all(head.as_bytes()).await?;
                return self.wait_for_close(stream, &id).await;
            }
            Behavior::UnframedReset | Behavior::Unframed => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Mastichinge-Request-Id: {id}\r\n\
                     X-Mastichinge-Server-Stamp: stamp\r\n\r\npart"
                );
                stream.write_all(head.as_bytes()).await?;
                stream.flush().await?;
                if behavior == Behavior::Unframed {
                    stream.write_all(b" and rest").await?;
                    stream.shutdown().await?;
                    return Err(std::io::ErrorKind::BrokenPipe.into());
                }
                sleep(EVENT_PAUSE).await;
                return reset(stream);
            }
            _ => {}
        }
        if !is_stream {
            self.answer(stream, &request).await?;
            if behavior == Behavior::Extra {
                let body = format!("second answer to {id}");
                self.respond(stream, 200, &signed, body.as_bytes()).await?;
            }
            return Ok(());
        }
        self.stream(stream, &id, after, behavior).await
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        after: u64,
        behavior: Behavior,
    ) -> std::io::Result<()> {
        let framing = self.state.lock().unwrap().framing;
        let mut headers = framing.header().to_owned();
        for (name, value) in self.headers() {
            headers.push_str(&format!("{name}: {value}\r\n"));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             X-Mastichinge-Request-Id: {id}\r\nX-Mastichinge-Server-Stamp: stamp\r\n\
             {headers}\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for event in after + 1..=EVENTS {
            let text = format!("id: {event}\ndata: token {event}\n\n");
            let half = framing.frame(&text[..text.len() / 2]);
            if behavior == Behavior::ResetAfter(event - 1) {
                stream.write_all(half.as_bytes()).await?;
                sleep(EVENT_PAUSE).await;
                return reset(stream);
            }
            if behavior == Behavior::EndInside(event - 1) {
                stream.write_all(half.as_bytes()).await?;
                return framing.end(stream).await;
            }
            if behavior == Behavior::EndAfter(event - 1) {
                return framing.end(stream).await;
            }
            if behavior == Behavior::PauseAfter(event - 1) {
                sleep(PREEMPTION).await;
            }
            let behavior = self.state.lock().unwrap().behavior;
            if behavior == Behavior::StallAfter(event - 1) {
                self.stall();
            }
            self.wait_for_stall().await;
            let framed = framing.frame(&text);
            if stream.write_all(framed.as_bytes()).await.is_err() {
                self.state.lock().unwrap().cancelled.push(id.to_owned());
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            sleep(EVENT_PAUSE).await;
        }
        framing.end(stream).await
    }

    /// Sends bytes without end until the connection closes.
    async fn send_endless(
        &self,
        stream: &mut TcpStream,
        place: Place,
        id: &str,
    ) -> std::io::Result<()> {
        const REPEATS: usize = 1_024;
        let (start, repeated) = place.bytes(id);
        let block = repeated.repeat(REPEATS);
        let mut sent = start.len();
        let mut outcome = stream.write_all(start.as_bytes()).await;
        while outcome.is_ok() {
            outcome = stream.write_all(block.as_bytes()).await;
            sent += block.len();
        }
        self.state.lock().unwrap().endless_bytes.push(sent);
        outcome
    }

    /// Waits for the connection to close without answering.
    async fn wait_for_close(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let mut byte = [0];
        // Any result other than a byte means that the connection is closed.
        if !matches!(stream.read(&mut byte).await, Ok(1)) {
            self.state.lock().unwrap().cancelled.push(id.to_owned());
        }
        Err(std::io::ErrorKind::BrokenPipe.into())
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

/// Ends a connection with a reset.
fn reset(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    Err(std::io::ErrorKind::ConnectionReset.into())
}
