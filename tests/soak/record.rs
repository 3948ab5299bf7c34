//! What callers and engines saw, by the id of the caller's attempt.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine_faults::EngineFault;
use crate::links::Link;
use crate::parts::is_whole;
use crate::relay::LinkFault;

/// Time after which a desired state is in force everywhere.
const APPLY_TIME: Duration = Duration::from_secs(4);

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Kind {
    /// May run more than once.
    Lookup,
    /// May run once only.
    Booking,
    /// Stream that another engine may resume.
    Stream,
    /// Stream that may run once only.
    RigidStream,
}

impl Kind {
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::RigidStream)
    }

    /// Returns whether a request may run once only.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Booking | Kind::RigidStream)
    }
}

/// A response as a caller received it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub id: String,
    pub stamp: String,
    pub retry_after: Option<Duration>,
    /// Whether it says that its engine leaves.
    pub leaving: bool,
    /// Requests a second that its engine takes from all daemons.
    pub rate: Option<f64>,
    /// When its head had arrived, since the start of the run.
    pub head_at: Duration,
    pub closes: bool,
    pub body: Vec<u8>,
    pub complete: bool,
}

/// How an attempt of a caller ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(Answer),
    /// The connection ended without a response.
    Closed,
    /// No response in time.
    TimedOut,
    /// The caller disconnected early.
    Left,
    /// No connection, or not the whole request, could be made.
    NotSent,
}

/// One attempt of a caller; times are since the start of the run.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub kind: Kind,
    /// Number of the additional route that it asks for.
    pub extra_route: Option<u64>,
    pub daemon: usize,
    /// Whether the connection had served a request before.
    pub reused: bool,
    pub started_at: Duration,
    /// When the last byte was written.
    pub sent_at: Option<Duration>,
    pub ended_at: Duration,
    pub time_limit: Duration,
    /// The stream that it takes up again, if any.
    pub take_up: Option<TakeUp>,
    /// Whether its caller closed the connection after a part of the events.
    pub broken_off: bool,
    pub outcome: Outcome,
}

/// A stream that is taken up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeUp {
    /// Id of the attempt that brought its first event.
    pub first: String,
    /// Event after which it goes on.
    pub after: u64,
}

/// What an engine did with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Arrived(Option<EngineFault>),
    /// The run started; holds whether the request is as its caller sent it.
    Began(bool),
    /// The run ended.
    Ended,
    /// A response of this status was sent.
    Answered(u16),
    /// A response asked for a pause.
    Paused(Duration),
    /// An extra response to an earlier request was sent on the connection of this one.
    Extra(EngineFault),
    /// The engine broke the connection off or was restarted.
    Cut,
}

#[derive(Clone, Debug)]
pub struct EngineStep {
    /// Lifetime of the engine.
    pub engine: String,
    pub at: Duration,
    pub step: Step,
}

/// The time of a run at an engine.
#[derive(Clone, Debug)]
pub struct RunSpan {
    /// Id of the caller's attempt.
    pub id: String,
    /// Lifetime of the engine.
    pub engine: String,
    /// When the request arrived there.
    pub arrived_at: Duration,
    pub start: Duration,
    /// Absent while it runs.
    pub end: Option<Duration>,
    /// Event after which it began, in a stream.
    pub after: u64,
}

/// A span in which a daemon was stopped, killed or shut down.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub daemon: usize,
    pub start: Duration,
    pub end: Duration,
    /// Whether it is a shutdown by SIGTERM within the grace period.
    pub planned: bool,
}

/// A span in which a link had a fault.
#[derive(Clone, Copy, Debug)]
pub struct LinkSpan {
    pub link: Link,
    pub fault: LinkFault,
    pub start: Duration,
    pub end: Duration,
}

/// A span in which an engine named a rate in all answers.
#[derive(Clone, Debug)]
pub struct RateSpan {
    /// Lifetime of the engine.
    pub engine: String,
    /// Requests a second.
    pub rate: f64,
    pub start: Duration,
    pub end: Duration,
}

/// An order that an engine got.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    /// Lifetime of the engine.
    pub engine: String,
    pub holder: String,
    pub fence: u64,
}

/// A version of the desired state.
#[derive(Clone, Copy, Debug)]
pub struct DesiredWrite {
    pub at: Duration,
    /// Number of additional routes.
    pub extra_routes: u64,
}

