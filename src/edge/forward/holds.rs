//! Requests with features on which engines crash.

use std::sync::Arc;

use super::RoutedRequest;
use super::attempt::Failure;
use super::response::{Refusal, Unknown};
use super::retry::Attempts;
use crate::edge::suspects::Hold;
use crate::error::Kind;

/// Returns why a held request is refused.
pub(super) fn cause(held: &Hold) -> String {
    format!(
        "engines crashed while running requests with {}",
        held.feature
    )
}

/// Checks once more, before each send, whether engines crash on such requests. A trial that has
/// not run is sent again.
pub(super) async fn admit(
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    engine: &Arc<str>,
) -> Result<(), Failure> {
    if attempts.is_trial && !attempts.exposure.may_have_run() {
        return Ok(());
    }
    let held = match routed.edge.admit(&routed.features).await {
        Ok(is_trial) => {
            attempts.is_trial = is_trial;
            return Ok(());
        }
        Err(held) => held,
    };
    let refusal = match attempts.exposure.promise() {
        Some(promise) => Refusal::not_run(promise, Kind::NotRun).after(held.retry_after),
        None => Refusal::may_have_run(Unknown::Failed),
    };
    Err(Failure {
        refusal,
        cause: cause(&held),
        engine: engine.clone(),
    })
}
