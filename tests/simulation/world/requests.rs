//! The way of a simulated request: its daemon's decisions, its engine, its
//! caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mastichinge::clock::Moment;
use mastichinge::edge::admission::{AdmissionDecision, TimeBudget, silence_limit};
use mastichinge::edge::demand::ModelKey;
use mastichinge::edge::placement::ModelTarget;
use mastichinge::edge::routing::{self, RoutingContext, RoutingRequest};
use mastichinge::edge::suspects::fingerprint;

use super::super::engine::{Made, Run, Taken};
use super::super::firm::{Kind, SERVICE};
use super::{Asking, End, HOP, Happening, LEAD, Sending, World};

/// Way between a caller and a daemon.
const CALLER: Duration = Duration::from_millis(3);
/// Period at which a waiting request looks again.
const LOOK: Duration = Duration::from_millis(100);
/// Period at which a held request looks again.
const HOLD: Duration = Duration::from_millis(20);
/// Longest silence of an engine after which a repeatable request goes on.
const SILENCE: Duration = Duration::from_millis(900);
/// Most sendings of one try that engines reject.
const REJECTIONS: u32 = 4;

impl World {
    pub(super) fn arrive(&mut self, index: usize) {
        let now = self.now;
        let request = &mut self.requests[index];
        request.tries += 1;
        request.began = now;
        request.avoid.clear();
        (request.sent, request.rejected) = (0, 0);
        let kind = &self.firm.kinds[request.arrival.kind];
        let tries = request.tries;
        let leaves = silence_limit(&kind.route).min(limit(request, kind, now));
        let prompt = &request.arrival.prompt;
        let which = ModelKey::new(&SERVICE.into(), &prompt.model);
        let tight = self.models[&prompt.model].is_tight(kind.route.objective);
        let engines = &self.settings.engines;
        let meter = &mut self.daemons[request.arrival.daemon].meter;
        meter.record_prompt(which, prompt, engines, tight, now);
        self.after(leaves, Happening::Leave(index, tries));
        self.look(index, tries);
    }

    /// Looks for an engine, as the daemon does.
    pub(super) fn look(&mut self, index: usize, tries: u32) {
        let now = self.now;
        let request = &self.requests[index];
        if request.end.is_some() || request.tries != tries || request.sending.is_some() {
            return;
        }
        let daemon = request.arrival.daemon;
        let kind = &self.firm.kinds[request.arrival.kind];
        let state = &self.daemons[daemon];
        let service: Arc<str> = SERVICE.into();
        let view = RoutingContext {
            fleet: &state.fleet,
            desired: &state.desired,
            meter: &state.meter,
            engines: &self.settings.engines,
            domain: ["north", "south", "east", "west"][daemon % 4],
            now,
        };
        let asked = RoutingRequest {
            service: &service,
            kind: kind.route.kind,
            prompt: Some(&request.arrival.prompt),
            fingerprint: fingerprint(&index.to_string(), &[]),
            avoid: &request.avoid,
        };
        let begun = Instant::now();
        let pick = routing::select_engine(&view, &asked);
        self.counts.routing.0 += begun.elapsed();
        self.counts.routing.1 += 1;
        let left = limit(request, kind, now);
        let age = now.saturating_sub(request.began);
        let resumed = request.first.is_some();
        let time = TimeBudget::new(&kind.route, age, age, left, resumed);
        let priority = kind.route.priority;
        match time.decide(pick, &self.settings.admission) {
            AdmissionDecision::Send(choice) => {
                self.unwant(index);
                let request = &mut self.requests[index];
                let state = &mut self.daemons[daemon];
                let passage = state.begin_request(&choice, Some(&request.arrival.prompt), now);
                let sending = self.sendings.len();
                request.sending = Some(sending);
                self.sendings.push(Sending {
                    request: index,
                    engine: self.ids[&choice.engine],
                    passage,
                    predicted: choice.first_event,
                    at: now,
                    over: false,
                });
                self.flush_soon(daemon);
                self.after(HOP, Happening::Reach(sending));
            }
            AdmissionDecision::Refuse {
                retry_after, load, ..
            } => {
                if let Some(target) = load {
                    self.daemons[daemon].add_waiting(&target, priority, now);
                    self.daemons[daemon].remove_waiting(&target, now);
                    self.flush_soon(daemon);
                }
                self.refuse(index, retry_after);
            }
            AdmissionDecision::Hold => self.after(HOLD, Happening::Look(index, tries)),
            AdmissionDecision::NoEngine => self.after(LOOK, Happening::Look(index, tries)),
            AdmissionDecision::WaitForLoad(target) => {
                if self.requests[index].wanting.as_ref() != Some(&target) {
                    self.unwant(index);
                    self.requests[index].waited = true;
                    self.daemons[daemon].add_waiting(&target, priority, now);
                    self.requests[index].wanting = Some(target);
                    self.flush_soon(daemon);
                }
                // The daemon looks at each change; this is often enough.
                self.after(Duration::from_millis(10), Happening::Look(index, tries));
            }
        }
    }