/// The end of an engine that crashed on a part of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct PartCrash {
    pub part: u64,
    pub at: Duration,
}

/// From when on an engine serves with a version of its software, or does not serve.
#[derive(Clone, Debug)]
pub struct ServiceChange {
    /// Name of the engine.
    pub engine: String,
    pub at: Duration,
    pub software: Option<String>,
}

/// Everything that is checked after a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub attempts: BTreeMap<String, Attempt>,
    pub steps: BTreeMap<String, Vec<EngineStep>>,
    /// Attempts of each request of a caller, by the first of them.
    pub tries: BTreeMap<String, Vec<String>>,
    pub runs: Vec<RunSpan>,
    pub spans: Vec<Span>,
    pub links: Vec<LinkSpan>,
    pub rates: Vec<RateSpan>,
    pub part_crashes: Vec<PartCrash>,
    pub orders: Vec<ReceivedOrder>,
    pub services: Vec<ServiceChange>,
    pub desired: Vec<DesiredWrite>,
    /// Customers that engines were told, by attempt, with whether they saw a key.
    pub told: BTreeMap<String, Vec<(String, bool)>>,
    /// When a customer's key was taken away, in runs with customers.
    pub key_taken_at: Option<Duration>,
    /// Spans in which the store did not answer as usual.
    pub store_spans: Vec<(Duration, Duration)>,
    /// Idle timeouts of callers' connections, with the time at which they were written.
    pub idle_limits: Vec<(Duration, Duration)>,
}

impl History {
    pub fn steps(&self, id: &str) -> &[EngineStep] {
        self.steps.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns all attempts of the request to which an attempt belongs.
    pub fn tries_of(&self, name: &str) -> Vec<String> {
        let mut tries = self.tries.values();
        let found = tries.find(|names| names.iter().any(|n| n == name));
        found.cloned().unwrap_or_else(|| vec![name.to_owned()])
    }

    /// Returns how often a request ran.
    pub fn runs(&self, id: &str) -> usize {
        let steps = self.steps(id).iter();
        steps.filter(|s| matches!(s.step, Step::Began(_))).count()
    }
}

/// Records the end of a run when dropped.
pub struct RunGuard {
    recorder: Arc<Recorder>,
    index: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.recorder.now();
        let mut history = self.recorder.history.lock().unwrap();
        history.runs[self.index].end = Some(now);
    }
}

/// Collects the history of a run.
pub struct Recorder {
    started_at: Instant,
    history: Mutex<History>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder {
            started_at: Instant::now(),
            history: Mutex::default(),
        }
    }
}

impl Recorder {
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn add_attempt(&self, id: &str, attempt: Attempt) {
        let mut history = self.history.lock().unwrap();
        history.attempts.insert(id.to_owned(), attempt);
    }

    pub fn add_step(&self, id: &str, engine: &str, step: Step) {
        let step = EngineStep {
            engine: engine.to_owned(),
            at: self.now(),
            step,
        };
        let mut history = self.history.lock().unwrap();
        history.steps.entry(id.to_owned()).or_default().push(step);
    }

    /// Adds what an engine was told of the customer of an attempt, and whether it saw a key.
    pub fn add_told(&self, id: &str, customer: &str, has_key: bool) {
        let mut history = self.history.lock().unwrap();
        let told = history.told.entry(id.to_owned()).or_default();
        told.push((customer.to_owned(), has_key));
    }

    /// Records that a customer's key has been taken away.
    pub fn set_key_taken(&self) {
        let now = self.now();
        self.history.lock().unwrap().key_taken_at = Some(now);
    }

    /// Adds an attempt of a caller's request, before it is sent.
    pub fn add_try(&self, booking: &str, name: &str) {
        let mut history = self.history.lock().unwrap();
        let tries = history.tries.entry(booking.to_owned()).or_default();
        tries.push(name.to_owned());
    }

    /// Returns whether a body is that of the request to which an attempt belongs.
    pub fn is_body_of(&self, name: &str, body: &[u8]) -> bool {
        if is_whole(name) {
            return body == request_body(name);
        }
        let line = body.split(|byte| *byte == b'\n').next();
        let line = line.and_then(|line| std::str::from_utf8(line).ok());
        let Some(booking) = line.and_then(|line| line.strip_prefix("body of ")) else {
            return false;
        };
        let history = self.history.lock().unwrap();
        let tries = history.tries.get(booking);
        let is_try = tries.is_some_and(|tries| tries.iter().any(|n| n == name));
        is_try && body == request_body(booking)
    }

