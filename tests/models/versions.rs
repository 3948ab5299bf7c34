//! Model of operators that patch the configuration and two daemons that apply
//! the accepted versions.

use mastichinge::config::Name;
use mastichinge::protocol::versions::{
    ChangeAction, ConfigHead, PatchDecision, change_action, decide_patch, is_newer_version,
    ready_version,
};
use test_case::test_case;

use crate::check::{Model, assert_caught, assert_holds, assert_reaches};

/// Deliberate fault in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A daemon adopts the version of a stale read.
    StaleRead,
    /// A daemon applies a change without the ones before.
    SkipsGap,
    /// After a lost answer, the log is not searched for the attempt id of the
    /// patch.
    NoReadBack,
    /// A patch is applied to the newest version instead of its base.
    Rebases,
    /// A commit does not check the head's version.
    Unconditional,
}

/// Maximum number of each kind of event in one run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budget {
    lost_answers: u8,
    restarts: u8,
    outages: u8,
    resends: u8,
}

/// State of a patch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Unsent,
    /// A daemon is about to commit this head.
    Committing(ConfigHead),
    /// The commit got no answer.
    Unconfirmed,
    /// The operator got no answer and may resend the patch.
    Unanswered,
    Accepted(u64),
    Conflict,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Patch {
    base: u64,
    phase: Phase,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Daemon {
    /// Applied version; none before the daemon is ready.
    version: Option<u64>,
    /// Attempt ids of the applied changes, in order.
    applied: Vec<Name>,
    /// Highest version applied since its start.
    highest: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    head: ConfigHead,
    log: Vec<Name>,
    /// Commits that take effect later.
    delayed: Vec<ConfigHead>,
    table_down: bool,
    patches: Vec<Patch>,
    daemons: Vec<Daemon>,
    budget: Budget,
}

struct Versions {
    budget: Budget,
    fault: Fault,
}

type Steps = Vec<(String, State)>;

fn attempt_id(p: usize) -> Name {
    format!("p{p}").into()
}

impl Model for Versions {
    type State = State;

    fn start(&self) -> State {
        let patch = Patch {
            base: 0,
            phase: Phase::Unsent,
        };
        let daemon = Daemon {
            version: Some(0),
            ..Daemon::default()
        };
        State {
            head: ConfigHead::default(),
            log: Vec::new(),
            delayed: Vec::new(),
            table_down: false,
            patches: vec![patch; 3],
            daemons: vec![daemon; 2],
            budget: self.budget.clone(),
        }
    }

    fn steps(&self, state: &State) -> Steps {
        let mut steps = Steps::new();
        for p in 0..state.patches.len() {
            self.patch_steps(state, p, &mut steps);
        }
        for d in 0..state.daemons.len() {
            self.daemon_steps(state, d, &mut steps);
        }
        self.fault_steps(state, &mut steps);
        steps
    }

    fn broken_invariant(&self, state: &State) -> Option<&'static str> {
        for daemon in &state.daemons {
            let Some(version) = daemon.version else {
                continue;
            };
            if version < daemon.highest {
                return Some(VERSION_REVERTS);
            }
            if state.log.get(..version as usize) != Some(&daemon.applied) {
                return Some(LOG_DIFFERS);
            }
        }
        for (p, patch) in state.patches.iter().enumerate() {
            let id = attempt_id(p);
            let times = state.log.iter().filter(|l| **l == id).count();
            if times > 1 {
                return Some("a patch is accepted twice");
            }
            let broken = match patch.phase {
                Phase::Accepted(v) => state.log.get(v as usize - 1) != Some(&id),
                Phase::Conflict => times > 0,
                _ => false,
            };
            if broken {
                return Some(WRONG_ANSWER);
            }
            let accepted = state.log.iter().position(|l| *l == id);
            if accepted.is_some_and(|v| v as u64 != patch.base) {
                return Some("a patch is applied to another base");
            }
        }
        None
    }
}

const VERSION_REVERTS: &str = "a version reverts";
const LOG_DIFFERS: &str = "a daemon differs from the log";
const WRONG_ANSWER: &str = "an operator got a wrong answer";

