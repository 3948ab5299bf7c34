//! Model of requests with the same idempotency key at two hosts.

mod state;
mod steps;

use test_case::test_case;

use crate::check::{Model, assert_caught, assert_holds, assert_reaches};
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
            phase: Phase::NotArrived,
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
            in_transit: Vec::new(),
            ran: Vec::new(),
            bytes_sent: false,
            delayed: Vec::new(),
            budget: self.budget.clone(),
            crashed: false,
        }
    }

    fn steps(&self, state: &State) -> Steps {
        let mut steps = Steps::new();
        for r in 0..state.requests.len() {
            self.request_steps(state, r, &mut steps);
        }
        for h in 0..state.hosts.len() {
            self.settle_steps(state, h, &mut steps);
        }
        self.upstream_steps(state, &mut steps);
        self.fault_steps(state, &mut steps);
        steps
    }

    fn broken_invariant(&self, state: &State) -> Option<&'static str> {
        if state.ran.len() > 1 {
            return Some(RAN_TWICE);
        }
        for (r, request) in state.requests.iter().enumerate() {
            let Phase::Answered(answer) = &request.phase else {
                continue;
            };
            let broken = match answer {
                Answer::NotRun => (!is_not_run(state, r)).then_some(FALSE_NOT_RUN),
                Answer::Done(id) => {
                    (!state.ran.contains(id)).then_some("a response of an attempt that did not run")
                }
                Answer::Unknown(seen) => is_blocked(state, request, *seen).then_some(BLOCKED),
                Answer::Nothing => None,
            };
            if broken.is_some() {
                return broken;
            }
        }
        None
    }
}

const RAN_TWICE: &str = "the call ran twice";
const FALSE_NOT_RUN: &str = "a call that ran is reported as not run";
const BLOCKED: &str = "a call that did not run is blocked";

/// Returns whether the call had not run when the request arrived and none of the
/// request's own attempts runs.
fn is_not_run(state: &State, r: usize) -> bool {
    let own = format!("r{r}.");
    let mut sent = state.ran.iter().chain(&state.in_transit);
    state.requests[r].clean && !sent.any(|id| id.starts_with(&own))
}

/// Returns whether an outcome reported as unknown is unjustified: no host
/// crashed, no byte was sent, no other request was open, and the deadline did not
/// pass before the request had read anything.
fn is_blocked(state: &State, request: &Request, seen: SeenCall) -> bool {
    let excused = state.crashed || state.bytes_sent || seen == SeenCall::Nothing;
    request.alone && !excused
}

/// No faults; up to two requests reach their deadlines.
const NO_FAULTS: Budget = Budget {
    crashes: 0,
    lost_answers: 0,
    upstream_deaths: 0,
    deadlines: 2,
};

const CRASH: Budget = Budget {
    crashes: 1,
    deadlines: 1,
    ..NO_FAULTS
};

const LOST_ANSWERS: Budget = Budget {
    lost_answers: 2,
    ..NO_FAULTS
};

const ONE_LOST_ANSWER: Budget = Budget {
    lost_answers: 1,
    deadlines: 1,
    ..NO_FAULTS
};

const UPSTREAM_DEATH: Budget = Budget {
    upstream_deaths: 1,
    ..NO_FAULTS
};

const CRASH_AND_UPSTREAM_DEATH: Budget = Budget {
    upstream_deaths: 1,
    ..CRASH
};

const ALL_FAULTS: Budget = Budget {
    crashes: 1,
    lost_answers: 1,
    upstream_deaths: 1,
    ..NO_FAULTS
};

#[test_case(3, NO_FAULTS; "three requests")]
#[test_case(3, CRASH; "three requests and a crash")]
#[test_case(2, LOST_ANSWERS; "two requests and lost table answers")]
#[test_case(3, ONE_LOST_ANSWER; "three requests and a lost table answer")]
#[test_case(3, UPSTREAM_DEATH; "three requests and a dying upstream")]
#[test_case(3, CRASH_AND_UPSTREAM_DEATH; "three requests, a crash and a dying upstream")]
#[test_case(2, ALL_FAULTS; "two requests and all faults")]
fn a_call_runs_at_most_once(requests: usize, budget: Budget) {
    let name = format!("calls, {requests} requests, {budget:?}");
    let calls = Calls {
        requests,
        budget,
        fault: Fault::None,
    };
    assert_holds(&name, &calls);
}

#[test]
fn a_call_that_did_not_run_can_run_elsewhere() {
    let calls = Calls {
        requests: 2,
        budget: NO_FAULTS,
        fault: Fault::None,
    };
    assert_reaches("not run, then run elsewhere", &calls, |state| {
        let answers = state.requests.iter().map(|r| &r.phase);
        let not_run = answers
            .clone()
            .any(|p| *p == Phase::Answered(Answer::NotRun));
        not_run && state.requests[1].host == 1 && !state.ran.is_empty()
    });
}

#[test_case(Fault::NotRunAfterBytes, UPSTREAM_DEATH, FALSE_NOT_RUN)]
#[test_case(Fault::NotRunAfterBytes, UPSTREAM_DEATH, RAN_TWICE)]
#[test_case(Fault::EarlySend, LOST_ANSWERS, RAN_TWICE)]
#[test_case(Fault::GoneIsNotRun, CRASH, RAN_TWICE)]
#[test_case(Fault::ResendUnknown, UPSTREAM_DEATH, RAN_TWICE)]
#[test_case(Fault::NotRunForgotten, LOST_ANSWERS, BLOCKED)]
#[test_case(Fault::BlindNotRun, NO_FAULTS, FALSE_NOT_RUN)]
fn fault_is_caught(fault: Fault, budget: Budget, broken: &str) {
    let calls = Calls {
        requests: 2,
        budget,
        fault,
    };
    assert_caught(&format!("{fault:?}"), &calls, broken);
}
