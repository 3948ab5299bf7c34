//! Relays streams event by event. A stream that breaks is resumed at another engine
//! where its route allows that.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::attempt;
use super::response::{CallerGone, PartSender, ResponseBody};
use super::retry::{self, Attempts};
use super::send::EngineResponse;
use super::silence::{self, Awaited, Run};
use super::source::{StreamItem, StreamSource};
use super::{RequestGuard, RoutedRequest};
use crate::edge::admission::silence_limit;
use crate::edge::client::Connection;
use crate::edge::clock;
use crate::edge::engine_load::FirstEvent;
use crate::edge::exchange::Recipient;
use crate::edge::in_flight::InFlightGuard;
use crate::edge::slow_readers::UnreadCause;
use crate::edge::state::Edge;
use crate::edge::suspects::Progress;
use crate::platform::headers;

/// Multiple of the route's maximum gap between events after which a silent stream is
/// resumed at another engine.
const SILENCE_GAP_FACTOR: u32 = 3;
/// Time past the route's objective that the first event of a repeatable stream may take
/// after the head of the response has arrived.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(1_000);

/// A response that can be relayed to the caller.
#[derive(Debug)]
pub(super) enum OpenedResponse {
    /// A response that needs no further work here.
    Complete(Response<ResponseBody>),
    /// A stream whose first event has arrived.
    Stream(Box<EngineStream>),
}

/// Why a response cannot be relayed.
#[derive(Debug)]
pub(super) enum OpenError {
    /// It broke; the cause is given.
    Broken(String),
    /// The engine was silent, and another can take the request over.
    Abandoned,
    /// Other hosts could not learn at which version it began.
    Unrecorded,
    /// It did not start before the deadline.
    DeadlinePassed,
}

/// A stream from an engine.
#[derive(Debug)]
pub(super) struct EngineStream {
    head: Parts,
    source: StreamSource,
    first_events: Bytes,
    /// Whether the stream ended with `first_events`.
    ended: bool,
}

/// Waits for the first event of a stream, because until then the request can still be
/// sent to another engine.
pub(super) async fn open_stream(
    routed: &Rc<RoutedRequest>,
    engine_response: Box<EngineResponse>,
    attempts: &mut Attempts,
) -> Result<OpenedResponse, OpenError> {
    let (sent_at, predicted) = (engine_response.sent_at, engine_response.predicted);
    let usual = engine_response.usual;
    let software = engine_response.software.clone();
    let (mut head, mut source) = StreamSource::new(routed, *engine_response, attempts.last_event);
    head.headers = headers::to_caller(&head.headers);
    head.headers.remove(http::header::CONTENT_LENGTH);
    let engine = source.in_flight.engine.clone();
    let max_silence = Some(routed.route.objective + FIRST_EVENT_SLACK);
    let (addr, stream) = source.used_stream();
    let run = Run {
        engine: &engine,
        addr,
        stream: &stream,
    };
    let awaited = silence::wait_for(routed, attempts, run, max_silence, source.next()).await;
    let (first_events, ended) = match awaited {
        Awaited::Response(StreamItem::Events(bytes)) => (bytes, false),
        Awaited::Response(StreamItem::End(bytes)) => (bytes, true),
        Awaited::Response(StreamItem::Broken(cause)) => {
            source.close_broken();
            return Err(OpenError::Broken(cause));
        }
        Awaited::Abandoned => {
            source.abandon();
            return Err(OpenError::Abandoned);
        }
        Awaited::DeadlinePassed => {
            source.in_flight.record_timeout();
            source.in_flight.abandon();
            return Err(OpenError::DeadlinePassed);
        }
    };
    source.in_flight.record_prompt_read();
    let measured = clock::now().saturating_sub(sent_at);
    if let Some(stream) = attempts.begins(routed) {
        let leaves_at = routed.arrived_at + silence_limit(&routed.route);
        let deadline = leaves_at.min(routed.deadline);
        let edge = &routed.edge;
        let service = &routed.service;
        if !edge
            .await_recorded(stream, service, &software, deadline)
            .await
        {
            return Err(OpenError::Unrecorded);
        }
    }
    attempts.software.get_or_insert(software);
    let event = FirstEvent {
        predicted,
        usual,
        measured,
    };
    super::record_first_event(routed, &source.in_flight.engine, event);
    let metrics = &routed.edge.metrics;
    metrics.record_first_token(routed.age(), attempts.load_waited);
    Ok(OpenedResponse::Stream(Box::new(EngineStream {
        head,
        source,
        first_events,
        ended,
    })))
}

