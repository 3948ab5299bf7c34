//! The holder's duty: giving orders to engines.

pub mod hold;
mod tell;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

pub use self::tell::Teller;
use self::tell::take_notes;
use super::client::{SendError, Times};
use super::clock;
use super::orders::{Order, Outcome, Report, Verb};
use super::peers;
use super::placement::Act;
use super::state::Edge;
use crate::platform::orders;

/// Pause of the holder while something is under way.
const BUSY: Duration = Duration::from_millis(15);
/// Pause of the holder while nothing is.
const IDLE: Duration = Duration::from_millis(250);
/// Time limits of a call to an engine, which answers within milliseconds. An
/// order without an answer is repeated safely, as it names the number of
/// orders that the engine must have accepted before it.
const CALL: Times = Times {
    connect: Duration::from_millis(400),
    total: Duration::from_millis(250),
    most: 1 << 20,
};

/// Gives orders while this daemon holds them, and tells the others what
/// engines hold.
pub async fn orders(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut teller = Teller::default();
    loop {
        let busy = round(&edge);
        let notes = teller.notes(&edge.state.borrow(), clock::now());
        if !notes.is_empty() {
            take_notes(&edge, &notes);
            peers::tell(&edge, &socket, notes).await;
        }
        let pause = match busy {
            true => BUSY,
            false => IDLE,
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = edge.duty.notified() => {}
        }
    }
}

/// Decides once, and starts the calls decided on; true while something is
/// under way.
fn round(edge: &Rc<Edge>) -> bool {
    let now = clock::now();
    let fences = edge.settings().bounds.fences;
    let mut guard = edge.state.borrow_mut();
    let state = &mut *guard;
    let peers = state.peers(now);
    let Some(tenure) = &state.tenure else {
        return false;
    };
    if !tenure.may_order(peers, fences, now) || state.desired.version == 0 {
        return false;
    }
    let Some((acts, busy)) = state.decide(now) else {
        return false;
    };
    if acts.iter().any(|act| matches!(act, Act::Order(_)))
        && let Some(tenure) = &mut state.tenure
    {
        tenure.ordered = Some(now);
    }
    drop(guard);
    for act in acts {
        let edge = edge.clone();
        tokio::task::spawn_local(async move {
            match act {
                Act::Order(order) => give(&edge, order).await,
                Act::Report(engine) => ask(&edge, engine).await,
            }
            edge.duty.notify_one();
        });
    }
    busy
}

/// Gives one order.
async fn give(edge: &Rc<Edge>, order: Order) {
    let outcome = match call(edge, &order.engine, |addr| orders::request(&order, addr)).await {
        Ok(response) => orders::outcome(response.status()),
        Err(error) => {
            log::info!(engine = &*order.engine, error:%; "order unanswered");
            match error {
                // It was not sent.
                SendError::Unreached(_) => Outcome::Busy,
                SendError::Broken(_) => Outcome::Unanswered,
            }
        }
    };
    let verb: &'static str = order.verb.into();
    let result: &'static str = outcome.into();
    let engine = &*order.engine;
    let model = &*order.model;
    let adapter = order.adapter.as_deref().unwrap_or_default();
    let fence = order.fence;
    let expected = order.expected.unwrap_or(0);
    log::info!(engine, verb, model, adapter, fence, expected, result; "order given");
    let now = clock::now();
    let done = matches!(outcome, Outcome::Accepted | Outcome::Holds);
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
    if outcome == Outcome::Fenced {
        // Another daemon has taken over; the row tells at the next look.
        state.end_tenure();
        log::warn!(fence; "orders lost: an engine knows a higher fencing number");
        return;
    }
    placer.answered(&order, outcome, now);
}

/// Asks one engine for its report.
async fn ask(edge: &Rc<Edge>, engine: Arc<str>) {
    let report = match call(edge, &engine, orders::report_request).await {
        Ok(response) => match orders::report(response.body()) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(engine = &*engine, error:%; "report cannot be read");
                None
            }
        },
        Err(error) => {
            log::info!(engine = &*engine, error:%; "no report");
            None
        }
    };
    log_report(&engine, report.as_ref());
    let now = clock::now();
    let mut state = edge.state.borrow_mut();
    if let Some(placer) = &mut state.placer {
        placer.reported(&engine, report.as_ref(), now);
    }
}

fn log_report(engine: &str, report: Option<&Report>) {
    let Some(report) = report else {
        return;
    };
    let held: Vec<_> = report.held.keys().map(|m| &**m).collect();
    let held = held.join(",");
    let (orders, busy) = (report.orders, report.busy);
    log::debug!(engine, orders, busy, held = held.as_str(); "report");
}

async fn call<F>(
    edge: &Edge,
    engine: &str,
    request: F,
) -> Result<http::Response<bytes::Bytes>, SendError>
where
    F: FnOnce(&str) -> http::Result<http::Request<http_body_util::Full<bytes::Bytes>>>,
{
    let addr = {
        let state = edge.state.borrow();
        let engine = state.fleet.engines.get(engine);
        engine.map(|e| e.entry.addr)
    };
    let addr = addr.ok_or_else(|| SendError::Unreached("the engine is gone".to_owned()))?;
    let request = request(&addr.to_string());
    let request = request.map_err(|e| SendError::Unreached(e.to_string()))?;
    let outcome = edge.client.call(addr, request, CALL).await;
    if let Err(SendError::Unreached(_)) = &outcome {
        edge.unreached(engine);
    }
    outcome
}
