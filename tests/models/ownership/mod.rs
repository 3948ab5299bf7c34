//! Two daemons that own a pool in turn, with engines that honour and that
//! ignore tokens.

mod daemon;
mod network;
mod state;

use std::collections::BTreeSet;
use std::rc::Rc;

use mastichinge::config::Name;
use mastichinge::protocol::ownership::*;
use test_case::test_case;

use crate::check::{Model, caught, holds, reaches};
use state::*;

impl Model for Pool {
    type State = State;

    fn start(&self) -> State {
        let mut pins = Vec::new();
        for engine in 0..self.rooms.len() {
            let mut value = EnginePins::default().adopt(&instance(0));
            for (_, model) in self.pinned.iter().filter(|p| p.0 == engine) {
                value = value.with_pin(model, 1, 1);
            }
            pins.push(Rc::new(Versioned { version: 1, value }));
        }
        let daemons = ["d0", "d1"].map(|host| Daemon {
            me: Owner {
                host: host.into(),
                incarnation: 1,
            },
            role: Role::Idle,
            time: 0,
            reports: Vec::new(),
        });
        let engine = Engine {
            instance: 0,
            token: FencingToken::default(),
            loaded: BTreeSet::new(),
        };
        let clean = OwnerRecord {
            clean: true,
            ..OwnerRecord::default()
        };
        let mut state = State {
            pool: Versioned {
                version: 2,
                value: claim(Some(&clean), &daemons[0].me),
            },
            pins,
            engines: vec![engine; self.rooms.len()],
            daemons: daemons.to_vec(),
            orders: Vec::new(),
            answers: Vec::new(),
            late: None,
            budget: self.budget.clone(),
        };
        self.take(&mut state, 0, true);
        state
    }

    fn steps(&self, state: &State) -> Steps {
        let mut steps = Steps::new();
        for d in 0..state.daemons.len() {
            self.daemon(state, d, &mut steps);
        }
        self.network(state, &mut steps);
        self.faults(state, &mut steps);
        steps
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        for model in &self.models {
            let replicas = state.engines.iter().filter(|e| e.loaded.contains(model));
            if replicas.count() > self.limit as usize {
                return Some("too many replicas");
            }
        }
        for (engine, room) in state.engines.iter().zip(&self.rooms) {
            if engine.loaded.len() as u64 > room.memory {
                return Some("memory exceeded");
            }
        }
        for (engine, item) in state.engines.iter().zip(&state.pins) {
            if engine
                .loaded
                .iter()
                .any(|m| !item.value.pins.contains_key(m))
            {
                return Some("loaded without a pin");
            }
        }
        None
    }
}

const HONOURS: EngineSpec = EngineSpec {
    memory: 1,
    fenced: true,
};

const IGNORES: EngineSpec = EngineSpec {
    memory: 1,
    fenced: false,
};

/// One model that may move between an engine of each kind.
fn moving(from: usize, budget: Budget, fault: Fault) -> Pool {
    Pool {
        rooms: vec![HONOURS, IGNORES],
        models: vec!["a".into()],
        limit: 1,
        pinned: vec![(from, "a".into())],
        budget,
        fault,
    }
}

/// Two models that share one engine of memory 1.
fn sharing(room: EngineSpec, budget: Budget, fault: Fault) -> Pool {
    let mut pinned: Vec<(usize, Name)> = vec![(0, "a".into())];
    if room.fenced {
        pinned.push((0, "b".into()));
    }
    Pool {
        rooms: vec![room],
        models: vec!["a".into(), "b".into()],
        limit: 1,
        pinned,
        budget,
        fault,
    }
}

/// Orders, moves and one takeover.
const CALM: Budget = Budget {
    claims: 1,
    orders: 3,
    timeouts: 0,
    restarts: 0,
    crashes: 0,
    lost: 0,
    asks: 0,
    stale: 0,
    moves: 2,
};

const TAKEOVERS: Budget = Budget { claims: 2, ..CALM };

const TIMEOUT: Budget = Budget {
    orders: 4,
    timeouts: 1,
    ..CALM
};

const LOST_ORDER: Budget = Budget {
    timeouts: 1,
    ..CALM
};

const RESTART: Budget = Budget {
    restarts: 1,
    asks: 1,
    ..CALM
};

const CRASH: Budget = Budget {
    claims: 2,
    crashes: 1,
    ..CALM
};

const LOST_WRITES: Budget = Budget {
    lost: 2,
    moves: 3,
    ..CALM
};

const LOST_CLAIM: Budget = Budget {
    orders: 2,
    claims: 2,
    lost: 1,
    ..CALM
};

