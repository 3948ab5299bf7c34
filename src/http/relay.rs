//! One completion from a caller to engines and back, with its retries.

use std::sync::Mutex;
use std::time::Duration;

use crossbeam::channel::Receiver;

use crate::clock::{Clock, Moment};
use crate::config::Name;
use crate::control::{Desk, Wish};
use crate::decide::retry::{Budget, Retrying, backoff};
use crate::error::{Kind, Refusal};
use crate::outside::{Call, Chunk, Chunks, Engine, EngineError};
use crate::router::{Need, Route, Router, Slot};
use crate::suspects;

use super::openai::{Completion, Part, part};
use super::request::Terms;

/// Attempts of one request that may end with an engine's death.
const DEATHS: u32 = 4;
/// Least time for which an engine may be silent.
const SILENCE_LEAST: Duration = Duration::from_secs(1);
/// Longest wait for other copies of a suspect.
const SETTLE: Duration = Duration::from_secs(5);
/// Time that a broken stream may wait to go on elsewhere.
const RESUME: Duration = Duration::from_secs(30);
/// Time limit for connecting to an engine.
const CONNECT: Duration = Duration::from_millis(500);
/// Longest silence of an engine in mid-stream.
const SILENCE: Duration = Duration::from_secs(20);
/// Wait that a refusal for load names.
const COME_BACK: Duration = Duration::from_secs(1);

/// Where the chunks of an answer go.
pub trait Sink {
    /// Takes one chunk; false when the client is gone.
    fn chunk(&mut self, data: &str) -> bool;
}

/// How a completion ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The whole answer was delivered.
    Whole,
    /// The client hung up.
    HungUp,
    /// Refused; tokens sent before are counted.
    Refused(Refusal, u64),
}

/// What a relay reports about one completion.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// How it ended.
    pub end: End,
    /// Moment of the first token.
    pub first: Option<Moment>,
    /// It waited for a load.
    pub cold: bool,
    /// Attempts after the first.
    pub retries: u32,
}

/// Relays completions.
pub struct Relay<'a, E> {
    /// Engines.
    pub engine: &'a E,
    /// Routing of warm requests.
    pub router: &'a Router,
    /// The control thread.
    pub desk: &'a Desk,
    /// Budget of retries of this daemon.
    pub retries: &'a Mutex<Budget>,
    /// Time.
    pub clock: Clock,
}

/// State of one completion over its attempts.
struct Progress {
    avoid: Vec<Name>,
    sent: u64,
    first: Option<Moment>,
    cold: bool,
    trial: bool,
    attempt: u32,
    deaths: u32,
    settled: Option<Receiver<()>>,
}

/// How one attempt ended when it may be followed by another.
enum Attempt {
    Ended(End),
    Again(Refusal),
}