/// Starts a task that relays a stream and ends when the caller's connection does.
pub(super) fn start_stream(
    routed: Rc<RoutedRequest>,
    stream: EngineStream,
    attempts: Attempts,
    active: RequestGuard,
) -> Response<ResponseBody> {
    let (part_sender, body) = PartSender::new(&routed.edge.held_bytes);
    let EngineStream {
        head,
        source,
        first_events,
        ended,
    } = stream;
    tokio::task::spawn_local(async move {
        let edge = routed.edge.clone();
        edge.metrics.add_streams(1);
        let relay = StreamRelay {
            routed,
            part_sender,
            attempts,
        };
        relay.run(source, first_events, ended).await;
        edge.metrics.add_streams(-1);
        drop(active);
    });
    Response::from_parts(head, body)
}

/// Relays one stream to its caller.
struct StreamRelay {
    routed: Rc<RoutedRequest>,
    part_sender: PartSender,
    attempts: Attempts,
}

/// How a stream ended.
#[derive(Debug)]
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The caller did not read.
    Unread(UnreadCause),
    /// The deadline passed.
    DeadlinePassed,
    /// The stream broke, and no other engine could resume it.
    Broken(String),
}

impl StreamRelay {
    async fn run(mut self, source: StreamSource, first_events: Bytes, ended: bool) {
        let routed = self.routed.clone();
        let mut engine = source.in_flight.engine.clone();
        let part_sender = self.part_sender.clone();
        let end = tokio::select! {
            biased;
            end = self.relay_events(source, first_events, ended, &mut engine) => end,
            () = part_sender.closed() => StreamEnd::CallerGone,
        };
        let attempts = &self.attempts;
        let status = 200;
        match end {
            StreamEnd::Complete => {
                routed.log_outcome("answered", status, &engine, attempts);
                routed.edge.metrics.record_answer(routed.age());
                return;
            }
            StreamEnd::CallerGone => {
                routed.log_outcome("cancelled by the caller", status, &engine, attempts);
                return;
            }
            StreamEnd::Unread(cause) => {
                let names = [&*routed.headers.id, &*engine];
                record_unread(&routed.edge, names, &self.part_sender, cause);
                routed.log_outcome("unread by the caller", status, &engine, attempts);
            }
            StreamEnd::DeadlinePassed => {
                routed.log_outcome("truncated at its deadline", status, &engine, attempts);
            }
            StreamEnd::Broken(cause) => {
                let request = &*routed.headers.id;
                log::warn!(request, engine = &*engine, cause = cause.as_str(); "stream broken");
                routed.log_outcome("truncated", status, &engine, attempts);
            }
        }
        let kind = crate::error::Kind::StreamBroken;
        routed.edge.metrics.record_refusal(kind);
    }

