//! Handling of callers' requests: finds the route, sends the request to an engine and
//! relays its response.

mod attempt;
mod attribution;
mod charge;
mod early;
pub mod evidence;
mod framing;
mod holds;
mod keys;
mod permit;
mod relay;
pub mod response;
mod retry;
mod selection;
mod send;
mod silence;
mod source;
mod take_up;
mod turn;

use std::convert::Infallible;
use std::error::Error;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use self::evidence::Promise;
use self::response::{CutShort, Refusal, ResponseBody, Unknown};
use self::retry::Attempts;
use super::body_memory::BodyReservation;
use super::clock;
use super::customers::Customer;
use super::demand::ModelKey;
use super::desired::{DesiredState, RequestLimits, Route, RouteKind};
use super::engine_load::FirstEvent;
use super::origins::{Resumed, StreamId};
use super::request_headers::RequestHeaders;
use super::state::Edge;
use super::suspects::{self, Feature};
use super::upstream::EnginePhase;
use crate::clock::Moment;
use crate::error::Kind;
use crate::platform::headers;

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay when another host can take the request at once.
const OTHER_HOST_RETRY: Duration = Duration::from_millis(50);
/// Retry delay when this host does not know the desired state yet or holds too many
/// bodies.
const UNREADY_RETRY: Duration = Duration::from_millis(500);
/// Time limit of a request when neither the route nor the caller sets a shorter one.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(60);

/// A request with its whole body and its route.
#[derive(Debug)]
struct RoutedRequest {
    edge: Rc<Edge>,
    head: Parts,
    body: Bytes,
    headers: RequestHeaders,
    route: Arc<Route>,
    desired: Rc<DesiredState>,
    /// Customer whose key its caller holds.
    customer: Option<Arc<Customer>>,
    /// Service chosen among those of the route.
    service: Arc<str>,
    /// Id of the stream that it begins, if its caller can take that up again by name.
    stream: Option<StreamId>,
    /// Fingerprint of path and body.
    fingerprint: u64,
    /// What it may have in common with requests that crash engines; its own feature is the last.
    features: Vec<Feature>,
    arrived_at: Moment,
    /// When the whole response must have arrived.
    deadline: Moment,
    deadline_source: DeadlineSource,
}

/// Whose time limit sets a request's deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum DeadlineSource {
    /// The caller's.
    Caller,
    /// The route's.
    Route,
}

impl RoutedRequest {
    fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    /// Returns its priority: that of its customer, else of its route; 0 is the most urgent.
    fn priority(&self) -> u8 {
        let customer = self.customer.as_ref().and_then(|c| c.priority);
        customer.unwrap_or(self.route.priority)
    }

