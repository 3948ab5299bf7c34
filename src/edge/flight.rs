//! Requests in progress at engines.

use std::rc::Rc;
use std::sync::Arc;

use super::call::Prompt;
use super::clock;
use super::fleet::Sent;
use super::routing::Choice;
use super::state::Edge;

/// A request in progress at an engine; dropping it ends that.
#[derive(Debug)]
pub struct Flight {
    edge: Rc<Edge>,
    /// Id of the engine.
    pub engine: Arc<str>,
    born: u64,
    serial: u64,
    target: Option<Arc<str>>,
}

impl Flight {
    /// Begins a request at an engine; those with a prompt are told to the other
    /// daemons.
    pub fn begin(edge: &Rc<Edge>, choice: &Choice, prompt: Option<&Prompt>) -> Self {
        let now = clock::now();
        let engine = &choice.engine;
        let mut guard = edge.state.borrow_mut();
        let state = &mut *guard;
        state.serial += 1;
        let serial = state.serial;
        let target = prompt.map(Prompt::target);
        let mut born = 0;
        if let Some(upstream) = state.fleet.engines.get_mut(engine) {
            born = upstream.entry.born;
            upstream.own.running += 1;
            upstream.breaker.sent(now);
            if let Some(target) = &target {
                *upstream.own.targets.entry(target.clone()).or_default() += 1;
            }
            if let (Some(prompt), Some(target)) = (prompt, &target) {
                let chains = prompt.chains();
                let sent = Sent {
                    engine: engine.clone(),
                    target: target.clone(),
                    work: choice.work,
                    fresh: choice.fresh,
                    chains: chains.into_iter().map(|(key, _)| key).collect(),
                };
                upstream.note_sent(&sent, Some(serial), now);
                state.sent.push(sent);
                edge.urgent.notify_one();
            }
        }
        drop(guard);
        Flight {
            edge: edge.clone(),
            engine: engine.clone(),
            born,
            serial,
            target,
        }
    }

    /// Notes that the prompt was read.
    pub fn prompt_done(&self) {
        let mut state = self.edge.state.borrow_mut();
        if let Some(upstream) = state.fleet.engines.get_mut(&self.engine)
            && upstream.entry.born == self.born
        {
            upstream.queue.read(self.serial, clock::now());
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
        let mut state = self.edge.state.borrow_mut();
        let Some(upstream) = state.fleet.engines.get_mut(&self.engine) else {
            return;
        };
        if upstream.entry.born != self.born {
            return;
        }
        upstream.queue.remove(self.serial);
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
