//! Permits for requests to engines that have named a rate.

use std::sync::Arc;
use std::time::Duration;

use super::RoutedRequest;
use super::retry::Attempts;
use super::selection::{Constraints, with_routing};
use crate::clock::Moment;
use crate::edge::permits::{PermitGuard, PermitState};
use crate::edge::routing;

/// Applies for a permit for an engine that has named a rate, unless the request has done so.
/// Returns how it stands with that; `None` if no such engine could serve the request.
pub(super) fn seek_permit(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    patience: Duration,
    now: Moment,
) -> Option<PermitState> {
    if std::mem::take(&mut attempts.renews) {
        attempts.permit = None;
    }
    if attempts.permit.is_none() {
        let mut engines = limited_engines(routed, attempts, now);
        if !attempts.may_use_others(routed) {
            engines.retain(|e| attempts.abandoned.contains(e));
        }
        if engines.is_empty() || patience.is_zero() {
            return None;
        }
        let rank = attempts.rank(routed);
        let permit = PermitGuard::apply(&routed.edge, engines, rank, now + patience);
        attempts.permit = Some(permit);
    }
    attempts.permit.as_ref().map(|p| p.state(now))
}

/// Applies for a permit for an engine whose statement of its rate is old, although another engine
/// serves the request as well: without a request, its answers never say that the rate has ended.
/// Returns how it stands with that; `None` if there is no such engine.
pub(super) fn seek_renewal(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    patience: Duration,
    now: Moment,
) -> Option<PermitState> {
    let has_rates = || !routed.edge.state.borrow().fleet.rates().is_empty();
    if attempts.permit.is_none() && attempts.is_first() && has_rates() {
        let engines = limited_engines(routed, attempts, now);
        let mut state = routed.edge.state.borrow_mut();
        let rates = state.fleet.rates_mut();
        let engine = engines.into_iter().find(|e| rates.take_renewal(e, now))?;
        drop(state);
        log::info!(request = &*routed.headers.id, engine = &*engine; "engine's rate is old");
        let rank = attempts.rank(routed);
        let permit = PermitGuard::apply(&routed.edge, vec![engine], rank, now + patience);
        attempts.permit = Some(permit);
        attempts.renews = true;
    }
    let permit = attempts.permit.as_ref().filter(|_| attempts.renews);
    permit.map(|p| p.state(now))
}

/// Returns the engines that could serve the request next if it had a permit.
fn limited_engines(routed: &RoutedRequest, attempts: &Attempts, now: Moment) -> Vec<Arc<str>> {
    let constraints = Constraints {
        avoid: &attempts.avoid,
        permit: None,
        allowed: &attempts.allowed(routed),
    };
    with_routing(routed, constraints, now, routing::limited_engines)
}
