//! Attempts of one request at engines until one responds.
//!
//! A request that may have run is sent again only if its route allows that, and within the
//! shared retry budget.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::timeout;

use super::charge::{Charged, charge};
use super::early::{self, Tried};
use super::framing::Framing;
use super::holds;
use super::keys;
use super::permit::{seek_permit, seek_renewal};
use super::relay::{self, OpenError, OpenedResponse};
use super::response::{Refusal, ResponseBody, Unknown};
use super::retry::{self, Attempts, MIN_TIME_LEFT, can_retry, record_broken_run, start_retry};
use super::selection::{select_next, select_permitted};
use super::send::{EngineResponse, MAX_WHOLE_BYTES, SendOutcome};
use super::take_up;
use super::turn::{self, Place};
use super::{DeadlineSource, RequestGuard, RoutedRequest};
use crate::edge::admission::{AdmissionDecision, TimeBudget};
use crate::edge::clock;
use crate::edge::desired::RouteKind;
use crate::edge::order::WaitCause;
use crate::edge::permits::PermitState;
use crate::edge::placement::ModelTarget;
use crate::edge::routing::{SelectedEngine, Selection};
use crate::edge::suspects::Progress;
use crate::edge::waiting::WaitGuard;
use crate::error::Kind;
use crate::platform::headers;

/// Maximum size of a response without a content length, which is read whole, bytes.
const MAX_UNFRAMED_BYTES: usize = 1 << 20;
/// Time past the predicted first event after which a repeatable stream whose response has
/// not started is sent to another engine, unless the route's objective is longer.
const RESPONSE_SLACK: Duration = Duration::from_millis(900);
/// Maximum number of attempts of one request that do not run: the engine rejects them or
/// cannot be reached.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;
/// Pause after an engine rejected a request, before another engine is selected.
const REJECTION_PAUSE: Duration = Duration::from_millis(60);
/// Maximum pause after a rejection, as a multiple of [`REJECTION_PAUSE`].
const MAX_REJECTION_PAUSES: u32 = 8;
/// Maximum wait for an engine while no engine of the service is known.
const NO_ENGINE_WAIT: Duration = Duration::from_millis(1_500);
/// Interval at which a waiting request selects an engine again without a change, because
/// what is known of engines expires.
const RESELECT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a request selects an engine again while it is held until an engine
/// has a shorter prefill backlog; a few steps of a batch.
const HELD_RESELECT_INTERVAL: Duration = Duration::from_millis(20);
/// Multiple of the route's objective, past the predicted time, after which a repeatable
/// short request without a response is sent to another engine.
const SILENCE_OBJECTIVE_FACTOR: u32 = 2;
/// Retry delay when engines are full.
const FULL_RETRY: Duration = Duration::from_millis(400);

/// Why a request ends without an engine's response.
#[derive(Debug)]
pub(super) struct Failure {
    pub refusal: Refusal,
    pub cause: String,
    pub engine: Arc<str>,
}

