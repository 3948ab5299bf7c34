//! Life cycle of a simulated request: the daemon's decisions, the attempts at
//! engines, and the caller's tries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mastichinge::clock::Moment;
use mastichinge::edge::admission::{AdmissionDecision, TimeBudget, silence_limit};
use mastichinge::edge::demand::ModelKey;
use mastichinge::edge::engine_load::FirstEvent;
use mastichinge::edge::origins::Allowed;
use mastichinge::edge::placement::ModelTarget;
use mastichinge::edge::routing::{self, RoutingContext, RoutingRequest};
use mastichinge::edge::suspects::fingerprint;
use mastichinge::edge::unreachable::Cause;

use super::super::engine::{BATCH_SLOTS, EngineRequest, StepEvent, SubmitResult};
use super::super::firm::{RequestKind, SERVICE};
use super::{Attempt, HOP_DELAY, RequestEnd, SimEvent, SimRequest, Simulator, WARMUP};

/// One-way delay between a caller and a daemon.
const CALLER_DELAY: Duration = Duration::from_millis(3);
/// Period at which a request without an engine is routed again.
const ROUTE_PERIOD: Duration = Duration::from_millis(100);
/// Period at which a held request is routed again.
const HOLD_PERIOD: Duration = Duration::from_millis(20);
/// Time that must be left for a caller that gave up to try again: the longest
/// silence of an engine after which a repeatable request is sent elsewhere.
const MIN_RETRY_TIME: Duration = Duration::from_millis(900);
/// Attempts of one try that engines may reject before the request is refused.
const MAX_REJECTIONS: u32 = 4;

impl Simulator {
    /// Starts a try of the caller at its daemon.
    pub(super) fn start_try(&mut self, index: usize) {
        let now = self.now;
        let request = &mut self.requests[index];
        request.tries += 1;
        request.try_start = now;
        request.avoid.clear();
        (request.failed_attempts, request.rejections) = (0, 0);
        let kind = &self.firm.kinds[request.arrival.kind];
        let tries = request.tries;
        let caller_timeout = silence_limit(&kind.route).min(time_left(request, kind, now));
        let prompt = &request.arrival.prompt;
        let model_key = ModelKey::new(&SERVICE.into(), &prompt.model);
        let tight = self.models[&prompt.model].is_tight(kind.route.objective);
        let engines = &self.settings.engines;
        let slots = BATCH_SLOTS as u32;
        let meter = &mut self.daemons[request.arrival.daemon].meter;
        meter.record_prompt(model_key, prompt, engines, slots, tight, now);
        self.schedule_after(caller_timeout, SimEvent::CallerTimeout(index, tries));
        self.route_request(index, tries);
    }

    /// Routes the request with the daemon's decision code.
    pub(super) fn route_request(&mut self, index: usize, tries: u32) {
        let now = self.now;
        let request = &self.requests[index];
        if request.end.is_some() || request.tries != tries || request.attempt.is_some() {
            return;
        }
        let daemon = request.arrival.daemon;
        let kind = &self.firm.kinds[request.arrival.kind];
        let state = &self.daemons[daemon];
        let service: Arc<str> = SERVICE.into();
        let context = RoutingContext {
            fleet: &state.fleet,
            desired: &state.desired,
            meter: &state.meter,
            forecast: self.daemons[0].load_forecast(&service, now),
            engines: &self.settings.engines,
            domain: ["north", "south", "east", "west"][daemon % 4],
            now,
        };
        let query = RoutingRequest {
            service: &service,
            kind: kind.route.kind,
            priority: kind.route.priority,
            prompt: Some(&request.arrival.prompt),
            fingerprint: fingerprint(&index.to_string(), &[]),
            avoid: &request.avoid,
            permit: None,
            allowed: &Allowed::Any,
        };
        let started = Instant::now();
        let selection = routing::select_engine(&context, &query);
        self.counters.routing.0 += started.elapsed();
        self.counters.routing.1 += 1;
        let left = time_left(request, kind, now);
        let age = now.saturating_sub(request.try_start);
        let resumed = request.first_event.is_some();
        let budget = TimeBudget::new(&kind.route, age, age, left, resumed);
        let priority = kind.route.priority;
        match budget.decide(selection, &self.settings.admission) {
            AdmissionDecision::Send(choice) => {
                self.stop_waiting(index);
                let request = &mut self.requests[index];
                let state = &mut self.daemons[daemon];
                let active_request =
                    state.begin_request(&choice, Some(&request.arrival.prompt), now);
                let attempt = self.attempts.len();
                request.attempt = Some(attempt);
                self.attempts.push(Attempt {
                    request: index,
                    engine: self.engine_index[&choice.engine],
                    active_request,
                    predicted: choice.first_event,
                    sent_at: now,
                    ended: false,
                });
                self.flush_soon(daemon);
                self.schedule_after(HOP_DELAY, SimEvent::ReachEngine(attempt));
            }
            AdmissionDecision::Refuse {
                retry_after, load, ..
            } => {
                if let Some(target) = load {
                    let state = &mut self.daemons[daemon];
                    state.expect_retry(target, priority, now + retry_after, now);
                    self.flush_soon(daemon);
                }
                self.refuse_try(index, retry_after);
            }
            AdmissionDecision::Hold => {
                self.schedule_after(HOLD_PERIOD, SimEvent::Route(index, tries))
            }
            AdmissionDecision::ReturnLater(paused) => self.refuse_try(index, paused.ready_in),
            // The engines of the simulation name no rate.
            AdmissionDecision::NoPermit => self.refuse_try(index, HOLD_PERIOD),
            AdmissionDecision::Pause(left) => {
                self.schedule_after(left, SimEvent::Route(index, tries))
            }
            AdmissionDecision::NoEngine => {
                self.schedule_after(ROUTE_PERIOD, SimEvent::Route(index, tries))
            }
            AdmissionDecision::WaitForLoad(target) => {
                if self.requests[index].waiting_for.as_ref() != Some(&target) {
                    self.stop_waiting(index);
                    self.requests[index].waited = true;
                    self.daemons[daemon].add_waiting(&target, priority, now);
                    self.requests[index].waiting_for = Some(target);
                    self.flush_soon(daemon);
                }
                // The daemon reroutes at each change; polling every 10 ms is close enough.
                self.schedule_after(Duration::from_millis(10), SimEvent::Route(index, tries));
            }
        }
    }

