//! Selection of the engine for the next attempt of a request.

use std::sync::Arc;

use super::RoutedRequest;
use super::retry::Attempts;
use crate::clock::Moment;
use crate::edge::origins::Allowed;
use crate::edge::routing::{self, RoutingContext, RoutingRequest, Selection};

/// What the routing of a request depends on apart from the request itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Constraints<'a> {
    /// Engines to use only when there is no other.
    pub avoid: &'a [Arc<str>],
    /// Engine for which it has a permit.
    pub permit: Option<&'a Arc<str>>,
    /// Software versions at which it may run.
    pub allowed: &'a Allowed,
}

/// Calls a function of the routing for a request.
pub(super) fn with_routing<T>(
    routed: &RoutedRequest,
    constraints: Constraints<'_>,
    now: Moment,
    decide: impl FnOnce(&RoutingContext<'_>, &RoutingRequest<'_>) -> T,
) -> T {
    let Constraints {
        avoid,
        permit,
        allowed,
    } = constraints;
    let settings = routed.edge.settings();
    let state = routed.edge.state.borrow();
    let context = RoutingContext {
        fleet: &state.fleet,
        desired: &routed.desired,
        meter: &state.meter,
        forecast: state.load_forecast(&routed.service, now),
        engines: &settings.engines,
        domain: &settings.domain,
        now,
    };
    let routing_request = RoutingRequest {
        service: &routed.service,
        kind: routed.route.kind,
        priority: routed.priority(),
        prompt: routed.headers.prompt.as_ref(),
        fingerprint: routed.fingerprint,
        avoid,
        permit,
        allowed,
    };
    decide(&context, &routing_request)
}

/// Selects the engine for the next attempt: one that has not failed the request, else one
/// whose run was abandoned. After the last attempt that the route allows, only the latter.
pub(super) fn select_next(routed: &RoutedRequest, attempts: &Attempts, now: Moment) -> Selection {
    let permit = attempts.permitted_engine(now);
    let constraints = Constraints {
        avoid: &attempts.avoid,
        permit: permit.as_ref(),
        allowed: &attempts.allowed(routed),
    };
    let selection = match attempts.may_use_others(routed) {
        true => with_routing(routed, constraints, now, routing::select_engine),
        false => Selection::NoEngine,
    };
    let is_new = matches!(&selection, Selection::Engine(c) if !attempts.avoid.contains(&c.engine));
    if is_new || attempts.abandoned.is_empty() {
        return selection;
    }
    let among_abandoned = select_among(routed, constraints, &attempts.abandoned, now);
    among_abandoned.unwrap_or(selection)
}

/// Selects the engine for which the request has a permit, if that can take it.
pub(super) fn select_permitted(
    routed: &RoutedRequest,
    attempts: &Attempts,
    engine: &Arc<str>,
    now: Moment,
) -> Option<Selection> {
    let constraints = Constraints {
        avoid: &[],
        permit: Some(engine),
        allowed: &attempts.allowed(routed),
    };
    select_among(routed, constraints, std::slice::from_ref(engine), now)
}

/// Selects one of these engines, if one of them can take the request.
fn select_among(
    routed: &RoutedRequest,
    constraints: Constraints<'_>,
    engines: &[Arc<str>],
    now: Moment,
) -> Option<Selection> {
    let others: Vec<_> = {
        let state = routed.edge.state.borrow();
        let usable = state.fleet.usable_engines(&routed.service);
        let ids = usable.map(|e| e.entry.id.clone());
        ids.filter(|id| !engines.contains(id)).collect()
    };
    let constraints = Constraints {
        avoid: &others,
        ..constraints
    };
    let selection = with_routing(routed, constraints, now, routing::select_engine);
    let is_one = matches!(&selection, Selection::Engine(c) if engines.contains(&c.engine));
    is_one.then_some(selection)
}
