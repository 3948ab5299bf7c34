//! Tries of one request at engines, until one answers.
//!
//! A request that may have run is sent again only where its route allows that,
//! after its connection was closed, and within the shared retry budget.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::timeout;

use super::relay::{self, Opened};
use super::reply::{Refusal, Reply};
use super::send::{Answered, Sent, WHOLE_BYTES, send};
use super::{Counted, Job, Limit};
use crate::clock::Moment;
use crate::edge::admission::{AdmissionDecision, TimeBudget};
use crate::edge::clock;
use crate::edge::desired::RouteKind;
use crate::edge::placement::ModelTarget;
use crate::edge::routing::{self, Choice, RoutingContext, RoutingRequest, Selection};
use crate::edge::state::Wanting;
use crate::error::Kind;
use crate::platform::heads;

/// Time left under which nothing is sent any more.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// Longest answer without a length that is read whole, bytes.
const UNFRAMED_BYTES: usize = 1 << 20;
/// Silence over the expected time after which a repeatable request is taken
/// to another engine.
const PATIENCE: Duration = Duration::from_millis(900);
/// Sendings of one request that engines rejected unrun.
const REJECTIONS: u32 = 4;
/// Pause after an engine rejected a request and no other can take it.
const REJECTED_PAUSE: Duration = Duration::from_millis(60);
/// Longest wait for an engine when none of the service is known.
const NO_ENGINE_WAIT: Duration = Duration::from_millis(1_500);
/// Period at which a waiting request looks again without a change, as what is
/// believed expires.
const LOOK: Duration = Duration::from_millis(100);
/// Period at which a request looks again that waits for an engine with less to
/// read: a few steps of a batch.
const HOLD: Duration = Duration::from_millis(20);
/// Objectives after which a silent engine loses a short request.
const SILENT_OBJECTIVES: u32 = 2;
/// Cause of another sending after an engine fell silent; it may still run.
pub(super) const SILENCE: &str = "silence";
/// Time to come back after when engines are full.
const FULL_RETRY: Duration = Duration::from_millis(400);

/// Tries of a request so far.
#[derive(Debug, Default)]
pub(super) struct Tries {
    /// Engines that it was sent to and that may have run it.
    pub sent: u32,
    /// Sendings that an engine rejected unrun.
    pub rejected: u32,
    /// Engines that failed it.
    pub avoid: Vec<Arc<str>>,
    /// It may have run, and nothing says how it ended.
    pub unsure: bool,
    /// Event after which the stream goes on.
    pub last_event: Option<u64>,
    /// It waited for a load.
    pub loaded: bool,
    /// Time from its arrival to its last sending.
    pub waited: Duration,
    /// Predicted time from its last sending to its first event.
    pub predicted: Duration,
    /// Time from its arrival to its first event, or to the whole answer.
    pub first: Duration,
}

/// Why a request ends without an engine's answer.
#[derive(Debug)]
pub(super) struct Failure {
    pub refusal: Refusal,
    pub cause: String,
    pub engine: Arc<str>,
}

/// Runs a request to its answer.
pub(super) async fn run(job: Rc<Job>, counted: Counted) -> Response<Reply> {
    let mut tries = Tries {
        last_event: job.call.last_event,
        ..Tries::default()
    };
    loop {
        let answered = match reach(&job, &mut tries).await {
            Ok(answered) => answered,
            Err(failure) => {
                let count = tries.sent + tries.rejected;
                return job.refuse(failure.refusal, &failure.cause, &failure.engine, count);
            }
        };
        let engine = answered.flight.engine.clone();
        let status = answered.response.status();
        let failed = status.is_server_error() && may_again(&job, &tries);
        let events = job.route.kind == RouteKind::Stream && status.is_success();
        let outcome = match events {
            true => relay::open(&job, answered, &tries).await,
            false => whole(&job, answered).await,
        };
        match outcome {
            Ok(_) if failed && again(&job, &mut tries, &engine, "the engine failed") => {}
            Ok(Opened::Whole(response)) => {
                tries.first = job.age();
                job.log("answered", status.as_u16(), &engine, &tries);
                job.edge.metrics.answered(job.age());
                return response;
            }
            Ok(Opened::Stream(stream)) => {
                tries.first = job.age();
                return relay::start(job, *stream, tries, counted);
            }
            Err(cause) => {
                tries.unsure = true;
                strike(&job, &engine);
                if !again(&job, &mut tries, &engine, &cause) {
                    let refusal = Refusal::new(Kind::UpstreamFailed);
                    return job.refuse(refusal, &cause, &engine, tries.sent);
                }
            }
        }
    }
}

