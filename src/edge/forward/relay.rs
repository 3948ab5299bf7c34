//! Streams: whole events are passed on as they come, and a stream that breaks
//! goes on at another engine where its route allows that.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::attempt::{self, SILENCE, Tries};
use super::reply::{Cut, Reply};
use super::send::Answered;
use super::{Counted, Job};
use crate::edge::client::Conn;
use crate::edge::clock;
use crate::edge::events::Splitter;
use crate::edge::flight::Flight;
use crate::platform::heads;

/// Pieces of an answer that may wait for the caller to read.
const PIECES: usize = 16;
/// Pauses, in multiples of the longest that is in time, after which a stream
/// goes on elsewhere.
const GAPS: u32 = 3;
/// Time over the expected one that the first event of a repeatable stream may
/// take after the head has come.
const FIRST: Duration = Duration::from_millis(1_000);

/// An answer that can be passed on.
#[derive(Debug)]
pub(super) enum Opened {
    /// It is whole, or needs nothing further.
    Whole(Response<Reply>),
    /// Its first event has come.
    Stream(Box<Stream>),
}

/// A stream from an engine.
#[derive(Debug)]
pub(super) struct Stream {
    head: Parts,
    source: Source,
    first: Bytes,
    ended: bool,
}

/// The engine's side of a stream.
#[derive(Debug)]
struct Source {
    body: Incoming,
    conn: Conn,
    said: heads::Answer,
    flight: Flight,
    splitter: Splitter,
    /// Id of the last whole event.
    last: Option<u64>,
}

/// What comes next on a stream.
#[derive(Debug)]
enum Next {
    /// Whole events.
    Events(Bytes),
    /// The end; what is left belongs to the answer.
    End(Bytes),
    /// It broke off.
    Broken(String),
    /// Nothing came for the given time.
    Silent,
}

impl Source {
    fn new(body: Incoming, answered: (Conn, heads::Answer, Flight), last: Option<u64>) -> Self {
        let (conn, said, flight) = answered;
        Source {
            body,
            conn,
            said,
            flight,
            splitter: Splitter::default(),
            last,
        }
    }

    /// Waits for whole events; `limit` is the longest silence.
    async fn next(&mut self, limit: Duration) -> Next {
        loop {
            let frame = match timeout(limit, self.body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Next::Silent,
            };
            let data = match frame {
                None => return Next::End(self.splitter.rest()),
                Some(Err(error)) => return Next::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            if !self.splitter.push(&data) {
                return Next::Broken("an event is too long".to_owned());
            }
            let events = self.events();
            if !events.is_empty() {
                return Next::Events(events);
            }
        }
    }

    /// The whole events that have come, less those that were passed on before.
    fn events(&mut self) -> Bytes {
        let mut out = Vec::new();
        while let Some(event) = self.splitter.event() {
            if let (Some(id), Some(last)) = (event.id, self.last)
                && id <= last
            {
                continue;
            }
            self.last = event.id.or(self.last);
            out.extend_from_slice(&event.bytes);
        }
        out.into()
    }

    fn finish(self) {
        self.flight.judge(true);
        if !self.said.closing {
            self.conn.keep(self.said.idle);
        }
    }
}

/// Waits for the first event of a stream, so that until then it can be had
/// from another engine. The error says how it broke.
pub(super) async fn open(
    job: &Rc<Job>,
    answered: Box<Answered>,
    tries: &Tries,
) -> Result<Opened, String> {
    let Answered {
        response,
        conn,
        said,
        flight,
        sent,
        predicted,
    } = *answered;
    let (mut head, body) = response.into_parts();
    head.headers = heads::to_caller(&head.headers);
    head.headers.remove(http::header::CONTENT_LENGTH);
    let mut source = Source::new(body, (conn, said, flight), tries.last_event);
    let spare = tries.spare(job);
    let limit = match spare {
        true => (job.route.objective + FIRST).min(job.left()),
        false => job.left(),
    };
    let (first, ended) = match source.next(limit).await {
        Next::Events(bytes) => (bytes, false),
        Next::End(bytes) => (bytes, true),
        Next::Broken(cause) => {
            source.flight.judge(false);
            source.conn.distrust();
            return Err(cause);
        }
        Next::Silent => {
            source.flight.judge(!spare);
            return Err("no first event in time".to_owned());
        }
    };
    source.flight.prompt_done();
    let seen = clock::now().saturating_sub(sent);
    super::note_first(job, &source.flight.engine, predicted, seen);
    job.edge.metrics.record_first_token(job.age(), tries.loaded);
    Ok(Opened::Stream(Box::new(Stream {
        head,
        source,
        first,
        ended,
    })))
}

/// Passes a stream on in a task of its own, which ends with the caller's
/// connection.
pub(super) fn start(
    job: Rc<Job>,
    stream: Stream,
    tries: Tries,
    counted: Counted,
) -> Response<Reply> {
    let (out, pieces) = mpsc::channel(PIECES);
    let Stream {
        head,
        source,
        first,
        ended,
    } = stream;
    tokio::task::spawn_local(async move {
        let edge = job.edge.clone();
        edge.metrics.add_streams(1);
        let relay = Relay { job, out, tries };
        relay.run(source, first, ended).await;
        edge.metrics.add_streams(-1);
        drop(counted);
    });
    Response::from_parts(head, Reply::Pieces(pieces))
}

struct Relay {
    job: Rc<Job>,
    out: mpsc::Sender<Result<Bytes, Cut>>,
    tries: Tries,
}

/// How a stream ended.
#[derive(Debug)]
enum End {
    /// Whole.
    Complete,
    /// The caller left.
    Left,
    /// The time limit passed.
    Late,
    /// The engine broke off, and no other could go on.
    Broken(String),
}

impl Relay {
    async fn run(mut self, source: Source, first: Bytes, ended: bool) {
        let job = self.job.clone();
        let mut engine = source.flight.engine.clone();
        let end = self.pass(source, first, ended, &mut engine).await;
        let tries = &self.tries;
        let status = 200;
        match end {
            End::Complete => {
                job.edge.state.borrow_mut().suspects.clear(job.print);
                job.log("answered", status, &engine, tries);
                job.edge.metrics.record_answer(job.age());
                return;
            }
            End::Left => {
                job.log("left by its caller", status, &engine, tries);
                return;
            }
            End::Late => job.log("cut at its time limit", status, &engine, tries),
            End::Broken(cause) => {
                let request = &*job.call.id;
                log::warn!(request, engine = &*engine, cause = cause.as_str(); "stream broke");
                job.log("cut", status, &engine, tries);
            }
        }
        job.edge
            .metrics
            .record_refusal(crate::error::Kind::StreamBroken);
        // A caller that has left needs no sign of the cut.
        let _ = self.out.send(Err(Cut)).await;
    }

