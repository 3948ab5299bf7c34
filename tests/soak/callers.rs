//! Callers: they send requests of all kinds and retry as the platform's callers do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::customers::Customer;
use crate::http::{event_id, read_answer, whole_events};
use crate::parts::{crashing_suffix, is_whole, prefix_header};
use crate::record::{
    Attempt, Kind, Outcome, Recorder, TakeUp, repeated_name, request_body, sent_id,
};
use crate::site::{extra_prefix, prefix};

/// Time limits of requests, ms.
const TIME_LIMITS_MS: [u64; 3] = [1_500, 4_000, 8_000];
/// Time that a caller waits beyond its time limit for the connection to end.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of the idle timeout after which a connection is no longer used.
const IDLE_SHARE: f64 = 0.8;
/// Requests of a caller of which the last asks for an additional route.
const PROBE_PERIOD: u64 = 8;
/// Additional routes that are asked for in turn. The last one never exists.
const PROBED_ROUTES: [u64; 5] = [0, 3, 0, 1, 6];
/// Requests of a caller of which the last has a part that crashes engines, if it is for a stream.
const CRASHING_PERIOD: u64 = 3;
/// Share of the streams that are broken off by their callers, and taken up again.
const BREAK_RATE: f64 = 0.3;
/// Time for which a caller takes a stream up again and again.
const MAX_TAKE_UP_TIME: Duration = Duration::from_secs(6);
/// Pause before a refused caller takes a stream up again, at least.
const TAKE_UP_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of retries of a request.
const MAX_RETRIES: u32 = 3;
/// Statuses which promise that the request has not run and will not run.
pub const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What all callers share.
pub struct CallerSetup {
    pub seed: u64,
    pub addrs: Vec<SocketAddr>,
    pub recorder: Arc<Recorder>,
    /// Whether some requests ask for additional routes.
    pub probes_routes: bool,
    /// From when on some prompts have parts that crash engines.
    pub crashing_from: Option<Duration>,
    /// Whether it is one request that does, again and again, in their place.
    pub whole_request: bool,
    /// Whether streams are broken off, and taken up again.
    pub takes_up: bool,
    /// Whether callers have keys of customers.
    pub customers: bool,
    /// Whether the id is kept over all tries of a request that may run once only.
    pub keeps_id: bool,
    pub stop: AtomicBool,
}

/// The name of an attempt, and of the first attempt of its request.
struct Try {
    name: String,
    booking: Arc<str>,
}

/// What an attempt asks for.
struct Target {
    kind: Kind,
    extra_route: Option<u64>,
    /// Time limit of the request.
    limit: Duration,
    /// Stream that it takes up again.
    take_up: Option<TakeUp>,
}

/// A connection to a daemon.
struct Connection {
    stream: TcpStream,
    daemon: usize,
    reused: bool,
    idle_since: Duration,
}

/// One caller.
pub struct Caller {
    setup: Arc<CallerSetup>,
    number: usize,
    rng: ChaCha8Rng,
    sent: u64,
    kept: Option<Connection>,
}

impl Caller {
    pub fn new(setup: &Arc<CallerSetup>, number: usize) -> Self {
        Caller {
            setup: setup.clone(),
            number,
            rng: ChaCha8Rng::seed_from_u64(setup.seed * 10_000 + number as u64),
            sent: 0,
            kept: None,
        }
    }

    /// Sends requests until the run ends.
    pub async fn run(mut self) {
        while !self.setup.stop.load(Ordering::SeqCst) {
            let pause = match self.rng.random_range(0..10) {
                0 => self.rng.random_range(200..3_500),
                _ => self.rng.random_range(0..60),
            };
            sleep(Duration::from_millis(pause)).await;
            self.request().await;
        }
    }