const OLD_REPORT: Budget = Budget {
    claims: 0,
    restarts: 1,
    asks: 1,
    stale: 1,
    moves: 3,
    ..CALM
};

const TWO_HEAR: Budget = Budget {
    restarts: 1,
    asks: 2,
    ..CALM
};

const LOST_AND_RESTART: Budget = Budget {
    orders: 2,
    timeouts: 1,
    restarts: 1,
    asks: 1,
    ..CALM
};

#[test_case(0, TAKEOVERS; "takeovers from an engine that honours tokens")]
#[test_case(1, TAKEOVERS; "takeovers from an engine that ignores them")]
#[test_case(0, TIMEOUT; "lost answer from an engine that honours tokens")]
#[test_case(1, TIMEOUT; "lost answer from an engine that ignores them")]
#[test_case(0, RESTART; "restart from an engine that honours tokens")]
#[test_case(1, RESTART; "restart from an engine that ignores them")]
#[test_case(0, CRASH; "daemon crash from an engine that honours tokens")]
#[test_case(1, CRASH; "daemon crash from an engine that ignores them")]
#[test_case(0, LOST_WRITES; "lost writes from an engine that honours tokens")]
#[test_case(1, LOST_WRITES; "lost writes from an engine that ignores them")]
#[test_case(0, LOST_CLAIM; "lost claim from an engine that honours tokens")]
#[test_case(1, LOST_CLAIM; "lost claim from an engine that ignores them")]
#[test_case(0, OLD_REPORT; "old report from an engine that honours tokens")]
#[test_case(1, OLD_REPORT; "old report from an engine that ignores them")]
#[test_case(0, LOST_AND_RESTART; "lost answer and restart from an engine that honours tokens")]
#[test_case(1, LOST_AND_RESTART; "lost answer and restart from an engine that ignores them")]
fn replicas_stay_within_the_limit(from: usize, budget: Budget) {
    let name = format!("ownership, moving from e{from}, {budget:?}");
    holds(&name, &moving(from, budget, Fault::None));
}

#[test_case(HONOURS, TAKEOVERS; "takeovers with tokens")]
#[test_case(IGNORES, TAKEOVERS; "takeovers without tokens")]
#[test_case(HONOURS, LOST_ORDER; "lost answer with tokens")]
#[test_case(IGNORES, TIMEOUT; "lost answer without tokens")]
#[test_case(HONOURS, RESTART; "restart with tokens")]
#[test_case(IGNORES, RESTART; "restart without tokens")]
#[test_case(HONOURS, LOST_AND_RESTART; "lost answer and restart with tokens")]
#[test_case(IGNORES, LOST_AND_RESTART; "lost answer and restart without tokens")]
fn memory_is_never_exceeded(room: EngineSpec, budget: Budget) {
    let name = format!("ownership, sharing, fenced {}, {budget:?}", room.fenced);
    holds(&name, &sharing(room, budget, Fault::None));
}

#[test_case(0; "to an engine that ignores tokens")]
#[test_case(1; "to an engine that honours them")]
fn a_successor_can_move_the_model(from: usize) {
    let pool = moving(from, TAKEOVERS, Fault::None);
    reaches("a model moves under a successor", &pool, |state| {
        state.pool.value.epoch == 2 && !state.engines[1 - from].loaded.is_empty()
    });
}

const REPLICAS: &str = "too many replicas";
const MEMORY: &str = "memory exceeded";

#[test_case(Fault::NoFence, 0, CALM)]
#[test_case(Fault::LapseFrees, 0, CALM)]
#[test_case(Fault::LapseFrees, 1, CALM)]
#[test_case(Fault::OldReport, 1, OLD_REPORT)]
#[test_case(Fault::NoAdoption, 0, TWO_HEAR)]
#[test_case(Fault::NoAdoption, 1, TWO_HEAR)]
#[test_case(Fault::LostIsUnsent, 1, TIMEOUT)]
#[test_case(Fault::WriteForgotten, 0, LOST_WRITES)]
#[test_case(Fault::DoubtsDropped, 1, TIMEOUT)]
fn fault_breaks_the_limit(fault: Fault, from: usize, budget: Budget) {
    let name = format!("{fault:?}, moving from e{from}");
    caught(&name, &moving(from, budget, fault), REPLICAS);
}

#[test_case(Fault::NoFence, HONOURS, CALM)]
#[test_case(Fault::LapseFrees, IGNORES, CALM)]
#[test_case(Fault::LostIsUnsent, HONOURS, LOST_ORDER)]
fn fault_breaks_the_memory(fault: Fault, room: EngineSpec, budget: Budget) {
    let name = format!("{fault:?}, sharing");
    caught(&name, &sharing(room, budget, fault), MEMORY);
}
