//! Requests in progress at engines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::clock;
use super::state::Edge;

/// A request in progress at an engine; dropping it ends that.
#[derive(Debug)]
pub struct Flight {
    edge: Rc<Edge>,
    /// Id of the engine.
    pub engine: Arc<str>,
    born: u64,
    target: Option<Arc<str>>,
    backlog: Duration,
}

impl Flight {
    /// Begins a request at an engine, with the prompt work that it brings.
    pub fn begin(
        edge: &Rc<Edge>,
        engine: &Arc<str>,
        target: Option<Arc<str>>,
        backlog: Duration,
    ) -> Self {
        let mut flight = Flight {
            edge: edge.clone(),
            engine: engine.clone(),
            born: 0,
            target,
            backlog,
        };
        let mut state = edge.state.borrow_mut();
        if let Some(upstream) = state.fleet.engines.get_mut(engine) {
            flight.born = upstream.entry.born;
            upstream.own.running += 1;
            upstream.own.backlog += backlog;
            upstream.breaker.sent(clock::now());
            if let Some(target) = &flight.target {
                *upstream.own.targets.entry(target.clone()).or_default() += 1;
            }
        }
        flight
    }

    /// Notes that the prompt was read.
    pub fn prompt_done(&mut self) {
        let backlog = std::mem::take(&mut self.backlog);
        let mut state = self.edge.state.borrow_mut();
        if let Some(upstream) = state.fleet.engines.get_mut(&self.engine)
            && upstream.entry.born == self.born
        {
            upstream.own.backlog = upstream.own.backlog.saturating_sub(backlog);
        }
    }

    /// Notes that the engine took no connection.
    pub fn unreached(&self) {
        self.judge(false);
        self.edge.unreached(&self.engine);
    }

    /// Notes that no answer came in the time that there was.
    pub fn unanswered(&self) {
        let mut state = self.edge.state.borrow_mut();
        if let Some(upstream) = state.fleet.engines.get_mut(&self.engine) {
            upstream.note_trouble(clock::now());
        }
    }

    /// Notes whether the engine did its part.
    pub fn judge(&self, sound: bool) {
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

impl Drop for Flight {
    fn drop(&mut self) {
        self.prompt_done();
        let mut state = self.edge.state.borrow_mut();
        let Some(upstream) = state.fleet.engines.get_mut(&self.engine) else {
            return;
        };
        if upstream.entry.born != self.born {
            return;
        }
        upstream.own.running = upstream.own.running.saturating_sub(1);
        let Some(target) = &self.target else {
            return;
        };
        if let Some(count) = upstream.own.targets.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                upstream.own.targets.remove(target);
            }
        }
    }
}
