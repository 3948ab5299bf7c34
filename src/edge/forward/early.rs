//! Sending a request to a second engine while the first is slower than usual; the first answer
//! wins (docs/design/early-repeat.md).

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use super::retry::{self, Attempts, record_broken_run};
use super::selection::{Constraints, with_routing};
use super::send::{SendOutcome, send};
use super::{RoutedRequest, keys};
use crate::edge::clock;
use crate::edge::desired::RouteKind;
use crate::edge::origins::Allowed;
use crate::edge::repeats::{Denial, Facts, Successor};
use crate::edge::routing::{self, SelectedEngine, Selection};
use crate::edge::suspects::Progress;
use crate::edge::time_limit::timeout_unless_arrived;
use crate::error::Kind;

/// What became of a request that was sent to one engine, or to two.
#[derive(Debug)]
pub(super) struct Tried {
    /// Engine whose outcome this is.
    pub engine: Arc<str>,
    pub outcome: SendOutcome,
}

/// One of the two tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Try {
    First,
    Second,
}

/// What is known before the request is sent.
#[derive(Debug)]
struct Before {
    avoid: Vec<Arc<str>>,
    has_permit: bool,
    is_trial: bool,
}

/// Records that a request was refused, or rejected by an engine. A refusal for the cap of its
/// customer says nothing of the engines.
pub(super) fn record_refused(routed: &RoutedRequest, kind: Kind) {
    if kind != Kind::RateLimited && routed.edge.settings().repeats.is_on() {
        let mut state = routed.edge.state.borrow_mut();
        state.repeats.record_refused(&routed.service, clock::now());
    }
}

/// Sends a request to an engine, and once more to another if it takes longer than usual.
/// `attempts` counts the first try already.
pub(super) async fn send_first(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    choice: &SelectedEngine,
    max_silence: Option<Duration>,
) -> Tried {
    let is_first = attempts.sent == 1 && attempts.not_run == 0;
    let delay = is_first.then(|| plan(routed)).flatten();
    let Some(delay) = delay.filter(|_| attempts.route_allows_retry(routed)) else {
        let sent_at = clock::now();
        let outcome = send(routed, attempts, choice, max_silence).await;
        let time = clock::now().saturating_sub(sent_at);
        record_alone(routed, &outcome, is_first, time);
        return Tried {
            engine: choice.engine.clone(),
            outcome,
        };
    };
    let mut avoid = attempts.avoid.clone();
    avoid.push(choice.engine.clone());
    let before = Before {
        avoid,
        has_permit: attempts.permit.is_some(),
        is_trial: attempts.is_trial,
    };
    let sent_at = clock::now();
    let is_raced = attempts.is_raced.clone();
    let (race, other, successor) = {
        let mut sending = pin!(send(routed, attempts, choice, max_silence));
        let early = timeout_unless_arrived(delay, sending.as_mut()).await;
        let elapsed = clock::now().saturating_sub(sent_at);
        let successor = match early {
            Ok(outcome) => Err(outcome),
            Err(_) => match start(routed, &before, choice, elapsed) {
                Some(successor) => Ok(successor),
                None => Err(sending.as_mut().await),
            },
        };
        let successor = match successor {
            Ok(successor) => successor,
            Err(outcome) => {
                let time = clock::now().saturating_sub(sent_at);
                record_alone(routed, &outcome, is_first, time);
                let engine = choice.engine.clone();
                return Tried { engine, outcome };
            }
        };
        is_raced.set(true);
        let mut other = Attempts {
            sent: 1,
            ..Attempts::default()
        };
        let race = {
            let second = pin!(send(routed, &mut other, &successor, None));
            run(sending.as_mut(), second).await
        };
        is_raced.set(false);
        (race, other, successor)
    };
    count_send(routed);
    // The time of a cancelled run is at least this.
    record_time(routed, clock::now().saturating_sub(sent_at));
    let engines = [&choice.engine, &successor.engine];
    log_end(routed, engines, &race, clock::now().saturating_sub(sent_at));
    settle(routed, attempts, other, &successor, race, engines)
}

/// How a race ended.
#[derive(Debug)]
struct Race {
    /// Try whose outcome counts.
    last: Try,
    outcome: SendOutcome,
    /// Outcome of the other; none if it was cancelled.
    other: Option<SendOutcome>,
}

