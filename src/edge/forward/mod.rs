//! The way of a caller's request: route, engine, answer.

mod attempt;
mod relay;
pub mod reply;
mod send;

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use self::attempt::Tries;
use self::reply::{Refusal, Reply};
use super::call::Call;
use super::clock;
use super::demand::ModelKey;
use super::desired::{Desired, Limits, Route, RouteKind};
use super::room::Room;
use super::state::Edge;
use super::suspects;
use crate::clock::Moment;
use crate::error::Kind;
use crate::platform::heads;

/// Longest time for a body to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Time to come back after when another host can take the request at once.
const ELSEWHERE: Duration = Duration::from_millis(50);
/// Time to come back after when this host knows too little or holds too much.
const UNREADY_RETRY: Duration = Duration::from_millis(500);
/// Time limit of a request for which nobody set one.
const USUAL_LIMIT: Duration = Duration::from_secs(60);

/// A request that was read whole and has a route.
#[derive(Debug)]
struct Job {
    edge: Rc<Edge>,
    head: Parts,
    body: Bytes,
    call: Call,
    route: Arc<Route>,
    desired: Rc<Desired>,
    /// Service that takes it.
    service: Arc<str>,
    /// Fingerprint of path and body.
    print: u64,
    arrived: Moment,
    /// When its answer must have ended.
    end: Moment,
    /// End that the caller itself set, or the route.
    limit: Limit,
}

/// Who ends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Limit {
    /// The caller's own time limit.
    Caller,
    /// The route's.
    Route,
}

impl Job {
    fn left(&self) -> Duration {
        self.end.saturating_sub(clock::now())
    }

    fn age(&self) -> Duration {
        clock::now().saturating_sub(self.arrived)
    }

    /// Logs how the request ended.
    fn log(&self, outcome: &str, status: u16, engine: &str, tries: &Tries) {
        let request = &*self.call.id;
        let route = &*self.route.name;
        let prompt = self.call.prompt.as_ref();
        let model = prompt.map_or("", |p| &*p.model);
        let adapter = prompt
            .and_then(|p| p.adapter.as_deref())
            .unwrap_or_default();
        let ms = self.age().as_millis() as u64;
        let waited_ms = tries.waited.as_millis() as u64;
        let first_ms = tries.first.as_millis() as u64;
        let predicted_ms = tries.predicted.as_millis() as u64;
        let tries = tries.sent;
        let version = self.desired.version;
        log::info!(request, route, model, adapter, status, engine, tries, waited_ms, predicted_ms,
            first_ms, ms, version; "request {outcome}");
    }

    fn refuse(&self, refusal: Refusal, cause: &str, engine: &str, tries: u32) -> Response<Reply> {
        let kind: &'static str = refusal.kind.into();
        let request = &*self.call.id;
        let route = &*self.route.name;
        let status = refusal.status().as_u16();
        let ms = self.age().as_millis() as u64;
        let left_ms = self.left().as_millis() as u64;
        let retry_ms = refusal.retry.map_or(0, |r| r.as_millis() as u64);
        let version = self.desired.version;
        log::warn!(request, route, status, kind, cause, engine, tries, ms, left_ms, retry_ms,
            version; "request refused");
        self.edge.metrics.refused(refusal.kind);
        refusal.answer(&self.call.id)
    }
}

/// Counts a request, and keeps room for its body, while it is in progress.
#[derive(Debug)]
struct Counted {
    edge: Rc<Edge>,
    _room: Room,
}

