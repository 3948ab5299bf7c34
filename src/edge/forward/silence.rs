//! Waiting for an engine that may fall silent.
//!
//! A silent engine may go on, so its run is abandoned only for an engine that can take the
//! request now, within the retry budget. Until then the same response is awaited.
//!
//! While it is silent, an engine may not see that a connection has closed, and run the request on.
//! So another engine gets the request once the engine before has noticed, or when waiting longer
//! would cost the caller the answer.

use std::cell::RefCell;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use super::RoutedRequest;
use super::retry::{self, Attempts};
use super::selection::{Constraints, with_routing};
use crate::edge::admission::silence_limit;
use crate::edge::clock;
use crate::edge::desired::Route;
use crate::edge::routing::{self, SelectedEngine, Selection};
use crate::edge::shared_stream::StreamHandle;
use crate::edge::time_limit::timeout_unless_arrived;

/// Cause of a retry after an engine fell silent; it may still run the request.
const SILENCE: &str = "silence";
/// Interval at which a request of a silent engine looks for another engine.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time for an engine to notice that a run was abandoned. A sound engine may be silent for
/// about a second, and the silence before counts too.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);

/// A run at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run<'a> {
    /// Id of the engine.
    pub engine: &'a Arc<str>,
    /// Its address.
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
    let started_at = clock::now();
    loop {
        let pause_left = pause.min(routed.time_left());
        if let Ok(value) = timeout_unless_arrived(pause_left, response.as_mut()).await {
            return Awaited::Response(value);
        }
        if routed.time_left().is_zero() {
            return Awaited::DeadlinePassed;
        }
        let Some(max_silence) = max_silence else {
            continue;
        };
        if attempts.is_raced.get() {
            pause = RECHECK_INTERVAL;
            continue;
        }
        let successor = find_successor(routed, attempts, engine, max_silence);
        if let Some(successor) = &successor
            && retry::take_retry(routed, attempts, engine, SILENCE)
        {
            attempts.abandon(engine);
            // Before the first event, callers count from the start of the request.
            let silent = match attempts.first_event.is_zero() {
                true => routed.age(),
                false => clock::now().saturating_sub(started_at),
            };
            let notice_time = notice_time(&routed.route, silent, successor.first_event);
            end_run(routed, run, notice_time, response).await;
            return match routed.time_left().is_zero() {
                true => Awaited::DeadlinePassed,
                false => Awaited::Abandoned,
            };
        }
        if !logged {
            logged = true;
            let request = &*routed.headers.id;
            let silent_ms = max_silence.as_millis() as u64;
            let successor = successor.as_ref().map_or("", |s| &*s.engine);
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

/// Returns how long an engine that has been silent for a while may take to notice that its run was
/// abandoned, so that the first event of another comes before the caller leaves.
fn notice_time(route: &Route, silent: Duration, first_event: Duration) -> Duration {
    let patience = silence_limit(route).saturating_sub(silent);
    NOTICE_TIME.min(patience.saturating_sub(first_event))
}

/// Ends a run: closes its connection for requests, and waits until the engine closes it too or
/// goes on with the response. One that cannot be reached any more is not waited for.
async fn end_run<T>(
    routed: &RoutedRequest,
    run: Run<'_>,
    notice_time: Duration,
    response: impl Future<Output = T>,
) {
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
    let notice_time = notice_time.min(routed.time_left());
    let end: &str = tokio::select! {
        noticed = timeout_unless_arrived(notice_time, response) => match noticed {
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
) -> Option<SelectedEngine> {
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
    (has_slot && upstream.breaker.allows(now)).then_some(choice)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::edge::desired::RouteKind;

    fn route(kind: RouteKind) -> Route {
        Route {
            name: "r".into(),
            host: "firm.example".into(),
            prefix: "/".into(),
            kind,
            timeout: Duration::from_secs(6),
            objective: Duration::from_millis(800),
            priority: 1,
            targets: Vec::new(),
            attempts: 2,
            resumable: true,
            gap: Duration::from_millis(400),
            public: false,
        }
    }

    /// Guards against a stream that goes on elsewhere only after its caller has left.
    #[test]
    fn a_silent_engine_is_waited_for_only_as_long_as_the_caller_waits() {
        let ms = Duration::from_millis;
        // Callers leave after 3.2 s without an event.
        let stream = route(RouteKind::Stream);
        assert_eq!(notice_time(&stream, ms(1_000), ms(300)), NOTICE_TIME);
        assert_eq!(notice_time(&stream, ms(1_800), ms(400)), ms(1_000));
        assert_eq!(notice_time(&stream, ms(3_100), ms(400)), Duration::ZERO);
        let lookup = route(RouteKind::Idempotent);
        assert_eq!(notice_time(&lookup, ms(9_000), ms(400)), NOTICE_TIME);
    }
}
