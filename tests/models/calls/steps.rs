//! Steps of requests, hosts, the upstream and the table.

use mastichinge::protocol::calls::{
    Attempt, CallAdmission, CallRecord, CallState, admit, may_send, no_attempt_ran,
    orphaned_record, settled_record,
};

use super::state::*;

impl Calls {
    pub fn request(&self, state: &State, r: usize, steps: &mut Steps) {
        match state.requests[r].phase.clone() {
            Phase::Later => self.arrives(state, r, steps),
            Phase::Reads(seen) => {
                let before = steps.len();
                self.reads(state, r, steps);
                let stuck = steps[before..].iter().all(|(_, s)| waits(s, r));
                self.expires(state, r, seen, stuck, steps);
            }
            Phase::Writes(expect) => {
                self.writes(state, r, expect, steps);
                self.gives_up(state, r, expect, "not started", steps);
            }
            Phase::Unsure(expect) => {
                self.writes(state, r, expect, steps);
                self.gives_up(state, r, expect, "no answer to its start", steps);
                if self.fault == Fault::EarlySend {
                    sends(state, r, expect, steps);
                }
            }
            Phase::Started(version) => {
                sends(state, r, version, steps);
                self.gives_up(state, r, version, "not sent", steps);
            }
            Phase::Sent(_) | Phase::Answered(_) => {}
        }
    }

    /// Requests come in order; any number may be open at once.
    fn arrives(&self, state: &State, r: usize, steps: &mut Steps) {
        if r > 0 && state.requests[r - 1].phase == Phase::Later {
            return;
        }
        let before = &state.requests[..r];
        let alone = before.iter().all(|b| matches!(b.phase, Phase::Answered(_)));
        let clean = state.ran.is_empty() && state.flying.is_empty();
        let hosts = if r == 0 { 1 } else { state.hosts.len() };
        for host in 0..hosts {
            let mut next = state.clone();
            for open in next.requests.iter_mut() {
                open.alone &= matches!(open.phase, Phase::Later | Phase::Answered(_));
            }
            next.requests[r] = Request {
                host,
                phase: Phase::Reads(Seen::Nothing),
                attempt: None,
                tries: 0,
                clean,
                alone,
            };
            steps.push((format!("r{r} arrives at h{host}"), next));
        }
    }

    fn reads(&self, state: &State, r: usize, steps: &mut Steps) {
        let mine = state.draft(r);
        let record = state.record.as_ref();
        match admit(record, None, &mine) {
            CallAdmission::AskHost(attempt) => self.asks(state, r, &attempt, steps),
            admitted => self.admitted(state, r, admitted, steps),
        }
    }

    fn admitted(&self, state: &State, r: usize, admitted: CallAdmission, steps: &mut Steps) {
        let mut next = state.clone();
        match admitted {
            CallAdmission::Start(_) => next.requests[r].phase = Phase::Writes(state.version),
            CallAdmission::Unknown if self.fault == Fault::ResendUnknown => {
                next.requests[r].phase = Phase::Writes(state.version);
            }
            CallAdmission::Done(reply) => next.answer(r, Answer::Done(replied(&reply))),
            CallAdmission::Unknown => next.answer(r, Answer::Unknown(Seen::Other)),
            CallAdmission::Started | CallAdmission::AskHost(_) | CallAdmission::KeyReused => return,
        }
        steps.push((format!("r{r} reads the table"), next));
    }

    /// The host of another attempt is asked, or is gone.
    fn asks(&self, state: &State, r: usize, attempt: &Attempt, steps: &mut Steps) {
        let host = &state.hosts[usize::from(&*attempt.host != "h0")];
        if host.incarnation != attempt.incarnation {
            self.orphans(state, r, steps);
            return;
        }
        let told = host.held.iter().find(|h| h.attempt == *attempt);
        let Some(told) = told.filter(|t| t.state != CallState::Started) else {
            let mut next = state.clone();
            next.requests[r].phase = Phase::Reads(Seen::Other);
            steps.push((format!("r{r} sees {}", attempt.id), next));
            return;
        };
        let admitted = admit(state.record.as_ref(), Some(told), &state.draft(r));
        self.admitted(state, r, admitted, steps);
    }

    fn orphans(&self, state: &State, r: usize, steps: &mut Steps) {
        let mut next = state.clone();
        let name = format!("r{r} finds the host gone");
        if self.fault == Fault::GoneIsNotRun {
            next.requests[r].phase = Phase::Writes(state.version);
            steps.push((name, next));
            return;
        }
        let Some(unknown) = state.record.as_ref().and_then(orphaned_record) else {
            return;
        };
        next.write(state.version, &unknown);
        next.answer(r, Answer::Unknown(Seen::Other));
        steps.push((name, next));
    }

    fn expires(&self, state: &State, r: usize, seen: Seen, stuck: bool, steps: &mut Steps) {
        if state.budget.deadlines == 0 {
            return;
        }
        let mut next = state.clone();
        next.budget.deadlines -= 1;
        let answer = match seen {
            Seen::Nothing if self.fault == Fault::BlindNotRun => Answer::NotRun,
            Seen::Clear => Answer::NotRun,
            Seen::Other if stuck => Answer::Unknown(seen),
            _ => Answer::Unknown(Seen::Nothing),
        };
        next.answer(r, answer);
        steps.push((format!("r{r} reaches its deadline"), next));
    }

