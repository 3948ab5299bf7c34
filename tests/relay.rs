//! Relaying of completions, without a network.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::unbounded;
use mastichinge::clock::Clock;
use mastichinge::config::{Config, Engine as EngineConfig, Name};
use mastichinge::control::{ControlHandle, ControlView, Event};
use mastichinge::decide::retry::{RetryBudget, RetryConfig};
use mastichinge::error::Kind;
use mastichinge::http::openai::{CompletionRequest, Endpoint};
use mastichinge::http::relay::{ChunkSink, CompletionEnd, Relay};
use mastichinge::http::request::RequestContext;
use mastichinge::outside::{CallOptions, Chunk, ChunkStream, Engine, EngineError, Order, Report};
use mastichinge::router::Router;
use mastichinge::suspects::{InFlightRequests, Suspects};

/// Engines that crash on each request.
#[derive(Default)]
struct CrashingEngines {
    requests: AtomicU32,
}

/// The response of a crashing engine.
struct NoChunks;

impl ChunkStream for NoChunks {
    fn next(&mut self) -> Result<Chunk, EngineError> {
        Err(EngineError::ConnectionLost("crash".to_owned()))
    }
}

impl Engine for CrashingEngines {
    type ChunkStream = NoChunks;

    fn stream(&self, _: &CallOptions, _: &str, _: &[u8]) -> Result<NoChunks, EngineError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        Ok(NoChunks)
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

/// Guards against a trial that was granted before another copy of its request crashed a second
/// engine: it cost a third one.
#[test]
fn a_trial_that_is_granted_after_its_request_is_held_does_not_run() {
    let clock = Clock::default();
    let engine_name: Name = "e1".into();
    let mut config = Config::default();
    let engine_config = EngineConfig::default();
    config.engines.insert(engine_name.clone(), engine_config);
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
    let router = Router::new(&"a".into(), clock);
    let body = br#"{"model": "m", "messages": [{"role": "user", "content": "poison"}]}"#;
    let completion = CompletionRequest::parse(Endpoint::Chat, body).unwrap();
    let fingerprints = completion.fingerprints.clone();
    let record_crash = move |instance: &str| {
        let mut suspects = suspects.lock().unwrap();
        suspects.report_request_crash(&fingerprints, "m", instance, clock.now());
    };
    record_crash("i1");
    let owner = {
        let (router, engine_name) = (router.clone(), engine_name.clone());
        thread::spawn(move || {
            for event in inbox {
                if let Event::RequestSlot(waiting) = event {
                    record_crash("i2");
                    let slot = router.acquire_assigned(&engine_name, &"m".into());
                    let _ = waiting.sender.send(Ok(slot));
                }
            }
        })
    };
    let engines = CrashingEngines::default();
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
    owner.join().unwrap();
    assert_eq!(engines.requests.load(Ordering::Relaxed), 0, "{outcome:?}");
    let CompletionEnd::Refused(refusal, 0) = outcome.end else {
        panic!("not refused: {outcome:?}");
    };
    assert_eq!(refusal.kind, Kind::Quarantined);
}
