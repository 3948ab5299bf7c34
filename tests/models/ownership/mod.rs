//! Model of two daemons that own a pool in turn, with engines that honour and
//! engines that ignore fencing tokens.

mod daemon;
mod network;
mod state;

use std::collections::BTreeSet;
use std::rc::Rc;

use mastichinge::config::Name;
use mastichinge::protocol::ownership::*;
use test_case::test_case;

use crate::check::{Model, assert_caught, assert_holds, assert_reaches};
use state::*;

impl Model for Pool {
    type State = State;

    fn start(&self) -> State {
        let mut pins = Vec::new();
        for engine in 0..self.specs.len() {
            let mut value = EnginePins::default().adopt(&instance_name(0));
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
            engines: vec![engine; self.specs.len()],
            daemons: daemons.to_vec(),
            orders: Vec::new(),
            answers: Vec::new(),
            delayed: None,
            budget: self.budget.clone(),
        };
        self.take_over(&mut state, 0, true);
        state
    }

    fn steps(&self, state: &State) -> Steps {
        let mut steps = Steps::new();
        for d in 0..state.daemons.len() {
            self.daemon_steps(state, d, &mut steps);
        }
        self.network_steps(state, &mut steps);
        self.fault_steps(state, &mut steps);
        steps
    }

    fn broken_invariant(&self, state: &State) -> Option<&'static str> {
        for model in &self.models {
            let replicas = state.engines.iter().filter(|e| e.loaded.contains(model));
            if replicas.count() > self.limit as usize {
                return Some(TOO_MANY_REPLICAS);
            }
        }
        for (engine, spec) in state.engines.iter().zip(&self.specs) {
            if engine.loaded.len() as u64 > spec.memory {
                return Some(MEMORY_EXCEEDED);
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

const FENCED: EngineSpec = EngineSpec {
    memory: 1,
    fenced: true,
};

const UNFENCED: EngineSpec = EngineSpec {
    memory: 1,
    fenced: false,
};

/// Returns a pool of one model that may move between an engine of each kind.
fn moving_pool(from: usize, budget: Budget, fault: Fault) -> Pool {
    Pool {
        specs: vec![FENCED, UNFENCED],
        models: vec!["a".into()],
        limit: 1,
        pinned: vec![(from, "a".into())],
        budget,
        fault,
    }
}

/// Returns a pool of two models that share one engine with memory for one.
fn sharing_pool(spec: EngineSpec, budget: Budget, fault: Fault) -> Pool {
    let mut pinned: Vec<(usize, Name)> = vec![(0, "a".into())];
    if spec.fenced {
        pinned.push((0, "b".into()));
    }
    Pool {
        specs: vec![spec],
        models: vec!["a".into(), "b".into()],
        limit: 1,
        pinned,
        budget,
        fault,
    }
}

/// Orders, pin writes and one takeover without faults.
const NO_FAULTS: Budget = Budget {
    claims: 1,
    orders: 3,
    timeouts: 0,
    restarts: 0,
    crashes: 0,
    lost_answers: 0,
    new_reports: 0,
    stale_reports: 0,
    pin_writes: 2,
};

const TAKEOVERS: Budget = Budget {
    claims: 2,
    ..NO_FAULTS
};

const TIMEOUT: Budget = Budget {
    orders: 4,
    timeouts: 1,
    ..NO_FAULTS
};

const LOST_ORDER: Budget = Budget {
    timeouts: 1,
    ..NO_FAULTS
};

const RESTART: Budget = Budget {
    restarts: 1,
    new_reports: 1,
    ..NO_FAULTS
};

const CRASH: Budget = Budget {
    claims: 2,
    crashes: 1,
    ..NO_FAULTS
};

const LOST_WRITES: Budget = Budget {
    lost_answers: 2,
    pin_writes: 3,
    ..NO_FAULTS
};

const LOST_CLAIM: Budget = Budget {
    orders: 2,
    claims: 2,
    lost_answers: 1,
    ..NO_FAULTS
};

const OLD_REPORT: Budget = Budget {
    claims: 0,
    restarts: 1,
    new_reports: 1,
    stale_reports: 1,
    pin_writes: 3,
    ..NO_FAULTS
};

const TWO_REPORTS: Budget = Budget {
    restarts: 1,
    new_reports: 2,
    ..NO_FAULTS
};

const LOST_AND_RESTART: Budget = Budget {
    orders: 2,
    timeouts: 1,
    restarts: 1,
    new_reports: 1,
    ..NO_FAULTS
};

#[test_case(0, TAKEOVERS; "takeovers, moving from an engine that honours tokens")]
#[test_case(1, TAKEOVERS; "takeovers, moving from an engine that ignores them")]
#[test_case(0, TIMEOUT; "lost answer, moving from an engine that honours tokens")]
#[test_case(1, TIMEOUT; "lost answer, moving from an engine that ignores them")]
#[test_case(0, RESTART; "restart, moving from an engine that honours tokens")]
#[test_case(1, RESTART; "restart, moving from an engine that ignores them")]
#[test_case(0, CRASH; "daemon crash, moving from an engine that honours tokens")]
#[test_case(1, CRASH; "daemon crash, moving from an engine that ignores them")]
#[test_case(0, LOST_WRITES; "lost writes, moving from an engine that honours tokens")]
#[test_case(1, LOST_WRITES; "lost writes, moving from an engine that ignores them")]
#[test_case(0, LOST_CLAIM; "lost claim, moving from an engine that honours tokens")]
#[test_case(1, LOST_CLAIM; "lost claim, moving from an engine that ignores them")]
#[test_case(0, OLD_REPORT; "old report, moving from an engine that honours tokens")]
#[test_case(1, OLD_REPORT; "old report, moving from an engine that ignores them")]
#[test_case(0, LOST_AND_RESTART;
    "lost answer and restart, moving from an engine that honours tokens")]
#[test_case(1, LOST_AND_RESTART;
    "lost answer and restart, moving from an engine that ignores them")]
