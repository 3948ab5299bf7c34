//! Waiting for an engine that may fall silent.
//!
//! A silent engine may go on, so its run is abandoned only for an engine that can take the
//! request now, within the retry budget. Until then the same response is awaited.
//!
//! While it is silent, an engine may not see that a connection has closed, and run the request on.
//! So another engine gets the request only once the engine before has noticed.

use std::cell::RefCell;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use super::RoutedRequest;
use super::retry::{self, Attempts};
use super::selection::{Constraints, with_routing};
use crate::edge::clock;
use crate::edge::routing::{self, Selection};
use crate::edge::shared_stream::StreamHandle;
use crate::edge::time_limit::timeout;

/// Cause of a retry after an engine fell silent; it may still run the request.
const SILENCE: &str = "silence";
/// Interval at which a request of a silent engine looks for another engine.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time for an engine to notice that a run was abandoned: with the silence before, longer
/// than a sound engine is silent.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);

/// A run at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run<'a> {
    /// Id of the engine.
    pub engine: &'a Arc<str>,
    pub addr: SocketAddr,
    /// Connection on which the request was sent, once there is one.
    pub stream: &'a RefCell<Option<StreamHandle>>,
}

/// Outcome of waiting for an engine.
#[derive(Debug)]
pub(super) enum Awaited<T> {
    /// The engine responded.
    Response(T),
    /// The silent run was abandoned, and its retry taken out of the budget. The engine has
    /// noticed, or it is not expected to any more.
    Abandoned,
    /// The deadline passed.
    DeadlinePassed,
}

/// Waits for `response` of an engine until the deadline. After `max_silence` the run may
/// be abandoned for another engine, but never if that is `None`.
pub(super) async fn wait_for<T>(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    run: Run<'_>,
    max_silence: Option<Duration>,
    response: impl Future<Output = T>,
) -> Awaited<T> {
    let engine = run.engine;
    let mut response = pin!(response);
    let max_silence = max_silence.filter(|_| attempts.route_allows_retry(routed));
    let mut pause = max_silence.unwrap_or(Duration::MAX);
    let mut logged = false;
    loop {
        let pause_left = pause.min(routed.time_left());
        if let Ok(value) = timeout(pause_left, response.as_mut()).await {
            return Awaited::Response(value);
        }
        if routed.time_left().is_zero() {
            return Awaited::DeadlinePassed;
        }
        let Some(max_silence) = max_silence else {
            continue;
        };
        let successor = find_successor(routed, attempts, engine, max_silence);
        if successor.is_some() && retry::take_retry(routed, attempts, engine, SILENCE) {
            attempts.abandon(engine);
            end_run(routed, run, response).await;
            return match routed.time_left().is_zero() {
                true => Awaited::DeadlinePassed,
                false => Awaited::Abandoned,
            };
        }
        if !logged {
            logged = true;
            let request = &*routed.headers.id;
            let silent_ms = max_silence.as_millis() as u64;
            let successor = successor.as_deref().unwrap_or_default();
            log::info!(request, engine = &**engine, silent_ms, successor; "silent engine awaited");
            // Other requests prefer other engines meanwhile.
            let mut state = routed.edge.state.borrow_mut();
            if let Some(upstream) = state.fleet.engines.get_mut(engine) {
                upstream.record_failure(clock::now());
            }
        }
        pause = RECHECK_INTERVAL;
    }
}

/// Ends a run: closes its connection for requests, and waits until the engine closes it too or
/// goes on with the response. One that cannot be reached any more is not waited for.
async fn end_run<T>(routed: &RoutedRequest, run: Run<'_>, response: impl Future<Output = T>) {
    let stream = run.stream.borrow().as_ref().and_then(StreamHandle::upgrade);
    if stream.is_none_or(|s| s.close_write().is_err()) {
        return;
    }
    let started_at = clock::now();
    let unreachable = async {
        if routed.edge.client.reaches(run.addr).await {
            pending::<()>().await;
        }
    };
    let notice_time = NOTICE_TIME.min(routed.time_left());
    let end: &str = tokio::select! {
        noticed = timeout(notice_time, response) => match noticed {
            Ok(_) => "noticed",
            Err(_) => "not noticed",
        },
        () = unreachable => "unreachable",
    };
    let request = &*routed.headers.id;
    let engine = &**run.engine;
    let waited_ms = clock::now().saturating_sub(started_at).as_millis() as u64;
    log::info!(request, engine, end, waited_ms; "silent run abandoned");
}

/// Returns another engine that can take the request now and is expected to respond within
/// `max_silence`.
fn find_successor(
    routed: &RoutedRequest,
    attempts: &Attempts,
    engine: &Arc<str>,
    max_silence: Duration,
) -> Option<Arc<str>> {
    let now = clock::now();
    let shutdown = routed.edge.shutdown.get();
    // Too little time is left before the exit for a run at another engine.
    if shutdown.is_some_and(|s| !s.allows_send(false, now)) {
        return None;
    }
    let mut avoid = attempts.avoid.clone();
    avoid.push(engine.clone());
    let constraints = Constraints {
        avoid: &avoid,
        permit: None,
        allowed: &attempts.allowed(routed),
    };
    let selection = with_routing(routed, constraints, now, routing::select_engine);
    let Selection::Engine(choice) = selection else {
        return None;
    };
    if avoid.contains(&choice.engine) || choice.first_event >= max_silence {
        return None;
    }
    let state = routed.edge.state.borrow();
    let upstream = state.fleet.engines.get(&choice.engine)?;
    let has_slot = upstream.running(now) < upstream.entry.slots;
    (has_slot && upstream.breaker.allows(now)).then_some(choice.engine)
}
