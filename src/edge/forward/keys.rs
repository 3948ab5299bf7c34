//! Checks of callers' keys.

use std::sync::Arc;

use crate::edge::customers::{Customer, KeyDigest};
use crate::edge::desired::{DesiredState, Route};

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