/// Runs a request until it has a response.
pub(super) async fn run_request(
    routed: Rc<RoutedRequest>,
    active: RequestGuard,
) -> Response<ResponseBody> {
    let mut attempts = Attempts {
        last_event: routed.headers.last_event,
        ..Attempts::default()
    };
    if routed.takes_up() {
        match take_up::find_software(&routed, &attempts).await {
            Ok(software) => attempts.software = Some(software),
            Err(failure) => return routed.refuse(failure.refusal, &failure.cause, "", 0),
        }
    }
    loop {
        let engine_response = match send_until_response(&routed, &mut attempts).await {
            Ok(engine_response) => engine_response,
            Err(failure) => {
                let tries = attempts.sent + attempts.not_run;
                return routed.refuse(failure.refusal, &failure.cause, &failure.engine, tries);
            }
        };
        let engine = engine_response.in_flight.engine.clone();
        let status = engine_response.response.status();
        // A trial is sent to one engine.
        let may_retry = can_retry(&routed, &attempts) && !attempts.is_trial;
        let failed = status.is_server_error() && may_retry;
        let is_stream = routed.route.kind == RouteKind::Stream && status.is_success();
        let outcome = match is_stream {
            true => relay::open_stream(&routed, engine_response, &mut attempts).await,
            false => read_response(&routed, engine_response).await,
        };
        match outcome {
            Ok(_)
                if failed
                    && retry::take_retry(&routed, &mut attempts, &engine, "the engine failed") => {}
            Ok(OpenedResponse::Complete(response)) => {
                attempts.first_event = routed.age();
                routed.log_outcome("answered", status.as_u16(), &engine, &attempts);
                routed.edge.metrics.record_answer(routed.age());
                return response;
            }
            Ok(OpenedResponse::Stream(stream)) => {
                attempts.first_event = routed.age();
                return relay::start_stream(routed, *stream, attempts, active);
            }
            Err(OpenError::Broken(cause)) => {
                record_broken_run(&routed, &mut attempts, Progress::after_head(None));
                if !start_retry(&routed, &mut attempts, &engine, &cause).await {
                    let refusal = Refusal::may_have_run(Unknown::Failed);
                    return routed.refuse(refusal, &cause, &engine, attempts.sent);
                }
            }
            Err(OpenError::Unrecorded) => {
                let cause = "the version that began the stream could not be recorded";
                if !start_retry(&routed, &mut attempts, &engine, cause).await {
                    let refusal = Refusal::may_have_run(Unknown::Failed);
                    return routed.refuse(refusal, cause, &engine, attempts.sent);
                }
            }
            Err(OpenError::Abandoned) => {}
            Err(OpenError::DeadlinePassed) => {
                let refusal = Refusal::may_have_run(Unknown::Outcome);
                let cause = "no whole answer or first event before the deadline";
                return routed.refuse(refusal, cause, &engine, attempts.sent);
            }
        }
    }
}

/// Sends a request until the head of an engine's response arrives.
pub(super) async fn send_until_response(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
) -> Result<Box<EngineResponse>, Failure> {
    loop {
        let choice = wait_for_engine(routed, attempts).await?;
        if charge(routed, attempts, &choice).await? == Charged::Waited {
            continue;
        }
        attempts.waited = routed.age();
        attempts.predicted = choice.first_event;
        let max_silence = response_timeout(routed, &choice);
        holds::admit(routed, attempts, &choice.engine).await?;
        keys::recheck(routed, attempts)?;
        let was_abandoned = attempts.return_to(&choice.engine);
        attempts.sent += 1;
        if let Some(stream) = attempts.begins(routed) {
            let edge = &routed.edge;
            edge.begin_stream(stream, &routed.service, &choice.software);
        }
        attempts.record_exposure(true);
        let tried = early::send_first(routed, attempts, &choice, max_silence).await;
        attempts.record_exposure(attempts.exposure.may_have_run());
        let Tried { engine, outcome } = tried;
        let fail = |refusal, cause: String| Failure {
            refusal,
            cause,
            engine: engine.clone(),
        };
        match outcome {
            SendOutcome::Response(engine_response) => return Ok(engine_response),
            SendOutcome::NotRun(status) => {
                early::record_refused(routed, Kind::NoCapacity);
                attempts.record_not_run(&engine, was_abandoned);
                let cause = format!("the engine rejected the request with {}", status.as_u16());
                let is_last = attempts.not_run >= MAX_NOT_RUN_ATTEMPTS && !attempts.persists();
                if is_last || !retry::await_budget(routed, attempts).await {
                    return Err(fail(refuse_not_run(attempts), cause));
                }
                // The first engine that lacks the model says nothing about the others.
                if status != StatusCode::MISDIRECTED_REQUEST || attempts.not_run > 1 {
                    rejection_pause(routed, attempts).await;
                }
            }
            SendOutcome::Withheld => attempts.cancel_send(&engine, was_abandoned),
            SendOutcome::NotSent(cause) => {
                attempts.record_not_run(&engine, was_abandoned);
                if attempts.not_run >= MAX_NOT_RUN_ATTEMPTS {
                    if !attempts.persists() {
                        return Err(fail(refuse_not_run(attempts), cause));
                    }
                    rejection_pause(routed, attempts).await;
                }
            }
            SendOutcome::Failed(cause) => {
                record_broken_run(routed, attempts, Progress::Waiting);
                if !start_retry(routed, attempts, &engine, &cause).await {
                    return Err(fail(Refusal::may_have_run(Unknown::Failed), cause));
                }
            }
            SendOutcome::Unproven(cause) => {
                if !start_retry(routed, attempts, &engine, &cause).await {
                    return Err(fail(Refusal::may_have_run(Unknown::Failed), cause));
                }
            }
            SendOutcome::Abandoned => {}
            SendOutcome::DeadlinePassed => {
                let cause = "no response before the deadline";
                let refusal = Refusal::may_have_run(Unknown::Outcome);
                return Err(fail(refusal, cause.to_owned()));
            }
        }
    }
}

