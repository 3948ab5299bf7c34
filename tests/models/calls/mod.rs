//! Requests with one key at two hosts.

mod state;
mod steps;

use test_case::test_case;

use crate::check::{Model, caught, holds, reaches};
use state::*;

impl Model for Calls {
    type State = State;

    fn start(&self) -> State {
        let host = Host {
            incarnation: 1,
            held: Vec::new(),
            endings: Vec::new(),
        };
        let request = Request {
            host: 0,
            phase: Phase::Later,
            attempt: None,
            tries: 0,
            clean: true,
            alone: true,
        };
        State {
            version: 0,
            record: None,
            hosts: vec![host; 2],
            requests: vec![request; self.requests],
            flying: Vec::new(),
            ran: Vec::new(),
            touched: false,
            late: Vec::new(),
            budget: self.budget.clone(),
            crashed: false,
        }
    }

    fn steps(&self, state: &State) -> Steps {
        let mut steps = Steps::new();
        for r in 0..state.requests.len() {
            self.request(state, r, &mut steps);
        }
        for h in 0..state.hosts.len() {
            self.settles(state, h, &mut steps);
        }
        self.upstream(state, &mut steps);
        self.faults(state, &mut steps);
        steps
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        if state.ran.len() > 1 {
            return Some(TWICE);
        }
        for (r, request) in state.requests.iter().enumerate() {
            let Phase::Answered(answer) = &request.phase else {
                continue;
            };
            let broken = match answer {
                Answer::NotRun => (!not_run(state, r)).then_some(FALSE_NOT_RUN),
                Answer::Done(id) => (!state.ran.contains(id)).then_some("an answer of no run"),
                Answer::Unknown(seen) => blocked(state, request, *seen).then_some(BLOCKED),
                Answer::Nothing => None,
            };
            if broken.is_some() {
                return broken;
            }
        }
        None
    }
}

const TWICE: &str = "the call ran twice";
const FALSE_NOT_RUN: &str = "a false not run";
const BLOCKED: &str = "a call that did not run is blocked";

/// The call had not run when the request came, and its own attempts never do.
fn not_run(state: &State, r: usize) -> bool {
    let own = format!("r{r}.");
    let mut sent = state.ran.iter().chain(&state.flying);
    state.requests[r].clean && !sent.any(|id| id.starts_with(&own))
}

/// The outcome is called unknown, and not because the deadline came before
/// anything else, although no host died, no byte was sent and no other request
/// was open.
fn blocked(state: &State, request: &Request, seen: Seen) -> bool {
    let excused = state.crashed || state.touched || seen == Seen::Nothing;
    request.alone && !excused
}

/// Nothing fails; two requests cross.
const CALM: Budget = Budget {
    crashes: 0,
    lost: 0,
    deaths: 0,
    deadlines: 2,
};

const CRASH: Budget = Budget {
    crashes: 1,
    deadlines: 1,
    ..CALM
};

const LOST: Budget = Budget { lost: 2, ..CALM };

const LOST_ONE: Budget = Budget {
    lost: 1,
    deadlines: 1,
    ..CALM
};

const DEATH: Budget = Budget { deaths: 1, ..CALM };

const CRASH_AND_DEATH: Budget = Budget { deaths: 1, ..CRASH };

const ALL: Budget = Budget {
    crashes: 1,
    lost: 1,
    deaths: 1,
    ..CALM
};

#[test_case(3, CALM; "three requests")]
#[test_case(3, CRASH; "three requests and a crash")]
#[test_case(2, LOST; "two requests and lost table answers")]
#[test_case(3, LOST_ONE; "three requests and a lost table answer")]
#[test_case(3, DEATH; "three requests and a dying upstream")]
#[test_case(3, CRASH_AND_DEATH; "three requests, a crash and a dying upstream")]
#[test_case(2, ALL; "two requests and all faults")]
fn a_call_runs_at_most_once(requests: usize, budget: Budget) {
    let name = format!("calls, {requests} requests, {budget:?}");
    let calls = Calls {
        requests,
        budget,
        fault: Fault::None,
    };
    holds(&name, &calls);
}

#[test]
fn a_call_that_did_not_run_can_run_elsewhere() {
    let calls = Calls {
        requests: 2,
        budget: CALM,
        fault: Fault::None,
    };
    reaches("not run, then run elsewhere", &calls, |state| {
        let answers = state.requests.iter().map(|r| &r.phase);
        let not_run = answers
            .clone()
            .any(|p| *p == Phase::Answered(Answer::NotRun));
        not_run && state.requests[1].host == 1 && !state.ran.is_empty()
    });
}

#[test_case(Fault::NotRunAfterBytes, DEATH, FALSE_NOT_RUN)]
#[test_case(Fault::NotRunAfterBytes, DEATH, TWICE)]
#[test_case(Fault::EarlySend, LOST, TWICE)]
#[test_case(Fault::GoneIsNotRun, CRASH, TWICE)]
#[test_case(Fault::ResendUnknown, DEATH, TWICE)]
#[test_case(Fault::NotRunForgotten, LOST, BLOCKED)]
#[test_case(Fault::BlindNotRun, CALM, FALSE_NOT_RUN)]
fn fault_is_caught(fault: Fault, budget: Budget, broken: &str) {
    let calls = Calls {
        requests: 2,
        budget,
        fault,
    };
    caught(&format!("{fault:?}"), &calls, broken);
}
