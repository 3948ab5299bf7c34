//! Steps of requests, hosts, the upstream and the table.

use mastichinge::protocol::calls::{
    Attempt, CallAdmission, CallRecord, CallState, admit, may_send, no_attempt_ran,
    orphaned_record, settled_record,
};

use super::state::*;

impl Calls {
    pub fn request_steps(&self, state: &State, r: usize, steps: &mut Steps) {
        match state.requests[r].phase.clone() {
            Phase::NotArrived => self.arrival_steps(state, r, steps),
            Phase::Reading(seen) => {
                let before = steps.len();
                self.read_steps(state, r, steps);
                let awaits_other = steps[before..]
                    .iter()
                    .all(|(_, s)| awaits_other_attempt(s, r));
                self.deadline_steps(state, r, seen, awaits_other, steps);
            }
            Phase::Writing(expect) => {
                self.write_start_steps(state, r, expect, steps);
                self.give_up_steps(state, r, expect, "not started", steps);
            }
            Phase::Unconfirmed(expect) => {
                self.write_start_steps(state, r, expect, steps);
                self.give_up_steps(state, r, expect, "no answer to its start", steps);
                if self.fault == Fault::EarlySend {
                    push_send(state, r, expect, steps);
                }
            }
            Phase::Started(version) => {
                push_send(state, r, version, steps);
                self.give_up_steps(state, r, version, "not sent", steps);
            }
            Phase::Sent(_) | Phase::Answered(_) => {}
        }
    }

    /// Requests arrive in order; any number may be open at once.
    fn arrival_steps(&self, state: &State, r: usize, steps: &mut Steps) {
        if r > 0 && state.requests[r - 1].phase == Phase::NotArrived {
            return;
        }
        let before = &state.requests[..r];
        let alone = before.iter().all(|b| matches!(b.phase, Phase::Answered(_)));
        let clean = state.ran.is_empty() && state.in_transit.is_empty();
        let hosts = if r == 0 { 1 } else { state.hosts.len() };
        for host in 0..hosts {
            let mut next = state.clone();
            for open in next.requests.iter_mut() {
                open.alone &= matches!(open.phase, Phase::NotArrived | Phase::Answered(_));
            }
            next.requests[r] = Request {
                host,
                phase: Phase::Reading(SeenCall::Nothing),
                attempt: None,
                tries: 0,
                clean,
                alone,
            };
            steps.push((format!("r{r} arrives at h{host}"), next));
        }
    }

    fn read_steps(&self, state: &State, r: usize, steps: &mut Steps) {
        let start = state.start_record(r);
        let record = state.record.as_ref();
        match admit(record, None, &start) {
            CallAdmission::AskHost(attempt) => self.ask_host_steps(state, r, &attempt, steps),
            admitted => self.push_admission(state, r, admitted, steps),
        }
    }

    fn push_admission(&self, state: &State, r: usize, admitted: CallAdmission, steps: &mut Steps) {
        let mut next = state.clone();
        match admitted {
            CallAdmission::Start(_) => next.requests[r].phase = Phase::Writing(state.version),
            CallAdmission::Unknown if self.fault == Fault::ResendUnknown => {
                next.requests[r].phase = Phase::Writing(state.version);
            }
            CallAdmission::Done(reply) => next.answer(r, Answer::Done(replied_attempt(&reply))),
            CallAdmission::Unknown => next.answer(r, Answer::Unknown(SeenCall::OtherAttempt)),
            CallAdmission::Started | CallAdmission::AskHost(_) | CallAdmission::KeyReused => return,
        }
        steps.push((format!("r{r} reads the table"), next));
    }

    /// Asks the host of another attempt, or finds it gone.
    fn ask_host_steps(&self, state: &State, r: usize, attempt: &Attempt, steps: &mut Steps) {
        let host = &state.hosts[usize::from(&*attempt.host != "h0")];
        if host.incarnation != attempt.incarnation {
            self.host_gone_steps(state, r, steps);
            return;
        }
        let host_record = host.held.iter().find(|h| h.attempt == *attempt);
        let Some(host_record) = host_record.filter(|t| t.state != CallState::Started) else {
            let mut next = state.clone();
            next.requests[r].phase = Phase::Reading(SeenCall::OtherAttempt);
            steps.push((format!("r{r} sees {}", attempt.id), next));
            return;
        };
        let admitted = admit(
            state.record.as_ref(),
            Some(host_record),
            &state.start_record(r),
        );
        self.push_admission(state, r, admitted, steps);
    }