impl Versions {
    fn patch_steps(&self, state: &State, p: usize, steps: &mut Steps) {
        match &state.patches[p].phase {
            Phase::Unsent => {
                for (d, daemon) in state.daemons.iter().enumerate() {
                    let Some(base) = daemon.version else {
                        continue;
                    };
                    let mut next = state.clone();
                    next.patches[p].base = base;
                    self.decide(&mut next, p);
                    steps.push((format!("p{p} is sent to d{d} on {base}"), next));
                }
            }
            Phase::Unanswered if state.budget.resends > 0 => {
                let mut next = state.clone();
                next.budget.resends -= 1;
                self.decide(&mut next, p);
                steps.push((format!("p{p} is sent again"), next));
            }
            Phase::Unconfirmed => {
                let mut next = state.clone();
                self.decide(&mut next, p);
                steps.push((format!("the log is searched for p{p}"), next));
                let mut unanswered = state.clone();
                unanswered.patches[p].phase = Phase::Unanswered;
                steps.push((format!("p{p} gets no answer"), unanswered));
            }
            Phase::Committing(head) => self.commit_steps(state, p, head, steps),
            Phase::Unanswered | Phase::Accepted(_) | Phase::Conflict => {}
        }
    }

    /// Reads head and log and decides on the patch; no answer while the table is
    /// down.
    fn decide(&self, state: &mut State, p: usize) {
        let base = state.patches[p].base;
        let next = state.log.get(base as usize).map(|n| n.to_string());
        let seen = match self.fault {
            Fault::NoReadBack => None,
            _ => next.as_deref(),
        };
        let base = match self.fault {
            Fault::Rebases => state.head.version,
            _ => base,
        };
        state.patches[p].phase = match decide_patch(&state.head, seen, base, &attempt_id(p)) {
            _ if state.table_down => Phase::Unanswered,
            PatchDecision::Write(head) => Phase::Committing(head),
            PatchDecision::AlreadyAccepted(version) => Phase::Accepted(version),
            PatchDecision::Conflict { .. } | PatchDecision::UnknownBase { .. } => Phase::Conflict,
        };
    }

    fn commit_steps(&self, state: &State, p: usize, head: &ConfigHead, steps: &mut Steps) {
        let mut next = state.clone();
        if state.table_down {
            next.patches[p].phase = Phase::Unanswered;
            steps.push((format!("p{p} finds the table down"), next));
            return;
        }
        if state.budget.lost_answers > 0 {
            next.budget.lost_answers -= 1;
            next.patches[p].phase = Phase::Unconfirmed;
            let mut delayed = next.clone();
            if self.commit(&mut next, head) {
                steps.push((format!("p{p} is committed, answer lost"), next));
            }
            delayed.delayed.push(head.clone());
            steps.push((format!("p{p} commit is delayed"), delayed));
        }
        let mut next = state.clone();
        match self.commit(&mut next, head) {
            true => next.patches[p].phase = Phase::Accepted(head.version),
            false => self.decide(&mut next, p),
        }
        steps.push((format!("p{p} is committed"), next));
    }

    fn commit(&self, state: &mut State, head: &ConfigHead) -> bool {
        let follows = state.head.version + 1 == head.version;
        if !follows && self.fault != Fault::Unconditional {
            return false;
        }
        state.log.truncate(head.version as usize - 1);
        state.log.push(head.attempt.clone());
        state.head = head.clone();
        true
    }

    fn daemon_steps(&self, state: &State, d: usize, steps: &mut Steps) {
        let peer = state.daemons[1 - d].version;
        let Some(current) = state.daemons[d].version else {
            self.start_steps(state, d, peer, steps);
            return;
        };
        let table = (0..=state.head.version).filter(|_| !state.table_down);
        for seen in table.chain(peer) {
            let mut next = state.clone();
            match change_action(current, seen) {
                ChangeAction::AlreadyApplied if self.fault == Fault::StaleRead => {
                    apply_document(&mut next, d, seen)
                }
                ChangeAction::AlreadyApplied => continue,
                ChangeAction::Gap { .. } if self.fault == Fault::SkipsGap => {
                    apply_change(&mut next, d, seen);
                }
                ChangeAction::Apply | ChangeAction::Gap { .. } => {
                    apply_change(&mut next, d, current + 1)
                }
            }
            steps.push((format!("d{d} learns of {seen}"), next));
        }
    }

