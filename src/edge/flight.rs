//! Requests in progress at engines.

use std::rc::Rc;
use std::sync::Arc;

use super::call::Prompt;
use super::clock;
use super::routing::Choice;
use super::state::{ActiveRequest, Edge};

/// A request in progress at an engine; dropping it ends that.
#[derive(Debug)]
pub struct Flight {
    edge: Rc<Edge>,
    /// Id of the engine.
    pub engine: Arc<str>,
    passage: ActiveRequest,
}

impl Flight {
    /// Begins a request at an engine; those with a prompt are told to the other
    /// daemons.
    pub fn begin(edge: &Rc<Edge>, choice: &Choice, prompt: Option<&Prompt>) -> Self {
        let mut state = edge.state.borrow_mut();
        let passage = state.begin_request(choice, prompt, clock::now());
        if !state.sent_prompts.is_empty() {
            edge.send_wake.notify_one();
        }
        Flight {
            edge: edge.clone(),
            engine: choice.engine.clone(),
            passage,
        }
    }

    /// Notes that the prompt was read.
    pub fn prompt_done(&self) {
        let mut state = self.edge.state.borrow_mut();
        state.record_prompt_read(&self.passage, clock::now());
    }

    /// Notes that the engine took no connection.
    pub fn unreached(&self) {
        self.judge(false);
        self.edge.mark_down(&self.engine);
    }

    /// Notes that no answer came in the time that there was.
    pub fn unanswered(&self) {
        let mut state = self.edge.state.borrow_mut();
        if let Some(upstream) = state.fleet.engines.get_mut(&self.engine) {
            upstream.record_failure(clock::now());
        }
    }

    /// Notes whether the engine did its part.
    pub fn judge(&self, sound: bool) {
        let mut state = self.edge.state.borrow_mut();
        let Some(upstream) = state.fleet.engines.get_mut(&self.engine) else {
            return;
        };
        if sound {
            upstream.breaker.record_success();
            return;
        }
        upstream.record_failure(clock::now());
        let before = upstream.breaker.allows(clock::now());
        upstream.breaker.record_failure(clock::now());
        if before && !upstream.breaker.allows(clock::now()) {
            log::warn!(engine = &*self.engine; "engine set aside after failures");
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.edge.state.borrow_mut().end_request(&self.passage);
    }
}
