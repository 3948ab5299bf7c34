//! Relays a completion from a caller to engines, with retries.

use std::sync::Mutex;
use std::time::Duration;

use crossbeam::channel::Receiver;

use crate::clock::{Clock, Moment};
use crate::config::Name;
use crate::control::{ControlHandle, SlotRequest};
use crate::decide::retry::{RetryBudget, RetryConfig, backoff};
use crate::error::{ExecutionState, Kind, Refusal};
use crate::outside::{CallOptions, Chunk, ChunkStream, Engine, EngineError};
use crate::peer::wire::weights_fingerprint;
use crate::router::{RouteDecision, Router, RoutingRequest, Slot};
use crate::suspects::{Fingerprint, RunDecision};

use super::held::{HELD_WAIT, quarantined};
use super::openai::{ChunkKind, CompletionRequest, chunk_kind};
use super::request::RequestContext;

/// Number of engine crashes after which a request is not retried.
const MAX_CRASHES: u32 = 4;
/// Lower bound of the silence timeout before the first token.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a broken stream may wait for a slot to resume on.
const RESUME_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence timeout of an engine after the first token, and upper bound before it.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// `Retry-After` of refusals due to load.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Receives the chunks of a response.
pub trait ChunkSink {
    /// Sends one chunk; returns false if the client has disconnected.
    fn send_chunk(&mut self, data: &str) -> bool;
}

/// How a completion ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionEnd {
    /// The complete response was sent.
    Complete,
    /// The client disconnected.
    Disconnected,
    /// The reason for the refusal and the number of tokens sent before it.
    Refused(Refusal, u64),
}

/// The result of relaying one completion.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionOutcome {
    /// How the completion ended.
    pub end: CompletionEnd,
    /// Time of the first token.
    pub first_token: Option<Moment>,
    /// Whether it waited for a model load.
    pub cold: bool,
    /// Attempts after the first.
    pub retries: u32,
}

/// Relays completions to engines.
pub struct Relay<'a, E> {
    /// Engines.
    pub engine: &'a E,
    /// Routes requests whose model is loaded.
    pub router: &'a Router,
    /// The control thread.
    pub control: &'a ControlHandle,
    /// Retry budget of this daemon.
    pub retries: &'a Mutex<RetryBudget>,
    /// Clock.
    pub clock: Clock,
}

/// State of one completion across its attempts.
pub(super) struct RelayState {
    /// Engine instances that further attempts avoid.
    avoid: Vec<Name>,
    sent_tokens: u64,
    /// Version of the weights that began the answer.
    weights: Option<u32>,
    first_token: Option<Moment>,
    cold: bool,
    /// What the next attempt is a trial of.
    trial: Option<Fingerprint>,
    attempts: u32,
    crashes: u32,
    /// Whether an engine may have begun to work on it.
    may_have_run: bool,
    /// Receives a value once no daemon runs the request any more.
    pub(super) copies_ended: Option<Receiver<()>>,
}

/// The result of one attempt.
enum AttemptResult {
    Finished(CompletionEnd),
    Retry(Refusal),
}