    /// Sends a request, and retries it while that is allowed.
    async fn request(&mut self) {
        let kind = match self.rng.random_range(0..20) {
            0..10 => Kind::Booking,
            10..14 => Kind::Lookup,
            14..17 => Kind::RigidStream,
            _ => Kind::Stream,
        };
        let is_probe = self.setup.probes_routes && self.sent % PROBE_PERIOD == PROBE_PERIOD - 1;
        let turn = (self.sent / PROBE_PERIOD) as usize % PROBED_ROUTES.len();
        let extra_route = is_probe.then_some(PROBED_ROUTES[turn]);
        let kind = match extra_route {
            Some(_) => Kind::Lookup,
            None => kind,
        };
        let limit = TIME_LIMITS_MS[self.rng.random_range(0..TIME_LIMITS_MS.len())];
        let limit = Duration::from_millis(limit);
        let started_at = self.setup.recorder.now();
        let mut booking: Option<Arc<str>> = None;
        for retry in 0..=MAX_RETRIES {
            let keeps = retry == 0 && self.rng.random_bool(0.8);
            let kept = self.kept.take().filter(|_| keeps);
            let idle_limit = self.setup.recorder.idle_limit().mul_f64(IDLE_SHARE);
            let now = self.setup.recorder.now();
            let kept = kept.filter(|c| now.saturating_sub(c.idle_since) < idle_limit);
            self.sent += 1;
            let mut id = format!("{:x}-{}-{}", self.setup.seed, self.number, self.sent);
            let crashes = self.setup.crashing_from.is_some_and(|from| now >= from);
            let is_due = crashes && self.sent.is_multiple_of(CRASHING_PERIOD);
            // The same request has the same path, and the body of its first try.
            let crashes = match (self.setup.whole_request, &booking) {
                (false, _) => is_due && kind.is_stream(),
                (true, None) => is_due && kind == Kind::Stream,
                (true, Some(first)) => is_whole(first),
            };
            if crashes {
                id.push_str(&crashing_suffix(self.number, self.setup.whole_request));
            }
            let booking = booking.get_or_insert_with(|| id.as_str().into()).clone();
            if retry > 0 && self.setup.keeps_id && kind.runs_once() {
                id = repeated_name(&booking, retry);
            }
            let attempt = Try { name: id, booking };
            let target = Target {
                kind,
                extra_route,
                limit,
                take_up: None,
            };
            let outcome = self.attempt(kept, target, &attempt).await;
            if self.setup.takes_up && kind == Kind::Stream {
                self.take_up(&attempt.name, &outcome, limit).await;
            }
            let is_late = self.setup.recorder.now() >= started_at + limit;
            let wait = match &outcome {
                Outcome::Answered(answer) if PROMISES.contains(&answer.status) => {
                    answer.retry_after.unwrap_or_default().min(limit / 3)
                }
                Outcome::Answered(answer) if answer.status < 500 && answer.complete => return,
                Outcome::Left => return,
                Outcome::NotSent => Duration::ZERO,
                _ if kind == Kind::Lookup => Duration::ZERO,
                _ if kind == Kind::Stream && !is_late && broken_after(&outcome).is_none() => {
                    Duration::ZERO
                }
                _ => return,
            };
            sleep(wait).await;
        }
    }

    /// Takes a stream up again that broke off after its first event, for as long as it breaks off.
    async fn take_up(&mut self, first: &str, outcome: &Outcome, limit: Duration) {
        let Some(mut after) = broken_after(outcome) else {
            return;
        };
        let started_at = self.setup.recorder.now();
        while self.setup.recorder.now() < started_at + MAX_TAKE_UP_TIME {
            self.sent += 1;
            let id = format!("{:x}-{}-{}", self.setup.seed, self.number, self.sent);
            let take_up = TakeUp {
                first: first.to_owned(),
                after,
            };
            let target = Target {
                kind: Kind::Stream,
                extra_route: None,
                limit,
                take_up: Some(take_up),
            };
            let attempt = Try {
                booking: id.as_str().into(),
                name: id,
            };
            let outcome = self.attempt(None, target, &attempt).await;
            match (&outcome, broken_after(&outcome)) {
                (_, Some(last)) => after = last,
                (Outcome::Answered(answer), None) if PROMISES.contains(&answer.status) => {
                    let wait = answer.retry_after.unwrap_or_default();
                    sleep(wait.clamp(TAKE_UP_PAUSE, MAX_TAKE_UP_TIME)).await;
                }
                (Outcome::NotSent, None) => sleep(TAKE_UP_PAUSE).await,
                _ => return,
            }
        }
    }

    /// Sends one attempt and records how it ended.
    async fn attempt(&mut self, kept: Option<Connection>, target: Target, names: &Try) -> Outcome {
        let started_at = self.setup.recorder.now();
        self.setup.recorder.add_try(&names.booking, &names.name);
        let kept = match kept {
            Some(kept) => Some(kept),
            None => self.connect().await,
        };
        let mut attempt = Attempt {
            kind: target.kind,
            extra_route: target.extra_route,
            daemon: kept.as_ref().map_or(usize::MAX, |c| c.daemon),
            reused: kept.as_ref().is_some_and(|c| c.reused),
            started_at,
            sent_at: None,
            ended_at: started_at,
            time_limit: target.limit,
            take_up: target.take_up,
            broken_off: false,
            outcome: Outcome::NotSent,
        };
        if let Some(connection) = kept {
            attempt.outcome = self.exchange(connection, &mut attempt, names).await;
        }
        attempt.ended_at = self.setup.recorder.now();
        let name = &names.name;
        self.setup.recorder.add_attempt(name, attempt.clone());
        attempt.outcome
    }