impl Counted {
    fn new(edge: &Rc<Edge>, room: Room) -> Self {
        edge.state.borrow_mut().requests += 1;
        Counted {
            edge: edge.clone(),
            _room: room,
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.edge.state.borrow_mut().requests -= 1;
    }
}

/// Logs a request whose caller leaves before its answer begins: then the
/// future that holds this is dropped.
#[derive(Debug)]
struct Unanswered(Option<Rc<Job>>);

impl Drop for Unanswered {
    fn drop(&mut self) {
        let Some(job) = &self.0 else {
            return;
        };
        let request = &*job.call.id;
        let route = &*job.route.name;
        let model = job.call.prompt.as_ref().map_or("", |p| &*p.model);
        let ms = job.age().as_millis() as u64;
        let left_ms = job.left().as_millis() as u64;
        let version = job.desired.version;
        log::info!(request, route, model, ms, left_ms, version;
            "request left by its caller before its answer");
    }
}

/// Answers a caller's request. Dropping the future, as when the caller leaves,
/// cancels what is in progress for it.
pub async fn handle(
    edge: Rc<Edge>,
    request: Request<Incoming>,
) -> Result<Response<Reply>, Infallible> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let call = heads::call(&head.headers);
    let desired = edge.state.borrow().desired.clone();
    // A body in chunks may become as long as is allowed.
    let most = desired.limits.body as u64;
    let expected = body.size_hint().upper().unwrap_or(most).min(most);
    let Some(mut room) = Room::take(&edge, expected) else {
        let cause = "too many bodies are held";
        return Ok(refuse(&edge, &call.id, Kind::QueueFull, cause));
    };
    let body = match read(body, &desired.limits).await {
        Ok(body) => body,
        Err(kind) => return Ok(refuse(&edge, &call.id, kind, "the body cannot be read")),
    };
    room.shrink(body.len() as u64);
    let counted = Counted::new(&edge, room);
    let id = call.id.clone();
    let job = match job(&edge, desired, head, body, call, arrived) {
        Ok(job) => job,
        Err((kind, cause)) => return Ok(refuse(&edge, &id, kind, cause)),
    };
    let leaving = edge.leaving.get();
    if leaving.is_some_and(|l| !l.takes(job.route.kind, arrived)) {
        let refusal = Refusal::after(Kind::Draining, ELSEWHERE);
        return Ok(job.refuse(refusal, "this host is stopping", "", 0));
    }
    let held = edge.state.borrow().suspects.held(job.print, arrived);
    if let Some(wait) = held {
        let refusal = Refusal::after(Kind::NotRun, wait);
        return Ok(job.refuse(refusal, "engines crashed on it", "", 0));
    }
    edge.note_request(&job.service);
    note_demand(&job);
    let job = Rc::new(job);
    let mut unanswered = Unanswered(Some(job.clone()));
    let response = attempt::run(job, counted).await;
    unanswered.0 = None;
    Ok(response)
}

/// Finds the route of a request and what limits it; the error says why it is
/// refused.
fn job(
    edge: &Rc<Edge>,
    desired: Rc<Desired>,
    head: Parts,
    body: Bytes,
    call: Call,
    arrived: Moment,
) -> Result<Job, (Kind, &'static str)> {
    if desired.version == 0 {
        return Err((Kind::NotReady, "no desired state is known"));
    }
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let Some(route) = desired.route(host, head.uri.path()) else {
        return Err((Kind::NotFound, "no route"));
    };
    let route = route.clone();
    let Some(service) = route.target(rand::random()) else {
        return Err((Kind::NoCapacity, "the route has no service"));
    };
    let service = service.clone();
    let mut limit = Limit::Route;
    let mut time = route.timeout.min(USUAL_LIMIT);
    if let Some(callers) = call.limit.filter(|l| *l < time) {
        time = callers;
        limit = Limit::Caller;
    }
    let print = suspects::fingerprint(head.uri.path(), &body);
    Ok(Job {
        edge: edge.clone(),
        head,
        body,
        call,
        route,
        desired,
        service,
        print,
        arrived,
        end: arrived + time,
        limit,
    })
}

fn refuse(edge: &Edge, request: &str, kind: Kind, cause: &str) -> Response<Reply> {
    let refusal = match kind.answer().status {
        503 => Refusal::after(kind, UNREADY_RETRY),
        _ => Refusal::new(kind),
    };
    let name: &'static str = kind.into();
    let status = refusal.status().as_u16();
    log::warn!(request, status, kind = name, cause; "request refused");
    edge.metrics.refused(kind);
    refusal.answer(request)
}

async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, Kind> {
    let body = Limited::new(body, limits.body).collect();
    match tokio::time::timeout(BODY_TIME, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::BodyTooLarge),
        Ok(Err(_)) => Err(Kind::BadRequest),
        Err(_) => Err(Kind::SlowClient),
    }
}

/// Notes the engine time that a request asks for.
fn note_demand(job: &Job) {
    let Some(prompt) = &job.call.prompt else {
        return;
    };
    if job.route.kind != RouteKind::Stream {
        return;
    }
    let hosting = job.desired.hosting(&job.service);
    let model = hosting.and_then(|h| h.models.get(&prompt.model));
    let tight = model.is_some_and(|m| m.tight(job.route.objective));
    let which = ModelKey::new(&job.service, &prompt.model);
    let engines = job.edge.settings().engines;
    let mut state = job.edge.state.borrow_mut();
    state
        .meter
        .record_prompt(which, prompt, &engines, tight, clock::now());
}

/// Notes how long a first event took that was predicted after `predicted`.
fn note_first(job: &Job, engine: &Arc<str>, predicted: Duration, seen: Duration) {
    job.edge.metrics.predicted(predicted, seen);
    let Some(prompt) = &job.call.prompt else {
        return;
    };
    let which = ModelKey::new(&job.service, &prompt.model);
    let mut state = job.edge.state.borrow_mut();
    state.first_event(which, engine, (predicted, seen), clock::now());
}
