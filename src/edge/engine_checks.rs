//! Checks of engines: of those that have started again and were heard to say that they leave,
//! whether the lifetime before or the new one has said it; of those that take hardly any
//! requests, whether they still say so; of those that could not be reached, whether they answer.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;

use super::clock;
use super::exchange::{CallKind, Recipient, other_start};
use super::state::Edge;
use crate::platform::orders;

/// Starts the checks that are due.
pub fn start_due(edge: &Rc<Edge>) {
    let due = edge.state.borrow_mut().fleet.take_checks(clock::now());
    for recipient in due {
        tokio::task::spawn_local(check(edge.clone(), recipient));
    }
    for recipient in take_rate_checks(edge) {
        tokio::task::spawn_local(check_rate(edge.clone(), recipient));
    }
}

/// Asks engines that could not be reached, where that is due: nothing else is sent to them, so that
/// nothing else tells that they are back.
pub fn ask_unreachable(edge: &Rc<Edge>) {
    let due = edge.state.borrow_mut().fleet.take_questions(clock::now());
    for recipient in due {
        tokio::task::spawn_local(check_reached(edge.clone(), recipient));
    }
}

async fn check_reached(edge: Rc<Edge>, recipient: Recipient) {
    // Without anything to ask, the next request is the question.
    if let Some(request) = check_request(&edge, &recipient) {
        let engine = &*recipient.lifetime.engine;
        match edge.call_engine(&recipient, CallKind::Order, request).await {
            Ok(response) if is_other(&recipient, &response) => {
                log::info!(engine; "question answered by another engine");
                return;
            }
            Ok(_) => {}
            Err(error) => {
                log::debug!(engine, error:%; "engine still down");
                return;
            }
        }
    }
    edge.record_reached(&recipient.lifetime);
}

/// Returns whether another engine has the address, or this one has started again since.
fn is_other(recipient: &Recipient, response: &Response<Bytes>) -> bool {
    response.status() == StatusCode::MISDIRECTED_REQUEST
        || other_start(&recipient.lifetime, response.body()).is_some()
}

/// Returns the engines to be asked for their rates; one host asks for all.
fn take_rate_checks(edge: &Edge) -> Vec<Recipient> {
    if !edge.is_allocator() {
        return Vec::new();
    }
    let mut state = edge.state.borrow_mut();
    let due = state.fleet.rates_mut().take_checks(clock::now());
    let recipients = due.iter().filter_map(|id| state.fleet.recipient(id));
    recipients.collect()
}

/// Asks an engine whether it still names its rate; what its answer says is recorded as that of
/// any other.
async fn check_rate(edge: Rc<Edge>, recipient: Recipient) {
    let Some(request) = check_request(&edge, &recipient) else {
        return;
    };
    let engine = &recipient.lifetime.engine;
    let asked_at = clock::now();
    match edge.call_engine(&recipient, CallKind::Check, request).await {
        Ok(response) if response.status().is_success() => {}
        Ok(response) => {
            let status = response.status().as_u16();
            log::info!(engine = &**engine, status; "engine's rate not checked");
            return;
        }
        Err(error) => {
            log::info!(engine = &**engine, error:%; "engine's rate not checked");
            return;
        }
    }
    let now = clock::now();
    let state = edge.state.borrow();
    let rates = state.fleet.rates();
    let statement = rates.statement_after_check(engine, asked_at, now);
    drop(state);
    let has_changed = statement.is_some();
    log::info!(engine = &**engine, has_changed; "engine's rate checked");
    if let Some(statement) = statement {
        edge.record_rate(engine, statement);
    }
}

/// Asks an engine for its report, or for its health if it holds no models: all responses of an
/// engine that leaves say so.
async fn check(edge: Rc<Edge>, recipient: Recipient) {
    let Some(request) = check_request(&edge, &recipient) else {
        return;
    };
    let engine = &recipient.lifetime.engine;
    let life = recipient.lifetime.incarnation;
    let response = match edge.call_engine(&recipient, CallKind::Check, request).await {
        Ok(response) => response,
        Err(error) => {
            log::info!(engine = &**engine, life, error:%; "engine not checked");
            return;
        }
    };
    if is_other(&recipient, &response) {
        let born = other_start(&recipient.lifetime, response.body()).unwrap_or_default();
        log::info!(engine = &**engine, life, born; "check answered by another engine");
        return;
    }
    let mut state = edge.state.borrow_mut();
    let leaves = state.fleet.record_answer(&recipient.lifetime);
    drop(state);
    log::info!(engine = &**engine, life, leaves; "engine checked after its restart");
    edge.notify_waiting();
    edge.order_wake.notify_one();
}

/// Returns the request of a check; `None` if the service of the engine names no health path.
fn check_request(edge: &Edge, recipient: &Recipient) -> Option<Request<Full<Bytes>>> {
    let addr = recipient.addr.to_string();
    let engine = &recipient.lifetime.engine;
    let state = edge.state.borrow();
    let entry = &state.fleet.engines.get(engine)?.entry;
    let service = state.desired.services.get(&entry.service)?;
    let request = match (&service.hosting, &service.health_path) {
        (Some(_), _) => orders::report_request(&addr),
        (None, Some(path)) => orders::health_request(path, engine, &addr),
        (None, None) => return None,
    };
    match request {
        Ok(request) => Some(request),
        Err(error) => {
            log::warn!(service = &*service.name, error:%; "health path is not valid");
            None
        }
    }
}