/// Waits for both tries until one has an answer that is no failure, or both have ended.
async fn run(
    mut first: impl Future<Output = SendOutcome> + Unpin,
    mut second: impl Future<Output = SendOutcome> + Unpin,
) -> Race {
    let (ended, outcome) = tokio::select! {
        biased;
        outcome = &mut first => (Try::First, outcome),
        outcome = &mut second => (Try::Second, outcome),
    };
    if is_answer(&outcome) {
        return Race {
            last: ended,
            outcome,
            other: None,
        };
    }
    let (last, later) = match ended {
        Try::First => (Try::Second, second.await),
        Try::Second => (Try::First, first.await),
    };
    let is_response = |o: &SendOutcome| matches!(o, SendOutcome::Response(_));
    let (last, outcome, other) = match is_response(&outcome) && !is_response(&later) {
        true => (ended, outcome, later),
        false => (last, later, outcome),
    };
    Race {
        last,
        outcome,
        other: Some(other),
    }
}

/// Returns whether an engine has answered, and not with a failure.
fn is_answer(outcome: &SendOutcome) -> bool {
    match outcome {
        SendOutcome::Response(r) => !r.response.status().is_server_error(),
        _ => false,
    }
}

/// Returns the delay of a repeat, if the request may get one.
fn plan(routed: &RoutedRequest) -> Option<Duration> {
    if !is_eligible(routed) {
        return None;
    }
    let settings = routed.edge.settings().repeats;
    let mut state = routed.edge.state.borrow_mut();
    let route = &routed.route.name;
    let objective = routed.route.objective;
    state
        .repeats
        .delay(route, objective, &settings, clock::now())
}

/// Returns whether repeats are on, and two engines may work on such a request at the same time.
/// Engines with models may not, whatever the kind of the route.
fn is_eligible(routed: &RoutedRequest) -> bool {
    let is_on = routed.edge.settings().repeats.is_on();
    is_on && routed.route.kind == RouteKind::Idempotent && !routed.is_hosted()
}

/// Counts a first send of a request and the time to its answer.
fn record_alone(routed: &RoutedRequest, outcome: &SendOutcome, is_first: bool, time: Duration) {
    if !is_eligible(routed) {
        return;
    }
    match outcome {
        SendOutcome::NotSent(_) | SendOutcome::Withheld => return,
        SendOutcome::Response(_) => record_time(routed, time),
        _ => {}
    }
    if is_first {
        count_send(routed);
    }
}

fn count_send(routed: &RoutedRequest) {
    let settings = routed.edge.settings().repeats;
    let mut state = routed.edge.state.borrow_mut();
    state.repeats.record_send(&routed.service, &settings);
}

fn record_time(routed: &RoutedRequest, time: Duration) {
    let mut state = routed.edge.state.borrow_mut();
    let route = &routed.route.name;
    state.repeats.record_answer(route, time, clock::now());
}

/// Decides whether a request is repeated, and takes the repeat out of the share and the retry
/// budget. Returns the engine for it.
fn start(
    routed: &RoutedRequest,
    before: &Before,
    first: &SelectedEngine,
    elapsed: Duration,
) -> Option<SelectedEngine> {
    let edge = &routed.edge;
    let denied = |cause: Denial| {
        let cause: &'static str = cause.into();
        edge.metrics.record_repeat_denial(cause);
        let request = &*routed.headers.id;
        let engine = &*first.engine;
        log::debug!(request, engine, cause; "request not repeated");
        None
    };
    let constraints = Constraints {
        avoid: &before.avoid,
        permit: None,
        allowed: &Allowed::Any,
    };
    let now = clock::now();
    let selection = with_routing(routed, constraints, now, routing::select_engine);
    let facts = facts(routed, before, first, elapsed, &selection);
    let (route, service) = (&routed.route.name, &routed.service);
    let checked = {
        let state = edge.state.borrow();
        state.repeats.check(route, service, &facts, now)
    };
    if let Err(cause) = checked {
        return denied(cause);
    }
    let Selection::Engine(successor) = selection else {
        return denied(Denial::Busy);
    };
    if routed.time_left() <= retry::MIN_TIME_LEFT || !edge.try_retry(service) {
        return denied(Denial::Budget);
    }
    edge.state.borrow_mut().repeats.record_repeat(service);
    edge.metrics.record_repeat("sent");
    let request = &*routed.headers.id;
    let (engine, other) = (&*first.engine, &*successor.engine);
    let waited_ms = elapsed.as_millis() as u64;
    log::info!(request, engine, other, waited_ms; "slow request repeated");
    Some(successor)
}

