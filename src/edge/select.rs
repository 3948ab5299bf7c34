//! Which engine a request goes to.
//!
//! Pattern: shared prompts over few replicas. The expected time to the first
//! event is the prompt work ahead, the request's own prompt work after what
//! the engine keeps, and the wait for a slot. The engine with the least goes.

use std::time::Duration;

/// Added to engines in another failure domain, so that equals stay near.
const FAR: Duration = Duration::from_millis(1);
/// Added for each running request: a fuller batch makes slower steps.
const PER_RUNNING: Duration = Duration::from_micros(400);
/// Added for each failure lately: what a request loses there on average.
const PER_FAILURE: Duration = Duration::from_millis(300);

/// An engine that could run the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests in progress there.
    pub running: u32,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Prompt work ahead.
    pub backlog: Duration,
    /// Prompt work of this request there.
    pub prompt: Duration,
    /// Time that one request holds a slot.
    pub service: Duration,
    /// In the failure domain of this daemon.
    pub near: bool,
    /// Failures lately.
    pub trouble: f64,
    /// Breaks ties, so that daemons spread differently.
    pub draw: u64,
}

impl Candidate {
    /// Expected time to the first event.
    pub fn wait(&self) -> Duration {
        let mut wait = self.backlog + self.prompt + PER_RUNNING * self.running;
        if let Some(ahead) = self.running.checked_sub(self.slots) {
            let turns = f64::from(ahead + 1) / f64::from(self.slots.max(1));
            wait += self.service.mul_f64(turns);
        }
        if !self.near {
            wait += FAR;
        }
        wait + PER_FAILURE.mul_f64(self.trouble)
    }
}

/// Index of the best candidate; `None` where there is none.
pub fn choose(candidates: &[Candidate]) -> Option<usize> {
    let key = |c: &Candidate| (c.wait(), c.draw);
    (0..candidates.len()).min_by_key(|i| key(&candidates[*i]))
}