    fn start_steps(&self, state: &State, d: usize, peer: Option<u64>, steps: &mut Steps) {
        let reads = (0..=state.head.version).filter(|_| !state.table_down);
        for table in reads.map(Some).chain([None]) {
            let Some(version) = ready_version(table, peer) else {
                continue;
            };
            let mut next = state.clone();
            if is_newer_version(state.daemons[d].version, version) {
                apply_document(&mut next, d, version);
            }
            steps.push((format!("d{d} is ready with {version}"), next));
        }
    }

    fn fault_steps(&self, state: &State, steps: &mut Steps) {
        for (i, head) in state.delayed.iter().enumerate() {
            let mut next = state.clone();
            next.delayed.remove(i);
            self.commit(&mut next, head);
            steps.push((format!("the delayed {} takes effect", head.attempt), next));
        }
        if state.table_down || state.budget.outages > 0 {
            let mut next = state.clone();
            next.table_down = !state.table_down;
            next.budget.outages -= u8::from(next.table_down);
            let change = if next.table_down {
                "goes down"
            } else {
                "is back"
            };
            steps.push((format!("the table {change}"), next));
        }
        if state.budget.restarts > 0 {
            for d in 0..state.daemons.len() {
                let mut next = state.clone();
                next.budget.restarts -= 1;
                next.daemons[d] = Daemon::default();
                steps.push((format!("d{d} restarts"), next));
            }
        }
    }
}

/// Applies the whole document of `version`.
fn apply_document(state: &mut State, d: usize, version: u64) {
    let applied = state.log[..version as usize].to_vec();
    let daemon = &mut state.daemons[d];
    daemon.version = Some(version);
    daemon.highest = daemon.highest.max(version);
    daemon.applied = applied;
}

/// Applies the change to `version` to the daemon's document.
fn apply_change(state: &mut State, d: usize, version: u64) {
    let change = state.log[version as usize - 1].clone();
    let daemon = &mut state.daemons[d];
    daemon.version = Some(version);
    daemon.highest = daemon.highest.max(version);
    daemon.applied.push(change);
}

const EACH_ONCE: Budget = Budget {
    lost_answers: 1,
    restarts: 1,
    outages: 1,
    resends: 1,
};

const LOST_ANSWERS: Budget = Budget {
    lost_answers: 2,
    restarts: 0,
    outages: 0,
    resends: 2,
};

#[test_case(EACH_ONCE; "each fault once")]
#[test_case(LOST_ANSWERS; "two lost answers and two resends")]
fn versions_only_rise_and_agree(budget: Budget) {
    let name = format!("versions, {budget:?}");
    let fault = Fault::None;
    assert_holds(&name, &Versions { budget, fault });
}

#[test]
fn a_daemon_restarts_in_an_outage_and_takes_the_version_of_its_peer() {
    let versions = Versions {
        budget: EACH_ONCE,
        fault: Fault::None,
    };
    assert_reaches("ready in an outage", &versions, |state| {
        let ready = state.daemons.iter().all(|d| d.version == Some(2));
        state.table_down && state.budget.restarts == 0 && ready
    });
}

#[test_case(Fault::StaleRead, VERSION_REVERTS)]
#[test_case(Fault::SkipsGap, LOG_DIFFERS)]
#[test_case(Fault::NoReadBack, WRONG_ANSWER)]
#[test_case(Fault::Rebases, "a patch is accepted twice")]
#[test_case(Fault::Unconditional, LOG_DIFFERS)]
fn fault_is_caught(fault: Fault, broken: &str) {
    let budget = EACH_ONCE;
    assert_caught(&format!("{fault:?}"), &Versions { budget, fault }, broken);
}