    fn host_gone_steps(&self, state: &State, r: usize, steps: &mut Steps) {
        let mut next = state.clone();
        let name = format!("r{r} finds the host gone");
        if self.fault == Fault::GoneIsNotRun {
            next.requests[r].phase = Phase::Writing(state.version);
            steps.push((name, next));
            return;
        }
        let Some(unknown) = state.record.as_ref().and_then(orphaned_record) else {
            return;
        };
        next.write(state.version, &unknown);
        next.answer(r, Answer::Unknown(SeenCall::OtherAttempt));
        steps.push((name, next));
    }

    fn deadline_steps(
        &self,
        state: &State,
        r: usize,
        seen: SeenCall,
        awaits_other: bool,
        steps: &mut Steps,
    ) {
        if state.budget.deadlines == 0 {
            return;
        }
        let mut next = state.clone();
        next.budget.deadlines -= 1;
        let answer = match seen {
            SeenCall::Nothing if self.fault == Fault::BlindNotRun => Answer::NotRun,
            SeenCall::NotRun => Answer::NotRun,
            SeenCall::OtherAttempt if awaits_other => Answer::Unknown(seen),
            _ => Answer::Unknown(SeenCall::Nothing),
        };
        next.answer(r, answer);
        steps.push((format!("r{r} reaches its deadline"), next));
    }

    /// Writes the start, for the first time or again.
    fn write_start_steps(&self, state: &State, r: usize, expect: u64, steps: &mut Steps) {
        let mut next = state.clone();
        let start = state.start_record(r);
        next.requests[r].attempt = Some(start.attempt.clone());
        let held = &mut next.host(r).held;
        if !held.contains(&start) {
            held.push(start.clone());
        }
        if state.budget.lost_answers > 0 && state.requests[r].phase == Phase::Writing(expect) {
            let mut lost = next.clone();
            lost.budget.lost_answers -= 1;
            lost.requests[r].phase = Phase::Unconfirmed(expect);
            let mut delayed = lost.clone();
            if lost.write(expect, &start) {
                steps.push((format!("r{r} starts, answer lost"), lost));
            }
            delayed.delayed.push(DelayedWrite {
                expect,
                record: start.clone(),
            });
            steps.push((format!("r{r} starts, write delayed"), delayed));
        }
        if next.write(expect, &start) {
            next.requests[r].phase = Phase::Started(next.version);
        } else if may_send(state.record.as_ref(), &start) {
            next.requests[r].phase = Phase::Started(state.version);
        } else if state
            .record
            .as_ref()
            .is_some_and(|c| c.attempt == start.attempt)
        {
            next.end_attempt(r, state.version, CallState::NotRun);
            next.answer(r, Answer::NotRun);
        } else {
            restart_request(&mut next, r, &start);
        }
        steps.push((format!("r{r} starts"), next));
    }

    /// Ends the request as not run: no byte was sent and none will be.
    fn give_up_steps(&self, state: &State, r: usize, expect: u64, why: &str, steps: &mut Steps) {
        if state.budget.deadlines == 0 {
            return;
        }
        let mut next = state.clone();
        next.budget.deadlines -= 1;
        if self.fault == Fault::NotRunForgotten {
            let start = state.start_record(r);
            next.host(r).held.retain(|h| h.attempt != start.attempt);
        } else {
            next.end_attempt(r, expect, CallState::NotRun);
        }
        next.answer(r, Answer::NotRun);
        steps.push((format!("r{r} gives up: {why}"), next));
    }

