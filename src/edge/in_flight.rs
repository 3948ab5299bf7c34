//! Requests in progress at engines.

use std::rc::Rc;
use std::sync::Arc;

use super::clock;
use super::request_headers::Prompt;
use super::routing::Choice;
use super::state::{Edge, Passage};

/// A request in progress at an engine; dropping it ends that.
#[derive(Debug)]
pub struct InFlightGuard {
    edge: Rc<Edge>,
    /// Id of the engine.
    pub engine: Arc<str>,
    passage: Passage,
}

impl InFlightGuard {
    /// Begins a request at an engine; those with a prompt are told to the other
    /// daemons.
    pub fn begin(edge: &Rc<Edge>, choice: &Choice, prompt: Option<&Prompt>) -> Self {
        let mut state = edge.state.borrow_mut();
        let passage = state.begin(choice, prompt, clock::now());
        if !state.sent.is_empty() {
            edge.urgent.notify_one();
        }
        InFlightGuard {
            edge: edge.clone(),
            engine: choice.engine.clone(),
            passage,
        }
    }

    /// Notes that the prompt was read.
    pub fn record_prompt_read(&self) {
        let mut state = self.edge.state.borrow_mut();
        state.prompt_read(&self.passage, clock::now());
    }

    /// Notes that the engine took no connection.
    pub fn record_unreachable(&self) {
        self.record_outcome(false);
        self.edge.unreached(&self.engine);
    }

    /// Notes that no answer came in the time that there was.
    pub fn record_timeout(&self) {
        let mut state = self.edge.state.borrow_mut();
        if let Some(upstream) = state.fleet.engines.get_mut(&self.engine) {
            upstream.note_trouble(clock::now());
        }
    }

    /// Notes whether the engine did its part.
    pub fn record_outcome(&self, sound: bool) {
        let mut state = self.edge.state.borrow_mut();
        let Some(upstream) = state.fleet.engines.get_mut(&self.engine) else {
            return;
        };
        if sound {
            upstream.breaker.succeeded();
            return;
        }
        upstream.note_trouble(clock::now());
        let before = upstream.breaker.allows(clock::now());
        upstream.breaker.failed(clock::now());
        if before && !upstream.breaker.allows(clock::now()) {
            log::warn!(engine = &*self.engine; "engine set aside after failures");
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.edge.state.borrow_mut().ended(&self.passage);
    }
}