    /// The start is written, for the first time or again.
    fn writes(&self, state: &State, r: usize, expect: u64, steps: &mut Steps) {
        let mut next = state.clone();
        let draft = state.draft(r);
        next.requests[r].attempt = Some(draft.attempt.clone());
        let held = &mut next.host(r).held;
        if !held.contains(&draft) {
            held.push(draft.clone());
        }
        if state.budget.lost > 0 && state.requests[r].phase == Phase::Writes(expect) {
            let mut lost = next.clone();
            lost.budget.lost -= 1;
            lost.requests[r].phase = Phase::Unsure(expect);
            let mut delayed = lost.clone();
            if lost.write(expect, &draft) {
                steps.push((format!("r{r} starts, answer lost"), lost));
            }
            delayed.late.push(Late {
                expect,
                record: draft.clone(),
            });
            steps.push((format!("r{r} starts, still on its way"), delayed));
        }
        if next.write(expect, &draft) {
            next.requests[r].phase = Phase::Started(next.version);
        } else if may_send(state.record.as_ref(), &draft) {
            next.requests[r].phase = Phase::Started(state.version);
        } else if state
            .record
            .as_ref()
            .is_some_and(|c| c.attempt == draft.attempt)
        {
            next.end(r, state.version, CallState::NotRun);
            next.answer(r, Answer::NotRun);
        } else {
            taken(&mut next, r, &draft);
        }
        steps.push((format!("r{r} starts"), next));
    }

    /// No byte was sent and none will be.
    fn gives_up(&self, state: &State, r: usize, expect: u64, why: &str, steps: &mut Steps) {
        if state.budget.deadlines == 0 {
            return;
        }
        let mut next = state.clone();
        next.budget.deadlines -= 1;
        if self.fault == Fault::NotRunForgotten {
            let draft = state.draft(r);
            next.host(r).held.retain(|h| h.attempt != draft.attempt);
        } else {
            next.end(r, expect, CallState::NotRun);
        }
        next.answer(r, Answer::NotRun);
        steps.push((format!("r{r} gives up: {why}"), next));
    }

    pub fn settles(&self, state: &State, h: usize, steps: &mut Steps) {
        for (i, ending) in state.hosts[h].endings.iter().enumerate() {
            let mut next = state.clone();
            next.hosts[h].endings.remove(i);
            let name = format!("h{h} settles {}", ending.record.attempt.id);
            if next.write(ending.expect, &ending.record) {
                if state.budget.lost > 0 {
                    let mut lost = next.clone();
                    lost.budget.lost -= 1;
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

    pub fn upstream(&self, state: &State, steps: &mut Steps) {
        for (r, request) in state.requests.iter().enumerate() {
            let Phase::Sent(version) = request.phase else {
                continue;
            };
            let id = state.draft(r).attempt.id;
            if state.ran.contains(&id) {
                let mut next = state.clone();
                next.end(r, version, CallState::Done(reply(&id)));
                next.answer(r, Answer::Done(id.clone()));
                steps.push((format!("r{r} gets its reply"), next));
            }
            if state.budget.deaths > 0 {
                let mut next = state.clone();
                next.budget.deaths -= 1;
                next.flying.retain(|f| *f != id);
                self.lost(&mut next, r, version);
                steps.push((format!("r{r} loses the upstream"), next));
            }
        }
        for (i, id) in state.flying.iter().enumerate() {
            let mut next = state.clone();
            next.flying.remove(i);
            next.ran.push(id.clone());
            steps.push((format!("the upstream runs {id}"), next));
        }
    }

    fn lost(&self, next: &mut State, r: usize, version: u64) {
        if self.fault == Fault::NotRunAfterBytes {
            next.end(r, version, CallState::NotRun);
            next.answer(r, Answer::NotRun);
            return;
        }
        next.end(r, version, CallState::Unknown);
        next.answer(r, Answer::Unknown(Seen::Other));
    }

    pub fn faults(&self, state: &State, steps: &mut Steps) {
        for (i, late) in state.late.iter().enumerate() {
            let mut next = state.clone();
            next.late.remove(i);
            next.write(late.expect, &late.record);
            steps.push((
                format!("the late start {} lands", late.record.attempt.id),
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
                if !matches!(request.phase, Phase::Later | Phase::Answered(_)) {
                    request.phase = Phase::Answered(Answer::Nothing);
                }
            }
            steps.push((format!("h{h} restarts"), next));
        }
    }
}

/// The request waits for another attempt.
fn waits(state: &State, r: usize) -> bool {
    state.requests[r].phase == Phase::Reads(Seen::Other)
}

/// Another attempt was recorded first.
fn taken(next: &mut State, r: usize, draft: &CallRecord) {
    let open = !no_attempt_ran(next.record.as_ref());
    next.host(r).held.retain(|h| h.attempt != draft.attempt);
    let request = &mut next.requests[r];
    request.attempt = None;
    request.tries += 1;
    request.phase = Phase::Reads(match open {
        true => Seen::Other,
        false => Seen::Clear,
    });
}

fn sends(state: &State, r: usize, version: u64, steps: &mut Steps) {
    let mut next = state.clone();
    next.requests[r].phase = Phase::Sent(version);
    next.flying.push(state.draft(r).attempt.id);
    next.touched = true;
    steps.push((format!("r{r} sends"), next));
}
