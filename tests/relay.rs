//! Relaying of completions, without a network.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::unbounded;
use mastichinge::clock::Clock;
use mastichinge::config::{Config, Engine as EngineConfig};
use mastichinge::control::{ControlHandle, ControlView, Event};
use mastichinge::decide::retry::{RetryBudget, RetryConfig};
use mastichinge::error::{Kind, Refusal};
use mastichinge::http::openai::{CompletionRequest, Endpoint};
use mastichinge::http::relay::{ChunkSink, CompletionEnd, CompletionOutcome, Relay};
use mastichinge::http::request::RequestContext;
use mastichinge::outside::{CallOptions, Chunk, ChunkStream, Engine, EngineError, Order, Report};
use mastichinge::router::{Router, RoutingRequest, SlotResult};
use mastichinge::suspects::{InFlightRequests, Suspects};
use test_case::test_case;

const ENGINE: &str = "e1";

/// Engines that fail each request.
struct FailingEngines {
    requests: AtomicU32,
    error: EngineError,
}

/// The response of a failing engine.
struct NoChunks(EngineError);

impl ChunkStream for NoChunks {
    fn next(&mut self) -> Result<Chunk, EngineError> {
        Err(self.0.clone())
    }
}

impl Engine for FailingEngines {
    type ChunkStream = NoChunks;

    fn stream(&self, _: &CallOptions, _: &str, _: &[u8]) -> Result<NoChunks, EngineError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        Ok(NoChunks(self.error.clone()))
    }

    fn order(&self, _: &CallOptions, _: &Order) -> Result<Report, EngineError> {
        unreachable!("no order is sent")
    }

    fn report(&self, _: &CallOptions) -> Result<Report, EngineError> {
        unreachable!("no report is read")
    }
}

struct NoSink;

impl ChunkSink for NoSink {
    fn send_chunk(&mut self, _: &str) -> bool {
        unreachable!("no engine answers")
    }
}

/// What came of a request that has crashed an engine.
struct Relayed {
    outcome: CompletionOutcome,
    /// Requests that engines got.
    requests: u32,
    /// Whether the owner of the pool was told of the end of the trial.
    trial_ended: bool,
}

/// Relays a request that has crashed an engine, to engines that crash on it.
fn relay_suspect(
    reply: impl Fn(&Router, &RoutingRequest, &dyn Fn(&str)) -> SlotResult + Send + 'static,
) -> Relayed {
    relay_to(EngineError::ConnectionLost("crash".to_owned()), reply)
}

/// Relays a request that has crashed an engine, to engines that fail with `error`; `reply` answers
/// for the owner of the pool, and can record further crashes.
fn relay_to(
    error: EngineError,
    reply: impl Fn(&Router, &RoutingRequest, &dyn Fn(&str)) -> SlotResult + Send + 'static,
) -> Relayed {
    let clock = Clock::default();
    let mut config = Config::default();
    config
        .engines
        .insert(ENGINE.into(), EngineConfig::default());
    let view = ControlView {
        version: 1,
        config: Arc::new(config),
        ..ControlView::default()
    };
    let suspects = Arc::new(Mutex::new(Suspects::default()));
    let (events, inbox) = unbounded();
    let control = ControlHandle::new(
        events,
        Arc::new(ArcSwap::from_pointee(view)),
        suspects.clone(),
        InFlightRequests::default(),
        clock,
    );
    let router = Router::new(&"d".into(), clock);
    let body = br#"{"model": "m", "messages": [{"role": "user", "content": "poison"}]}"#;
    let completion = CompletionRequest::parse(Endpoint::Chat, body).unwrap();
    let fingerprints = completion.fingerprints.clone();
    let record_crash = move |instance: &str| {
        let mut suspects = suspects.lock().unwrap();
        suspects.report_request_crash(&fingerprints, "m", instance, None, clock.now());
    };
    record_crash("i1");
    let owner = {
        let router = router.clone();
        thread::spawn(move || {
            let mut trial_ended = false;
            for event in inbox {
                match event {
                    Event::RequestSlot(waiting) => {
                        let _ =
                            waiting
                                .sender
                                .send(reply(&router, &waiting.routing, &record_crash));
                    }
                    Event::TrialEnded { .. } => trial_ended = true,
                    _ => {}
                }
            }
            trial_ended
        })
    };
    let engines = FailingEngines {
        requests: AtomicU32::default(),
        error,
    };
    let retries = Mutex::new(RetryBudget::new(RetryConfig::default()));
    let relay = Relay {
        engine: &engines,
        router: &router,
        control: &control,
        retries: &retries,
        clock,
    };
    let context = RequestContext {
        id: "r1".into(),
        caller: "caller".into(),
        priority: 0,
        arrival: clock.now(),
        deadline: clock.now() + Duration::from_secs(60),
    };
    let outcome = relay.run(&completion, &context, &mut NoSink);
    drop(control);
    Relayed {
        outcome,
        requests: engines.requests.load(Ordering::Relaxed),
        trial_ended: owner.join().unwrap(),
    }
}

