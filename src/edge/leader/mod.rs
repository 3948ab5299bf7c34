//! Work of the leader: sends orders to engines.

mod announce;
pub mod election;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

pub use self::announce::Announcer;
use self::announce::apply_notes;
use super::client::SendError;
use super::clock;
use super::exchange::CallKind;
use super::orders::{EngineReport, Order, OrderOutcome, Verb};
use super::placement::EngineCall;
use super::relays;
use super::state::Edge;
use super::unreachable::Cause;
use crate::platform::orders;

/// Pause between two decisions while a load, an unload or a call is in progress.
const BUSY_PAUSE: Duration = Duration::from_millis(15);
/// Pause between two decisions while nothing is in progress.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Sends orders while this daemon is the leader, and tells the other daemons what
/// engines hold.
pub async fn send_orders(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut announcer = Announcer::default();
    loop {
        let busy = run_placement(&edge);
        let notes = announcer.notes(&edge.state.borrow(), clock::now());
        if !notes.is_empty() {
            apply_notes(&edge, &notes);
            relays::announce(&edge, &socket, notes).await;
        }
        let pause = match busy {
            true => BUSY_PAUSE,
            false => IDLE_PAUSE,
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = edge.order_wake.notified() => {}
        }
    }
}

/// Makes the placement decisions once and starts the calls; returns whether work is in
/// progress.
fn run_placement(edge: &Rc<Edge>) -> bool {
    let now = clock::now();
    let fences = edge.settings().bounds.fences;
    let mut guard = edge.state.borrow_mut();
    let state = &mut *guard;
    let peers = state.peer_reach(now);
    let Some(leadership) = &state.leadership else {
        return false;
    };
    if !leadership.may_order(peers, fences, now) || state.desired.version == 0 {
        return false;
    }
    let Some((calls, busy)) = state.decide_calls(now) else {
        return false;
    };
    if calls
        .iter()
        .any(|call| matches!(call, EngineCall::Order(_)))
        && let Some(leadership) = &mut state.leadership
    {
        leadership.last_order = Some(now);
    }
    drop(guard);
    for call in calls {
        let edge = edge.clone();
        tokio::task::spawn_local(async move {
            match call {
                EngineCall::Order(order) => send_order(&edge, order).await,
                EngineCall::Report(engine) => fetch_report(&edge, engine).await,
            }
            edge.order_wake.notify_one();
        });
    }
    busy
}

/// Sends one order.
async fn send_order(edge: &Rc<Edge>, order: Order) {
    let outcome = match call_engine(edge, &order.engine, |addr| {
        orders::order_request(&order, addr)
    })
    .await
    {
        Ok(response) => orders::order_outcome(response.status()),
        Err(error) => {
            log::info!(engine = &*order.engine, error:%; "order was not sent or not answered");
            match error {
                // The order was not sent.
                SendError::NotSent(..) | SendError::Withheld => OrderOutcome::Busy,
                SendError::ConnectionLost(_) => OrderOutcome::Unanswered,
            }
        }
    };
    let verb: &'static str = order.verb.into();
    let result: &'static str = outcome.into();
    let engine = &*order.engine;
    let model = &*order.model;
    let adapter = order.adapter.as_deref().unwrap_or_default();
    let fence = order.fence;
    let expected = order.expected_count.unwrap_or(0);
    log::info!(engine, verb, model, adapter, fence, expected, result; "order given");
    let now = clock::now();
    let done = matches!(outcome, OrderOutcome::Accepted | OrderOutcome::AlreadyDone);
    match (order.verb, &order.adapter) {
        (Verb::Load, _) => edge.metrics.record_load_order(done),
        (Verb::Unload, None) if done => edge.metrics.record_unload(),
        (Verb::Unload, _) => {}
    }
    let mut guard = edge.state.borrow_mut();
    let state = &mut *guard;
    let Some(placer) = state.placer.as_mut().filter(|p| p.fence() == fence) else {
        return;
    };
    if outcome == OrderOutcome::Fenced {
        // Another daemon has taken over; the next poll reads which.
        state.end_leadership();
        log::warn!(fence; "leadership lost: an engine has seen a higher fencing number");
        return;
    }
    placer.handle_outcome(&order, outcome, now);
}

/// Fetches the report of one engine.
async fn fetch_report(edge: &Rc<Edge>, engine: Arc<str>) {
    let report = match call_engine(edge, &engine, orders::report_request).await {
        Ok(response) => match orders::decode_report(response.body()) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(engine = &*engine, error:%; "cannot decode the engine's report");
                None
            }
        },
        Err(error) => {
            log::info!(engine = &*engine, error:%; "cannot fetch the engine's report");
            None
        }
    };
    log_report(&engine, report.as_ref());
    let now = clock::now();
    let mut state = edge.state.borrow_mut();
    if let Some(placer) = &mut state.placer {
        placer.handle_report(&engine, report.as_ref(), now);
    }
}

fn log_report(engine: &str, report: Option<&EngineReport>) {
    let Some(report) = report else {
        return;
    };
    let held: Vec<_> = report.models.keys().map(|m| &**m).collect();
    let held = held.join(",");
    let (orders, busy) = (report.order_count, report.busy);
    log::debug!(engine, orders, busy, held = held.as_str(); "engine report");
}

/// Calls a listed engine.
async fn call_engine<F>(
    edge: &Edge,
    engine: &Arc<str>,
    request: F,
) -> Result<http::Response<bytes::Bytes>, SendError>
where
    F: FnOnce(&str) -> http::Result<http::Request<http_body_util::Full<bytes::Bytes>>>,
{
    let recipient = edge.state.borrow().fleet.recipient(engine);
    let recipient = recipient.ok_or_else(|| {
        SendError::NotSent(Cause::Unsent, "the engine is no longer listed".to_owned())
    })?;
    let request = request(&recipient.addr.to_string());
    let request = request.map_err(|e| SendError::NotSent(Cause::Unsent, e.to_string()))?;
    edge.call_engine(&recipient, CallKind::Order, request).await
}