    /// Relays events until the stream ends; `engine` is set to the engine that served it
    /// last.
    async fn relay_events(
        &mut self,
        mut source: StreamSource,
        first_events: Bytes,
        ended: bool,
        engine: &mut Arc<str>,
    ) -> StreamEnd {
        if let Err(end) = self.send_chunk(first_events).await {
            return end;
        }
        if ended {
            return self.complete(source);
        }
        let mut settled = false;
        loop {
            let max_silence = self.max_silence(&source);
            let (routed, attempts) = (&self.routed, &mut self.attempts);
            let (addr, stream) = source.used_stream();
            let run = Run {
                engine,
                addr,
                stream: &stream,
            };
            let relayed = source.last_event;
            let awaited =
                silence::wait_for(routed, attempts, run, max_silence, source.next()).await;
            let mut last_event = source.last_event;
            match awaited {
                Awaited::Response(StreamItem::Events(bytes)) => {
                    if !settled && source.progress() == Progress::Settled {
                        settled = true;
                        let (shared, _) = self.routed.split_features();
                        self.routed.edge.record_answered(shared);
                    }
                    if let Err(end) = self.send_chunk(bytes).await {
                        return end;
                    }
                    // Events that come without end leave no wait that could time out.
                    if self.routed.time_left().is_zero() {
                        return StreamEnd::DeadlinePassed;
                    }
                    continue;
                }
                Awaited::Response(StreamItem::End(rest)) => {
                    if self.send(rest).is_err() {
                        return StreamEnd::CallerGone;
                    }
                    return self.complete(source);
                }
                Awaited::Response(StreamItem::Broken(cause)) => {
                    let (routed, attempts) = (&self.routed, &mut self.attempts);
                    retry::record_broken_run(routed, attempts, source.progress());
                    let resumable = source.is_resumable();
                    source.close_broken();
                    let (routed, attempts) = (&self.routed, &mut self.attempts);
                    if !resumable || !retry::start_retry(routed, attempts, engine, &cause).await {
                        return StreamEnd::Broken(cause);
                    }
                }
                Awaited::DeadlinePassed => return StreamEnd::DeadlinePassed,
                Awaited::Abandoned => {
                    // Events that came while the run was ended have not been relayed.
                    last_event = relayed;
                    source.abandon();
                }
            }
            match self.resume(last_event).await {
                Ok(resumed) => source = resumed,
                Err(end) => return end,
            }
            *engine = source.in_flight.engine.clone();
        }
    }

    /// Returns how long the engine may be silent before another may take over.
    fn max_silence(&self, source: &StreamSource) -> Option<Duration> {
        let max_silence = self.routed.route.gap * SILENCE_GAP_FACTOR;
        source.is_resumable().then_some(max_silence)
    }

    /// Completes the stream.
    fn complete(&self, source: StreamSource) -> StreamEnd {
        if source.is_answered() {
            self.routed.edge.record_answered(&self.routed.features);
        }
        source.finish();
        match self.part_sender.end() {
            Ok(()) => StreamEnd::Complete,
            Err(CallerGone) => StreamEnd::CallerGone,
        }
    }

    /// Sends bytes to the caller.
    fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        match bytes.is_empty() {
            true => Ok(()),
            false => self.part_sender.send(bytes),
        }
    }

    /// Sends bytes to the caller, and waits until more may be read, until the deadline at most.
    async fn send_chunk(&self, bytes: Bytes) -> Result<(), StreamEnd> {
        self.send(bytes).map_err(|_| StreamEnd::CallerGone)?;
        let limits = self.routed.edge.hold_limits();
        let room = self.part_sender.room(&limits);
        match timeout(self.routed.time_left(), room).await {
            Ok(room) => room.map_err(StreamEnd::Unread),
            Err(_) => Err(StreamEnd::DeadlinePassed),
        }
    }

    /// Resumes the stream at another engine after the last whole event; the retry has been
    /// taken out of the budget, and the connection to the engine before is closed.
    async fn resume(&mut self, last_event: Option<u64>) -> Result<StreamSource, StreamEnd> {
        self.attempts.last_event = last_event;
        loop {
            let sent = attempt::send_until_response(&self.routed, &mut self.attempts).await;
            let engine_response = sent.map_err(|failure| StreamEnd::Broken(failure.cause))?;
            let status = engine_response.response.status();
            let engine = engine_response.in_flight.engine.clone();
            if status.is_success() {
                engine_response.in_flight.record_prompt_read();
                let request = &*self.routed.headers.id;
                let after = last_event.unwrap_or_default();
                let began = self.attempts.software.as_deref().unwrap_or_default();
                let software = &*engine_response.software;
                log::info!(request, engine = &*engine, after, began, software; "stream resumed");
                let (_, source) = StreamSource::new(&self.routed, *engine_response, last_event);
                return Ok(source);
            }
            let cause = format!("the engine responded with {}", status.as_u16());
            // Closes the connection before the next run starts.
            drop(engine_response);
            let (routed, attempts) = (&self.routed, &mut self.attempts);
            if !retry::start_retry(routed, attempts, &engine, &cause).await {
                return Err(StreamEnd::Broken(cause));
            }
        }
    }
}