/// Waits after a rejection, longer after each.
async fn rejection_pause(routed: &RoutedRequest, attempts: &Attempts) {
    let pause = REJECTION_PAUSE * attempts.not_run.clamp(1, MAX_REJECTION_PAUSES);
    tokio::time::sleep(pause.min(routed.time_left())).await;
}

/// Returns the refusal after an attempt that did not run: the outcome is unknown if an earlier
/// attempt may have run.
fn refuse_not_run(attempts: &Attempts) -> Refusal {
    match attempts.exposure.promise() {
        Some(promise) => Refusal::not_run(promise, Kind::NoCapacity).after(FULL_RETRY),
        None => Refusal::may_have_run(Unknown::Outcome),
    }
}

/// Returns how long an engine's response may take before another engine may take over.
fn response_timeout(routed: &RoutedRequest, choice: &SelectedEngine) -> Option<Duration> {
    let objective = routed.route.objective;
    match routed.route.kind {
        RouteKind::Stream => Some(choice.first_event + RESPONSE_SLACK.max(objective)),
        RouteKind::Idempotent => Some(choice.first_event + objective * SILENCE_OBJECTIVE_FACTOR),
        RouteKind::Once => None,
    }
}

/// Waits for an engine that can take the request.
async fn wait_for_engine(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
) -> Result<SelectedEngine, Failure> {
    let mut changes = routed.edge.changed.subscribe();
    let mut load_wait: Option<(ModelTarget, WaitGuard)> = None;
    let started_at = clock::now();
    let mut held = false;
    let mut place = Place::new(routed);
    loop {
        changes.borrow_and_update();
        keys::recheck(routed, attempts)?;
        let now = clock::now();
        let time_left = routed.time_left();
        let fail = |attempts: &Attempts, kind, cause: &str, retry_after| Failure {
            refusal: attempts.refuse(kind).after(retry_after),
            cause: cause.to_owned(),
            engine: "".into(),
        };
        if time_left < MIN_TIME_LEFT {
            let kind = match routed.deadline_source {
                DeadlineSource::Caller => Kind::DeadlineExpired,
                DeadlineSource::Route => Kind::NoCapacity,
            };
            let cause = "the deadline passed before the request was sent";
            return Err(fail(attempts, kind, cause, FULL_RETRY));
        }
        let shutdown = routed.edge.shutdown.get();
        if shutdown.is_some_and(|s| !s.allows_send(attempts.persists(), now)) {
            let cause = "this host shuts down before the request could be sent";
            return Err(fail(
                attempts,
                Kind::Draining,
                cause,
                super::OTHER_HOST_RETRY,
            ));
        }
        let waited = now.saturating_sub(started_at);
        let resumed = !attempts.first_event.is_zero();
        let budget = TimeBudget::new(&routed.route, routed.age(), waited, time_left, resumed);
        let limits = routed.edge.settings().admission;
        let mut selection = select_next(routed, attempts, now);
        if (resumed || routed.takes_up())
            && let Selection::Engine(choice) = selection
        {
            // The caller has a part of the answer, so that the rest is never refused.
            return Ok(choice);
        }
        if let Some(software) = &attempts.software
            && selection == Selection::NoEngine
            && !routed.is_version_listed(software)
        {
            let cause = "no engine of the version that began the stream is left";
            return Err(fail(attempts, Kind::NoCapacity, cause, take_up::GONE_RETRY));
        }
        let seen = turn::look(&selection, now);
        let refusal = place.refuse_behind(attempts, &budget, &selection, now);
        let paused = match &selection {
            Selection::NotLoaded { paused, .. } => paused.clone(),
            _ => BTreeSet::new(),
        };
        let goes_on = attempts.persists() && (resumed || !budget.event_left.is_zero());
        let mut permit_return = None;
        let patience = budget.permit_patience(&selection, goes_on);
        if budget.is_on_time(&selection) {
            match seek_renewal(routed, attempts, patience, now) {
                Some(PermitState::Waiting) => {
                    place.keep(attempts, &budget, &seen, WaitCause::Permit, now);
                    place.wait(RESELECT_INTERVAL, &mut changes).await;
                    continue;
                }
                Some(PermitState::Granted(engine)) => {
                    let permitted = select_permitted(routed, attempts, &engine, now);
                    selection = permitted
                        .filter(|s| budget.is_on_time(s))
                        .unwrap_or(selection);
                }
                Some(PermitState::Refused(_)) => attempts.permit = None,
                None => {}
            }
        } else {
            match seek_permit(routed, attempts, patience, now) {
                Some(PermitState::Waiting) => {
                    place.keep(attempts, &budget, &seen, WaitCause::Permit, now);
                    place.wait(RESELECT_INTERVAL, &mut changes).await;
                    continue;
                }
                Some(PermitState::Refused(delay)) => permit_return = Some(delay),
                Some(PermitState::Granted(_)) | None => {}
            }
            // A request that goes on applies again; a permit that is of no use goes to another.
            let is_usable = matches!(selection, Selection::Engine(_));
            if !is_usable && (goes_on || permit_return.is_none()) {
                attempts.permit = None;
            }
        }
        let until_permit = |delay: Duration| permit_return.map_or(delay, |p| p.min(delay));
        let mut cause = WaitCause::Engine;
        let decision = refusal.unwrap_or_else(|| budget.decide(selection, &limits));
        let max_pause = match decision {
            AdmissionDecision::Send(choice) => {
                if place.take_turn(attempts, &budget, &choice, now) {
                    return Ok(choice);
                }
                place.wait(RESELECT_INTERVAL, &mut changes).await;
                continue;
            }
            AdmissionDecision::Refuse { kind, .. } if goes_on && kind != Kind::UnknownModel => {
                RESELECT_INTERVAL
            }
            AdmissionDecision::ReturnLater(_) if goes_on => RESELECT_INTERVAL,
            AdmissionDecision::NoPermit if goes_on => RESELECT_INTERVAL,
            AdmissionDecision::NoPermit => {
                let cause = "the engines have named a rate that is used up";
                let retry_after = permit_return.unwrap_or(FULL_RETRY);
                return Err(fail(attempts, Kind::NoCapacity, cause, retry_after));
            }
            AdmissionDecision::ReturnLater(paused) => {
                let retry_after = until_permit(routed.edge.book_return(&paused));
                let cause = "the engines want no requests of this host now";
                return Err(fail(attempts, Kind::NoCapacity, cause, retry_after));
            }
            AdmissionDecision::Refuse {
                kind,
                cause,
                retry_after,
                load,
            } => {
                let retry_after = until_permit(retry_after);
                // Starts the load for the caller's retry, although no request waits here.
                if let Some(target) = load {
                    let edge = &routed.edge;
                    let retry_at = now + retry_after;
                    edge.expect_retry(target.clone(), routed.priority(), retry_at);
                    edge.record_paused(&target, paused);
                }
                return Err(fail(attempts, kind, cause, retry_after));
            }
            AdmissionDecision::Hold => {
                cause = WaitCause::Backlog;
                if !held {
                    held = true;
                    let request = &*routed.headers.id;
                    let left_ms = budget.event_left.as_millis() as u64;
                    log::info!(request, left_ms;
                        "request held until an engine has a shorter prefill backlog");
                }
                HELD_RESELECT_INTERVAL
            }
            AdmissionDecision::Pause(left) => {
                cause = WaitCause::Pause;
                left
            }
            AdmissionDecision::NoEngine
                if attempts.persists()
                    && (attempts.route_allows_retry(routed) || attempts.may_return(routed)) =>
            {
                RESELECT_INTERVAL
            }
            AdmissionDecision::NoEngine => {
                let Some(wait) = NO_ENGINE_WAIT.checked_sub(budget.waited) else {
                    let cause = "no engine of the service is known";
                    return Err(fail(attempts, Kind::NoCapacity, cause, FULL_RETRY));
                };
                wait
            }
            AdmissionDecision::WaitForLoad(target) => {
                cause = WaitCause::Load;
                if load_wait.as_ref().is_none_or(|(t, _)| *t != target) {
                    let priority = routed.priority();
                    let guard = routed.edge.add_waiting(target.clone(), priority);
                    let request = &*routed.headers.id;
                    let model = &*target.model;
                    let adapter = target.adapter.as_deref().unwrap_or_default();
                    log::info!(request, model, adapter; "request waits for a load");
                    load_wait = Some((target.clone(), guard));
                    attempts.load_waited = true;
                }
                routed.edge.record_paused(&target, paused);
                time_left
            }
        };
        place.keep(attempts, &budget, &seen, cause, now);
        let pause = max_pause.min(RESELECT_INTERVAL);
        place.wait(pause, &mut changes).await;
    }
}