    pub fn add_link_span(&self, span: LinkSpan) {
        self.history.lock().unwrap().links.push(span);
    }

    /// Adds a run that begins; it ends when the guard is dropped.
    pub fn begin_run(self: &Arc<Self>, run: RunSpan) -> RunGuard {
        let mut history = self.history.lock().unwrap();
        history.runs.push(run);
        RunGuard {
            recorder: self.clone(),
            index: history.runs.len() - 1,
        }
    }

    pub fn add_span(&self, span: Span) {
        self.history.lock().unwrap().spans.push(span);
    }

    pub fn add_rate(&self, span: RateSpan) {
        self.history.lock().unwrap().rates.push(span);
    }

    pub fn add_part_crash(&self, part: u64) {
        let at = self.now();
        let mut history = self.history.lock().unwrap();
        history.part_crashes.push(PartCrash { part, at });
    }

    pub fn add_order(&self, order: ReceivedOrder) {
        self.history.lock().unwrap().orders.push(order);
    }

    /// Adds a change of what an engine serves, unless it is none.
    pub fn add_service(&self, engine: &str, software: Option<&str>) {
        let at = self.now();
        let mut history = self.history.lock().unwrap();
        let last = history.services.iter().rfind(|s| s.engine == engine);
        if last.is_some_and(|s| s.software.as_deref() == software) {
            return;
        }
        history.services.push(ServiceChange {
            engine: engine.to_owned(),
            at,
            software: software.map(str::to_owned),
        });
    }

    pub fn add_desired(&self, extra_routes: u64) {
        let at = self.now();
        let mut history = self.history.lock().unwrap();
        history.desired.push(DesiredWrite { at, extra_routes });
    }

    pub fn add_store_span(&self, start: Duration) {
        let span = (start, self.now());
        self.history.lock().unwrap().store_spans.push(span);
    }

    pub fn add_idle_limit(&self, limit: Duration) {
        let mut history = self.history.lock().unwrap();
        history.idle_limits.push((self.now(), limit));
    }

    /// Returns the shortest idle timeout that may be in force.
    pub fn idle_limit(&self) -> Duration {
        let history = self.history.lock().unwrap();
        let mut limits = history.idle_limits.iter().rev();
        let mut shortest = Duration::MAX;
        for (at, limit) in &mut limits {
            shortest = shortest.min(*limit);
            if self.now().saturating_sub(*at) > APPLY_TIME {
                break;
            }
        }
        shortest
    }

    pub fn history(&self) -> History {
        self.history.lock().unwrap().clone()
    }
}

/// Returns the name of an attempt that is sent under the id of the first one.
pub fn repeated_name(id: &str, retry: u32) -> String {
    format!("{id}+{retry}")
}

/// Returns the id under which an attempt is sent.
pub fn sent_id(name: &str) -> &str {
    name.split_once('+').map_or(name, |(id, _)| id)
}

/// Returns a number that depends on the id alone, for sizes that both sides know.
pub fn id_number(id: &str) -> usize {
    let mix = |sum: u32, byte: u8| sum.wrapping_mul(31).wrapping_add(u32::from(byte));
    id.bytes().fold(7, mix) as usize
}

/// Returns the body of the response to a request.
pub fn answer_body(id: &str) -> Vec<u8> {
    format!("answer to {id}\n")
        .repeat(1 + id_number(id) % 200)
        .into_bytes()
}

/// Returns the body of all attempts of a request.
pub fn request_body(booking: &str) -> Vec<u8> {
    if is_whole(booking) {
        return b"body of the same request\n".to_vec();
    }
    let count = match id_number(booking) % 10 {
        0 => 1_500,
        n => n,
    };
    format!("body of {booking}\n").repeat(count).into_bytes()
}

/// Returns the number of events in the stream for a request.
pub fn event_count(id: &str) -> u64 {
    5 + (id_number(id) % 10) as u64
}

/// Returns one event of the stream for a request, as a version of the software writes it.
pub fn event_text(id: &str, event: u64, software: &str) -> String {
    format!("id: {event}\ndata: token {event} of {id} at {software}\n\n")
}
