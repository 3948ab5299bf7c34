//! Requests in flight at engines.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use super::clock;
use super::demand::ModelKey;
use super::exchange::Recipient;
use super::request_headers::Prompt;
use super::routing::SelectedEngine;
use super::state::{Edge, State};
use super::suspects::{Feature, Progress};
use super::unreachable::Cause;
use super::upstream::{Lifetime, SentPrompt, Upstream};
use crate::clock::Moment;

/// Guard of a request in flight at an engine; dropping it ends the request's accounting. Unless
/// its run has ended then, it counts as left.
#[derive(Debug)]
pub struct InFlightGuard {
    edge: Rc<Edge>,
    /// Id of the engine.
    pub engine: Arc<str>,
    request: InFlightRequest,
    recipient: Recipient,
    /// Features of the request.
    features: Vec<Feature>,
    answer: Cell<Answer>,
    /// Whether the run has ended, or it is known not to have begun.
    has_ended: Cell<bool>,
}

/// What has arrived of an answer.
#[derive(Clone, Copy, Debug, Default)]
struct Answer {
    has_head: bool,
    /// When the first event arrived.
    first_at: Option<Moment>,
    /// When anything arrived last.
    last_at: Moment,
}

impl InFlightGuard {
    /// Records that a request is sent to an engine. A request with a prompt is announced
    /// to the other daemons.
    pub fn begin(
        edge: &Rc<Edge>,
        choice: &SelectedEngine,
        prompt: Option<&Prompt>,
        features: &[Feature],
    ) -> Self {
        let mut state = edge.state.borrow_mut();
        let request = state.begin_request(choice, prompt, clock::now());
        if !state.sent_prompts.is_empty() {
            edge.send_wake.notify_one();
        }
        let lifetime = Lifetime {
            engine: choice.engine.clone(),
            incarnation: request.incarnation,
        };
        InFlightGuard {
            edge: edge.clone(),
            engine: choice.engine.clone(),
            request,
            recipient: Recipient {
                lifetime,
                addr: choice.addr,
            },
            features: features.to_vec(),
            answer: Cell::default(),
            has_ended: Cell::new(false),
        }
    }

    /// Returns the engine as known when the request began.
    pub fn recipient(&self) -> &Recipient {
        &self.recipient
    }

    /// Records that the head of the engine's answer has arrived.
    pub fn record_head(&self) {
        let answer = Answer {
            has_head: true,
            last_at: clock::now(),
            ..self.answer.get()
        };
        self.answer.set(answer);
        self.edge.record_heard(&self.recipient.lifetime);
    }

    /// Records that a part of the answer has arrived; `has_events` tells whether it completes
    /// events.
    pub fn record_part(&self, has_events: bool) {
        let mut answer = self.answer.get();
        answer.last_at = clock::now();
        if has_events {
            answer.first_at.get_or_insert(answer.last_at);
        }
        self.answer.set(answer);
        self.edge.record_heard(&self.recipient.lifetime);
    }

    /// Returns how far the answer is. A silence after it has begun does not count.
    pub fn progress(&self) -> Progress {
        let answer = self.answer.get();
        if !answer.has_head {
            return Progress::Waiting;
        }
        let since = answer.first_at.map(|at| answer.last_at.saturating_sub(at));
        Progress::after_head(since)
    }

    /// Returns whether events have arrived.
    pub fn has_events(&self) -> bool {
        self.answer.get().first_at.is_some()
    }

    /// Records that the run has ended, or has not begun.
    pub fn record_end(&self) {
        self.has_ended.set(true);
    }

    /// Ends the accounting of a run whose engine has been silent for too long, and asks the engine
    /// what became of it.
    pub fn abandon(self) {
        let (edge, lifetime) = (self.edge.clone(), self.recipient.lifetime.clone());
        drop(self);
        edge.watch_left(&lifetime);
    }

    /// Records that the engine has read the prompt.
    pub fn record_prompt_read(&self) {
        let mut state = self.edge.state.borrow_mut();
        state.record_prompt_read(&self.request, clock::now());
    }

    /// Records that the engine could not be reached, and marks it as down.
    pub fn record_unreachable(&self, cause: Cause, error: &str) {
        self.record_outcome(false);
        self.edge.mark_down(&self.engine, cause, error);
    }