    /// Returns the name of its customer, for logs; empty without one.
    fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("", |c| &*c.name)
    }

    /// Returns whether it is for a stream that may be resumed.
    fn can_be_resumed(&self) -> bool {
        self.route.has_resumable_streams()
    }

    /// Returns whether its engines hold models, and so report their start times.
    fn is_hosted(&self) -> bool {
        self.desired.hosting(&self.service).is_some()
    }

    /// Returns whether an engine of a version is listed that does not leave.
    fn is_version_listed(&self, software: &str) -> bool {
        let state = self.edge.state.borrow();
        let mut engines = state.fleet.engines.values();
        engines.any(|e| {
            let entry = &e.entry;
            let stays = entry.phase == EnginePhase::Ready && !e.leaves && !e.replaced;
            stays && entry.service == self.service && *entry.software == *software
        })
    }

    /// Returns whether its caller takes a stream up again.
    fn takes_up(&self) -> bool {
        self.can_be_resumed() && self.headers.last_event.is_some()
    }

    /// Returns the features that other requests may share, and its own.
    fn split_features(&self) -> (&[Feature], &[Feature]) {
        self.features
            .split_at(self.features.len().saturating_sub(1))
    }

    fn age(&self) -> Duration {
        clock::now().saturating_sub(self.arrived_at)
    }

    /// Logs how the request ended.
    fn log_outcome(&self, outcome: &str, status: u16, engine: &str, attempts: &Attempts) {
        let request = &*self.headers.id;
        let route = &*self.route.name;
        let prompt = self.headers.prompt.as_ref();
        let model = prompt.map_or("", |p| &*p.model);
        let adapter = prompt
            .and_then(|p| p.adapter.as_deref())
            .unwrap_or_default();
        let ms = self.age().as_millis() as u64;
        let waited_ms = attempts.waited.as_millis() as u64;
        let first_ms = attempts.first_event.as_millis() as u64;
        let predicted_ms = attempts.predicted.as_millis() as u64;
        let tries = attempts.sent;
        let version = self.desired.version;
        let customer = self.customer_name();
        log::info!(request, route, model, adapter, status, engine, tries, waited_ms, predicted_ms,
            first_ms, ms, version, customer; "request {outcome}");
    }

    fn refuse(
        &self,
        refusal: Refusal,
        cause: &str,
        engine: &str,
        tries: u32,
    ) -> Response<ResponseBody> {
        let kind: &'static str = refusal.kind().into();
        let request = &*self.headers.id;
        let route = &*self.route.name;
        let status = refusal.status().as_u16();
        let ms = self.age().as_millis() as u64;
        let left_ms = self.time_left().as_millis() as u64;
        let retry_ms = refusal.retry_after().map_or(0, |r| r.as_millis() as u64);
        let version = self.desired.version;
        let customer = self.customer_name();
        log::warn!(request, route, status, kind, cause, engine, tries, ms, left_ms, retry_ms,
            version, customer; "request refused");
        self.edge.metrics.record_refusal(refusal.kind());
        early::record_refused(self, refusal.kind());
        refusal.response(&self.headers.id)
    }
}

/// Guard of a caller's request in progress, which is counted until it is dropped.
#[derive(Debug)]
struct RequestGuard {
    edge: Rc<Edge>,
}

impl RequestGuard {
    fn new(edge: &Rc<Edge>) -> Self {
        edge.state.borrow_mut().active_requests += 1;
        RequestGuard { edge: edge.clone() }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.edge.state.borrow_mut().active_requests -= 1;
    }
}

/// Logs a request whose caller disconnects before the response starts: the future that
/// holds this is then dropped.
#[derive(Debug)]
struct DisconnectLogger(Option<Rc<RoutedRequest>>);

impl Drop for DisconnectLogger {
    fn drop(&mut self) {
        let Some(routed) = &self.0 else {
            return;
        };
        let request = &*routed.headers.id;
        let route = &*routed.route.name;
        let model = routed.headers.prompt.as_ref().map_or("", |p| &*p.model);
        let ms = routed.age().as_millis() as u64;
        let left_ms = routed.time_left().as_millis() as u64;
        let version = routed.desired.version;
        let customer = routed.customer_name();
        log::info!(request, route, model, ms, left_ms, version, customer;
            "caller disconnected before the response");
    }
}

