//! A request's place among those of this host that wait, and its turn to be sent.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::RoutedRequest;
use super::retry::Attempts;
use crate::clock::Moment;
use crate::edge::admission::{AdmissionDecision, TimeBudget};
use crate::edge::order::{Applicant, Look, Turn, WaitCause};
use crate::edge::permits::Rank;
use crate::edge::routing::{SelectedEngine, Selection, prefill_time};
use crate::edge::state::Edge;

/// A request's place among those that wait; dropping it gives it up.
#[derive(Debug)]
pub(super) struct Place<'a> {
    routed: &'a RoutedRequest,
    is_ordered: bool,
    /// Number in the order, once others have to be considered.
    number: Option<u64>,
    /// What it waits for, once it waits.
    cause: Option<WaitCause>,
    wake: Rc<Notify>,
    is_let_go: bool,
}

impl<'a> Place<'a> {
    /// Returns the place of a request that looks for an engine.
    pub(super) fn new(routed: &'a RoutedRequest) -> Self {
        Place {
            routed,
            is_ordered: routed.edge.orders_waiting(&routed.service),
            number: None,
            cause: None,
            wake: Rc::default(),
            is_let_go: false,
        }
    }

    /// Refuses a new request that is not served in time behind those that are ahead of it, or that
    /// no engine of its service has the memory for.
    pub(super) fn refuse_behind(
        &self,
        attempts: &Attempts,
        budget: &TimeBudget,
        selection: &Selection,
        now: Moment,
    ) -> Option<AdmissionDecision> {
        let goes_on = attempts.rank(self.routed) == Rank::GOES_ON;
        if !self.is_ordered || self.number.is_some() || !attempts.is_first() || goes_on {
            return None;
        }
        let routed = self.routed;
        if routed.exceeds_memory() {
            return Some(AdmissionDecision::too_large());
        }
        let applicant = self.applicant(attempts, budget, now);
        let state = routed.edge.state.borrow();
        let ahead = match selection {
            Selection::Engine(_) if budget.is_on_time(selection) => return None,
            Selection::Engine(_) => {
                let look = look(selection, now);
                state.order.work_ahead(&applicant, &look)
            }
            Selection::NotLoaded { target, .. } => applicant.work * state.waiting_for(target, now),
            _ => return None,
        };
        let limits = routed.edge.settings().admission;
        let refusal = budget.refuse_behind(selection, ahead, &limits)?;
        drop(state);
        self.record("refused", WaitCause::Turn);
        Some(refusal)
    }

    /// Returns whether a request may be sent to `choice` now; else those ahead of it look first.
    pub(super) fn take_turn(
        &mut self,
        attempts: &Attempts,
        budget: &TimeBudget,
        choice: &SelectedEngine,
        now: Moment,
    ) -> bool {
        let routed = self.routed;
        let is_alone = || routed.edge.state.borrow().order.is_empty();
        let is_urgent = budget.is_urgent(choice, &routed.edge.settings().admission);
        if !self.is_ordered || is_urgent || (self.number.is_none() && is_alone()) {
            self.is_let_go = true;
            return true;
        }
        let look = Look {
            engine: Some(choice.engine.clone()),
            first_at: now + choice.first_event,
        };
        let number = self.join(attempts, budget, &look, now);
        let turn = routed.edge.state.borrow_mut().order.ask(number, look, now);
        match turn {
            Turn::Own => self.is_let_go = true,
            Turn::Of(other) => {
                self.set_cause(self.cause.unwrap_or(WaitCause::Turn));
                routed.edge.wake_waiting(Some(other));
            }
        }
        self.is_let_go
    }

    /// Keeps the place of a request that cannot be sent now, and lets those look that asked it to.
    pub(super) fn keep(
        &mut self,
        attempts: &Attempts,
        budget: &TimeBudget,
        seen: &Look,
        cause: WaitCause,
        now: Moment,
    ) {
        if !self.is_ordered {
            return;
        }
        let number = self.join(attempts, budget, seen, now);
        self.set_cause(cause);
        let edge = &self.routed.edge;
        let next = edge
            .state
            .borrow_mut()
            .order
            .pass(number, seen.clone(), now);
        edge.wake_waiting(next);
    }