    pub fn settle_steps(&self, state: &State, h: usize, steps: &mut Steps) {
        for (i, ending) in state.hosts[h].endings.iter().enumerate() {
            let mut next = state.clone();
            next.hosts[h].endings.remove(i);
            let name = format!("h{h} settles {}", ending.record.attempt.id);
            if next.write(ending.expect, &ending.record) {
                if state.budget.lost_answers > 0 {
                    let mut lost = next.clone();
                    lost.budget.lost_answers -= 1;
                    lost.hosts[h].endings.insert(i, ending.clone());
                    steps.push((format!("{name}, answer lost"), lost));
                }
            } else if let Some(record) = settled_record(state.record.as_ref(), &ending.record) {
                let expect = state.version;
                next.hosts[h].endings.insert(i, Ending { record, expect });
            }
            steps.push((name, next));
        }
    }

    pub fn upstream_steps(&self, state: &State, steps: &mut Steps) {
        for (r, request) in state.requests.iter().enumerate() {
            let Phase::Sent(version) = request.phase else {
                continue;
            };
            let id = state.start_record(r).attempt.id;
            if state.ran.contains(&id) {
                let mut next = state.clone();
                next.end_attempt(r, version, CallState::Done(reply(&id)));
                next.answer(r, Answer::Done(id.clone()));
                steps.push((format!("r{r} gets its reply"), next));
            }
            if state.budget.upstream_deaths > 0 {
                let mut next = state.clone();
                next.budget.upstream_deaths -= 1;
                next.in_transit.retain(|f| *f != id);
                self.lose_upstream(&mut next, r, version);
                steps.push((format!("r{r} loses the upstream"), next));
            }
        }
        for (i, id) in state.in_transit.iter().enumerate() {
            let mut next = state.clone();
            next.in_transit.remove(i);
            next.ran.push(id.clone());
            steps.push((format!("the upstream runs {id}"), next));
        }
    }

    fn lose_upstream(&self, next: &mut State, r: usize, version: u64) {
        if self.fault == Fault::NotRunAfterBytes {
            next.end_attempt(r, version, CallState::NotRun);
            next.answer(r, Answer::NotRun);
            return;
        }
        next.end_attempt(r, version, CallState::Unknown);
        next.answer(r, Answer::Unknown(SeenCall::OtherAttempt));
    }

    pub fn fault_steps(&self, state: &State, steps: &mut Steps) {
        for (i, write) in state.delayed.iter().enumerate() {
            let mut next = state.clone();
            next.delayed.remove(i);
            next.write(write.expect, &write.record);
            steps.push((
                format!("the delayed start {} takes effect", write.record.attempt.id),
                next,
            ));
        }
        if state.budget.crashes == 0 {
            return;
        }
        for h in 0..state.hosts.len() {
            let mut next = state.clone();
            next.budget.crashes -= 1;
            next.crashed = true;
            next.hosts[h] = Host {
                incarnation: state.hosts[h].incarnation + 1,
                held: Vec::new(),
                endings: Vec::new(),
            };
            for request in next.requests.iter_mut().filter(|r| r.host == h) {
                if !matches!(request.phase, Phase::NotArrived | Phase::Answered(_)) {
                    request.phase = Phase::Answered(Answer::Nothing);
                }
            }
            steps.push((format!("h{h} restarts"), next));
        }
    }
}

/// Returns whether the request waits for another attempt.
fn awaits_other_attempt(state: &State, r: usize) -> bool {
    state.requests[r].phase == Phase::Reading(SeenCall::OtherAttempt)
}

/// Lets the request read again after another attempt was recorded first.
fn restart_request(next: &mut State, r: usize, start: &CallRecord) {
    let other_recorded = !no_attempt_ran(next.record.as_ref());
    next.host(r).held.retain(|h| h.attempt != start.attempt);
    let request = &mut next.requests[r];
    request.attempt = None;
    request.tries += 1;
    request.phase = Phase::Reading(match other_recorded {
        true => SeenCall::OtherAttempt,
        false => SeenCall::NotRun,
    });
}

fn push_send(state: &State, r: usize, version: u64, steps: &mut Steps) {
    let mut next = state.clone();
    next.requests[r].phase = Phase::Sent(version);
    next.in_transit.push(state.start_record(r).attempt.id);
    next.bytes_sent = true;
    steps.push((format!("r{r} sends"), next));
}
