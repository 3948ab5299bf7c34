//! The engine's side of a stream: whole events, and where the stream ends.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::RoutedRequest;
use super::framing::Framing;
use super::send::EngineResponse;
use crate::edge::client::Connection;
use crate::edge::events::{EndPlace, EventDecoder};
use crate::edge::in_flight::InFlightGuard;
use crate::edge::shared_stream::StreamHandle;
use crate::edge::suspects::Progress;
use crate::platform::headers;

/// The engine's side of a stream.
#[derive(Debug)]
pub(super) struct StreamSource {
    routed: Rc<RoutedRequest>,
    body: Incoming,
    framing: Framing,
    connection: Connection,
    headers: headers::ResponseHeaders,
    pub in_flight: InFlightGuard,
    decoder: EventDecoder,
    /// Id of the last whole event.
    pub last_event: Option<u64>,
}

/// What arrives next on a stream.
#[derive(Debug)]
pub(super) enum StreamItem {
    /// Whole events.
    Events(Bytes),
    /// The end of the stream, with the empty lines and comments after the last event.
    End(Bytes),
    /// The stream broke.
    Broken(String),
}

impl StreamSource {
    /// Creates the source of a stream that begins after the event `last_event`. Returns
    /// the head of the response too.
    pub(super) fn new(
        routed: &Rc<RoutedRequest>,
        engine_response: EngineResponse,
        last_event: Option<u64>,
    ) -> (Parts, Self) {
        let (head, body) = engine_response.response.into_parts();
        let source = StreamSource {
            routed: routed.clone(),
            framing: Framing::of(&head.headers, &body),
            body,
            connection: engine_response.connection,
            headers: engine_response.headers,
            in_flight: engine_response.in_flight,
            decoder: EventDecoder::default(),
            last_event,
        };
        (head, source)
    }

    /// Waits for whole events.
    pub(super) async fn next(&mut self) -> StreamItem {
        loop {
            let data = match self.body.frame().await {
                None => return self.end(),
                Some(Err(error)) => return StreamItem::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            if !self.decoder.push(&data) {
                return StreamItem::Broken("an event is too long".to_owned());
            }
            let events = self.new_events();
            self.in_flight.record_part(!events.is_empty());
            if !events.is_empty() {
                return StreamItem::Events(events);
            }
        }
    }

    /// Returns the whole events that have arrived, without those relayed before.
    fn new_events(&mut self) -> Bytes {
        let mut out = Vec::new();
        while let Some(event) = self.decoder.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event)
                && id <= last
            {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            out.extend_from_slice(&event.bytes);
        }
        out.into()
    }

    /// Ends the stream where its body ended. What marks the end of the body says nothing
    /// about the end of the stream: an engine whose run fails may end the body in order.
    fn end(&mut self) -> StreamItem {
        let place = self.decoder.end_place();
        self.record_end(place);
        let cause = match (place, self.framing) {
            (EndPlace::InsideEvent, _) => "it ended inside an event",
            (EndPlace::BeforeEvents, Framing::Close) => "the connection ended before an event",
            _ => return StreamItem::End(self.decoder.take_rest()),
        };
        StreamItem::Broken(cause.to_owned())
    }

    /// Counts the end of the body, and logs one that may be a break.
    fn record_end(&self, place: EndPlace) {
        let framing: &'static str = self.framing.into();
        let metrics = &self.routed.edge.metrics;
        metrics.record_stream_end(framing, place.into());
        if place == EndPlace::BetweenEvents {
            return;
        }
        let request = &*self.routed.headers.id;
        let engine = &*self.in_flight.engine;
        let place: &'static str = place.into();
        let rest_bytes = self.decoder.rest_len();
        let last_event = self.last_event.unwrap_or_default();
        log::info!(request, engine, framing, place, rest_bytes, last_event;
            "stream ended inside an event or without events");
    }

    /// Returns how far the answer of this run is.
    pub(super) fn progress(&self) -> Progress {
        self.in_flight.progress()
    }

    /// Returns whether the engine has surely answered, once the stream has ended in order: the
    /// connection of an engine that crashes may end so, too.
    pub(super) fn is_answered(&self) -> bool {
        let is_whole = self.framing != Framing::Close && self.in_flight.has_events();
        is_whole || self.progress() == Progress::Settled
    }

    /// Returns whether another engine can go on after the last whole event.
    pub(super) fn is_resumable(&self) -> bool {
        self.last_event.is_some() && self.routed.route.resumable
    }

    /// Returns where the connection leads, and a handle of its stream.
    pub(super) fn used_stream(&self) -> (SocketAddr, RefCell<Option<StreamHandle>>) {
        let stream = RefCell::new(Some(self.connection.stream()));
        (self.connection.addr(), stream)
    }

    /// Records the failure, and closes the connection and the idle ones to this engine.
    pub(super) fn close_broken(self) {
        self.in_flight.record_outcome(false);
        self.in_flight.record_end();
        self.connection.drop_idle();
    }

    /// Closes the connection to a silent engine, which may serve the others.
    pub(super) fn abandon(self) {
        self.in_flight.record_outcome(false);
        self.in_flight.abandon();
    }

    /// Records the success and releases the connection.
    pub(super) fn finish(self) {
        self.in_flight.record_outcome(true);
        if !self.headers.closes {
            self.connection.release(self.headers.idle_timeout);
        }
    }
}