/// Handles a caller's request. Dropping the future, as when the caller disconnects,
/// cancels its work at the engine. So does the end of `ended`, when the process exits:
/// the request is then answered with a failure.
pub async fn handle(
    edge: Rc<Edge>,
    request: Request<Incoming>,
    ended: impl Future<Output = ()>,
) -> Result<Response<ResponseBody>, Infallible> {
    let arrived_at = clock::now();
    let (head, body) = request.into_parts();
    let headers = headers::parse_request(&head.headers);
    let limits = edge.state.borrow().desired.limits;
    // A chunked body may grow up to the limit.
    let max_bytes = limits.body as u64;
    let expected = body.size_hint().upper().unwrap_or(max_bytes).min(max_bytes);
    let Some(reservation) = reserve_body(&edge, expected).await else {
        let cause = "no memory left for request bodies";
        return Ok(refuse_unread(&edge, &headers.id, Kind::QueueFull, cause));
    };
    tokio::pin!(ended);
    let read = tokio::select! {
        biased;
        read = read_body(body, &limits) => read,
        () = &mut ended => Err(Kind::Draining),
    };
    let body = match read {
        Ok(body) => body,
        Err(kind) => {
            let cause = "cannot read the request body";
            return Ok(refuse_unread(&edge, &headers.id, kind, cause));
        }
    };
    let body = reservation.hold(body);
    let active = RequestGuard::new(&edge);
    let id = headers.id.clone();
    // Reading the body may have taken longer than a key or a route is there.
    let desired = edge.state.borrow().desired.clone();
    let routed = match route_request(&edge, desired, head, body, headers, arrived_at) {
        Ok(routed) => routed,
        Err((kind, cause)) => return Ok(refuse(&edge, &id, kind, cause)),
    };
    let shutdown = edge.shutdown.get();
    if shutdown.is_some_and(|s| !s.accepts(routed.route.kind, arrived_at)) {
        let refusal = Refusal::not_run(Promise::before_attempts(), Kind::Draining);
        let refusal = refusal.after(OTHER_HOST_RETRY);
        return Ok(routed.refuse(refusal, "this host is shutting down", "", 0));
    }
    if let Err(held) = edge.check_held(&routed.features) {
        let refusal = Refusal::not_run(Promise::before_attempts(), Kind::NotRun);
        let refusal = refusal.after(held.retry_after);
        return Ok(routed.refuse(refusal, &holds::cause(&held), "", 0));
    }
    edge.record_request(&routed.service);
    record_demand(&routed);
    let routed = Rc::new(routed);
    let mut disconnect = DisconnectLogger(Some(routed.clone()));
    let response = tokio::select! {
        biased;
        response = attempt::run_request(routed.clone(), active) => response,
        () = ended => {
            let refusal = Refusal::may_have_run(Unknown::Outcome);
            routed.refuse(refusal, "this host exits while the request is in progress", "", 0)
        }
    };
    disconnect.0 = None;
    Ok(response)
}

/// Finds the route, service and deadline of a request. The error is the kind and cause
/// of the refusal.
fn route_request(
    edge: &Rc<Edge>,
    desired: Rc<DesiredState>,
    head: Parts,
    body: Bytes,
    headers: RequestHeaders,
    arrived_at: Moment,
) -> Result<RoutedRequest, (Kind, &'static str)> {
    if desired.version == 0 {
        return Err((Kind::NotReady, "no desired state is known"));
    }
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let Some(route) = desired.route(host, head.uri.path()) else {
        return Err((Kind::NotFound, "no route matches"));
    };
    let route = route.clone();
    let customer = keys::check(&desired, &route, headers.key.as_ref())
        .map_err(|_| (Kind::BadKey, "no customer holds the key, or there is none"))?
        .cloned();
    let can_be_named = route.has_resumable_streams() && !headers.id.is_empty();
    let stream = can_be_named.then(|| StreamId::of(&headers.id));
    // All hosts choose the same service for a stream and for all that take it up.
    let draw = match headers.resumed {
        Resumed::Stream(first) if route.has_resumable_streams() => first.draw(),
        _ => stream.map_or_else(rand::random, |s| s.draw()),
    };
    let Some(service) = route.choose_service(draw) else {
        return Err((Kind::NoCapacity, "the route has no service"));
    };
    let service = service.clone();
    let mut deadline_source = DeadlineSource::Route;
    let mut time_limit = route.timeout.min(MAX_TIME_LIMIT);
    if let Some(caller_limit) = headers.time_limit.filter(|l| *l < time_limit) {
        time_limit = caller_limit;
        deadline_source = DeadlineSource::Caller;
    }
    let fingerprint = suspects::fingerprint(head.uri.path(), &body);
    let features = suspects::features(fingerprint, headers.shared_parts.iter().copied());
    Ok(RoutedRequest {
        edge: edge.clone(),
        stream,
        head,
        body,
        headers,
        route,
        desired,
        customer,
        service,
        fingerprint,
        features,
        arrived_at,
        deadline: arrived_at + time_limit,
        deadline_source,
    })
}