impl<E: Engine> Relay<'_, E> {
    /// Relays one completion and sends its chunks to `sink`.
    pub fn run(
        &self,
        completion: &CompletionRequest,
        context: &RequestContext,
        sink: &mut dyn ChunkSink,
    ) -> CompletionOutcome {
        self.router.record_arrival(&completion.model);
        let mut state = RelayState {
            avoid: Vec::new(),
            sent_tokens: 0,
            weights: None,
            first_token: None,
            cold: false,
            trial: None,
            attempts: 0,
            crashes: 0,
            may_have_run: false,
            copies_ended: None,
        };
        let end = self.run_attempts(completion, context, sink, &mut state);
        CompletionOutcome {
            end,
            first_token: state.first_token,
            cold: state.cold,
            retries: state.attempts.saturating_sub(1),
        }
    }

    fn run_attempts(
        &self,
        completion: &CompletionRequest,
        context: &RequestContext,
        sink: &mut dyn ChunkSink,
        state: &mut RelayState,
    ) -> CompletionEnd {
        let mut last_refusal = Refusal::new(Kind::UpstreamFailed, "no engine was tried");
        while state.crashes < MAX_CRASHES {
            if !self.begin_attempt(state) {
                break;
            }
            state.attempts += 1;
            let slot = match self.acquire_matching_slot(completion, context, state) {
                Ok(slot) => slot,
                Err(refusal) => {
                    // The owner may have granted a trial in the meantime.
                    self.end_trial(completion, context, state);
                    return refused_end(refusal, state);
                }
            };
            let result = self.run_attempt(completion, context, sink, state, &slot);
            self.end_trial(completion, context, state);
            match result {
                AttemptResult::Finished(end) => return end,
                AttemptResult::Retry(refusal) => last_refusal = refusal,
            }
        }
        refused_end(last_refusal.retry_after(RETRY_AFTER), state)
    }

    /// Ends the trial of a suspect, if there is one.
    fn end_trial(
        &self,
        completion: &CompletionRequest,
        context: &RequestContext,
        state: &mut RelayState,
    ) {
        if state.trial.take().is_some() {
            self.control.end_trial(&context.id, &completion.model);
        }
    }

    /// Acquires a slot for the next attempt; an answer that has begun goes on only at the version
    /// of the weights that began it.
    fn acquire_matching_slot(
        &self,
        completion: &CompletionRequest,
        context: &RequestContext,
        state: &mut RelayState,
    ) -> Result<Slot, Refusal> {
        let Some(weights) = state.weights.filter(|_| state.sent_tokens > 0) else {
            return self.acquire_slot(completion, context, state);
        };
        loop {
            let model = &completion.model;
            // An engine that loads the model for this answer loads the configured version.
            let config = self.control.config();
            let configured = config.models.get(model);
            let is_configured =
                configured.is_some_and(|m| weights_fingerprint(&m.version) == weights);
            if !is_configured && !self.router.has_weights(model, weights, &state.avoid) {
                let detail = "no engine has the version of the weights that began the answer";
                return Err(Refusal::new(Kind::StreamBroken, detail));
            }
            let slot = self.acquire_slot(completion, context, state)?;
            let found = self.router.weights(&slot.engine, model);
            if found.map_or(is_configured, |found| found == weights) {
                return Ok(slot);
            }
            state.avoid.push(slot.instance.clone());
            // Each trial has one engine.
            self.end_trial(completion, context, state);
        }
    }

    /// Acquires a slot; waits for a model load if needed.
    fn acquire_slot(
        &self,
        completion: &CompletionRequest,
        context: &RequestContext,
        state: &mut RelayState,
    ) -> Result<Slot, Refusal> {
        let config = self.control.config();
        let routing = RoutingRequest {
            id: context.id.clone(),
            caller: context.caller.clone(),
            model: completion.model.clone(),
            prefix: completion.prefix,
            worth: config
                .models
                .get(&completion.model)
                .map_or(1.0, |m| m.worth),
            priority: context.priority,
            deadline: self.slot_deadline(context, state),
            avoid: state.avoid.clone(),
        };
        let mut decision = self.decide_after_wait(completion, routing.deadline);
        if matches!(decision, RunDecision::Trial(_)) {
            self.wait_for_copies(&routing, state);
            decision = self.decide_after_wait(completion, routing.deadline);
        }
        match decision {
            RunDecision::Unrestricted => {}
            RunDecision::Trial(suspect) => {
                state.trial = Some(suspect.clone());
                return self.request_slot(context, routing, Some(suspect));
            }
            RunDecision::Held {
                fingerprint,
                trial_in,
            } => return Err(quarantined(&fingerprint, trial_in)),
        }
        let max_queued = config.policy.queue as usize;
        match self.router.acquire(&routing, max_queued) {
            RouteDecision::Slot(slot) => Ok(slot),
            RouteDecision::Queued(waiter) => {
                let deadline = self.clock.instant(routing.deadline);
                let outcome = waiter.results.recv_deadline(deadline);
                outcome.unwrap_or_else(|_| Err(deadline_expired(completion)))
            }
            RouteDecision::Refused(refusal) => Err(refusal),
            RouteDecision::NoReplica => {
                state.cold = true;
                self.request_slot(context, routing, None)
            }
        }
    }

    /// Returns the time by which the next attempt must have a slot.
    fn slot_deadline(&self, context: &RequestContext, state: &RelayState) -> Moment {
        match state.sent_tokens {
            0 => context.deadline,
            _ => context.deadline.max(self.clock.now() + RESUME_TIMEOUT),
        }
    }

    /// Records the next attempt in the retry budget; before a retry, waits for
    /// the backoff. Returns false if the budget allows no retry.
    fn begin_attempt(&self, state: &RelayState) -> bool {
        let mut retries = self.retries.lock();
        let budget = retries.as_mut().expect("retry budget lock is not poisoned");
        if state.attempts == 0 {
            budget.record_attempt();
            return true;
        }
        if !budget.try_retry() {
            return false;
        }
        drop(retries);
        let jitter = rand::random();
        std::thread::sleep(backoff(&RetryConfig::default(), state.attempts - 1, jitter));
        true
    }

    fn request_slot(
        &self,
        context: &RequestContext,
        routing: RoutingRequest,
        suspect: Option<Name>,
    ) -> Result<Slot, Refusal> {
        self.control.request_slot(SlotRequest {
            id: context.id.clone(),
            routing,
            suspect,
        })
    }

    fn run_attempt(
        &self,
        completion: &CompletionRequest,
        context: &RequestContext,
        sink: &mut dyn ChunkSink,
        state: &mut RelayState,
        slot: &Slot,
    ) -> AttemptResult {
        let Some(call) = self.engine_call(context, state, slot) else {
            state.avoid.push(slot.instance.clone());
            let detail = format!("engine {} is not configured", slot.engine);
            return AttemptResult::Retry(Refusal::new(Kind::UpstreamFailed, detail));
        };
        let fingerprints = &completion.fingerprints;
        let _in_flight = self.control.begin_in_flight(&fingerprints.request);
        match self.control.decide(fingerprints) {
            RunDecision::Trial(_) if state.trial.is_none() => {
                let detail = "the request became a suspect";
                return AttemptResult::Retry(Refusal::new(Kind::UpstreamFailed, detail));
            }
            RunDecision::Held {
                fingerprint,
                trial_in,
            } => {
                let refusal = quarantined(&fingerprint, trial_in);
                return match trial_in <= HELD_WAIT {
                    true => AttemptResult::Retry(refusal),
                    false => AttemptResult::Finished(refused_end(refusal, state)),
                };
            }
            RunDecision::Trial(_) | RunDecision::Unrestricted => {}
        }
        let body = completion.upstream_body(state.sent_tokens, context.priority);
        let chunks = self.engine.stream(&call, completion.endpoint.path(), &body);
        match chunks {
            Ok(chunks) => self.relay_chunks(completion, context, sink, state, slot, chunks),
            Err(e) => self.handle_failure(completion, context, state, slot, &e),
        }
    }

    fn engine_call(
        &self,
        context: &RequestContext,
        state: &RelayState,
        slot: &Slot,
    ) -> Option<CallOptions> {
        let config = self.control.config();
        let engine = config.engines.get(&slot.engine)?;
        Some(CallOptions {
            addr: engine.addr.clone(),
            key: engine.key.clone(),
            request_id: format!("{}.{}", context.id, state.attempts).into(),
            connect_timeout: CONNECT_TIMEOUT,
            read_timeout: self.silence_timeout(context, state),
        })
    }

    /// Returns the silence timeout of the next attempt. Before the first token
    /// it is the time to the deadline, but at least [`MIN_SILENCE_TIMEOUT`], so
    /// that a busy engine has time to respond.
    fn silence_timeout(&self, context: &RequestContext, state: &RelayState) -> Duration {
        match state.sent_tokens {
            0 => context
                .time_left(self.clock.now())
                .clamp(MIN_SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT),
            _ => MAX_SILENCE_TIMEOUT,
        }
    }

    fn relay_chunks(
        &self,
        completion: &CompletionRequest,
        context: &RequestContext,
        sink: &mut dyn ChunkSink,
        state: &mut RelayState,
        slot: &Slot,
        mut chunks: E::ChunkStream,
    ) -> AttemptResult {
        let mut has_token = false;
        let weights = self.router.weights(&slot.engine, &completion.model);
        loop {
            let data = match chunks.next() {
                Ok(Chunk::Data(data)) => data,
                Ok(Chunk::Done) => {
                    self.control.record_answered(&completion.fingerprints);
                    return AttemptResult::Finished(CompletionEnd::Complete);
                }
                Err(e) => return self.handle_failure(completion, context, state, slot, &e),
            };
            let kind = chunk_kind(&data);
            if kind == ChunkKind::Usage && completion.stream && !completion.include_usage {
                continue;
            }
            if kind == ChunkKind::Token {
                if !std::mem::replace(&mut has_token, true) {
                    self.router.record_success(&slot.engine);
                    let known = || self.router.weights(&slot.engine, &completion.model);
                    state.weights = state.weights.or(weights).or_else(known);
                }
                state.sent_tokens += 1;
                state.first_token.get_or_insert_with(|| self.clock.now());
            }
            if !sink.send_chunk(&data) {
                return AttemptResult::Finished(CompletionEnd::Disconnected);
            }
        }
    }

    fn handle_failure(
        &self,
        completion: &CompletionRequest,
        context: &RequestContext,
        state: &mut RelayState,
        slot: &Slot,
        error: &EngineError,
    ) -> AttemptResult {
        log::info!(request = &*context.id; "attempt {} on engine {} failed: {error}", state.attempts, slot.engine);
        let detail = format!("engine {}: {error}", slot.engine);
        state.may_have_run |= may_have_run(error);
        match error {
            EngineError::Status { status: 404, .. } => {
                self.router.remove_replica(&slot.engine, &completion.model)
            }
            EngineError::Status { status, detail } if (400..429).contains(status) => {
                let refusal = Refusal::new(Kind::BadRequest, detail.clone());
                return AttemptResult::Finished(refused_end(refusal, state));
            }
            EngineError::Status { status, .. } if *status < 500 => {
                state.avoid.push(slot.instance.clone())
            }
            EngineError::Status { .. } | EngineError::TimedOut(_) => {
                self.control.record_abandoned(
                    &completion.fingerprints,
                    &completion.model,
                    &slot.instance,
                );
                state.avoid.push(slot.instance.clone());
                if matches!(error, EngineError::TimedOut(_)) {
                    self.router.record_failure(&slot.engine);
                }
            }
            EngineError::ConnectionLost(_) => {
                state.crashes += 1;
                let copies_ended = self.control.report_crash(
                    &completion.fingerprints,
                    &completion.model,
                    &slot.instance,
                    state.trial.as_ref(),
                );
                state.copies_ended = Some(copies_ended);
                state.avoid.push(slot.instance.clone());
                self.router.record_failure(&slot.engine);
            }
            _ => {
                state.avoid.push(slot.instance.clone());
                self.router.record_failure(&slot.engine);
            }
        }
        if self.clock.now() >= self.slot_deadline(context, state) {
            return AttemptResult::Finished(refused_end(deadline_expired(completion), state));
        }
        AttemptResult::Retry(Refusal::new(Kind::UpstreamFailed, detail))
    }
}