impl Tries {
    /// Whether the route allows another sending of a request that may have run.
    pub(super) fn spare(&self, job: &Job) -> bool {
        job.route.repeatable() && self.sent < job.route.attempts
    }
}

/// Whether a request that may have run may be sent once more.
fn may_again(job: &Job, tries: &Tries) -> bool {
    tries.spare(job) && job.left() > LEAST_LEFT
}

/// Takes leave for another sending of a request that may have run.
pub(super) fn again(job: &Job, tries: &mut Tries, engine: &Arc<str>, cause: &str) -> bool {
    tries.avoid.push(engine.clone());
    if !may_again(job, tries) {
        return false;
    }
    let allowed = job.edge.may_repeat(&job.service);
    if allowed {
        job.edge.metrics.retried();
    }
    let request = &*job.call.id;
    let tries = tries.sent;
    log::info!(request, engine = &**engine, cause, tries, allowed; "request to be sent again");
    allowed
}

/// Notes that an engine broke off while it may have run the request.
pub(super) fn strike(job: &Job, engine: &Arc<str>) {
    let mut state = job.edge.state.borrow_mut();
    if state.suspects.record_crash(job.print, engine, clock::now()) {
        state.crash_reports.push((job.print, engine.clone()));
        drop(state);
        job.edge.urgent.notify_one();
    }
}

/// Sends a request until an engine's answer begins.
pub(super) async fn reach(job: &Job, tries: &mut Tries) -> Result<Box<Answered>, Failure> {
    loop {
        let choice = choose(job, tries).await?;
        tries.waited = job.age();
        tries.predicted = choice.first_event;
        let patience = patience(job, tries, &choice);
        let engine = choice.engine.clone();
        let fail = |kind, cause: String| Failure {
            refusal: match kind {
                Kind::UpstreamFailed | Kind::OutcomeUnknown => Refusal::new(kind),
                _ => Refusal::after(kind, FULL_RETRY),
            },
            cause,
            engine: engine.clone(),
        };
        match send(job, tries, &choice, patience).await {
            Sent::Answered(answered) => {
                tries.sent += 1;
                return Ok(answered);
            }
            Sent::NotRun(status) => {
                tries.rejected += 1;
                let cause = format!("the engine rejected it with {}", status.as_u16());
                tries.avoid.push(engine.clone());
                if tries.rejected >= REJECTIONS || !job.edge.may_repeat(&job.service) {
                    return Err(fail(unrun(tries), cause));
                }
                if status != StatusCode::MISDIRECTED_REQUEST {
                    tokio::time::sleep(REJECTED_PAUSE.min(job.left())).await;
                }
            }
            Sent::Unreached(cause) => {
                tries.rejected += 1;
                tries.avoid.push(engine.clone());
                if tries.rejected >= REJECTIONS {
                    return Err(fail(unrun(tries), cause));
                }
            }
            Sent::Broken(cause) => {
                tries.sent += 1;
                tries.unsure = true;
                strike(job, &engine);
                if !again(job, tries, &engine, &cause) {
                    return Err(fail(Kind::UpstreamFailed, cause));
                }
            }
            Sent::Silent => {
                tries.sent += 1;
                tries.unsure = true;
                if !again(job, tries, &engine, SILENCE) {
                    return Err(fail(Kind::OutcomeUnknown, SILENCE.to_owned()));
                }
            }
        }
    }
}

/// The kind of refusal after a sending that did not run: whether an earlier
/// one may have decides.
fn unrun(tries: &Tries) -> Kind {
    match tries.unsure {
        true => Kind::OutcomeUnknown,
        false => Kind::NoCapacity,
    }
}

/// How long the engine may stay silent before the request goes elsewhere.
fn patience(job: &Job, tries: &Tries, choice: &Choice) -> Duration {
    let left = job.left();
    let last = tries.sent + 1 >= job.route.attempts;
    if !job.route.repeatable() || last {
        return left;
    }
    let usual = match job.route.kind {
        RouteKind::Stream => choice.first_event + PATIENCE.max(job.route.objective),
        RouteKind::Idempotent | RouteKind::Once => {
            choice.first_event + job.route.objective * SILENT_OBJECTIVES
        }
    };
    usual.min(left)
}

fn pick(job: &Job, avoid: &[Arc<str>], now: Moment) -> Selection {
    let settings = job.edge.settings();
    let state = job.edge.state.borrow();
    let view = RoutingContext {
        fleet: &state.fleet,
        desired: &job.desired,
        meter: &state.meter,
        engines: &settings.engines,
        domain: &settings.domain,
        now,
    };
    let asked = RoutingRequest {
        service: &job.service,
        kind: job.route.kind,
        prompt: job.call.prompt.as_ref(),
        fingerprint: job.print,
        avoid,
    };
    routing::select_engine(&view, &asked)
}

