//! The charge of one request.

use std::rc::Rc;
use std::sync::Arc;

use super::ChargeState;
use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::permits::Rank;
use crate::edge::state::Edge;

/// The charge of a request; when it is dropped, the units go back if the request has provably not
/// run.
#[derive(Debug)]
pub struct ChargeGuard {
    edge: Rc<Edge>,
    number: u64,
    may_have_run: bool,
}

impl ChargeGuard {
    /// Charges a customer for a request that can wait until `wait_until`, and until `give_up_at`
    /// while no allocator answers.
    pub fn new(
        edge: &Rc<Edge>,
        customer: &Arc<str>,
        units: f64,
        rank: Rank,
        (wait_until, give_up_at): (Moment, Moment),
    ) -> Self {
        let mut state = edge.state.borrow_mut();
        let until = (wait_until, give_up_at);
        let now = clock::now();
        let number = state.accounts.charge(customer, units, rank, until, now);
        drop(state);
        edge.send_wake.notify_one();
        ChargeGuard {
            edge: edge.clone(),
            number,
            may_have_run: false,
        }
    }

    /// Returns how it stands with the charge; one whose request may have run stays granted.
    pub fn state(&self) -> ChargeState {
        if self.may_have_run {
            return ChargeState::Granted;
        }
        let state = self.edge.state.borrow();
        state.accounts.state(self.number, clock::now())
    }

    /// Records whether the request may have run.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        let mut state = self.edge.state.borrow_mut();
        state
            .accounts
            .end(self.number, self.may_have_run, clock::now());
        let is_due = !state.accounts.is_empty();
        drop(state);
        if is_due {
            self.edge.send_wake.notify_one();
        }
    }
}