/// Refuses a request before it is sent to an engine.
fn refuse(edge: &Edge, request: &str, kind: Kind, cause: &str) -> Response<ResponseBody> {
    let mut refusal = Refusal::not_run(Promise::before_attempts(), kind);
    if kind.response().status == 503 {
        refusal = refusal.after(UNREADY_RETRY);
    }
    let name: &'static str = kind.into();
    let status = refusal.status().as_u16();
    let version = edge.state.borrow().desired.version;
    log::warn!(request, status, kind = name, cause, version; "request refused");
    edge.metrics.record_refusal(kind);
    refusal.response(request)
}

/// Refuses a request whose body was not read to its end.
fn refuse_unread(edge: &Edge, request: &str, kind: Kind, cause: &str) -> Response<ResponseBody> {
    let mut response = refuse(edge, request, kind, cause);
    response.extensions_mut().insert(CutShort);
    response
}

/// Refuses a request on a connection beyond the limit; the connection closes.
pub fn refuse_connection(edge: &Edge, request: &Request<Incoming>) -> Response<ResponseBody> {
    let headers = headers::parse_request(request.headers());
    let cause = "too many busy connections";
    refuse_unread(edge, &headers.id, Kind::QueueFull, cause)
}

/// Reserves memory for a request body. If too little is free, closes the connections on which an
/// engine that has answered has not read its request: nobody waits for that any more.
async fn reserve_body(edge: &Edge, bytes: u64) -> Option<BodyReservation> {
    let memory_mb = edge.settings.borrow().memory_mb;
    if let Some(reservation) = edge.body_memory.reserve(bytes, memory_mb) {
        return Some(reservation);
    }
    let held = edge.body_memory.get();
    let connections = edge.client.close_unread().await;
    if connections > 0 {
        let released = held.saturating_sub(edge.body_memory.get());
        log::warn!(connections, held, released; "unread requests dropped");
        edge.metrics.record_unread_requests(connections);
    }
    edge.body_memory.reserve(bytes, memory_mb)
}

async fn read_body(body: Incoming, limits: &RequestLimits) -> Result<Bytes, Kind> {
    let mut body = Limited::new(body, limits.body);
    // The pages of the buffer are taken up as bytes arrive.
    let capacity = body.size_hint().exact().unwrap_or_default();
    let reading = async {
        let mut bytes = BytesMut::with_capacity(capacity as usize);
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok::<_, Box<dyn Error + Send + Sync>>(bytes.freeze())
    };
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::BodyTooLarge),
        Ok(Err(_)) => Err(Kind::BadRequest),
        Err(_) => Err(Kind::SlowClient),
    }
}

/// Adds the engine time that a stream's prompt needs to the demand of its model.
fn record_demand(routed: &RoutedRequest) {
    let Some(prompt) = &routed.headers.prompt else {
        return;
    };
    if routed.route.kind != RouteKind::Stream {
        return;
    }
    let hosting = routed.desired.hosting(&routed.service);
    let model = hosting.and_then(|h| h.models.get(&prompt.model));
    let tight = model.is_some_and(|m| m.is_tight(routed.route.objective));
    let slots = hosting.map_or(0, |h| h.slots);
    let key = ModelKey::new(&routed.service, &prompt.model);
    let engines = routed.edge.settings().engines;
    let mut state = routed.edge.state.borrow_mut();
    state
        .meter
        .record_prompt(key, prompt, &engines, slots, tight, clock::now());
}

/// Records the predicted and the measured time of a first event.
fn record_first_event(routed: &RoutedRequest, engine: &Arc<str>, event: FirstEvent) {
    let edge = &routed.edge;
    edge.metrics
        .record_prediction(event.predicted, event.measured);
    let Some(prompt) = &routed.headers.prompt else {
        return;
    };
    let key = ModelKey::new(&routed.service, &prompt.model);
    let mut state = edge.state.borrow_mut();
    state.record_first_event(key, engine, event, clock::now());
    if !state.engine_news.is_empty() {
        edge.send_wake.notify_one();
    }
}
