//! Permits for requests to engines that have named a rate.

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
    if attempts.permit.is_none() {
        let constraints = Constraints {
            avoid: &attempts.avoid,
            permit: None,
            allowed: &attempts.allowed(routed),
        };
        let mut engines = with_routing(routed, constraints, now, routing::limited_engines);
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
