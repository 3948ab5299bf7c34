//! Routing of requests to engines, without a network.

use std::time::Duration;

use mastichinge::clock::Clock;
use mastichinge::config::{Config, Engine, Model};
use mastichinge::peer::wire::{EngineState, PoolState};
use mastichinge::router::{PromptPrefix, RouteDecision, Router, RoutingRequest, Slot};

const POOL: &str = "main";
const MODEL: &str = "m";
const ENGINES: [&str; 2] = ["e1", "e2"];
/// Requests that an engine with one slot gets at a time.
const ENGINE_ROOM: usize = 2;

/// A router that knows two engines with the model, each with one slot.
fn router(clock: Clock) -> Router {
    let mut config = Config::default();
    let model = Model {
        pool: POOL.into(),
        ..Model::default()
    };
    config.models.insert(MODEL.into(), model);
    let mut state = PoolState {
        pool: POOL.to_owned(),
        epoch: 1,
        seq: 1,
        ..PoolState::default()
    };
    for name in ENGINES {
        let engine = Engine {
            pool: POOL.into(),
            slots: 1,
            ..Engine::default()
        };
        config.engines.insert(name.into(), engine);
        state.engines.push(EngineState {
            engine: name.to_owned(),
            instance: format!("{name}-1"),
            ready: vec![MODEL.to_owned()],
            ..EngineState::default()
        });
    }
    let router = Router::new(&Engine::default().domain, clock);
    assert!(router.apply_pool_state(&state, &config));
    router
}

fn request(clock: Clock, id: &str, prompt: &str) -> RoutingRequest {
    RoutingRequest {
        id: id.into(),
        caller: "caller".into(),
        model: MODEL.into(),
        prefix: PromptPrefix::new(MODEL, &prompt.repeat(20)),
        priority: 0,
        worth: 1.0,
        deadline: clock.now() + Duration::from_secs(600),
        avoid: Vec::new(),
    }
}

fn take_slot(router: &Router, request: &RoutingRequest) -> Slot {
    match router.acquire(request, 16) {
        RouteDecision::Slot(slot) => slot,
        _ => panic!("no slot is free"),
    }
}

/// Guards against prompts that are computed again at another engine because the first request with
/// their prefix had to wait for a slot.
#[test]
fn requests_go_where_a_queued_one_with_their_prefix_went() {
    let clock = Clock::default();
    let router = router(clock);
    let mut slots: Vec<Slot> = (0..ENGINES.len() * ENGINE_ROOM)
        .map(|n| take_slot(&router, &request(clock, &format!("first{n}"), "other")))
        .collect();
    for name in ENGINES {
        let queued = request(clock, &format!("queued-{name}"), name);
        let RouteDecision::Queued(waiter) = router.acquire(&queued, 16) else {
            panic!("a slot is free");
        };
        let index = slots.iter().position(|slot| &*slot.engine == name);
        drop(slots.remove(index.expect("a slot of the engine")));
        let slot = waiter.results.recv().unwrap().unwrap();
        assert_eq!(&*slot.engine, name);
        slots.push(slot);
    }
    drop(slots);
    for name in ENGINES {
        let slot = take_slot(&router, &request(clock, &format!("later-{name}"), name));
        assert_eq!(&*slot.engine, name);
    }
}

/// Guards against prompts that are computed again at another engine because the model was loaded
/// for the first request with their prefix.
#[test]
fn requests_go_where_a_cold_one_with_their_prefix_was_assigned() {
    let clock = Clock::default();
    let router = router(clock);
    for name in ENGINES {
        let cold = request(clock, &format!("cold-{name}"), name);
        drop(router.acquire_assigned(&name.into(), &cold));
    }
    for name in ENGINES {
        let slot = take_slot(&router, &request(clock, &format!("later-{name}"), name));
        assert_eq!(&*slot.engine, name);
    }
}