/// Relays a long response as it arrives, until the deadline.
pub(super) fn relay_body(
    routed: &Rc<RoutedRequest>,
    head: Parts,
    body: Incoming,
    connection: Connection,
    in_flight: InFlightGuard,
) -> OpenedResponse {
    let (part_sender, relayed_body) = PartSender::new(&routed.edge.held_bytes);
    // Not the request, whose body is of no more use.
    let (edge, id, deadline) = (
        routed.edge.clone(),
        routed.headers.id.clone(),
        routed.deadline,
    );
    let features = routed.features.clone();
    tokio::task::spawn_local(async move {
        let time_left = deadline.saturating_sub(clock::now());
        let relayed = timeout(time_left, relay_parts(&edge, body, &part_sender)).await;
        let cause = match relayed {
            Ok(Ok(())) => {
                in_flight.record_outcome(true);
                return;
            }
            Ok(Err(BodyEnd::Unread(cause))) => {
                in_flight.record_outcome(true);
                record_unread(&edge, [&id, &in_flight.engine], &part_sender, cause);
                return;
            }
            Ok(Err(BodyEnd::Broken(error))) => {
                in_flight.record_outcome(false);
                in_flight.record_end();
                let Recipient { lifetime, addr } = in_flight.recipient();
                edge.record_broken_off(lifetime, *addr, &features, Progress::Begun);
                error.to_string()
            }
            Err(_) => {
                in_flight.record_timeout();
                "the deadline passed".to_owned()
            }
        };
        drop(connection);
        let request = &*id;
        log::warn!(request, engine = &*in_flight.engine, cause; "long response truncated");
    });
    OpenedResponse::Complete(Response::from_parts(head, relayed_body))
}

/// Why the relay of a long response ended before its end.
#[derive(Debug)]
enum BodyEnd {
    /// The connection to the engine broke.
    Broken(hyper::Error),
    /// The caller did not read.
    Unread(UnreadCause),
}

/// Relays the parts of a body until its end, or until the caller disconnects.
async fn relay_parts(
    edge: &Edge,
    mut body: Incoming,
    part_sender: &PartSender,
) -> Result<(), BodyEnd> {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = part_sender.closed() => return Ok(()),
        };
        let Some(frame) = frame.transpose().map_err(BodyEnd::Broken)? else {
            // The caller may have disconnected, which needs no more work.
            let _ = part_sender.end();
            return Ok(());
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if part_sender.send(data).is_err() {
            return Ok(());
        }
        let limits = edge.hold_limits();
        tokio::select! {
            biased;
            room = part_sender.room(&limits) => room.map_err(BodyEnd::Unread)?,
            () = part_sender.closed() => return Ok(()),
        }
    }
}

/// Records that a response ended because its caller did not read it.
fn record_unread(
    edge: &Edge,
    [request, engine]: [&str; 2],
    part_sender: &PartSender,
    cause: UnreadCause,
) {
    let cause: &'static str = cause.into();
    let held = part_sender.held();
    let held_by_host = edge.held_bytes.get();
    log::warn!(request, engine, cause, held, held_by_host; "response ended unread");
    edge.metrics.record_unread_response(cause);
}
