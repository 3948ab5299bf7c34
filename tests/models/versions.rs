//! Two operators who patch the configuration and two daemons that apply it.

use mastichinge::config::Name;
use mastichinge::protocol::versions::{
    ChangeAction, ConfigHead, PatchDecision, change_action, decide_patch, is_newer_version,
    ready_version,
};
use test_case::test_case;

use crate::check::{Model, caught, holds, reaches};

/// A deliberate fault of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A daemon takes the version of a stale read.
    StaleRead,
    /// A daemon applies a change without the ones before.
    SkipsGap,
    /// After a lost answer a patch is not looked for by its attempt id.
    NoReadBack,
    /// A patch is put on the newest version, whatever its base.
    Rebases,
    /// A commit does not check the head.
    Unconditional,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budget {
    lost: u8,
    restarts: u8,
    outages: u8,
    resends: u8,
}

/// Where a patch is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Unsent,
    /// A daemon will commit this head.
    Writes(ConfigHead),
    /// Its commit has no answer.
    Unsure,
    /// The operator got no answer and may send it again.
    Silent,
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
    /// Version in force; none before the daemon is ready.
    version: Option<u64>,
    /// Attempt ids of the changes that it applied, in order.
    applied: Vec<Name>,
    /// Highest version since its start.
    floor: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    head: ConfigHead,
    log: Vec<Name>,
    late: Vec<ConfigHead>,
    down: bool,
    patches: Vec<Patch>,
    daemons: Vec<Daemon>,
    budget: Budget,
}

struct Versions {
    budget: Budget,
    fault: Fault,
}

type Steps = Vec<(String, State)>;

fn attempt(p: usize) -> Name {
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
            late: Vec::new(),
            down: false,
            patches: vec![patch; 3],
            daemons: vec![daemon; 2],
            budget: self.budget.clone(),
        }
    }

    fn steps(&self, state: &State) -> Steps {
        let mut steps = Steps::new();
        for p in 0..state.patches.len() {
            self.patch(state, p, &mut steps);
        }
        for d in 0..state.daemons.len() {
            self.daemon(state, d, &mut steps);
        }
        self.faults(state, &mut steps);
        steps
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        for daemon in &state.daemons {
            let Some(version) = daemon.version else {
                continue;
            };
            if version < daemon.floor {
                return Some(REVERTS);
            }
            if state.log.get(..version as usize) != Some(&daemon.applied) {
                return Some(DIFFERS);
            }
        }
        for (p, patch) in state.patches.iter().enumerate() {
            let id = attempt(p);
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
                return Some(WRONG);
            }
            let accepted = state.log.iter().position(|l| *l == id);
            if accepted.is_some_and(|v| v as u64 != patch.base) {
                return Some("a patch is put on another base");
            }
        }
        None
    }
}

const REVERTS: &str = "a version reverts";
const DIFFERS: &str = "a daemon differs from the log";
const WRONG: &str = "an operator got a wrong answer";

impl Versions {
    fn patch(&self, state: &State, p: usize, steps: &mut Steps) {
        match &state.patches[p].phase {
            Phase::Unsent => {
                for (d, daemon) in state.daemons.iter().enumerate() {
                    let Some(base) = daemon.version else {
                        continue;
                    };
                    let mut next = state.clone();
                    next.patches[p].base = base;
                    self.decides(&mut next, p);
                    steps.push((format!("p{p} is sent to d{d} on {base}"), next));
                }
            }
            Phase::Silent if state.budget.resends > 0 => {
                let mut next = state.clone();
                next.budget.resends -= 1;
                self.decides(&mut next, p);
                steps.push((format!("p{p} is sent again"), next));
            }
            Phase::Unsure => {
                let mut next = state.clone();
                self.decides(&mut next, p);
                steps.push((format!("p{p} is looked for"), next));
                let mut silent = state.clone();
                silent.patches[p].phase = Phase::Silent;
                steps.push((format!("p{p} gets no answer"), silent));
            }
            Phase::Writes(head) => self.writes(state, p, head, steps),
            Phase::Silent | Phase::Accepted(_) | Phase::Conflict => {}
        }
    }

    /// Reads head and log, and decides; no answer while the table is down.
    fn decides(&self, state: &mut State, p: usize) {
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
        state.patches[p].phase = match decide_patch(&state.head, seen, base, &attempt(p)) {
            _ if state.down => Phase::Silent,
            PatchDecision::Write(head) => Phase::Writes(head),
            PatchDecision::AlreadyAccepted(version) => Phase::Accepted(version),
            PatchDecision::Conflict { .. } | PatchDecision::UnknownBase { .. } => Phase::Conflict,
        };
    }

