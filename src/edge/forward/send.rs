//! Sends a request to one engine and waits for the head of the response.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::RoutedRequest;
use super::attribution::Attribution;
use super::evidence::Verdict;
use super::retry::Attempts;
use super::silence::{self, Awaited, Run};
use crate::clock::Moment;
use crate::edge::carried::{Earlier, IdHash};
use crate::edge::client::{Connection, SendError, SendOptions};
use crate::edge::clock;
use crate::edge::in_flight::InFlightGuard;
use crate::edge::placement::ModelTarget;
use crate::edge::request_headers::EngineHeaders;
use crate::edge::routing::SelectedEngine;
use crate::edge::unreachable::Cause;
use crate::platform::headers;
use crate::status::is_answer;

/// Time limit for reading the rest of a rejection, so that its connection can be reused.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum size of a response that is read whole before it is relayed, bytes. If such a
/// response is truncated, the request can still be sent to another engine.
pub(super) const MAX_WHOLE_BYTES: usize = 256 << 10;

/// An engine's response whose head has arrived.
#[derive(Debug)]
pub(super) struct EngineResponse {
    pub response: Response<Incoming>,
    pub connection: Connection,
    pub headers: headers::ResponseHeaders,
    pub in_flight: InFlightGuard,
    /// Version of the engine's software.
    pub software: Arc<str>,
    pub sent_at: Moment,
    /// Time from sending to the first event, as predicted when it was sent.
    pub predicted: Duration,
    /// The same if the engine had the usual speed.
    pub usual: Duration,
}

/// Outcome of sending a request to one engine.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// The head of the response arrived.
    Response(Box<EngineResponse>),
    /// The engine rejected the request without running it.
    NotRun(StatusCode),
    /// No byte was sent.
    NotSent(String),
    /// No byte was sent, because the engine wants no requests any more.
    Withheld,
    /// The connection was lost, or the response is not valid; the request may have run.
    Failed(String),
    /// The engine responded, but not with a proof of whether the request ran.
    Unproven(String),
    /// The engine was silent, and another can take the request over.
    Abandoned,
    /// No response arrived before the deadline.
    DeadlinePassed,
}

/// Sends the request to one engine and waits for the head of its response. After
/// `max_silence` the run may be abandoned for another engine.
pub(super) async fn send(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    choice: &SelectedEngine,
    max_silence: Option<Duration>,
) -> SendOutcome {
    let request = match engine_request(routed, attempts, choice) {
        Ok(request) => request,
        Err(error) => return SendOutcome::NotSent(error.to_string()),
    };
    let prompt = routed.headers.prompt.as_ref();
    let in_flight = InFlightGuard::begin(&routed.edge, choice, prompt, &routed.features);
    let sent_at = clock::now();
    let options = SendOptions {
        new_connection: routed.headers.id.is_empty(),
        id: Some(IdHash::of(&routed.headers.id)),
        checks_lifetime: routed.can_be_resumed() && routed.is_hosted(),
        ..SendOptions::default()
    };
    attempts.addr = Some(choice.addr);
    let recipient = in_flight.recipient().clone();
    attempts.lifetime = recipient.lifetime.clone();
    let id = &*routed.headers.id;
    let permit = attempts.take_permit(&choice.engine, sent_at);
    let sent = attempts.exposure.begin();
    let used = RefCell::default();
    let sending =
        routed
            .edge
            .send_request(&recipient, id, permit.as_ref(), request, options, &used);
    let run = Run {
        engine: &choice.engine,
        addr: choice.addr,
        stream: &used,
    };
    let awaited = silence::wait_for(routed, attempts, run, max_silence, sending).await;
    let outcome = match awaited {
        Awaited::Response(outcome) => outcome,
        Awaited::Abandoned => {
            in_flight.record_outcome(false);
            in_flight.abandon();
            return SendOutcome::Abandoned;
        }
        Awaited::DeadlinePassed => {
            in_flight.record_timeout();
            in_flight.abandon();
            return SendOutcome::DeadlinePassed;
        }
    };
    let (response, connection, sent) = match outcome {
        Ok((response, connection)) => (response, connection, sent),
        Err(error) => {
            in_flight.record_end();
            if let Some(proof) = sent.unsent(&error) {
                attempts.exposure.take_back(proof);
            }
            return record_send_error(routed, choice, &in_flight, error);
        }
    };
    let headers = headers::parse_response(response.headers());
    let status = response.status();
    let earlier = connection.earlier();
    let (verdict, attribution) = Verdict::of(id, status, &headers, earlier);
    log_response(routed, choice, status, (attribution, earlier), &verdict);
    match attribution {
        Attribution::IdMatched => in_flight.record_head(),
        Attribution::FirstExchange | Attribution::NotBelieved => {}
    }
    match verdict {
        Verdict::Answered => {}
        Verdict::Unproven if headers::is_gateway_failure(status, &headers) => {
            in_flight.record_outcome(false);
            in_flight.record_end();
            connection.drop_idle();
            let status = status.as_u16();
            return SendOutcome::Failed(format!("something before the engine responded {status}"));
        }
        Verdict::Unproven => {
            in_flight.record_outcome(false);
            in_flight.record_end();
            connection.drop_idle();
            let edge = &routed.edge;
            edge.hear_late_responses(recipient, id, response, connection);
            return SendOutcome::Unproven("the response may be for another request".to_owned());
        }
        Verdict::Rejected(rejection) => {
            attempts.exposure.take_back(sent.rejected(rejection));
            in_flight.record_end();
            record_rejection(routed, choice, status);
            if attribution == Attribution::IdMatched {
                discard_body(response, connection, headers).await;
            }
            return SendOutcome::NotRun(status);
        }
    }
    if headers::promises_not_run(status) || !is_answer(status) {
        in_flight.record_outcome(false);
        in_flight.record_end();
        discard_body(response, connection, headers).await;
        let status = status.as_u16();
        return SendOutcome::Unproven(format!("the engine may have run it and responded {status}"));
    }
    if status.is_success() && !headers.signed {
        in_flight.record_outcome(false);
        in_flight.record_end();
        return SendOutcome::Failed("the response is not signed".to_owned());
    }
    SendOutcome::Response(Box::new(EngineResponse {
        response,
        connection,
        headers,
        in_flight,
        software: choice.software.clone(),
        sent_at,
        predicted: choice.first_event,
        usual: choice.usual,
    }))
}