fn replicas_stay_within_the_limit(from: usize, budget: Budget) {
    let name = format!("ownership, moving from e{from}, {budget:?}");
    assert_holds(&name, &moving_pool(from, budget, Fault::None));
}

#[test_case(FENCED, TAKEOVERS; "takeovers with tokens")]
#[test_case(UNFENCED, TAKEOVERS; "takeovers without tokens")]
#[test_case(FENCED, LOST_ORDER; "lost answer with tokens")]
#[test_case(UNFENCED, TIMEOUT; "lost answer without tokens")]
#[test_case(FENCED, RESTART; "restart with tokens")]
#[test_case(UNFENCED, RESTART; "restart without tokens")]
#[test_case(FENCED, LOST_AND_RESTART; "lost answer and restart with tokens")]
#[test_case(UNFENCED, LOST_AND_RESTART; "lost answer and restart without tokens")]
fn memory_is_never_exceeded(spec: EngineSpec, budget: Budget) {
    let name = format!("ownership, sharing, fenced {}, {budget:?}", spec.fenced);
    assert_holds(&name, &sharing_pool(spec, budget, Fault::None));
}

#[test_case(0; "to an engine that ignores tokens")]
#[test_case(1; "to an engine that honours them")]
fn a_successor_can_move_the_model(from: usize) {
    let pool = moving_pool(from, TAKEOVERS, Fault::None);
    assert_reaches("a model moves under a successor", &pool, |state| {
        state.pool.value.epoch == 2 && !state.engines[1 - from].loaded.is_empty()
    });
}

const TOO_MANY_REPLICAS: &str = "too many replicas";
const MEMORY_EXCEEDED: &str = "memory exceeded";

#[test_case(Fault::NoFence, 0, NO_FAULTS)]
#[test_case(Fault::ExpiryReleases, 0, NO_FAULTS)]
#[test_case(Fault::ExpiryReleases, 1, NO_FAULTS)]
#[test_case(Fault::OldReport, 1, OLD_REPORT)]
#[test_case(Fault::NoAdoption, 0, TWO_REPORTS)]
#[test_case(Fault::NoAdoption, 1, TWO_REPORTS)]
#[test_case(Fault::LostIsUnsent, 1, TIMEOUT)]
#[test_case(Fault::WriteForgotten, 0, LOST_WRITES)]
#[test_case(Fault::DoubtsDropped, 1, TIMEOUT)]
fn fault_breaks_the_limit(fault: Fault, from: usize, budget: Budget) {
    let name = format!("{fault:?}, moving from e{from}");
    assert_caught(&name, &moving_pool(from, budget, fault), TOO_MANY_REPLICAS);
}

#[test_case(Fault::NoFence, FENCED, NO_FAULTS)]
#[test_case(Fault::ExpiryReleases, UNFENCED, NO_FAULTS)]
#[test_case(Fault::LostIsUnsent, FENCED, LOST_ORDER)]
fn fault_exceeds_the_memory(fault: Fault, spec: EngineSpec, budget: Budget) {
    let name = format!("{fault:?}, sharing");
    assert_caught(&name, &sharing_pool(spec, budget, fault), MEMORY_EXCEEDED);
}