fn deadline_expired(completion: &CompletionRequest) -> Refusal {
    let detail = format!("no replica of {} was free in time", completion.model);
    Refusal::new(Kind::DeadlineExpired, detail).retry_after(RETRY_AFTER)
}

/// Returns whether an engine may have begun to work on a request that failed in this way.
fn may_have_run(error: &EngineError) -> bool {
    match error {
        EngineError::Unreachable(_) => false,
        // The engine finds fault with the request, lacks the model, or has no room.
        EngineError::Status { status, .. } => !(400..500).contains(status) || *status == 408,
        _ => true,
    }
}

/// Returns the end of a refused request. A refusal that says that the request has not run is replaced
/// if it may have.
fn refused_end(refusal: Refusal, state: &RelayState) -> CompletionEnd {
    if state.sent_tokens > 0 {
        let broken = Refusal::new(Kind::StreamBroken, refusal.detail);
        return CompletionEnd::Refused(broken, state.sent_tokens);
    }
    let says_not_run = refusal.kind.response().ran == ExecutionState::No;
    if state.may_have_run && says_not_run {
        let kind = Kind::UpstreamFailed;
        return CompletionEnd::Refused(Refusal { kind, ..refusal }, 0);
    }
    CompletionEnd::Refused(refusal, 0)
}