    fn writes(&self, state: &State, p: usize, head: &ConfigHead, steps: &mut Steps) {
        let mut next = state.clone();
        if state.down {
            next.patches[p].phase = Phase::Silent;
            steps.push((format!("p{p} meets the outage"), next));
            return;
        }
        if state.budget.lost > 0 {
            next.budget.lost -= 1;
            next.patches[p].phase = Phase::Unsure;
            let mut delayed = next.clone();
            if self.commit(&mut next, head) {
                steps.push((format!("p{p} is committed, answer lost"), next));
            }
            delayed.late.push(head.clone());
            steps.push((format!("p{p} is still on its way"), delayed));
        }
        let mut next = state.clone();
        match self.commit(&mut next, head) {
            true => next.patches[p].phase = Phase::Accepted(head.version),
            false => self.decides(&mut next, p),
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

    fn daemon(&self, state: &State, d: usize, steps: &mut Steps) {
        let peer = state.daemons[1 - d].version;
        let Some(have) = state.daemons[d].version else {
            self.starts(state, d, peer, steps);
            return;
        };
        let table = (0..=state.head.version).filter(|_| !state.down);
        for seen in table.chain(peer) {
            let mut next = state.clone();
            match change_action(have, seen) {
                ChangeAction::AlreadyApplied if self.fault == Fault::StaleRead => {
                    set(&mut next, d, seen)
                }
                ChangeAction::AlreadyApplied => continue,
                ChangeAction::Gap { .. } if self.fault == Fault::SkipsGap => {
                    apply(&mut next, d, seen);
                }
                ChangeAction::Apply | ChangeAction::Gap { .. } => apply(&mut next, d, have + 1),
            }
            steps.push((format!("d{d} learns of {seen}"), next));
        }
    }

    fn starts(&self, state: &State, d: usize, peer: Option<u64>, steps: &mut Steps) {
        let reads = (0..=state.head.version).filter(|_| !state.down);
        for table in reads.map(Some).chain([None]) {
            let Some(version) = ready_version(table, peer) else {
                continue;
            };
            let mut next = state.clone();
            if is_newer_version(state.daemons[d].version, version) {
                set(&mut next, d, version);
            }
            steps.push((format!("d{d} is ready with {version}"), next));
        }
    }

    fn faults(&self, state: &State, steps: &mut Steps) {
        for (i, head) in state.late.iter().enumerate() {
            let mut next = state.clone();
            next.late.remove(i);
            self.commit(&mut next, head);
            steps.push((format!("the late {} lands", head.attempt), next));
        }
        if state.down || state.budget.outages > 0 {
            let mut next = state.clone();
            next.down = !state.down;
            next.budget.outages -= u8::from(next.down);
            let what = if next.down { "goes down" } else { "is back" };
            steps.push((format!("the table {what}"), next));
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

/// Takes the whole document of `version`.
fn set(state: &mut State, d: usize, version: u64) {
    let applied = state.log[..version as usize].to_vec();
    let daemon = &mut state.daemons[d];
    daemon.version = Some(version);
    daemon.floor = daemon.floor.max(version);
    daemon.applied = applied;
}

/// Applies one change to what the daemon has.
fn apply(state: &mut State, d: usize, version: u64) {
    let change = state.log[version as usize - 1].clone();
    let daemon = &mut state.daemons[d];
    daemon.version = Some(version);
    daemon.floor = daemon.floor.max(version);
    daemon.applied.push(change);
}

const BUDGET: Budget = Budget {
    lost: 1,
    restarts: 1,
    outages: 1,
    resends: 1,
};

const LOST: Budget = Budget {
    lost: 2,
    restarts: 0,
    outages: 0,
    resends: 2,
};

#[test_case(BUDGET; "each fault once")]
#[test_case(LOST; "two lost answers and two resends")]
fn versions_only_rise_and_agree(budget: Budget) {
    let name = format!("versions, {budget:?}");
    let fault = Fault::None;
    holds(&name, &Versions { budget, fault });
}

#[test]
fn a_daemon_restarts_in_an_outage_and_takes_the_version_of_its_peer() {
    let versions = Versions {
        budget: BUDGET,
        fault: Fault::None,
    };
    reaches("ready in an outage", &versions, |state| {
        let ready = state.daemons.iter().all(|d| d.version == Some(2));
        state.down && state.budget.restarts == 0 && ready
    });
}

#[test_case(Fault::StaleRead, REVERTS)]
#[test_case(Fault::SkipsGap, DIFFERS)]
#[test_case(Fault::NoReadBack, WRONG)]
#[test_case(Fault::Rebases, "a patch is accepted twice")]
#[test_case(Fault::Unconditional, DIFFERS)]
fn fault_is_caught(fault: Fault, broken: &str) {
    let budget = BUDGET;
    caught(&format!("{fault:?}"), &Versions { budget, fault }, broken);
}
