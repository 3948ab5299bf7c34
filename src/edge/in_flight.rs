//! Requests in flight at engines.

use std::rc::Rc;
use std::sync::Arc;

use super::clock;
use super::request_headers::Prompt;
use super::routing::SelectedEngine;
use super::state::{Edge, InFlightRequest};

/// Guard of a request in flight at an engine; dropping it ends the request's accounting.
#[derive(Debug)]
pub struct InFlightGuard {
    edge: Rc<Edge>,
    /// Id of the engine.
    pub engine: Arc<str>,
    request: InFlightRequest,
}

impl InFlightGuard {
    /// Records that a request is sent to an engine. A request with a prompt is announced
    /// to the other daemons.
    pub fn begin(edge: &Rc<Edge>, choice: &SelectedEngine, prompt: Option<&Prompt>) -> Self {
        let mut state = edge.state.borrow_mut();
        let request = state.begin_request(choice, prompt, clock::now());
        if !state.sent_prompts.is_empty() {
            edge.send_wake.notify_one();
        }
        InFlightGuard {
            edge: edge.clone(),
            engine: choice.engine.clone(),
            request,
        }
    }

    /// Records that the engine has read the prompt.
    pub fn record_prompt_read(&self) {
        let mut state = self.edge.state.borrow_mut();
        state.record_prompt_read(&self.request, clock::now());
    }

    /// Records that the engine accepted no connection, and marks it as down.
    pub fn record_unreachable(&self) {
        self.record_outcome(false);
        self.edge.mark_down(&self.engine);
    }

    /// Records that no response arrived before the deadline; this does not count against
    /// the circuit breaker.
    pub fn record_timeout(&self) {
        let mut state = self.edge.state.borrow_mut();
        if let Some(upstream) = state.fleet.engines.get_mut(&self.engine) {
            upstream.record_failure(clock::now());
        }
    }

    /// Records in the circuit breaker whether the engine served the request.
    pub fn record_outcome(&self, succeeded: bool) {
        let mut state = self.edge.state.borrow_mut();
        let Some(upstream) = state.fleet.engines.get_mut(&self.engine) else {
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
    }
}