    async fn connect(&mut self) -> Option<Connection> {
        let daemon = self.rng.random_range(0..self.setup.addrs.len());
        let connecting = TcpStream::connect(self.setup.addrs[daemon]);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection {
            stream,
            daemon,
            reused: false,
            idle_since: Duration::ZERO,
        })
    }

    async fn exchange(
        &mut self,
        mut connection: Connection,
        attempt: &mut Attempt,
        names: &Try,
    ) -> Outcome {
        let leaves = self.rng.random_bool(0.05);
        let patience = match leaves {
            true => Duration::from_millis(self.rng.random_range(1..800)),
            false => attempt.time_limit + PATIENCE,
        };
        let prefix = match attempt.extra_route {
            Some(number) => extra_prefix(number),
            None => prefix(attempt.kind).to_owned(),
        };
        let breaks =
            self.setup.takes_up && attempt.kind == Kind::Stream && self.rng.random_bool(BREAK_RATE);
        let most_events = breaks.then(|| self.rng.random_range(1..5));
        let bytes = self.request_bytes(attempt, &prefix, names);
        let pieces = self.pieces(bytes.len());
        let recorder = self.setup.recorder.clone();
        let stream = &mut connection.stream;
        let sent_at = &mut attempt.sent_at;
        let exchange = async {
            let mut start = 0;
            for (end, pause) in pieces {
                if stream.write_all(&bytes[start..end]).await.is_err() {
                    break;
                }
                start = end;
                sleep(pause).await;
            }
            if start == bytes.len() {
                *sent_at = Some(recorder.now());
            }
            // Also after a failed write: the response may have come before.
            read_answer(stream, most_events, || recorder.now()).await
        };
        let outcome = timeout(patience, exchange).await;
        let answer = match outcome {
            Ok(Ok(answer)) => answer,
            // Not read: no connection, or bytes of the request that the connection did not take.
            Ok(Err(_)) if attempt.sent_at.is_none() => return Outcome::NotSent,
            Ok(Err(_)) => return Outcome::Closed,
            Err(_) if leaves => return Outcome::Left,
            Err(_) => return Outcome::TimedOut,
        };
        let count = whole_events(&answer.body).len();
        attempt.broken_off = !answer.complete && most_events.is_some_and(|most| count >= most);
        if answer.complete && !answer.closes && attempt.sent_at.is_some() {
            connection.reused = true;
            connection.idle_since = self.setup.recorder.now();
            self.kept = Some(connection);
        }
        Outcome::Answered(answer)
    }

    fn request_bytes(&mut self, attempt: &Attempt, prefix: &str, names: &Try) -> Vec<u8> {
        let Try { name, booking } = names;
        let id = sent_id(name);
        let (kind, limit) = (attempt.kind, attempt.time_limit);
        let mut head = format!(
            "POST {prefix}x HTTP/1.1\r\nHost: firm.example\r\nX-Mastichinge-Request-Id: {id}\r\n\
             X-Mastichinge-Deadline-Ms: {}\r\n",
            limit.as_millis()
        );
        if id != name {
            head.push_str(&format!("Attempt: {name}\r\n"));
        }
        if self.setup.customers {
            let key = Customer::of_caller(self.number).key();
            head.push_str(&format!("Authorization: Token {key}\r\n"));
        }
        if kind.is_stream() {
            let model = if self.rng.random_bool(0.8) {
                "m1"
            } else {
                "m2"
            };
            head.push_str(&format!(
                "X-Mastichinge-Model: {model}\r\nX-Mastichinge-Token-Count: 100,20\r\n\
                 X-Mastichinge-Prompt-Prefix: {}\r\n",
                prefix_header(id)
            ));
        }
        if let Some(TakeUp { first, after }) = &attempt.take_up {
            head.push_str(&format!("Resumes: {first}\r\nLast-Event-Id: {after}\r\n"));
        }
        let body = request_body(booking);
        if self.rng.random_bool(0.7) {
            head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
            return [head.as_bytes(), &body].concat();
        }
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        let mut bytes = head.into_bytes();
        for chunk in body.chunks(self.rng.random_range(10..4_000)) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        bytes
    }

    /// Returns the ends of the pieces in which a request is written, with the pause after
    /// each.
    fn pieces(&mut self, length: usize) -> Vec<(usize, Duration)> {
        let mut pieces = Vec::new();
        if self.rng.random_bool(0.3) {
            for _ in 0..self.rng.random_range(1..4) {
                let pause = Duration::from_millis(self.rng.random_range(1..150));
                pieces.push((self.rng.random_range(1..length), pause));
            }
            pieces.sort_unstable();
        }
        pieces.push((length, Duration::ZERO));
        pieces
    }
}

/// Returns the last event of an answer that broke off after one.
fn broken_after(outcome: &Outcome) -> Option<u64> {
    let Outcome::Answered(answer) = outcome else {
        return None;
    };
    let events = whole_events(&answer.body);
    let last = events.last().and_then(|event| event_id(event));
    last.filter(|_| answer.status == 200 && !answer.complete)
}