/// Records and logs why a request got no response.
fn record_send_error(
    routed: &RoutedRequest,
    choice: &SelectedEngine,
    in_flight: &InFlightGuard,
    error: SendError,
) -> SendOutcome {
    let id = &*routed.headers.id;
    match error {
        SendError::NotSent(cause, text) => {
            let name: &'static str = cause.into();
            log::info!(request = id, engine = &*choice.engine, cause = name, error = &*text;
                "request not sent");
            in_flight.record_unreachable(cause, &text);
            let lifetime = &in_flight.recipient().lifetime;
            match cause {
                Cause::Restarted => routed.edge.record_ended(lifetime),
                Cause::Refused | Cause::Silent => routed.edge.watch_left(lifetime),
                Cause::Unsent => {}
            }
            if let Some(target) = model_target(routed) {
                routed.edge.record_missing(&choice.engine, &target);
            }
            SendOutcome::NotSent(text)
        }
        SendError::Withheld => {
            log::info!(request = id, engine = &*choice.engine;
                "request withheld: the engine wants none now");
            SendOutcome::Withheld
        }
        SendError::ConnectionLost(cause) => {
            in_flight.record_outcome(false);
            routed.edge.client.drop_idle(choice.addr);
            SendOutcome::Failed(cause)
        }
    }
}

fn engine_request(
    routed: &RoutedRequest,
    attempts: &Attempts,
    choice: &SelectedEngine,
) -> http::Result<Request<Full<Bytes>>> {
    let path = routed.head.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri: Uri = path.parse().map_err(http::Error::from)?;
    // The newest state, as the key may have been given to another customer since.
    let desired = routed.edge.state.borrow().desired.clone();
    let customer = routed.headers.key.as_ref();
    let customer = customer.and_then(|key| desired.customers.find(key));
    let engine_headers = EngineHeaders {
        engine: &choice.engine,
        time_left: routed.time_left(),
        last_event: attempts.last_event,
        priority: routed
            .headers
            .prompt
            .is_some()
            .then_some(engine_priority(routed, attempts)),
        customer: customer.map(|c| &*c.name),
        hides_key: desired.customers.is_required() || routed.desired.customers.is_required(),
    };
    let mut request = Request::new(Full::new(routed.body.clone()));
    *request.method_mut() = routed.head.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = headers::to_engine(&routed.head.headers, &engine_headers);
    Ok(request)
}

/// Returns the priority of a request at its engine.
fn engine_priority(routed: &RoutedRequest, attempts: &Attempts) -> u8 {
    let state = routed.edge.state.borrow();
    let versions = &state.origins.services;
    let goes_on = attempts.software.is_some();
    versions.engine_priority(&routed.service, routed.priority(), goes_on, clock::now())
}

/// Counts a response and, if it is a rejection or not believed, logs it.
fn log_response(
    routed: &RoutedRequest,
    choice: &SelectedEngine,
    status: StatusCode,
    (attribution, earlier): (Attribution, Earlier),
    verdict: &Verdict,
) {
    let attribution: &'static str = attribution.into();
    let earlier: &'static str = earlier.into();
    let metrics = &routed.edge.metrics;
    metrics.record_engine_response(attribution, earlier);
    let request = &*routed.headers.id;
    let engine = &*choice.engine;
    let status = status.as_u16();
    match verdict {
        Verdict::Rejected(_) => {
            log::info!(request, engine, status, attribution, earlier;
                "engine rejected the request");
        }
        Verdict::Unproven => {
            log::warn!(request, engine, status, attribution, earlier;
                "engine's response not believed");
        }
        Verdict::Answered => {}
    }
}

/// Records the model or adapter that an engine lacks after status 421.
fn record_rejection(routed: &RoutedRequest, choice: &SelectedEngine, status: StatusCode) {
    if status != StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if let Some(target) = model_target(routed) {
        routed.edge.record_missing(&choice.engine, &target);
    }
}

/// Returns the model or adapter that a request needs.
fn model_target(routed: &RoutedRequest) -> Option<ModelTarget> {
    let prompt = routed.headers.prompt.as_ref()?;
    Some(ModelTarget::of(&routed.service, prompt))
}

/// Reads the rest of a short response so that its connection can be reused.
async fn discard_body(
    response: Response<Incoming>,
    connection: Connection,
    headers: headers::ResponseHeaders,
) {
    let body = Limited::new(response.into_body(), MAX_WHOLE_BYTES).collect();
    let read = timeout(REJECTION_BODY_TIMEOUT, body).await;
    if matches!(read, Ok(Ok(_))) && !headers.closes {
        connection.release(headers.idle_timeout);
    }
}