    fn unwant(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if let Some(target) = request.wanting.take() {
            self.daemons[request.arrival.daemon].remove_waiting(&target, self.now);
        }
    }

    fn refuse(&mut self, index: usize, back: Duration) {
        self.unwant(index);
        let request = &mut self.requests[index];
        request.sending = None;
        let kind = &self.firm.kinds[request.arrival.kind];
        let left = limit(request, kind, self.now);
        if request.tries < 2 && left > back {
            let back = back.min(left / 3) + CALLER * 2;
            self.after(back, Happening::Arrive(index));
        } else {
            request.end = Some(End::Refused);
        }
    }

    pub(super) fn reach(&mut self, sending: usize) {
        let now = self.now;
        let at = &self.sendings[sending];
        if at.over {
            return;
        }
        let request = &self.requests[at.request];
        let prompt = &request.arrival.prompt;
        let kind = &self.firm.kinds[request.arrival.kind];
        let spec = self.firm.models.iter().find(|m| m.name == prompt.model);
        let run = Run {
            id: sending,
            model: prompt.model.clone(),
            adapter: prompt.adapter.clone(),
            pace: spec.map_or(1.0, |s| s.pace),
            rank: kind.route.priority,
            chains: prompt.prefix_keys(),
            input: prompt.input_tokens,
            output: prompt.output_tokens,
            unread: prompt.input_tokens,
            made: 0,
        };
        let engine = at.engine;
        match self.engines[engine].take(run, now) {
            Taken::Yes => self.step(engine),
            Taken::Absent => self.after(HOP, Happening::Refused(sending, true)),
            Taken::Full => self.after(HOP, Happening::Refused(sending, false)),
            Taken::Dead => self.broken(sending),
        }
    }

    fn step(&mut self, engine: usize) {
        let now = self.now;
        if let Some(end) = self.engines[engine].begin(now) {
            self.at(end, Happening::StepEnd(engine, end));
        }
    }

    pub(super) fn step_end(&mut self, engine: usize, end: Moment) {
        if self.engines[engine].step != Some(end) {
            return;
        }
        let now = self.now;
        for made in self.engines[engine].end(now) {
            match made {
                Made::First(sending) => self.after(HOP, Happening::First(sending)),
                Made::End(sending) => self.after(HOP, Happening::End(sending)),
            }
        }
        self.step(engine);
    }

    pub(super) fn first(&mut self, sending: usize) {
        let now = self.now;
        let at = &self.sendings[sending];
        if at.over {
            return;
        }
        let request = &mut self.requests[at.request];
        let daemon = request.arrival.daemon;
        let arrived = LEAD + request.arrival.at;
        request.first.get_or_insert(now + CALLER * 2 - arrived);
        let seen = now - at.at;
        self.counts
            .ratios
            .push(seen.as_secs_f64() / at.predicted.as_secs_f64());
        let which = ModelKey::new(&SERVICE.into(), &request.arrival.prompt.model);
        let state = &mut self.daemons[daemon];
        state.record_prompt_read(&at.passage, now);
        state.record_first_event(which, &at.passage.engine, (at.predicted, seen), now);
    }