    async fn pass(
        &mut self,
        mut source: Source,
        first: Bytes,
        ended: bool,
        engine: &mut Arc<str>,
    ) -> End {
        if let Err(end) = self.put(first).await {
            return end;
        }
        if ended {
            source.finish();
            return End::Complete;
        }
        loop {
            let limit = self.silence();
            let out = self.out.clone();
            let next = tokio::select! {
                next = source.next(limit) => next,
                () = out.closed() => return End::Left,
            };
            match next {
                Next::Events(bytes) => {
                    if let Err(end) = self.put(bytes).await {
                        return end;
                    }
                }
                Next::End(rest) => {
                    if let Err(end) = self.put(rest).await {
                        return end;
                    }
                    source.finish();
                    return End::Complete;
                }
                Next::Silent if self.job.left().is_zero() => return End::Late,
                Next::Silent if !self.spare() => {}
                Next::Silent => match self.resume(source, SILENCE).await {
                    Ok(other) => source = other,
                    Err(end) => return end,
                },
                Next::Broken(cause) => match self.resume(source, &cause).await {
                    Ok(other) => source = other,
                    Err(end) => return end,
                },
            }
            *engine = source.flight.engine.clone();
        }
    }

    /// Whether another engine may go on.
    fn spare(&self) -> bool {
        self.tries.spare(&self.job)
    }

    /// Longest silence of the engine.
    fn silence(&self) -> Duration {
        let left = self.job.left();
        match self.spare() {
            true => (self.job.route.gap * GAPS).min(left),
            false => left,
        }
    }

    /// Hands bytes to the caller; one that does not read is cut at the limit.
    async fn put(&self, bytes: Bytes) -> Result<(), End> {
        if bytes.is_empty() {
            return Ok(());
        }
        match timeout(self.job.left(), self.out.send(Ok(bytes))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(End::Left),
            Err(_) => Err(End::Late),
        }
    }

    /// Goes on at another engine after the last whole event.
    async fn resume(&mut self, source: Source, cause: &str) -> Result<Source, End> {
        let engine = source.flight.engine.clone();
        let last = source.last;
        source.flight.judge(false);
        if cause != SILENCE {
            source.conn.distrust();
        }
        // Closes the connection, so that the run there stops first.
        drop(source);
        if cause != SILENCE {
            attempt::strike(&self.job, &engine);
        }
        let resumable = last.is_some() && self.job.route.resumable;
        if !resumable || !attempt::again(&self.job, &mut self.tries, &engine, cause) {
            return Err(End::Broken(cause.to_owned()));
        }
        self.tries.last_event = last;
        let out = self.out.clone();
        loop {
            let reached = tokio::select! {
                reached = attempt::reach(&self.job, &mut self.tries) => reached,
                () = out.closed() => return Err(End::Left),
            };
            let answered = reached.map_err(|failure| End::Broken(failure.cause))?;
            let status = answered.response.status();
            let Answered {
                response,
                conn,
                said,
                flight,
                ..
            } = *answered;
            if status.is_success() {
                flight.prompt_done();
                let request = &*self.job.call.id;
                let after = last.unwrap_or_default();
                log::info!(request, engine = &*flight.engine, after; "stream resumed");
                return Ok(Source::new(
                    response.into_body(),
                    (conn, said, flight),
                    last,
                ));
            }
            let cause = format!("the engine answered {}", status.as_u16());
            let engine = flight.engine.clone();
            if !attempt::again(&self.job, &mut self.tries, &engine, &cause) {
                return Err(End::Broken(cause));
            }
        }
    }
}

/// Passes a long answer on as it comes.
pub(super) fn raw(head: Parts, mut body: Incoming, conn: Conn, flight: Flight) -> Opened {
    let (out, pieces) = mpsc::channel(PIECES);
    tokio::task::spawn_local(async move {
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = out.closed() => return,
            };
            let piece = match frame {
                None => break,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Ok(data),
                    Err(_) => continue,
                },
                Some(Err(error)) => {
                    log::warn!(engine = &*flight.engine, error:%; "long answer broke off");
                    Err(Cut)
                }
            };
            let cut = piece.is_err();
            if out.send(piece).await.is_err() || cut {
                flight.judge(!cut);
                return;
            }
        }
        flight.judge(true);
        drop(conn);
    });
    Opened::Whole(Response::from_parts(head, Reply::Pieces(pieces)))
}