    fn stop_waiting(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if let Some(target) = request.waiting_for.take() {
            self.daemons[request.arrival.daemon].remove_waiting(&target, self.now);
        }
    }

    fn refuse_try(&mut self, index: usize, retry_after: Duration) {
        self.stop_waiting(index);
        let request = &mut self.requests[index];
        request.attempt = None;
        let kind = &self.firm.kinds[request.arrival.kind];
        let left = time_left(request, kind, self.now);
        if request.tries < 2 && left > retry_after {
            let delay = retry_after.min(left / 3) + CALLER_DELAY * 2;
            self.schedule_after(delay, SimEvent::Arrive(index));
        } else {
            request.end = Some(RequestEnd::Refused);
        }
    }

    pub(super) fn submit_attempt(&mut self, id: usize) {
        let now = self.now;
        let attempt = &self.attempts[id];
        if attempt.ended {
            return;
        }
        let request = &self.requests[attempt.request];
        let prompt = &request.arrival.prompt;
        let kind = &self.firm.kinds[request.arrival.kind];
        let spec = self.firm.models.iter().find(|m| m.name == prompt.model);
        let engine_request = EngineRequest {
            id,
            model: prompt.model.clone(),
            adapter: prompt.adapter.clone(),
            time_factor: spec.map_or(1.0, |s| s.time_factor),
            priority: kind.route.priority,
            prefix_keys: prompt.prefix_keys(),
            input_tokens: prompt.input_tokens,
            output_tokens: prompt.output_tokens,
            unread_tokens: prompt.input_tokens,
            generated: 0,
        };
        let engine = attempt.engine;
        match self.engines[engine].submit(engine_request, now) {
            SubmitResult::Accepted => self.start_step(engine),
            SubmitResult::ModelMissing => {
                self.schedule_after(HOP_DELAY, SimEvent::Reject(id, true))
            }
            SubmitResult::QueueFull => self.schedule_after(HOP_DELAY, SimEvent::Reject(id, false)),
            SubmitResult::EngineDown => self.fail_attempt(id),
        }
    }

    fn start_step(&mut self, engine: usize) {
        let now = self.now;
        if let Some(end) = self.engines[engine].start_step(now) {
            self.schedule_at(end, SimEvent::StepEnd(engine, end));
        }
    }

    pub(super) fn end_step(&mut self, engine: usize, end: Moment) {
        if self.engines[engine].step_end != Some(end) {
            return;
        }
        let now = self.now;
        for event in self.engines[engine].finish_step(now) {
            match event {
                StepEvent::FirstEvent(attempt) => {
                    self.schedule_after(HOP_DELAY, SimEvent::FirstEvent(attempt))
                }
                StepEvent::Completed(attempt) => {
                    self.schedule_after(HOP_DELAY, SimEvent::Complete(attempt))
                }
            }
        }
        self.start_step(engine);
    }