impl<E: Engine> Relay<'_, E> {
    /// Serves one completion into `sink`.
    pub fn run(&self, ask: &Completion, terms: &Terms, sink: &mut dyn Sink) -> Outcome {
        self.router.arrived(&ask.model);
        let mut progress = Progress {
            avoid: Vec::new(),
            sent: 0,
            first: None,
            cold: false,
            trial: false,
            attempt: 0,
            deaths: 0,
            settled: None,
        };
        let end = self.attempts(ask, terms, sink, &mut progress);
        Outcome {
            end,
            first: progress.first,
            cold: progress.cold,
            retries: progress.attempt.saturating_sub(1),
        }
    }

    fn attempts(
        &self,
        ask: &Completion,
        terms: &Terms,
        sink: &mut dyn Sink,
        progress: &mut Progress,
    ) -> End {
        let mut last = Refusal::new(Kind::UpstreamFailed, "no engine was tried");
        while progress.deaths < DEATHS {
            if !self.may_retry(progress) {
                break;
            }
            progress.attempt += 1;
            let slot = match self.place(ask, terms, progress) {
                Ok(slot) => slot,
                Err(refusal) => return refused(refusal, progress),
            };
            let attempt = self.attempt(ask, terms, sink, progress, &slot);
            if progress.trial {
                progress.trial = false;
                self.desk.trial_over(&terms.id, &ask.model);
            }
            match attempt {
                Attempt::Ended(end) => return end,
                Attempt::Again(refusal) => last = refusal,
            }
        }
        refused(last.retry_after(COME_BACK), progress)
    }

    /// Finds a slot for the next attempt, waiting for a load where needed.
    fn place(
        &self,
        ask: &Completion,
        terms: &Terms,
        progress: &mut Progress,
    ) -> Result<Slot, Refusal> {
        let config = self.desk.config();
        let need = Need {
            id: terms.id.clone(),
            caller: terms.caller.clone(),
            model: ask.model.clone(),
            prefix: ask.prefix,
            worth: config.models.get(&ask.model).map_or(1.0, |m| m.worth),
            priority: terms.priority,
            deadline: self.limit(terms, progress),
            avoid: progress.avoid.clone(),
        };
        match self.desk.attempt(&ask.print) {
            suspects::RunPolicy::Unrestricted => {}
            suspects::RunPolicy::TrialOnly => {
                self.wait_settled(&need, progress);
                if self.desk.attempt(&ask.print) == suspects::RunPolicy::Held {
                    return Err(held(ask));
                }
                progress.trial = true;
                return self.wake(terms, need, Some(ask.print.clone()));
            }
            suspects::RunPolicy::Held => return Err(held(ask)),
        }
        let most = config.policy.queue as usize;
        match self.router.acquire(&need, most) {
            Route::Slot(slot) => Ok(slot),
            Route::Wait(waiter) => {
                let deadline = self.clock.instant(need.deadline);
                let outcome = waiter.outcomes.recv_deadline(deadline);
                outcome.unwrap_or_else(|_| Err(expired(ask)))
            }
            Route::Refused(refusal) => Err(refusal),
            Route::Cold => {
                progress.cold = true;
                self.wake(terms, need, None)
            }
        }
    }

    /// Waits until no daemon runs a copy of a request that got a strike, so
    /// that a copy that crashes another engine counts before the trial.
    fn wait_settled(&self, need: &Need, progress: &mut Progress) {
        let Some(word) = progress.settled.take() else {
            return;
        };
        let left = need.deadline.saturating_sub(self.clock.now());
        if word.recv_timeout(left.min(SETTLE)).is_err() {
            log::info!(request = &*need.id; "other copies of the request still run");
        }
    }

    /// Moment by which the next attempt must have a slot.
    fn limit(&self, terms: &Terms, progress: &Progress) -> Moment {
        match progress.sent {
            0 => terms.deadline,
            _ => terms.deadline.max(self.clock.now() + RESUME),
        }
    }

    /// Counts the next attempt; before a further one, takes it from the budget
    /// of retries and waits a little.
    fn may_retry(&self, progress: &Progress) -> bool {
        let mut retries = self.retries.lock();
        let budget = retries.as_mut().expect("no holder of the lock panics");
        if progress.attempt == 0 {
            budget.attempt();
            return true;
        }
        if !budget.retry() {
            return false;
        }
        drop(retries);
        let unit = rand::random();
        std::thread::sleep(backoff(&Retrying::default(), progress.attempt - 1, unit));
        true
    }

    fn wake(&self, terms: &Terms, need: Need, suspect: Option<Name>) -> Result<Slot, Refusal> {
        self.desk.want(Wish {
            id: terms.id.clone(),
            need,
            suspect,
        })
    }

    fn attempt(
        &self,
        ask: &Completion,
        terms: &Terms,
        sink: &mut dyn Sink,
        progress: &mut Progress,
        slot: &Slot,
    ) -> Attempt {
        let Some(call) = self.call(terms, progress, slot) else {
            progress.avoid.push(slot.instance.clone());
            let detail = format!("engine {} is not configured", slot.engine);
            return Attempt::Again(Refusal::new(Kind::UpstreamFailed, detail));
        };
        let _flight = self.desk.begin(&ask.print);
        if !progress.trial && self.desk.attempt(&ask.print) != suspects::RunPolicy::Unrestricted {
            let detail = "the request became a suspect";
            return Attempt::Again(Refusal::new(Kind::UpstreamFailed, detail));
        }
        let body = ask.upstream_body(progress.sent, terms.priority);
        let chunks = self.engine.stream(&call, ask.endpoint.path(), &body);
        match chunks {
            Ok(chunks) => self.relay(ask, terms, sink, progress, slot, chunks),
            Err(e) => self.failure(ask, terms, progress, slot, &e),
        }
    }

    fn call(&self, terms: &Terms, progress: &Progress, slot: &Slot) -> Option<Call> {
        let config = self.desk.config();
        let engine = config.engines.get(&slot.engine)?;
        Some(Call {
            addr: engine.addr.clone(),
            key: engine.key.clone(),
            request: format!("{}.{}", terms.id, progress.attempt).into(),
            connect: CONNECT,
            silence: self.silence(terms, progress),
        })
    }

    /// Longest silence of the next attempt: what is left until the deadline
    /// before the first token, but long enough for an engine that is busy.
    fn silence(&self, terms: &Terms, progress: &Progress) -> Duration {
        match progress.sent {
            0 => terms.left(self.clock.now()).clamp(SILENCE_LEAST, SILENCE),
            _ => SILENCE,
        }
    }

    fn relay(
        &self,
        ask: &Completion,
        terms: &Terms,
        sink: &mut dyn Sink,
        progress: &mut Progress,
        slot: &Slot,
        mut chunks: E::Chunks,
    ) -> Attempt {
        let mut answered = false;
        loop {
            let data = match chunks.next() {
                Ok(Chunk::Data(data)) => data,
                Ok(Chunk::Done) => {
                    self.desk.clear(&ask.print);
                    return Attempt::Ended(End::Whole);
                }
                Err(e) => return self.failure(ask, terms, progress, slot, &e),
            };
            let kind = part(&data);
            if kind == Part::Usage && ask.stream && !ask.usage {
                continue;
            }
            if kind == Part::Token {
                if !std::mem::replace(&mut answered, true) {
                    self.router.succeeded(&slot.engine);
                }
                progress.sent += 1;
                progress.first.get_or_insert_with(|| self.clock.now());
            }
            if !sink.chunk(&data) {
                return Attempt::Ended(End::HungUp);
            }
        }
    }

    fn failure(
        &self,
        ask: &Completion,
        terms: &Terms,
        progress: &mut Progress,
        slot: &Slot,
        error: &EngineError,
    ) -> Attempt {
        log::info!(request = &*terms.id; "attempt {} at {} failed: {error}", progress.attempt, slot.engine);
        let detail = format!("engine {}: {error}", slot.engine);
        match error {
            EngineError::Status { status: 404, .. } => {
                self.router.missing(&slot.engine, &ask.model)
            }
            EngineError::Status { status, detail } if (400..429).contains(status) => {
                let refusal = Refusal::new(Kind::BadRequest, detail.clone());
                return Attempt::Ended(refused(refusal, progress));
            }
            EngineError::Status { .. } => progress.avoid.push(slot.instance.clone()),
            EngineError::Broken(_) => {
                progress.deaths += 1;
                let word = self.desk.strike(&ask.print, &ask.model, &slot.instance);
                progress.settled = Some(word);
                progress.avoid.push(slot.instance.clone());
                self.router.failed(&slot.engine);
            }
            _ => {
                progress.avoid.push(slot.instance.clone());
                self.router.failed(&slot.engine);
            }
        }
        if self.clock.now() >= self.limit(terms, progress) {
            return Attempt::Ended(refused(expired(ask), progress));
        }
        Attempt::Again(Refusal::new(Kind::UpstreamFailed, detail))
    }
}

fn held(ask: &Completion) -> Refusal {
    let detail = format!("fingerprint {}", ask.print);
    Refusal::new(Kind::Quarantined, detail)
}

fn expired(ask: &Completion) -> Refusal {
    let detail = format!("no replica of {} was free in time", ask.model);
    Refusal::new(Kind::DeadlineExpired, detail).retry_after(COME_BACK)
}

fn refused(refusal: Refusal, progress: &Progress) -> End {
    if progress.sent == 0 {
        return End::Refused(refusal, 0);
    }
    let broken = Refusal::new(Kind::StreamBroken, refusal.detail);
    End::Refused(broken, progress.sent)
}