    /// Records that no response arrived before the deadline; this does not count against
    /// the circuit breaker.
    pub fn record_timeout(&self) {
        let mut state = self.edge.state.borrow_mut();
        if let Some(upstream) = state.engine_of(&self.request) {
            upstream.record_failure(clock::now());
        }
    }

    /// Records in the circuit breaker whether the engine served the request.
    pub fn record_outcome(&self, succeeded: bool) {
        let mut state = self.edge.state.borrow_mut();
        if succeeded {
            self.has_ended.set(true);
        }
        let Some(upstream) = state.engine_of(&self.request) else {
            return;
        };
        if succeeded {
            upstream.breaker.record_success();
            return;
        }
        upstream.record_failure(clock::now());
        let allowed_before = upstream.breaker.allows(clock::now());
        upstream.breaker.record_failure(clock::now());
        if allowed_before && !upstream.breaker.allows(clock::now()) {
            log::warn!(engine = &*self.engine; "engine excluded after failures");
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.edge.state.borrow_mut().end_request(&self.request);
        if !self.has_ended.get() {
            let progress = self.progress();
            let features = self.features.iter().map(|f| (*f, progress));
            let Recipient { lifetime, addr } = &self.recipient;
            self.edge.leave_run(lifetime, *addr, features);
        }
    }
}

/// A request in progress at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlightRequest {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Start time of the engine; 0 when unknown.
    incarnation: u64,
    /// Number of the request at this daemon.
    serial: u64,
    /// Model or `model/adapter`.
    target: Option<Arc<str>>,
}

impl State {
    /// Records a request that is sent to an engine.
    pub fn begin_request(
        &mut self,
        choice: &SelectedEngine,
        prompt: Option<&Prompt>,
        now: Moment,
    ) -> InFlightRequest {
        self.serial += 1;
        if let Some(reopening) = self.fleet.reopening_mut(&choice.engine) {
            reopening.record_sent(now);
        }
        let mut request = InFlightRequest {
            engine: choice.engine.clone(),
            incarnation: 0,
            serial: self.serial,
            target: prompt.map(Prompt::target),
        };
        let Some(upstream) = self.fleet.engines.get_mut(&choice.engine) else {
            return request;
        };
        request.incarnation = upstream.entry.incarnation;
        upstream.own_load.running += 1;
        upstream.breaker.record_send(now);
        let (Some(prompt), Some(target)) = (prompt, &request.target) else {
            return request;
        };
        *upstream.own_load.targets.entry(target.clone()).or_default() += 1;
        let key = ModelKey::new(&upstream.entry.service, &prompt.model);
        let shared = choice.uncached.saturating_sub(prompt.own_tokens());
        let shared_part = f64::from(shared) / f64::from(choice.uncached.max(1));
        let work = choice.prefill_time.mul_f64(shared_part);
        self.meter.add_work(key, work, now);
        let prefixes = prompt.prefix_keys();
        let sent = SentPrompt {
            engine: choice.engine.clone(),
            target: target.clone(),
            prefill_time: choice.prefill_time,
            uncached: choice.uncached,
            priority: choice.priority,
            prefix_keys: prefixes.into_iter().map(|(key, _)| key).collect(),
        };
        upstream.record_prompt(&sent, Some(request.serial), now);
        self.sent_prompts.push(sent);
        request
    }

    /// Returns the engine of a request, unless it has restarted since.
    fn engine_of(&mut self, request: &InFlightRequest) -> Option<&mut Upstream> {
        self.fleet
            .lifetime_mut(&request.engine, request.incarnation)
    }

    /// Records that an engine has read a request's prompt.
    pub fn record_prompt_read(&mut self, request: &InFlightRequest, now: Moment) {
        if let Some(upstream) = self.engine_of(request) {
            upstream.queue.mark_read(request.serial, now);
        }
    }

    /// Records that a request at an engine has ended.
    pub fn end_request(&mut self, request: &InFlightRequest) {
        let Some(upstream) = self.engine_of(request) else {
            return;
        };
        upstream.queue.remove(request.serial);
        upstream.own_load.running = upstream.own_load.running.saturating_sub(1);
        let Some(target) = &request.target else {
            return;
        };
        if let Some(count) = upstream.own_load.targets.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                upstream.own_load.targets.remove(target);
            }
        }
    }
}