    pub(super) fn record_first_event(&mut self, id: usize) {
        let now = self.now;
        let attempt = &self.attempts[id];
        if attempt.ended {
            return;
        }
        let request = &mut self.requests[attempt.request];
        let daemon = request.arrival.daemon;
        let arrived = WARMUP + request.arrival.at;
        request
            .first_event
            .get_or_insert(now + CALLER_DELAY * 2 - arrived);
        let measured = now - attempt.sent_at;
        self.counters
            .latency_ratios
            .push(measured.as_secs_f64() / attempt.predicted.as_secs_f64());
        let model_key = ModelKey::new(&SERVICE.into(), &request.arrival.prompt.model);
        let state = &mut self.daemons[daemon];
        state.record_prompt_read(&attempt.active_request, now);
        state.record_first_event(
            model_key,
            &attempt.active_request.engine,
            FirstEvent {
                predicted: attempt.predicted,
                usual: attempt.predicted,
                measured,
            },
            now,
        );
    }

    pub(super) fn complete_attempt(&mut self, id: usize) {
        let attempt = &mut self.attempts[id];
        if std::mem::replace(&mut attempt.ended, true) {
            return;
        }
        let request = &mut self.requests[attempt.request];
        request.end = Some(RequestEnd::Served);
        let state = &mut self.daemons[request.arrival.daemon];
        state.end_request(&attempt.active_request);
        if let Some(upstream) = state.fleet.engines.get_mut(&attempt.active_request.engine) {
            upstream.breaker.record_success();
        }
    }

    pub(super) fn reject_attempt(&mut self, id: usize, model_missing: bool) {
        let now = self.now;
        let attempt = &mut self.attempts[id];
        if std::mem::replace(&mut attempt.ended, true) {
            return;
        }
        let index = attempt.request;
        let request = &mut self.requests[index];
        let state = &mut self.daemons[request.arrival.daemon];
        state.end_request(&attempt.active_request);
        let engine = attempt.active_request.engine.clone();
        if model_missing {
            let target = ModelTarget::of(&SERVICE.into(), &request.arrival.prompt);
            state.record_missing(&engine, &target, now);
        }
        request.avoid.push(engine);
        request.attempt = None;
        request.rejections += 1;
        if request.rejections >= MAX_REJECTIONS {
            self.refuse_try(index, Duration::from_millis(400));
            return;
        }
        let tries = request.tries;
        let pause = match model_missing {
            true => Duration::ZERO,
            false => Duration::from_millis(60),
        };
        self.schedule_after(pause, SimEvent::Route(index, tries));
    }

    /// Ends an attempt that its engine interrupted; repeats it if the route allows.
    pub(super) fn fail_attempt(&mut self, id: usize) {
        let now = self.now;
        let attempt = &mut self.attempts[id];
        if std::mem::replace(&mut attempt.ended, true) {
            return;
        }
        let index = attempt.request;
        let engine = attempt.active_request.engine.clone();
        let request = &mut self.requests[index];
        let hosts = self.daemons.len();
        let state = &mut self.daemons[request.arrival.daemon];
        state.end_request(&attempt.active_request);
        if let Some(upstream) = state.fleet.engines.get_mut(&engine) {
            upstream.breaker.record_failure(now);
            upstream.record_failure(now);
            upstream.record_unreachable(Cause::Refused, hosts, now);
        }
        request.attempt = None;
        request.failed_attempts += 1;
        request.avoid.push(engine);
        let kind = &self.firm.kinds[request.arrival.kind];
        if request.failed_attempts < kind.route.attempts && kind.route.resumable {
            let tries = request.tries;
            self.schedule_after(HOP_DELAY, SimEvent::Route(index, tries));
        } else {
            request.end = Some(RequestEnd::Failed);
        }
    }

    /// Ends a try whose caller received no event in time or whose time is up.
    pub(super) fn time_out_try(&mut self, index: usize, tries: u32) {
        let request = &mut self.requests[index];
        if request.tries != tries || request.end.is_some() {
            return;
        }
        let kind = &self.firm.kinds[request.arrival.kind];
        let left = time_left(request, kind, self.now);
        if request.first_event.is_some() && !left.is_zero() {
            self.schedule_after(left, SimEvent::CallerTimeout(index, tries));
            return;
        }
        if let Some(id) = request.attempt.take() {
            let attempt = &mut self.attempts[id];
            attempt.ended = true;
            self.engines[attempt.engine].cancel(id);
            self.daemons[request.arrival.daemon].end_request(&attempt.active_request);
        }
        self.stop_waiting(index);
        let request = &mut self.requests[index];
        if request.tries < 2 && left > MIN_RETRY_TIME {
            self.schedule_after(CALLER_DELAY * 2, SimEvent::Arrive(index));
        } else {
            request.end = Some(RequestEnd::Failed);
        }
    }
}

/// Returns the time left until the request's timeout.
fn time_left(request: &SimRequest, kind: &RequestKind, now: Moment) -> Duration {
    let end = WARMUP + request.arrival.at + kind.route.timeout;
    end.saturating_sub(now)
}
