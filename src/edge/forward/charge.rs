//! Charges of requests to their customers' caps.

use std::time::Duration;

use tokio::time::timeout;

use super::RoutedRequest;
use super::attempt::Failure;
use super::retry::{Attempts, MIN_TIME_LEFT};
use crate::edge::caps::{ChargeGuard, ChargeState};
use crate::edge::clock;
use crate::edge::customers::Cap;
use crate::edge::routing::SelectedEngine;
use crate::error::Kind;

/// Wait for units that are not there yet, of a request that is late anyway.
const MIN_UNIT_WAIT: Duration = Duration::from_millis(100);
/// Maximum wait for units that are not there yet.
const MAX_UNIT_WAIT: Duration = Duration::from_millis(400);
/// Maximum wait while no allocator answers: another one takes over within that time.
const MAX_SILENT_WAIT: Duration = Duration::from_secs(2);
/// Interval at which a charge is looked at without a change.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of charging a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Charged {
    /// It can be sent now.
    Now,
    /// It can be sent, but has waited: another engine may be better now.
    Waited,
}

/// Charges a request once, before its first send, if its customer has a cap.
pub(super) async fn charge(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    choice: &SelectedEngine,
) -> Result<Charged, Failure> {
    let Some(customer) = &routed.customer else {
        return Ok(Charged::Now);
    };
    let mut waited = Charged::Now;
    let mut changes = routed.edge.changed.subscribe();
    loop {
        changes.borrow_and_update();
        match attempts.charge.as_ref().map(ChargeGuard::state) {
            Some(ChargeState::Granted) => return Ok(waited),
            Some(ChargeState::Refused(return_in)) => {
                return Err(Failure {
                    refusal: attempts.refuse(Kind::RateLimited).after(return_in),
                    cause: format!("the cap of customer {} is used up", customer.name),
                    engine: "".into(),
                });
            }
            Some(ChargeState::Waiting) => {
                waited = Charged::Waited;
                let _ = timeout(CHECK_INTERVAL, changes.changed()).await;
                continue;
            }
            Some(ChargeState::Lapsed) | None => {}
        }
        let Some(cap) = cap_in_force(routed) else {
            attempts.charge = None;
            return Ok(Charged::Now);
        };
        let units = cap.cost(&routed.headers);
        let now = clock::now();
        let time_left = routed.time_left().saturating_sub(MIN_TIME_LEFT);
        let objective_left = routed.route.objective.saturating_sub(routed.age());
        let slack = objective_left.saturating_sub(choice.first_event) / 2;
        let goes_on = attempts.persists() || routed.takes_up();
        let wait = match goes_on {
            true => time_left,
            false => slack.clamp(MIN_UNIT_WAIT, MAX_UNIT_WAIT).min(time_left),
        };
        let silent_wait = match goes_on {
            true => time_left,
            false => MAX_SILENT_WAIT.min(time_left),
        };
        let until = (now + wait, now + silent_wait);
        let rank = attempts.rank(routed);
        let charge = ChargeGuard::new(&routed.edge, &customer.name, units, rank, until);
        attempts.charge = Some(charge);
    }
}

/// Returns the cap of the request's customer in the newest version.
fn cap_in_force(routed: &RoutedRequest) -> Option<Cap> {
    let state = routed.edge.state.borrow();
    let known = routed.customer.as_ref()?;
    let customer = state.desired.customers.get(&known.name);
    customer.unwrap_or(known).cap
}