fn facts(
    routed: &RoutedRequest,
    before: &Before,
    first: &SelectedEngine,
    elapsed: Duration,
    selection: &Selection,
) -> Facts {
    let edge = &routed.edge;
    let is_held = before.is_trial || edge.check_held(&routed.features).is_err();
    let now = clock::now();
    let state = edge.state.borrow();
    let fleet = &state.fleet;
    let is_suspect = |f| state.suspects.crashes_by(f).next().is_some();
    let is_open = |e: &Arc<str>| {
        let engine = fleet.engines.get(e);
        fleet.rates().rate(e).is_none() && engine.is_some_and(|e| fleet.is_open(e, now))
    };
    let mut waiting = state.waiting.iter();
    let successor = match selection {
        Selection::Engine(choice) if !before.avoid.contains(&choice.engine) => {
            let engine = fleet.engines.get(&choice.engine);
            let engine = engine.filter(|e| e.breaker.allows(now));
            engine.map(|engine| Successor {
                running: engine.running(now),
                slots: engine.entry.slots,
                wait: choice.first_event,
            })
        }
        _ => None,
    };
    Facts {
        elapsed,
        draining: edge.shutdown.get().is_some(),
        suspect: is_held || routed.features.iter().any(|f| is_suspect(*f)),
        has_key: keys::is_held(routed, &state.desired),
        limited: before.has_permit
            || !is_open(&first.engine)
            || matches!(selection, Selection::Limited | Selection::Paused(_)),
        waiting: waiting.any(|(t, w)| t.service == routed.service && w.requests.count > 0),
        successor,
    }
}

/// Counts and logs how a race ended.
fn log_end(routed: &RoutedRequest, engines: [&Arc<str>; 2], race: &Race, time: Duration) {
    let outcome = match (race.last, is_answer(&race.outcome)) {
        (Try::First, true) => "lost",
        (Try::Second, true) => "won",
        (_, false) => "failed",
    };
    routed.edge.metrics.record_repeat(outcome);
    let request = &*routed.headers.id;
    let [engine, other] = engines.map(|e| &**e);
    let cancelled = race.other.is_none();
    let ms = time.as_millis() as u64;
    log::info!(request, engine, other, outcome, cancelled, ms; "repeat ended");
}

/// Adds the try whose outcome does not count to the attempts, so that the request goes on as
/// after the other alone.
fn settle(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    mut other: Attempts,
    successor: &SelectedEngine,
    race: Race,
    engines: [&Arc<str>; 2],
) -> Tried {
    let Race {
        last,
        outcome,
        other: ended,
    } = race;
    let [first, second] = engines;
    if last == Try::First {
        attempts.avoid_engine(second);
        attempts.sent += 1;
        record_ended(routed, &mut other, second, ended);
        attempts.sent -= 1 - other.sent;
        attempts.not_run += other.not_run;
        attempts.exposure.merge(other.exposure);
        return Tried {
            engine: first.clone(),
            outcome,
        };
    }
    attempts.avoid_engine(first);
    record_ended(routed, attempts, first, ended);
    attempts.sent += other.sent;
    attempts.exposure.merge(other.exposure);
    attempts.addr = other.addr;
    attempts.lifetime = other.lifetime;
    attempts.predicted = successor.first_event;
    Tried {
        engine: second.clone(),
        outcome,
    }
}

/// Records how a try ended that does not count.
fn record_ended(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    engine: &Arc<str>,
    ended: Option<SendOutcome>,
) {
    match ended {
        Some(SendOutcome::NotRun(_)) => {
            record_refused(routed, Kind::NoCapacity);
            attempts.record_not_run(engine, false);
        }
        Some(SendOutcome::NotSent(_)) => attempts.record_not_run(engine, false),
        Some(SendOutcome::Withheld) => attempts.cancel_send(engine, false),
        Some(SendOutcome::Failed(_)) => record_broken_run(routed, attempts, Progress::Waiting),
        Some(SendOutcome::Response(response)) => {
            response.in_flight.record_outcome(false);
            response.in_flight.record_end();
        }
        Some(SendOutcome::Unproven(_) | SendOutcome::Abandoned | SendOutcome::DeadlinePassed)
        | None => {}
    }
}
