//! Waiting for an engine that may fall silent.
//!
//! A silent engine may go on, so its run is abandoned only for an engine that can take the
//! request now, within the retry budget. Until then the same response is awaited.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use super::RoutedRequest;
use super::retry::{self, Attempts};
use super::selection::{Constraints, with_routing};
use crate::edge::clock;
use crate::edge::routing::{self, Selection};
use crate::edge::time_limit::timeout;

/// Cause of a retry after an engine fell silent; it may still run the request.
const SILENCE: &str = "silence";
/// Interval at which a request of a silent engine looks for another engine.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Outcome of waiting for an engine.
#[derive(Debug)]
pub(super) enum Awaited<T> {
    /// The engine responded.
    Response(T),
    /// The silent run was abandoned, and its retry taken out of the budget. Dropping what was
    /// awaited closes the connection, so that the run stops before another starts.
    Abandoned,
    /// The deadline passed.
    DeadlinePassed,
}

/// Waits for `response` of an engine until the deadline. After `max_silence` the run may
/// be abandoned for another engine, but never if that is `None`.
pub(super) async fn wait_for<T>(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    engine: &Arc<str>,
    max_silence: Option<Duration>,
    response: impl Future<Output = T>,
) -> Awaited<T> {
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
            return Awaited::Abandoned;
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
