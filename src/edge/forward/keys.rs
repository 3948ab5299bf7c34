//! Checks of callers' keys.

use std::sync::Arc;

use super::RoutedRequest;
use super::attempt::Failure;
use super::response::{Refusal, Unknown};
use super::retry::Attempts;
use crate::edge::customers::{Customer, KeyDigest};
use crate::edge::desired::{DesiredState, Route};
use crate::error::Kind;

/// A request needs the key of a customer and has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeyNeeded;

/// Returns the customer that holds the key of a request on this route, if one does.
///
/// # Errors
///
/// Fails if none does and the request needs one.
pub(super) fn check<'a>(
    desired: &'a DesiredState,
    route: &Route,
    key: Option<&KeyDigest>,
) -> Result<Option<&'a Arc<Customer>>, KeyNeeded> {
    let customer = key.and_then(|key| desired.customers.find(key));
    let is_needed = desired.customers.is_required() && !route.public;
    match customer.is_none() && is_needed {
        true => Err(KeyNeeded),
        false => Ok(customer),
    }
}

/// Returns whether a customer holds the key of a request, if it needs one.
pub(super) fn is_held(routed: &RoutedRequest, desired: &DesiredState) -> bool {
    check(desired, &routed.route, routed.headers.key.as_ref()).is_ok()
}

/// Checks the key of a request that waits or is to be sent by the newest desired state, which may
/// have taken the key away since the request arrived.
///
/// # Errors
///
/// Returns how the request ends if its key has been taken away.
pub(super) fn recheck(routed: &RoutedRequest, attempts: &Attempts) -> Result<(), Failure> {
    let state = routed.edge.state.borrow();
    if is_held(routed, &state.desired) {
        return Ok(());
    }
    let version = state.desired.version;
    let refusal = match attempts.exposure.promise() {
        Some(promise) => Refusal::not_run(promise, Kind::BadKey),
        None => Refusal::may_have_run(Unknown::Failed),
    };
    Err(Failure {
        refusal,
        cause: format!("no customer holds the key any more, by version {version}"),
        engine: attempts.lifetime.engine.clone(),
    })
}