/// Reads a response whole, or relays it as it arrives if it is too long for that. The
/// error says why the response is incomplete or unusable.
async fn read_response(
    routed: &Rc<RoutedRequest>,
    engine_response: Box<EngineResponse>,
) -> Result<OpenedResponse, OpenError> {
    let EngineResponse {
        response,
        connection,
        headers,
        in_flight,
        ..
    } = *engine_response;
    let (mut head, body) = response.into_parts();
    let framing = Framing::of(&head.headers, &body);
    let is_long = content_length(&head.headers).is_some_and(|n| n > MAX_WHOLE_BYTES);
    head.headers = headers::to_caller(&head.headers);
    if is_long {
        in_flight.record_prompt_read();
        return Ok(relay::relay_body(routed, head, body, connection, in_flight));
    }
    let body = Limited::new(body, MAX_UNFRAMED_BYTES).collect();
    let body = match timeout(routed.time_left(), body).await {
        Ok(body) => body,
        Err(_) => {
            in_flight.abandon();
            return Err(OpenError::DeadlinePassed);
        }
    };
    match body {
        Ok(body) => {
            if !headers.closes {
                connection.release(headers.idle_timeout);
            }
            in_flight.record_outcome(!head.status.is_server_error());
            in_flight.record_end();
            // A failure may be of a request that the engine has not begun to answer, and the
            // connection of an engine that crashes may end in order.
            if head.status.is_success() && framing != Framing::Close {
                routed.edge.record_answered(&routed.features);
            }
            let body = ResponseBody::Whole(Some(body.to_bytes()));
            Ok(OpenedResponse::Complete(Response::from_parts(head, body)))
        }
        Err(error) if error.is::<LengthLimitError>() => {
            in_flight.record_end();
            let cause = "the response has no content length and is too long";
            Err(OpenError::Broken(cause.to_owned()))
        }
        Err(error) => {
            in_flight.record_outcome(false);
            in_flight.record_end();
            connection.drop_idle();
            let cause = format!("the response was truncated: {error}");
            Err(OpenError::Broken(cause))
        }
    }
}

fn content_length(headers: &http::HeaderMap) -> Option<usize> {
    let length = headers.get(http::header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}