/// Waits for an engine that can take the request.
async fn choose(job: &Job, tries: &mut Tries) -> Result<Choice, Failure> {
    let mut changes = job.edge.changed.subscribe();
    let mut wanting: Option<(ModelTarget, Wanting)> = None;
    let since = clock::now();
    let mut held = false;
    loop {
        changes.borrow_and_update();
        let now = clock::now();
        let left = job.left();
        let fail = |kind, cause: &str, wait| {
            let kind = match tries.unsure {
                true => Kind::OutcomeUnknown,
                false => kind,
            };
            Failure {
                refusal: Refusal::after(kind, wait),
                cause: cause.to_owned(),
                engine: "".into(),
            }
        };
        if left < LEAST_LEFT {
            let kind = match job.limit {
                Limit::Caller => Kind::DeadlineExpired,
                Limit::Route => Kind::NoCapacity,
            };
            return Err(fail(
                kind,
                "the time ran out before it was sent",
                FULL_RETRY,
            ));
        }
        let leaving = job.edge.leaving.get();
        if leaving.is_some_and(|l| now >= l.refusing()) {
            let cause = "this host stops before it could be sent";
            return Err(fail(Kind::Draining, cause, super::ELSEWHERE));
        }
        let waited = now.saturating_sub(since);
        let resumed = !tries.first.is_zero();
        let time = TimeBudget::new(&job.route, job.age(), waited, left, resumed);
        let limits = job.edge.settings().admission;
        let most = match time.decide(pick(job, &tries.avoid, now), &limits) {
            AdmissionDecision::Send(choice) => return Ok(choice),
            AdmissionDecision::Refuse {
                kind,
                cause,
                retry_after,
                load,
            } => {
                // The load begins although nobody waits here, for the next try.
                drop(load.map(|target| job.edge.want(target, job.route.priority)));
                return Err(fail(kind, cause, retry_after));
            }
            AdmissionDecision::Hold => {
                if !held {
                    held = true;
                    let request = &*job.call.id;
                    let left_ms = time.event_left.as_millis() as u64;
                    log::info!(request, left_ms; "request waits for an engine with less to read");
                }
                HOLD
            }
            AdmissionDecision::NoEngine => {
                let Some(most) = NO_ENGINE_WAIT.checked_sub(time.waited) else {
                    let cause = "no engine of the service is known";
                    return Err(fail(Kind::NoCapacity, cause, FULL_RETRY));
                };
                most
            }
            AdmissionDecision::WaitForLoad(target) => {
                if wanting.as_ref().is_none_or(|(t, _)| *t != target) {
                    let priority = job.route.priority;
                    let want = job.edge.want(target.clone(), priority);
                    let request = &*job.call.id;
                    let model = &*target.model;
                    let adapter = target.adapter.as_deref().unwrap_or_default();
                    log::info!(request, model, adapter; "request waits for a load");
                    wanting = Some((target, want));
                    tries.loaded = true;
                }
                left
            }
        };
        let pause = most.min(LOOK);
        let _ = timeout(pause, changes.changed()).await;
    }
}

/// Reads an answer whole; one that is too long for that is passed on as it
/// comes. The error says how the answer broke.
async fn whole(job: &Rc<Job>, answered: Box<Answered>) -> Result<Opened, String> {
    let Answered {
        response,
        conn,
        said,
        flight,
        ..
    } = *answered;
    let (mut head, body) = response.into_parts();
    let long = body_length(&head.headers).is_some_and(|n| n > WHOLE_BYTES);
    head.headers = heads::to_caller(&head.headers);
    if long {
        flight.prompt_done();
        return Ok(relay::raw(head, body, conn, flight));
    }
    let read = Limited::new(body, UNFRAMED_BYTES).collect();
    let read = match timeout(job.left(), read).await {
        Ok(read) => read,
        Err(_) => return Err("the answer did not end in time".to_owned()),
    };
    match read {
        Ok(body) => {
            if !said.closing {
                conn.keep(said.idle);
            }
            flight.judge(!head.status.is_server_error());
            job.edge.state.borrow_mut().suspects.clear(job.print);
            let reply = Reply::Whole(Some(body.to_bytes()));
            Ok(Opened::Whole(Response::from_parts(head, reply)))
        }
        Err(error) if error.is::<LengthLimitError>() => {
            Err("an answer without length is too long".to_owned())
        }
        Err(error) => {
            flight.judge(false);
            conn.distrust();
            Err(format!("the answer broke off: {error}"))
        }
    }
}

fn body_length(headers: &http::HeaderMap) -> Option<usize> {
    let length = headers.get(http::header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}