    pub(super) fn end(&mut self, sending: usize) {
        let at = &mut self.sendings[sending];
        if std::mem::replace(&mut at.over, true) {
            return;
        }
        let request = &mut self.requests[at.request];
        request.end = Some(End::Served);
        let state = &mut self.daemons[request.arrival.daemon];
        state.end_request(&at.passage);
        if let Some(upstream) = state.fleet.engines.get_mut(&at.passage.engine) {
            upstream.breaker.record_success();
        }
    }

    pub(super) fn rejected(&mut self, sending: usize, absent: bool) {
        let now = self.now;
        let at = &mut self.sendings[sending];
        if std::mem::replace(&mut at.over, true) {
            return;
        }
        let index = at.request;
        let request = &mut self.requests[index];
        let state = &mut self.daemons[request.arrival.daemon];
        state.end_request(&at.passage);
        let engine = at.passage.engine.clone();
        if absent {
            let target = ModelTarget::of(&SERVICE.into(), &request.arrival.prompt);
            state.record_missing(&engine, &target, now);
        }
        request.avoid.push(engine);
        request.sending = None;
        request.rejected += 1;
        if request.rejected >= REJECTIONS {
            self.refuse(index, Duration::from_millis(400));
            return;
        }
        let tries = request.tries;
        let pause = match absent {
            true => Duration::ZERO,
            false => Duration::from_millis(60),
        };
        self.after(pause, Happening::Look(index, tries));
    }

    /// An engine broke off a request.
    pub(super) fn broken(&mut self, sending: usize) {
        let now = self.now;
        let at = &mut self.sendings[sending];
        if std::mem::replace(&mut at.over, true) {
            return;
        }
        let index = at.request;
        let engine = at.passage.engine.clone();
        let request = &mut self.requests[index];
        let state = &mut self.daemons[request.arrival.daemon];
        state.end_request(&at.passage);
        if let Some(upstream) = state.fleet.engines.get_mut(&engine) {
            upstream.breaker.record_failure(now);
            upstream.record_failure(now);
            upstream.down_sequence = Some(upstream.entry.sequence);
        }
        request.sending = None;
        request.sent += 1;
        request.avoid.push(engine);
        let kind = &self.firm.kinds[request.arrival.kind];
        if request.sent < kind.route.attempts && kind.route.resumable {
            let tries = request.tries;
            self.after(HOP, Happening::Look(index, tries));
        } else {
            request.end = Some(End::Failed);
        }
    }

    /// A caller leaves when no event has come.
    pub(super) fn leave(&mut self, index: usize, tries: u32) {
        let request = &mut self.requests[index];
        if request.tries != tries || request.end.is_some() {
            return;
        }
        let kind = &self.firm.kinds[request.arrival.kind];
        let left = limit(request, kind, self.now);
        if request.first.is_some() && !left.is_zero() {
            self.after(left, Happening::Leave(index, tries));
            return;
        }
        if let Some(sending) = request.sending.take() {
            let at = &mut self.sendings[sending];
            at.over = true;
            self.engines[at.engine].drop_run(sending);
            self.daemons[request.arrival.daemon].end_request(&at.passage);
        }
        self.unwant(index);
        let request = &mut self.requests[index];
        if request.tries < 2 && left > SILENCE {
            self.after(CALLER * 2, Happening::Arrive(index));
        } else {
            request.end = Some(End::Failed);
        }
    }
}

/// Time that a request's caller still has for it.
fn limit(request: &Asking, kind: &Kind, now: Moment) -> Duration {
    let end = LEAD + request.arrival.at + kind.route.timeout;
    end.saturating_sub(now)
}