    /// Waits for a change, for its turn to look, or for `pause`.
    pub(super) async fn wait(&self, pause: Duration, changes: &mut watch::Receiver<u64>) {
        let change = async {
            tokio::select! {
                _ = changes.changed() => {}
                () = self.wake.notified() => {}
            }
        };
        let _ = timeout(pause, change).await;
    }

    /// Returns its number in the order; it joins that if it has not done so.
    fn join(&mut self, attempts: &Attempts, budget: &TimeBudget, look: &Look, now: Moment) -> u64 {
        if let Some(number) = self.number {
            return number;
        }
        let applicant = self.applicant(attempts, budget, now);
        let mut state = self.routed.edge.state.borrow_mut();
        let number = state.order.join(applicant, look.clone());
        state.turn_wakes.insert(number, self.wake.clone());
        self.number = Some(number);
        number
    }

    fn set_cause(&mut self, cause: WaitCause) {
        if self.cause.replace(cause).is_none() {
            self.record("began", cause);
            let request = &*self.routed.headers.id;
            let cause: &'static str = cause.into();
            log::debug!(request, cause; "request waits for room");
        }
    }

    fn record(&self, outcome: &'static str, cause: WaitCause) {
        let metrics = &self.routed.edge.metrics;
        metrics.record_wait(outcome, cause.into(), self.routed.priority());
    }

    fn applicant(&self, attempts: &Attempts, budget: &TimeBudget, now: Moment) -> Applicant {
        let routed = self.routed;
        let prompt = routed.headers.prompt.as_ref();
        let engines = &routed.edge.settings().engines;
        Applicant {
            rank: attempts.rank(routed),
            customer: routed.customer_name().into(),
            service: routed.service.clone(),
            target: prompt.map(|p| p.target()),
            work: prompt.map_or(Duration::ZERO, |p| prefill_time(p.own_tokens(), engines)),
            objective_at: now.saturating_add(budget.objective_left),
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let Some(number) = self.number else {
            return;
        };
        let edge = &self.routed.edge;
        let next = {
            let mut state = edge.state.borrow_mut();
            state.turn_wakes.remove(&number);
            state.order.leave(number, self.is_let_go)
        };
        edge.wake_waiting(next);
        let Some(cause) = self.cause else {
            return;
        };
        let outcome = match self.is_let_go {
            true => "let_go",
            false => "ended",
        };
        self.record(outcome, cause);
        let request = &*self.routed.headers.id;
        let cause: &'static str = cause.into();
        log::debug!(request, cause, outcome; "wait for room ended");
    }
}

/// Returns what a request sees when it looks for an engine.
pub(super) fn look(selection: &Selection, now: Moment) -> Look {
    let (engine, ready_in) = match selection {
        Selection::Engine(choice) => (Some(choice.engine.clone()), choice.first_event),
        Selection::NotLoaded {
            load_time,
            ready_in,
            ..
        } => (None, ready_in.unwrap_or(*load_time)),
        Selection::Paused(paused) => (Some(paused.engine.clone()), paused.ready_in),
        Selection::NoEngine | Selection::Limited | Selection::UnknownModel => {
            (None, Duration::ZERO)
        }
    };
    Look {
        engine,
        first_at: now.saturating_add(ready_in),
    }
}

impl RoutedRequest {
    /// Returns whether its tokens exceed the memory of each engine of its service.
    fn exceeds_memory(&self) -> bool {
        let hosting = self.desired.hosting(&self.service);
        let (Some(prompt), Some(hosting)) = (&self.headers.prompt, hosting) else {
            return false;
        };
        let tokens = u64::from(prompt.input_tokens) + u64::from(prompt.output_tokens);
        hosting.cache_tokens > 0 && tokens > hosting.cache_tokens
    }
}

impl Edge {
    /// Returns whether requests for a service that wait do so in one order: if the settings do not
    /// say so, where customers share the engines, or engines state how slow they are now.
    pub fn orders_waiting(&self, service: &Arc<str>) -> bool {
        if let Some(enabled) = self.settings.borrow().order.enabled {
            return enabled;
        }
        let state = self.state.borrow();
        let mut engines = state.fleet.usable_engines(service);
        state.desired.customers.is_required() || engines.any(|e| e.pace.is_reported())
    }

    fn wake_waiting(&self, number: Option<u64>) {
        let state = self.state.borrow();
        if let Some(wake) = number.and_then(|n| state.turn_wakes.get(&n)) {
            wake.notify_one();
        }
    }
}