fn refused_kind(outcome: &CompletionOutcome) -> Kind {
    let CompletionEnd::Refused(refusal, 0) = &outcome.end else {
        panic!("not refused: {outcome:?}");
    };
    refusal.kind
}

/// Guards against a trial that was granted before another copy of its request crashed a second
/// engine: it cost a third one.
#[test]
fn a_trial_that_is_granted_after_its_request_is_held_does_not_run() {
    let relayed = relay_suspect(|router, routing, record_crash| {
        record_crash("i2");
        Ok(router.acquire_assigned(&ENGINE.into(), routing))
    });
    assert_eq!(relayed.requests, 0);
    assert_eq!(refused_kind(&relayed.outcome), Kind::Quarantined);
    assert!(relayed.trial_ended);
}

/// Guards against an engine that is kept free for a trial whose grant came too late.
#[test]
fn the_owner_is_told_of_the_end_of_a_trial_that_got_no_slot() {
    let relayed = relay_suspect(|_, _, _| Err(Refusal::new(Kind::DeadlineExpired, "too late")));
    assert_eq!(refused_kind(&relayed.outcome), Kind::DeadlineExpired);
    assert!(relayed.trial_ended);
}

/// Guards against a promise that a request has not run, after an engine had begun to work on it:
/// the refusal of its next attempt was passed on.
#[test_case(Kind::NoCapacity; "no engine is free")]
#[test_case(Kind::DeadlineExpired; "no engine is free in time")]
#[test_case(Kind::QueueFull; "the queue is full")]
#[test_case(Kind::DeadlineUnreachable; "the deadline cannot be met")]
#[test_case(Kind::BadRequest; "another engine finds fault with it")]
fn a_refusal_after_an_attempt_that_may_have_run_is_no_promise(kind: Kind) {
    let error = EngineError::TimedOut("in the test".to_owned());
    assert_eq!(refusal_after(error, kind), Kind::UpstreamFailed);
}

/// Guards against a refusal without a promise although no engine got the request.
#[test]
fn a_refusal_after_an_attempt_that_was_not_sent_is_a_promise() {
    let error = EngineError::Unreachable("in the test".to_owned());
    assert_eq!(refusal_after(error, Kind::NoCapacity), Kind::NoCapacity);
}

/// Returns the kind of refusal of a request that failed once with `error`, and got no further slot
/// because of `kind`.
fn refusal_after(error: EngineError, kind: Kind) -> Kind {
    let granted = AtomicBool::new(false);
    let relayed = relay_to(error, move |router, routing, _| {
        match granted.swap(true, Ordering::Relaxed) {
            true => Err(Refusal::new(kind, "refused in the test")),
            false => Ok(router.acquire_assigned(&ENGINE.into(), routing)),
        }
    });
    assert_eq!(relayed.requests, 1);
    refused_kind(&relayed.outcome)
}
